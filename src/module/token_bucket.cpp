// The token bucket that limits the requests a gateway sends. Its refill rate is learned from outcomes:
// additive increase on responses within the aim, multiplicative decrease when too many outcomes are late or
// failed.
#include "module/impl.hpp"

namespace opalswitch {

// Initial refill rate per server, far above what is used.
constexpr double kInitialRatePerSecond = 1000;
// Rate increase per response within the aim, and its maximum as a fraction of the rate.
constexpr double kRateIncreasePerSecond = 0.3;
constexpr double kMaxRateIncreaseFraction = 0.05;
// The rate grows beyond its initial value only if at least this fraction of it is spent.
constexpr double kMinSpentFraction = 0.8;
// Otherwise it decays by this factor per response, down to the initial value.
constexpr double kUnusedRateDecay = 0.999;
// Factor of a rate decrease.
constexpr double kRateDecreaseFactor = 0.85;
// Minimum time between rate decreases.
constexpr Millis kMinRateDecreaseIntervalMs = 100;
// The rate decreases when more than this fraction of recent outcomes was late or failed.
constexpr double kMaxLateFraction = 0.3;
// The same where servers are highly shared and report no utilization: each gateway sees only a few of their
// failures.
constexpr double kMaxLateFractionHighlyShared = 0.1;
// The rate decreases only if at least this fraction of the servers' concurrency limits is in use (see
// AreServersLoaded).
constexpr double kMinLoadedFraction = 0.5;
// Capacity of the bucket, as the time in which it fills.
constexpr Millis kBurstMs = 50;
// The late fraction is smoothed over about a second of outcomes, but with at least this smoothing factor.
constexpr double kMinLateSmoothingFactor = 0.05;

// If many gateways start at once, high initial rates add up to an overload that persists. The initial rate
// falls with the square of the number of gateways, down to the gateway's part of all tenants' quotas;
// responses raise it from there.
double Policy::Impl::InitialRefillRate() const {
  double total_quota_per_s = 0;
  for (const TenantSettings& tenant : settings_.tenants) total_quota_per_s += tenant.quota_per_s;
  // Without quotas, the capacity of the servers is unknown.
  if (total_quota_per_s <= 0) return kInitialRatePerSecond * servers_up_;
  const double gateways_squared = 1.0 * settings_.gateways * settings_.gateways;
  return std::min(kInitialRatePerSecond * servers_up_,
                  std::max(total_quota_per_s / settings_.gateways,
                           kInitialRatePerSecond * servers_up_ / gateways_squared));
}

void Policy::Impl::AdvanceClock(Millis now) {
  const Millis elapsed = started_ ? std::max(0.0, now - now_) : 0;
  if (started_) {
    now_ = std::max(now_, now);  // the order of the arguments keeps now_ if `now` is NaN
  } else {
    now_ = std::isfinite(now) ? now : 0;
  }
  const bool is_first_server = refill_rate_ <= 0 && servers_up_ > 0;
  if (is_first_server) {
    refill_rate_ = InitialRefillRate();
    first_server_at_ = now_;
  }
  const double capacity = std::max(2.0, refill_rate_ * kBurstMs / 1000);
  tokens_ = is_first_server ? capacity : std::min(tokens_ + refill_rate_ * elapsed / 1000, capacity);
  spent_rate_ *= std::exp(-elapsed / SpentRateWindow());
  arrivals_per_ms_ *= std::exp(-elapsed / kLongRateWindowMs);
}

// Corrected for the time since the first server became known, which may be shorter than the time constant.
double Policy::Impl::SpentRate() const {
  return spent_rate_ / -std::expm1(-std::max(1.0, now_ - first_server_at_) / SpentRateWindow());
}

// With most of the concurrency limits unused, failures have other causes than overload, such as a rate limit
// of the servers or a few expensive requests, and a lower rate would not reduce them. Limitation: if the
// limits are too high for the servers, overload is not recognized until their latency has lowered the limits.
bool Policy::Impl::AreServersLoaded() const {
  if (IsHighlyShared()) return true;  // there are no concurrency limits
  return attempts_in_flight_ >= kMinLoadedFraction * server_index_.total_concurrency_limit();
}

// Failures of single servers lead to their ejection; the rate follows only outcomes of servers that are not
// ejected.
void Policy::Impl::UpdateRefillRate(const TrackedServer& server, const ActiveRequest& request,
                                    const Outcome& outcome) {
  // Connection resets are no sign of overload. A lower rate would even cause more of them, because
  // connections would be idle for longer.
  if (server.is_ejected || outcome.result == Result::kReset || HadTooLittleTime(request, outcome)) return;
  // A full server gets a backoff, which is sufficient where there are concurrency limits.
  if (outcome.result == Result::kRejected && !IsHighlyShared()) return;
  const bool is_timely = outcome.result == Result::kServed && now_ <= request.aim_deadline;
  const double max_late_fraction =
      IsHighlyShared() && !UsesReportedBudget() ? kMaxLateFractionHighlyShared : kMaxLateFraction;
  late_fraction_ += std::clamp(1 / (1 + refill_rate_), kMinLateSmoothingFactor, kFailureSmoothingFactor) *
                    ((is_timely ? 0.0 : 1.0) - late_fraction_);
  if (is_timely) {
    // Beyond the initial rate, it grows only while it is used, and falls back while it is not.
    const double initial_rate = kInitialRatePerSecond * std::max(1, servers_up_);
    const double raised_rate =
        refill_rate_ + std::min(kRateIncreasePerSecond, kMaxRateIncreaseFraction * refill_rate_);
    refill_rate_ = raised_rate <= initial_rate || SpentRate() >= kMinSpentFraction * refill_rate_
                       ? raised_rate
                       : std::max(initial_rate, refill_rate_ * kUnusedRateDecay);
  } else if (late_fraction_ > max_late_fraction && now_ >= next_rate_decrease_at_ && AreServersLoaded()) {
    refill_rate_ = std::max(1.0 * servers_up_ / settings_.gateways,
                            std::min(refill_rate_, SpentRate()) * kRateDecreaseFactor);
    // At most one decrease per round trip.
    next_rate_decrease_at_ = now_ + std::max(kMinRateDecreaseIntervalMs, MedianLatency());
    LogRateLimited("rate cut to " + std::to_string(static_cast<int>(refill_rate_)) + "/s");
  }
}

}  // namespace opalswitch
