#include "xds/stream_hub.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMaxDisconnectedProxies = 10000;  // proxies remembered after their streams broke
constexpr Millis kNeverExpires = std::numeric_limits<Millis>::infinity();

}  // namespace

bool StreamHub::OpenStream(StreamId stream, Session::Variant variant, Millis now) {
  if (streams_.size() >= options_.max_streams) {
    ++closed_stream_statistics_.refused_streams;
    return false;
  }
  streams_.try_emplace(stream, variant, options_.session_limits).first->second.last_heartbeat = now;
  return true;
}

// What of an answer is a lease, and until when: the time of sending counts, which is before the proxy's own.
void StreamHub::RecordLeases(Stream& stream, OutgoingMessage& out, Millis now) const {
  if (out.response.type != ResourceType::kEndpoint) return;
  for (const ResourcePtr& resource : out.response.resources) {
    const bool strict = strict_pools_.contains(resource->name);
    stream.leases[resource->name] = strict ? now + options_.lease_duration : kNeverExpires;
    if (strict) out.leased_names.push_back(resource->name);
  }
  for (const std::string& name : out.response.removed) stream.leases.erase(name);
}

void StreamHub::SendPending(StreamId id, Stream& stream, Millis now, std::vector<OutgoingMessage>& out) {
  const auto group = groups_.find(stream.group);
  if (!stream.is_identified || group == groups_.end()) return;
  while (auto response = stream.session.NextResponse(*group->second.published)) {
    OutgoingMessage item;
    item.stream = id;
    item.response = std::move(*response);
    RecordLeases(stream, item, now);
    ++closed_stream_statistics_.pushes;
    if (!stream.unacknowledged_since) stream.unacknowledged_since = now;
    out.push_back(std::move(item));
  }
}

void StreamHub::SetStrictPools(std::set<std::string> pools) {
  for (auto& [id, stream] : streams_) {
    for (const auto* const set : {&pools, &strict_pools_}) {
      for (const std::string& pool : *set) {
        if (pools.contains(pool) != strict_pools_.contains(pool))
          stream.session.MarkForResend(ResourceType::kEndpoint, pool);
      }
    }
  }
  strict_pools_ = std::move(pools);
}

void StreamHub::ReassignGroups(const std::set<std::string>& ids) {
  for (auto& [id, stream] : streams_) {
    if (stream.is_identified && group_selector_) stream.group = group_selector_(stream.node);
  }
  std::erase_if(groups_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

std::vector<StreamHub::OutgoingMessage> StreamHub::Publish(const std::string& group,
                                                           std::shared_ptr<const Snapshot> snapshot,
                                                           bool urgent, Millis now) {
  std::vector<OutgoingMessage> out;
  Group& to = groups_[group];
  if (!urgent && to.published) {
    if (!to.pending) to.pending_since = now;
    to.pending = std::move(snapshot);
    return out;
  }
  to.published = std::move(snapshot);
  to.pending.reset();
  for (auto& [id, stream] : streams_) {
    if (stream.group == group) SendPending(id, stream, now, out);
  }
  return out;
}

std::vector<StreamHub::OutgoingMessage> StreamHub::HandleRequest(StreamId id, const ProxyNode& node,
                                                                 const XdsRequest& request, Millis now) {
  std::vector<OutgoingMessage> out;
  const auto found = streams_.find(id);
  if (found == streams_.end()) return out;
  Stream& stream = found->second;
  if (!std::exchange(stream.is_identified, true)) {
    stream.node = node;
    stream.group = group_selector_ ? group_selector_(node) : std::string();
  }
  const auto group = groups_.find(stream.group);
  static const Snapshot kNothing{std::array<ResourceMap, kResourceTypeCount>()};
  const std::uint64_t answered = stream.session.acks() + stream.session.nacks();
  std::optional<XdsRequest> without;
  if (request.type == ResourceType::kEndpoint && !request.initial_versions.empty() &&
      !strict_pools_.empty()) {
    without = request;
    std::erase_if(without->initial_versions,
                  [&](const auto& entry) { return strict_pools_.contains(entry.first); });
  }
  const auto wrong = stream.session.HandleRequest(
      without ? *without : request, group == groups_.end() ? kNothing : *group->second.published);
  if (wrong) return CloseStream(id, *wrong, now, out), out;
  if (stream.session.acks() + stream.session.nacks() != answered) {
    stream.unacknowledged_since.reset();
    // A proxy that came back goes by what it has accepted now, no longer by what it had when it was lost.
    for (DisconnectedProxy& lost : disconnected_) {
      if (lost.proxy != stream.node.id) continue;
      std::erase_if(lost.leases, [&](const auto& entry) {
        return stream.session.AcceptedResource(ResourceType::kEndpoint, entry.first) != nullptr;
      });
    }
  }
  SendPending(id, stream, now, out);
  return out;
}

void StreamHub::CloseStream(StreamId id, std::string why, Millis now, std::vector<OutgoingMessage>& out) {
  OutgoingMessage item;
  item.stream = id;
  item.close_reason = std::move(why);
  out.push_back(std::move(item));
  OnStreamClosed(id, now);
}

void StreamHub::OnStreamClosed(StreamId id, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  closed_stream_statistics_.acks += stream.session.acks();
  closed_stream_statistics_.nacks += stream.session.nacks();
  closed_stream_statistics_.stale_nonces += stream.session.stale_nonces();
  DisconnectedProxy lost;
  lost.proxy = stream.node.id;
  lost.group = stream.group;
  for (const auto& [pool, until] : stream.leases) {
    if (until > now) lost.leases[pool] = until;
  }
  lost.endpoints = stream.session.AllOldestUsable(ResourceType::kEndpoint);
  lost.lb_endpoints = stream.session.AllOldestUsable(ResourceType::kLbEndpoint);
  streams_.erase(found);
  std::erase_if(disconnected_, [&](const DisconnectedProxy& other) {
    return std::all_of(other.leases.begin(), other.leases.end(),
                       [&](const auto& entry) { return entry.second <= now; });
  });
  if (lost.leases.empty()) return;
  if (disconnected_.size() >= kMaxDisconnectedProxies)
    disconnected_.erase(disconnected_.begin());  // the oldest is the least likely to be there still
  disconnected_.push_back(std::move(lost));
}

std::vector<StreamHub::OutgoingMessage> StreamHub::Tick(Millis now) {
  std::vector<OutgoingMessage> out;
  std::set<std::string> due;
  for (auto& [name, group] : groups_) {
    if (!group.pending || now - group.pending_since < options_.coalescing_delay) continue;
    group.published = std::exchange(group.pending, nullptr);
    due.insert(name);
  }
  std::vector<StreamId> unresponsive;
  for (auto& [id, stream] : streams_) {
    if (stream.unacknowledged_since && now - *stream.unacknowledged_since >= options_.ack_timeout) {
      unresponsive.push_back(id);
      continue;
    }
    if (due.contains(stream.group)) SendPending(id, stream, now, out);
    if (now - stream.last_heartbeat < options_.heartbeat_interval) continue;
    stream.last_heartbeat = now;
    OutgoingMessage beat;
    beat.stream = id;
    beat.is_heartbeat = true;
    std::vector<std::string> over;
    const bool answered = stream.session.HasAnsweredAll(ResourceType::kEndpoint) &&
                          stream.session.HasAnsweredAll(ResourceType::kLbEndpoint);
    for (auto& [pool, until] : stream.leases) {
      if (until == kNeverExpires) continue;
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
      beat.leased_names.push_back(pool);
    }
    for (const std::string& pool : over) {
      stream.leases.erase(pool);
      stream.session.MarkForResend(ResourceType::kEndpoint, pool);
    }
    if (!over.empty()) SendPending(id, stream, now, out);
    if (beat.leased_names.empty()) continue;
    auto response = stream.session.MakeHeartbeat(ResourceType::kEndpoint);
    if (!response) continue;
    for (const std::string& pool : beat.leased_names) stream.leases[pool] = now + options_.lease_duration;
    beat.response = std::move(*response);
    if (!stream.unacknowledged_since) stream.unacknowledged_since = now;
    out.push_back(std::move(beat));
  }
  for (const StreamId id : unresponsive) CloseStream(id, "acknowledges nothing", now, out);
  return out;
}

std::vector<StreamHub::PendingProxy> StreamHub::PendingProxies(const std::string& pool,
                                                               const std::vector<RequiredResource>& needs,
                                                               Millis now) const {
  std::vector<PendingProxy> waiting;
  const auto look = [&](const std::string& proxy, const std::string& group, const auto& leases, auto oldest) {
    const auto lease = leases.find(pool);
    if (lease == leases.end() || lease->second <= now) return;
    for (const RequiredResource& need : needs) {
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
  for (const DisconnectedProxy& lost : disconnected_) {
    look(lost.proxy, lost.group, lost.leases, [&](ResourceType type, const std::string& name) {
      return (type == ResourceType::kLbEndpoint ? lost.lb_endpoints : lost.endpoints).Find(name);
    });
  }
  if (strict_pools_.contains(pool) && now < started_at_ + options_.lease_duration)
    waiting.push_back({"(leases of an earlier run)", started_at_ + options_.lease_duration});
  return waiting;
}

StreamHub::Statistics StreamHub::statistics() const {
  Statistics all = closed_stream_statistics_;
  all.streams = streams_.size();
  for (const auto& [id, stream] : streams_) {
    all.acks += stream.session.acks();
    all.nacks += stream.session.nacks();
    all.stale_nonces += stream.session.stale_nonces();
  }
  return all;
}

std::vector<StreamHub::ProxyStatus> StreamHub::ProxyStatuses() const {
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
