// HTTP/1.1 connections to the hosts of a pool. Each connection carries one request at a time. Idle
// connections are reused once they have been silent for the host's quiet period, most recently used first.
// Runs on one event loop; not thread-safe.
#ifndef OPALSWITCH_UPSTREAM_HOST_POOL_HPP_
#define OPALSWITCH_UPSTREAM_HOST_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/http_types.hpp"
#include "membership/host_changes.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "upstream/quiet_period.hpp"

namespace opalswitch::gateway {

class HostPool {
 public:
  struct Limits {
    Millis dial_timeout = 250;
    Millis idle_timeout = 15000;        // after which hosts close an idle connection
    std::size_t max_connections = 256;  // over all hosts together
    std::uint64_t max_response_bytes = kMaxBodyBytes;
    // Whether any status below 500 counts as served (ordinary HTTP); otherwise only 200 does (the platform).
    bool plain = false;
    // Acquire and release a descriptor of the budget that pools share; empty if the pool does not share its
    // descriptors.
    std::function<bool()> acquire_socket = nullptr;
    std::function<void()> release_socket = nullptr;
    Millis quiet_period = QuietPeriod::kDefaultMs;  // at first; see QuietPeriod
  };
  // Receives the result of an attempt and the host's response, if any. Called once for each Start, possibly
  // before Start returns.
  using Completion = std::function<void(Result, HttpResponse)>;
  using LogWriter = std::function<void(const std::string& line)>;

  // `write_log` may be null.
  HostPool(boost::asio::io_context& io, Limits limits, LogWriter write_log = nullptr);
  // Closes all connections. Attempts in flight are not completed.
  ~HostPool();
  HostPool(const HostPool&) = delete;
  HostPool& operator=(const HostPool&) = delete;

  // Applies a host list and returns what it changed. Takes effect immediately: a host that drains or is
  // removed gets no further requests, not even on a connection that is still being established.
  HostChanges Update(const HostList& list);

  // Points in time on the clock of gateway::Now().
  struct AttemptTimes {
    Millis deadline = 0;  // for the response
    // For the last byte of the request. It is not written after this time, however late the connection came
    // up.
    Millis write_by = std::numeric_limits<Millis>::infinity();

    // The time from which the request must not be written.
    Millis SendDeadline() const { return deadline < write_by ? deadline : write_by; }
  };
  // Sends the request to a host. Completes with kNotSent if the host is not up, the time to write has passed,
  // or no connection is available. Returns the id of the attempt, for Cancel.
  std::uint64_t Start(const std::string& host, std::shared_ptr<const HttpRequest> request,
                      const AttemptTimes& times, Completion done);
  // Completes an attempt in flight and closes its connection: with kCancelled, or with kNotSent if the
  // request has not been written completely. Has no effect on ended attempts.
  void Cancel(std::uint64_t attempt);
  // The same, but has no effect on an attempt whose request has been written.
  void CancelUnsent(std::uint64_t attempt);

  std::size_t connections() const { return connections_; }  // open connections, idle or not
  std::size_t host_count() const { return hosts_.size(); }  // hosts that are up
  std::size_t attempts_in_flight() const { return in_flight_.size(); }

 private:
  class Connection;
  struct HostState {
    explicit HostState(QuietPeriod initial_quiet_period) : quiet_period(initial_quiet_period) {}

    boost::asio::ip::tcp::endpoint address;
    Millis started_at = 0;  // of its process, as the list says
    bool is_up = false;
    bool is_new = true;  // until the end of the update that lists it first
    QuietPeriod quiet_period;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
  };

  // Takes the most recently used idle connection that has passed the quiet period; null if there is none.
  std::shared_ptr<Connection> TakeIdleConnection(HostState& host);
  // Records that bytes which no request asked for were noticed on a connection `delay` after its last
  // response.
  void OnUnsolicitedBytes(const std::string& host, Millis delay);

  void CloseIdleConnections(HostState& host);
  // Closes the connection that has been idle the longest; false if none is idle.
  bool CloseLongestIdle();
  // Makes room for one more connection under the pool's limit and the shared budget; false if there is none.
  bool ReserveConnection();
  // Whether the host is up at this address.
  bool IsUsable(const std::string& host, const boost::asio::ip::tcp::endpoint& address) const;
  // Removes a connection from its host's idle list, if it is there.
  void RemoveIdle(const std::string& host, const Connection* connection);

  boost::asio::io_context& io_;
  const Limits limits_;
  const LogWriter write_log_;
  std::map<std::string, HostState> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> in_flight_;  // by attempt
  std::size_t connections_ = 0;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_UPSTREAM_HOST_POOL_HPP_
