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

template <typename Is>
std::uint32_t RouteTable::Index::Find(std::uint64_t hash, Is is) const {
  const std::size_t mask = slots.size() - 1;
  const auto mark = static_cast<std::uint32_t>(hash >> 32);
  for (std::size_t at = hash & mask; slots[at].item != 0; at = (at + 1) & mask) {
    if (slots[at].hash == mark && is(slots[at].item)) return slots[at].item;
  }
  return 0;
}

void RouteTable::Index::Add(std::uint64_t hash, std::uint32_t item) {
  const std::size_t mask = slots.size() - 1;
  std::size_t at = hash & mask;
  while (slots[at].item != 0) at = (at + 1) & mask;
  slots[at] = {static_cast<std::uint32_t>(hash >> 32), item};
  ++used;
}

std::uint32_t RouteTable::Names::Find(std::string_view name) const {
  if (texts.empty()) return 0;
  const std::uint32_t item =
      index.Find(std::hash<std::string_view>()(name), [&](std::uint32_t i) { return texts[i - 1] == name; });
  return item == 0 ? 0 : ids[item - 1];
}

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)) {
  std::uint32_t hosts = 1;
  std::size_t patterns = 1, pairs = 0;
  for (const Route& route : routes_) {
    patterns += route.hosts.size();
    pairs += std::max<std::size_t>(1, route.hosts.size()) * std::max<std::size_t>(1, route.paths.size());
  }
  const auto slots_for = [](std::size_t items) {
    std::size_t slots = 16;
    while (slots < items * 3 / 2) slots *= 2;
    return std::vector<Index::Slot>(slots);
  };
  exact_.index.slots = slots_for(patterns);
  suffix_.index.slots = slots_for(patterns);
  index_.slots = slots_for(pairs);
  const auto id_of = [&hosts, this](const std::string& pattern) {
    const bool suffix = pattern.starts_with("*.");
    Names& names = suffix ? suffix_ : exact_;
    const std::string name = suffix ? pattern.substr(2) : pattern;
    if (const std::uint32_t known = names.Find(name)) return known;
    names.texts.push_back(name);
    names.ids.push_back(hosts);
    names.index.Add(std::hash<std::string_view>()(name), static_cast<std::uint32_t>(names.texts.size()));
    return hosts++;
  };
  const auto note = [](Places& places, std::uint32_t place) {
    if (places.empty() || places.back() != place) places.push_back(place);
  };
  Texts texts;
  std::vector<Places> plain;  // by bucket, until they are laid side by side
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    Route& route = routes_[i];
    for (HeaderCondition& condition : route.headers) {
      condition.name = Lowered(condition.name);
      if (!Holds(header_names_, condition.name)) header_names_.push_back(condition.name);
    }
    asks_.push_back(!route.methods.empty() || !route.headers.empty() || !route.classes.empty() ||
                    !route.listeners.empty());
    std::vector<std::uint32_t> ids;
    for (const std::string& pattern : route.hosts) ids.push_back(id_of(pattern));
    if (ids.empty()) ids.push_back(0);
    std::vector<PathCondition> paths = route.paths;
    if (paths.empty()) paths.push_back({true, ""});
    const auto place = static_cast<std::uint32_t>(i);
    const HeaderCondition* const equals = FirstEquals(route);
    for (const std::uint32_t host : ids) {
      for (const PathCondition& path : paths) {
        const std::uint32_t at = Add(host, path.prefix, path.text, texts);
        plain.resize(buckets_.size());
        if (route.classes.empty() && equals == nullptr) {
          note(plain[at], place);
          continue;
        }
        if (buckets_[at].special == 0) {
          specials_.emplace_back();
          buckets_[at].special = static_cast<std::uint32_t>(specials_.size());
        }
        Special& special = specials_[buckets_[at].special - 1];
        if (!route.classes.empty()) {
          for (const std::string& name : route.classes) note(special.by_class[name], place);
          continue;
        }
        const auto found = std::find_if(special.by_header.begin(), special.by_header.end(),
                                        [&](const ByHeader& by) { return by.name == equals->name; });
        ByHeader& by = found != special.by_header.end()
                           ? *found
                           : special.by_header.emplace_back(ByHeader{equals->name, {}});
        note(by.values[equals->value], place);
      }
    }
  }
  depth_.resize(hosts);
  any_path_.resize(hosts);
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    Bucket& bucket = buckets_[i];
    bucket.plain = static_cast<std::uint32_t>(places_.size());
    places_.insert(places_.end(), plain[i].begin(), plain[i].end());
    bucket.plain_end = static_cast<std::uint32_t>(places_.size());
    if (!bucket.prefix) continue;
    const std::string_view path = TextOf(bucket);
    if (path.empty()) any_path_[bucket.host] = true;
    depth_[bucket.host] =
        std::max(depth_[bucket.host], static_cast<std::uint32_t>(std::count(path.begin(), path.end(), '/')));
  }
}

const RouteTable::Bucket* RouteTable::Find(std::uint64_t hash, std::uint32_t host, bool prefix,
                                           std::string_view path) const {
  const std::uint32_t item = index_.Find(hash, [&](std::uint32_t i) {
    const Bucket& bucket = buckets_[i - 1];
    return bucket.host == host && bucket.prefix == prefix && TextOf(bucket) == path;
  });
  return item == 0 ? nullptr : &buckets_[item - 1];
}

std::uint32_t RouteTable::Add(std::uint32_t host, bool prefix, const std::string& path, Texts& texts) {
  std::uint64_t hash = Begin(host);
  for (const char c : path) hash = Feed(hash, c);
  hash = End(hash, prefix);
  if (const Bucket* const found = Find(hash, host, prefix, path)) {
    return static_cast<std::uint32_t>(found - buckets_.data());
  }
  Bucket bucket;
  bucket.host = host;
  bucket.prefix = prefix;
  bucket.length = static_cast<std::uint32_t>(path.size());
  const auto [known, added] = texts.try_emplace(path, static_cast<std::uint32_t>(texts_.size()));
  if (added) texts_ += path;  // most hosts have the same few paths
  bucket.text = known->second;
  buckets_.push_back(bucket);
  index_.Add(hash, static_cast<std::uint32_t>(buckets_.size()));
  return static_cast<std::uint32_t>(buckets_.size() - 1);
}

template <typename Visit>
void RouteTable::ForEach(std::string_view host, std::string_view path, bool exact, Visit visit) const {
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
  if (const std::uint32_t id = exact_.Find(host)) probe(id);
  if (suffix_.texts.empty()) return;
  for (std::size_t dot = host.find('.'); dot != std::string_view::npos; dot = host.find('.', dot + 1)) {
    if (dot == 0) continue;
    if (const std::uint32_t id = suffix_.Find(host.substr(dot + 1))) probe(id);
  }
}

bool RouteTable::Rest(std::uint32_t place, const Request& request) const {
  if (!asks_[place]) return true;
  const Route& route = routes_[place];
  return (route.methods.empty() || Holds(route.methods, request.method)) &&
         (route.classes.empty() || Holds(route.classes, request.class_name)) &&
         (route.listeners.empty() || Holds(route.listeners, request.listener)) &&
         std::all_of(route.headers.begin(), route.headers.end(),
                     [&](const HeaderCondition& condition) { return Meets(condition, request); });
}

std::optional<std::size_t> RouteTable::Match(const Request& request) const {
  std::size_t best = routes_.size();
  const auto search = [&](const std::uint32_t* place, const std::uint32_t* end) {
    for (; place != end && *place < best; ++place) {
      if (Rest(*place, request)) best = *place;
    }
  };
  const auto search_all = [&](const auto& map, std::string_view key) {
    const auto found = map.find(std::string(key));
    if (found != map.end()) search(found->second.data(), found->second.data() + found->second.size());
  };
  ForEach(request.host, request.path, true, [&](const Bucket& bucket) {
    search(places_.data() + bucket.plain, places_.data() + bucket.plain_end);
    if (bucket.special == 0) return;
    const Special& special = specials_[bucket.special - 1];
    if (!special.by_class.empty()) search_all(special.by_class, request.class_name);
    for (const ByHeader& by : special.by_header) {
      if (const auto value = HeaderOf(request, by.name)) search_all(by.values, *value);
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
      const auto search = [&](const std::uint32_t* place, const std::uint32_t* end) {
        for (; place != end && *place < i && (!cover || *place < *cover); ++place) {
          if (Covers(routes_[*place], route)) cover = *place;
        }
      };
      const auto search_all = [&](const auto& map, const std::string& key) {
        const auto found = map.find(key);
        if (found != map.end()) search(found->second.data(), found->second.data() + found->second.size());
      };
      const auto visit = [&](const Bucket& bucket) {
        if (route.hosts.empty() && bucket.host != 0) return;
        search(places_.data() + bucket.plain, places_.data() + bucket.plain_end);
        if (bucket.special == 0) return;
        const Special& special = specials_[bucket.special - 1];
        if (!route.classes.empty()) search_all(special.by_class, route.classes[0]);
        for (const ByHeader& by : special.by_header) {
          for (const HeaderCondition& condition : route.headers) {
            const bool same = condition.name == by.name && condition.kind == HeaderCondition::Kind::kEquals;
            if (same) search_all(by.values, condition.value);
          }
        }
      };
      // A pattern is looked up as a request of its least special form: "*.x" finds itself and wider ones.
      ForEach(host, path.text, !path.prefix, visit);
      if (!cover) return std::nullopt;
      last = last ? std::max(*last, *cover) : *cover;
    }
  }
  return last;
}

}  // namespace opalswitch::routing
