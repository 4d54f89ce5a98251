// The [control] table of the operators' file: how forkwick-control serves proxies. Form:
// docs/operators/control.md. The gateway reads it too, so that one file serves both, and makes nothing of it.
//
// Durations are milliseconds.
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

// Proxies that are told the same. A list that is empty takes any; patterns may end in '*'.
struct ControlGroup {
  std::string id;
  std::vector<std::string> node_ids, node_clusters, zones;
  std::vector<std::string> pools, listeners;  // that they are told of; empty = all
  bool grpc_clients = false;
  bool each_endpoint = false;  // endpoints as resources of their own (LEDS), for lists of thousands
};

struct ControlTls {
  std::string certificate, key;           // files in PEM, read again when they change
  std::string client_authority;           // of the proxies' certificates; empty = none are asked for
  std::vector<std::string> client_names;  // that a proxy's certificate must hold one of; empty = any
};

struct ControlSettings {
  std::string address = "127.0.0.1:18000";
  std::string socket;              // of `status` and `drain`: a path, in the file's folder unless absolute
  std::string drains_file;         // a file that keeps operators' drains over a restart; empty = none
  std::size_t max_proxies = 5000;  // at once
  Millis lease = 400, heartbeat = 100;  // of strict pools
  Millis coalesce_delay = 200;          // changes that are no drain wait so long for their like
  Millis load_report_interval = 1000;   // proxies are asked for load reports so often
  double weight_change_fraction = 0.1;  // a weight that moves by less than this part of itself is not sent
  std::optional<ControlTls> tls;
  bool plaintext_anywhere = false;   // without TLS on addresses that are not loopback
  std::vector<ControlGroup> groups;  // the first that takes a proxy counts; one that none takes sees all
};

// Reads the table. `pools` and `listeners` are the ids that there are; relative paths are taken from
// `folder`.
ControlSettings ReadControl(TableReader& fields, Issues& issues, const std::vector<std::string>& pools,
                            const std::vector<std::string>& listeners, const std::string& folder);

// A path of the file's: taken from its folder unless it is absolute.
std::string ResolvePath(const std::string& folder, const std::string& file);

// Whether a pattern, which may end in '*', takes a name.
bool MatchesPattern(const std::string& pattern, const std::string& name);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_CONTROL_HPP_
