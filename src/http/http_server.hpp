// The gateway's front end for clients: listeners, connections, health checks, request parsing and responses.
#ifndef OPALSWITCH_HTTP_HTTP_SERVER_HPP_
#define OPALSWITCH_HTTP_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/http_types.hpp"
#include "gateway/client_request.hpp"
#include "ledger/connections.hpp"
#include "limits/log_throttle.hpp"
#include "opalswitch/policy.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

// Where a request was received.
struct RequestOrigin {
  std::string listener;             // the listener's id
  boost::asio::ip::address client;  // the peer's address
};

struct HttpServerLimits {
  std::size_t max_connections = 256;
  // With more connections than this, idle ones are closed before each response until the number is reached,
  // unless the gateway is not ready. If that is not enough, the response announces that its own connection is
  // closed.
  std::size_t idle_eviction_threshold = 256;
  // Of all request bodies that are being read, together.
  std::uint64_t max_body_bytes = 16 << 20;
  // From accepting a connection to its first byte.
  Millis first_request_timeout = 2000;
  // A connection younger than this that has had no response yet is evicted only if no other can be.
  Millis new_connection_grace = 250;
  // From the first byte of a request to its last; for the first request of a connection, from accepting it.
  Millis request_timeout = 2000;
  // Of a connection between requests.
  Millis idle_timeout = 10000;
  // For the client to receive a response.
  Millis write_timeout = 3000;
  // For the client to close a connection after a response that announced the close.
  Millis linger_timeout = 500;
};

// The HTTP/1.x server for clients: accepts connections on any number of listeners, answers health checks,
// validates and admits requests, passes them to their pools, and sends exactly one response to each. All
// functions and handlers run on `io`'s thread.
class HttpServer {
 public:
  struct Handlers {
    // What health checks report.
    std::function<bool()> is_ready;
    // Routes and admits a request by its header. Fills in the ClientRequest, except for its message, time of
    // receipt and respond function, or returns the reply to send instead.
    std::function<std::optional<LocalReply>(const HttpRequest&, const routing::Target&, const RequestOrigin&,
                                            ClientRequest&)>
        admit;
    // Whether the gateway's own refusals and failures give their cause to clients. Null means yes.
    std::function<bool()> reports_cause = nullptr;
    // Receives lines about connections that end abnormally. May be null.
    std::function<void(const std::string& line)> write_log = nullptr;
  };

  // GET of `health_path` returns 200 if the gateway is ready, else 503. Empty: no health checks.
  HttpServer(boost::asio::io_context& io, const HttpServerLimits& limits, Handlers handlers,
             std::string health_path);
  ~HttpServer();

  // Opens a listener with the given id and returns its actual address. Throws boost::system::system_error on
  // failure.
  boost::asio::ip::tcp::endpoint Listen(const std::string& id, const boost::asio::ip::tcp::endpoint& address);
  // Accepts the connections that are already established, as far as there is room for them, then closes the
  // listener that was opened with this id and address. Its connections are still served.
  void Unlisten(const std::string& id, const boost::asio::ip::tcp::endpoint& requested_address);
  boost::asio::ip::tcp::endpoint address(const std::string& id) const;
  std::size_t connections() const { return sessions_.size(); }

  // Does the same for all listeners.
  void StopListening();
  // Closes all idle connections; all others close after their next response, unless another request has
  // arrived by then. Calls `done` once the last connection is closed.
  void Drain(std::function<void()> done);
  // For the end of a drain: from now on no request reaches a pool. Those that are being read are answered
  // with a refusal now, whole or not; later ones when they are read. Requests in progress are not affected.
  void RefuseRequests();

 private:
  class Session;
  // The order in which connections are closed when the limit on connections is reached.
  enum class EvictionPriority {
    kLingering,
    kNoRequest,
    kPartialRequest,
    kIdle,
    kNew,
    kNewPartialRequest,
    kNotEvictable
  };
  struct Listener;
  void Accept(const std::shared_ptr<Listener>& listener);
  void StartSession(const Listener& listener, boost::asio::ip::tcp::socket socket);
  // Accepts the connections that are already established, then closes the listener: at once if none is left
  // in the kernel's queue, else at `deadline`.
  void CloseListener(const std::shared_ptr<Listener>& listener, Millis deadline);
  // Accepts what is in the listener's queue. Returns whether the queue is empty.
  bool AcceptQueued(Listener& listener);
  bool IsClosingListeners() const;
  // Completes the drain if nothing is left to drain.
  void CheckDrained();
  void OnSessionClosed(const std::shared_ptr<Session>& session);
  bool IsFull() const { return sessions_.size() >= limits_.max_connections; }
  // Whether accepting is paused because the limit on connections is reached, so that clients may be waiting
  // in the kernel's accept queue.
  bool HasWaitingClients() const;
  bool ShouldEvictIdle() const;
  void EvictIdleConnections();
  // Closes the connection with the lowest EvictionPriority, and among equals the one that has been in its
  // phase for the longest time. With `idle_only` it leaves alone those that are new or have sent part of a
  // request. Returns whether one was closed.
  bool EvictConnection(bool idle_only = false);
  // Reserves memory for a request body and adds it to `reserved`. Returns false if the limit would be
  // exceeded.
  bool ReserveBody(std::uint64_t bytes, std::size_t& reserved);
  // Closes or answers connections whose time-outs have passed, and schedules the next check.
  void CheckTimeouts();
  // Writes the line "connections ..." if it is due.
  void LogConnections();
  // Writes a line about one request whose client gets no whole response.
  void LogLostRequest(const std::string& request_id, ledger::ConnectionEnd end,
                      const boost::system::error_code& error, Millis elapsed);

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::vector<std::shared_ptr<Listener>> removed_listeners_;  // by Unlisten; closed, or soon
  const HttpServerLimits limits_;
  std::uint64_t reserved_body_bytes_ = 0;
  const Handlers handlers_;
  const std::string health_path_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  boost::asio::steady_timer timeout_timer_;
  bool is_draining_ = false;
  bool is_refusing_ = false;
  std::function<void()> on_drained_;
  ledger::ConnectionRecorder connection_recorder_;
  limits::LogThrottle lost_request_log_throttle_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_HTTP_SERVER_HPP_
