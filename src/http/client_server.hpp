// The side that clients see: the listener, /up, the parsing of requests, and the one answer to each.
#ifndef OPALSWITCH_HTTP_CLIENT_SERVER_HPP_
#define OPALSWITCH_HTTP_CLIENT_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/http_types.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// A client's well-formed request.
struct ClientRequest {
  HttpRequest http;
  std::string id, class_name, tenant, key;
  bool retry = false;                        // the client's own further try
  Millis received = 0;                       // when its last byte was read
  Millis allowed = 0;                        // how long the client waits, from when it sent it
  std::function<void(HttpResponse)> answer;  // to be called once; what follows is dropped
};

struct ClientLimits {
  std::size_t sessions = 256;
  std::size_t usual = 256;              // past it each answer has the longest idle connection closed
  std::uint64_t body_bytes = 16 << 20;  // that requests may hold together
  Millis first_request = 2000;          // from connecting: who says nothing by then is closed
  Millis arrival = 250;                 // of this a new connection is as good as one with a request
  Millis whole_request = 2000;          // a request that was begun must be whole by then
  Millis idle = 10000;                  // a connection without a request is closed
  Millis answer_read = 3000;            // an answer must have been taken in by then
  Millis linger = 500;                  // a client that was told of the close gets this to close first
};

class ClientServer {
 public:
  struct Handlers {
    std::function<bool()> ready;
    std::function<void(ClientRequest)> taken;
    std::function<void(const std::string& id)> gone;  // the client of an unanswered request has left
  };

  // Listens at once. Throws boost::system::system_error if it can't.
  ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
               const ClientLimits& limits, const Settings& settings, Handlers handlers);
  ~ClientServer();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Takes what has connected so far, then closes the listener.
  void StopListening();
  // Closes the connections between requests; from now on each answer closes its own. `done` follows when the
  // last one is closed.
  void Drain(std::function<void()> done);

 private:
  class Session;
  // The order in which connections are closed where places have run out.
  enum class Standing { kTold, kSilent, kHalfRequest, kBetween, kNew, kKept };
  void Accept();
  void Accepted(boost::asio::ip::tcp::socket socket);
  void Closed(const std::shared_ptr<Session>& session);
  bool Full() const { return sessions_.size() >= limits_.sessions; }
  // Clients stand in the kernel's queue for want of a place.
  bool Waiting() const;
  bool Crowded() const;
  bool Evict(bool idle_only = false);
  // Counts a body that is to be read; false if there is no room for it.
  bool Reserve(std::uint64_t bytes, std::size_t& held);
  void Sweep();
  // Checks a request against the settings and the protocol; the error is an answer's status and text.
  struct Fault;
  std::unique_ptr<Fault> Check(const HttpRequest& http, ClientRequest& request) const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const ClientLimits limits_;
  std::uint64_t reserved_ = 0;
  std::unordered_map<std::string, Effect> classes_;
  const Handlers handlers_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  boost::asio::steady_timer sweep_;
  boost::asio::steady_timer accept_again_;
  bool accepting_ = false;
  bool draining_ = false;
  std::function<void()> stopped_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_CLIENT_SERVER_HPP_
