// How fast clients that were turned away are read from again. An answer is never held back; but a connection
// that had a refusal, or a failure, is read from for its next request only when its turn comes. So a pool
// whose clients ask again at once, and are turned away again at once, can't take the loop's time from the
// others'.
//
// Pure: times are milliseconds on any monotonic clock, given by the caller.
#ifndef OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
#define OPALSWITCH_LIMITS_READ_THROTTLE_HPP_

#include <algorithm>

#include "opalswitch/policy.hpp"

namespace opalswitch::limits {

class ReadThrottle {
 public:
  // `per_s`: connections read from again each second, over all of a pool. `most`: longest pause of one.
  ReadThrottle(double reads_per_s, Millis max_delay) : interval_(1000 / reads_per_s), max_delay_(max_delay) {}

  // How long a connection that was turned away now is to pause. A few at a time pause for nothing.
  Millis NextDelay(Millis now) {
    constexpr double kBurst = 20;
    next_read_at_ = std::max(next_read_at_, now - kBurst * interval_) + interval_;
    return std::clamp(next_read_at_ - now, 0.0, max_delay_);
  }

 private:
  const Millis interval_, max_delay_;
  Millis next_read_at_ = -1e15;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
