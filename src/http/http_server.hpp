// The side that clients see: the listener, /up, the parsing of requests, and the one answer to each.
#ifndef OPALSWITCH_HTTP_HTTP_SERVER_HPP_
#define OPALSWITCH_HTTP_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/http_types.hpp"
#include "gateway/client_request.hpp"
#include "opalswitch/policy.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

// Where a request came in.
struct RequestOrigin {
  std::string listener;             // its id
  boost::asio::ip::address client;  // who connected
};

struct HttpServerLimits {
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

class HttpServer {
 public:
  struct Handlers {
    std::function<bool()> ready;
    // Decides by its head what becomes of a request: fills in the call, all but its message, its time and its
    // answer, or gives the answer to one that goes no further.
    std::function<std::optional<LocalReply>(const HttpRequest&, const routing::Target&, const RequestOrigin&,
                                            ClientRequest&)>
        admit;
    // Whether answers of the gateway's own say why; empty = they do.
    std::function<bool()> reports_cause = nullptr;
  };

  // `health`: the path by which GET tells whether the gateway is ready; empty = none.
  HttpServer(boost::asio::io_context& io, const HttpServerLimits& limits, Handlers handlers,
             std::string health);
  ~HttpServer();

  // Listens at once, under a name. Throws boost::system::system_error if it can't.
  boost::asio::ip::tcp::endpoint Listen(const std::string& id, const boost::asio::ip::tcp::endpoint& address);
  // Takes what has connected so far, then closes that listener. Its connections are served on.
  void Unlisten(const std::string& id, const boost::asio::ip::tcp::endpoint& asked);
  boost::asio::ip::tcp::endpoint address(const std::string& id) const;
  std::size_t connections() const { return sessions_.size(); }

  // The same for all listeners.
  void StopListening();
  // Closes the connections between requests; from now on each answer closes its own. `done` follows when the
  // last one is closed.
  void Drain(std::function<void()> done);

 private:
  class Session;
  // The order in which connections are closed where places have run out.
  enum class Standing { kTold, kSilent, kHalfRequest, kBetween, kNew, kKept };
  struct Door;
  void Accept(const std::shared_ptr<Door>& door);
  void Accepted(const Door& door, boost::asio::ip::tcp::socket socket);
  void Close(Door& door);
  void Closed(const std::shared_ptr<Session>& session);
  bool Full() const { return sessions_.size() >= limits_.sessions; }
  // Clients stand in the kernel's queue for want of a place.
  bool Waiting() const;
  bool Crowded() const;
  bool Evict(bool idle_only = false);
  // Counts a body that is to be read; false if there is no room for it.
  bool Reserve(std::uint64_t bytes, std::size_t& held);
  void Sweep();

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Door>> doors_;
  const HttpServerLimits limits_;
  std::uint64_t reserved_ = 0;
  const Handlers handlers_;
  const std::string health_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  boost::asio::steady_timer sweep_;
  bool draining_ = false;
  std::function<void()> stopped_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_HTTP_SERVER_HPP_
