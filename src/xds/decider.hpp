// One pool's decisions for proxies that route by themselves: a decision module that sends nothing, fed by
// what the proxies report, and its verdicts as endpoints with weights. Pure: no I/O, no clock.
//
// The module learns from outcomes alone. So it is asked where it would send sample requests, and each sample
// ends as the reports say that requests at that host end. A host that it holds for failing is left out; when
// it wants a trial, the host is given a small share for as long as reports on it take to come in.
#ifndef OPALSWITCH_XDS_DECIDER_HPP_
#define OPALSWITCH_XDS_DECIDER_HPP_

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

class Decider {
 public:
  // `settings` are the pool's own: how hosts warm up is taken from them.
  Decider(const Settings& settings, std::uint64_t seed);

  // What the membership says, drains of all pools and of operators included.
  void Told(const gateway::HostList& list, Millis now);
  // What one proxy reports of this pool.
  void Heard(const std::string& proxy, const LoadReport& report, Millis now);
  // To be called every few ms while the pool lives.
  void Tick(Millis now);

  // The pool's endpoints, in the order of their ids.
  std::vector<EndpointAssignment> Endpoints() const;
  // What the membership says of one, at the cost of one; nothing if it is not of the pool.
  std::optional<ServerState> StateOf(const std::string& host) const;
  std::size_t size() const { return hosts_.size(); }

  struct HostStatus {
    std::string id, address;
    EndpointHealth health;
    std::uint32_t weight;
    bool trial;
    double failing;  // as the proxies say, and how many do; 0 if none does
    std::size_t proxies;
  };
  std::vector<HostStatus> Status(Millis now) const;
  std::uint64_t unknown() const { return unknown_; }  // entries of reports that fit no host
  // The module's lines on its servers since the last call.
  std::vector<std::string> TakeLog() { return std::exchange(log_, {}); }

 private:
  struct Known {
    gateway::Host host;
    double owed = 0;         // reported requests that no sample stands for yet
    double failures = 0;     // part of a failure that samples owe
    Millis replaced_at = 0;  // reports from before it are of another process
    // A suspect that is being tried has a small share, from the first sample on until one fails.
    Millis tried_since = -1;  // -1 = it is not
    Millis trial_at = 0;
    std::string trial;  // the sample that is out to it; empty if none is
  };
  struct Ending {
    Millis at;
    std::string sample, host;
    Result result;
    Millis latency;
    bool operator>(const Ending& other) const { return at > other.at; }
  };

  void Drop(const std::string& id);
  void Unplace(const std::string& id, const Known& known);
  void Ask(Millis now);
  void Carry(std::vector<Action>& actions, Millis now);
  void Sent(const Send& send, Millis now);
  void End(const std::string& sample, const std::string& host, Result result, Millis latency, Millis now);
  // How a sample at the host ends now; false if no report tells.
  bool Draw(const std::string& host, Known& known, Millis since, Millis now, Result& result, Millis& latency);

  Policy policy_;
  LoadAggregator evidence_;
  std::map<std::string, Known> hosts_;
  std::map<std::string, std::string> by_address_;
  std::set<std::string> suspects_;  // as of the last tick
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings_;
  Millis usual_ = 1;  // latency, smoothed over all hosts: for one of which nobody can tell it
  std::uint64_t samples_ = 0, unknown_ = 0;
  bool moved_ = true;  // something was told since the last tick that went through all hosts
  std::vector<std::string> log_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_DECIDER_HPP_
