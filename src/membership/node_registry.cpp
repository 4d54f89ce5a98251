#include "membership/node_registry.hpp"

#include <algorithm>
#include <utility>

namespace opalswitch::gateway {

bool NodeRegistry::Note(PoolId pool, const Host& host, Millis now) {
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

ServerState NodeRegistry::StateOf(const Host& host) const {
  if (host.server.state != ServerState::kUp) return host.server.state;
  const auto found = drains_.find(host.server.id);
  const bool drains = found != drains_.end() && host.server.started_at <= found->second.started_at;
  return drains ? ServerState::kDraining : ServerState::kUp;
}

std::vector<NodeRegistry::PoolUpdate> NodeRegistry::ApplyUpdate(PoolId pool, const HostList& list,
                                                                Millis now) {
  std::map<std::string, Host>& view = views_[pool];
  std::set<std::string> changed;
  std::set<std::string> named;
  for (const Host& host : list.hosts) {
    named.insert(host.server.id);
    if (Note(pool, host, now)) changed.insert(host.server.id);
    if (host.server.state == ServerState::kGone) {
      view.erase(host.server.id);
    } else {
      view[host.server.id] = host;
    }
  }
  if (list.complete) {
    std::erase_if(view, [&](const auto& entry) { return !named.contains(entry.first); });
  }
  std::vector<PoolUpdate> news;
  for (const auto& [other, hosts] : views_) {
    if (other == pool) continue;
    HostList delta;
    delta.complete = false;
    for (const std::string& id : changed) {
      const auto found = hosts.find(id);
      if (found == hosts.end()) continue;
      delta.hosts.push_back(found->second);
      delta.hosts.back().server.state = StateOf(found->second);
    }
    if (!delta.hosts.empty()) news.push_back({other, std::move(delta)});
  }
  HostList own = list;
  for (Host& host : own.hosts) host.server.state = StateOf(host);
  news.push_back({pool, std::move(own)});
  DropUnlisted();
  return news;
}

void NodeRegistry::RemovePool(PoolId pool) {
  views_.erase(pool);
  for (auto& [id, drain] : drains_) {
    drain.reported_by.erase(pool);
    // Nobody is left who could tell of the drain's end: the word of any pool will do.
    if (!drain.reported_by.empty()) continue;
    for (const PoolId other : PoolsOf(id)) drain.reported_by.insert(other);
  }
  DropUnlisted();
}

// A drain that nobody could hear of any more is not kept: what peers can make grow is bounded by the lists.
void NodeRegistry::DropUnlisted() {
  std::erase_if(drains_, [this](const auto& entry) {
    return std::none_of(views_.begin(), views_.end(),
                        [&](const auto& view) { return view.second.contains(entry.first); });
  });
}

HostList NodeRegistry::HostsOf(PoolId pool) const {
  HostList list;
  const auto found = views_.find(pool);
  if (found == views_.end()) return list;
  for (const auto& [id, host] : found->second) {
    list.hosts.push_back(host);
    list.hosts.back().server.state = StateOf(host);
  }
  return list;
}

std::optional<Host> NodeRegistry::FindHost(PoolId pool, const std::string& id) const {
  const auto view = views_.find(pool);
  if (view == views_.end()) return std::nullopt;
  const auto found = view->second.find(id);
  if (found == view->second.end()) return std::nullopt;
  Host host = found->second;
  host.server.state = StateOf(found->second);
  return host;
}

std::vector<NodeRegistry::PoolId> NodeRegistry::PoolsOf(const std::string& id) const {
  std::vector<PoolId> pools;
  for (const auto& [pool, hosts] : views_) {
    if (hosts.contains(id)) pools.push_back(pool);
  }
  return pools;
}

}  // namespace opalswitch::gateway
