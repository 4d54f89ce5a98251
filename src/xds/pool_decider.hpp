// Turns the load reports on one pool into endpoint weights and health for proxies that balance load
// themselves. It feeds the reports to a decision module and reads the module's server statuses. No I/O and no
// clock.
//
// The module learns only from the outcomes of requests. The decider therefore submits sample requests, which
// are not sent anywhere, and ends each one as the reports say that requests to the chosen host end. A host
// that the module ejects is published as ejected. When the module selects it for a probe, the host is
// published as healthy with a small weight, until reports on it show that it still fails or that it has
// recovered.
#ifndef OPALSWITCH_XDS_POOL_DECIDER_HPP_
#define OPALSWITCH_XDS_POOL_DECIDER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "xds/load_aggregator.hpp"
#include "xds/resources.hpp"

namespace opalswitch::xds {

class PoolDecider {
 public:
  // Only the warm-up settings of the pool's `settings` are used.
  PoolDecider(const Settings& settings, std::uint64_t seed);

  // Applies a membership update, with the drains of other pools and of operators already applied to it.
  void UpdateMembership(const gateway::HostList& list, Millis now);
  // Processes one proxy's load report on this pool.
  void AddLoadReport(const std::string& proxy, const LoadReport& report, Millis now);
  // To be called every few ms.
  void Tick(Millis now);

  // Returns the pool's endpoints, ordered by id. The cost grows with the number of hosts.
  std::vector<EndpointAssignment> Endpoints() const;
  // Returns one host's state in the membership, at a cost independent of the pool's size; nullopt if the pool
  // does not have it.
  std::optional<ServerState> FindState(const std::string& host) const;
  std::size_t size() const { return hosts_.size(); }

  struct HostStatus {
    std::string id, address;
    EndpointHealth health;
    std::uint32_t weight;
    bool is_probed;           // ejected by the module, but in use with a small weight
    double failure_fraction;  // as reported; 0 without reports
    std::size_t reporter_count;
  };
  std::vector<HostStatus> Status(Millis now) const;
  // Number of entries of load reports that matched no host.
  std::uint64_t unmatched_reports() const { return unmatched_reports_; }
  // Returns the module's log lines on servers since the last call.
  std::vector<std::string> TakeLog() { return std::exchange(log_, {}); }

 private:
  struct HostRecord {
    gateway::Host host;
    double sample_credit = 0;      // reported requests that no sample has been submitted for yet
    double failure_remainder = 0;  // sum of failure fractions; at 1, the next sample fails
    Millis replaced_at = 0;        // earlier reports concern another process
    // Set from the first probe of an ejected host until a probe fails or the ejection ends; meanwhile the
    // host has a small weight.
    Millis probing_since = -1;  // -1 = not being probed
    Millis probe_sent_at = 0;
    std::string probe_request;  // id of the sample waiting for a report; empty if none
  };
  // A sample that ends at a given time.
  struct ScheduledOutcome {
    Millis at;
    std::string request, host;
    Result result;
    Millis latency;
    bool operator>(const ScheduledOutcome& other) const { return at > other.at; }
  };

  void RemoveHost(const std::string& id);
  void RemoveAddress(const std::string& id, const HostRecord& record);
  void SubmitSample(Millis now);
  void ProcessActions(std::vector<Action>& actions, Millis now);
  // Decides how a sample ends that the module sends to a host: now, later, or with the next report (a probe).
  void HandleSend(const Send& send, Millis now);
  void ReportOutcome(const std::string& request, const std::string& host, Result result, Millis latency,
                     Millis now);
  // Determines the outcome of a sample at the host from the reports received since `since`; returns false if
  // there are none.
  bool DrawOutcome(const std::string& host, HostRecord& record, Millis since, Millis now, Result& result,
                   Millis& latency);

  Policy policy_;
  LoadAggregator load_aggregator_;
  std::map<std::string, HostRecord> hosts_;
  std::map<std::string, std::string> by_address_;
  std::set<std::string> ejected_;  // as of the last tick
  std::priority_queue<ScheduledOutcome, std::vector<ScheduledOutcome>, std::greater<>> scheduled_outcomes_;
  Millis typical_latency_ = 1;  // smoothed over all hosts; used for hosts whose latency is unknown
  std::uint64_t sample_count_ = 0, unmatched_reports_ = 0;
  bool has_changes_ = true;  // there was an event since the last tick that processed all hosts
  std::vector<std::string> log_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_POOL_DECIDER_HPP_
