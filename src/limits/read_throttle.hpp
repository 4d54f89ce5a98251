// Limits the rate at which client connections are read again after a refusal or failure. Responses are never
// delayed; only the read of the connection's next request is. So clients that retry immediately, and are
// refused again, can't take the event loop's time from the clients of other pools.
//
// No I/O, no clock: times are milliseconds on any monotonic clock, given by the caller.
#ifndef OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
#define OPALSWITCH_LIMITS_READ_THROTTLE_HPP_

#include <algorithm>

#include "opalswitch/policy.hpp"

namespace opalswitch::limits {

class ReadThrottle {
 public:
  // `reads_per_s`: delayed reads a second over all connections of a pool. `max_delay`: longest delay of one
  // read.
  ReadThrottle(double reads_per_s, Millis max_delay)
      : read_interval_(1000 / reads_per_s), max_delay_(max_delay) {}

  // Returns the delay before the next read of a connection refused at `now`. Bursts of up to kBurst are not
  // delayed.
  Millis NextDelay(Millis now) {
    constexpr double kBurst = 20;
    next_read_at_ = std::max(next_read_at_, now - kBurst * read_interval_) + read_interval_;
    return std::clamp(next_read_at_ - now, 0.0, max_delay_);
  }

 private:
  const Millis read_interval_, max_delay_;
  Millis next_read_at_ = -1e15;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
