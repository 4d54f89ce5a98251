// What several proxies say of one pool's hosts, brought to one estimate for each host. Pure: no I/O, no
// clock.
//
// A host's failing share and latency are the lower median of what the proxies report of it: while less than
// half of the proxies that report on a host lie (of two: one), no lie makes a healthy host look worse than
// some honest proxy saw it.
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
    double failure_fraction = 0;  // share of its requests
    Millis latency = 0;           // 0 = nobody can tell
    Millis updated_at = 0;        // of the newest report in it
    std::size_t reporter_count = 0;
  };

  // `load` is one proxy's newest report on a host, of the `interval` that ended at `now`.
  void AddReport(const std::string& host, const std::string& proxy, const EndpointLoad& load, Millis interval,
                 Millis now);
  // Nothing if no proxy has told of the host since `since`, or not lately.
  std::optional<HostEstimate> Estimate(const std::string& host, Millis since, Millis now) const;
  void Forget(const std::string& host) { hosts_.erase(host); }

 private:
  struct ProxyReport {
    double served = 0, failed = 0;
    double in_flight = 0, responses_per_ms = 0;  // smoothed: in progress, and answers per ms
    Millis latency = 0;
    Millis received_at = 0;
  };
  std::map<std::string, std::map<std::string, ProxyReport>> hosts_;  // by host, by proxy
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_AGGREGATOR_HPP_
