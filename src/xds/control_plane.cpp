#include "xds/control_plane.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr Millis kMinComparisonIntervalMs = 50;  // of a pool's weights and health with the published ones
constexpr Millis kComparisonIntervalPerHostMs = 0.05;  // bounds the cost of comparing a large pool
constexpr std::size_t kMaxDepartedNodes = 1000;        // per pool: nodes that left it while draining

// Whether an endpoint differs enough from its published version to be published again.
bool DiffersFromPublished(const EndpointAssignment& published, const EndpointAssignment& current,
                          double weight_change_fraction) {
  if (published.health != current.health || published.zone != current.zone ||
      published.address != current.address || published.port != current.port)
    return true;
  const double before = published.weight, after = current.weight;
  return published.weight != current.weight && std::abs(after - before) >= weight_change_fraction * before;
}

void Append(ControlPlane::OutgoingMessages& to, ControlPlane::OutgoingMessages more) {
  to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

ControlPlane::ControlPlane(StreamHub& hub, std::uint64_t seed, std::function<void(const std::string&)> log)
    : hub_(hub), seed_(seed), log_(std::move(log)) {
  hub_.SetGroupSelector([this](const ProxyNode& node) { return SelectGroup(node); });
}

ResourceOptions ControlPlane::OptionsFor(EndpointFormat format) const {
  ResourceOptions options;
  options.for_grpc_clients = format == kGrpcClients;
  options.uses_leds = format == kLeds;
  return options;
}

const std::string& ControlPlane::SelectGroup(const ProxyNode& node) const {
  const auto& groups = services_->control.groups;
  const auto matches = [](const std::vector<std::string>& patterns, const std::string& name) {
    return patterns.empty() || std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
             return config::MatchesPattern(pattern, name);
           });
  };
  for (const config::ControlGroup& group : groups) {
    if (matches(group.node_ids, node.id) && matches(group.node_clusters, node.cluster) &&
        matches(group.zones, node.zone))
      return group.id;
  }
  static const std::string kDefaultGroup;
  return kDefaultGroup;
}

ControlPlane::OutgoingMessages ControlPlane::Configure(std::shared_ptr<const config::Services> services,
                                                       Millis now) {
  services_ = std::move(services);
  std::set<std::string> strict_pools;
  std::map<std::string, std::unique_ptr<Pool>> pools;
  for (const config::Pool& from : services_->pools) {
    if (from.strict_drain) strict_pools.insert(from.id);
    const auto found = pools_.find(from.id);
    if (found != pools_.end() && found->second->definition == from.definition) {
      pools[from.id] = std::move(found->second);
      continue;
    }
    pools[from.id] = std::make_unique<Pool>(from, seed_ + ++pools_created_);
    pools[from.id]->registry_id = pools_created_;
    if (found == pools_.end() || !found->second) continue;
    // Until the first membership update: the hosts of the previous definition of the pool.
    const gateway::HostList known = nodes_.HostsOf(found->second->registry_id);
    if (!known.hosts.empty()) ApplyHostList(from.id, *pools[from.id], known, now);
  }
  // Only the pools that were not moved to `pools` are left in pools_.
  for (const auto& [id, pool] : pools_) {
    if (pool) nodes_.RemovePool(pool->registry_id);
    if (!pools.contains(id)) drain_requirements_.erase(id);
  }
  pools_ = std::move(pools);
  hub_.SetStrictPools(std::move(strict_pools));
  groups_.clear();
  for (const config::ControlGroup& from : services_->control.groups) {
    groups_.push_back({from.id,
                       from.grpc_clients    ? kGrpcClients
                       : from.each_endpoint ? kLeds
                                            : kStandard,
                       {from.pools.begin(), from.pools.end()},
                       nullptr});
  }
  groups_.push_back({});
  std::array<std::map<std::string, EndpointResources>, kEndpointFormatCount> all_resources;
  std::map<std::string, std::vector<EndpointAssignment>> endpoints;
  for (auto& [id, pool] : pools_) {
    endpoints[id] = pool->decider.Endpoints();
    pool->published.clear();
    pool->zone_counts.clear();
    for (const EndpointAssignment& endpoint : endpoints[id])
      SetPublishedEndpoint(*pool, endpoint.id, &endpoint);
    pool->is_published = pool->has_membership;
  }
  for (const Group& group : groups_) {
    auto& of_format = all_resources[group.format];
    if (!of_format.empty()) continue;
    for (const auto& [id, pool] : pools_) {
      of_format[id] = pool->has_membership
                          ? BuildEndpointResources(id, endpoints[id], OptionsFor(group.format),
                                                   endpoint_resources_[group.format][id])
                          : MakePlaceholderEndpoints(id, OptionsFor(group.format));
    }
  }
  endpoint_resources_ = std::move(all_resources);
  std::set<std::string> ids;
  for (const Group& group : groups_) ids.insert(group.id);
  hub_.ReassignGroups(ids);
  OutgoingMessages out;
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    Group& group = groups_[i];
    ResourceOptions options = OptionsFor(group.format);
    options.pools = group.pools;
    if (i < services_->control.groups.size()) {
      const auto& listeners = services_->control.groups[i].listeners;
      options.listeners = {listeners.begin(), listeners.end()};
    }
    auto all = BuildRoutingResources(*services_, options);
    for (const auto& [id, resources] : endpoint_resources_[group.format]) {
      if (!group.IncludesPool(id)) continue;
      all[static_cast<std::size_t>(ResourceType::kEndpoint)][id] = resources.load_assignment;
      all[static_cast<std::size_t>(ResourceType::kLbEndpoint)].insert(resources.lb_endpoints.begin(),
                                                                      resources.lb_endpoints.end());
    }
    group.snapshot = std::make_shared<const Snapshot>(std::move(all));
    Append(out, hub_.Publish(group.id, group.snapshot, /*urgent=*/true, now));
  }
  drain_requirements_.clear();
  for (const auto& [id, pool] : pools_) {
    std::set<std::string> hosts;
    for (const auto& [host, endpoint] : pool->published) hosts.insert(host);
    RecordDrainRequirements(id, *pool, hosts);
  }
  return out;
}

void ControlPlane::ApplyHostList(const std::string& id, Pool& pool, const gateway::HostList& list,
                                 Millis now) {
  gateway::HostList drained_list = list;
  for (gateway::Host& host : drained_list.hosts) {
    if (drained_.contains(host.server.id) && host.server.state == ServerState::kUp)
      host.server.state = ServerState::kDraining;
  }
  pool.decider.UpdateMembership(drained_list, now);
  pool.has_membership = true;
  WriteDecisionLog(id, pool);
}

void ControlPlane::WriteDecisionLog(const std::string& id, Pool& pool) {
  for (const std::string& line : pool.decider.TakeLog()) log_("pool " + id + ": " + line);
}

void ControlPlane::ApplyUpdates(const std::vector<gateway::NodeRegistry::PoolUpdate>& updates, Millis now) {
  for (const gateway::NodeRegistry::PoolUpdate& update : updates) {
    for (auto& [id, pool] : pools_) {
      if (pool->registry_id == update.pool) ApplyHostList(id, *pool, update.list, now);
    }
  }
}

ControlPlane::OutgoingMessages ControlPlane::UpdateMembership(const std::string& id,
                                                              const gateway::HostList& list, Millis now) {
  OutgoingMessages out;
  const auto found = pools_.find(id);
  if (found == pools_.end()) return out;
  const auto updates = nodes_.ApplyUpdate(found->second->registry_id, list, now);
  ApplyUpdates(updates, now);
  for (auto& [name, pool] : pools_) {
    const auto update = std::find_if(updates.begin(), updates.end(), [&pool = pool](const auto& candidate) {
      return candidate.pool == pool->registry_id;
    });
    if (update == updates.end()) continue;
    if (update->list.complete || !pool->is_published || HasMovedHost(*pool, update->list)) {
      Append(out, PublishChanges(name, *pool, now));
      continue;
    }
    std::set<std::string> hosts;
    for (const gateway::Host& host : update->list.hosts) hosts.insert(host.server.id);
    Append(out, PublishUnusable(name, *pool, hosts, now));
  }
  return out;
}

void ControlPlane::AddLoadReports(const ProxyNode& proxy, const std::vector<LoadReport>& reports,
                                  Millis now) {
  for (const LoadReport& report : reports) {
    const auto found = pools_.find(report.pool);
    if (found == pools_.end()) continue;
    ++load_report_count_;
    found->second->decider.AddLoadReport(proxy.id, report, now);
  }
}

ControlPlane::OutgoingMessages ControlPlane::Tick(Millis now) {
  OutgoingMessages out;
  for (auto& [id, pool] : pools_) {
    pool->decider.Tick(now);
    WriteDecisionLog(id, *pool);
    if (now < pool->next_comparison) continue;
    pool->next_comparison =
        now + std::max(kMinComparisonIntervalMs,
                       kComparisonIntervalPerHostMs * static_cast<double>(pool->decider.size()));
    Append(out, PublishChanges(id, *pool, now));
  }
  return out;
}

bool ControlPlane::HasMovedHost(const Pool& pool, const gateway::HostList& list) {
  return std::any_of(list.hosts.begin(), list.hosts.end(), [&](const gateway::Host& host) {
    const auto published = pool.published.find(host.server.id);
    return published != pool.published.end() &&
           (published->second.port != host.address.port() ||
            published->second.address != host.address.address().to_string());
  });
}

void ControlPlane::SetPublishedEndpoint(Pool& pool, const std::string& host,
                                        const EndpointAssignment* endpoint) {
  const auto found = pool.published.find(host);
  if (found != pool.published.end()) {
    const auto zone = pool.zone_counts.find(found->second.zone);
    if (--zone->second == 0) pool.zone_counts.erase(zone);
    if (endpoint == nullptr) pool.published.erase(found);
  }
  if (endpoint == nullptr) return;
  pool.published[host] = *endpoint;
  ++pool.zone_counts[endpoint->zone];
}

ControlPlane::OutgoingMessages ControlPlane::PublishChanges(const std::string& id, Pool& pool, Millis now) {
  if (!pool.has_membership) return {};  // publishing an empty list would make proxies drop their endpoints
  std::map<std::string, EndpointAssignment> previous;
  std::set<std::string> changed, present;
  bool urgent = !std::exchange(pool.is_published, true);  // a pool's first endpoints
  for (const EndpointAssignment& endpoint : pool.decider.Endpoints()) {
    present.insert(endpoint.id);
    const auto found = pool.published.find(endpoint.id);
    if (found != pool.published.end()) {
      const EndpointAssignment& before = found->second;
      if (!DiffersFromPublished(before, endpoint, services_->control.weight_change_fraction)) continue;
      urgent = urgent || before.address != endpoint.address || before.port != endpoint.port ||
               (before.health != EndpointHealth::kDraining && endpoint.health == EndpointHealth::kDraining);
      previous[endpoint.id] = before;
    }
    changed.insert(endpoint.id);
    SetPublishedEndpoint(pool, endpoint.id, &endpoint);
  }
  std::vector<std::string> removed;
  for (const auto& [host, endpoint] : pool.published) {
    if (!present.contains(host)) removed.push_back(host);
  }
  for (const std::string& host : removed) {
    previous[host] = pool.published.at(host);
    changed.insert(host);
    SetPublishedEndpoint(pool, host, nullptr);
  }
  urgent = urgent || !removed.empty();
  if (changed.empty() && !urgent) return {};
  return PublishEndpoints(id, pool, previous, changed, urgent, now);
}

ControlPlane::OutgoingMessages ControlPlane::PublishUnusable(const std::string& id, Pool& pool,
                                                             const std::set<std::string>& hosts, Millis now) {
  std::map<std::string, EndpointAssignment> previous;
  std::set<std::string> changed;
  for (const std::string& host : hosts) {
    const auto found = pool.published.find(host);
    const auto state = pool.decider.FindState(host);
    if (found == pool.published.end() || state == ServerState::kUp) continue;
    EndpointAssignment next = found->second;
    if (state && next.health == EndpointHealth::kDraining) continue;
    previous[host] = found->second;
    changed.insert(host);
    next.health = EndpointHealth::kDraining;
    next.weight = 1;
    SetPublishedEndpoint(pool, host, state ? &next : nullptr);
  }
  // Other changes are published by the next comparison, soon.
  pool.next_comparison = std::min(pool.next_comparison, now + kMinComparisonIntervalMs);
  if (changed.empty()) return {};
  return PublishEndpoints(id, pool, previous, changed, /*urgent=*/true, now);
}

ControlPlane::OutgoingMessages ControlPlane::PublishEndpoints(
    const std::string& id, Pool& pool, const std::map<std::string, EndpointAssignment>& previous,
    const std::set<std::string>& changed, bool urgent, Millis now) {
  std::array<Snapshot::Changes, kEndpointFormatCount> changes;
  for (std::size_t format = 0; format < kEndpointFormatCount; ++format) {
    if (endpoint_resources_[format].empty()) continue;
    const ResourceOptions options = OptionsFor(static_cast<EndpointFormat>(format));
    EndpointResources& resources = endpoint_resources_[format][id];
    const ResourcePtr previous_assignment = resources.load_assignment;
    auto& lb_endpoint_changes = changes[format][static_cast<std::size_t>(ResourceType::kLbEndpoint)];
    if (format == kLeds) {
      if (previous_assignment->is_placeholder) {  // remove the placeholders
        for (const auto& [name, placeholder] : resources.lb_endpoints) lb_endpoint_changes[name] = nullptr;
        resources.lb_endpoints.clear();
      }
      std::set<std::string> zones;
      for (const auto& [zone, count] : pool.zone_counts) zones.insert(zone);
      resources.load_assignment = BuildLedsAssignment(id, zones, options, previous_assignment);
      for (const std::string& host : changed) {
        const auto before = previous.find(host);
        const auto after = pool.published.find(host);
        const std::string old_name = before == previous.end() ? "" : LbEndpointName(id, before->second);
        const std::string name = after == pool.published.end() ? "" : LbEndpointName(id, after->second);
        if (!old_name.empty() && old_name != name) {
          lb_endpoint_changes[old_name] = nullptr;
          resources.lb_endpoints.erase(old_name);
        }
        if (name.empty()) continue;
        ResourcePtr& lb_endpoint = resources.lb_endpoints[name];
        const ResourcePtr rebuilt = BuildLbEndpoint(id, after->second, lb_endpoint);
        if (rebuilt != lb_endpoint) lb_endpoint_changes[name] = lb_endpoint = rebuilt;
      }
    } else {
      std::vector<EndpointAssignment> endpoints;
      for (const auto& [host, endpoint] : pool.published) endpoints.push_back(endpoint);
      resources = BuildEndpointResources(id, endpoints, options, resources);
    }
    if (resources.load_assignment != previous_assignment)
      changes[format][static_cast<std::size_t>(ResourceType::kEndpoint)][id] = resources.load_assignment;
  }
  OutgoingMessages out;
  for (Group& group : groups_) {
    if (!group.IncludesPool(id)) continue;
    group.snapshot = group.snapshot->WithChanges(changes[group.format]);
    Append(out, hub_.Publish(group.id, group.snapshot, urgent, now));
  }
  RecordDrainRequirements(id, pool, changed);
  return out;
}

void ControlPlane::RecordDrainRequirements(const std::string& id, const Pool& pool,
                                           const std::set<std::string>& hosts) {
  auto& requirements = drain_requirements_[id];
  for (const std::string& host : hosts) {
    const auto found = pool.published.find(host);
    // Removed: the requirements recorded for its drain stay. Proxies also satisfy them by accepting a later
    // version without the host.
    if (found == pool.published.end()) continue;
    const EndpointAssignment& endpoint = found->second;
    if (endpoint.health != EndpointHealth::kDraining) {
      requirements.erase(host);
      continue;
    }
    auto& required = requirements[host];
    if (!required.empty()) continue;  // draining since an earlier publication
    for (const Group& group : groups_) {
      if (!group.IncludesPool(id)) continue;
      const EndpointResources& resources = endpoint_resources_[group.format].at(id);
      if (group.format != kLeds) {
        required.push_back({group.id, ResourceType::kEndpoint, id, resources.load_assignment->serial});
        continue;
      }
      // The ClusterLoadAssignment refers to the LbEndpoints and does not change with them.
      const std::string name = LbEndpointName(id, endpoint);
      const auto lb_endpoint = resources.lb_endpoints.find(name);
      if (lb_endpoint != resources.lb_endpoints.end())
        required.push_back({group.id, ResourceType::kLbEndpoint, name, lb_endpoint->second->serial});
    }
  }
  if (requirements.size() <= pool.published.size() + kMaxDepartedNodes) return;
  // Too many nodes have left while draining: forget them.
  std::erase_if(requirements, [&](const auto& entry) { return !pool.published.contains(entry.first); });
}

ControlPlane::OutgoingMessages ControlPlane::ApplyDrainChange(const std::string& node, Millis now) {
  OutgoingMessages out;
  for (auto& [id, pool] : pools_) {
    const auto host = nodes_.FindHost(pool->registry_id, node);
    if (!host) continue;
    ApplyHostList(id, *pool, {0, false, {*host}}, now);
    Append(out, PublishUnusable(id, *pool, {node}, now));
  }
  return out;
}

ControlPlane::OutgoingMessages ControlPlane::Drain(const std::string& node, Millis now) {
  drained_.insert(node);
  return ApplyDrainChange(node, now);
}

ControlPlane::OutgoingMessages ControlPlane::Undrain(const std::string& node, Millis now) {
  if (drained_.erase(node) == 0) return {};
  return ApplyDrainChange(node, now);
}

bool ControlPlane::HasNode(const std::string& node) const { return !nodes_.PoolsOf(node).empty(); }

std::vector<StreamHub::PendingProxy> ControlPlane::PendingProxies(const std::string& node, Millis now) const {
  std::map<std::string, Millis> all;
  for (const auto& [pool, nodes] : drain_requirements_) {
    const auto required = nodes.find(node);
    if (required == nodes.end()) continue;
    for (const StreamHub::PendingProxy& proxy : hub_.PendingProxies(pool, required->second, now)) {
      Millis& expiry = all[proxy.proxy];
      expiry = std::max(expiry, proxy.lease_expiry);
    }
  }
  std::vector<StreamHub::PendingProxy> list;
  for (const auto& [proxy, expiry] : all) list.push_back({proxy, expiry});
  return list;
}

std::vector<ControlPlane::PoolStatus> ControlPlane::Status(Millis now) const {
  std::vector<PoolStatus> all;
  for (const config::Pool& pool : services_->pools) {
    all.push_back({pool.id, pool.strict_drain, pools_.at(pool.id)->decider.Status(now)});
  }
  return all;
}

}  // namespace opalswitch::xds
