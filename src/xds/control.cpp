#include "xds/control.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr Millis kLookEvery = 50;        // at weights and failing hosts
constexpr Millis kLookPerHost = 0.05;    // the same, by the number of a pool's hosts
constexpr std::size_t kMostGone = 1000;  // nodes that left a pool while they drained, and are remembered

// Whether what is to be told of an endpoint differs enough from what was.
bool Differs(const Assigned& was, const Assigned& is, double threshold) {
  if (was.standing != is.standing || was.zone != is.zone || was.address != is.address || was.port != is.port)
    return true;
  const double before = was.weight, after = is.weight;
  return was.weight != is.weight && std::abs(after - before) >= threshold * before;
}

void Append(Control::Outs& to, Control::Outs more) {
  to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

Control::Control(Hub& hub, std::uint64_t seed, std::function<void(const std::string&)> say)
    : hub_(hub), seed_(seed), say_(std::move(say)) {
  hub_.SetGrouping([this](const ProxyNode& node) { return GroupOf(node); });
}

ResourceOptions Control::OptionsOf(Form form) const {
  ResourceOptions options;
  options.grpc_clients = form == kGrpc;
  options.each_endpoint = form == kEach;
  return options;
}

const std::string& Control::GroupOf(const ProxyNode& node) const {
  const auto& groups = services_->control.groups;
  const auto takes = [](const std::vector<std::string>& patterns, const std::string& name) {
    return patterns.empty() || std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
             return config::MatchesPattern(pattern, name);
           });
  };
  for (const config::ControlGroup& group : groups) {
    if (takes(group.node_ids, node.id) && takes(group.node_clusters, node.cluster) &&
        takes(group.zones, node.zone))
      return group.id;
  }
  static const std::string kRest;
  return kRest;
}

Control::Outs Control::Configure(std::shared_ptr<const config::Services> services, Millis now) {
  services_ = std::move(services);
  std::set<std::string> strict;
  std::map<std::string, std::unique_ptr<Pool>> pools;
  for (const config::Pool& from : services_->pools) {
    if (from.strict_drain) strict.insert(from.id);
    const auto found = pools_.find(from.id);
    if (found != pools_.end() && found->second->definition == from.definition) {
      pools[from.id] = std::move(found->second);
      continue;
    }
    pools[from.id] = std::make_unique<Pool>(from, seed_ + ++made_);
    pools[from.id]->number = made_;
    if (found == pools_.end() || !found->second) continue;
    // Until its membership tells: the hosts that the old pool knew.
    const gateway::HostList known = nodes_.HostsOf(found->second->number);
    if (!known.hosts.empty()) Give(from.id, *pools[from.id], known, now);
  }
  for (const auto& [id, pool] : pools_) {
    if (pool) nodes_.RemovePool(pool->number);
    if (!pools.contains(id)) out_since_.erase(id);
  }
  pools_ = std::move(pools);
  hub_.SetStrict(std::move(strict));
  groups_.clear();
  for (const config::ControlGroup& from : services_->control.groups) {
    groups_.push_back({from.id,
                       from.grpc_clients    ? kGrpc
                       : from.each_endpoint ? kEach
                                            : kPlain,
                       {from.pools.begin(), from.pools.end()},
                       nullptr});
  }
  groups_.push_back({});
  std::array<std::map<std::string, EndpointParts>, kForms> parts;
  std::map<std::string, std::vector<Assigned>> endpoints;
  for (auto& [id, pool] : pools_) {
    endpoints[id] = pool->decider.Endpoints();
    pool->told.clear();
    pool->zones.clear();
    for (const Assigned& endpoint : endpoints[id]) SetTold(*pool, endpoint.id, &endpoint);
    pool->published = pool->listed;
  }
  for (const Group& group : groups_) {
    auto& of_form = parts[group.form];
    if (!of_form.empty()) continue;
    for (const auto& [id, pool] : pools_) {
      of_form[id] = pool->listed
                        ? BuildEndpoints(id, endpoints[id], OptionsOf(group.form), parts_[group.form][id])
                        : UnknownEndpoints(id, OptionsOf(group.form));
    }
  }
  parts_ = std::move(parts);
  std::set<std::string> ids;
  for (const Group& group : groups_) ids.insert(group.id);
  hub_.Regroup(ids);
  Outs out;
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    Group& group = groups_[i];
    ResourceOptions options = OptionsOf(group.form);
    options.pools = group.pools;
    if (i < services_->control.groups.size()) {
      const auto& listeners = services_->control.groups[i].listeners;
      options.listeners = {listeners.begin(), listeners.end()};
    }
    auto all = BuildRouting(*services_, options);
    for (const auto& [id, of_pool] : parts_[group.form]) {
      if (!group.Sees(id)) continue;
      all[static_cast<std::size_t>(Type::kEndpoint)][id] = of_pool.list;
      all[static_cast<std::size_t>(Type::kMember)].insert(of_pool.members.begin(), of_pool.members.end());
    }
    group.told = std::make_shared<const Snapshot>(std::move(all));
    Append(out, hub_.Publish(group.id, group.told, /*urgent=*/true, now));
  }
  out_since_.clear();
  for (const auto& [id, pool] : pools_) {
    std::set<std::string> hosts;
    for (const auto& [host, endpoint] : pool->told) hosts.insert(host);
    NoteOut(id, *pool, hosts);
  }
  return out;
}

void Control::Give(const std::string& id, Pool& pool, const gateway::HostList& list, Millis now) {
  gateway::HostList own = list;
  for (gateway::Host& host : own.hosts) {
    if (drained_.contains(host.server.id) && host.server.state == ServerState::kUp)
      host.server.state = ServerState::kDraining;
  }
  pool.decider.Told(own, now);
  pool.listed = true;
  SayLog(id, pool);
}

void Control::SayLog(const std::string& id, Pool& pool) {
  for (const std::string& line : pool.decider.TakeLog()) say_("pool " + id + ": " + line);
}

void Control::Give(const std::vector<gateway::NodeRegistry::PoolUpdate>& news, Millis now) {
  for (const gateway::NodeRegistry::PoolUpdate& item : news) {
    for (auto& [id, pool] : pools_) {
      if (pool->number == item.pool) Give(id, *pool, item.list, now);
    }
  }
}

Control::Outs Control::Told(const std::string& id, const gateway::HostList& list, Millis now) {
  Outs out;
  const auto found = pools_.find(id);
  if (found == pools_.end()) return out;
  const auto news = nodes_.ApplyUpdate(found->second->number, list, now);
  Give(news, now);
  for (auto& [name, pool] : pools_) {
    const auto reached =
        std::find_if(news.begin(), news.end(), [&](const auto& item) { return item.pool == pool->number; });
    if (reached == news.end()) continue;
    if (reached->list.complete || !pool->published || Moves(*pool, reached->list)) {
      Append(out, Publish(name, *pool, now));
      continue;
    }
    std::set<std::string> hosts;
    for (const gateway::Host& host : reached->list.hosts) hosts.insert(host.server.id);
    Append(out, PublishOut(name, *pool, hosts, now));
  }
  return out;
}

void Control::Heard(const ProxyNode& proxy, const std::vector<LoadReport>& reports, Millis now) {
  for (const LoadReport& report : reports) {
    const auto found = pools_.find(report.pool);
    if (found == pools_.end()) continue;
    ++reports_;
    found->second->decider.Heard(proxy.id, report, now);
  }
}

Control::Outs Control::Tick(Millis now) {
  Outs out;
  for (auto& [id, pool] : pools_) {
    pool->decider.Tick(now);
    SayLog(id, *pool);
    if (now < pool->look_at) continue;
    pool->look_at = now + std::max(kLookEvery, kLookPerHost * static_cast<double>(pool->decider.size()));
    Append(out, Publish(id, *pool, now));
  }
  return out;
}

bool Control::Moves(const Pool& pool, const gateway::HostList& list) {
  return std::any_of(list.hosts.begin(), list.hosts.end(), [&](const gateway::Host& host) {
    const auto told = pool.told.find(host.server.id);
    return told != pool.told.end() && (told->second.port != host.address.port() ||
                                       told->second.address != host.address.address().to_string());
  });
}

void Control::SetTold(Pool& pool, const std::string& host, const Assigned* to) {
  const auto found = pool.told.find(host);
  if (found != pool.told.end()) {
    const auto zone = pool.zones.find(found->second.zone);
    if (--zone->second == 0) pool.zones.erase(zone);
    if (to == nullptr) pool.told.erase(found);
  }
  if (to == nullptr) return;
  pool.told[host] = *to;
  ++pool.zones[to->zone];
}

Control::Outs Control::Publish(const std::string& id, Pool& pool, Millis now) {
  if (!pool.listed) return {};  // an empty list would have proxies let go of what they have
  std::map<std::string, Assigned> was;
  std::set<std::string> changed, there;
  bool urgent = !std::exchange(pool.published, true);  // proxies have waited for it
  for (const Assigned& endpoint : pool.decider.Endpoints()) {
    there.insert(endpoint.id);
    const auto found = pool.told.find(endpoint.id);
    if (found != pool.told.end()) {
      const Assigned& before = found->second;
      if (!Differs(before, endpoint, services_->control.weight_change_fraction)) continue;
      urgent = urgent || before.address != endpoint.address || before.port != endpoint.port ||
               (before.standing != Standing::kDraining && endpoint.standing == Standing::kDraining);
      was[endpoint.id] = before;
    }
    changed.insert(endpoint.id);
    SetTold(pool, endpoint.id, &endpoint);
  }
  std::vector<std::string> gone;
  for (const auto& [host, endpoint] : pool.told) {
    if (!there.contains(host)) gone.push_back(host);
  }
  for (const std::string& host : gone) {
    was[host] = pool.told.at(host);
    changed.insert(host);
    SetTold(pool, host, nullptr);
  }
  urgent = urgent || !gone.empty();
  if (changed.empty() && !urgent) return {};
  return Tell(id, pool, was, changed, urgent, now);
}

Control::Outs Control::PublishOut(const std::string& id, Pool& pool, const std::set<std::string>& hosts,
                                  Millis now) {
  std::map<std::string, Assigned> was;
  std::set<std::string> changed;
  for (const std::string& host : hosts) {
    const auto found = pool.told.find(host);
    const auto state = pool.decider.StateOf(host);
    if (found == pool.told.end() || state == ServerState::kUp) continue;
    Assigned next = found->second;
    if (state && next.standing == Standing::kDraining) continue;
    was[host] = found->second;
    changed.insert(host);
    next.standing = Standing::kDraining;
    next.weight = 1;
    SetTold(pool, host, state ? &next : nullptr);
  }
  pool.look_at = std::min(pool.look_at, now + kLookEvery);  // what else there is, soon
  if (changed.empty()) return {};
  return Tell(id, pool, was, changed, /*urgent=*/true, now);
}

Control::Outs Control::Tell(const std::string& id, Pool& pool, const std::map<std::string, Assigned>& was,
                            const std::set<std::string>& changed, bool urgent, Millis now) {
  std::array<Snapshot::Changes, kForms> changes;
  for (std::size_t form = 0; form < kForms; ++form) {
    if (parts_[form].empty()) continue;
    const ResourceOptions options = OptionsOf(static_cast<Form>(form));
    EndpointParts& parts = parts_[form][id];
    const ResourcePtr list = parts.list;
    auto& members = changes[form][static_cast<std::size_t>(Type::kMember)];
    if (form == kEach) {
      if (list->unknown) {  // what stood for all that was not known yet
        for (const auto& [name, unknown] : parts.members) members[name] = nullptr;
        parts.members.clear();
      }
      std::set<std::string> zones;
      for (const auto& [zone, count] : pool.zones) zones.insert(zone);
      parts.list = BuildCollections(id, zones, options, list);
      for (const std::string& host : changed) {
        const auto before = was.find(host);
        const auto after = pool.told.find(host);
        const std::string old_name = before == was.end() ? "" : MemberName(id, before->second);
        const std::string name = after == pool.told.end() ? "" : MemberName(id, after->second);
        if (!old_name.empty() && old_name != name) {
          members[old_name] = nullptr;
          parts.members.erase(old_name);
        }
        if (name.empty()) continue;
        ResourcePtr& member = parts.members[name];
        const ResourcePtr made = BuildMember(id, after->second, member);
        if (made != member) members[name] = member = made;
      }
    } else {
      std::vector<Assigned> endpoints;
      for (const auto& [host, endpoint] : pool.told) endpoints.push_back(endpoint);
      parts = BuildEndpoints(id, endpoints, options, parts);
    }
    if (parts.list != list) changes[form][static_cast<std::size_t>(Type::kEndpoint)][id] = parts.list;
  }
  Outs out;
  for (Group& group : groups_) {
    if (!group.Sees(id)) continue;
    group.told = group.told->With(changes[group.form]);
    Append(out, hub_.Publish(group.id, group.told, urgent, now));
  }
  NoteOut(id, pool, changed);
  return out;
}

void Control::NoteOut(const std::string& id, const Pool& pool, const std::set<std::string>& hosts) {
  auto& since = out_since_[id];
  for (const std::string& host : hosts) {
    const auto found = pool.told.find(host);
    if (found == pool.told.end())
      continue;  // gone: the lists without it count, those since its drain as well
    const Assigned& endpoint = found->second;
    if (endpoint.standing != Standing::kDraining) {
      since.erase(host);
      continue;
    }
    auto& needs = since[host];
    if (!needs.empty()) continue;  // it drains since an earlier list
    for (const Group& group : groups_) {
      if (!group.Sees(id)) continue;
      const EndpointParts& parts = parts_[group.form].at(id);
      if (group.form != kEach) {
        needs.push_back({group.id, Type::kEndpoint, id, parts.list->serial});
        continue;
      }
      // The list leads to members, and does not change with them.
      const std::string name = MemberName(id, endpoint);
      const auto member = parts.members.find(name);
      if (member != parts.members.end())
        needs.push_back({group.id, Type::kMember, name, member->second->serial});
    }
  }
  if (since.size() <= pool.told.size() + kMostGone) return;
  // Few nodes that left while they drained are remembered.
  std::erase_if(since, [&](const auto& entry) { return !pool.told.contains(entry.first); });
}

Control::Outs Control::Change(const std::string& node, Millis now) {
  Outs out;
  for (auto& [id, pool] : pools_) {
    const auto host = nodes_.FindHost(pool->number, node);
    if (!host) continue;
    Give(id, *pool, {0, false, {*host}}, now);
    Append(out, PublishOut(id, *pool, {node}, now));
  }
  return out;
}

Control::Outs Control::Drain(const std::string& node, Millis now) {
  drained_.insert(node);
  return Change(node, now);
}

Control::Outs Control::Undrain(const std::string& node, Millis now) {
  if (drained_.erase(node) == 0) return {};
  return Change(node, now);
}

bool Control::Knows(const std::string& node) const { return !nodes_.PoolsOf(node).empty(); }

std::vector<Hub::Waiting> Control::WaitingFor(const std::string& node, Millis now) const {
  std::map<std::string, Millis> all;
  for (const auto& [pool, nodes] : out_since_) {
    const auto needs = nodes.find(node);
    if (needs == nodes.end()) continue;
    for (const Hub::Waiting& waiting : hub_.WaitingFor(pool, needs->second, now)) {
      Millis& until = all[waiting.proxy];
      until = std::max(until, waiting.until);
    }
  }
  std::vector<Hub::Waiting> list;
  for (const auto& [proxy, until] : all) list.push_back({proxy, until});
  return list;
}

std::vector<Control::PoolStatus> Control::Status(Millis now) const {
  std::vector<PoolStatus> all;
  for (const config::Pool& pool : services_->pools) {
    all.push_back({pool.id, pool.strict_drain, pools_.at(pool.id)->decider.Status(now)});
  }
  return all;
}

}  // namespace opalswitch::xds
