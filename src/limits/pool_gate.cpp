#include "limits/pool_gate.hpp"

#include <algorithm>

namespace opalswitch::limits {
namespace {

constexpr Millis kWhenFull = 250;  // a place comes free when any of many requests ends: soon, and not at once

}  // namespace

double PoolGate::Burst() const {
  return limits_.burst > 0 ? limits_.burst : std::max(1.0, limits_.requests_per_s);
}

PoolGate::Answer PoolGate::Enter(Millis now) {
  if (limits_.held > 0 && held_ >= limits_.held) return {Verdict::kTooMany, kWhenFull};
  if (limits_.requests_per_s > 0) {
    const double per_ms = limits_.requests_per_s / 1000;
    const Millis passed = begun_ ? std::max(0.0, now - at_) : 0;
    tokens_ = std::min(Burst(), tokens_ + passed * per_ms);
    at_ = begun_ ? std::max(at_, now) : now;
    begun_ = true;
    if (tokens_ < 1) return {Verdict::kTooFast, (1 - tokens_) / per_ms};
    tokens_ -= 1;
  }
  ++held_;
  return {};
}

}  // namespace opalswitch::limits
