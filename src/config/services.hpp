// The operators' file (TOML): its in-memory form, and the functions that read and check it. The format is
// documented in docs/operators/services.md.
//
// Parsing gives one immutable `Services` value, from which a gateway for several services is built, or the
// list of all issues in the file. Every name that refers to something else (the pool of a route, the classes
// of a pool) has been checked to exist. Durations are in milliseconds, sizes in bytes.
//
// ParseServices does no I/O; LoadServices reads the file.
#ifndef OPALSWITCH_CONFIG_SERVICES_HPP_
#define OPALSWITCH_CONFIG_SERVICES_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/control.hpp"
#include "limits/request_limiter.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "routing/route_table.hpp"

namespace opalswitch::config {

// An error in the operators' file and its position. Lines and columns count from 1; line 0 stands for the
// file as a whole.
struct Issue {
  std::string file;
  unsigned line = 0, column = 0;
  std::string field;  // path of the field, such as "pool.baskets.limits.queue"; empty for a syntax error
  std::string text;   // the value found and what was expected instead
  // "file:line:column: field: text", without the parts that are unknown.
  std::string ToString() const;
};

struct Listener {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  bool operator==(const Listener&) const = default;
};

// A class of requests. Its effect holds in all pools; a pool may set a stricter one for its own requests.
struct ServiceClass {
  ClassSettings settings;
  std::vector<std::string> methods;  // HTTP methods that its requests may use; empty = any
};

struct Tenant {
  std::string id;
  double quota_per_s = 0;  // requests a second, in each pool that sets no other quota; 0 = unlimited
};

struct Membership {
  enum class Source { kStatic, kFile, kDiscovery };
  Source source = Source::kStatic;
  std::vector<gateway::Host> hosts;          // kStatic
  std::string file;                          // kFile: path of the list of hosts
  boost::asio::ip::tcp::endpoint discovery;  // kDiscovery: address of the discovery service
};

// A pool's share of a budget that all pools use: descriptors, client connections or bytes.
struct BudgetShare {
  std::uint64_t guaranteed = 0;
  std::uint64_t max = 0;  // 0 = no limit but the budget itself
  bool operator==(const BudgetShare&) const = default;
};

// How the status codes of a pool's hosts are interpreted.
enum class ResponseRules {
  kPlain,     // below 500: served. 5xx: an error; the request may have run
  kPlatform,  // 200: served. Any other: an error; 503 and 504 with Srv-Declined mean that it did not run
};

struct Pool {
  std::string id;
  Membership membership;
  Settings settings;  // for its decision module: classes with the pool's effects, tenants with its quotas
  limits::PoolLimits limits;
  // Connections whose last request was refused or failed are read from again at this rate, together.
  double refusal_reads_per_s = 250;
  BudgetShare descriptors, clients, body_memory;
  std::uint64_t max_request_bytes = 0, max_response_bytes = 0;  // bytes of body
  Millis dial_timeout = 0, idle_timeout = 0;
  ResponseRules response_rules = ResponseRules::kPlain;
  // forkwick-control: a proxy to which a drain can't be delivered stops using the pool when its lease
  // expires.
  bool strict_drain = false;
  // The settings that can't change while the pool runs, as text; the static hosts are not among them. A
  // reload keeps each running pool whose text is unchanged.
  std::string definition;
};

struct RouteRule {
  routing::Route match;
  std::size_t pool = 0;  // index in Services::pools
  int class_index = -1;  // index in Services::classes; -1 = the class that the client states
};

// Names of the request headers that carry a request's attributes; empty = clients do not send the attribute.
struct RequestHeaders {
  std::string id, class_name, tenant, key, deadline, retry;
  bool operator==(const RequestHeaders&) const = default;
};

constexpr std::size_t kDefaultDescriptors = 1024;
constexpr std::uint64_t kDefaultMemoryBytes = 128 << 20;

struct Services {
  std::string file;                                  // the path that issues and logs name
  std::size_t descriptors = kDefaultDescriptors;     // file descriptors that the process may use
  std::uint64_t memory_bytes = kDefaultMemoryBytes;  // memory that the process may use
  bool watches_file = false;                         // reload when the file changes
  std::string health_path;                           // path of the readiness check (GET); empty = none
  bool reports_cause = true;                         // refusals and failures carry their cause in a header
  RequestHeaders headers;
  ControlSettings control;
  std::vector<Listener> listeners;
  std::vector<ServiceClass> classes;
  std::vector<Tenant> tenants;
  std::vector<Pool> pools;
  std::vector<RouteRule> routes;
  routing::RouteTable route_table;  // compiled from `routes`, with the same indexes
};

struct ParsedServices {
  std::shared_ptr<const Services> services;  // null if there are issues
  std::vector<Issue> issues;                 // all that were found, in the order of the file
};

// Parses and checks `text`. `file` is the name used in issues; relative paths in the text are resolved
// against `folder`.
ParsedServices ParseServices(std::string_view text, const std::string& file, const std::string& folder);

// Reads and parses a file. A file that can't be read, or is larger than 32 MiB, gives an issue.
ParsedServices LoadServices(const std::string& path);

// Rank of an effect: 0 for safe, 1 for keyed, 2 for unsafe. The higher it is, the fewer cases there are in
// which a request may be retried.
int Strictness(Effect effect);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_SERVICES_HPP_
