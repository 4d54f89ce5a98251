// Requests as they come: sent at once, queued by class, released by Most Credit First, or refused.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kAnswerMarginMs = 20;     // ms before the client leaves: two sweeps, timers may come late
constexpr double kMinRequestCount = 0.01;  // requests, all fading, below which weights stay as they are
constexpr double kMinQuotaBurst = 3;   // requests of its share that a tenant may send at once, at the least
constexpr double kMaxClassCredit = 4;  // MCF credit stays within +-this many requests
constexpr Millis kTimelyWindowMs = 20000;  // ms over which it is counted how each class fares
constexpr double kTimelyFractionScale =
    0.05;  // difference in how two classes fare that shifts e times the weight
constexpr double kRetriesPerFirstAttempt = 0.2;  // further attempts earned by each first one
constexpr double kMaxRetryBudget = 20;           // further attempts that may be saved up
constexpr double kTimeLeftSmoothingFactor =
    0.05;  // weight of a first try in the time that first tries have left
constexpr double kFirstTryTimeFraction = 0.95;  // part of the most time left below which it is a further try
constexpr double kMaxWaitFraction = 0.15;       // part of its time that a request waits for a token at most
constexpr double kMaxSurplusWaitFraction =
    0.05;  // the same beyond a share: it holds a client's connection for little
constexpr double kMaxGatewaysForSurplus = 4;  // gateways sharing a server beyond which nothing there is spare
constexpr double kMinWithinQuotaFraction =
    0.9;  // tenants with this part of their first tries in share: so are further tries
constexpr double kWithinQuotaSmoothingFactor = 0.02;  // weight of a first try in that part

// A class's weight is what a token is worth there: to the whole by its requests' own worth, and to the class
// that fares worst as far as that counts. By how many there are of each: alike weights leave alike shares.
void Policy::Impl::UpdateClassWeights(Millis elapsed) {
  if (settings_.worst_class_weight <= 0) return;
  const double decay = std::exp(-elapsed / kTimelyWindowMs);
  double worst_timely_fraction = 1, total_requests = 0, total_worth = 0, total_lag = 0, sum = 0;
  for (ClassState& class_state : classes_) {
    class_state.request_count *= decay;
    class_state.timely_count *= decay;
    total_requests += class_state.request_count;
    total_worth += class_state.request_count * class_state.settings.worth;
    if (class_state.request_count > 1)
      worst_timely_fraction = std::min(worst_timely_fraction, class_state.TimelyFraction());
  }
  if (!(total_requests > kMinRequestCount && total_worth > 0))
    return;  // nothing lately: sums would fade into noise
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

// A share is of what is asked for once. Further tries take nothing of it: a tenant within its share that
// was refused would seem to be beyond it, and be refused the more.
bool Policy::Impl::TakeTenantQuota(const std::string& tenant, bool is_client_retry) {
  if (tenants_.empty()) return true;
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return false;  // an unknown tenant has no share
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
  if (found == class_indices_.end())
    return EmitAction(Refuse{event.id, 0, Cause::kUnknownClass});  // no such class: never sent
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
  // A further try has less time left than a first one. If its aim is long past, it is worth as little as what
  // is beyond a share: a jam would feed on late answers. Where clients mark further tries, what first tries
  // have left is their mean: a single client with more time than is usual must not make all others look late.
  if (!settings_.clients_mark_retries) {
    class_state.first_try_time_left = std::max(class_state.first_try_time_left, time_left);
  } else if (!event.retry) {
    class_state.first_try_time_left +=
        (class_state.first_try_time_left > 0 ? kTimeLeftSmoothingFactor : 1) *
        (std::min(time_left, class_state.settings.deadline) - class_state.first_try_time_left);
  }
  const bool may_be_retry = settings_.clients_mark_retries ? event.retry : true;
  const Millis elapsed = may_be_retry && time_left < kFirstTryTimeFraction * class_state.first_try_time_left
                             ? std::max(0.0, class_state.settings.deadline - time_left)
                             : 0;
  const bool is_late = elapsed >= class_state.settings.aim;
  request.aim_deadline = std::min(now_ + class_state.settings.aim, request.client_deadline);
  request.within_quota = !is_late && TakeTenantQuota(event.tenant, event.retry);
  retry_budget_ = std::min(retry_budget_ + kRetriesPerFirstAttempt, kMaxRetryBudget);
  if ((is_late && class_state.settings.late_worth <= 0) || time_left <= 0)
    return SendFinalAnswer(request, Cause::kInsufficientTime);  // worth nothing
  if (!request.within_quota && gateways_per_server_ > kMaxGatewaysForSurplus)
    return SendFinalAnswer(request, Cause::kOverQuota);
  if (queued_requests_ == 0 && tokens_ > 0 && HasFreeConnection()) {
    if (TrackedServer* server = SelectServer(request)) return SendAttempt(request, *server);
  }
  if (now_ >= request.client_deadline - kAnswerMarginMs)
    return SendFinalAnswer(request, Cause::kInsufficientTime);  // no sweep may come in time
  EnqueueOrRefuse(request);
}

void Policy::Impl::EnqueueOrRefuse(ActiveRequest& request) {
  ClassState& class_state = classes_[request.class_index];
  const double max_queued =
      spent_rate_ * class_state.settings.aim / 1000 + 32;  // more can't be served in time
  if (static_cast<double>(class_state.QueuedRequests()) >= max_queued) {
    if (!request.within_quota || class_state.surplus_queue.empty())
      return SendFinalAnswer(request, Cause::kQueueFull);
    ActiveRequest* evicted = class_state.surplus_queue.back();
    RemoveFromQueue(*evicted);
    SendFinalAnswer(*evicted, Cause::kOverQuota);
  }
  AddToQueue(request, request.within_quota ? class_state.within_quota_queue : class_state.surplus_queue);
}

// A token must come soon: what waits longer is sent with too little time left, fails, and has the rate cut
// again. And the answer must come before the client leaves.
Millis Policy::Impl::QueueDeadline(const ActiveRequest& request) const {
  const double wait_fraction = request.within_quota ? kMaxWaitFraction : kMaxSurplusWaitFraction;
  return std::min(request.arrived_at + wait_fraction * (request.aim_deadline - request.arrived_at),
                  request.client_deadline - kAnswerMarginMs);
}

// All, not the heads alone: one with less time than those before it must not run out of it behind them.
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

// Spends tokens on the queues: each token goes to the backlogged class with the most credit.
void Policy::Impl::ReleaseQueuedRequests() {
  std::uint64_t blocked_classes = 0;  // classes whose head no server can take now
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
    // Where all backlogged classes are in debt the least indebted goes: a token never idles.
    for (ClassState& class_state : classes_)
      class_state.credit = std::min(
          kMaxClassCredit, class_state.credit + (class_state.QueuedRequests() > 0 ? class_state.weight : 0));
    best->credit = std::max(-kMaxClassCredit, best->credit - 1);
    RemoveFromQueue(request);
    SendAttempt(request, *server);
  }
}

}  // namespace opalswitch
