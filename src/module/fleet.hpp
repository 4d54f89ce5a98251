// The servers of one Policy, indexed so that choosing one, and what is summed over all, costs the same
// however many there are. Plain bookkeeping: what is ready, and when, the Policy says.
#ifndef OPALSWITCH_FLEET_HPP_
#define OPALSWITCH_FLEET_HPP_

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "module/state.hpp"

namespace opalswitch {

// Ordered by time; of one time by the order in which the servers were first told, so that it is repeatable.
struct EarlierFirst {
  bool operator()(const std::pair<Millis, TrackedServer*>& a,
                  const std::pair<Millis, TrackedServer*>& b) const {
    return a.first != b.first ? a.first < b.first : a.second->sequence_number < b.second->sequence_number;
  }
};

class ServerIndex {
 public:
  // Puts a server where it belongs by its up, mine, suspect, weight, limit and next trial; `warm_at` is when
  // it has warmed up. To be called after any of these changed, and whenever it may have become ready.
  void UpdateServer(TrackedServer& server, Millis now, Millis warm_at) {
    const bool is_available = server.is_up && !server.is_ejected,
               receives_requests = is_available && server.in_subset;
    UpdateSum(available_weight_, server.counted_available_weight, is_available ? server.info.weight : 0);
    UpdateSum(up_weight_, server.counted_up_weight, server.is_up ? server.info.weight : 0);
    UpdateSum(total_concurrency_limit_, server.counted_concurrency_limit,
              receives_requests ? server.concurrency_limit : 0);
    const bool is_warm = now >= warm_at;
    UpdateSum(warm_weight_, server.counted_warm_weight, is_available && is_warm ? server.info.weight : 0);
    UpdateTimeIndex(warming_up_, server, server.warm_up_key, is_available && !is_warm, warm_at);
    UpdateTimeIndex(backing_off_, server, server.backoff_key, false, 0);
    UpdateTimeIndex(probes_, server, server.probe_key,
                    server.is_up && server.in_subset && server.is_ejected && server.in_flight == 0,
                    server.next_probe_at);
    receives_requests ? MarkReady(server) : MarkNotReady(server);
  }

  // Servers that may be ready, in no order.
  std::size_t ready_count() const { return ready_.size(); }
  TrackedServer& ready_server(std::size_t i) const { return *ready_[i]; }
  // It can't be ready before it is placed again ...
  void MarkNotReady(TrackedServer& server) {
    if (server.ready_position == TrackedServer::kNotIndexed) return;
    ready_[server.ready_position] = ready_.back();
    ready_[server.ready_position]->ready_position = server.ready_position;
    ready_.pop_back();
    server.ready_position = TrackedServer::kNotIndexed;
  }
  // ... or this time has come.
  void MarkNotReadyUntil(TrackedServer& server, Millis until) {
    MarkNotReady(server);
    UpdateTimeIndex(backing_off_, server, server.backoff_key, true, until);
  }
  // At most `max_servers` of those whose time has come.
  void ReactivateDueServers(Millis now, int max_servers) {
    while (max_servers-- > 0 && !backing_off_.empty() && backing_off_.begin()->first <= now) {
      TrackedServer& server = *backing_off_.begin()->second;
      UpdateTimeIndex(backing_off_, server, server.backoff_key, false, 0);
      MarkReady(server);
    }
  }
  // The suspect whose trial is due first and that `fits`; of the first few that are due.
  template <typename Predicate>
  TrackedServer* FindDueProbe(Millis now, int max_probes, Predicate matches) const {
    for (auto probe = probes_.begin(); probe != probes_.end() && probe->first <= now && max_probes-- > 0;
         ++probe) {
      if (matches(*probe->second)) return probe->second;
    }
    return nullptr;
  }
  // Takes note of servers that have warmed up.
  void CountWarmedUpServers(Millis now) {
    while (!warming_up_.empty() && warming_up_.begin()->first <= now) {
      TrackedServer& server = *warming_up_.begin()->second;
      UpdateTimeIndex(warming_up_, server, server.warm_up_key, false, 0);
      UpdateSum(warm_weight_, server.counted_warm_weight, server.info.weight);
    }
  }

  double up_weight() const { return up_weight_; }                // of those that are up
  double available_weight() const { return available_weight_; }  // of those that are up and no suspects
  double warm_weight() const { return warm_weight_; }            // of the warm ones of these
  double total_concurrency_limit() const { return total_concurrency_limit_; }  // of those that are sent to

 private:
  using TimeIndex = std::set<std::pair<Millis, TrackedServer*>, EarlierFirst>;

  static void UpdateSum(double& sum, double& counted, double now) {
    if (counted == now) return;
    sum += now - counted;
    counted = now;
  }
  static void UpdateTimeIndex(TimeIndex& index, TrackedServer& server, Millis& key, bool is_member,
                              Millis time) {
    const Millis new_key = is_member ? time : TrackedServer::kNotScheduled;
    if (key == new_key) return;
    if (key != TrackedServer::kNotScheduled) index.erase({key, &server});
    key = new_key;
    if (is_member) index.insert({time, &server});
  }
  void MarkReady(TrackedServer& server) {
    if (server.ready_position != TrackedServer::kNotIndexed) return;
    server.ready_position = ready_.size();
    ready_.push_back(&server);
  }

  std::vector<TrackedServer*> ready_;
  TimeIndex backing_off_, probes_, warming_up_;
  double up_weight_ = 0, available_weight_ = 0, warm_weight_ = 0, total_concurrency_limit_ = 0;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_FLEET_HPP_
