// A planned end: connections are taken for a while, served for a while, and what is left then is failed.
#ifndef OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_
#define OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "http/http_server.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// In times from the beginning.
struct StopTimes {
  Millis stop_listening = 500;  // until then connections are taken: they go on coming for up to 400
  Millis drain =
      2200;  // until then those that are open are served as ever: their clients have nowhere better
  Millis fail_pending = 3300;  // by then all is answered: the rest is failed

  // The platform ends a gateway by force 700 ms after the longest deadline, which counts as 3 s at the most.
  // The defaults are what that allows at 3 s; a shorter one leaves less, in the same parts.
  static StopTimes ForSettings(const Settings& settings);
};

class StopSequence {
 public:
  // `fail_pending` answers all that is not answered yet.
  StopSequence(boost::asio::io_context& io, HttpServer& http_server, std::function<void()> fail_pending);

  bool has_begun() const { return has_begun_; }
  // Calls `done` at the end. Once begun it goes its way: a second call does nothing.
  void Begin(std::function<void()> done, const StopTimes& times);

 private:
  template <typename Next>
  void RunAfter(Millis wait, Next next);

  HttpServer& http_server_;
  const std::function<void()> fail_pending_;
  boost::asio::steady_timer timer_;
  bool has_begun_ = false;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_
