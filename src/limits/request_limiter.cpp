#include "limits/request_limiter.hpp"

#include <algorithm>

namespace opalswitch::limits {
namespace {

// Short but not zero: a slot becomes free when any of the many active requests ends.
constexpr Millis kActiveLimitRetryAfterMs = 250;

}  // namespace

double RequestLimiter::MaxTokens() const {
  return limits_.burst > 0 ? limits_.burst : std::max(1.0, limits_.requests_per_s);
}

RequestLimiter::Admission RequestLimiter::TryAdmit(Millis now) {
  if (limits_.max_active > 0 && active_ >= limits_.max_active)
    return {Decision::kTooManyActive, kActiveLimitRetryAfterMs};
  if (limits_.requests_per_s > 0) {
    const double tokens_per_ms = limits_.requests_per_s / 1000;
    const Millis elapsed = has_refilled_ ? std::max(0.0, now - refilled_at_) : 0;
    tokens_ = std::min(MaxTokens(), tokens_ + elapsed * tokens_per_ms);
    refilled_at_ = has_refilled_ ? std::max(refilled_at_, now) : now;
    has_refilled_ = true;
    if (tokens_ < 1) return {Decision::kRateExceeded, (1 - tokens_) / tokens_per_ms};
    tokens_ -= 1;
  }
  ++active_;
  return {};
}

}  // namespace opalswitch::limits
