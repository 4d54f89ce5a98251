// Attempts, what comes of them, whether there is another, and the final answer.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kSlow = 0.01;           // weight of a new sample in a class's latency
constexpr Millis kLeastRetryAfter = 10;  // ms; "at once" would be no advice

void Policy::Impl::Dispatch(Flow& flow, Backend& b) {
  const Millis until = classes_[flow.cls].set.late_worth > 0 ? flow.leaves_at : flow.aim_at;
  tokens_ -= 1;
  spent_rate_ += 1000 / SpentMemory();
  if (Budgeted(b)) b.credit -= 1;
  ++b.in_flight;
  if (b.suspect) Place(b);  // one trial at a time
  ++out_now_;
  ++b.refs;
  flow.attempts.push_back({&b, now_});
  Emit(Send{flow.id, b.info.id, std::max(1.0, until - now_)});
}

void Policy::Impl::On(Outcome o) {
  Flow* const known = Find(o.request);
  if (!known || o.attempt < 0 || o.attempt >= static_cast<int>(known->attempts.size())) return;
  Flow& flow = *known;
  Attempt& attempt = flow.attempts[o.attempt];
  if (!std::exchange(attempt.out, false)) return;
  if (!std::isfinite(o.latency) || o.latency < 0) o.latency = now_ - attempt.sent;  // never into an estimate
  attempt.may_have_run =
      o.result != Result::kRejected && o.result != Result::kConnectFailed && o.result != Result::kNotSent;
  Backend& b = *attempt.server;
  --b.in_flight;
  --out_now_;
  if (o.result == Result::kServed) {
    LearnClass(classes_[flow.cls], o.latency);
    if (now_ <= flow.aim_at) classes_[flow.cls].in_time += 1;
  }
  if (o.result != Result::kCancelled && o.result != Result::kNotSent) {  // these tell nothing of the server
    MoveRate(b, flow, o);  // first: by whether the server was held ready until now
    Hear(b, o.load);
    Judge(b, flow, o);
  }
  Place(b);
  if (o.finished || o.result == Result::kServed) flow.answered = true;
  if (!flow.answered && !flow.AnyOut() && !flow.queued) return TryAgain(flow, o.result);
  Settle(flow);
}

void Policy::Impl::LearnCost(Millis cost) {
  const bool first = mean_cost_ <= 0;
  mean_cost_ += (first ? 1 : kSlow) * (cost - mean_cost_);
  if (!first) return;
  for (auto& [id, b] : servers_) {
    if (b.samples > 0) continue;
    b.limit = b.places = std::min(b.limit, StartLimit());
    Place(b);
  }
}

void Policy::Impl::LearnClass(Tier& c, Millis latency) {
  // Where no guess tells them apart, some requests of a hundred times the usual would speak for all.
  if (mean_cost_ <= 0 && c.samples >= kKnown) latency = std::min(latency, kMostWork * c.latency);
  c.latency += std::max(kSlow, 1.0 / ++c.samples) * (latency - c.latency);
  mean_latency_ += std::max(kSlow, 1.0 / ++samples_) * (latency - mean_latency_);
}

// Another attempt only where it is legal, can still be in time, and the server was to blame.
void Policy::Impl::TryAgain(Flow& flow, Result result) {
  const ClassSettings& c = classes_[flow.cls].set;
  const bool legal = flow.NeverRan() || c.effect != Effect::kUnsafe;
  const bool heavy = result == Result::kTimedOut && !flow.attempts.back().server->suspect;
  const bool in_time = now_ + classes_[flow.cls].latency < (c.late_worth > 0 ? flow.leaves_at : flow.aim_at);
  const bool more = static_cast<int>(flow.attempts.size()) < set_.max_attempts;
  if (!legal) return Answer(flow, Cause::kMayHaveRun);
  if (heavy) return Answer(flow, Cause::kSlowResponse);
  if (!in_time) return Answer(flow, Cause::kNoTimeForRetry);
  if (!more) return Answer(flow, Cause::kAttemptsExhausted);
  // Resends are counted only where they add to a jam, or what failed may be one: else nothing is short.
  const bool full = result == Result::kRejected || result == Result::kTimedOut;
  if (full || queued_ > 0 || Crowded()) {
    if (retry_budget_ < 1) return Answer(flow, Cause::kRetryBudgetExhausted);
    retry_budget_ -= 1;
  }
  Hold(flow, classes_[flow.cls].retries);
}

// The final answer to a request with no attempt out. A refusal says that trying again is harmless.
void Policy::Impl::Answer(Flow& flow, Cause cause) {
  const ClassSettings& c = classes_[flow.cls].set;
  const bool harmless = flow.NeverRan() || c.effect == Effect::kSafe ||
                        (c.effect == Effect::kKeyed && c.group == DeduplicationScope::kAll);
  Emit(harmless ? Action(Refuse{flow.id, RetryAfter(), cause}) : Action(Fail{flow.id, cause}));
  flow.answered = true;
  Settle(flow);
}

Millis Policy::Impl::RetryAfter() const {
  if (!set_.sends_retry_after) return 0;
  // With no queue a place comes free, on average, within half of the time that an answer takes.
  const Millis queue = 1000 * static_cast<double>(queued_) / std::max(spent_rate_, 1.0);
  return std::min(set_.max_retry_after, std::max({queue, mean_latency_ / 2, kLeastRetryAfter}));
}

// Forgets a request that is answered and has nothing out. `flow` may be gone afterwards.
void Policy::Impl::Settle(Flow& flow) {
  if (!flow.answered || flow.queued || flow.AnyOut()) return;
  for (const Attempt& a : flow.attempts) --a.server->refs;
  flows_.erase(flow.id);
}

}  // namespace opalswitch
