// The state of a Policy: plain data structures without decision logic, and the validation of its settings.
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

// Initial value of points in time: before any time that the gateway reports.
constexpr Millis kDistantPast = -1e15;

// Throws std::invalid_argument, naming the invalid field. Returns the sum of the classes' worth.
double ValidateSettings(const Settings& settings);

// FNV-1a with a finalizer. std::hash is not suitable: all gateways must rank servers in the same order.
inline std::uint64_t Hash(std::string_view text, std::uint64_t h = 1469598103934665603ULL) {
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
  return h ^ (h >> 33);
}

// Maps a hash to a number strictly between 0 and 1.
inline double HashToUnitInterval(std::uint64_t h) {
  h *= 0x9e3779b97f4a7c15ULL;
  h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93ULL;
  return (static_cast<double>((h ^ (h >> 32)) >> 11) + 0.5) / 9007199254740992.0;
}

// Returns the median, or 0 for an empty vector. Reorders `values`.
inline double MedianOf(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Statistics over all servers of one kind (Server::kind). Latencies are per unit of relative work, as in
// TrackedServer.
struct ServerKindStats {
  Millis latency_ewma = 0;
  Millis slow_latency_ewma = 0;
  Millis baseline_latency = 0;
  double utilization = 0;  // EWMA of the reported utilization
  int latency_samples = 0;
};

// A server of the membership and what this gateway has learned about it.
struct TrackedServer {
  Server info;
  ServerKindStats* kind_stats = nullptr;
  std::uint64_t hash = 0;  // of the id
  bool is_up = false;
  bool in_subset = false;  // the gateway sends requests to it
  int attempt_refs = 0;    // attempts of active requests that point to this server
  int in_flight = 0;       // this gateway's attempts in flight

  // Latency per unit of relative work (RelativeWork), 0 = no sample yet.
  Millis latency_ewma = 0;
  Millis slow_latency_ewma = 0;  // with a smaller smoothing factor
  Millis baseline_latency = 0;   // latency without load: tracks the minimum of slow_latency_ewma
  Millis last_latency_sample = 0;
  int latency_samples = 0;
  double utilization = 0;  // EWMA of the reported utilization

  // Concurrency limit for this gateway's requests. Below 1, the server is used with pauses between requests.
  double concurrency_limit = 1;
  double concurrency_slots = 1;  // concurrency_limit rounded up or down at random
  Millis backoff_until = kDistantPast;

  // Outlier detection.
  double failure_rate = 0;  // EWMA of failures (1) and successes (0)
  bool is_ejected = false;
  bool may_have_restarted = false;  // connections failed: it may come back as a new, cold process
  Millis next_probe_at = 0;
  Millis probe_interval = 0;
  Millis last_success_at = kDistantPast;

  // Warm-up and send budget.
  Millis warm_up_started_at = kDistantPast;
  double send_budget_per_ms = 0;  // requests per ms, learned from load reports; 0 = unknown
  Millis send_budget_updated_at = 0;
  double send_credit = 0;  // requests that may be sent now; used while HasSendBudget
  Millis send_credit_updated_at = 0;

  // Position in the ServerIndex (server_index.hpp), which maintains these fields.
  static constexpr std::size_t kNotIndexed = static_cast<std::size_t>(-1);
  static constexpr Millis kNotScheduled = 1e300;
  std::uint64_t sequence_number = 0;  // order in which servers were added
  std::size_t ready_position = kNotIndexed;
  Millis backoff_key = kNotScheduled;
  Millis probe_key = kNotScheduled;
  Millis warm_up_key = kNotScheduled;
  // This server's contribution to the sums of the index.
  double counted_up_weight = 0;
  double counted_available_weight = 0;
  double counted_warm_weight = 0;
  double counted_concurrency_limit = 0;
};

// An attempt of an ActiveRequest. Its server stays valid because it is counted in
// TrackedServer::attempt_refs.
struct Attempt {
  TrackedServer* server;
  Millis sent_at;
  bool in_flight = true;
  bool may_have_run = true;  // until the outcome says that it did not
};

// A request from its arrival until it has its final answer and all its attempts have ended.
struct ActiveRequest {
  std::string id;
  int class_index = 0;
  std::uint64_t key_hash = 0;  // 0 = no key
  Millis arrived_at = 0;
  Millis aim_deadline = 0;     // a response until then is within the class's aim
  Millis client_deadline = 0;  // the client gives up then
  Millis estimated_cost = 0;   // the client's estimate of the work; 0 = none
  bool within_quota = true;    // of its tenant
  bool is_answered = false;
  bool is_queued = false;
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have run determines the servers to which a keyed request may be resent.
  const Attempt* FirstAttemptThatMayHaveRun() const {
    for (const Attempt& a : attempts) {
      if (a.may_have_run) return &a;
    }
    return nullptr;
  }
  bool NeverRan() const { return FirstAttemptThatMayHaveRun() == nullptr; }
};

// A class: its settings, statistics, scheduling credit and queues.
struct ClassState {
  ClassSettings settings;
  // Most-credit-first scheduling: each token goes to the backlogged class with the highest credit. A class
  // earns credit in proportion to its weight.
  double weight = 0;
  double credit = 0;
  // Exponentially decayed counts of requests, and of responses within the aim.
  double request_count = 0;
  double timely_count = 0;
  Millis first_try_time_left = 0;  // Request::time_left of requests that are not client retries
  Millis latency_ewma = 0;
  int latency_samples = 0;
  std::deque<ActiveRequest*> retry_queue;  // requests whose last attempt failed
  std::deque<ActiveRequest*> within_quota_queue;
  std::deque<ActiveRequest*> surplus_queue;  // requests beyond their tenant's quota

  // Fraction of the requests that were answered within the aim.
  double TimelyFraction() const { return timely_count / std::max(1.0, request_count); }
  std::size_t QueuedRequests() const {
    return retry_queue.size() + within_quota_queue.size() + surplus_queue.size();
  }
  // The queue to take the next request from.
  std::deque<ActiveRequest*>& NextQueue() {
    return !retry_queue.empty()          ? retry_queue
           : !within_quota_queue.empty() ? within_quota_queue
                                         : surplus_queue;
  }
};

// A tenant's quota at this gateway, as a token bucket.
struct TenantState {
  double quota_per_ms = 0;  // requests per ms; 0 = unlimited
  double tokens = 0;
  Millis refilled_at = 0;
  double within_quota_fraction = 1;  // EWMA over requests that are not client retries
};

// The complete state of a Policy.
struct State {
  Settings settings_;
  std::mt19937_64 random_;
  // Actions must not depend on the iteration order of unordered containers: these are never iterated.
  std::unordered_map<std::string, int> class_indices_;
  std::unordered_map<std::string, TenantState> tenants_;
  std::unordered_map<std::string, ActiveRequest> requests_;
  std::vector<ClassState> classes_;
  std::map<std::string, ServerKindStats> kind_stats_;
  std::map<std::string, TrackedServer> servers_;  // ordered, because it is iterated

  // Buffers, kept to avoid allocations.
  std::vector<std::pair<double, TrackedServer*>> candidates_;
  std::vector<double> median_scratch_;
  std::vector<ActiveRequest*> expired_requests_;
  std::vector<Action>* actions_ = nullptr;  // output of the event that is being handled

  bool started_ = false;  // an event has been handled
  Millis now_ = 0;
  Millis last_sweep_at_ = 0;
  Millis next_log_at_ = kDistantPast;
  std::size_t utilization_index_ = 0;  // of "util" in a load report; past the end if it is not reported
  Millis next_watch_at_ = kDistantPast;
  Millis watch_backoff_ = 0;
  bool is_watch_established_ = false;  // an update has come since the last Watch

  // Token bucket.
  double tokens_ = 1;
  double refill_rate_ = 0;      // tokens per second
  double spent_rate_ = 0;       // exponentially decayed sum of spent tokens, as tokens per second
  double late_fraction_ = 0;    // EWMA over outcomes: 0 within the aim, 1 otherwise
  Millis first_server_at_ = 0;  // when the first server became known
  Millis next_rate_decrease_at_ = kDistantPast;
  double retry_budget_ = 1;  // retries that may be made

  // Statistics over all requests and servers.
  double server_failure_rate_ = 0;  // EWMA of failures over all servers that are not ejected
  double arrivals_per_ms_ = 0;      // smoothed request rate
  // Exponentially decayed sums over warm servers: responses, and weight times time.
  double warm_responses_ = 0;
  double warm_weight_ms_ = 0;
  double reference_rate_per_ms_ = 0;  // responses per ms of a warm server of weight 1
  Millis mean_estimated_cost_ = 0;    // of the requests that have an estimate; 0 = none so far
  Millis mean_latency_ = 0;
  int latency_samples_ = 0;
  std::size_t latency_updates_ = 0;  // servers' latency changes since median_latency_ was computed
  Millis median_latency_ = 0;
  bool has_median_ = false;

  int servers_up_ = 0;
  int attempts_in_flight_ = 0;
  std::size_t queued_requests_ = 0;
  std::set<std::string> down_servers_;  // servers that are not up but still tracked
  std::uint64_t servers_seen_ = 0;      // servers added so far

  // Subset selection.
  std::vector<std::pair<double, TrackedServer*>> ring_;
  double ring_position_ = 0;       // of this gateway, in [0, 1)
  bool uses_all_servers_ = false;  // the subset is the whole membership
  bool subset_update_pending_ = false;
  Millis next_subset_update_at_ = kDistantPast;
  double gateways_per_server_ = 1;  // mean number of gateways that send to a server

  ActiveRequest* FindRequest(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  // Appends a request to a queue of its class.
  void AddToQueue(ActiveRequest& request, std::deque<ActiveRequest*>& queue) {
    request.is_queued = true;
    ++queued_requests_;
    queue.push_back(&request);
  }

  // Removes a request from the queue that it is in, if any.
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

  // A random number, uniformly distributed in [0, 1).
  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
};

}  // namespace opalswitch

#endif  // OPALSWITCH_STATE_HPP_
