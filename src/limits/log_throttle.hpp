// Limits the log lines that single events write, so that a burst of them can't fill a log. No I/O, no clock:
// times are milliseconds on any monotonic clock, given by the caller.
#ifndef OPALSWITCH_LIMITS_LOG_THROTTLE_HPP_
#define OPALSWITCH_LIMITS_LOG_THROTTLE_HPP_

#include <cstdint>
#include <optional>
#include <utility>

#include "opalswitch/policy.hpp"

namespace opalswitch::limits {

class LogThrottle {
 public:
  static constexpr Millis kPeriodMs = 1000;
  static constexpr int kMaxLinesPerPeriod = 20;

  // Returns whether a line may be written at `now` and, if so, how many were suppressed since the last one.
  std::optional<std::uint64_t> Admit(Millis now) {
    if (now >= period_start_ + kPeriodMs) {
      period_start_ = now;
      lines_ = 0;
    }
    if (lines_ >= kMaxLinesPerPeriod) {
      ++suppressed_;
      return std::nullopt;
    }
    ++lines_;
    return std::exchange(suppressed_, 0);
  }

 private:
  Millis period_start_ = -kPeriodMs;
  int lines_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_LOG_THROTTLE_HPP_
