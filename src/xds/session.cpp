#include "xds/session.hpp"

#include <algorithm>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMostReason = 500;

bool IsWhole(Type type) { return type == Type::kCluster || type == Type::kListener; }

}  // namespace

Session::Session(Form form, const SessionBounds& bounds) : form_(form), bounds_(bounds) {}

bool Session::Wants(const State& state, const std::string& name) const {
  return state.wildcard || state.names.contains(name);
}

bool Session::Subscribed(Type type, const std::string& name) const { return Wants(Of(type), name); }

bool Session::Settled(Type type, const std::string& name) const {
  const State& state = Of(type);
  const auto accepted = state.accepted.find(name), sent = state.sent.find(name);
  return accepted != state.accepted.end() && sent != state.sent.end() && accepted->second == sent->second;
}

std::string Session::Accepted(Type type, const std::string& name) const {
  const State& state = Of(type);
  const auto found = state.accepted.find(name);
  return found == state.accepted.end() ? std::string() : found->second;
}

void Session::Forget(State& state, const std::string& name) {
  state.accepted.erase(name);
  state.sent.erase(name);
  state.missing.erase(name);
  state.rejected.erase(name);
  state.held.erase(name);
  state.latest.erase(name);
  state.one_by_one.erase(name);
}

void Session::Note(State& state, const Sent& sent) {
  for (const auto& [name, resource] : sent.changed) {
    state.sent[name] = resource->version;
    state.latest[name] = resource;
  }
  for (const std::string& name : sent.removed) {
    state.sent.erase(name);
    state.latest.erase(name);
  }
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
  if (request.initial_versions.size() > bounds_.names) return std::string("too many initial versions");
  Acknowledge(state, request);
  if (form_ == Form::kDelta) return TakeDelta(state, request);
  // A stale nonce: the proxy has not seen the newest answer yet, and will say it all again when it has.
  if (state.begun && request.nonce != state.newest) {
    ++stale_;
    return std::nullopt;
  }
  return TakeNames(state, request, snapshot);
}

std::optional<std::string> Session::TakeNames(State& state, const Request& request,
                                              const Snapshot& snapshot) {
  const std::set<std::string> wanted(request.names.begin(), request.names.end());
  const bool first = !std::exchange(state.begun, true);
  const bool wildcard =
      IsWhole(request.type) && (wanted.empty() ? first || state.wildcard : wanted.contains("*"));
  if (first) {
    state.due = true;
    // A proxy that comes over from another instance, or back after a restart, with the whole list as it is
    // now.
    if (wildcard && !request.version.empty() && request.version == snapshot.version(request.type)) {
      state.due = false;
      for (const auto& [name, resource] : snapshot.of(request.type)) {
        state.accepted[name] = state.sent[name] = resource->version;
        state.held[name] = state.latest[name] = resource;
      }
    }
  }
  for (const std::string& name : wanted) state.due = state.due || (!first && !state.names.contains(name));
  if (!wildcard) {
    std::vector<std::string> left;
    for (const auto& [name, version] : state.sent) {
      if (!wanted.contains(name)) left.push_back(name);
    }
    for (const std::string& name : left) Forget(state, name);
  }
  state.wildcard = wildcard;
  state.names = wanted;
  return std::nullopt;
}

std::optional<std::string> Session::TakeDelta(State& state, const Request& request) {
  const bool first = !std::exchange(state.begun, true);
  if (first) {
    state.due = true;
    state.wildcard = IsWhole(request.type) && request.subscribe.empty();
    for (const auto& [name, version] : request.initial_versions) {
      state.accepted[name] = state.sent[name] = version;
      state.due = false;  // nothing is owed to one that has all that there is
    }
  }
  for (const std::string& name : request.subscribe) {
    if (name == "*") {
      state.wildcard = true;
      continue;
    }
    // Asking for a name again asks for the resource again, but for what the proxy says it has.
    if (!(first && request.initial_versions.contains(name))) Forget(state, name);
    state.names.insert(name);
  }
  if (state.names.size() > bounds_.names)
    return "more than " + std::to_string(bounds_.names) + " subscriptions";
  for (const std::string& name : request.unsubscribe) {
    if (name == "*") {
      state.wildcard = false;
      std::vector<std::string> left;
      for (const auto& [held, version] : state.sent) {
        if (!state.names.contains(held)) left.push_back(held);
      }
      for (const std::string& held : left) Forget(state, held);
      continue;
    }
    state.names.erase(name);
    if (!state.wildcard) Forget(state, name);
  }
  return std::nullopt;
}

void Session::Acknowledge(State& state, const Request& request) {
  if (request.nonce.empty()) return;
  const auto found = std::find_if(state.out.begin(), state.out.end(),
                                  [&](const Sent& sent) { return sent.nonce == request.nonce; });
  if (found == state.out.end()) return;  // of another stream, or answered before
  if (!request.error) {
    ++acks_;
    // Answers are acknowledged in their order: the earlier ones were taken in with this one.
    const auto end = found + 1;
    for (auto sent = state.out.begin(); sent != end; ++sent) {
      for (const auto& [name, resource] : sent->changed) {
        if (!Wants(state, name)) continue;
        state.accepted[name] = resource->version;
        state.held[name] = resource;
        state.one_by_one.erase(name);
      }
      for (const std::string& name : sent->removed) {
        state.accepted.erase(name);
        state.held.erase(name);
      }
    }
    state.out.erase(state.out.begin(), end);
    if (request.type == Type::kRoute) {
      state.clusters.clear();
      for (const auto& [name, resource] : state.held) {
        state.clusters.insert(resource->clusters.begin(), resource->clusters.end());
      }
    }
    return;
  }
  ++nacks_;
  Rejection rejection{request.type, {}, request.error->substr(0, kMostReason)};
  for (const auto& [name, resource] : found->changed) rejection.names.push_back(name);
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
  state.sent = state.accepted;
  state.latest = state.held;
  for (const Sent& sent : state.out) Note(state, sent);
  last_rejection_ = std::move(rejection);
}

Resources Session::Desired(Type type, const Snapshot& snapshot) const {
  const State& state = Of(type);
  Resources desired;
  const auto add = [&](const std::string& name, const ResourcePtr& resource) {
    const auto rejected = state.rejected.find(name);
    if (rejected == state.rejected.end() || rejected->second != resource->version) {
      desired[name] = resource;
      return;
    }
    const auto latest = state.latest.find(name);  // what it has, or will have, in place of that
    if (latest != state.latest.end()) desired[name] = latest->second;
  };
  const Resources& all = snapshot.of(type);
  if (state.wildcard) {
    for (const auto& [name, resource] : all) add(name, resource);
  } else {
    for (const std::string& name : state.names) {
      if (const auto found = all.find(name); found != all.end()) add(name, found->second);
    }
  }
  // Break after make: a cluster that the proxy's routes still lead to stays until they don't.
  if (type == Type::kCluster) {
    for (const std::string& name : Of(Type::kRoute).clusters) {
      const auto held = state.held.find(name);
      if (!desired.contains(name) && held != state.held.end() && Wants(state, name))
        desired[name] = held->second;
    }
  }
  return desired;
}

// Routes and listeners wait until the clusters and endpoints that were sent before them are taken in.
// Endpoints wait for nothing: a drain may be among them.
bool Session::Waits(Type type) const {
  if (type == Type::kCluster || type == Type::kEndpoint) return false;
  return !Of(Type::kCluster).out.empty() || !Of(Type::kEndpoint).out.empty();
}

std::optional<Response> Session::Next(const Snapshot& snapshot) {
  stuck_ = false;
  for (std::size_t i = 0; i < kTypes; ++i) {
    const Type type = static_cast<Type>(i);
    State& state = states_[i];
    if (!state.begun || Waits(type)) continue;
    // Changes of a rejected answer go one at a time.
    if (!state.one_by_one.empty() && !state.out.empty()) continue;
    const Resources desired = Desired(type, snapshot);
    Sent sent;
    for (const auto& [name, resource] : desired) {
      const auto known = state.sent.find(name);
      if (known != state.sent.end() && known->second == resource->version) {
        if (!state.held.contains(name) && state.accepted.contains(name) &&
            state.accepted[name] == resource->version) {
          state.held[name] = state.latest[name] = resource;  // told by its version alone until now
        }
        continue;
      }
      sent.changed[name] = resource;
    }
    if (!state.one_by_one.empty()) {
      std::erase_if(state.one_by_one, [&](const std::string& name) { return !sent.changed.contains(name); });
      if (!state.one_by_one.empty()) {
        const std::string alone = *state.one_by_one.begin();
        const ResourcePtr resource = sent.changed[alone];
        sent.changed = {{alone, resource}};
      }
    }
    std::vector<std::string> gone;
    for (const auto& [name, version] : state.sent) {
      if (!desired.contains(name)) gone.push_back(name);
    }
    if (form_ == Form::kDelta) {
      sent.removed.insert(gone.begin(), gone.end());
      for (const std::string& name : state.names) {
        const bool there = desired.contains(name);
        if (there) state.missing.erase(name);
        if (!there && !state.sent.contains(name) && state.missing.insert(name).second)
          sent.removed.insert(name);
      }
    } else if (IsWhole(type)) {
      sent.removed.insert(gone.begin(), gone.end());  // by not being listed
    } else {
      for (const std::string& name : gone) Forget(state, name);  // this form has no word for it
    }
    if (sent.changed.empty() && sent.removed.empty() && !state.due) continue;
    if (form_ == Form::kStateOfTheWorld && IsWhole(type) && state.one_by_one.empty()) {
      // The whole list goes: if it is rejected, whatever of it was not accepted before may be to blame.
      for (const auto& [name, resource] : desired) {
        const auto accepted = state.accepted.find(name);
        if (accepted == state.accepted.end() || accepted->second != resource->version)
          sent.changed[name] = resource;
      }
    }
    if (state.out.size() >= bounds_.unacknowledged) {
      stuck_ = true;
      continue;
    }
    state.due = false;
    Response response;
    response.type = type;
    response.version = snapshot.version(type);
    response.nonce = sent.nonce = std::to_string(++nonces_);
    if (form_ == Form::kStateOfTheWorld && IsWhole(type)) {
      for (const auto& [name, resource] : desired) {
        if (sent.changed.contains(name)) {
          response.resources.push_back(resource);
        } else if (const auto held = state.held.find(name); held != state.held.end()) {
          response.resources.push_back(held->second);
        } else if (state.sent.contains(name)) {
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

std::optional<Response> Session::Heartbeat(Type type) {
  State& state = Of(type);
  if (!state.begun || state.out.size() >= bounds_.unacknowledged / 2) return std::nullopt;
  Response response;
  response.type = type;
  response.nonce = state.newest = std::to_string(++nonces_);
  state.out.push_back({response.nonce, {}, {}});
  return response;
}

}  // namespace opalswitch::xds
