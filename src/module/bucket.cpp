// The token bucket and its learned rate.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kStartRate = 1000;     // tokens/s a server: "starting high", far above any use
constexpr double kRaise = 0.3;          // tokens/s gained by each timely answer
constexpr double kRaiseShare = 0.05;    // part of the rate gained by it at the most
constexpr double kUsedUp = 0.8;         // part of the rate that must be spent for it to grow beyond its start
constexpr double kSink = 0.999;         // part kept at each answer while less is spent there
constexpr double kCut = 0.85;           // the rate keeps this much at a cut
constexpr double kTolerated = 0.3;      // failing share of recent outcomes that cuts the rate
constexpr double kToleratedMany = 0.1;  // the same where many share a server: each sees little
constexpr double kInUse = 0.5;          // part of the servers' places, that must be in use for a cut
constexpr Millis kBurst = 50;           // ms of refill that the bucket holds
constexpr double kFailMemory = 0.05;    // least weight of an outcome in the failing share; else a second's

// Where many start at once, high rates add up to a jam that outlasts its cause. The more gateways there are,
// the lower each starts, down to its part of what the tenants are granted; answers raise it from there.
double Policy::Impl::StartRate() const {
  double granted = 0;
  for (const TenantSettings& t : set_.tenants) granted += t.quota_per_s;
  if (granted <= 0) return kStartRate * up_;  // nobody says what the fleet can do
  const double squared = 1.0 * set_.gateways * set_.gateways;
  return std::min(kStartRate * up_, std::max(granted / set_.gateways, kStartRate * up_ / squared));
}

void Policy::Impl::Refill(Millis now) {
  const Millis passed = started_ ? std::max(0.0, now - now_) : 0;
  now_ = started_ ? std::max(now_, now) : std::isfinite(now) ? now : 0;  // this order also outlives NaN
  const bool first = rate_ <= 0 && up_ > 0;
  if (first) rate_ = StartRate(), since_ = now_;
  const double full = std::max(2.0, rate_ * kBurst / 1000);
  tokens_ = first ? full : std::min(tokens_ + rate_ * passed / 1000, full);
  spent_rate_ *= std::exp(-passed / SpentMemory());
  arriving_ *= std::exp(-passed / kLongMemory);
}

// The spent rate of the time that has passed: at the start, of less than its memory.
double Policy::Impl::Spent() const {
  return spent_rate_ / -std::expm1(-std::max(1.0, now_ - since_) / SpentMemory());
}

// Whether what is out could crowd the servers. With most of the measured places empty failures have another
// cause, and sending less mends none: a server that turns away beyond a rate of its own, a few heavy
// requests. It could hurt where limits are too high for what servers can do, until their latency has taught
// better.
bool Policy::Impl::Crowded() const {
  if (Many()) return true;  // there no limit is kept
  return out_now_ >= kInUse * fleet_.limits();
}

// Failures that one server explains eject it; only those of servers held ready move the rate.
void Policy::Impl::MoveRate(const Backend& b, const Flow& flow, const Outcome& outcome) {
  // A broken connection says nothing of crowding, and fewer sends leave more of them to idle and break.
  if (b.suspect || outcome.result == Result::kReset || Impatient(flow, outcome)) return;
  // A server that is full rests, which is all that one server's fullness asks for where limits are kept.
  if (outcome.result == Result::kRejected && !Many()) return;
  const bool timely = outcome.result == Result::kServed && now_ <= flow.aim_at;
  const double tolerated = Many() && !Metered() ? kToleratedMany : kTolerated;
  failing_ += std::clamp(1 / (1 + rate_), kFailMemory, kErrWeight) * ((timely ? 0.0 : 1.0) - failing_);
  if (timely) {
    // Beyond where it started it grows only while it is used up, and sinks back there while it is not.
    const double start = kStartRate * std::max(1, up_);
    const double raised = rate_ + std::min(kRaise, kRaiseShare * rate_);
    rate_ = raised <= start || Spent() >= kUsedUp * rate_ ? raised : std::max(start, rate_ * kSink);
  } else if (failing_ > tolerated && now_ >= cut_after_ && Crowded()) {
    rate_ = std::max(1.0 * up_ / set_.gateways, std::min(rate_, Spent()) * kCut);
    cut_after_ = now_ + std::max(100.0, Median());  // one cut a round trip
    Say("rate cut to " + std::to_string(static_cast<int>(rate_)) + "/s");
  }
}

}  // namespace opalswitch
