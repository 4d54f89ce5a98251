// Concurrency limits: how many of this gateway's requests each server can have in flight without overload,
// learned from the gradient of its latency over the baseline and from its load reports.
#include "module/impl.hpp"

namespace opalswitch {

// Smoothing factor of the slow latency average, whose minimum is the baseline latency.
constexpr double kSlowLatencySmoothingFactor = 0.02;
// The slow latency average of a server kind is its baseline until it has this many samples.
constexpr int kMinKindBaselineSamples = 20;
// With cost estimates, the baseline latency starts at no more than this multiple of the estimated cost.
constexpr double kMaxBaselineCostRatio = 1.25;
// Fraction of its distance to the current latency by which the baseline moves per sample.
constexpr double kBaselineDriftFactor = 0.001;
// Utilization that is kept free, times the square root of the number of gateways: gateways that decide
// without knowledge of each other need a reserve.
constexpr double kUtilizationHeadroom = 0.07;
// Decrease of the limit per utilization beyond the target.
constexpr double kUtilizationGain = 4;
// Smoothing factor of a server's reported utilization.
constexpr double kUtilizationSmoothingFactor = 0.3;
// Above this utilization, surplus requests may use only a fraction of the limit.
constexpr double kMaxUtilizationForSurplus = 0.6;
constexpr double kSurplusLimitFraction = 0.3;
// A limit grows by its square root times this, so that the limits of small servers grow slowly.
constexpr double kLimitGrowthFactor = 1.0;
// The gradient is at least this: bounds the decrease per sample.
constexpr double kMinGradient = 0.2;
// Initial limits over all gateways. They are lower with cost estimates or load reports, which soon show
// whether the limit can grow.
constexpr double kInitialConcurrencyLimit = 8;
constexpr double kInitialConcurrencyLimitWithCost = 2.5;
constexpr double kInitialConcurrencyLimitWithReports = 2;

bool Policy::Impl::CanTakeRequest(TrackedServer& server, bool within_quota) {
  // A limit per gateway would be a fraction of a request here, and learned from very few samples.
  if (IsHighlyShared()) return RefillAndCheckSendCredit(server);
  if (now_ < server.backoff_until) return false;
  const double limit_fraction =
      within_quota || server.kind_stats->utilization < kMaxUtilizationForSurplus ? 1 : kSurplusLimitFraction;
  return server.in_flight < server.concurrency_slots * limit_fraction && RefillAndCheckSendCredit(server);
}

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

// Gradient limiter: shrinks the limit by the ratio of baseline to current latency, and lets it grow by a
// margin. With cost estimates, samples are weighted by their work, because the ratio of the means is a better
// estimate than the mean of the ratios.
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
  // The geometric mean of the ratios of the server and of its kind.
  const double latency_ratio =
      std::sqrt(server.latency_ewma / server.baseline_latency * kind.latency_ewma / kind.baseline_latency);
  const double excess = ExcessUtilization(server);
  const double gradient = std::clamp(
      std::min(LatencyTolerance() / latency_ratio, 1 - kUtilizationGain * excess), kMinGradient, 1.0);
  const double growth = excess > 0 || !is_served
                            ? 0
                            : kLimitGrowthFactor * std::sqrt(server.concurrency_limit / gateways_per_server_);
  const double target = server.concurrency_limit * gradient + growth;
  if (target > server.concurrency_limit && 2.0 * (server.in_flight + 1) < server.concurrency_limit)
    return;  // the current limit is not used, so there is no evidence for a higher one
  server.concurrency_limit =
      std::max(MinConcurrencyLimit(), server.concurrency_limit + (target - server.concurrency_limit) /
                                                                     std::max(2.0, server.concurrency_limit));
}

void Policy::Impl::UpdateBaselineLatency(TrackedServer& server, double sample, double work) {
  ServerKindStats& kind = *server.kind_stats;
  kind.slow_latency_ewma += SmoothingFactor(kSlowLatencySmoothingFactor, kind.latency_samples, work) *
                            (sample - kind.slow_latency_ewma);
  if (kind.latency_samples < kMinKindBaselineSamples || kind.slow_latency_ewma < kind.baseline_latency)
    kind.baseline_latency = kind.slow_latency_ewma;
  kind.baseline_latency += kBaselineDriftFactor / 4 * (kind.slow_latency_ewma - kind.baseline_latency);
  server.slow_latency_ewma += SmoothingFactor(kSlowLatencySmoothingFactor, server.latency_samples, work) *
                              (sample - server.slow_latency_ewma);
  const double confidence = std::min(1.0, server.latency_samples * kSlowLatencySmoothingFactor);
  server.baseline_latency =
      confidence < 1 ? confidence * server.slow_latency_ewma + (1 - confidence) * kind.baseline_latency
                     : std::min(server.baseline_latency, server.slow_latency_ewma);
  server.baseline_latency += kBaselineDriftFactor * (server.latency_ewma - server.baseline_latency);
  // A gateway that starts during an overload has no samples without load. There the clients' cost estimates
  // bound the baseline until there are enough samples.
  if (confidence < 1 && mean_estimated_cost_ > 0) {
    const Millis max_baseline = kMaxBaselineCostRatio * mean_estimated_cost_ / server.info.weight;
    server.baseline_latency = std::min(server.baseline_latency, max_baseline);
    kind.baseline_latency = std::min(kind.baseline_latency, max_baseline);
  }
}

// With key affinity, the limit is higher from the start on, as the latency tolerance is.
double Policy::Impl::InitialConcurrencyLimit() const {
  const double initial_limit =
      mean_estimated_cost_ > 0 ? kInitialConcurrencyLimitWithCost : kInitialConcurrencyLimit;
  return (utilization_index_ < settings_.load_report_fields.size()
              ? kInitialConcurrencyLimitWithReports
              : initial_limit * LatencyTolerance() / kLatencyTolerance) /
         gateways_per_server_;
}

}  // namespace opalswitch
