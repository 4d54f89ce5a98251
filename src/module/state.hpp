// What a Policy remembers: plain data without decisions, and the check of its settings.
#ifndef OPALSWITCH_STATE_HPP_
#define OPALSWITCH_STATE_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch {

constexpr Millis kDistantPast = -1e15;

// Throws std::invalid_argument naming the field that can't work. Returns the classes' summed worth.
double ValidateSettings(const Settings& settings);

// FNV-1a with a final mix: all gateways must rank servers alike, so std::hash will not do.
inline std::uint64_t Hash(std::string_view text, std::uint64_t h = 1469598103934665603ULL) {
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
  return h ^ (h >> 33);
}

// A hash as a fraction strictly between 0 and 1.
inline double HashToUnitInterval(std::uint64_t h) {
  h *= 0x9e3779b97f4a7c15ULL;
  h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93ULL;
  return (static_cast<double>((h ^ (h >> 32)) >> 11) + 0.5) / 9007199254740992.0;
}

// The middle one, or 0 if there is none. Reorders them.
inline double MedianOf(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

struct ServerKindStats {  // what servers of one kind have in common
  double latency_ewma = 0, slow_latency_ewma = 0, baseline_latency = 0;
  double utilization = 0;  // reported utilisation, smoothed
  int latency_samples = 0;
};

struct TrackedServer {
  Server info;
  ServerKindStats* kind_stats = nullptr;
  std::uint64_t hash = 0;
  bool is_up = false;
  bool in_subset = false;        // in this gateway's subset
  int attempt_refs = 0;          // attempts of living requests that name it
  int in_flight = 0;             // own attempts out
  double latency_ewma = 0;       // smoothed, relative to the class; 0 = unmeasured
  double slow_latency_ewma = 0;  // the same, smoothed over more samples
  double baseline_latency = 0;   // the lowest of that: what it is when uncrowded
  double last_latency_sample = 0;
  int latency_samples = 0;
  double utilization = 0;        // reported utilisation, smoothed
  double concurrency_limit = 1;  // own requests it takes uncrowded; below 1 it rests between them
  double concurrency_slots = 1;  // the limit rounded by chance to whole requests
  Millis backoff_until = kDistantPast;
  double failure_rate = 0;  // smoothed share of failures
  bool is_ejected = false;
  bool may_have_restarted = false;  // a connection failed: it may come back as a new, cold process
  Millis next_probe_at = 0;
  Millis probe_interval = 0;
  Millis last_success_at = kDistantPast;
  Millis warm_up_started_at = kDistantPast;
  double send_budget_per_ms =
      0;  // requests per ms that it may be sent, as its reports have it; 0 = not known
  Millis send_budget_updated_at = 0;  // when that was learned
  double send_credit = 0;             // requests that it may be sent now, while cold or where allowed counts
  Millis send_credit_updated_at = 0;
  // Where the index of all has it (fleet.hpp).
  static constexpr std::size_t kNotIndexed = static_cast<std::size_t>(-1);
  static constexpr Millis kNotScheduled = 1e300;
  std::uint64_t sequence_number = 0;  // in which it was first told
  std::size_t ready_position = kNotIndexed;
  Millis backoff_key = kNotScheduled, probe_key = kNotScheduled, warm_up_key = kNotScheduled;
  double counted_up_weight = 0, counted_available_weight = 0, counted_warm_weight = 0,
         counted_concurrency_limit = 0;
};

struct Attempt {
  TrackedServer* server;
  Millis sent_at;
  bool in_flight = true;
  bool may_have_run = true;
};

// A request that the gateway has taken, until it is answered and all its attempts have ended.
struct ActiveRequest {
  std::string id;
  int class_index = 0;
  std::uint64_t key_hash = 0;  // 0 = none
  Millis arrived_at = 0, aim_deadline = 0, client_deadline = 0;
  Millis estimated_cost = 0;  // its work as the client guesses it; 0 = not told
  bool within_quota = true;
  bool is_answered = false;
  bool is_queued = false;
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have run decides where a keyed request may still go.
  const Attempt* FirstAttemptThatMayHaveRun() const {
    for (const Attempt& a : attempts) {
      if (a.may_have_run) return &a;
    }
    return nullptr;
  }
  bool NeverRan() const { return FirstAttemptThatMayHaveRun() == nullptr; }
};

struct ClassState {  // one class: its settings, learned latency, credit and queues
  ClassSettings settings;
  double weight = 0;  // in Most Credit First
  double credit = 0;
  double request_count = 0, timely_count = 0;  // requests, and those answered within their aim: both fading
  Millis first_try_time_left = 0;              // what a first try still has
  double latency_ewma = 0;
  int latency_samples = 0;
  std::deque<ActiveRequest*> retry_queue, within_quota_queue, surplus_queue;

  double TimelyFraction() const {
    return timely_count / std::max(1.0, request_count);
  }  // part that is answered in time
  std::size_t QueuedRequests() const {
    return retry_queue.size() + within_quota_queue.size() + surplus_queue.size();
  }
  std::deque<ActiveRequest*>& NextQueue() {
    return !retry_queue.empty()          ? retry_queue
           : !within_quota_queue.empty() ? within_quota_queue
                                         : surplus_queue;
  }
};

struct TenantState {
  double quota_per_ms = 0;
  double tokens = 0;
  Millis refilled_at = 0;
  double within_quota_fraction = 1;  // part of its first tries that was within its share, smoothed
};

// All that one Policy remembers.
struct State {
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<ClassState> classes_;
  std::unordered_map<std::string, int> class_indices_;       // looked up, never iterated
  std::unordered_map<std::string, TenantState> tenants_;     // the same
  std::unordered_map<std::string, ActiveRequest> requests_;  // the same
  std::map<std::string, ServerKindStats> kind_stats_;
  std::map<std::string, TrackedServer> servers_;  // ordered: iteration must be repeatable
  std::vector<std::pair<double, TrackedServer*>> candidates_;
  std::vector<double> median_scratch_;
  std::vector<ActiveRequest*> expired_requests_;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  std::size_t utilization_index_ =
      0;  // place of the utilisation in a load report; past its end if not reported
  Millis now_ = 0;
  Millis next_watch_at_ = kDistantPast, watch_backoff_ = 0;
  Millis next_rate_decrease_at_ = kDistantPast, next_log_at_ = kDistantPast;
  Millis first_server_at_ = 0;  // when the first server was told of
  double tokens_ = 1, refill_rate_ = 0, spent_rate_ = 0, late_fraction_ = 0;
  double server_failure_rate_ = 0;                  // failing share of all servers that are not suspect
  double arrivals_per_ms_ = 0;                      // requests per ms, smoothed
  double warm_responses_ = 0, warm_weight_ms_ = 0;  // answers of warm servers, and their time, both fading
  Millis last_sweep_at_ = 0;
  Millis mean_estimated_cost_ = 0;  // of the requests that tell one
  double mean_latency_ = 0, reference_rate_per_ms_ = 0, retry_budget_ = 1;
  int latency_samples_ = 0, servers_up_ = 0;
  int attempts_in_flight_ = 0;  // attempts out
  std::size_t queued_requests_ = 0;
  std::vector<std::pair<double, TrackedServer*>> ring_;
  double ring_position_ = 0;       // of this gateway on the ring of servers
  bool uses_all_servers_ = false;  // it uses all servers
  bool subset_update_pending_ = false;
  Millis next_subset_update_at_ = kDistantPast;  // not chosen anew before
  std::set<std::string> down_servers_;           // servers that are not up, and are remembered still
  std::uint64_t servers_seen_ = 0;               // servers told of so far
  std::size_t latency_updates_ = 0;              // latencies that changed since the median was found
  double median_latency_ = 0;
  bool has_median_ = false;
  double gateways_per_server_ = 1;  // gateways that use each server

  ActiveRequest* FindRequest(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  void AddToQueue(ActiveRequest& request, std::deque<ActiveRequest*>& queue) {
    request.is_queued = true;
    ++queued_requests_;
    queue.push_back(&request);
  }

  void RemoveFromQueue(ActiveRequest& request) {
    if (!request.is_queued) return;
    ClassState& class_state = classes_[request.class_index];
    for (auto* queue :
         {&class_state.retry_queue, &class_state.within_quota_queue, &class_state.surplus_queue}) {
      if (const auto it = std::find(queue->begin(), queue->end(), &request); it != queue->end()) {
        queue->erase(it);
        break;
      }
    }
    request.is_queued = false;
    --queued_requests_;
  }

  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
};

}  // namespace opalswitch

#endif  // OPALSWITCH_STATE_HPP_
