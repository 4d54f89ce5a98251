#include "membership/node_registry.hpp"

#include <algorithm>
#include <utility>

namespace opalswitch::gateway {

bool NodeRegistry::UpdateDrain(PoolId pool, const Host& host, Millis now) {
  const Server& server = host.server;
  const auto found = drains_.find(server.id);
  if (server.state == ServerState::kDraining) {
    if (found == drains_.end() || server.started_at > found->second.started_at) {
      drains_[server.id] = {now, pool, {pool}, server.started_at};
      return true;
    }
    found->second.reported_by.insert(pool);
    return false;
  }
  if (server.state != ServerState::kUp || found == drains_.end()) return false;
  if (server.started_at <= found->second.started_at && !found->second.reported_by.contains(pool))
    return false;
  drains_.erase(found);
  return true;
}

ServerState NodeRegistry::EffectiveState(const Host& host) const {
  if (host.server.state != ServerState::kUp) return host.server.state;
  const auto found = drains_.find(host.server.id);
  const bool is_draining = found != drains_.end() && host.server.started_at <= found->second.started_at;
  return is_draining ? ServerState::kDraining : ServerState::kUp;
}

std::vector<NodeRegistry::PoolUpdate> NodeRegistry::ApplyUpdate(PoolId pool, const HostList& list,
                                                                Millis now) {
  std::map<std::string, Host>& hosts = hosts_by_pool_[pool];
  std::set<std::string> changed_ids;
  std::set<std::string> listed_ids;
  for (const Host& host : list.hosts) {
    listed_ids.insert(host.server.id);
    if (UpdateDrain(pool, host, now)) changed_ids.insert(host.server.id);
    if (host.server.state == ServerState::kGone) {
      hosts.erase(host.server.id);
    } else {
      hosts[host.server.id] = host;
    }
  }
  if (list.complete) {
    std::erase_if(hosts, [&](const auto& entry) { return !listed_ids.contains(entry.first); });
  }
  std::vector<PoolUpdate> updates;
  for (const auto& [other, other_hosts] : hosts_by_pool_) {
    if (other == pool) continue;
    HostList delta;
    delta.complete = false;
    for (const std::string& id : changed_ids) {
      const auto found = other_hosts.find(id);
      if (found == other_hosts.end()) continue;
      delta.hosts.push_back(found->second);
      delta.hosts.back().server.state = EffectiveState(found->second);
    }
    if (!delta.hosts.empty()) updates.push_back({other, std::move(delta)});
  }
  HostList own = list;
  for (Host& host : own.hosts) host.server.state = EffectiveState(host);
  updates.push_back({pool, std::move(own)});
  RemoveUnlistedDrains();
  return updates;
}

void NodeRegistry::RemovePool(PoolId pool) {
  hosts_by_pool_.erase(pool);
  for (auto& [id, drain] : drains_) {
    drain.reported_by.erase(pool);
    // No source is left that could report the end of the drain, so any pool that lists the node may end it.
    if (!drain.reported_by.empty()) continue;
    for (const PoolId other : PoolsOf(id)) drain.reported_by.insert(other);
  }
  RemoveUnlistedDrains();
}

// Removes the drains of nodes that no pool lists. This bounds the drains kept by the lengths of the lists.
void NodeRegistry::RemoveUnlistedDrains() {
  std::erase_if(drains_, [this](const auto& entry) {
    return std::none_of(hosts_by_pool_.begin(), hosts_by_pool_.end(),
                        [&](const auto& pool_entry) { return pool_entry.second.contains(entry.first); });
  });
}

HostList NodeRegistry::HostsOf(PoolId pool) const {
  HostList list;
  const auto found = hosts_by_pool_.find(pool);
  if (found == hosts_by_pool_.end()) return list;
  for (const auto& [id, host] : found->second) {
    list.hosts.push_back(host);
    list.hosts.back().server.state = EffectiveState(host);
  }
  return list;
}

std::optional<Host> NodeRegistry::FindHost(PoolId pool, const std::string& id) const {
  const auto pool_hosts = hosts_by_pool_.find(pool);
  if (pool_hosts == hosts_by_pool_.end()) return std::nullopt;
  const auto found = pool_hosts->second.find(id);
  if (found == pool_hosts->second.end()) return std::nullopt;
  Host host = found->second;
  host.server.state = EffectiveState(found->second);
  return host;
}

std::vector<NodeRegistry::PoolId> NodeRegistry::PoolsOf(const std::string& id) const {
  std::vector<PoolId> pools;
  for (const auto& [pool, hosts] : hosts_by_pool_) {
    if (hosts.contains(id)) pools.push_back(pool);
  }
  return pools;
}

}  // namespace opalswitch::gateway
