// Which servers there are, and which of them this gateway uses.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kTargetGatewaysPerServer = 12;  // gateways that use a server, where there are more than that
constexpr double kMinSubsetServers = 6;  // servers that a gateway uses at the least: some may fail together
constexpr double kMultiplexedSubsetFraction =
    0.5;  // part of both where connections stay open: full tables cost capacity
constexpr Millis kMinWatchBackoffMs =
    100;  // ms before a failed list call is made again, at the least; doubles
constexpr Millis kWatchSpreadPerGatewayMs =
    50;  // ms that each gateway is given for its call where all have to make one
constexpr Millis kSubsetUpdateMsPerServer =
    0.02;  // ms for each server between two choices of a large fleet's subset

// Over this time the calls of all gateways are spread, where all may call at once.
Millis Policy::Impl::WatchSpread() const {
  return std::min(kWatchSpreadPerGatewayMs * (settings_.gateways - 1), settings_.max_watch_interval / 2);
}

void Policy::Impl::HandleEvent(const MembershipUpdate& update) {
  if (update.kind == MembershipUpdate::Kind::kFailed) {
    // Ask later each time, never all at once: calls that time out in a line are worked through nevertheless.
    watch_backoff_ = std::min(std::max({kMinWatchBackoffMs, WatchSpread(), watch_backoff_ * 2}),
                              settings_.max_watch_interval / 2);
    next_watch_at_ = now_ + watch_backoff_ * (0.5 + Uniform());
    return;
  }
  watch_backoff_ = 0;
  const bool is_full = update.kind == MembershipUpdate::Kind::kFull;
  if (is_full) {
    for (auto& [id, server] : servers_) server.is_up = false, down_servers_.insert(id);
    servers_up_ = 0;
  }
  for (const Server& info : update.servers) {
    TrackedServer& server = ApplyServerUpdate(info);
    if (!is_full) UpdateSubset(&server);
  }
  if (is_full) UpdateSubset();
  for (auto it = down_servers_.begin(); it != down_servers_.end();) {
    const auto found = servers_.find(*it);
    const bool is_up = found != servers_.end() && found->second.is_up;
    const bool removes = found != servers_.end() && !is_up && found->second.attempt_refs == 0;
    if (removes) {
      UpdateServerIndex(found->second);  // in no index any more
      servers_.erase(found);
    }
    it = is_up || removes || found == servers_.end() ? down_servers_.erase(it) : std::next(it);
  }
}

// Puts the servers that are up on a ring, those of each kind evenly, by an order that all gateways share.
void Policy::Impl::BuildRing() {
  ring_.clear();
  std::map<const ServerKindStats*, double> kind_size, kind_rank;
  for (auto& [id, server] : servers_) {
    server.in_subset = false;
    if (server.is_up)
      ring_.push_back({static_cast<double>(server.hash >> 11), &server}), ++kind_size[server.kind_stats];
  }
  std::sort(ring_.begin(), ring_.end());
  for (auto& [position, server] : ring_)
    position = kind_rank[server->kind_stats]++ / kind_size[server->kind_stats];
  std::sort(ring_.begin(), ring_.end(), [](const auto& x, const auto& y) {
    return std::pair(x.first, x.second->hash) < std::pair(y.first, y.second->hash);
  });
}

// Subsetting: where many gateways share the servers each keeps to a few, or it learns nothing of any, and
// connections fill the servers' tables. Gateways start by the golden ratio of their index, which covers the
// ring. The next comes in for one that is ejected. `only`: nothing but this server has changed.
void Policy::Impl::UpdateSubset(TrackedServer* changed) {
  const double servers_up = servers_up_;
  const double subset_fraction = settings_.streams_per_connection > 1 ? kMultiplexedSubsetFraction : 1;
  const double subset_size =
      subset_fraction *
      std::max(kMinSubsetServers, kTargetGatewaysPerServer * servers_up / settings_.gateways);
  const bool use_all = subset_size >= servers_up;
  if (!use_all && changed != nullptr && servers_up > kMaxServersForFullScan &&
      now_ < next_subset_update_at_) {
    subset_update_pending_ =
        true;  // of a large fleet the subset follows in a while; whoever is not up is out at once
    return UpdateServerIndex(*changed);
  }
  const bool was_highly_shared = gateways_per_server_ > kMaxGatewaysWithLimits;
  gateways_per_server_ =
      std::max(1.0, settings_.gateways * std::min(1.0, subset_size / std::max(1.0, servers_up)));
  if (use_all && uses_all_servers_ && changed != nullptr &&
      was_highly_shared == (gateways_per_server_ > kMaxGatewaysWithLimits)) {
    changed->in_subset = changed->is_up;
    return UpdateServerIndex(*changed);
  }
  uses_all_servers_ = use_all;
  subset_update_pending_ = false;
  next_subset_update_at_ = now_ + kSubsetUpdateMsPerServer * servers_up;
  BuildRing();
  double chosen = 0;
  for (std::size_t i = 0; i < ring_.size() && chosen < subset_size; ++i) {
    TrackedServer& server =
        *ring_[(i + static_cast<std::size_t>(ring_position_ * servers_up)) % ring_.size()].second;
    server.in_subset = true;
    chosen += !server.is_ejected;
  }
  for (auto& [id, server] : servers_) UpdateServerIndex(server);
}

TrackedServer& Policy::Impl::ApplyServerUpdate(const Server& info) {
  const auto [entry, is_new] = servers_.try_emplace(info.id);
  TrackedServer& server = entry->second;
  const bool has_restarted = is_new || info.started_at > server.info.started_at;
  if (is_new) server.sequence_number = ++servers_seen_;
  server.info = info;
  server.kind_stats = &kind_stats_[info.kind];
  server.hash = Hash(info.id);
  servers_up_ -= server.is_up;
  server.is_up = info.state == ServerState::kUp;
  servers_up_ += server.is_up;
  if (!server.is_up) down_servers_.insert(info.id);
  if (!(server.info.weight > 0) || !std::isfinite(server.info.weight)) server.info.weight = 1;
  if (has_restarted)
    ResetServer(server, info.started_at > 0 ? info.started_at : kDistantPast);  // 0: up for long
  ++latency_updates_;
  return server;
}

// A new process: cold, and nothing known of the old one holds for it.
void Policy::Impl::ResetServer(TrackedServer& server, Millis since) {
  server.warm_up_started_at = std::max(server.warm_up_started_at, since);
  server.send_credit = Uniform();
  server.send_credit_updated_at = now_;
  server.latency_ewma = server.slow_latency_ewma = server.baseline_latency = server.failure_rate =
      server.utilization = server.latency_samples = 0;
  server.concurrency_limit = server.concurrency_slots = InitialConcurrencyLimit();
  server.send_budget_per_ms = 0;
  server.send_budget_updated_at = now_;
  server.is_ejected = server.may_have_restarted = false;
  server.probe_interval = kInitialProbeIntervalMs;
}

}  // namespace opalswitch
