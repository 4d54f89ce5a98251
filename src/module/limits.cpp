// How many requests at once each server takes uncrowded, learned from its latency and its reports.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kSlowLatencySmoothingFactor =
    0.02;  // the same in the average whose floor is the uncrowded latency
constexpr double kMaxBaselineCostRatio =
    1.25;  // times the guessed work, that an uncrowded answer takes at the most
constexpr double kBaselineDriftFactor = 0.001;  // how fast the uncrowded latency follows upwards
constexpr double kUtilizationHeadroom =
    0.07;                               // utilisation kept free of growth, times the root of the gateways
constexpr double kUtilizationGain = 4;  // how hard limits shrink beyond that
constexpr double kUtilizationSmoothingFactor = 0.3;  // weight of a new report in a server's utilisation
constexpr double kMaxUtilizationForSurplus = 0.6;    // utilisation above which spare traffic is held back
constexpr double kSurplusLimitFraction = 0.3;        // part of a limit open to traffic beyond its share
constexpr double kLimitGrowthFactor = 1.0;  // growth of a limit, times its root: small servers grow little
constexpr double kInitialConcurrencyLimit =
    8;  // requests, over all gateways, that an unmeasured server is given
constexpr double kInitialConcurrencyLimitWithCost =
    2.5;  // the same where clients guess the work: growth follows as it fits
constexpr double kInitialConcurrencyLimitWithReports =
    2;  // the same where servers report: growth follows as they show room

bool Policy::Impl::CanTakeRequest(TrackedServer& server, bool within_quota) {
  // Where many share a server, a limit each would be a fraction of a request, learned from next to nothing.
  if (IsHighlyShared()) return RefillSendCredit(server);
  if (now_ < server.backoff_until) return false;
  const double limit_fraction =
      within_quota || server.kind_stats->utilization < kMaxUtilizationForSurplus ? 1 : kSurplusLimitFraction;
  return server.in_flight < server.concurrency_slots * limit_fraction && RefillSendCredit(server);
}

// How far its report says that a server is too busy for gateways that don't know what the others send next.
double Policy::Impl::ExcessUtilization(const TrackedServer& server) const {
  return (server.utilization + server.kind_stats->utilization) / 2 -
         (1 - kUtilizationHeadroom * std::sqrt(settings_.gateways));
}

void Policy::Impl::RecordLoadReport(TrackedServer& server, const std::vector<double>& load) {
  if (utilization_index_ >= load.size() || !(load[utilization_index_] >= 0)) return;
  const double utilization = std::min(load[utilization_index_], kMaxUtilization);
  UpdateSendBudget(server, utilization);
  server.utilization += kUtilizationSmoothingFactor * (utilization - server.utilization);
  server.kind_stats->utilization +=
      kUtilizationSmoothingFactor / 3 * (utilization - server.kind_stats->utilization);
}

// Learns the limit of own requests that a server takes uncrowded, from how its latency grows. Where clients
// guess the work, a sample counts by it: a mean of ratios says less than the ratio of the means.
void Policy::Impl::UpdateConcurrencyLimit(TrackedServer& server, double sample, double work, bool is_served) {
  ++server.latency_samples;
  ++latency_updates_;
  server.latency_ewma +=
      SmoothingFactor(kLatencySmoothingFactor, server.latency_samples, work) * (sample - server.latency_ewma);
  ServerKindStats& kind = *server.kind_stats;
  ++kind.latency_samples;
  kind.latency_ewma +=
      SmoothingFactor(kLatencySmoothingFactor / 2, kind.latency_samples, work) * (sample - kind.latency_ewma);
  if (is_served) UpdateBaselineLatency(server, sample, work);
  if (server.baseline_latency <= 0) return;
  const double latency_ratio =
      std::sqrt(server.latency_ewma / server.baseline_latency * kind.latency_ewma / kind.baseline_latency);
  const double excess = ExcessUtilization(server);
  const double gradient =
      std::clamp(std::min(LatencyTolerance() / latency_ratio, 1 - kUtilizationGain * excess), 0.2, 1.0);
  const double growth = excess > 0 || !is_served
                            ? 0
                            : kLimitGrowthFactor * std::sqrt(server.concurrency_limit / gateways_per_server_);
  const double target = server.concurrency_limit * gradient + growth;
  if (target > server.concurrency_limit && 2.0 * (server.in_flight + 1) < server.concurrency_limit)
    return;  // not in use: no evidence
  server.concurrency_limit =
      std::max(MinConcurrencyLimit(), server.concurrency_limit + (target - server.concurrency_limit) /
                                                                     std::max(2.0, server.concurrency_limit));
}

void Policy::Impl::UpdateBaselineLatency(TrackedServer& server, double sample, double work) {
  ServerKindStats& kind = *server.kind_stats;
  kind.slow_latency_ewma += SmoothingFactor(kSlowLatencySmoothingFactor, kind.latency_samples, work) *
                            (sample - kind.slow_latency_ewma);
  if (kind.latency_samples < 20 || kind.slow_latency_ewma < kind.baseline_latency)
    kind.baseline_latency = kind.slow_latency_ewma;
  kind.baseline_latency += kBaselineDriftFactor / 4 * (kind.slow_latency_ewma - kind.baseline_latency);
  server.slow_latency_ewma += SmoothingFactor(kSlowLatencySmoothingFactor, server.latency_samples, work) *
                              (sample - server.slow_latency_ewma);
  const double confidence = std::min(1.0, server.latency_samples * kSlowLatencySmoothingFactor);
  server.baseline_latency =
      confidence < 1 ? confidence * server.slow_latency_ewma + (1 - confidence) * kind.baseline_latency
                     : std::min(server.baseline_latency, server.slow_latency_ewma);
  server.baseline_latency += kBaselineDriftFactor * (server.latency_ewma - server.baseline_latency);
  // Who starts in a jam has met no uncrowded answer: there a guess counts until enough was measured.
  if (confidence < 1 && mean_estimated_cost_ > 0) {
    const Millis max_baseline = kMaxBaselineCostRatio * mean_estimated_cost_ / server.info.weight;
    server.baseline_latency = std::min(server.baseline_latency, max_baseline);
    kind.baseline_latency = std::min(kind.baseline_latency, max_baseline);
  }
}

// A server that keeps warm for its keys holds more before it is crowded, from the start on.
double Policy::Impl::InitialConcurrencyLimit() const {
  const double initial_limit =
      mean_estimated_cost_ > 0 ? kInitialConcurrencyLimitWithCost : kInitialConcurrencyLimit;
  return (utilization_index_ < settings_.load_report_fields.size()
              ? kInitialConcurrencyLimitWithReports
              : initial_limit * LatencyTolerance() / kLatencyTolerance) /
         gateways_per_server_;
}

}  // namespace opalswitch
