#include "xds/stream_hub.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMaxDisconnectedProxies = 10000;
constexpr Millis kNeverExpires = std::numeric_limits<Millis>::infinity();

}  // namespace

bool StreamHub::OpenStream(StreamId stream, Session::Variant variant, Millis now) {
  if (streams_.size() >= options_.max_streams) {
    ++totals_.refused_streams;
    return false;
  }
  streams_.try_emplace(stream, variant, options_.session_limits).first->second.last_heartbeat = now;
  return true;
}

// Marks the leased resources of a response and records their expiry. The lease is counted from the time of
// sending, which is earlier than the time of receipt from which the proxy counts it.
void StreamHub::RecordLeases(Stream& stream, OutgoingMessage& message, Millis now) const {
  if (message.response.type != ResourceType::kEndpoint) return;
  for (const ResourcePtr& resource : message.response.resources) {
    const bool is_strict = strict_pools_.contains(resource->name);
    stream.leases[resource->name] = is_strict ? now + options_.lease_duration : kNeverExpires;
    if (is_strict) message.leased_names.push_back(resource->name);
  }
  for (const std::string& name : message.response.removed) stream.leases.erase(name);
}

void StreamHub::SendPending(StreamId id, Stream& stream, Millis now, std::vector<OutgoingMessage>& out) {
  const auto group = groups_.find(stream.group);
  if (!stream.is_identified || group == groups_.end()) return;
  while (auto response = stream.session.NextResponse(*group->second.published)) {
    OutgoingMessage message;
    message.stream = id;
    message.response = std::move(*response);
    RecordLeases(stream, message, now);
    ++totals_.pushes;
    if (!stream.unacknowledged_since) stream.unacknowledged_since = now;
    out.push_back(std::move(message));
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
  static const Snapshot kEmptySnapshot{std::array<ResourceMap, kResourceTypeCount>()};
  const std::uint64_t answers_before = stream.session.acks() + stream.session.nacks();
  std::optional<XdsRequest> adjusted;
  if (request.type == ResourceType::kEndpoint && !request.initial_versions.empty() &&
      !strict_pools_.empty()) {
    adjusted = request;
    std::erase_if(adjusted->initial_versions,
                  [&](const auto& entry) { return strict_pools_.contains(entry.first); });
  }
  const auto error = stream.session.HandleRequest(
      adjusted ? *adjusted : request, group == groups_.end() ? kEmptySnapshot : *group->second.published);
  if (error) {
    CloseStream(id, *error, now, out);
    return out;
  }
  if (stream.session.acks() + stream.session.nacks() != answers_before) {
    stream.unacknowledged_since.reset();
    // A proxy that has reconnected uses what it has accepted now, no longer what it had when its stream
    // closed.
    for (DisconnectedProxy& proxy : disconnected_) {
      if (proxy.proxy != stream.node.id) continue;
      std::erase_if(proxy.leases, [&](const auto& entry) {
        return stream.session.AcceptedResource(ResourceType::kEndpoint, entry.first) != nullptr;
      });
    }
  }
  SendPending(id, stream, now, out);
  return out;
}

void StreamHub::CloseStream(StreamId id, std::string reason, Millis now, std::vector<OutgoingMessage>& out) {
  OutgoingMessage message;
  message.stream = id;
  message.close_reason = std::move(reason);
  out.push_back(std::move(message));
  OnStreamClosed(id, now);
}

void StreamHub::OnStreamClosed(StreamId id, Millis now) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  totals_.acks += stream.session.acks();
  totals_.nacks += stream.session.nacks();
  totals_.stale_nonces += stream.session.stale_nonces();
  DisconnectedProxy proxy;
  proxy.proxy = stream.node.id;
  proxy.group = stream.group;
  for (const auto& [pool, expiry] : stream.leases) {
    if (expiry > now) proxy.leases[pool] = expiry;
  }
  proxy.endpoints = stream.session.AllOldestUsable(ResourceType::kEndpoint);
  proxy.lb_endpoints = stream.session.AllOldestUsable(ResourceType::kLbEndpoint);
  streams_.erase(found);
  std::erase_if(disconnected_, [&](const DisconnectedProxy& other) {
    return std::all_of(other.leases.begin(), other.leases.end(),
                       [&](const auto& entry) { return entry.second <= now; });
  });
  if (proxy.leases.empty()) return;
  if (disconnected_.size() >= kMaxDisconnectedProxies)
    disconnected_.erase(disconnected_.begin());  // the oldest one is the least likely to be running still
  disconnected_.push_back(std::move(proxy));
}

std::vector<StreamHub::OutgoingMessage> StreamHub::Tick(Millis now) {
  std::vector<OutgoingMessage> out;
  std::set<std::string> due_groups;
  for (auto& [name, group] : groups_) {
    if (!group.pending || now - group.pending_since < options_.coalescing_delay) continue;
    group.published = std::exchange(group.pending, nullptr);
    due_groups.insert(name);
  }
  std::vector<StreamId> unresponsive;
  for (auto& [id, stream] : streams_) {
    if (stream.unacknowledged_since && now - *stream.unacknowledged_since >= options_.ack_timeout) {
      unresponsive.push_back(id);
      continue;
    }
    if (due_groups.contains(stream.group)) SendPending(id, stream, now, out);
    if (now - stream.last_heartbeat < options_.heartbeat_interval) continue;
    stream.last_heartbeat = now;
    OutgoingMessage heartbeat;
    heartbeat.stream = id;
    heartbeat.is_heartbeat = true;
    std::vector<std::string> expired;
    const bool has_answered_all = stream.session.HasAnsweredAll(ResourceType::kEndpoint) &&
                                  stream.session.HasAnsweredAll(ResourceType::kLbEndpoint);
    for (auto& [pool, expiry] : stream.leases) {
      if (expiry == kNeverExpires) continue;
      if (expiry <= now) {
        // The proxy has dropped the endpoints; they are sent again once it answers.
        if (has_answered_all) expired.push_back(pool);
        continue;
      }
      // Unacknowledged LbEndpoints may contain a drain.
      if (!stream.session.HasAnsweredAll(ResourceType::kLbEndpoint)) continue;
      // Renew only if the proxy has accepted the latest version that it was sent: a lease on endpoints from
      // before a drain has to expire. A delayed change (weights) has not been sent yet and does not prevent
      // the renewal.
      if (!stream.session.HasAcceptedLatest(ResourceType::kEndpoint, pool)) continue;
      heartbeat.leased_names.push_back(pool);
    }
    for (const std::string& pool : expired) {
      stream.leases.erase(pool);
      stream.session.MarkForResend(ResourceType::kEndpoint, pool);
    }
    if (!expired.empty()) SendPending(id, stream, now, out);
    if (heartbeat.leased_names.empty()) continue;
    auto response = stream.session.MakeHeartbeat(ResourceType::kEndpoint);
    if (!response) continue;
    for (const std::string& pool : heartbeat.leased_names)
      stream.leases[pool] = now + options_.lease_duration;
    heartbeat.response = std::move(*response);
    if (!stream.unacknowledged_since) stream.unacknowledged_since = now;
    out.push_back(std::move(heartbeat));
  }
  for (const StreamId id : unresponsive) CloseStream(id, "acknowledges nothing", now, out);
  return out;
}

std::vector<StreamHub::PendingProxy> StreamHub::PendingProxies(
    const std::string& pool, const std::vector<RequiredResource>& requirements, Millis now) const {
  std::vector<PendingProxy> pending;
  const auto check = [&](const std::string& proxy, const std::string& group, const auto& leases,
                         auto oldest) {
    const auto lease = leases.find(pool);
    if (lease == leases.end() || lease->second <= now) return;
    for (const RequiredResource& required : requirements) {
      if (required.group != group) continue;
      const ResourcePtr may_use = oldest(required.type, required.name);
      if (!may_use || may_use->serial >= required.serial) continue;
      pending.push_back({proxy, lease->second});
      return;
    }
  };
  for (const auto& [id, stream] : streams_) {
    check(stream.node.id, stream.group, stream.leases,
          [&stream = stream](ResourceType type, const std::string& name) {
            return stream.session.OldestUsable(type, name);
          });
  }
  for (const DisconnectedProxy& proxy : disconnected_) {
    check(proxy.proxy, proxy.group, proxy.leases, [&](ResourceType type, const std::string& name) {
      return (type == ResourceType::kLbEndpoint ? proxy.lb_endpoints : proxy.endpoints).Find(name);
    });
  }
  if (strict_pools_.contains(pool) && now < started_at_ + options_.lease_duration)
    pending.push_back({"(leases of an earlier run)", started_at_ + options_.lease_duration});
  return pending;
}

StreamHub::Statistics StreamHub::statistics() const {
  Statistics sum = totals_;
  sum.streams = streams_.size();
  for (const auto& [id, stream] : streams_) {
    sum.acks += stream.session.acks();
    sum.nacks += stream.session.nacks();
    sum.stale_nonces += stream.session.stale_nonces();
  }
  return sum;
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
