// Combines the load reports of several proxies on a pool's hosts into one estimate for each host. No I/O and
// no clock.
//
// A host's failure fraction and latency are the lower median of the proxies' values. As long as no more
// than half of the proxies that report on a host send false values, these don't make a healthy host look
// worse than some correct report on it.
#ifndef OPALSWITCH_XDS_LOAD_AGGREGATOR_HPP_
#define OPALSWITCH_XDS_LOAD_AGGREGATOR_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"
#include "xds/load_report.hpp"

namespace opalswitch::xds {

class LoadAggregator {
 public:
  struct HostEstimate {
    double failure_fraction = 0;  // failed requests / all requests
    Millis latency = 0;           // 0 = unknown
    Millis updated_at = 0;        // time of the newest report
    std::size_t reporter_count = 0;
  };

  // Adds one proxy's report on a host, which covers the `interval` that ended at `now`. A report without
  // completed requests is ignored.
  void AddReport(const std::string& host, const std::string& proxy, const EndpointLoad& load, Millis interval,
                 Millis now);
  // Returns nullopt if no report on the host was received at or after `since` and within the report lifetime.
  std::optional<HostEstimate> Estimate(const std::string& host, Millis since, Millis now) const;
  // Discards all reports on a host.
  void Forget(const std::string& host) { hosts_.erase(host); }

 private:
  struct ProxyReport {
    double served = 0, failed = 0;
    double in_flight = 0, responses_per_ms = 0;  // smoothed
    Millis latency = 0;
    Millis received_at = 0;
  };
  std::map<std::string, std::map<std::string, ProxyReport>> hosts_;  // by host, by proxy
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_AGGREGATOR_HPP_
