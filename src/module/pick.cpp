// Which of the ready servers a request goes to: the better of two.
#include "module/impl.hpp"

namespace opalswitch {

constexpr std::size_t kMedianPart = 16;  // of the servers one in so many: measurements by which it may lag
constexpr double kCrossing = 1.3;      // cost of a server in another zone, times its own: crossing is priced
constexpr double kPooled = 2;          // samples that the latency of a server's kind counts for
constexpr std::size_t kStretch = 256;  // of more, that are gone through at the most
constexpr int kMostLooks = 32;         // draws in vain before that; also trials, and rests that end, at once
constexpr Millis kMostRest = 100;      // ms until a cold server's credit is looked at again

// Of all latencies. Of many servers it is found anew only after a part of them has been measured again.
double Policy::Impl::Median() {
  if (measured_ * kMedianPart < servers_.size() && std::exchange(median_found_, true)) return median_;
  measured_ = 0;
  scratch_.clear();
  for (auto& [id, b] : servers_) {
    if (b.up && b.latency > 0) scratch_.push_back(b.latency);
  }
  return median_ = MiddleOf(scratch_);
}

double Policy::Impl::Cost(const Backend& b) {
  // A few samples of a server tell little: where many share it they are shrunk toward those of its kind.
  const double pooled = Many() && b.kind->latency > 0 ? kPooled : 0;
  const double own = std::min(1.0 * b.samples, 1 / kFast), all = own + pooled;
  const double latency = (own * b.latency + pooled * b.kind->latency) / std::max(1.0, all);
  const double crossing = b.info.zone == set_.zone ? 1 : kCrossing;
  return crossing * (b.in_flight + 1) * (all > 0 ? latency : std::max(1.0, Median()));
}

// Rule 2: a keyed request that may have run stays with the servers that drop its repeats.
bool Policy::Impl::Allowed(const Flow& flow, const Backend& b) const {
  const ClassSettings& c = classes_[flow.cls].set;
  const Attempt* first = c.effect == Effect::kKeyed ? flow.FirstRun() : nullptr;
  if (first == nullptr) return true;
  if (now_ - first->sent >= c.repeat_window) return false;
  const Server& at = first->server->info;
  if (c.group == DeduplicationScope::kZone) return at.zone == b.info.zone;
  return c.group == DeduplicationScope::kAll || at.cell == b.info.cell;
}

// Whether it is ready for nobody now. Then it is kept apart until its time, or an event, may change that.
bool Policy::Impl::Shut(Backend& b) {
  if (!Many()) {
    if (now_ < b.rests_until) return fleet_.Rest(b, b.rests_until), true;
    if (b.in_flight >= b.places) return fleet_.Close(b), true;
  }
  if (WithinBudget(b)) return false;
  const Millis wait = (1 - b.credit) / std::max(Budget(b), 1e-9);
  return fleet_.Rest(b, now_ + std::clamp(wait, 1.0, kMostRest)), true;
}

template <typename May>
Backend* Policy::Impl::Sample(const Flow& flow, May may, const Backend* except) {
  const auto fits = [&](Backend& b) { return &b != except && may(b) && Ready(b, flow.in_share); };
  for (int tries = 0; tries < kMostLooks && fleet_.open() > 0;) {
    Backend& b = fleet_.At(random_() % fleet_.open());
    if (Shut(b)) continue;  // paid for by what opened it
    if (fits(b)) return &b;
    ++tries;
  }
  const std::size_t all = fleet_.open(), first = all > 0 ? random_() % all : 0;
  for (std::size_t i = 0; i < std::min(all, kStretch); ++i) {
    Backend& b = fleet_.At((first + i) % all);
    if (fits(b)) return &b;
  }
  return nullptr;
}

// The better of two ready servers by (own in-flight + 1) x smoothed latency, or null.
Backend* Policy::Impl::Pick(const Flow& flow) {
  const bool repeatable = classes_[flow.cls].set.effect == Effect::kSafe && flow.attempts.empty();
  const Backend* last = flow.attempts.empty() ? nullptr : flow.attempts.back().server;
  const auto may = [&](const Backend& b) { return &b != last && Allowed(flow, b); };
  // A suspect returns by one trial at a time, with a request that may run again.
  if (repeatable) {
    const auto fits = [&](Backend& b) { return may(b) && WithinBudget(b); };
    if (Backend* const b = fleet_.Trial(now_, kMostLooks, fits)) return b;
  }
  fleet_.Wake(now_, kMostLooks);
  const bool by_key = set_.has_key_affinity && flow.key != 0;
  if (!by_key && fleet_.open() > kFewServers) {
    Backend* const one = Sample(flow, may, nullptr);
    Backend* const two = one == nullptr ? nullptr : Sample(flow, may, one);
    return two != nullptr && Cost(*two) < Cost(*one) ? two : one;
  }
  candidates_.clear();
  for (std::size_t i = 0; i < fleet_.open();) {
    Backend& b = fleet_.At(i);
    if (Shut(b)) continue;  // another is in its place now
    if (may(b) && Ready(b, flow.in_share)) candidates_.push_back({0, &b});
    ++i;
  }
  if (candidates_.empty()) return nullptr;
  if (candidates_.size() > 2) {
    if (by_key) {
      // Weighted rendezvous: lowest first; a server's coming or going moves only its own keys.
      for (auto& [rank, b] : candidates_) rank = -std::log(Fraction(flow.key ^ b->hash)) / b->info.weight;
      std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                        [](const auto& x, const auto& y) { return x.first < y.first; });
    } else {
      const std::size_t n = candidates_.size();
      std::swap(candidates_[0], candidates_[random_() % n]);
      std::swap(candidates_[1], candidates_[1 + random_() % (n - 1)]);
    }
  }
  Backend* const one = candidates_.front().second;
  Backend* const two = candidates_.size() > 1 ? candidates_[1].second : one;
  return Cost(*two) < Cost(*one) ? two : one;
}

}  // namespace opalswitch
