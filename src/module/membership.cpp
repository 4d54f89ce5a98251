// Which servers there are, and which of them this gateway uses.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kSharers = 12;      // gateways that use a server, where there are more than that
constexpr double kLeastServers = 6;  // servers that a gateway uses at the least: some may fail together
constexpr double kHeldPart = 0.5;    // part of both where connections stay open: full tables cost capacity
constexpr Millis kAskGap = 100;      // ms before a failed list call is made again, at the least; doubles
constexpr Millis kAskTurn = 50;      // ms that each gateway is given for its call where all have to make one
constexpr Millis kSubsetPerServer = 0.02;  // ms for each server between two choices of a large fleet's subset

// Over this time the calls of all gateways are spread, where all may call at once.
Millis Policy::Impl::AskSpread() const {
  return std::min(kAskTurn * (set_.gateways - 1), set_.max_watch_interval / 2);
}

void Policy::Impl::On(const MembershipUpdate& news) {
  if (news.kind == MembershipUpdate::Kind::kFailed) {
    // Ask later each time, never all at once: calls that time out in a line are worked through nevertheless.
    ask_gap_ = std::min(std::max({kAskGap, AskSpread(), ask_gap_ * 2}), set_.max_watch_interval / 2);
    ask_at_ = now_ + ask_gap_ * (0.5 + Uniform());
    return;
  }
  ask_gap_ = 0;
  const bool full = news.kind == MembershipUpdate::Kind::kFull;
  if (full) {
    for (auto& [id, b] : servers_) b.up = false, gone_.insert(id);
    up_ = 0;
  }
  for (const Server& s : news.servers) {
    Backend& b = Learn(s);
    if (!full) ChooseSubset(&b);
  }
  if (full) ChooseSubset();
  for (auto it = gone_.begin(); it != gone_.end();) {
    const auto found = servers_.find(*it);
    const bool up = found != servers_.end() && found->second.up;
    const bool forget = found != servers_.end() && !up && found->second.refs == 0;
    if (forget) {
      Place(found->second);  // in no index any more
      servers_.erase(found);
    }
    it = up || forget || found == servers_.end() ? gone_.erase(it) : std::next(it);
  }
}

// Puts the servers that are up on a ring, those of each kind evenly, by an order that all gateways share.
void Policy::Impl::OrderRing() {
  ring_.clear();
  std::map<const Kind*, double> size, rank;
  for (auto& [id, b] : servers_) {
    b.mine = false;
    if (b.up) ring_.push_back({static_cast<double>(b.hash >> 11), &b}), ++size[b.kind];
  }
  std::sort(ring_.begin(), ring_.end());
  for (auto& [at, b] : ring_) at = rank[b->kind]++ / size[b->kind];
  std::sort(ring_.begin(), ring_.end(), [](const auto& x, const auto& y) {
    return std::pair(x.first, x.second->hash) < std::pair(y.first, y.second->hash);
  });
}

// Subsetting: where many gateways share the servers each keeps to a few, or it learns nothing of any, and
// connections fill the servers' tables. Gateways start by the golden ratio of their index, which covers the
// ring. The next comes in for one that is ejected. `only`: nothing but this server has changed.
void Policy::Impl::ChooseSubset(Backend* only) {
  const double all = up_;
  const double part = set_.streams_per_connection > 1 ? kHeldPart : 1;
  const double wanted = part * std::max(kLeastServers, kSharers * all / set_.gateways);
  const bool whole = wanted >= all;
  if (!whole && only != nullptr && all > kFewServers && now_ < subset_at_) {
    subset_due_ = true;  // of a large fleet the subset follows in a while; whoever is not up is out at once
    return Place(*only);
  }
  const bool many = sharers_ > kManySharers;
  sharers_ = std::max(1.0, set_.gateways * std::min(1.0, wanted / std::max(1.0, all)));
  if (whole && whole_ && only != nullptr && many == (sharers_ > kManySharers)) {
    only->mine = only->up;
    return Place(*only);
  }
  whole_ = whole;
  subset_due_ = false;
  subset_at_ = now_ + kSubsetPerServer * all;
  OrderRing();
  double chosen = 0;
  for (std::size_t i = 0; i < ring_.size() && chosen < wanted; ++i) {
    Backend& b = *ring_[(i + static_cast<std::size_t>(place_ * all)) % ring_.size()].second;
    b.mine = true;
    chosen += !b.suspect;
  }
  for (auto& [id, b] : servers_) Place(b);
}

Backend& Policy::Impl::Learn(const Server& s) {
  const auto [entry, added] = servers_.try_emplace(s.id);
  Backend& b = entry->second;
  const bool restarted = added || s.started_at > b.info.started_at;
  if (added) b.order = ++ordered_;
  b.info = s;
  b.kind = &kinds_[s.kind];
  b.hash = Hash(s.id);
  up_ -= b.up;
  b.up = s.state == ServerState::kUp;
  up_ += b.up;
  if (!b.up) gone_.insert(s.id);
  if (!(b.info.weight > 0) || !std::isfinite(b.info.weight)) b.info.weight = 1;
  if (restarted) Renew(b, s.started_at > 0 ? s.started_at : kNever);  // 0: up for long
  ++measured_;
  return b;
}

// A new process: cold, and nothing known of the old one holds for it.
void Policy::Impl::Renew(Backend& b, Millis since) {
  b.cold_since = std::max(b.cold_since, since);
  b.credit = Uniform();
  b.credit_at = now_;
  b.latency = b.steady = b.base = b.failing = b.busy = b.samples = 0;
  b.limit = b.places = StartLimit();
  b.allowed = 0;
  b.heard_at = now_;
  b.suspect = b.lost = false;
  b.trial_gap = kTrialGap;
}

}  // namespace opalswitch
