// Membership updates, and the subset of servers that this gateway uses.
#include "module/impl.hpp"

namespace opalswitch {

// Mean number of gateways that use a server, where there are more gateways than that.
constexpr double kTargetGatewaysPerServer = 12;
// Minimum size of a subset, because some of its servers may fail at the same time.
constexpr double kMinSubsetServers = 6;
// Factor of both with multiplexed connections. These stay open, and servers lose capacity with full
// connection tables.
constexpr double kMultiplexedSubsetFraction = 0.5;
// Mean delay after the first failed membership request; doubles with each consecutive failure.
constexpr Millis kInitialWatchBackoffMs = 100;
constexpr Millis kMinWatchRetryDelayMs = 50;
// Bound on the mean delay where few gateways share the source. A failure does not show that the source is
// down, and a change counts as known soon although several requests fail.
constexpr Millis kMaxWatchBackoffMs = 1000;
// The longest delay before a membership request is this multiple of the mean one.
constexpr double kMaxWatchRetryDelayFactor = 1.5;
// Random part of the delay after a request that failed, rather than an established watch.
constexpr double kWatchRetryJitter = 0.15;
// Where all gateways make a membership request at the same time, they spread them over this time per gateway.
constexpr Millis kWatchSpreadPerGatewayMs = 50;
constexpr Millis kMaxWatchSpreadMs = 4750;
// Minimum time per server between two selections of the subset of a large membership.
constexpr Millis kSubsetUpdateMsPerServer = 0.02;

Millis Policy::Impl::WatchSpread() const {
  return std::min({kWatchSpreadPerGatewayMs * (settings_.gateways - 1), settings_.max_watch_interval / 2,
                   kMaxWatchSpreadMs});
}

// Exponential backoff, with at least the spread of all gateways: a membership source with a queue works
// through the queued requests even if they have timed out. A source that goes down ends the watches of all
// gateways at the same moment, so the next requests are spread over the whole delay. Requests that fail were
// spread already, and keep their distance.
Millis Policy::Impl::NextWatchRetryDelay(const RetryWindow& window) {
  const Millis max_backoff = std::min(kMaxWatchBackoffMs, settings_.max_watch_interval / 2);
  watch_backoff_ = std::min(std::max(kInitialWatchBackoffMs, watch_backoff_ * 2), max_backoff);
  if (window.earliest > 0) return window.earliest + (window.latest - window.earliest) * Uniform();
  const Millis longest =
      std::min(kMaxWatchRetryDelayFactor * std::max(watch_backoff_, WatchSpread()), window.latest);
  const double jitter = is_watch_established_ ? 1 : kWatchRetryJitter;
  return std::max(kMinWatchRetryDelayMs, longest * (1 - jitter * Uniform()));
}

void Policy::Impl::HandleEvent(const MembershipUpdate& update) {
  if (update.kind == MembershipUpdate::Kind::kFailed) {
    next_watch_at_ = now_ + NextWatchRetryDelay(update.retry);
    return;
  }
  watch_backoff_ = 0;
  is_watch_established_ = true;
  const bool is_full = update.kind == MembershipUpdate::Kind::kFull;
  if (is_full) {
    for (auto& [id, server] : servers_) {
      server.is_up = false;
      down_servers_.insert(id);
    }
    servers_up_ = 0;
  }
  for (const Server& info : update.servers) {
    TrackedServer& server = ApplyServerUpdate(info);
    if (!is_full) UpdateSubset(&server);
  }
  if (is_full) UpdateSubset();
  // Remove servers that are down once no request refers to them.
  for (auto it = down_servers_.begin(); it != down_servers_.end();) {
    const auto found = servers_.find(*it);
    const bool is_up = found != servers_.end() && found->second.is_up;
    const bool remove = found != servers_.end() && !is_up && found->second.attempt_refs == 0;
    if (remove) {
      UpdateServerIndex(found->second);  // removes it from the index
      servers_.erase(found);
    }
    it = is_up || remove || found == servers_.end() ? down_servers_.erase(it) : std::next(it);
  }
}

// Places the servers that are up on a ring, in the same order at all gateways. The servers of each kind are
// spread evenly, so that subsets contain all kinds in the same proportion.
void Policy::Impl::BuildRing() {
  ring_.clear();
  std::map<const ServerKindStats*, double> kind_size;
  std::map<const ServerKindStats*, double> kind_rank;
  for (auto& [id, server] : servers_) {
    server.in_subset = false;
    if (!server.is_up) continue;
    ring_.push_back({static_cast<double>(server.hash >> 11), &server});
    ++kind_size[server.kind_stats];
  }
  std::sort(ring_.begin(), ring_.end());
  for (auto& [position, server] : ring_)
    position = kind_rank[server->kind_stats]++ / kind_size[server->kind_stats];
  std::sort(ring_.begin(), ring_.end(), [](const auto& x, const auto& y) {
    return std::pair(x.first, x.second->hash) < std::pair(y.first, y.second->hash);
  });
}

// Subsetting: where many gateways share the servers, each gateway uses only a few of them. Otherwise it would
// learn little about each, and connections would fill the servers' tables. A gateway uses consecutive servers
// from its position on the ring; ejected servers are replaced by the next ones.
void Policy::Impl::UpdateSubset(TrackedServer* changed) {
  const double servers_up = servers_up_;
  const double subset_fraction = settings_.streams_per_connection > 1 ? kMultiplexedSubsetFraction : 1;
  const double subset_size =
      subset_fraction *
      std::max(kMinSubsetServers, kTargetGatewaysPerServer * servers_up / settings_.gateways);
  const bool use_all = subset_size >= servers_up;
  if (!use_all && changed != nullptr && servers_up > kMaxServersForFullScan &&
      now_ < next_subset_update_at_) {
    // With a large membership, the subset is updated later, by a sweep. Servers that are not up are excluded
    // at once by the index.
    subset_update_pending_ = true;
    return UpdateServerIndex(*changed);
  }
  const bool was_highly_shared = gateways_per_server_ > kMaxGatewaysForConcurrencyLimits;
  gateways_per_server_ =
      std::max(1.0, settings_.gateways * std::min(1.0, subset_size / std::max(1.0, servers_up)));
  if (use_all && uses_all_servers_ && changed != nullptr &&
      was_highly_shared == (gateways_per_server_ > kMaxGatewaysForConcurrencyLimits)) {
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
  // started_at == 0: started long ago, so it is warm.
  if (has_restarted) ResetServer(server, info.started_at > 0 ? info.started_at : kDistantPast);
  ++latency_updates_;
  return server;
}

// A new process is cold, and nothing that was learned about the old one applies to it.
void Policy::Impl::ResetServer(TrackedServer& server, Millis since) {
  server.warm_up_started_at = std::max(server.warm_up_started_at, since);
  server.send_credit = Uniform();
  server.send_credit_updated_at = now_;
  server.latency_ewma = 0;
  server.slow_latency_ewma = 0;
  server.baseline_latency = 0;
  server.latency_samples = 0;
  server.failure_rate = 0;
  server.utilization = 0;
  server.concurrency_limit = server.concurrency_slots = InitialConcurrencyLimit();
  server.send_budget_per_ms = 0;
  server.send_budget_updated_at = now_;
  server.is_ejected = false;
  server.may_have_restarted = false;
  server.probe_interval = kInitialProbeIntervalMs;
}

}  // namespace opalswitch
