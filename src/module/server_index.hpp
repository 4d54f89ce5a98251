// Index over a Policy's servers. It keeps the cost of selecting a server, and of sums over all servers,
// independent of their number. It makes no decisions: the Policy determines which servers are ready, and
// when.
#ifndef OPALSWITCH_SERVER_INDEX_HPP_
#define OPALSWITCH_SERVER_INDEX_HPP_

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "module/state.hpp"

namespace opalswitch {

// Orders by time, then by the order in which servers were added. Comparing pointers instead would make the
// order differ between runs.
struct EarlierFirst {
  bool operator()(const std::pair<Millis, TrackedServer*>& a,
                  const std::pair<Millis, TrackedServer*>& b) const {
    return a.first != b.first ? a.first < b.first : a.second->sequence_number < b.second->sequence_number;
  }
};

// Does not own the servers. A server must be updated with is_up == false before it is destroyed.
class ServerIndex {
 public:
  // Updates the index after a change of is_up, in_subset, is_ejected, in_flight, the weight, the concurrency
  // limit or next_probe_at, and whenever the server may have become ready. `warm_at` is the end of its
  // warm-up.
  void UpdateServer(TrackedServer& server, Millis now, Millis warm_at) {
    const bool is_available = server.is_up && !server.is_ejected;
    const bool receives_requests = is_available && server.in_subset;
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

  // Servers that may be ready for a request, in no particular order.
  std::size_t ready_count() const { return ready_.size(); }
  TrackedServer& ready_server(std::size_t i) const { return *ready_[i]; }
  // Excludes a server until the next UpdateServer.
  void MarkNotReady(TrackedServer& server) {
    if (server.ready_position == TrackedServer::kNotIndexed) return;
    ready_[server.ready_position] = ready_.back();
    ready_[server.ready_position]->ready_position = server.ready_position;
    ready_.pop_back();
    server.ready_position = TrackedServer::kNotIndexed;
  }
  // Excludes a server until the next UpdateServer, or until ReactivateDueServers at `until` or later.
  void MarkNotReadyUntil(TrackedServer& server, Millis until) {
    MarkNotReady(server);
    UpdateTimeIndex(backing_off_, server, server.backoff_key, true, until);
  }
  // Includes servers again whose MarkNotReadyUntil time has passed, at most `max_servers` of them.
  void ReactivateDueServers(Millis now, int max_servers) {
    while (max_servers-- > 0 && !backing_off_.empty() && backing_off_.begin()->first <= now) {
      TrackedServer& server = *backing_off_.begin()->second;
      UpdateTimeIndex(backing_off_, server, server.backoff_key, false, 0);
      MarkReady(server);
    }
  }
  // Returns the ejected server with the earliest due probe for which `matches` is true, or null. Only the
  // first `max_probes` due probes are considered.
  template <typename Predicate>
  TrackedServer* FindDueProbe(Millis now, int max_probes, Predicate matches) const {
    for (auto probe = probes_.begin(); probe != probes_.end() && probe->first <= now && max_probes-- > 0;
         ++probe) {
      if (matches(*probe->second)) return probe->second;
    }
    return nullptr;
  }
  // Adds servers whose warm-up has ended to warm_weight().
  void CountWarmedUpServers(Millis now) {
    while (!warming_up_.empty() && warming_up_.begin()->first <= now) {
      TrackedServer& server = *warming_up_.begin()->second;
      UpdateTimeIndex(warming_up_, server, server.warm_up_key, false, 0);
      UpdateSum(warm_weight_, server.counted_warm_weight, server.info.weight);
    }
  }

  // Sum of the weights of servers that are up.
  double up_weight() const { return up_weight_; }
  // Sum of the weights of servers that are up and not ejected.
  double available_weight() const { return available_weight_; }
  // Sum of the weights of servers that are up, not ejected and warm.
  double warm_weight() const { return warm_weight_; }
  // Sum of the concurrency limits of the servers in the subset that are up and not ejected.
  double total_concurrency_limit() const { return total_concurrency_limit_; }

 private:
  using TimeIndex = std::set<std::pair<Millis, TrackedServer*>, EarlierFirst>;

  // Replaces a server's contribution to `sum`.
  static void UpdateSum(double& sum, double& counted, double contribution) {
    if (counted == contribution) return;
    sum += contribution - counted;
    counted = contribution;
  }
  // Inserts, moves or removes a server; `key` is its time in the index, or kNotScheduled.
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
  TimeIndex backing_off_;  // servers that are excluded until a time
  TimeIndex probes_;       // ejected servers, by the time of the next probe
  TimeIndex warming_up_;   // servers, by the end of their warm-up
  double up_weight_ = 0;
  double available_weight_ = 0;
  double warm_weight_ = 0;
  double total_concurrency_limit_ = 0;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_SERVER_INDEX_HPP_
