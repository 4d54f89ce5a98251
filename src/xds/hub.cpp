#include "xds/hub.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMostLost = 10000;  // proxies remembered after their streams broke
constexpr Millis kForEver = std::numeric_limits<Millis>::infinity();

}  // namespace

bool Hub::Open(StreamId stream, Session::Variant variant, Millis now) {
  if (streams_.size() >= options_.proxies) {
    ++past_.refused;
    return false;
  }
  streams_.try_emplace(stream, variant, options_.bounds).first->second.renewed = now;
  return true;
}

// What of an answer is a lease, and until when: the time of sending counts, which is before the proxy's own.
void Hub::Lease(Stream& stream, Out& out, Millis now) const {
  if (out.response.type != ResourceType::kEndpoint) return;
  for (const ResourcePtr& resource : out.response.resources) {
    const bool strict = strict_.contains(resource->name);
    stream.leases[resource->name] = strict ? now + options_.lease : kForEver;
    if (strict) out.leased.push_back(resource->name);
  }
  for (const std::string& name : out.response.removed) stream.leases.erase(name);
}

void Hub::Push(StreamId id, Stream& stream, Millis now, std::vector<Out>& out) {
  const auto group = groups_.find(stream.group);
  if (!stream.known || group == groups_.end()) return;
  while (auto response = stream.session.NextResponse(*group->second.told)) {
    Out item;
    item.stream = id;
    item.response = std::move(*response);
    Lease(stream, item, now);
    ++past_.pushes;
    if (!stream.owing_since) stream.owing_since = now;
    out.push_back(std::move(item));
  }
}

void Hub::SetStrict(std::set<std::string> pools) {
  for (auto& [id, stream] : streams_) {
    for (const auto* const set : {&pools, &strict_}) {
      for (const std::string& pool : *set) {
        if (pools.contains(pool) != strict_.contains(pool))
          stream.session.MarkForResend(ResourceType::kEndpoint, pool);
      }
    }
  }
  strict_ = std::move(pools);
}

void Hub::Regroup(const std::set<std::string>& ids) {
  for (auto& [id, stream] : streams_) {
    if (stream.known && grouping_) stream.group = grouping_(stream.node);
  }
  std::erase_if(groups_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

std::vector<Hub::Out> Hub::Publish(const std::string& group, std::shared_ptr<const Snapshot> snapshot,
                                   bool urgent, Millis now) {
  std::vector<Out> out;
  Group& to = groups_[group];
  if (!urgent && to.told) {
    if (!to.waiting) to.since = now;
    to.waiting = std::move(snapshot);
    return out;
  }
  to.told = std::move(snapshot);
  to.waiting.reset();
  for (auto& [id, stream] : streams_) {
    if (stream.group == group) Push(id, stream, now, out);
  }
  return out;
}

std::vector<Hub::Out> Hub::Take(StreamId id, const ProxyNode& node, const XdsRequest& request, Millis now) {
  std::vector<Out> out;
  const auto found = streams_.find(id);
  if (found == streams_.end()) return out;
  Stream& stream = found->second;
  if (!std::exchange(stream.known, true)) {
    stream.node = node;
    stream.group = grouping_ ? grouping_(node) : std::string();
  }
  const auto group = groups_.find(stream.group);
  static const Snapshot kNothing{std::array<ResourceMap, kResourceTypeCount>()};
  const std::uint64_t answered = stream.session.acks() + stream.session.nacks();
  std::optional<XdsRequest> without;
  if (request.type == ResourceType::kEndpoint && !request.initial_versions.empty() && !strict_.empty()) {
    without = request;
    std::erase_if(without->initial_versions,
                  [&](const auto& entry) { return strict_.contains(entry.first); });
  }
  const auto wrong = stream.session.HandleRequest(without ? *without : request,
                                                  group == groups_.end() ? kNothing : *group->second.told);
  if (wrong) return End(id, *wrong, now, out), out;
  if (stream.session.acks() + stream.session.nacks() != answered) {
    stream.owing_since.reset();
    // A proxy that came back goes by what it has accepted now, no longer by what it had when it was lost.
    for (Lost& lost : lost_) {
      if (lost.proxy != stream.node.id) continue;
      std::erase_if(lost.leases, [&](const auto& entry) {
        return stream.session.AcceptedResource(ResourceType::kEndpoint, entry.first) != nullptr;
      });
    }
  }
  Push(id, stream, now, out);
  return out;
}

void Hub::End(StreamId id, std::string why, Millis now, std::vector<Out>& out) {
  Out item;
  item.stream = id;
  item.close = std::move(why);
  out.push_back(std::move(item));
  Closed(id, now);
}

void Hub::Closed(StreamId id, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  past_.acks += stream.session.acks();
  past_.nacks += stream.session.nacks();
  past_.stale += stream.session.stale_nonces();
  Lost lost;
  lost.proxy = stream.node.id;
  lost.group = stream.group;
  for (const auto& [pool, until] : stream.leases) {
    if (until > now) lost.leases[pool] = until;
  }
  lost.endpoints = stream.session.AllOldestUsable(ResourceType::kEndpoint);
  lost.members = stream.session.AllOldestUsable(ResourceType::kLbEndpoint);
  streams_.erase(found);
  std::erase_if(lost_, [&](const Lost& other) {
    return std::all_of(other.leases.begin(), other.leases.end(),
                       [&](const auto& entry) { return entry.second <= now; });
  });
  if (lost.leases.empty()) return;
  if (lost_.size() >= kMostLost)
    lost_.erase(lost_.begin());  // the oldest is the least likely to be there still
  lost_.push_back(std::move(lost));
}

std::vector<Hub::Out> Hub::Tick(Millis now) {
  std::vector<Out> out;
  std::set<std::string> due;
  for (auto& [name, group] : groups_) {
    if (!group.waiting || now - group.since < options_.coalesce) continue;
    group.told = std::exchange(group.waiting, nullptr);
    due.insert(name);
  }
  std::vector<StreamId> silent;
  for (auto& [id, stream] : streams_) {
    if (stream.owing_since && now - *stream.owing_since >= options_.unacknowledged) {
      silent.push_back(id);
      continue;
    }
    if (due.contains(stream.group)) Push(id, stream, now, out);
    if (now - stream.renewed < options_.heartbeat) continue;
    stream.renewed = now;
    Out beat;
    beat.stream = id;
    beat.heartbeat = true;
    std::vector<std::string> over;
    const bool answered = stream.session.HasAnsweredAll(ResourceType::kEndpoint) &&
                          stream.session.HasAnsweredAll(ResourceType::kLbEndpoint);
    for (auto& [pool, until] : stream.leases) {
      if (until == kForEver) continue;
      if (until <= now) {  // it has let go of the list: once it listens again, it is told again
        if (answered) over.push_back(pool);
        continue;
      }
      // Members of the list that are not acknowledged yet: a drain may be among them.
      if (!stream.session.HasAnsweredAll(ResourceType::kLbEndpoint)) continue;
      // Only what the proxy holds for certain, and is the newest that it was told: a lease on a list from
      // before a drain must run out. A change that waits for its like (weights) was not told yet, and is no
      // reason to.
      if (!stream.session.HasAcceptedLatest(ResourceType::kEndpoint, pool)) continue;
      beat.leased.push_back(pool);
    }
    for (const std::string& pool : over) {
      stream.leases.erase(pool);
      stream.session.MarkForResend(ResourceType::kEndpoint, pool);
    }
    if (!over.empty()) Push(id, stream, now, out);
    if (beat.leased.empty()) continue;
    auto response = stream.session.MakeHeartbeat(ResourceType::kEndpoint);
    if (!response) continue;
    for (const std::string& pool : beat.leased) stream.leases[pool] = now + options_.lease;
    beat.response = std::move(*response);
    if (!stream.owing_since) stream.owing_since = now;
    out.push_back(std::move(beat));
  }
  for (const StreamId id : silent) End(id, "acknowledges nothing", now, out);
  return out;
}

std::vector<Hub::Waiting> Hub::WaitingFor(const std::string& pool, const std::vector<Need>& needs,
                                          Millis now) const {
  std::vector<Waiting> waiting;
  const auto look = [&](const std::string& proxy, const std::string& group, const auto& leases, auto oldest) {
    const auto lease = leases.find(pool);
    if (lease == leases.end() || lease->second <= now) return;
    for (const Need& need : needs) {
      if (need.group != group) continue;
      const ResourcePtr may_use = oldest(need.type, need.name);
      if (!may_use || may_use->serial >= need.serial) continue;
      waiting.push_back({proxy, lease->second});
      return;
    }
  };
  for (const auto& [id, stream] : streams_) {
    look(stream.node.id, stream.group, stream.leases,
         [&](ResourceType type, const std::string& name) { return stream.session.OldestUsable(type, name); });
  }
  for (const Lost& lost : lost_) {
    look(lost.proxy, lost.group, lost.leases, [&](ResourceType type, const std::string& name) {
      return (type == ResourceType::kLbEndpoint ? lost.members : lost.endpoints).Find(name);
    });
  }
  if (strict_.contains(pool) && now < begun_ + options_.lease)
    waiting.push_back({"(leases of an earlier run)", begun_ + options_.lease});
  return waiting;
}

Hub::Figures Hub::figures() const {
  Figures all = past_;
  all.streams = streams_.size();
  for (const auto& [id, stream] : streams_) {
    all.acks += stream.session.acks();
    all.nacks += stream.session.nacks();
    all.stale += stream.session.stale_nonces();
  }
  return all;
}

std::vector<Hub::ProxyStatus> Hub::proxies() const {
  std::vector<ProxyStatus> all;
  for (const auto& [id, stream] : streams_) {
    ProxyStatus status{stream.node, stream.group, true, stream.session.last_rejection(),
                       stream.session.nacks()};
    for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
      status.settled = status.settled && stream.session.HasAnsweredAll(static_cast<ResourceType>(i));
    }
    all.push_back(std::move(status));
  }
  return all;
}

}  // namespace opalswitch::xds
