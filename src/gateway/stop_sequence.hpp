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
  Millis accept = 500;  // until then connections are taken: they go on coming for up to 400
  Millis serve =
      2200;  // until then those that are open are served as ever: their clients have nowhere better
  Millis answer = 3300;  // by then all is answered: the rest is failed

  // The platform ends a gateway by force 700 ms after the longest deadline, which counts as 3 s at the most.
  // The defaults are what that allows at 3 s; a shorter one leaves less, in the same parts.
  static StopTimes Within(const Settings& settings);
};

class StopSequence {
 public:
  // `fail_rest` answers all that is not answered yet.
  StopSequence(boost::asio::io_context& io, HttpServer& clients, std::function<void()> fail_rest);

  bool begun() const { return begun_; }
  // Calls `done` at the end. Once begun it goes its way: a second call does nothing.
  void Begin(std::function<void()> done, const StopTimes& times);

 private:
  template <typename Next>
  void After(Millis wait, Next next);

  HttpServer& clients_;
  const std::function<void()> fail_rest_;
  boost::asio::steady_timer timer_;
  bool begun_ = false;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_STOP_SEQUENCE_HPP_
