// Which route a request takes: the first in the order of the file whose conditions all hold.
//
// The table is compiled once and never changes. A look-up costs some hash probes for the parts of the
// request's host and path, however many routes there are; only routes that share host, path, class and header
// condition alike are tried one after the other. No I/O, no clock.
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

struct HeaderCondition {
  enum class Kind { kPresent, kAbsent, kEquals };
  std::string name;  // compared without case
  Kind kind = Kind::kPresent;
  std::string value;  // kEquals: compared to the letter
  bool operator==(const HeaderCondition&) const = default;
};

struct PathCondition {
  bool is_prefix = false;  // on segment borders: "/a" takes "/a" and "/a/b", never "/ab"
  std::string text;        // in normal form; a prefix without a last slash, "" takes every path
  bool operator==(const PathCondition&) const = default;
};

// An empty list puts no condition. Of a list's items one must hold; of headers all.
struct Route {
  std::string id;
  std::vector<std::string> hosts;  // lower case; "*.x" takes every name that ends in ".x", not x itself
  std::vector<PathCondition> paths;
  std::vector<std::string> methods;
  std::vector<HeaderCondition> headers;
  std::vector<std::string> classes;    // that a client states
  std::vector<std::string> listeners;  // ids of those that it came in by
};

// What of a request decides its route. Views into the request.
struct Request {
  std::string_view host, path, method, class_name, listener;
  std::vector<std::pair<std::string_view, std::string_view>> headers = {};  // those that header_names() lists
};

class RouteTable {
 public:
  RouteTable() : RouteTable(std::vector<Route>{}) {}
  explicit RouteTable(std::vector<Route> routes);

  const std::vector<Route>& routes() const { return routes_; }
  // Headers that some route asks for, in lower case.
  const std::vector<std::string>& header_names() const { return header_names_; }

  // The place of the route in the list; nothing if none takes the request.
  std::optional<std::size_t> Match(const Request& request) const;

  // Why each route before the one that matches does not, in their order; all of them if none matches.
  std::vector<std::string> Explain(const Request& request) const;

  // An earlier route that takes all that route `i` could take; nothing if `i` can be reached.
  std::optional<std::size_t> ShadowedBy(std::size_t i) const;

 private:
  using RouteIndexes = std::vector<std::uint32_t>;  // rising
  struct HeaderIndex {
    std::string name;
    std::unordered_map<std::string, RouteIndexes> values;
  };
  // Routes that ask for a class or for a header's value, found by it.
  struct ConditionIndex {
    std::unordered_map<std::string, RouteIndexes> by_class;
    std::vector<HeaderIndex> by_header;
  };
  // The routes of one host pattern and one path pattern, by what else they ask for. Small, and with its texts
  // in one block with all others': a look-up in a large table waits for memory more than for anything else.
  struct Bucket {
    std::uint32_t host_id = 0;
    std::uint32_t path_offset = 0;  // where its path begins in path_text_
    std::uint32_t path_length = 0;
    std::uint32_t scan_begin = 0, scan_end = 0;  // in scanned_routes_, once compiled
    std::uint32_t condition_index = 0;           // in condition_indexes_, from 1; 0 = none
    bool is_prefix = false;
  };
  // Open addressing over a power of two of slots.
  struct HashIndex {
    struct Slot {
      std::uint32_t hash = 0;
      std::uint32_t item = 0;  // from 1; 0 = empty
    };
    std::vector<Slot> slots = std::vector<Slot>(16);
    std::size_t used = 0;
    template <typename Matches>
    std::uint32_t Find(std::uint64_t hash, Matches matches) const;  // 0 if there is none
    void Add(std::uint64_t hash, std::uint32_t item);
  };
  // Host patterns by their text; a host's id is its item.
  struct HostPatternIndex {
    HashIndex index;
    std::vector<std::string> patterns;  // by item - 1
    std::vector<std::uint32_t> ids;
    std::uint32_t Find(std::string_view name) const;  // 0 if there is none
  };

  const Bucket* FindBucket(std::uint64_t hash, std::uint32_t host_id, bool is_prefix,
                           std::string_view path) const;
  using PathOffsets =
      std::unordered_map<std::string, std::uint32_t>;  // paths, and where they begin in path_text_
  std::uint32_t AddBucket(std::uint32_t host_id, bool is_prefix, const std::string& path,
                          PathOffsets& offsets);
  std::string_view PathOf(const Bucket& bucket) const {
    return {path_text_.data() + bucket.path_offset, bucket.path_length};
  }
  // Calls `visit` with each bucket whose host and path patterns take these.
  template <typename Visit>
  void ForEachBucket(std::string_view host, std::string_view path, bool with_exact, Visit visit) const;
  bool MeetsOtherConditions(std::uint32_t route_index, const Request& request) const;

  std::vector<Route> routes_;
  std::vector<std::string> header_names_;
  std::vector<char> has_other_conditions_;       // by route: whether it has conditions beside host and path
  HostPatternIndex exact_hosts_, suffix_hosts_;  // host patterns; host 0 is "any"
  HashIndex bucket_index_;                       // of the buckets
  std::vector<Bucket> buckets_;
  std::string path_text_;
  RouteIndexes scanned_routes_;
  std::vector<ConditionIndex> condition_indexes_;
  std::vector<std::uint32_t> max_prefix_depth_;  // by host: segments of its longest prefix
  std::vector<char> has_empty_prefix_;           // by host: whether it has the prefix ""
};

}  // namespace opalswitch::routing

#endif  // OPALSWITCH_ROUTING_ROUTE_TABLE_HPP_
