// How long a connection must stay silent after a response before it may carry the next request.
#ifndef OPALSWITCH_UPSTREAM_QUIET_PERIOD_HPP_
#define OPALSWITCH_UPSTREAM_QUIET_PERIOD_HPP_

#include <algorithm>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// The quiet period of one host. HTTP/1.1 responses do not name their requests, so bytes that a host sends
// behind a response, such as a second copy of it, are taken for the response to the next request if that is
// sent before they arrive. A connection therefore rests for the quiet period after each response; if bytes
// arrive meanwhile, it is closed.
class QuietPeriod {
 public:
  static constexpr Millis kDefaultMs = 10;
  static constexpr Millis kMaxMs = 200;

  explicit QuietPeriod(Millis initial = kDefaultMs) : duration_(initial) {}

  Millis duration() const { return duration_; }

  // Records that unsolicited bytes were noticed `delay` after a response. Lengthens the period to a multiple
  // of the delay, up to kMaxMs. Returns whether it has changed.
  bool RecordUnsolicitedBytes(Millis delay) {
    const Millis wanted = std::min(delay * kDelayFactor, kMaxMs);
    if (wanted <= duration_) return false;
    duration_ = wanted;
    return true;
  }

 private:
  static constexpr double kDelayFactor = 3;

  Millis duration_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_UPSTREAM_QUIET_PERIOD_HPP_
