#include "routing/route_table.hpp"

#include <algorithm>
#include <functional>

namespace opalswitch::routing {
namespace {

constexpr std::uint64_t kPrime = 1099511628211ULL;

// FNV-1a, carried on from segment to segment of a path.
std::uint64_t Begin(std::uint32_t host) { return (1469598103934665603ULL ^ host) * kPrime; }
std::uint64_t Feed(std::uint64_t hash, char c) { return (hash ^ static_cast<unsigned char>(c)) * kPrime; }
std::uint64_t End(std::uint64_t hash, bool prefix) {
  hash ^= prefix ? 0x9e3779b97f4a7c15ULL : 0;
  hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
  return hash ^ (hash >> 29);
}

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; }

std::string Lowered(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), Lower);
  return out;
}

bool IEquals(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

template <typename List, typename Value>
bool Holds(const List& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::optional<std::string_view> HeaderOf(const Request& request, std::string_view name) {
  for (const auto& [key, value] : request.headers) {
    if (IEquals(key, name)) return value;
  }
  return std::nullopt;
}

bool Meets(const HeaderCondition& condition, const Request& request) {
  const auto value = HeaderOf(request, condition.name);
  switch (condition.kind) {
    case HeaderCondition::Kind::kPresent: return value.has_value();
    case HeaderCondition::Kind::kAbsent: return !value.has_value();
    case HeaderCondition::Kind::kEquals: return value && *value == condition.value;
  }
  return false;
}

bool TakesHost(std::string_view pattern, std::string_view host) {
  if (!pattern.starts_with("*.")) return pattern == host;
  return host.size() > pattern.size() - 1 && host.ends_with(pattern.substr(1));
}

bool TakesPath(const PathCondition& pattern, std::string_view path) {
  if (!pattern.prefix) return path == pattern.text;
  return path.starts_with(pattern.text) &&
         (pattern.text.empty() || path.size() == pattern.text.size() || path[pattern.text.size()] == '/');
}

// Whether all that meets the conditions of `inner` meets those of `outer`, host and path left aside.
bool Covers(const Route& outer, const Route& inner) {
  const auto all_in = [](const auto& wide, const auto& narrow) {
    if (wide.empty()) return true;
    return !narrow.empty() &&
           std::all_of(narrow.begin(), narrow.end(), [&](const auto& item) { return Holds(wide, item); });
  };
  const auto implied = [&](const HeaderCondition& wanted) {
    return std::any_of(inner.headers.begin(), inner.headers.end(), [&](const HeaderCondition& has) {
      if (!IEquals(has.name, wanted.name)) return false;
      if (wanted.kind == HeaderCondition::Kind::kPresent) return has.kind != HeaderCondition::Kind::kAbsent;
      return has.kind == wanted.kind && has.value == wanted.value;
    });
  };
  return all_in(outer.methods, inner.methods) && all_in(outer.classes, inner.classes) &&
         all_in(outer.listeners, inner.listeners) &&
         std::all_of(outer.headers.begin(), outer.headers.end(), implied);
}

std::string Joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) text += (text.empty() ? "" : ", ") + item;
  return text;
}

const HeaderCondition* FirstEquals(const Route& route) {
  for (const HeaderCondition& condition : route.headers) {
    if (condition.kind == HeaderCondition::Kind::kEquals) return &condition;
  }
  return nullptr;
}

}  // namespace

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)) {
  slots_.resize(16);
  const auto id_of = [this](const std::string& pattern) {
    const bool suffix = pattern.starts_with("*.");
    Names& names = suffix ? suffix_ : exact_;
    const auto [entry, added] = names.try_emplace(suffix ? pattern.substr(2) : pattern, hosts_);
    if (added) ++hosts_;
    return entry->second;
  };
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    Route& route = routes_[i];
    for (HeaderCondition& condition : route.headers) {
      condition.name = Lowered(condition.name);
      if (!Holds(header_names_, condition.name)) header_names_.push_back(condition.name);
    }
    std::vector<std::uint32_t> hosts;
    for (const std::string& pattern : route.hosts) hosts.push_back(id_of(pattern));
    if (hosts.empty()) hosts.push_back(0);
    std::vector<PathCondition> paths = route.paths;
    if (paths.empty()) paths.push_back({true, ""});
    const auto place = static_cast<std::uint32_t>(i);
    const auto note = [place](Places& places) {
      if (places.empty() || places.back() != place) places.push_back(place);
    };
    for (const std::uint32_t host : hosts) {
      for (const PathCondition& path : paths) {
        Bucket& bucket = Add(host, path.prefix, path.text);
        if (!route.classes.empty()) {
          for (const std::string& name : route.classes) note(bucket.by_class[name]);
        } else if (const HeaderCondition* const equals = FirstEquals(route)) {
          const auto found = std::find_if(bucket.by_header.begin(), bucket.by_header.end(),
                                          [&](const ByHeader& by) { return by.name == equals->name; });
          ByHeader& by = found != bucket.by_header.end()
                             ? *found
                             : bucket.by_header.emplace_back(ByHeader{equals->name, {}});
          note(by.values[equals->value]);
        } else {
          note(bucket.plain);
        }
      }
    }
  }
  depth_.resize(hosts_);
  any_path_.resize(hosts_);
  for (const Bucket& bucket : buckets_) {
    if (!bucket.prefix) continue;
    if (bucket.path.empty()) any_path_[bucket.host] = true;
    const auto segments = static_cast<std::uint32_t>(std::count(bucket.path.begin(), bucket.path.end(), '/'));
    depth_[bucket.host] = std::max(depth_[bucket.host], segments);
  }
}

const RouteTable::Bucket* RouteTable::Find(std::uint64_t hash, std::uint32_t host, bool prefix,
                                           std::string_view path) const {
  const std::size_t mask = slots_.size() - 1;
  for (std::size_t at = hash & mask; slots_[at].bucket != 0; at = (at + 1) & mask) {
    if (slots_[at].hash != hash) continue;
    const Bucket& bucket = buckets_[slots_[at].bucket - 1];
    if (bucket.host == host && bucket.prefix == prefix && bucket.path == path) return &bucket;
  }
  return nullptr;
}

RouteTable::Bucket& RouteTable::Add(std::uint32_t host, bool prefix, const std::string& path) {
  std::uint64_t hash = Begin(host);
  for (const char c : path) hash = Feed(hash, c);
  hash = End(hash, prefix);
  if (const Bucket* const found = Find(hash, host, prefix, path)) return buckets_[found - buckets_.data()];
  if ((buckets_.size() + 1) * 2 > slots_.size()) Grow();
  buckets_.emplace_back();
  buckets_.back().host = host;
  buckets_.back().prefix = prefix;
  buckets_.back().path = path;
  const std::size_t mask = slots_.size() - 1;
  std::size_t at = hash & mask;
  while (slots_[at].bucket != 0) at = (at + 1) & mask;
  slots_[at] = {hash, static_cast<std::uint32_t>(buckets_.size())};
  return buckets_.back();
}

void RouteTable::Grow() {
  std::vector<Slot> old(slots_.size() * 2);
  old.swap(slots_);
  const std::size_t mask = slots_.size() - 1;
  for (const Slot& slot : old) {
    if (slot.bucket == 0) continue;
    std::size_t at = slot.hash & mask;
    while (slots_[at].bucket != 0) at = (at + 1) & mask;
    slots_[at] = slot;
  }
}

template <typename Visit>
void RouteTable::Visit_(std::string_view host, std::string_view path, bool exact, Visit visit) const {
  const auto probe = [&](std::uint32_t id) {
    std::uint64_t hash = Begin(id);
    if (any_path_[id]) {
      if (const Bucket* const bucket = Find(End(hash, true), id, true, {})) visit(*bucket);
    }
    std::uint32_t segments = 0;
    for (std::size_t i = 0; i < path.size(); ++i) {
      hash = Feed(hash, path[i]);
      const bool border = i + 1 == path.size() || path[i + 1] == '/';
      if (!border || segments >= depth_[id]) continue;
      ++segments;
      if (path[i] == '/') continue;  // "/" alone: prefixes have no last slash
      if (const Bucket* const bucket = Find(End(hash, true), id, true, path.substr(0, i + 1))) visit(*bucket);
    }
    if (!exact) return;
    if (const Bucket* const bucket = Find(End(hash, false), id, false, path)) visit(*bucket);
  };
  probe(0);
  if (const auto found = exact_.find(host); found != exact_.end()) probe(found->second);
  if (suffix_.empty()) return;
  for (std::size_t dot = host.find('.'); dot != std::string_view::npos; dot = host.find('.', dot + 1)) {
    if (dot == 0) continue;
    if (const auto found = suffix_.find(host.substr(dot + 1)); found != suffix_.end()) probe(found->second);
  }
}

bool RouteTable::Rest(const Route& route, const Request& request) const {
  return (route.methods.empty() || Holds(route.methods, request.method)) &&
         (route.classes.empty() || Holds(route.classes, request.class_name)) &&
         (route.listeners.empty() || Holds(route.listeners, request.listener)) &&
         std::all_of(route.headers.begin(), route.headers.end(),
                     [&](const HeaderCondition& condition) { return Meets(condition, request); });
}

std::optional<std::size_t> RouteTable::Match(const Request& request) const {
  std::size_t best = routes_.size();
  const auto search = [&](const Places& places) {
    for (const std::uint32_t place : places) {
      if (place >= best) return;
      if (Rest(routes_[place], request)) {
        best = place;
        return;
      }
    }
  };
  Visit_(request.host, request.path, true, [&](const Bucket& bucket) {
    search(bucket.plain);
    if (!bucket.by_class.empty()) {
      if (const auto found = bucket.by_class.find(std::string(request.class_name));
          found != bucket.by_class.end()) {
        search(found->second);
      }
    }
    for (const ByHeader& by : bucket.by_header) {
      const auto value = HeaderOf(request, by.name);
      if (!value) continue;
      if (const auto found = by.values.find(std::string(*value)); found != by.values.end()) {
        search(found->second);
      }
    }
  });
  if (best == routes_.size()) return std::nullopt;
  return best;
}

std::vector<std::string> RouteTable::Explain(const Request& request) const {
  std::vector<std::string> reasons;
  const std::size_t end = Match(request).value_or(routes_.size());
  for (std::size_t i = 0; i < end; ++i) {
    const Route& route = routes_[i];
    const auto takes_host = [&](const std::string& pattern) { return TakesHost(pattern, request.host); };
    const auto takes_path = [&](const PathCondition& pattern) { return TakesPath(pattern, request.path); };
    std::string why;
    if (!route.listeners.empty() && !Holds(route.listeners, request.listener)) {
      why = "listener '" + std::string(request.listener) + "' is not " + Joined(route.listeners);
    } else if (!route.hosts.empty() && std::none_of(route.hosts.begin(), route.hosts.end(), takes_host)) {
      why = "host '" + std::string(request.host) + "' is not " + Joined(route.hosts);
    } else if (!route.paths.empty() && std::none_of(route.paths.begin(), route.paths.end(), takes_path)) {
      std::vector<std::string> patterns;
      for (const PathCondition& p : route.paths)
        patterns.push_back((p.prefix ? "under " : "") + (p.text.empty() ? "/" : p.text));
      why = "path '" + std::string(request.path) + "' is not " + Joined(patterns);
    } else if (!route.methods.empty() && !Holds(route.methods, request.method)) {
      why = "method " + std::string(request.method) + " is not " + Joined(route.methods);
    } else if (!route.classes.empty() && !Holds(route.classes, request.class_name)) {
      why = "class '" + std::string(request.class_name) + "' is not " + Joined(route.classes);
    } else {
      for (const HeaderCondition& condition : route.headers) {
        if (Meets(condition, request)) continue;
        const auto value = HeaderOf(request, condition.name);
        why = "header " + condition.name + (value ? " is '" + std::string(*value) + "'" : " is missing");
        if (condition.kind == HeaderCondition::Kind::kEquals) why += ", not '" + condition.value + "'";
        if (condition.kind == HeaderCondition::Kind::kAbsent) why += ", must be absent";
        break;
      }
    }
    reasons.push_back(std::move(why));
  }
  return reasons;
}

std::optional<std::size_t> RouteTable::ShadowedBy(std::size_t i) const {
  const Route& route = routes_[i];
  std::optional<std::size_t> last;
  const std::vector<std::string> hosts = route.hosts.empty() ? std::vector<std::string>{""} : route.hosts;
  const std::vector<PathCondition> paths =
      route.paths.empty() ? std::vector<PathCondition>{{true, ""}} : route.paths;
  for (const std::string& host : hosts) {
    for (const PathCondition& path : paths) {
      std::optional<std::size_t> cover;
      const auto search = [&](const Places& places) {
        for (const std::uint32_t place : places) {
          if (place >= i || (cover && place >= *cover)) return;
          if (Covers(routes_[place], route)) cover = place;
        }
      };
      const auto visit = [&](const Bucket& bucket) {
        if (route.hosts.empty() && bucket.host != 0) return;
        search(bucket.plain);
        if (!route.classes.empty()) {
          if (const auto found = bucket.by_class.find(route.classes[0]); found != bucket.by_class.end()) {
            search(found->second);
          }
        }
        for (const ByHeader& by : bucket.by_header) {
          for (const HeaderCondition& condition : route.headers) {
            if (condition.name != by.name || condition.kind != HeaderCondition::Kind::kEquals) continue;
            if (const auto found = by.values.find(condition.value); found != by.values.end())
              search(found->second);
          }
        }
      };
      // A pattern is looked up as a request of its least special form: "*.x" finds itself and wider ones.
      Visit_(host, path.text, !path.prefix, visit);
      if (!cover) return std::nullopt;
      last = last ? std::max(*last, *cover) : *cover;
    }
  }
  return last;
}

}  // namespace opalswitch::routing
