// Attempts: sending, outcomes, retries and the final answer.
#include "module/impl.hpp"

namespace opalswitch {

// Smoothing factor of a class's latency, of the mean latency and of the mean cost estimate.
constexpr double kClassLatencySmoothingFactor = 0.01;
// Lower bound of Refuse::retry_after: clients must not retry at once.
constexpr Millis kMinRetryAfterMs = 10;

void Policy::Impl::SendAttempt(ActiveRequest& request, TrackedServer& server) {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const Millis deadline = class_settings.late_worth > 0 ? request.client_deadline : request.aim_deadline;
  const Millis repeat_deadline = RepeatDeadline(request);
  tokens_ -= 1;
  spent_rate_ += 1000 / SpentRateWindow();
  if (HasSendBudget(server)) server.send_credit -= 1;
  ++server.in_flight;
  if (server.is_ejected) UpdateServerIndex(server);  // only one probe in flight at a time
  ++attempts_in_flight_;
  ++server.attempt_refs;
  request.attempts.push_back({&server, now_});
  EmitAction(Send{request.id, server.info.id, std::max(1.0, deadline - now_),
                  std::isfinite(repeat_deadline) ? repeat_deadline - now_ : 0});
}

void Policy::Impl::HandleEvent(Outcome outcome) {
  ActiveRequest* const found = FindRequest(outcome.request);
  if (!found || outcome.attempt < 0 || outcome.attempt >= static_cast<int>(found->attempts.size())) return;
  ActiveRequest& request = *found;
  Attempt& attempt = request.attempts[outcome.attempt];
  if (!std::exchange(attempt.in_flight, false)) return;
  if (!std::isfinite(outcome.latency) || outcome.latency < 0)
    outcome.latency = now_ - attempt.sent_at;  // invalid values must not reach the estimates
  attempt.may_have_run = MayHaveRun(outcome.result);
  TrackedServer& server = *attempt.server;
  --server.in_flight;
  --attempts_in_flight_;
  if (outcome.result == Result::kServed) {
    RecordClassLatency(classes_[request.class_index], outcome.latency);
    if (now_ <= request.aim_deadline) classes_[request.class_index].timely_count += 1;
  }
  // Cancelled and unsent attempts say nothing about the server.
  if (outcome.result != Result::kCancelled && outcome.result != Result::kNotSent) {
    // Comes first because it depends on whether the server was ejected before this outcome.
    UpdateRefillRate(server, request, outcome);
    RecordLoadReport(server, outcome.load);
    RecordServerOutcome(server, request, outcome);
  }
  UpdateServerIndex(server);
  if (outcome.finished || outcome.result == Result::kServed) request.is_answered = true;
  if (!request.is_answered && !request.HasAttemptInFlight() && !request.is_queued)
    return RetryOrAnswer(request, outcome.result);
  RemoveIfFinished(request);
}

void Policy::Impl::RecordEstimatedCost(Millis cost) {
  const bool is_first = mean_estimated_cost_ <= 0;
  mean_estimated_cost_ += (is_first ? 1 : kClassLatencySmoothingFactor) * (cost - mean_estimated_cost_);
  if (!is_first) return;
  for (auto& [id, server] : servers_) {
    if (server.latency_samples > 0) continue;
    server.concurrency_limit = server.concurrency_slots =
        std::min(server.concurrency_limit, InitialConcurrencyLimit());
    UpdateServerIndex(server);
  }
}

void Policy::Impl::RecordClassLatency(ClassState& class_state, Millis latency) {
  // Without cost estimates, a few requests with a hundred times the usual work would dominate the mean.
  if (mean_estimated_cost_ <= 0 && class_state.latency_samples >= kMinLatencySamples)
    latency = std::min(latency, kMaxRelativeWork * class_state.latency_ewma);
  class_state.latency_ewma += std::max(kClassLatencySmoothingFactor, 1.0 / ++class_state.latency_samples) *
                              (latency - class_state.latency_ewma);
  mean_latency_ +=
      std::max(kClassLatencySmoothingFactor, 1.0 / ++latency_samples_) * (latency - mean_latency_);
}

// A retry is made only if the request's effect allows it, it can still be answered in time, and the failure
// was caused by the server and not by the request.
void Policy::Impl::RetryOrAnswer(ActiveRequest& request, Result result) {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const bool may_run_again = request.NeverRan() || class_settings.effect != Effect::kUnsafe;
  const bool timed_out_on_available_server =
      result == Result::kTimedOut && !request.attempts.back().server->is_ejected;
  const bool can_be_in_time =
      now_ + classes_[request.class_index].latency_ewma <
      (class_settings.late_worth > 0 ? request.client_deadline : request.aim_deadline);
  const bool has_attempts_left = static_cast<int>(request.attempts.size()) < settings_.max_attempts;
  if (!may_run_again || now_ >= RepeatDeadline(request)) return SendFinalAnswer(request, Cause::kMayHaveRun);
  if (timed_out_on_available_server) return SendFinalAnswer(request, Cause::kSlowResponse);
  if (!can_be_in_time) return SendFinalAnswer(request, Cause::kNoTimeForRetry);
  if (!has_attempts_left) return SendFinalAnswer(request, Cause::kAttemptsExhausted);
  // Retries take from the budget only if they add to an overload, or if the failure may be a sign of one.
  const bool may_be_overload = result == Result::kRejected || result == Result::kTimedOut;
  if (may_be_overload || queued_requests_ > 0 || AreServersLoaded()) {
    if (retry_budget_ < 1) return SendFinalAnswer(request, Cause::kRetryBudgetExhausted);
    retry_budget_ -= 1;
  }
  AddToQueue(request, classes_[request.class_index].retry_queue);
}

// Requires that the request has no attempt in flight.
void Policy::Impl::SendFinalAnswer(ActiveRequest& request, Cause cause) {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const Millis retry_after = RetryAfterAdvice();
  // The client's retry must come while servers still drop repeats.
  const bool drops_client_retry = class_settings.effect == Effect::kKeyed &&
                                  class_settings.group == DeduplicationScope::kAll &&
                                  now_ + retry_after < RepeatDeadline(request);
  const bool retry_is_harmless =
      request.NeverRan() || class_settings.effect == Effect::kSafe || drops_client_retry;
  EmitAction(retry_is_harmless ? Action(Refuse{request.id, retry_after, cause})
                               : Action(Fail{request.id, cause}));
  request.is_answered = true;
  RemoveIfFinished(request);
}

Millis Policy::Impl::RetryAfterAdvice() const {
  if (!settings_.sends_retry_after) return 0;
  // Without a queue, a server takes half of the mean latency, on average, until it can accept a request.
  const Millis queue_drain_ms = 1000 * static_cast<double>(queued_requests_) / std::max(spent_rate_, 1.0);
  return std::min(settings_.max_retry_after, std::max({queue_drain_ms, mean_latency_ / 2, kMinRetryAfterMs}));
}

void Policy::Impl::RemoveIfFinished(ActiveRequest& request) {
  if (!request.is_answered || request.is_queued || request.HasAttemptInFlight()) return;
  for (const Attempt& attempt : request.attempts) --attempt.server->attempt_refs;
  requests_.erase(request.id);
}

}  // namespace opalswitch
