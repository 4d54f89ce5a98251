// The [control] table of the operators' file: how forkwick-control serves other proxies over xDS. The format
// is documented in docs/operators/control.md.
//
// forkwick checks the table as well, so that one file serves both programs, and ignores its settings.
// Durations are in milliseconds.
#ifndef OPALSWITCH_CONFIG_CONTROL_HPP_
#define OPALSWITCH_CONFIG_CONTROL_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::config {

class TableReader;
struct Issues;

// Proxies that get the same resources. A proxy matches a group if its id, cluster and zone each match a
// pattern of the list, or the list is empty; see MatchesPattern.
struct ControlGroup {
  std::string id;
  std::vector<std::string> node_ids, node_clusters, zones;
  std::vector<std::string> pools, listeners;  // ids of those that the group's proxies get; empty = all
  bool grpc_clients = false;                  // resources in the form that gRPC's own xDS clients accept
  bool each_endpoint = false;  // one resource for each endpoint (LEDS), for pools with thousands of hosts
};

struct ControlTls {
  std::string certificate, key;           // paths of PEM files, which are read again when they change
  std::string client_authority;           // PEM file of the proxies' CA; empty = no client certificates
  std::vector<std::string> client_names;  // a client certificate must have one of these names; empty = any
};

struct ControlSettings {
  std::string address = "127.0.0.1:18000";
  std::string socket;       // path of the Unix socket for the `status`, `drain` and `undrain` commands
  std::string drains_file;  // path of the file that keeps operators' drains over a restart; empty = none
  std::size_t max_proxies = 5000;       // connected at the same time
  Millis lease = 400, heartbeat = 100;  // of the endpoints of pools with strict drain
  Millis coalesce_delay = 200;          // how long changes other than drains wait to be sent together
  Millis load_report_interval = 1000;   // of the proxies' load reports
  double weight_change_fraction = 0.1;  // smaller relative changes of a weight are not sent
  std::optional<ControlTls> tls;
  bool plaintext_anywhere = false;   // allows addresses that are not loopback without TLS
  std::vector<ControlGroup> groups;  // a proxy belongs to the first that matches; with none it gets all
};

// Reads the table. `pools` and `listeners` are the ids defined in the file; relative paths are resolved
// against `folder`.
ControlSettings ReadControl(TableReader& reader, Issues& issues, const std::vector<std::string>& pools,
                            const std::vector<std::string>& listeners, const std::string& folder);

// Resolves a path of the file against the file's folder. Absolute and empty paths stay.
std::string ResolvePath(const std::string& folder, const std::string& file);

// Whether `name` equals `pattern`, or starts with it if the pattern ends in '*'.
bool MatchesPattern(const std::string& pattern, const std::string& name);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_CONTROL_HPP_
