#include "routing/route_table.hpp"

#include <algorithm>
#include <functional>

namespace opalswitch::routing {
namespace {

constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// FNV-1a, computed byte by byte, so that one pass over a path gives the hashes of all its prefixes. HashEnd
// mixes the bits and distinguishes prefixes from exact paths.
std::uint64_t HashBegin(std::uint32_t host_id) { return (1469598103934665603ULL ^ host_id) * kFnvPrime; }
std::uint64_t HashByte(std::uint64_t hash, char c) {
  return (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
}
std::uint64_t HashEnd(std::uint64_t hash, bool is_prefix) {
  hash ^= is_prefix ? 0x9e3779b97f4a7c15ULL : 0;
  hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
  return hash ^ (hash >> 29);
}

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; }

std::string ToLowerCopy(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), ToLower);
  return out;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

template <typename List, typename Value>
bool Contains(const List& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::optional<std::string_view> FindHeader(const Request& request, std::string_view name) {
  for (const auto& [key, value] : request.headers) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return std::nullopt;
}

bool MeetsCondition(const HeaderCondition& condition, const Request& request) {
  const auto value = FindHeader(request, condition.name);
  switch (condition.kind) {
    case HeaderCondition::Kind::kPresent: return value.has_value();
    case HeaderCondition::Kind::kAbsent: return !value.has_value();
    case HeaderCondition::Kind::kEquals: return value && *value == condition.value;
  }
  return false;
}

bool MatchesHost(std::string_view pattern, std::string_view host) {
  if (!pattern.starts_with("*.")) return pattern == host;
  return host.size() > pattern.size() - 1 && host.ends_with(pattern.substr(1));
}

bool MatchesPath(const PathCondition& pattern, std::string_view path) {
  if (!pattern.is_prefix) return path == pattern.text;
  return path.starts_with(pattern.text) &&
         (pattern.text.empty() || path.size() == pattern.text.size() || path[pattern.text.size()] == '/');
}

// Whether every request that meets the conditions of `inner` meets those of `outer` too. Hosts and paths are
// not compared. May give false for conditions that are equivalent but written differently.
bool Covers(const Route& outer, const Route& inner) {
  const auto all_in = [](const auto& wide, const auto& narrow) {
    if (wide.empty()) return true;
    return !narrow.empty() &&
           std::all_of(narrow.begin(), narrow.end(), [&](const auto& item) { return Contains(wide, item); });
  };
  const auto implied = [&](const HeaderCondition& wanted) {
    return std::any_of(inner.headers.begin(), inner.headers.end(), [&](const HeaderCondition& has) {
      if (!EqualsIgnoreCase(has.name, wanted.name)) return false;
      if (wanted.kind == HeaderCondition::Kind::kPresent) return has.kind != HeaderCondition::Kind::kAbsent;
      return has.kind == wanted.kind && has.value == wanted.value;
    });
  };
  return all_in(outer.methods, inner.methods) && all_in(outer.classes, inner.classes) &&
         all_in(outer.listeners, inner.listeners) &&
         std::all_of(outer.headers.begin(), outer.headers.end(), implied);
}

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) text += (text.empty() ? "" : ", ") + item;
  return text;
}

const HeaderCondition* FirstEqualsCondition(const Route& route) {
  for (const HeaderCondition& condition : route.headers) {
    if (condition.kind == HeaderCondition::Kind::kEquals) return &condition;
  }
  return nullptr;
}

}  // namespace

template <typename Matches>
std::uint32_t RouteTable::HashIndex::Find(std::uint64_t hash, Matches matches) const {
  const std::size_t mask = slots.size() - 1;
  const auto fingerprint = static_cast<std::uint32_t>(hash >> 32);
  for (std::size_t at = hash & mask; slots[at].item != 0; at = (at + 1) & mask) {
    if (slots[at].hash == fingerprint && matches(slots[at].item)) return slots[at].item;
  }
  return 0;
}

void RouteTable::HashIndex::Add(std::uint64_t hash, std::uint32_t item) {
  const std::size_t mask = slots.size() - 1;
  std::size_t at = hash & mask;
  while (slots[at].item != 0) at = (at + 1) & mask;
  slots[at] = {static_cast<std::uint32_t>(hash >> 32), item};
  ++used;
}

std::uint32_t RouteTable::HostPatternIndex::Find(std::string_view name) const {
  if (patterns.empty()) return 0;
  const std::uint32_t item = index.Find(std::hash<std::string_view>()(name),
                                        [&](std::uint32_t i) { return patterns[i - 1] == name; });
  return item == 0 ? 0 : ids[item - 1];
}

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)) {
  std::uint32_t next_host_id = 1;
  std::size_t patterns = 1, pairs = 0;
  for (const Route& route : routes_) {
    patterns += route.hosts.size();
    pairs += std::max<std::size_t>(1, route.hosts.size()) * std::max<std::size_t>(1, route.paths.size());
  }
  // At most about two thirds of the slots are used, so that probe sequences are short.
  const auto slots_for = [](std::size_t items) {
    std::size_t slots = 16;
    while (slots < items * 3 / 2) slots *= 2;
    return std::vector<HashIndex::Slot>(slots);
  };
  exact_hosts_.index.slots = slots_for(patterns);
  suffix_hosts_.index.slots = slots_for(patterns);
  bucket_index_.slots = slots_for(pairs);
  // Returns the id of a host pattern, a new one if it is not known yet.
  const auto find_or_add_host = [&next_host_id, this](const std::string& pattern) {
    const bool is_suffix = pattern.starts_with("*.");
    HostPatternIndex& host_index = is_suffix ? suffix_hosts_ : exact_hosts_;
    const std::string name = is_suffix ? pattern.substr(2) : pattern;
    if (const std::uint32_t known = host_index.Find(name)) return known;
    host_index.patterns.push_back(name);
    host_index.ids.push_back(next_host_id);
    host_index.index.Add(std::hash<std::string_view>()(name),
                         static_cast<std::uint32_t>(host_index.patterns.size()));
    return next_host_id++;
  };
  // Routes are added in their order, so a repeated index would be the last one.
  const auto append_once = [](RouteIndexes& indexes, std::uint32_t route_index) {
    if (indexes.empty() || indexes.back() != route_index) indexes.push_back(route_index);
  };
  PathOffsets offsets;
  std::vector<RouteIndexes> scanned;  // by bucket; copied to scanned_routes_ below
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    Route& route = routes_[i];
    for (HeaderCondition& condition : route.headers) {
      condition.name = ToLowerCopy(condition.name);
      if (!Contains(header_names_, condition.name)) header_names_.push_back(condition.name);
    }
    has_other_conditions_.push_back(!route.methods.empty() || !route.headers.empty() ||
                                    !route.classes.empty() || !route.listeners.empty());
    std::vector<std::uint32_t> host_ids;
    for (const std::string& pattern : route.hosts) host_ids.push_back(find_or_add_host(pattern));
    if (host_ids.empty()) host_ids.push_back(0);
    std::vector<PathCondition> paths = route.paths;
    if (paths.empty()) paths.push_back({true, ""});
    const auto route_index = static_cast<std::uint32_t>(i);
    const HeaderCondition* const equals = FirstEqualsCondition(route);
    for (const std::uint32_t host_id : host_ids) {
      for (const PathCondition& path : paths) {
        const std::uint32_t bucket_index = AddBucket(host_id, path.is_prefix, path.text, offsets);
        scanned.resize(buckets_.size());
        if (route.classes.empty() && equals == nullptr) {
          append_once(scanned[bucket_index], route_index);
          continue;
        }
        if (buckets_[bucket_index].condition_index == 0) {
          condition_indexes_.emplace_back();
          buckets_[bucket_index].condition_index = static_cast<std::uint32_t>(condition_indexes_.size());
        }
        ConditionIndex& conditions = condition_indexes_[buckets_[bucket_index].condition_index - 1];
        if (!route.classes.empty()) {
          for (const std::string& name : route.classes) append_once(conditions.by_class[name], route_index);
          continue;
        }
        const auto found =
            std::find_if(conditions.by_header.begin(), conditions.by_header.end(),
                         [&](const HeaderIndex& header_index) { return header_index.name == equals->name; });
        HeaderIndex& header_index = found != conditions.by_header.end()
                                        ? *found
                                        : conditions.by_header.emplace_back(HeaderIndex{equals->name, {}});
        append_once(header_index.values[equals->value], route_index);
      }
    }
  }
  max_prefix_depth_.resize(next_host_id);
  has_empty_prefix_.resize(next_host_id);
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    Bucket& bucket = buckets_[i];
    bucket.scan_begin = static_cast<std::uint32_t>(scanned_routes_.size());
    scanned_routes_.insert(scanned_routes_.end(), scanned[i].begin(), scanned[i].end());
    bucket.scan_end = static_cast<std::uint32_t>(scanned_routes_.size());
    if (!bucket.is_prefix) continue;
    const std::string_view path = PathOf(bucket);
    if (path.empty()) has_empty_prefix_[bucket.host_id] = true;
    max_prefix_depth_[bucket.host_id] =
        std::max(max_prefix_depth_[bucket.host_id],
                 static_cast<std::uint32_t>(std::count(path.begin(), path.end(), '/')));
  }
}

const RouteTable::Bucket* RouteTable::FindBucket(std::uint64_t hash, std::uint32_t host_id, bool is_prefix,
                                                 std::string_view path) const {
  const std::uint32_t item = bucket_index_.Find(hash, [&](std::uint32_t i) {
    const Bucket& bucket = buckets_[i - 1];
    return bucket.host_id == host_id && bucket.is_prefix == is_prefix && PathOf(bucket) == path;
  });
  return item == 0 ? nullptr : &buckets_[item - 1];
}

std::uint32_t RouteTable::AddBucket(std::uint32_t host_id, bool is_prefix, const std::string& path,
                                    PathOffsets& offsets) {
  std::uint64_t hash = HashBegin(host_id);
  for (const char c : path) hash = HashByte(hash, c);
  hash = HashEnd(hash, is_prefix);
  if (const Bucket* const found = FindBucket(hash, host_id, is_prefix, path)) {
    return static_cast<std::uint32_t>(found - buckets_.data());
  }
  Bucket bucket;
  bucket.host_id = host_id;
  bucket.is_prefix = is_prefix;
  bucket.path_length = static_cast<std::uint32_t>(path.size());
  const auto [known, added] = offsets.try_emplace(path, static_cast<std::uint32_t>(path_text_.size()));
  if (added) path_text_ += path;  // stored once, as most hosts have the same few paths
  bucket.path_offset = known->second;
  buckets_.push_back(bucket);
  bucket_index_.Add(hash, static_cast<std::uint32_t>(buckets_.size()));
  return static_cast<std::uint32_t>(buckets_.size() - 1);
}

template <typename Visit>
void RouteTable::ForEachBucket(std::string_view host, std::string_view path, bool with_exact,
                               Visit visit) const {
  // Visits the buckets of one host pattern whose path patterns match.
  const auto visit_host = [&](std::uint32_t host_id) {
    std::uint64_t hash = HashBegin(host_id);
    if (has_empty_prefix_[host_id]) {
      if (const Bucket* const bucket = FindBucket(HashEnd(hash, true), host_id, true, {})) visit(*bucket);
    }
    std::uint32_t segments = 0;
    for (std::size_t i = 0; i < path.size(); ++i) {
      hash = HashByte(hash, path[i]);
      const bool is_segment_end = i + 1 == path.size() || path[i + 1] == '/';
      if (!is_segment_end || segments >= max_prefix_depth_[host_id]) continue;
      ++segments;
      if (path[i] == '/') continue;  // the path "/": a prefix has no trailing slash
      if (const Bucket* const bucket = FindBucket(HashEnd(hash, true), host_id, true, path.substr(0, i + 1)))
        visit(*bucket);
    }
    if (!with_exact) return;
    if (const Bucket* const bucket = FindBucket(HashEnd(hash, false), host_id, false, path)) visit(*bucket);
  };
  visit_host(0);
  if (const std::uint32_t host_id = exact_hosts_.Find(host)) visit_host(host_id);
  if (suffix_hosts_.patterns.empty()) return;
  for (std::size_t dot = host.find('.'); dot != std::string_view::npos; dot = host.find('.', dot + 1)) {
    if (dot == 0) continue;  // "*.x" does not match ".x"
    if (const std::uint32_t host_id = suffix_hosts_.Find(host.substr(dot + 1))) visit_host(host_id);
  }
}

bool RouteTable::MeetsOtherConditions(std::uint32_t route_index, const Request& request) const {
  if (!has_other_conditions_[route_index]) return true;
  const Route& route = routes_[route_index];
  return (route.methods.empty() || Contains(route.methods, request.method)) &&
         (route.classes.empty() || Contains(route.classes, request.class_name)) &&
         (route.listeners.empty() || Contains(route.listeners, request.listener)) &&
         std::all_of(route.headers.begin(), route.headers.end(),
                     [&](const HeaderCondition& condition) { return MeetsCondition(condition, request); });
}

std::optional<std::size_t> RouteTable::Match(const Request& request) const {
  std::size_t best = routes_.size();
  // Lists of routes are ascending, so a search ends at the best match so far.
  const auto search = [&](const std::uint32_t* it, const std::uint32_t* end) {
    for (; it != end && *it < best; ++it) {
      if (MeetsOtherConditions(*it, request)) best = *it;
    }
  };
  const auto search_key = [&](const auto& map, std::string_view key) {
    const auto found = map.find(std::string(key));
    if (found != map.end()) search(found->second.data(), found->second.data() + found->second.size());
  };
  ForEachBucket(request.host, request.path, true, [&](const Bucket& bucket) {
    search(scanned_routes_.data() + bucket.scan_begin, scanned_routes_.data() + bucket.scan_end);
    if (bucket.condition_index == 0) return;
    const ConditionIndex& conditions = condition_indexes_[bucket.condition_index - 1];
    if (!conditions.by_class.empty()) search_key(conditions.by_class, request.class_name);
    for (const HeaderIndex& header_index : conditions.by_header) {
      if (const auto value = FindHeader(request, header_index.name)) search_key(header_index.values, *value);
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
    const auto matches_host = [&](const std::string& pattern) { return MatchesHost(pattern, request.host); };
    const auto matches_path = [&](const PathCondition& pattern) {
      return MatchesPath(pattern, request.path);
    };
    std::string reason;
    if (!route.listeners.empty() && !Contains(route.listeners, request.listener)) {
      reason = "listener '" + std::string(request.listener) + "' is not " + Join(route.listeners);
    } else if (!route.hosts.empty() && std::none_of(route.hosts.begin(), route.hosts.end(), matches_host)) {
      reason = "host '" + std::string(request.host) + "' is not " + Join(route.hosts);
    } else if (!route.paths.empty() && std::none_of(route.paths.begin(), route.paths.end(), matches_path)) {
      std::vector<std::string> patterns;
      for (const PathCondition& p : route.paths)
        patterns.push_back((p.is_prefix ? "under " : "") + (p.text.empty() ? "/" : p.text));
      reason = "path '" + std::string(request.path) + "' is not " + Join(patterns);
    } else if (!route.methods.empty() && !Contains(route.methods, request.method)) {
      reason = "method " + std::string(request.method) + " is not " + Join(route.methods);
    } else if (!route.classes.empty() && !Contains(route.classes, request.class_name)) {
      reason = "class '" + std::string(request.class_name) + "' is not " + Join(route.classes);
    } else {
      for (const HeaderCondition& condition : route.headers) {
        if (MeetsCondition(condition, request)) continue;
        const auto value = FindHeader(request, condition.name);
        reason = "header " + condition.name + (value ? " is '" + std::string(*value) + "'" : " is missing");
        if (condition.kind == HeaderCondition::Kind::kEquals) reason += ", not '" + condition.value + "'";
        if (condition.kind == HeaderCondition::Kind::kAbsent) reason += ", must be absent";
        break;
      }
    }
    reasons.push_back(std::move(reason));
  }
  return reasons;
}

std::optional<std::size_t> RouteTable::ShadowedBy(std::size_t i) const {
  const Route& route = routes_[i];
  std::optional<std::size_t> last_covering;
  const std::vector<std::string> hosts = route.hosts.empty() ? std::vector<std::string>{""} : route.hosts;
  const std::vector<PathCondition> paths =
      route.paths.empty() ? std::vector<PathCondition>{{true, ""}} : route.paths;
  for (const std::string& host : hosts) {
    for (const PathCondition& path : paths) {
      std::optional<std::size_t> covering;
      const auto search = [&](const std::uint32_t* it, const std::uint32_t* end) {
        for (; it != end && *it < i && (!covering || *it < *covering); ++it) {
          if (Covers(routes_[*it], route)) covering = *it;
        }
      };
      const auto search_key = [&](const auto& map, const std::string& key) {
        const auto found = map.find(key);
        if (found != map.end()) search(found->second.data(), found->second.data() + found->second.size());
      };
      const auto visit = [&](const Bucket& bucket) {
        if (route.hosts.empty() && bucket.host_id != 0) return;
        search(scanned_routes_.data() + bucket.scan_begin, scanned_routes_.data() + bucket.scan_end);
        if (bucket.condition_index == 0) return;
        const ConditionIndex& conditions = condition_indexes_[bucket.condition_index - 1];
        if (!route.classes.empty()) search_key(conditions.by_class, route.classes[0]);
        for (const HeaderIndex& header_index : conditions.by_header) {
          for (const HeaderCondition& condition : route.headers) {
            const bool is_same =
                condition.name == header_index.name && condition.kind == HeaderCondition::Kind::kEquals;
            if (is_same) search_key(header_index.values, condition.value);
          }
        }
      };
      // A pattern is looked up like a request's host and path: "*.x" finds the pattern itself and wider ones.
      ForEachBucket(host, path.text, !path.is_prefix, visit);
      if (!covering) return std::nullopt;
      last_covering = last_covering ? std::max(*last_covering, *covering) : *covering;
    }
  }
  return last_covering;
}

}  // namespace opalswitch::routing
