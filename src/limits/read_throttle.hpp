// Delays the next read of client connections after refusals or failures, if they come faster than a given
// rate. Responses are never delayed; only the read of the connection's next request is. So a client that
// retries immediately, and is refused again, can take only so much of the event loop's time from the clients
// of other pools. The delay of a read is bounded whatever came before it: the request's time is not known
// until it is read.
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
    next_read_at_ = std::min(next_read_at_, now + max_delay_);  // no debt from an overload that is over
    return std::clamp(next_read_at_ - now, 0.0, max_delay_);
  }

 private:
  const Millis read_interval_, max_delay_;
  Millis next_read_at_ = -1e15;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
