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
  ReadThrottle(double per_s, Millis most) : gap_(1000 / per_s), most_(most) {}

  // How long a connection that was turned away now is to pause. A few at a time pause for nothing.
  Millis NextDelay(Millis now) {
    constexpr double kAtOnce = 20;
    next_ = std::max(next_, now - kAtOnce * gap_) + gap_;
    return std::clamp(next_ - now, 0.0, most_);
  }

 private:
  const Millis gap_, most_;
  Millis next_ = -1e15;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_READ_THROTTLE_HPP_
