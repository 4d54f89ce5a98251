// Graceful shutdown in phases: accept connections for a while, serve open connections for a while, drain, and
// finally fail the requests that are still unanswered.
#ifndef OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_
#define OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "http/http_server.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// The ends of the phases, in milliseconds since the start of the shutdown.
struct StopTimes {
  // Stops accepting connections. New ones keep arriving for up to 400 ms after the gateway reports not ready.
  Millis stop_listening = 500;
  // Closes idle connections and ends keep-alive. Until then open connections are served as usual, because
  // their clients have no better gateway to go to yet.
  Millis drain = 2200;
  // Fails all requests that are still unanswered, and refuses those that come later.
  Millis fail_pending = 3300;

  // Returns the times for the deadlines in `settings`. The platform kills a gateway 700 ms after the longest
  // deadline, which counts as at most 3 s. The defaults fit a deadline of 3 s; shorter deadlines scale the
  // phases down.
  static StopTimes ForSettings(const Settings& settings);
};

// Runs one shutdown on the event loop. Does not own the HTTP server, which must outlive it.
class StopSequence {
 public:
  // `fail_pending` must answer all requests that are still unanswered.
  StopSequence(boost::asio::io_context& io, HttpServer& http_server, std::function<void()> fail_pending);

  bool has_begun() const { return has_begun_; }
  // Starts the shutdown; further calls have no effect. `done` is called when all connections are closed after
  // the drain has begun, and again at the end of the last phase if the event loop still runs.
  void Begin(std::function<void()> done, const StopTimes& times);

 private:
  // Calls `next` after `wait` ms.
  template <typename Next>
  void RunAfter(Millis wait, Next next);

  HttpServer& http_server_;
  const std::function<void()> fail_pending_;
  boost::asio::steady_timer timer_;
  bool has_begun_ = false;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_
