#include "xds/load_report.hpp"

#include <algorithm>
#include <cmath>

#include "envoy/service/load_stats/v3/lrs.pb.h"

namespace opalswitch::xds {
namespace {

namespace stats = envoy::config::endpoint::v3;

constexpr double kMaxRequestCount = 1e9;  // in one report
constexpr Millis kMinIntervalMs = 10, kMaxIntervalMs = 600000;

double CapCount(std::uint64_t count) { return std::min(static_cast<double>(count), kMaxRequestCount); }

std::string FormatAddress(const envoy::config::core::v3::Address& address) {
  const auto& socket = address.socket_address();
  if (socket.address().empty() || socket.address().size() > 64) return {};
  const bool is_ipv6 = socket.address().find(':') != std::string::npos;
  return (is_ipv6 ? "[" + socket.address() + "]" : socket.address()) + ":" +
         std::to_string(socket.port_value());
}

Millis MeanLatency(const stats::UpstreamEndpointStats& endpoint) {
  for (const auto& metric : endpoint.load_metric_stats()) {
    if (metric.metric_name() != "latency_ms" && metric.metric_name() != "rtt_ms") continue;
    const double mean =
        metric.total_metric_value() / static_cast<double>(metric.num_requests_finished_with_metric());
    if (std::isfinite(mean) && mean > 0 && mean < kMaxIntervalMs) return mean;
  }
  return 0;
}

}  // namespace

std::vector<LoadReport> ParseLoadReports(const envoy::service::load_stats::v3::LoadStatsRequest& request,
                                         const LoadReportLimits& limits) {
  std::vector<LoadReport> reports;
  std::size_t endpoints = 0;
  for (const stats::ClusterStats& cluster : request.cluster_stats()) {
    if (reports.size() >= limits.max_clusters) break;
    LoadReport report;
    report.pool = cluster.cluster_name();
    const auto& interval = cluster.load_report_interval();
    report.interval = std::clamp(
        static_cast<double>(interval.seconds()) * 1000 + static_cast<double>(interval.nanos()) / 1e6,
        kMinIntervalMs, kMaxIntervalMs);
    for (const stats::UpstreamLocalityStats& locality : cluster.upstream_locality_stats()) {
      EndpointLoad load;
      load.zone = locality.locality().zone();
      load.sub_zone = locality.locality().sub_zone();
      if (locality.upstream_endpoint_stats().empty()) {
        if (++endpoints > limits.max_endpoints) break;
        load.served = CapCount(locality.total_successful_requests());
        load.failed = CapCount(locality.total_error_requests());
        load.in_progress = CapCount(locality.total_requests_in_progress());
        report.endpoints.push_back(load);
        continue;
      }
      for (const stats::UpstreamEndpointStats& endpoint : locality.upstream_endpoint_stats()) {
        if (++endpoints > limits.max_endpoints) break;
        load.address = FormatAddress(endpoint.address());
        if (load.address.empty()) continue;
        load.served = CapCount(endpoint.total_successful_requests());
        load.failed = CapCount(endpoint.total_error_requests());
        load.in_progress = CapCount(endpoint.total_requests_in_progress());
        load.latency = MeanLatency(endpoint);
        report.endpoints.push_back(load);
      }
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace opalswitch::xds
