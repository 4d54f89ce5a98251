#include "xds/session.hpp"

#include <algorithm>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMostReason = 500;
constexpr std::size_t kMostNames = 100;    // of a rejected answer, to be told
constexpr std::size_t kResourceHead = 64;  // bytes of a resource in an answer beside its name and content

bool IsWhole(ResourceType type) { return type == ResourceType::kCluster || type == ResourceType::kListener; }

}  // namespace

Session::Session(Form form, const SessionBounds& bounds) : form_(form), bounds_(bounds) {}

bool Session::Wants(const State& state, const std::string& name) const {
  if (state.wildcard || state.names.contains(name)) return true;
  return !state.collections.empty() && state.collections.contains(std::string(CollectionOf(name)));
}

bool Session::Subscribed(ResourceType type, const std::string& name) const { return Wants(Of(type), name); }

bool Session::Settled(ResourceType type, const std::string& name) const {
  const State& state = Of(type);
  const ResourcePtr held = state.held.Find(name), latest = state.latest.Find(name);
  return held && latest && held->version == latest->version;
}

ResourcePtr Session::Oldest(ResourceType type, const std::string& name) const {
  const State& state = Of(type);
  if (ResourcePtr held = state.held.Find(name)) return held;
  for (const Sent& sent : state.out) {
    const auto found = sent.changed.find(name);
    if (found != sent.changed.end()) return found->second;
  }
  return nullptr;
}

HeldResources Session::OldestOfAll(ResourceType type) const {
  const State& state = Of(type);
  HeldResources all = state.held;
  for (const Sent& sent : state.out) {
    for (const auto& [name, resource] : sent.changed) {
      if (!all.Find(name)) all.Set(name, resource);
    }
  }
  return all;
}

void Session::Again(ResourceType type, const std::string& name) {
  State& state = Of(type);
  Forget(state, name);
  state.dirty = true;
}

void Session::Forget(State& state, const std::string& name) {
  state.held.Erase(name);
  state.latest.Erase(name);
  state.missing.erase(name);
  state.rejected.erase(name);
  state.one_by_one.erase(name);
}

void Session::ForgetRest(State& state) {
  std::vector<std::string> left;
  state.latest.ForEach([&](const std::string& name, const ResourcePtr&) {
    if (!Wants(state, name)) left.push_back(name);
  });
  for (const std::string& name : left) Forget(state, name);
}

void Session::ForgetCollection(State& state, const std::string& collection) {
  state.held.EraseCollection(collection);
  state.latest.EraseCollection(collection);
}

void Session::Note(State& state, const Sent& sent) {
  for (const auto& [name, resource] : sent.changed) state.latest.Set(name, resource);
  for (const std::string& name : sent.removed) state.latest.Erase(name);
}

std::optional<std::string> Session::Take(const Request& request, const Snapshot& snapshot) {
  State& state = Of(request.type);
  for (const auto* const names : {&request.names, &request.subscribe}) {
    if (names->size() > bounds_.names)
      return "more than " + std::to_string(bounds_.names) + " names in a request";
    for (const std::string& name : *names) {
      if (name.size() > bounds_.name_bytes)
        return "a name of more than " + std::to_string(bounds_.name_bytes) + " bytes";
    }
  }
  if (request.initial_versions.size() > bounds_.initial) return std::string("too many initial versions");
  Acknowledge(state, request, snapshot);
  if (form_ == Form::kDelta) return TakeDelta(state, request, snapshot);
  if (request.type == ResourceType::kLbEndpoint) return std::nullopt;  // this form has no collections
  // A stale nonce: the proxy has not seen the newest answer yet, and will say it all again when it has.
  if (state.begun && request.nonce != state.newest) {
    ++stale_;
    return std::nullopt;
  }
  return TakeNames(state, request, snapshot);
}

std::optional<std::string> Session::TakeNames(State& state, const Request& request,
                                              const Snapshot& snapshot) {
  std::set<std::string> wanted(request.names.begin(), request.names.end());
  const bool first = !std::exchange(state.begun, true);
  const bool wildcard =
      IsWhole(request.type) && (wanted.empty() ? first || state.wildcard : wanted.contains("*"));
  if (!first && wildcard == state.wildcard && wanted == state.names) return std::nullopt;
  state.dirty = true;
  if (first) {
    state.due = true;
    // A proxy that comes over from another instance, or back after a restart, with the whole list as it is
    // now.
    if (wildcard && !request.version.empty() && request.version == snapshot.version(request.type)) {
      state.due = false;
      snapshot.table(request.type).ForEach([&](const std::string& name, const ResourcePtr& resource) {
        state.held.Set(name, resource);
        state.latest.Set(name, resource);
      });
    }
  }
  for (const std::string& name : wanted) state.due = state.due || (!first && !state.names.contains(name));
  state.wildcard = wildcard;
  state.names = std::move(wanted);
  ForgetRest(state);
  return std::nullopt;
}

std::optional<std::string> Session::TakeDelta(State& state, const Request& request,
                                              const Snapshot& snapshot) {
  const bool first = !std::exchange(state.begun, true);
  if (!first && request.subscribe.empty() && request.unsubscribe.empty()) return std::nullopt;
  state.dirty = true;
  if (first) {
    state.due = true;
    state.wildcard = IsWhole(request.type) && request.subscribe.empty();
    for (const auto& [name, version] : request.initial_versions) {
      ResourcePtr resource = snapshot.table(request.type).Find(name);
      if (!resource || resource->version != version)
        resource = std::make_shared<const Resource>(Resource{name, version, {}, {}, 0});
      state.held.Set(name, resource);
      state.latest.Set(name, resource);
      state.due = false;  // nothing is owed to one that has all that there is
    }
  }
  const auto is_collection = [&](const std::string& name) {
    return request.type == ResourceType::kLbEndpoint && name.ends_with("/*");
  };
  for (const std::string& name : request.subscribe) {
    if (name == "*") {
      state.wildcard = true;
    } else if (is_collection(name)) {
      const std::string collection = name.substr(0, name.size() - 1);
      if (!first) ForgetCollection(state, collection);
      state.collections.insert(collection);
    } else {
      // Asking for a name again asks for the resource again, but for what the proxy says it has.
      if (!(first && request.initial_versions.contains(name))) Forget(state, name);
      state.names.insert(name);
    }
  }
  if (state.names.size() + state.collections.size() > bounds_.names)
    return "more than " + std::to_string(bounds_.names) + " subscriptions";
  for (const std::string& name : request.unsubscribe) {
    if (name == "*") {
      state.wildcard = false;
      ForgetRest(state);
    } else if (is_collection(name)) {
      const std::string collection = name.substr(0, name.size() - 1);
      state.collections.erase(collection);
      ForgetCollection(state, collection);
    } else {
      state.names.erase(name);
      if (!Wants(state, name)) Forget(state, name);
    }
  }
  return std::nullopt;
}

void Session::Acknowledge(State& state, const Request& request, const Snapshot& snapshot) {
  if (request.nonce.empty()) return;
  const auto found = std::find_if(state.out.begin(), state.out.end(),
                                  [&](const Sent& sent) { return sent.nonce == request.nonce; });
  if (found == state.out.end()) return;  // of another stream, or answered before
  if (!request.error) {
    ++acks_;
    // Answers are acknowledged in their order: the earlier ones were taken in with this one.
    const auto end = found + 1;
    bool content = false;
    for (auto sent = state.out.begin(); sent != end; ++sent) {
      content = content || !sent->changed.empty() || !sent->removed.empty();
      for (const auto& [name, resource] : sent->changed) {
        if (!Wants(state, name)) continue;
        state.held.Set(name, resource);
        state.one_by_one.erase(name);
      }
      for (const std::string& name : sent->removed) state.held.Erase(name);
    }
    state.out.erase(state.out.begin(), end);
    if (request.type == ResourceType::kRoute && content) {
      state.clusters.clear();
      state.held.ForEach([&](const std::string&, const ResourcePtr& resource) {
        state.clusters.insert(resource->referenced_clusters.begin(), resource->referenced_clusters.end());
      });
      Of(ResourceType::kCluster).dirty = true;  // some may go now
    }
    // It has all that there is: as do the others, who share one list of it.
    if (content && state.out.empty() && !state.dirty && state.seen == snapshot.serial() &&
        state.rejected.empty() && state.names.empty() && !state.wildcard && !state.collections.empty()) {
      state.held.ShareCollections(snapshot.shared_table(request.type), state.collections);
      state.latest = state.held;
    }
    return;
  }
  ++nacks_;
  state.dirty = true;
  Rejection rejection{request.type, {}, request.error->substr(0, kMostReason)};
  for (const auto& [name, resource] : found->changed) {
    if (rejection.names.size() < kMostNames) rejection.names.push_back(name);
  }
  if (found->changed.size() > 1) {
    // One of several is bad, and the proxy took none. Each is tried alone: the bad one must not hold back the
    // others.
    for (const auto& [name, resource] : found->changed) state.one_by_one.insert(name);
  } else {
    for (const auto& [name, resource] : found->changed) {
      state.rejected[name] = resource->version;
      state.one_by_one.erase(name);
    }
  }
  state.out.erase(found);
  // What the proxy will hold: what it has accepted, and what is on its way still.
  state.latest = state.held;
  for (const Sent& sent : state.out) Note(state, sent);
  last_rejection_ = std::move(rejection);
}

ResourcePtr Session::Desired(ResourceType type, const std::string& name, const Snapshot& snapshot) const {
  const State& state = Of(type);
  if (!Wants(state, name)) return nullptr;
  if (const ResourcePtr found = snapshot.table(type).Find(name)) {
    if (found->is_placeholder) return state.latest.Find(name);
    const auto rejected = state.rejected.find(name);
    if (rejected == state.rejected.end() || rejected->second != found->version) return found;
    return state.latest.Find(name);  // what it has, or will have, in place of that
  }
  // Break after make: a cluster that the proxy's routes still lead to stays until they don't.
  if (type == ResourceType::kCluster && Of(ResourceType::kRoute).clusters.contains(name))
    return state.held.Find(name);
  return nullptr;
}

ResourceMap Session::DesiredAll(ResourceType type, const Snapshot& snapshot) const {
  const State& state = Of(type);
  const ResourceTable& all = snapshot.table(type);
  ResourceMap desired;
  const auto add = [&](const std::string& name) {
    if (auto resource = Desired(type, name, snapshot)) desired[name] = std::move(resource);
  };
  if (state.wildcard) {
    all.ForEach([&](const std::string& name, const ResourcePtr&) { add(name); });
  } else {
    for (const std::string& name : state.names) add(name);
    for (const std::string& collection : state.collections) {
      all.ForEachInCollection(collection, [&](const std::string& name, const ResourcePtr&) { add(name); });
    }
  }
  if (type == ResourceType::kCluster) {
    for (const std::string& name : Of(ResourceType::kRoute).clusters) add(name);
  }
  return desired;
}

void Session::Look(ResourceType type, const std::string& name, const ResourcePtr& desired, Sent& sent) {
  State& state = Of(type);
  const ResourcePtr known = state.latest.Find(name);
  if (desired) {
    state.missing.erase(name);
    if (!known || known->version != desired->version) {
      sent.changed[name] = desired;
    } else if (known != desired) {
      // Told by its version alone until now, or built anew with the same content.
      const ResourcePtr held = state.held.Find(name);
      state.latest.Set(name, desired);
      if (held && held->version == desired->version) state.held.Set(name, desired);
    }
    return;
  }
  if (known) {
    if (form_ == Form::kDelta || IsWhole(type)) {
      sent.removed.insert(name);  // in the other form by not being listed
    } else {
      Forget(state, name);  // this form has no word for it
    }
  } else if (form_ == Form::kDelta && state.names.contains(name) && state.missing.insert(name).second) {
    sent.removed.insert(name);
  }
}

Session::Sent Session::Compare(ResourceType type, const Snapshot& snapshot,
                               const std::optional<std::set<std::string>>& names,
                               std::optional<ResourceMap>& whole) {
  State& state = Of(type);
  Sent sent;
  if (names) {
    for (const std::string& name : *names) {
      if (!snapshot.IsPlaceholder(type, name)) Look(type, name, Desired(type, name, snapshot), sent);
    }
    // Who is told of a change by the whole list is told of all.
    if ((sent.changed.empty() && sent.removed.empty()) || form_ == Form::kDelta || !IsWhole(type))
      return sent;
    sent = Sent();
  }
  whole = DesiredAll(type, snapshot);
  for (const auto& [name, resource] : *whole) Look(type, name, resource, sent);
  std::vector<std::string> rest;
  state.latest.ForEach([&](const std::string& name, const ResourcePtr&) {
    if (!whole->contains(name)) rest.push_back(name);
  });
  rest.insert(rest.end(), state.names.begin(), state.names.end());
  for (const std::string& name : rest) {
    if (!whole->contains(name) && !snapshot.IsPlaceholder(type, name)) Look(type, name, nullptr, sent);
  }
  return sent;
}

void Session::Cut(State& state, Sent& sent) const {
  std::size_t bytes = 0;
  auto at = sent.changed.begin();
  for (; at != sent.changed.end(); ++at) {
    bytes += at->second->bytes.size() + at->first.size() + kResourceHead;
    if (bytes > bounds_.answer_bytes && at != sent.changed.begin()) break;
  }
  if (at == sent.changed.end()) return;
  sent.changed.erase(at, sent.changed.end());
  state.dirty = true;
}

// Routes and listeners wait until the clusters and endpoints that were sent before them are taken in.
// Endpoints wait for nothing: a drain may be among them.
bool Session::Waits(ResourceType type) const {
  if (type != ResourceType::kListener && type != ResourceType::kRoute) return false;
  return !Of(ResourceType::kCluster).out.empty() || !Of(ResourceType::kEndpoint).out.empty();
}

std::optional<Response> Session::Next(const Snapshot& snapshot) {
  stuck_ = false;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    const ResourceType type = static_cast<ResourceType>(i);
    State& state = states_[i];
    if (!state.begun || Waits(type)) continue;
    if (!state.dirty && !state.due && state.seen == snapshot.serial()) continue;
    // Changes of a rejected answer go one at a time.
    if (!state.one_by_one.empty() && !state.out.empty()) continue;
    std::optional<std::set<std::string>> names(std::in_place);  // that may have changed; nothing if all may
    if (state.dirty || state.due || !snapshot.AddNamesChangedSince(state.seen, type, *names)) names.reset();
    if (names && names->empty()) {
      state.seen = snapshot.serial();
      continue;
    }
    if (state.out.size() >= bounds_.unacknowledged) {
      stuck_ = true;
      continue;
    }
    std::optional<ResourceMap> whole;
    Sent sent = Compare(type, snapshot, names, whole);
    state.dirty = false;
    state.seen = snapshot.serial();
    const bool all_of_it = form_ == Form::kStateOfTheWorld && IsWhole(type);
    if (!state.one_by_one.empty()) {
      std::erase_if(state.one_by_one, [&](const std::string& name) { return !sent.changed.contains(name); });
      if (!state.one_by_one.empty()) {
        const std::string alone = *state.one_by_one.begin();
        const ResourcePtr resource = sent.changed[alone];
        sent.changed = {{alone, resource}};
        state.dirty = true;
      }
    }
    if (sent.changed.empty() && sent.removed.empty() && !state.due) continue;
    if (!all_of_it) Cut(state, sent);
    if (all_of_it && !whole) whole = DesiredAll(type, snapshot);
    if (all_of_it && state.one_by_one.empty()) {
      // The whole list goes: if it is rejected, whatever of it was not accepted before may be to blame.
      for (const auto& [name, resource] : *whole) {
        const ResourcePtr held = state.held.Find(name);
        if (!held || held->version != resource->version) sent.changed[name] = resource;
      }
    }
    state.due = false;
    Response response;
    response.type = type;
    response.version = snapshot.version(type);
    response.nonce = sent.nonce = std::to_string(++nonces_);
    if (all_of_it) {
      for (const auto& [name, resource] : *whole) {
        if (sent.changed.contains(name)) {
          response.resources.push_back(resource);
        } else if (const ResourcePtr held = state.held.Find(name)) {
          response.resources.push_back(held);
        } else if (state.latest.Find(name)) {
          response.resources.push_back(resource);
        }
      }
    } else {
      for (const auto& [name, resource] : sent.changed) response.resources.push_back(resource);
      if (form_ == Form::kDelta) response.removed.assign(sent.removed.begin(), sent.removed.end());
    }
    Note(state, sent);
    state.newest = sent.nonce;
    state.out.push_back(std::move(sent));
    return response;
  }
  return std::nullopt;
}

std::optional<Response> Session::Heartbeat(ResourceType type) {
  State& state = Of(type);
  if (!state.begun || state.out.size() >= bounds_.unacknowledged / 2) return std::nullopt;
  Response response;
  response.type = type;
  response.nonce = state.newest = std::to_string(++nonces_);
  state.out.push_back({response.nonce, {}, {}});
  return response;
}

}  // namespace opalswitch::xds
