// One pool's decisions for proxies that route by themselves: a decision module that sends nothing, fed by
// what the proxies report, and its verdicts as endpoints with weights. Pure: no I/O, no clock.
//
// The module learns from outcomes alone. So it is asked where it would send sample requests, and each sample
// ends as the reports say that requests at that host end. A host that it holds for failing is left out; when
// it wants a trial, the host is given a small share for as long as reports on it take to come in.
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
  // `settings` are the pool's own: how hosts warm up is taken from them.
  PoolDecider(const Settings& settings, std::uint64_t seed);

  // What the membership says, drains of all pools and of operators included.
  void UpdateMembership(const gateway::HostList& list, Millis now);
  // What one proxy reports of this pool.
  void AddLoadReport(const std::string& proxy, const LoadReport& report, Millis now);
  // To be called every few ms while the pool lives.
  void Tick(Millis now);

  // The pool's endpoints, in the order of their ids.
  std::vector<EndpointAssignment> Endpoints() const;
  // What the membership says of one, at the cost of one; nothing if it is not of the pool.
  std::optional<ServerState> FindState(const std::string& host) const;
  std::size_t size() const { return hosts_.size(); }

  struct HostStatus {
    std::string id, address;
    EndpointHealth health;
    std::uint32_t weight;
    bool is_probed;
    double failure_fraction;  // as the proxies say, and how many do; 0 if none does
    std::size_t reporter_count;
  };
  std::vector<HostStatus> Status(Millis now) const;
  std::uint64_t unmatched_reports() const {
    return unmatched_reports_;
  }  // entries of reports that fit no host
  // The module's lines on its servers since the last call.
  std::vector<std::string> TakeLog() { return std::exchange(log_, {}); }

 private:
  struct HostRecord {
    gateway::Host host;
    double sample_credit = 0;      // reported requests that no sample stands for yet
    double failure_remainder = 0;  // part of a failure that samples owe
    Millis replaced_at = 0;        // reports from before it are of another process
    // A suspect that is being tried has a small share, from the first sample on until one fails.
    Millis probing_since = -1;  // -1 = it is not
    Millis probe_sent_at = 0;
    std::string probe_request;  // the sample that is out to it; empty if none is
  };
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
  void HandleSend(const Send& send, Millis now);
  void ReportOutcome(const std::string& sample, const std::string& host, Result result, Millis latency,
                     Millis now);
  // How a sample at the host ends now; false if no report tells.
  bool DrawOutcome(const std::string& host, HostRecord& record, Millis since, Millis now, Result& result,
                   Millis& latency);

  Policy policy_;
  LoadAggregator load_aggregator_;
  std::map<std::string, HostRecord> hosts_;
  std::map<std::string, std::string> by_address_;
  std::set<std::string> ejected_;  // as of the last tick
  std::priority_queue<ScheduledOutcome, std::vector<ScheduledOutcome>, std::greater<>> scheduled_outcomes_;
  Millis typical_latency_ = 1;  // latency, smoothed over all hosts: for one of which nobody can tell it
  std::uint64_t sample_count_ = 0, unmatched_reports_ = 0;
  bool has_changes_ = true;  // something was told since the last tick that went through all hosts
  std::vector<std::string> log_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_POOL_DECIDER_HPP_
