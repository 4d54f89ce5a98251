// Parses and sanitizes proxies' load reports (LRS). No I/O. Follows the published protocol,
// envoy.service.load_stats.v3.
#ifndef OPALSWITCH_XDS_LOAD_REPORT_HPP_
#define OPALSWITCH_XDS_LOAD_REPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"

namespace envoy::service::load_stats::v3 {
class LoadStatsRequest;
}

namespace opalswitch::xds {

// Load of one endpoint since the previous report.
struct EndpointLoad {
  std::string address;  // "10.0.0.1:80"; empty if the proxy reports localities only
  std::string zone, sub_zone;
  double served = 0, failed = 0;
  double in_progress = 0;  // when the report was made
  Millis latency = 0;      // mean; 0 = not reported
};

struct LoadReport {
  std::string pool;
  Millis interval = 0;  // that the report covers
  std::vector<EndpointLoad> endpoints;
};

struct LoadReportLimits {
  std::size_t max_clusters = 1000;
  std::size_t max_endpoints = 20000;  // over all clusters of one report
};

// Clamps implausible values and drops what exceeds the limits. A locality without endpoints of its own gives
// one entry without an address. The mean latency is read from the load metrics "latency_ms" or "rtt_ms".
std::vector<LoadReport> ParseLoadReports(const envoy::service::load_stats::v3::LoadStatsRequest& request,
                                         const LoadReportLimits& limits = LoadReportLimits());

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_REPORT_HPP_
