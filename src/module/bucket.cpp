// The token bucket and its learned rate.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kInitialRatePerSecond = 1000;     // tokens/s a server: "starting high", far above any use
constexpr double kRateIncreasePerSecond = 0.3;     // tokens/s gained by each timely answer
constexpr double kMaxRateIncreaseFraction = 0.05;  // part of the rate gained by it at the most
constexpr double kMinSpentFraction =
    0.8;  // part of the rate that must be spent for it to grow beyond its start
constexpr double kUnusedRateDecay = 0.999;            // part kept at each answer while less is spent there
constexpr double kRateDecreaseFactor = 0.85;          // the rate keeps this much at a cut
constexpr double kMaxLateFraction = 0.3;              // failing share of recent outcomes that cuts the rate
constexpr double kMaxLateFractionHighlyShared = 0.1;  // the same where many share a server: each sees little
constexpr double kMinLoadedFraction = 0.5;  // part of the servers' places, that must be in use for a cut
constexpr Millis kBurstMs = 50;             // ms of refill that the bucket holds
constexpr double kMinLateSmoothingFactor =
    0.05;  // least weight of an outcome in the failing share; else a second's

// Where many start at once, high rates add up to a jam that outlasts its cause. The more gateways there are,
// the lower each starts, down to its part of what the tenants are granted; answers raise it from there.
double Policy::Impl::InitialRefillRate() const {
  double total_quota_per_s = 0;
  for (const TenantSettings& tenant : settings_.tenants) total_quota_per_s += tenant.quota_per_s;
  if (total_quota_per_s <= 0)
    return kInitialRatePerSecond * servers_up_;  // nobody says what the fleet can do
  const double gateways_squared = 1.0 * settings_.gateways * settings_.gateways;
  return std::min(kInitialRatePerSecond * servers_up_,
                  std::max(total_quota_per_s / settings_.gateways,
                           kInitialRatePerSecond * servers_up_ / gateways_squared));
}

void Policy::Impl::AdvanceClock(Millis now) {
  const Millis elapsed = started_ ? std::max(0.0, now - now_) : 0;
  now_ = started_ ? std::max(now_, now) : std::isfinite(now) ? now : 0;  // this order also outlives NaN
  const bool is_first_server = refill_rate_ <= 0 && servers_up_ > 0;
  if (is_first_server) refill_rate_ = InitialRefillRate(), first_server_at_ = now_;
  const double capacity = std::max(2.0, refill_rate_ * kBurstMs / 1000);
  tokens_ = is_first_server ? capacity : std::min(tokens_ + refill_rate_ * elapsed / 1000, capacity);
  spent_rate_ *= std::exp(-elapsed / SpentRateWindow());
  arrivals_per_ms_ *= std::exp(-elapsed / kLongRateWindowMs);
}

// The spent rate of the time that has passed: at the start, of less than its memory.
double Policy::Impl::SpentRate() const {
  return spent_rate_ / -std::expm1(-std::max(1.0, now_ - first_server_at_) / SpentRateWindow());
}

// Whether what is out could crowd the servers. With most of the measured places empty failures have another
// cause, and sending less mends none: a server that turns away beyond a rate of its own, a few heavy
// requests. It could hurt where limits are too high for what servers can do, until their latency has taught
// better.
bool Policy::Impl::AreServersLoaded() const {
  if (IsHighlyShared()) return true;  // there no limit is kept
  return attempts_in_flight_ >= kMinLoadedFraction * server_index_.total_concurrency_limit();
}

// Failures that one server explains eject it; only those of servers held ready move the rate.
void Policy::Impl::UpdateRefillRate(const TrackedServer& server, const ActiveRequest& request,
                                    const Outcome& outcome) {
  // A broken connection says nothing of crowding, and fewer sends leave more of them to idle and break.
  if (server.is_ejected || outcome.result == Result::kReset || HadTooLittleTime(request, outcome)) return;
  // A server that is full rests, which is all that one server's fullness asks for where limits are kept.
  if (outcome.result == Result::kRejected && !IsHighlyShared()) return;
  const bool is_timely = outcome.result == Result::kServed && now_ <= request.aim_deadline;
  const double max_late_fraction =
      IsHighlyShared() && !UsesReportedBudget() ? kMaxLateFractionHighlyShared : kMaxLateFraction;
  late_fraction_ += std::clamp(1 / (1 + refill_rate_), kMinLateSmoothingFactor, kFailureSmoothingFactor) *
                    ((is_timely ? 0.0 : 1.0) - late_fraction_);
  if (is_timely) {
    // Beyond where it started it grows only while it is used up, and sinks back there while it is not.
    const double initial_rate = kInitialRatePerSecond * std::max(1, servers_up_);
    const double raised_rate =
        refill_rate_ + std::min(kRateIncreasePerSecond, kMaxRateIncreaseFraction * refill_rate_);
    refill_rate_ = raised_rate <= initial_rate || SpentRate() >= kMinSpentFraction * refill_rate_
                       ? raised_rate
                       : std::max(initial_rate, refill_rate_ * kUnusedRateDecay);
  } else if (late_fraction_ > max_late_fraction && now_ >= next_rate_decrease_at_ && AreServersLoaded()) {
    refill_rate_ = std::max(1.0 * servers_up_ / settings_.gateways,
                            std::min(refill_rate_, SpentRate()) * kRateDecreaseFactor);
    next_rate_decrease_at_ = now_ + std::max(100.0, MedianLatency());  // one cut a round trip
    LogRateLimited("rate cut to " + std::to_string(static_cast<int>(refill_rate_)) + "/s");
  }
}

}  // namespace opalswitch
