#include "limits/request_limiter.hpp"

#include <algorithm>

namespace opalswitch::limits {
namespace {

constexpr Millis kWhenFull = 250;  // a place comes free when any of many requests ends: soon, and not at once

}  // namespace

double RequestLimiter::Burst() const {
  return limits_.burst > 0 ? limits_.burst : std::max(1.0, limits_.requests_per_s);
}

RequestLimiter::Admission RequestLimiter::TryAdmit(Millis now) {
  if (limits_.max_active > 0 && active_ >= limits_.max_active) return {Decision::kTooManyActive, kWhenFull};
  if (limits_.requests_per_s > 0) {
    const double per_ms = limits_.requests_per_s / 1000;
    const Millis passed = begun_ ? std::max(0.0, now - at_) : 0;
    tokens_ = std::min(Burst(), tokens_ + passed * per_ms);
    at_ = begun_ ? std::max(at_, now) : now;
    begun_ = true;
    if (tokens_ < 1) return {Decision::kRateExceeded, (1 - tokens_) / per_ms};
    tokens_ -= 1;
  }
  ++active_;
  return {};
}

}  // namespace opalswitch::limits
