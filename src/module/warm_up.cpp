// What each server may be sent a second: one that has just started (rule 4), and any that many share.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kDoubt = 500;            // ms of each server's time that a first few answers are spread over
constexpr double kMostCold = 0.7;         // part of that multiple that a cold server is never sent more than
constexpr double kLineFree = 0.35;        // utilisation left free, over the root of the size
constexpr double kStartPart = 0.6;        // part of a server's part of the rate that it is sent at the start
constexpr Millis kGrow = 500;             // ms in which a server that reports itself idle is allowed e times
constexpr Millis kShrink = 300;           // the same for one that is busy by as much too much
constexpr Millis kReach = 1000;           // ms that one report speaks for at the most
constexpr double kLeastAllowed = 0.0005;  // requests per ms over all gateways, that is sent at the least
constexpr Millis kHeldMemory = 60000;     // ms for which the reference is held while less is answered

// The share of its capacity that a started server surely has by now.
double Policy::Impl::Warmth(const Backend& b) const {
  const Millis age = now_ - b.cold_since;
  if (age >= set_.warm_up_time) return 1;
  return set_.cold_capacity_fraction +
         (1 - set_.cold_capacity_fraction) * std::max(0.0, age) / set_.warm_up_time;
}

// What this gateway may send it, per ms. The reference is over all servers: those few that use one share it.
double Policy::Impl::ColdRate(const Backend& b) const {
  const double part = set_.gateways / sharers_;
  return kColdShare * set_.overload_multiple * Warmth(b) * b.info.weight * reference_ * part;
}

// Requests per ms that this gateway may send one that is budgeted.
double Policy::Impl::Budget(const Backend& b) const {
  const bool warm = Warmth(b) >= 1, known = Metered() && b.allowed > 0;
  const double part = b.info.weight * set_.gateways / sharers_;
  if (warm) return known ? b.allowed : kStartPart * rate_ / 1000 * part / fleet_.all_weight();
  const double start = ColdRate(b);
  return known ? std::min(b.allowed, kMostCold / kColdShare * start) : start;
}

// What many send it together only the server can tell. `busy`: its utilisation, reported, or as an outcome
// has it.
void Policy::Impl::Adjust(Backend& b, double busy) {
  if (!Metered()) return;
  const double before = Budget(b);
  const Millis passed = std::min(kReach, now_ - std::exchange(b.heard_at, now_));
  const double spare = 1 - kLineFree / std::sqrt(std::max(1.0, b.info.weight)) - busy;
  const bool used = b.credit < 1;  // what was not used up shows nothing of what more would do
  const double step = spare < 0 ? spare * passed / kShrink : used ? spare * passed / kGrow : 0;
  b.allowed = std::max(kLeastAllowed / sharers_, before * std::exp(step));
}

// Rule 4: a cold server earns credit by what warm ones answer here. It starts with a chance part of a
// request: one request each from hundreds of gateways at once would push it over.
bool Policy::Impl::WithinBudget(Backend& b) {
  if (!Budgeted(b)) return true;
  const double most = Warmth(b) < 1 ? 1 : 2;
  b.credit = std::min(most, b.credit + Budget(b) * (now_ - b.credit_at));
  b.credit_at = now_;
  return b.credit >= 1;
}

// What a warm server of size 1 answers to this gateway, per ms: answers, not sends, for in a jam more is
// sent than any server can do. Where none was warm yet: its part of what arrives.
void Policy::Impl::LearnReference(Millis passed) {
  const double keep = std::exp(-passed / kLongMemory), all = fleet_.weight();
  fleet_.Warm(now_);
  warm_time_ = warm_time_ * keep + passed * fleet_.warm_weight();
  warm_served_ *= keep;
  const double held = Metered() ? reference_ * std::exp(-passed / kHeldMemory) : 0;
  reference_ = warm_time_ > 0 ? warm_served_ / (warm_time_ + kDoubt * all) : arriving_ / std::max(1.0, all);
  reference_ = std::max(reference_, held);
}

}  // namespace opalswitch
