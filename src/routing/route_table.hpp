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
  bool prefix = false;  // on segment borders: "/a" takes "/a" and "/a/b", never "/ab"
  std::string text;     // in normal form; a prefix without a last slash, "" takes every path
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
  using Places = std::vector<std::uint32_t>;  // rising
  struct ByHeader {
    std::string name;
    std::unordered_map<std::string, Places> values;
  };
  // Routes that ask for a class or for a header's value, found by it.
  struct Special {
    std::unordered_map<std::string, Places> by_class;
    std::vector<ByHeader> by_header;
  };
  // The routes of one host pattern and one path pattern, by what else they ask for. Small, and with its texts
  // in one block with all others': a look-up in a large table waits for memory more than for anything else.
  struct Bucket {
    std::uint32_t host = 0;
    std::uint32_t text = 0;  // where its path begins in texts_
    std::uint32_t length = 0;
    std::uint32_t plain = 0, plain_end = 0;  // in places_, once compiled
    std::uint32_t special = 0;               // in specials_, from 1; 0 = none
    bool prefix = false;
  };
  // Open addressing over a power of two of slots.
  struct Index {
    struct Slot {
      std::uint32_t hash = 0;
      std::uint32_t item = 0;  // from 1; 0 = empty
    };
    std::vector<Slot> slots = std::vector<Slot>(16);
    std::size_t used = 0;
    template <typename Is>
    std::uint32_t Find(std::uint64_t hash, Is is) const;  // 0 if there is none
    void Add(std::uint64_t hash, std::uint32_t item);
  };
  // Host patterns by their text; a host's id is its item.
  struct Names {
    Index index;
    std::vector<std::string> texts;  // by item - 1
    std::vector<std::uint32_t> ids;
    std::uint32_t Find(std::string_view name) const;  // 0 if there is none
  };

  const Bucket* Find(std::uint64_t hash, std::uint32_t host, bool prefix, std::string_view path) const;
  using Texts = std::unordered_map<std::string, std::uint32_t>;  // paths, and where they begin in texts_
  std::uint32_t Add(std::uint32_t host, bool prefix, const std::string& path, Texts& texts);
  std::string_view TextOf(const Bucket& bucket) const { return {texts_.data() + bucket.text, bucket.length}; }
  // Calls `visit` with each bucket whose host and path patterns take these.
  template <typename Visit>
  void ForEach(std::string_view host, std::string_view path, bool exact, Visit visit) const;
  bool Rest(std::uint32_t place, const Request& request) const;

  std::vector<Route> routes_;
  std::vector<std::string> header_names_;
  std::vector<char> asks_;  // by route: whether it has conditions beside host and path
  Names exact_, suffix_;    // host patterns; host 0 is "any"
  Index index_;             // of the buckets
  std::vector<Bucket> buckets_;
  std::string texts_;
  Places places_;
  std::vector<Special> specials_;
  std::vector<std::uint32_t> depth_;  // by host: segments of its longest prefix
  std::vector<char> any_path_;        // by host: whether it has the prefix ""
};

}  // namespace opalswitch::routing

#endif  // OPALSWITCH_ROUTING_ROUTE_TABLE_HPP_
