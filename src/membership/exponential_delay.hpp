// Exponential backoff.
#ifndef OPALSWITCH_MEMBERSHIP_EXPONENTIAL_DELAY_HPP_
#define OPALSWITCH_MEMBERSHIP_EXPONENTIAL_DELAY_HPP_

#include <algorithm>
#include <cmath>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// Returns `initial` doubled `doublings` times, at most `max`. Fewer than no doublings count as none.
inline Millis ExponentialDelay(Millis initial, int doublings, Millis max) {
  constexpr int kMaxDoublings = 16;  // keeps the exponent in range; every delay has reached its bound by then
  return std::min(max, std::ldexp(initial, std::clamp(doublings, 0, kMaxDoublings)));
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_EXPONENTIAL_DELAY_HPP_
