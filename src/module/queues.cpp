// Admission and queueing. A request is sent at once, queued by class or refused. Queued requests are released
// by most-credit-first scheduling: the backlogged class with the highest credit goes first.
#include "module/impl.hpp"

namespace opalswitch {

// A request gets its final answer at least this long before the client gives up: two sweeps, because timers
// may fire late.
constexpr Millis kAnswerMarginMs = 20;
// Class weights are not updated while the decayed number of requests is below this.
constexpr double kMinRequestCount = 0.01;
// Lower bound of a tenant's burst, in requests.
constexpr double kMinQuotaBurst = 3;
// A class's credit stays within plus or minus this, in requests.
constexpr double kMaxClassCredit = 4;
// Time constant of the classes' request counts.
constexpr Millis kTimelyWindowMs = 20000;
// A difference of this in two classes' fractions of timely responses changes the ratio of their lag terms by
// a factor of e.
constexpr double kTimelyFractionScale = 0.05;
// Retry budget: retries earned per request, and their maximum.
constexpr double kRetriesPerFirstAttempt = 0.2;
constexpr double kMaxRetryBudget = 20;
// Smoothing factor of the time that first tries have left on arrival, where clients mark retries.
constexpr double kTimeLeftSmoothingFactor = 0.05;
// Only requests with less than this fraction of the time that first tries have left are treated as client
// retries when lateness is determined. Where clients mark retries, they must also be marked.
constexpr double kFirstTryTimeFraction = 0.95;
// Fraction of its time up to the aim that a request may be queued.
constexpr double kMaxWaitFraction = 0.15;
// The same for surplus requests. It is short because a queued request occupies a client connection.
constexpr double kMaxSurplusWaitFraction = 0.05;
// Where more gateways than this share a server, surplus requests are refused: no gateway knows of spare
// capacity.
constexpr double kMaxGatewaysForSurplus = 4;
// Client retries count as within quota if this fraction of the tenant's other requests is.
constexpr double kMinWithinQuotaFraction = 0.9;
constexpr double kWithinQuotaSmoothingFactor = 0.02;
// Queue length that is allowed in addition to what can be served within the aim.
constexpr double kMinQueueLength = 32;

// A class's weight is the value of a token spent on it, by the two terms of service quality (see Settings):
// the worth of its requests, and the lag of classes that get few timely responses. It is proportional to the
// number of requests, so that otherwise equal classes get the same fraction of their requests answered.
void Policy::Impl::UpdateClassWeights(Millis elapsed) {
  if (settings_.worst_class_weight <= 0) return;
  const double decay = std::exp(-elapsed / kTimelyWindowMs);
  double worst_timely_fraction = 1;
  double total_requests = 0;
  double total_worth = 0;
  double total_lag = 0;
  double sum = 0;
  for (ClassState& class_state : classes_) {
    class_state.request_count *= decay;
    class_state.timely_count *= decay;
    total_requests += class_state.request_count;
    total_worth += class_state.request_count * class_state.settings.worth;
    if (class_state.request_count > 1)
      worst_timely_fraction = std::min(worst_timely_fraction, class_state.TimelyFraction());
  }
  // Without recent requests the decayed sums are dominated by rounding errors.
  if (!(total_requests > kMinRequestCount && total_worth > 0)) return;
  const auto lag = [&](const ClassState& class_state) {
    return std::exp((worst_timely_fraction - class_state.TimelyFraction()) / kTimelyFractionScale);
  };
  for (const ClassState& class_state : classes_) total_lag += class_state.request_count * lag(class_state);
  for (ClassState& class_state : classes_) {
    class_state.weight = class_state.request_count * total_requests *
                         (settings_.total_worth_weight * class_state.settings.worth / total_worth +
                          settings_.worst_class_weight * lag(class_state) / total_lag);
    sum += class_state.weight;
  }
  for (ClassState& class_state : classes_) class_state.weight /= sum;
}

// Client retries take no quota. Otherwise the retries of a tenant within its quota, after refusals for other
// reasons, would push it beyond the quota and cause further refusals.
bool Policy::Impl::TakeTenantQuota(const std::string& tenant, bool is_client_retry) {
  if (tenants_.empty()) return true;
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return false;  // an unknown tenant has no quota
  TenantState& state = found->second;
  if (state.quota_per_ms <= 0) return true;
  if (is_client_retry) return state.within_quota_fraction >= kMinWithinQuotaFraction;
  state.tokens = std::min(state.tokens + (now_ - state.refilled_at) * state.quota_per_ms,
                          std::max(kMinQuotaBurst, state.quota_per_ms * 1000));
  state.refilled_at = now_;
  const bool within_quota = state.tokens >= 1;
  if (within_quota) state.tokens -= 1;
  state.within_quota_fraction +=
      kWithinQuotaSmoothingFactor * ((within_quota ? 1.0 : 0.0) - state.within_quota_fraction);
  return within_quota;
}

void Policy::Impl::HandleEvent(const Request& event) {
  const auto found = class_indices_.find(event.class_name);
  if (requests_.contains(event.id)) return;
  if (found == class_indices_.end()) return EmitAction(Refuse{event.id, 0, Cause::kUnknownClass});
  ActiveRequest& request = requests_[event.id];
  ClassState& class_state = classes_[found->second];
  request.id = event.id;
  request.class_index = found->second;
  request.key_hash = event.key.empty() ? 0 : Hash(event.key) | 1;
  request.arrived_at = now_;
  request.estimated_cost =
      std::isfinite(event.cost) ? std::clamp(event.cost, 0.0, class_state.settings.deadline) : 0.0;
  if (request.estimated_cost > 0) RecordEstimatedCost(request.estimated_cost);
  arrivals_per_ms_ += 1 / kLongRateWindowMs;
  class_state.request_count += 1;
  const Millis time_left = std::isfinite(event.time_left) ? std::max(0.0, event.time_left) : 0.0;
  request.client_deadline = now_ + time_left;
  // A client retry has less time left than a first try. If the aim, counted from the first try, has passed,
  // it is treated as surplus: late responses would use up capacity and prolong an overload. Where clients
  // mark retries, the time that first tries have left is a mean instead of the maximum, so that a single
  // client with an unusually long deadline does not make all others look late.
  if (!settings_.clients_mark_retries) {
    class_state.first_try_time_left = std::max(class_state.first_try_time_left, time_left);
  } else if (!event.retry) {
    class_state.first_try_time_left +=
        (class_state.first_try_time_left > 0 ? kTimeLeftSmoothingFactor : 1) *
        (std::min(time_left, class_state.settings.deadline) - class_state.first_try_time_left);
  }
  const bool may_be_retry = settings_.clients_mark_retries ? event.retry : true;
  const Millis time_since_first_try =
      may_be_retry && time_left < kFirstTryTimeFraction * class_state.first_try_time_left
          ? std::max(0.0, class_state.settings.deadline - time_left)
          : 0;
  const bool is_late = time_since_first_try >= class_state.settings.aim;
  request.aim_deadline = std::min(now_ + class_state.settings.aim, request.client_deadline);
  request.within_quota = !is_late && TakeTenantQuota(event.tenant, event.retry);
  retry_budget_ = std::min(retry_budget_ + kRetriesPerFirstAttempt, kMaxRetryBudget);
  if ((is_late && class_state.settings.late_worth <= 0) || time_left <= 0)
    return SendFinalAnswer(request, Cause::kInsufficientTime);  // a response would have no worth
  if (!request.within_quota && gateways_per_server_ > kMaxGatewaysForSurplus)
    return SendFinalAnswer(request, Cause::kOverQuota);
  if (queued_requests_ == 0 && tokens_ > 0 && HasFreeConnection()) {
    if (TrackedServer* server = SelectServer(request)) return SendAttempt(request, *server);
  }
  // Once queued, it might not be answered by a sweep before the client gives up.
  if (now_ >= request.client_deadline - kAnswerMarginMs)
    return SendFinalAnswer(request, Cause::kInsufficientTime);
  EnqueueOrRefuse(request);
}

void Policy::Impl::EnqueueOrRefuse(ActiveRequest& request) {
  ClassState& class_state = classes_[request.class_index];
  // More requests could not be served within the aim.
  const double max_queued = spent_rate_ * class_state.settings.aim / 1000 + kMinQueueLength;
  if (static_cast<double>(class_state.QueuedRequests()) >= max_queued) {
    if (!request.within_quota || class_state.surplus_queue.empty())
      return SendFinalAnswer(request, Cause::kQueueFull);
    ActiveRequest* evicted = class_state.surplus_queue.back();
    RemoveFromQueue(*evicted);
    SendFinalAnswer(*evicted, Cause::kOverQuota);
  }
  AddToQueue(request, request.within_quota ? class_state.within_quota_queue : class_state.surplus_queue);
}

// Queueing time is limited to a small fraction of the aim: requests that are sent later have too little time
// left, time out and cause further rate decreases. The answer must also be sent before the client gives up.
Millis Policy::Impl::QueueDeadline(const ActiveRequest& request) const {
  const double wait_fraction = request.within_quota ? kMaxWaitFraction : kMaxSurplusWaitFraction;
  return std::min({request.arrived_at + wait_fraction * (request.aim_deadline - request.arrived_at),
                   request.client_deadline - kAnswerMarginMs, RepeatDeadline(request)});
}

// Checks all queued requests, not only the first of each queue: a request may expire before those ahead of
// it.
void Policy::Impl::ExpireQueuedRequests() {
  expired_requests_.clear();
  for (ClassState& class_state : classes_) {
    for (auto* queue :
         {&class_state.retry_queue, &class_state.within_quota_queue, &class_state.surplus_queue}) {
      for (ActiveRequest* request : *queue) {
        if (now_ >= QueueDeadline(*request)) expired_requests_.push_back(request);
      }
    }
  }
  const Cause cause = tokens_ <= 0                                     ? Cause::kRateLimited
                      : !HasFreeConnection()                           ? Cause::kNoConnection
                      : server_index_.total_concurrency_limit() < 1e-6 ? Cause::kNoHealthyServer
                                                                       : Cause::kConcurrencyLimited;
  for (ActiveRequest* request : expired_requests_) {
    RemoveFromQueue(*request);
    SendFinalAnswer(*request, cause);
  }
}

// Most-credit-first scheduling: each token goes to the backlogged class with the highest credit.
void Policy::Impl::ReleaseQueuedRequests() {
  std::uint64_t blocked_classes = 0;  // bit set of classes whose first request no server can take now
  while (queued_requests_ > 0 && tokens_ > 0 && HasFreeConnection()) {
    ClassState* best = nullptr;
    for (ClassState& class_state : classes_) {
      if (class_state.QueuedRequests() == 0 || (blocked_classes >> (&class_state - classes_.data()) & 1))
        continue;
      if (best == nullptr || class_state.credit + class_state.weight > best->credit + best->weight)
        best = &class_state;
    }
    if (best == nullptr) return;
    ActiveRequest& request = *best->NextQueue().front();
    TrackedServer* server = SelectServer(request);
    if (server == nullptr) {
      blocked_classes |= std::uint64_t{1} << (best - classes_.data());
      continue;
    }
    // Also with negative credit the class with the highest credit goes, so that no token stays unused.
    for (ClassState& class_state : classes_)
      class_state.credit = std::min(
          kMaxClassCredit, class_state.credit + (class_state.QueuedRequests() > 0 ? class_state.weight : 0));
    best->credit = std::max(-kMaxClassCredit, best->credit - 1);
    RemoveFromQueue(request);
    SendAttempt(request, *server);
  }
}

}  // namespace opalswitch
