#include "xds/session.hpp"

#include <algorithm>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMaxReasonBytes = 500;
constexpr std::size_t kMaxRejectedNames = 100;      // names kept of a rejected response
constexpr std::size_t kResourceOverheadBytes = 64;  // of a resource in a response, beside name and content

// In the state-of-the-world variant, a response of these types lists all resources (published protocol).
bool IsFullStateType(ResourceType type) {
  return type == ResourceType::kCluster || type == ResourceType::kListener;
}

}  // namespace

Session::Session(Variant variant, const SessionLimits& limits) : variant_(variant), limits_(limits) {}

bool Session::IsWanted(const TypeState& state, const std::string& name) const {
  if (state.is_wildcard || state.names.contains(name)) return true;
  return !state.collections.empty() && state.collections.contains(std::string(CollectionOf(name)));
}

bool Session::IsSubscribed(ResourceType type, const std::string& name) const {
  return IsWanted(StateOf(type), name);
}

bool Session::HasAcceptedLatest(ResourceType type, const std::string& name) const {
  const TypeState& state = StateOf(type);
  const ResourcePtr accepted = state.accepted.Find(name), latest = state.latest.Find(name);
  return accepted && latest && accepted->version == latest->version;
}

ResourcePtr Session::OldestUsable(ResourceType type, const std::string& name) const {
  const TypeState& state = StateOf(type);
  if (ResourcePtr accepted = state.accepted.Find(name)) return accepted;
  for (const SentResponse& sent : state.unacknowledged) {
    const auto found = sent.changed.find(name);
    if (found != sent.changed.end()) return found->second;
  }
  return nullptr;
}

HeldResources Session::AllOldestUsable(ResourceType type) const {
  const TypeState& state = StateOf(type);
  HeldResources all = state.accepted;
  for (const SentResponse& sent : state.unacknowledged) {
    for (const auto& [name, resource] : sent.changed) {
      if (!all.Find(name)) all.Set(name, resource);
    }
  }
  return all;
}

void Session::MarkForResend(ResourceType type, const std::string& name) {
  TypeState& state = StateOf(type);
  ForgetResource(state, name);
  state.needs_full_comparison = true;
}

void Session::ForgetResource(TypeState& state, const std::string& name) {
  state.accepted.Erase(name);
  state.latest.Erase(name);
  state.reported_missing.erase(name);
  state.rejected_versions.erase(name);
  state.retry_individually.erase(name);
}

void Session::ForgetUnwanted(TypeState& state) {
  std::vector<std::string> left;
  state.latest.ForEach([&](const std::string& name, const ResourcePtr&) {
    if (!IsWanted(state, name)) left.push_back(name);
  });
  for (const std::string& name : left) ForgetResource(state, name);
}

void Session::ForgetCollection(TypeState& state, const std::string& collection) {
  state.accepted.EraseCollection(collection);
  state.latest.EraseCollection(collection);
}

void Session::ApplyToLatest(TypeState& state, const SentResponse& sent) {
  for (const auto& [name, resource] : sent.changed) state.latest.Set(name, resource);
  for (const std::string& name : sent.removed) state.latest.Erase(name);
}

std::optional<std::string> Session::HandleRequest(const XdsRequest& request, const Snapshot& snapshot) {
  TypeState& state = StateOf(request.type);
  for (const auto* const names : {&request.names, &request.subscribe}) {
    if (names->size() > limits_.max_subscriptions)
      return "more than " + std::to_string(limits_.max_subscriptions) + " names in a request";
    for (const std::string& name : *names) {
      if (name.size() > limits_.max_name_bytes)
        return "a name of more than " + std::to_string(limits_.max_name_bytes) + " bytes";
    }
  }
  if (request.initial_versions.size() > limits_.max_initial_versions)
    return std::string("too many initial versions");
  HandleAcknowledgement(state, request, snapshot);
  if (variant_ == Variant::kDelta) return HandleDelta(state, request, snapshot);
  if (request.type == ResourceType::kLbEndpoint)
    return std::nullopt;  // LEDS exists only in the delta variant
  // A stale nonce: the proxy has not received the latest response yet, and repeats its request when it has.
  if (state.has_requested && request.nonce != state.latest_nonce) {
    ++stale_nonces_;
    return std::nullopt;
  }
  return HandleStateOfTheWorld(state, request, snapshot);
}

std::optional<std::string> Session::HandleStateOfTheWorld(TypeState& state, const XdsRequest& request,
                                                          const Snapshot& snapshot) {
  std::set<std::string> wanted(request.names.begin(), request.names.end());
  const bool is_first = !std::exchange(state.has_requested, true);
  const bool is_wildcard = IsFullStateType(request.type) &&
                           (wanted.empty() ? is_first || state.is_wildcard : wanted.contains("*"));
  if (!is_first && is_wildcard == state.is_wildcard && wanted == state.names) return std::nullopt;
  state.needs_full_comparison = true;
  if (is_first) {
    state.must_respond = true;
    // A proxy that has switched from another instance, or reconnected after a restart, and already has the
    // current list: nothing is sent.
    if (is_wildcard && !request.version.empty() && request.version == snapshot.version(request.type)) {
      state.must_respond = false;
      snapshot.table(request.type).ForEach([&](const std::string& name, const ResourcePtr& resource) {
        state.accepted.Set(name, resource);
        state.latest.Set(name, resource);
      });
    }
  }
  for (const std::string& name : wanted)
    state.must_respond = state.must_respond || (!is_first && !state.names.contains(name));
  state.is_wildcard = is_wildcard;
  state.names = std::move(wanted);
  ForgetUnwanted(state);
  return std::nullopt;
}

std::optional<std::string> Session::HandleDelta(TypeState& state, const XdsRequest& request,
                                                const Snapshot& snapshot) {
  const bool is_first = !std::exchange(state.has_requested, true);
  if (!is_first && request.subscribe.empty() && request.unsubscribe.empty()) return std::nullopt;
  state.needs_full_comparison = true;
  if (is_first) {
    state.must_respond = true;
    state.is_wildcard = IsFullStateType(request.type) && request.subscribe.empty();
    for (const auto& [name, version] : request.initial_versions) {
      ResourcePtr resource = snapshot.table(request.type).Find(name);
      if (!resource || resource->version != version)
        resource = std::make_shared<const Resource>(Resource{name, version, {}, {}, 0});
      state.accepted.Set(name, resource);
      state.latest.Set(name, resource);
      state.must_respond = false;  // a proxy that is up to date needs no response
    }
  }
  const auto is_collection = [&](const std::string& name) {
    return request.type == ResourceType::kLbEndpoint && name.ends_with("/*");
  };
  for (const std::string& name : request.subscribe) {
    if (name == "*") {
      state.is_wildcard = true;
    } else if (is_collection(name)) {
      const std::string collection = name.substr(0, name.size() - 1);
      if (!is_first) ForgetCollection(state, collection);
      state.collections.insert(collection);
    } else {
      // Subscribing to a name again requests the resource again, unless the proxy says that it has it.
      if (!(is_first && request.initial_versions.contains(name))) ForgetResource(state, name);
      state.names.insert(name);
    }
  }
  if (state.names.size() + state.collections.size() > limits_.max_subscriptions)
    return "more than " + std::to_string(limits_.max_subscriptions) + " subscriptions";
  for (const std::string& name : request.unsubscribe) {
    if (name == "*") {
      state.is_wildcard = false;
      ForgetUnwanted(state);
    } else if (is_collection(name)) {
      const std::string collection = name.substr(0, name.size() - 1);
      state.collections.erase(collection);
      ForgetCollection(state, collection);
    } else {
      state.names.erase(name);
      if (!IsWanted(state, name)) ForgetResource(state, name);
    }
  }
  return std::nullopt;
}

void Session::HandleAcknowledgement(TypeState& state, const XdsRequest& request, const Snapshot& snapshot) {
  if (request.nonce.empty()) return;
  const auto found = std::find_if(state.unacknowledged.begin(), state.unacknowledged.end(),
                                  [&](const SentResponse& sent) { return sent.nonce == request.nonce; });
  if (found == state.unacknowledged.end()) return;  // of another stream, or already answered
  if (!request.error_detail) {
    ++acks_;
    // Responses are processed in order: an ACK covers all earlier ones, too.
    const auto end = found + 1;
    bool has_changes = false;
    for (auto sent = state.unacknowledged.begin(); sent != end; ++sent) {
      has_changes = has_changes || !sent->changed.empty() || !sent->removed.empty();
      for (const auto& [name, resource] : sent->changed) {
        if (!IsWanted(state, name)) continue;
        state.accepted.Set(name, resource);
        state.retry_individually.erase(name);
      }
      for (const std::string& name : sent->removed) state.accepted.Erase(name);
    }
    state.unacknowledged.erase(state.unacknowledged.begin(), end);
    if (request.type == ResourceType::kRoute && has_changes) {
      state.route_clusters.clear();
      state.accepted.ForEach([&](const std::string&, const ResourcePtr& resource) {
        state.route_clusters.insert(resource->referenced_clusters.begin(),
                                    resource->referenced_clusters.end());
      });
      // Clusters that no route refers to any more may be removed now.
      StateOf(ResourceType::kCluster).needs_full_comparison = true;
    }
    // The proxy holds its collections exactly as the snapshot has them: share the snapshot's table.
    if (has_changes && state.unacknowledged.empty() && !state.needs_full_comparison &&
        state.compared_serial == snapshot.serial() && state.rejected_versions.empty() &&
        state.names.empty() && !state.is_wildcard && !state.collections.empty()) {
      state.accepted.ShareCollections(snapshot.shared_table(request.type), state.collections);
      state.latest = state.accepted;
    }
    return;
  }
  ++nacks_;
  state.needs_full_comparison = true;
  Rejection rejection{request.type, {}, request.error_detail->substr(0, kMaxReasonBytes)};
  for (const auto& [name, resource] : found->changed) {
    if (rejection.names.size() < kMaxRejectedNames) rejection.names.push_back(name);
  }
  if (found->changed.size() > 1) {
    // At least one of several resources is bad, and the proxy has rejected all of them. Each is sent alone,
    // so that the bad one does not hold back the others.
    for (const auto& [name, resource] : found->changed) state.retry_individually.insert(name);
  } else {
    for (const auto& [name, resource] : found->changed) {
      state.rejected_versions[name] = resource->version;
      state.retry_individually.erase(name);
    }
  }
  state.unacknowledged.erase(found);
  // The rejected response no longer counts: accepted resources plus the remaining unacknowledged responses.
  state.latest = state.accepted;
  for (const SentResponse& sent : state.unacknowledged) ApplyToLatest(state, sent);
  last_rejection_ = std::move(rejection);
}

ResourcePtr Session::DesiredResource(ResourceType type, const std::string& name,
                                     const Snapshot& snapshot) const {
  const TypeState& state = StateOf(type);
  if (!IsWanted(state, name)) return nullptr;
  if (const ResourcePtr found = snapshot.table(type).Find(name)) {
    if (found->is_placeholder) return state.latest.Find(name);
    const auto rejected = state.rejected_versions.find(name);
    if (rejected == state.rejected_versions.end() || rejected->second != found->version) return found;
    return state.latest.Find(name);  // keep what it has or is about to have instead
  }
  // Make before break: a cluster that the proxy's routes still refer to is not removed yet.
  if (type == ResourceType::kCluster && StateOf(ResourceType::kRoute).route_clusters.contains(name))
    return state.accepted.Find(name);
  return nullptr;
}

ResourceMap Session::AllDesired(ResourceType type, const Snapshot& snapshot) const {
  const TypeState& state = StateOf(type);
  const ResourceTable& all = snapshot.table(type);
  ResourceMap desired;
  const auto add = [&](const std::string& name) {
    if (auto resource = DesiredResource(type, name, snapshot)) desired[name] = std::move(resource);
  };
  if (state.is_wildcard) {
    all.ForEach([&](const std::string& name, const ResourcePtr&) { add(name); });
  } else {
    for (const std::string& name : state.names) add(name);
    for (const std::string& collection : state.collections) {
      all.ForEachInCollection(collection, [&](const std::string& name, const ResourcePtr&) { add(name); });
    }
  }
  if (type == ResourceType::kCluster) {
    for (const std::string& name : StateOf(ResourceType::kRoute).route_clusters) add(name);
  }
  return desired;
}

void Session::CompareResource(ResourceType type, const std::string& name, const ResourcePtr& desired,
                              SentResponse& sent) {
  TypeState& state = StateOf(type);
  const ResourcePtr known = state.latest.Find(name);
  if (desired) {
    state.reported_missing.erase(name);
    if (!known || known->version != desired->version) {
      sent.changed[name] = desired;
    } else if (known != desired) {
      // Known by version only until now (initial_versions), or rebuilt with the same content.
      const ResourcePtr accepted = state.accepted.Find(name);
      state.latest.Set(name, desired);
      if (accepted && accepted->version == desired->version) state.accepted.Set(name, desired);
    }
    return;
  }
  if (known) {
    if (variant_ == Variant::kDelta || IsFullStateType(type)) {
      sent.removed.insert(name);  // state of the world: removed by not being listed
    } else {
      ForgetResource(state, name);  // state of the world can't express a removal of this type
    }
  } else if (variant_ == Variant::kDelta && state.names.contains(name) &&
             state.reported_missing.insert(name).second) {
    sent.removed.insert(name);
  }
}

Session::SentResponse Session::ComputeChanges(ResourceType type, const Snapshot& snapshot,
                                              const std::optional<std::set<std::string>>& names,
                                              std::optional<ResourceMap>& all_desired) {
  TypeState& state = StateOf(type);
  SentResponse sent;
  if (names) {
    for (const std::string& name : *names) {
      if (!snapshot.IsPlaceholder(type, name))
        CompareResource(type, name, DesiredResource(type, name, snapshot), sent);
    }
    // A full-state response lists everything, so everything has to be compared.
    if ((sent.changed.empty() && sent.removed.empty()) || variant_ == Variant::kDelta ||
        !IsFullStateType(type))
      return sent;
    sent = SentResponse();
  }
  all_desired = AllDesired(type, snapshot);
  for (const auto& [name, resource] : *all_desired) CompareResource(type, name, resource, sent);
  std::vector<std::string> rest;
  state.latest.ForEach([&](const std::string& name, const ResourcePtr&) {
    if (!all_desired->contains(name)) rest.push_back(name);
  });
  rest.insert(rest.end(), state.names.begin(), state.names.end());
  for (const std::string& name : rest) {
    if (!all_desired->contains(name) && !snapshot.IsPlaceholder(type, name))
      CompareResource(type, name, nullptr, sent);
  }
  return sent;
}

void Session::LimitResponseSize(TypeState& state, SentResponse& sent) const {
  std::size_t bytes = 0;
  auto at = sent.changed.begin();
  for (; at != sent.changed.end(); ++at) {
    bytes += at->second->bytes.size() + at->first.size() + kResourceOverheadBytes;
    if (bytes > limits_.max_response_bytes && at != sent.changed.begin()) break;
  }
  if (at == sent.changed.end()) return;
  sent.changed.erase(at, sent.changed.end());
  state.needs_full_comparison = true;
}

// Routes and listeners wait until the clusters and endpoints sent before them are acknowledged. Endpoints
// wait for nothing, because they may contain a drain.
bool Session::WaitsForClusters(ResourceType type) const {
  if (type != ResourceType::kListener && type != ResourceType::kRoute) return false;
  return !StateOf(ResourceType::kCluster).unacknowledged.empty() ||
         !StateOf(ResourceType::kEndpoint).unacknowledged.empty();
}

std::optional<XdsResponse> Session::NextResponse(const Snapshot& snapshot) {
  is_blocked_ = false;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    const ResourceType type = static_cast<ResourceType>(i);
    TypeState& state = states_[i];
    if (!state.has_requested || WaitsForClusters(type)) continue;
    if (!state.needs_full_comparison && !state.must_respond && state.compared_serial == snapshot.serial())
      continue;
    // Resources of a rejected response are sent one at a time.
    if (!state.retry_individually.empty() && !state.unacknowledged.empty()) continue;
    std::optional<std::set<std::string>> names(std::in_place);  // that may have changed; nullopt if all may
    if (state.needs_full_comparison || state.must_respond ||
        !snapshot.AddNamesChangedSince(state.compared_serial, type, *names))
      names.reset();
    if (names && names->empty()) {
      state.compared_serial = snapshot.serial();
      continue;
    }
    if (state.unacknowledged.size() >= limits_.max_unacknowledged_responses) {
      is_blocked_ = true;
      continue;
    }
    std::optional<ResourceMap> all_desired;
    SentResponse sent = ComputeChanges(type, snapshot, names, all_desired);
    state.needs_full_comparison = false;
    state.compared_serial = snapshot.serial();
    const bool is_full_state = variant_ == Variant::kStateOfTheWorld && IsFullStateType(type);
    if (!state.retry_individually.empty()) {
      std::erase_if(state.retry_individually,
                    [&](const std::string& name) { return !sent.changed.contains(name); });
      if (!state.retry_individually.empty()) {
        const std::string name = *state.retry_individually.begin();
        const ResourcePtr resource = sent.changed[name];
        sent.changed = {{name, resource}};
        state.needs_full_comparison = true;
      }
    }
    if (sent.changed.empty() && sent.removed.empty() && !state.must_respond) continue;
    if (!is_full_state) LimitResponseSize(state, sent);
    if (is_full_state && !all_desired) all_desired = AllDesired(type, snapshot);
    if (is_full_state && state.retry_individually.empty()) {
      // The response lists everything: if it is rejected, any resource not accepted before may be the cause.
      for (const auto& [name, resource] : *all_desired) {
        const ResourcePtr accepted = state.accepted.Find(name);
        if (!accepted || accepted->version != resource->version) sent.changed[name] = resource;
      }
    }
    state.must_respond = false;
    XdsResponse response;
    response.type = type;
    response.version = snapshot.version(type);
    response.nonce = sent.nonce = std::to_string(++nonces_);
    if (is_full_state) {
      for (const auto& [name, resource] : *all_desired) {
        if (sent.changed.contains(name)) {
          response.resources.push_back(resource);
        } else if (const ResourcePtr accepted = state.accepted.Find(name)) {
          response.resources.push_back(accepted);
        } else if (state.latest.Find(name)) {
          response.resources.push_back(resource);
        }
      }
    } else {
      for (const auto& [name, resource] : sent.changed) response.resources.push_back(resource);
      if (variant_ == Variant::kDelta) response.removed.assign(sent.removed.begin(), sent.removed.end());
    }
    ApplyToLatest(state, sent);
    state.latest_nonce = sent.nonce;
    state.unacknowledged.push_back(std::move(sent));
    return response;
  }
  return std::nullopt;
}

std::optional<XdsResponse> Session::MakeHeartbeat(ResourceType type) {
  TypeState& state = StateOf(type);
  if (!state.has_requested || state.unacknowledged.size() >= limits_.max_unacknowledged_responses / 2)
    return std::nullopt;
  XdsResponse response;
  response.type = type;
  response.nonce = state.latest_nonce = std::to_string(++nonces_);
  state.unacknowledged.push_back({response.nonce, {}, {}});
  return response;
}

}  // namespace opalswitch::xds
