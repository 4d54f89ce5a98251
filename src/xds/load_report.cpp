#include "xds/load_report.hpp"

#include <algorithm>
#include <cmath>

#include "envoy/service/load_stats/v3/lrs.pb.h"

namespace opalswitch::xds {
namespace {

namespace stats = envoy::config::endpoint::v3;

constexpr double kMostCount = 1e9;  // requests in a report
constexpr Millis kLeastInterval = 10, kMostInterval = 600000;

double Count(std::uint64_t count) { return std::min(static_cast<double>(count), kMostCount); }

std::string AddressOf(const envoy::config::core::v3::Address& address) {
  const auto& socket = address.socket_address();
  if (socket.address().empty() || socket.address().size() > 64) return {};
  const bool six = socket.address().find(':') != std::string::npos;
  return (six ? "[" + socket.address() + "]" : socket.address()) + ":" + std::to_string(socket.port_value());
}

Millis LatencyOf(const stats::UpstreamEndpointStats& endpoint) {
  for (const auto& metric : endpoint.load_metric_stats()) {
    if (metric.metric_name() != "latency_ms" && metric.metric_name() != "rtt_ms") continue;
    const double mean =
        metric.total_metric_value() / static_cast<double>(metric.num_requests_finished_with_metric());
    if (std::isfinite(mean) && mean > 0 && mean < kMostInterval) return mean;
  }
  return 0;
}

}  // namespace

std::vector<LoadReport> ReadLoads(const envoy::service::load_stats::v3::LoadStatsRequest& request,
                                  const ReportBounds& bounds) {
  std::vector<LoadReport> reports;
  std::size_t endpoints = 0;
  for (const stats::ClusterStats& cluster : request.cluster_stats()) {
    if (reports.size() >= bounds.clusters) break;
    LoadReport report;
    report.pool = cluster.cluster_name();
    const auto& interval = cluster.load_report_interval();
    report.interval = std::clamp(
        static_cast<double>(interval.seconds()) * 1000 + static_cast<double>(interval.nanos()) / 1e6,
        kLeastInterval, kMostInterval);
    for (const stats::UpstreamLocalityStats& locality : cluster.upstream_locality_stats()) {
      EndpointLoad load;
      load.zone = locality.locality().zone();
      load.sub_zone = locality.locality().sub_zone();
      if (locality.upstream_endpoint_stats().empty()) {
        if (++endpoints > bounds.endpoints) break;
        load.served = Count(locality.total_successful_requests());
        load.failed = Count(locality.total_error_requests());
        load.in_progress = Count(locality.total_requests_in_progress());
        report.endpoints.push_back(load);
        continue;
      }
      for (const stats::UpstreamEndpointStats& endpoint : locality.upstream_endpoint_stats()) {
        if (++endpoints > bounds.endpoints) break;
        load.address = AddressOf(endpoint.address());
        if (load.address.empty()) continue;
        load.served = Count(endpoint.total_successful_requests());
        load.failed = Count(endpoint.total_error_requests());
        load.in_progress = Count(endpoint.total_requests_in_progress());
        load.latency = LatencyOf(endpoint);
        report.endpoints.push_back(load);
      }
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace opalswitch::xds
