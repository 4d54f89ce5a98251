#include "xds/load_aggregator.hpp"

#include <algorithm>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMaxReportersPerHost = 32;  // beyond it, the oldest report is dropped
constexpr Millis kReportLifetimeMs = 10000;
constexpr double kMinRequestsPerReport = 5;     // reports with fewer count only if no proxy has more
constexpr double kReportSmoothingFactor = 0.3;  // for the inputs of Little's law

double LowerMedian(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void LoadAggregator::AddReport(const std::string& host, const std::string& proxy, const EndpointLoad& load,
                               Millis interval, Millis now) {
  if (load.served + load.failed <= 0) return;
  auto& reports = hosts_[host];
  const auto [entry, added] = reports.try_emplace(proxy);
  ProxyReport& report = entry->second;
  const double responses_per_ms = (load.served + load.failed) / interval;
  const double smoothing_factor = added ? 1 : kReportSmoothingFactor;
  report.in_flight += smoothing_factor * (load.in_progress - report.in_flight);
  report.responses_per_ms += smoothing_factor * (responses_per_ms - report.responses_per_ms);
  report.served = load.served;
  report.failed = load.failed;
  // Little's law: requests in flight = completion rate * latency.
  report.latency = load.latency > 0       ? load.latency
                   : report.in_flight > 0 ? report.in_flight / report.responses_per_ms
                                          : 0;
  report.received_at = now;
  if (reports.size() <= kMaxReportersPerHost) return;
  const auto oldest = std::min_element(reports.begin(), reports.end(), [](const auto& a, const auto& b) {
    return a.second.received_at < b.second.received_at;
  });
  reports.erase(oldest);
}

std::optional<LoadAggregator::HostEstimate> LoadAggregator::Estimate(const std::string& host, Millis since,
                                                                     Millis now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return std::nullopt;
  HostEstimate estimate;
  std::vector<double> failure_fractions, fallback_fractions, latencies;
  for (const auto& [proxy, report] : found->second) {
    if (report.received_at < since || now - report.received_at > kReportLifetimeMs) continue;
    const double total = report.served + report.failed;
    (total >= kMinRequestsPerReport ? failure_fractions : fallback_fractions)
        .push_back(report.failed / total);
    if (report.latency > 0) latencies.push_back(report.latency);
    estimate.updated_at = std::max(estimate.updated_at, report.received_at);
  }
  estimate.reporter_count = failure_fractions.size() + fallback_fractions.size();
  if (estimate.reporter_count == 0) return std::nullopt;
  estimate.failure_fraction = LowerMedian(failure_fractions.empty() ? fallback_fractions : failure_fractions);
  if (!latencies.empty()) estimate.latency = LowerMedian(latencies);
  return estimate;
}

}  // namespace opalswitch::xds
