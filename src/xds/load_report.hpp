// What proxies say of the hosts that they send to (load_stats.v3), as numbers that can be trusted to be
// numbers. Pure. Source: the published LRS protocol, envoy.service.load_stats.v3.
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

// Of one endpoint, since the report before.
struct EndpointLoad {
  std::string address;  // "10.0.0.1:80"; empty where a proxy tells of localities alone
  std::string zone, sub_zone;
  double served = 0, failed = 0;
  double in_progress = 0;  // at the moment of the report
  Millis latency = 0;      // mean, where the proxy measures it; 0 = not told
};

struct LoadReport {
  std::string pool;
  Millis interval = 0;  // that the numbers are of
  std::vector<EndpointLoad> endpoints;
};

struct LoadReportLimits {
  std::size_t max_clusters = 1000;
  std::size_t max_endpoints = 20000;  // over all clusters of one report
};

// Numbers that no proxy can have had are cut to ones that it could; what is beyond the limits is left out.
// Of a locality without endpoints of its own, one entry without an address is made. The mean latency is read
// from the load metrics "latency_ms" or "rtt_ms".
std::vector<LoadReport> ParseLoadReports(const envoy::service::load_stats::v3::LoadStatsRequest& request,
                                         const LoadReportLimits& limits = LoadReportLimits());

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_REPORT_HPP_
