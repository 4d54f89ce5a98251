// The route table: finds the first route, in the order of the configuration, whose conditions all match a
// request.
//
// The table is compiled once and is immutable. A lookup takes a few hash probes for each label of the
// request's host and each segment of its path, however many routes there are. Routes are tried one after the
// other only if they have the same host pattern, path pattern and class or header condition. No I/O, no
// clock.
#ifndef OPALSWITCH_ROUTING_ROUTE_TABLE_HPP_
#define OPALSWITCH_ROUTING_ROUTE_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace opalswitch::routing {

// A condition on one request header.
struct HeaderCondition {
  enum class Kind { kPresent, kAbsent, kEquals };
  std::string name;  // compared case-insensitively
  Kind kind = Kind::kPresent;
  std::string value;  // kEquals: compared case-sensitively
  bool operator==(const HeaderCondition&) const = default;
};

// A condition on the normalized path.
struct PathCondition {
  bool is_prefix = false;  // by whole segments: "/a" matches "/a" and "/a/b", not "/ab"
  std::string text;        // normalized; a prefix has no trailing slash, and "" matches every path
  bool operator==(const PathCondition&) const = default;
};

// The conditions of a route. An empty list is no condition. One item of each list must match; of `headers`,
// all must.
struct Route {
  std::string id;
  std::vector<std::string> hosts;  // lower case; "*.x" matches names that end in ".x", but not "x"
  std::vector<PathCondition> paths;
  std::vector<std::string> methods;
  std::vector<HeaderCondition> headers;
  std::vector<std::string> classes;    // stated by the client
  std::vector<std::string> listeners;  // ids of the listeners
};

// The parts of a request that routes match. Views into the request; host and path are normalized.
struct Request {
  std::string_view host, path, method, class_name, listener;
  std::vector<std::pair<std::string_view, std::string_view>> headers = {};  // of those in header_names()
};

// A compiled list of routes. A route's index is its position in the list.
class RouteTable {
 public:
  RouteTable() : RouteTable(std::vector<Route>{}) {}
  explicit RouteTable(std::vector<Route> routes);

  const std::vector<Route>& routes() const { return routes_; }
  // Names of all headers that routes have conditions on, in lower case.
  const std::vector<std::string>& header_names() const { return header_names_; }

  // Returns the index of the first route that matches; nothing if none does.
  std::optional<std::size_t> Match(const Request& request) const;

  // Returns, for each route before the first that matches (for all routes if none does), the first condition
  // that does not match.
  std::vector<std::string> Explain(const Request& request) const;

  // Finds out whether earlier routes match all requests of route `i`: for each pair of its hosts and paths
  // there must be one that matches every request of the pair. Returns the last of them; nothing if a pair has
  // none.
  std::optional<std::size_t> ShadowedBy(std::size_t i) const;

 private:
  using RouteIndexes = std::vector<std::uint32_t>;  // ascending
  // Routes with an equality condition on one header, by the value.
  struct HeaderIndex {
    std::string name;
    std::unordered_map<std::string, RouteIndexes> values;
  };
  // Routes that are looked up by their class or, without one, by the value of their first equality condition.
  struct ConditionIndex {
    std::unordered_map<std::string, RouteIndexes> by_class;
    std::vector<HeaderIndex> by_header;
  };
  // The routes of one pair of a host pattern and a path pattern. Buckets are small, and the texts of all
  // paths are in one string, as memory latency dominates a lookup in a large table.
  struct Bucket {
    std::uint32_t host_id = 0;
    std::uint32_t path_offset = 0;  // of its path in path_text_
    std::uint32_t path_length = 0;
    // Range in scanned_routes_: the routes with neither a class nor an equality condition, tried in order.
    std::uint32_t scan_begin = 0, scan_end = 0;
    std::uint32_t condition_index = 0;  // index in condition_indexes_ plus 1; 0 = none
    bool is_prefix = false;
  };
  // A hash table with open addressing and linear probing. The number of slots is a power of two.
  struct HashIndex {
    struct Slot {
      std::uint32_t hash = 0;
      std::uint32_t item = 0;  // index plus 1; 0 = empty
    };
    std::vector<Slot> slots = std::vector<Slot>(16);
    std::size_t used = 0;
    template <typename Matches>
    std::uint32_t Find(std::uint64_t hash, Matches matches) const;  // 0 if there is none
    void Add(std::uint64_t hash, std::uint32_t item);
  };
  // The ids of host patterns, by their text.
  struct HostPatternIndex {
    HashIndex index;
    std::vector<std::string> patterns;  // by item - 1
    std::vector<std::uint32_t> ids;
    std::uint32_t Find(std::string_view name) const;  // 0 if there is none
  };

  const Bucket* FindBucket(std::uint64_t hash, std::uint32_t host_id, bool is_prefix,
                           std::string_view path) const;
  using PathOffsets = std::unordered_map<std::string, std::uint32_t>;  // offset in path_text_, by path
  std::uint32_t AddBucket(std::uint32_t host_id, bool is_prefix, const std::string& path,
                          PathOffsets& offsets);
  std::string_view PathOf(const Bucket& bucket) const {
    return {path_text_.data() + bucket.path_offset, bucket.path_length};
  }
  // Calls `visit` for each bucket whose host and path patterns match. `with_exact`: includes path patterns
  // that are no prefixes.
  template <typename Visit>
  void ForEachBucket(std::string_view host, std::string_view path, bool with_exact, Visit visit) const;
  bool MeetsOtherConditions(std::uint32_t route_index, const Request& request) const;

  std::vector<Route> routes_;
  std::vector<std::string> header_names_;
  std::vector<char> has_other_conditions_;       // by route: on other things than host and path
  HostPatternIndex exact_hosts_, suffix_hosts_;  // by name, "*." removed; host id 0 is "any host"
  HashIndex bucket_index_;                       // buckets, by host id and path
  std::vector<Bucket> buckets_;
  std::string path_text_;
  RouteIndexes scanned_routes_;
  std::vector<ConditionIndex> condition_indexes_;
  std::vector<std::uint32_t> max_prefix_depth_;  // by host id: segments of its longest prefix
  std::vector<char> has_empty_prefix_;           // by host id: whether there is a bucket for the prefix ""
};

}  // namespace opalswitch::routing

#endif  // OPALSWITCH_ROUTING_ROUTE_TABLE_HPP_
