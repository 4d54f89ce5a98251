// The operators' file (TOML), parsed and checked: one immutable value, from which a gateway for several
// services is built. Its form is told in docs/operators/services.md. No I/O here: the text comes from the
// caller.
//
// Durations are milliseconds, sizes bytes. Everything that names something else (a route its pool, a pool its
// classes) has been checked to exist.
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
#include "limits/pool_gate.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "routing/route_table.hpp"

namespace opalswitch::config {

// One thing that is wrong, and where. Lines and columns count from 1; 0 = the file as a whole.
struct Issue {
  std::string file;
  unsigned line = 0, column = 0;
  std::string field;  // "pool.baskets.limits.queue"; empty for the syntax
  std::string text;   // with the value found and what was expected
  std::string ToString() const;
};

struct Listener {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  bool operator==(const Listener&) const = default;
};

// A class of requests, with its effect said once for all pools.
struct ServiceClass {
  ClassSettings settings;
  std::vector<std::string> methods;  // that it may come by; empty = any
};

struct Tenant {
  std::string id;
  double quota_per_s =
      0;  // requests a second within its share, in each pool that says nothing else; 0 = unmetered
};

struct Membership {
  enum class Source { kStatic, kFile, kDiscovery };
  Source source = Source::kStatic;
  std::vector<gateway::Host> hosts;          // kStatic
  std::string file;                          // kFile: its path
  boost::asio::ip::tcp::endpoint discovery;  // kDiscovery
};

// Part of a budget that all pools share.
struct BudgetShare {
  std::uint64_t guaranteed = 0;
  std::uint64_t max = 0;  // 0 = whatever is free
  bool operator==(const BudgetShare&) const = default;
};

// What an answer of a pool's hosts means.
enum class ResponseRules {
  kPlain,     // below 500: served, whatever it says. 5xx: an error, which may have run
  kPlatform,  // 200: served. Else an error; 503 and 504 with Srv-Declined never ran
};

struct Pool {
  std::string id;
  Membership membership;
  Settings settings;  // of its module: classes with the pool's own effects, tenants with its shares
  limits::PoolLimits limits;
  double refusal_reads_per_s = 250;  // connections that were turned away, read from again each second
  BudgetShare descriptors, clients, body_memory;
  std::uint64_t max_request_bytes = 0, max_response_bytes = 0;
  Millis dial_timeout = 0, idle_timeout = 0;
  ResponseRules response_rules = ResponseRules::kPlain;
  bool strict_drain = false;  // proxies that forkwick-control can't tell of a drain stop using the pool
  std::string
      definition;  // all but the static hosts, as one text: pools with equal ones are kept at a reload
};

struct RouteRule {
  routing::Route match;
  std::size_t pool = 0;
  int class_index = -1;  // that its requests belong to; -1 = the one that the client states
};

// Headers that tell of a request; empty = clients don't tell.
struct RequestHeaders {
  std::string id, class_name, tenant, key, deadline, retry;
  bool operator==(const RequestHeaders&) const = default;
};

struct Services {
  std::string file;
  std::size_t descriptors = 1024;
  std::uint64_t memory_bytes = 128 << 20;
  bool watches_file = false;  // follow changes of the file itself
  std::string health_path;    // by which GET asks whether the gateway is ready; empty = none
  bool reports_cause = true;  // the gateway's own refusals and failures say why
  RequestHeaders headers;
  ControlSettings control;
  std::vector<Listener> listeners;
  std::vector<ServiceClass> classes;
  std::vector<Tenant> tenants;
  std::vector<Pool> pools;
  std::vector<RouteRule> routes;
  routing::RouteTable table;  // of the routes, in their order
};

struct ParsedServices {
  std::shared_ptr<const Services> services;  // null if there are issues
  std::vector<Issue> issues;                 // all that were found, in the order of the file
};

// `file` is told in issues; paths in the text are taken from `folder` unless they are absolute.
ParsedServices ParseServices(std::string_view text, const std::string& file, const std::string& folder);

// Reads and parses a file. One that can't be read is an issue like any other.
ParsedServices LoadServices(const std::string& path);

// How strict an effect is: what is stricter may be resent in fewer cases.
int Strictness(Effect effect);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_SERVICES_HPP_
