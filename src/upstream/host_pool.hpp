// Connections to hosts: one request on each at a time, the most recently used first.
#ifndef OPALSWITCH_UPSTREAM_HOST_POOL_HPP_
#define OPALSWITCH_UPSTREAM_HOST_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/http_types.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class HostPool {
 public:
  struct Limits {
    Millis dial_timeout = 250;
    Millis idle_timeout = 15000;        // hosts close connections that stood idle for this long
    std::size_t max_connections = 256;  // over all hosts
    std::uint64_t max_response_bytes = kMaxBodyBytes;
    // Any answer below 500 is served, whatever it says. Else only 200 is.
    bool plain = false;
    // Asks for a descriptor and gives one back, where several pools share them; empty = all are this one's.
    std::function<bool()> acquire_socket = nullptr;
    std::function<void()> release_socket = nullptr;
  };
  // How an attempt ended; the answer is that of the host, if there was one. Called once for each Start,
  // perhaps before Start returns.
  using Done = std::function<void(Result, HttpResponse)>;

  HostPool(boost::asio::io_context& io, Limits limits);
  // Closes all connections. Attempts still out are never told of.
  ~HostPool();
  HostPool(const HostPool&) = delete;
  HostPool& operator=(const HostPool&) = delete;

  // Takes effect at once: a host that drains or is gone is sent nothing more, not even on a connection that
  // is being dialled.
  void Update(const HostList& list);

  // Sends the request unless the host is not to be used any more. Returns a number for Cancel.
  std::uint64_t Start(const std::string& host, std::shared_ptr<const HttpRequest> request, Millis deadline,
                      Done done);
  // Ends an attempt that is still out, with kCancelled. Its connection is closed.
  void Cancel(std::uint64_t attempt);

  std::size_t connections() const { return connections_; }
  std::size_t host_count() const { return hosts_.size(); }           // hosts that may be used
  std::size_t attempts_in_flight() const { return active_.size(); }  // attempts that are out

 private:
  class Connection;
  struct HostState {
    boost::asio::ip::tcp::endpoint address;
    bool up = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  };

  void CloseIdle(HostState& host);
  bool EvictIdle();
  bool TakeSocket();
  bool MayUse(const std::string& host, const boost::asio::ip::tcp::endpoint& address) const;
  void Forget(const std::string& host, const Connection* connection);

  boost::asio::io_context& io_;
  const Limits limits_;
  std::map<std::string, HostState> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> active_;  // by attempt
  std::size_t connections_ = 0;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_UPSTREAM_HOST_POOL_HPP_
