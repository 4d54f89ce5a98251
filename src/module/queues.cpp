// Requests as they come: sent at once, queued by class, released by Most Credit First, or refused.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kAnswerBefore = 20;   // ms before the client leaves: two sweeps, timers may come late
constexpr double kLeastAsked = 0.01;   // requests, all fading, below which weights stay as they are
constexpr double kShareBurst = 3;      // requests of its share that a tenant may send at once, at the least
constexpr double kCreditCap = 4;       // MCF credit stays within +-this many requests
constexpr Millis kFareMemory = 20000;  // ms over which it is counted how each class fares
constexpr double kFareStep = 0.05;     // difference in how two classes fare that shifts e times the weight
constexpr double kRetryShare = 0.2;    // further attempts earned by each first one
constexpr double kRetryBurst = 20;     // further attempts that may be saved up
constexpr double kFirstLeft = 0.05;    // weight of a first try in the time that first tries have left
constexpr double kFirstTry = 0.95;     // part of the most time left below which it is a further try
constexpr double kWaitShare = 0.15;    // part of its time that a request waits for a token at most
constexpr double kSpareWait = 0.05;    // the same beyond a share: it holds a client's connection for little
constexpr double kSpareSharers = 4;    // gateways sharing a server beyond which nothing there is spare
constexpr double kWithin = 0.9;  // tenants with this part of their first tries in share: so are further tries
constexpr double kWithinMemory = 0.02;  // weight of a first try in that part

// A class's weight is what a token is worth there: to the whole by its requests' own worth, and to the class
// that fares worst as far as that counts. By how many there are of each: alike weights leave alike shares.
void Policy::Impl::Weigh(Millis passed) {
  if (set_.worst_class_weight <= 0) return;
  const double keep = std::exp(-passed / kFareMemory);
  double least = 1, asked = 0, worth = 0, behind = 0, sum = 0;
  for (Tier& c : classes_) {
    c.asked *= keep;
    c.in_time *= keep;
    asked += c.asked;
    worth += c.asked * c.set.worth;
    if (c.asked > 1) least = std::min(least, c.Fares());
  }
  if (!(asked > kLeastAsked && worth > 0)) return;  // nothing lately: sums would fade into noise
  const auto lag = [&](const Tier& c) { return std::exp((least - c.Fares()) / kFareStep); };
  for (const Tier& c : classes_) behind += c.asked * lag(c);
  for (Tier& c : classes_) {
    c.weight = c.asked * asked *
               (set_.total_worth_weight * c.set.worth / worth + set_.worst_class_weight * lag(c) / behind);
    sum += c.weight;
  }
  for (Tier& c : classes_) c.weight /= sum;
}

// A share is of what is asked for once. Further tries take nothing of it: a tenant within its share that
// was refused would seem to be beyond it, and be refused the more.
bool Policy::Impl::InShare(const std::string& tenant, bool retry) {
  if (tenants_.empty()) return true;
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end()) return false;  // an unknown tenant has no share
  Tenant& t = it->second;
  if (t.per_ms <= 0) return true;
  if (retry) return t.within >= kWithin;
  t.tokens = std::min(t.tokens + (now_ - t.at) * t.per_ms, std::max(kShareBurst, t.per_ms * 1000));
  t.at = now_;
  const bool in_share = t.tokens >= 1;
  if (in_share) t.tokens -= 1;
  t.within += kWithinMemory * ((in_share ? 1.0 : 0.0) - t.within);
  return in_share;
}

void Policy::Impl::On(const Request& r) {
  const auto found = class_index_.find(r.class_name);
  if (flows_.contains(r.id)) return;
  if (found == class_index_.end())
    return Emit(Refuse{r.id, 0, Cause::kUnknownClass});  // no such class: never sent
  Flow& flow = flows_[r.id];
  Tier& c = classes_[found->second];
  flow.id = r.id;
  flow.cls = found->second;
  flow.key = r.key.empty() ? 0 : Hash(r.key) | 1;
  flow.arrived = now_;
  flow.cost = std::isfinite(r.cost) ? std::clamp(r.cost, 0.0, c.set.deadline) : 0.0;
  if (flow.cost > 0) LearnCost(flow.cost);
  arriving_ += 1 / kLongMemory;
  c.asked += 1;
  const Millis left = std::isfinite(r.time_left) ? std::max(0.0, r.time_left) : 0.0;
  flow.leaves_at = now_ + left;
  // A further try has less time left than a first one. If its aim is long past, it is worth as little as what
  // is beyond a share: a jam would feed on late answers. Where clients mark further tries, what first tries
  // have left is their mean: a single client with more time than is usual must not make all others look late.
  if (!set_.clients_mark_retries) {
    c.most_left = std::max(c.most_left, left);
  } else if (!r.retry) {
    c.most_left += (c.most_left > 0 ? kFirstLeft : 1) * (std::min(left, c.set.deadline) - c.most_left);
  }
  const bool further = set_.clients_mark_retries ? r.retry : true;
  const Millis spent = further && left < kFirstTry * c.most_left ? std::max(0.0, c.set.deadline - left) : 0;
  const bool late = spent >= c.set.aim;
  flow.aim_at = std::min(now_ + c.set.aim, flow.leaves_at);
  flow.in_share = !late && InShare(r.tenant, r.retry);
  retry_budget_ = std::min(retry_budget_ + kRetryShare, kRetryBurst);
  if ((late && c.set.late_worth <= 0) || left <= 0)
    return Answer(flow, Cause::kInsufficientTime);  // worth nothing
  if (!flow.in_share && sharers_ > kSpareSharers) return Answer(flow, Cause::kOverQuota);
  if (queued_ == 0 && tokens_ > 0 && Room()) {
    if (Backend* b = Pick(flow)) return Dispatch(flow, *b);
  }
  if (now_ >= flow.leaves_at - kAnswerBefore)
    return Answer(flow, Cause::kInsufficientTime);  // no sweep may come in time
  Enqueue(flow);
}

void Policy::Impl::Enqueue(Flow& flow) {
  Tier& c = classes_[flow.cls];
  const double most = spent_rate_ * c.set.aim / 1000 + 32;  // more can't be served in time
  if (static_cast<double>(c.Size()) >= most) {
    if (!flow.in_share || c.over_share.empty()) return Answer(flow, Cause::kQueueFull);
    Flow* evicted = c.over_share.back();
    Unqueue(*evicted);
    Answer(*evicted, Cause::kOverQuota);
  }
  Hold(flow, flow.in_share ? c.in_share : c.over_share);
}

// A token must come soon: what waits longer is sent with too little time left, fails, and has the rate cut
// again. And the answer must come before the client leaves.
Millis Policy::Impl::HoldUntil(const Flow& flow) const {
  const double share = flow.in_share ? kWaitShare : kSpareWait;
  return std::min(flow.arrived + share * (flow.aim_at - flow.arrived), flow.leaves_at - kAnswerBefore);
}

// All, not the heads alone: one with less time than those before it must not run out of it behind them.
void Policy::Impl::ExpireQueued() {
  due_.clear();
  for (Tier& c : classes_) {
    for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
      for (Flow* flow : *line) {
        if (now_ >= HoldUntil(*flow)) due_.push_back(flow);
      }
    }
  }
  const Cause cause = tokens_ <= 0             ? Cause::kRateLimited
                      : !Room()                ? Cause::kNoConnection
                      : fleet_.limits() < 1e-6 ? Cause::kNoHealthyServer
                                               : Cause::kConcurrencyLimited;
  for (Flow* flow : due_) {
    Unqueue(*flow);
    Answer(*flow, cause);
  }
}

// Spends tokens on the queues: each token goes to the backlogged class with the most credit.
void Policy::Impl::Release() {
  std::uint64_t stuck = 0;  // classes whose head no server can take now
  while (queued_ > 0 && tokens_ > 0 && Room()) {
    Tier* best = nullptr;
    for (Tier& c : classes_) {
      if (c.Size() == 0 || (stuck >> (&c - classes_.data()) & 1)) continue;
      if (best == nullptr || c.credit + c.weight > best->credit + best->weight) best = &c;
    }
    if (best == nullptr) return;
    Flow& flow = *best->Line().front();
    Backend* b = Pick(flow);
    if (b == nullptr) {
      stuck |= std::uint64_t{1} << (best - classes_.data());
      continue;
    }
    // Where all backlogged classes are in debt the least indebted goes: a token never idles.
    for (Tier& c : classes_) c.credit = std::min(kCreditCap, c.credit + (c.Size() > 0 ? c.weight : 0));
    best->credit = std::max(-kCreditCap, best->credit - 1);
    Unqueue(flow);
    Dispatch(flow, *b);
  }
}

}  // namespace opalswitch
