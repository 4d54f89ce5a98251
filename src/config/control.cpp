#include "config/control.hpp"

#include <algorithm>
#include <set>

#include "base/endpoint.hpp"
#include "config/toml_reader.hpp"

namespace opalswitch::config {
namespace {

// A proxy that can't be reached goes on using a pool with strict drain until its lease expires; a drain must
// take effect within 500 ms.
constexpr Millis kMaxLeaseMs = 450;
constexpr std::size_t kMaxGroups = 1000;

// Adds an issue if one of `names` is not an id that the file defines.
void CheckNames(TableReader& reader, const char* key, const std::vector<std::string>& names,
                const std::vector<std::string>& known) {
  for (const std::string& name : names) {
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    std::string expected = "ids defined in the file:";
    for (std::size_t i = 0; i < known.size() && i < 8; ++i) expected += " \"" + known[i] + "\"";
    return reader.AddInvalid(key, expected + (known.size() > 8 ? " ..." : ""));
  }
}

// Adds an issue if a pattern has a '*' anywhere but at its end.
void CheckPatterns(TableReader& reader, const char* key, const std::vector<std::string>& patterns) {
  for (const std::string& pattern : patterns) {
    const std::size_t star = pattern.find('*');
    if (star != std::string::npos && star + 1 != pattern.size())
      return reader.AddInvalid(key, "names, or prefixes of names followed by a single '*'");
  }
}

ControlGroup ReadGroup(TableReader& reader, const std::vector<std::string>& pools,
                       const std::vector<std::string>& listeners) {
  ControlGroup group;
  group.id = reader.Required("id", reader.Name("id"), "an id for the group");
  group.node_ids = reader.Strings("node_ids");
  group.node_clusters = reader.Strings("node_clusters");
  group.zones = reader.Strings("zones");
  CheckPatterns(reader, "node_ids", group.node_ids);
  CheckPatterns(reader, "node_clusters", group.node_clusters);
  CheckPatterns(reader, "zones", group.zones);
  group.pools = reader.Strings("pools");
  group.listeners = reader.Strings("listeners");
  CheckNames(reader, "pools", group.pools, pools);
  CheckNames(reader, "listeners", group.listeners, listeners);
  group.grpc_clients = reader.Flag("grpc_clients").value_or(false);
  group.each_endpoint = reader.Flag("each_endpoint").value_or(false);
  if (group.grpc_clients && group.each_endpoint)
    reader.AddIssue("each_endpoint", "gRPC clients do not support endpoints as separate resources (LEDS)");
  return group;
}

ControlTls ReadTls(TableReader& reader, const std::string& folder) {
  ControlTls tls;
  tls.certificate = ResolvePath(
      folder, reader.Required("certificate", reader.String("certificate"), "the path of a PEM file"));
  tls.key = ResolvePath(folder, reader.Required("key", reader.String("key"), "the path of a PEM file"));
  tls.client_authority = ResolvePath(folder, reader.String("client_authority").value_or(""));
  tls.client_names = reader.Strings("client_names");
  if (!tls.client_names.empty() && tls.client_authority.empty())
    reader.AddIssue("client_names", "client names can be checked only if client_authority is set as well");
  return tls;
}

}  // namespace

std::string ResolvePath(const std::string& folder, const std::string& file) {
  return file.empty() || file[0] == '/' || folder.empty() ? file : folder + "/" + file;
}

bool MatchesPattern(const std::string& pattern, const std::string& name) {
  if (!pattern.ends_with('*')) return pattern == name;
  return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
}

ControlSettings ReadControl(TableReader& reader, Issues& issues, const std::vector<std::string>& pools,
                            const std::vector<std::string>& listeners, const std::string& folder) {
  ControlSettings control;
  control.address = reader.String("address").value_or(control.address);
  const auto address = gateway::ParseEndpoint(control.address);
  if (!address) reader.AddInvalid("address", "an IP address and port, such as \"127.0.0.1:18000\"");
  control.socket = ResolvePath(folder, reader.String("socket").value_or("forkwick-control.sock"));
  control.drains_file = ResolvePath(folder, reader.String("drains").value_or(""));
  control.max_proxies = static_cast<std::size_t>(reader.Integer("proxies", 1, 100000).value_or(5000));
  control.lease = reader.Duration("lease").value_or(control.lease);
  control.heartbeat = reader.Duration("heartbeat").value_or(control.heartbeat);
  control.coalesce_delay = reader.Duration("coalesce").value_or(control.coalesce_delay);
  control.load_report_interval = reader.Duration("report_every").value_or(control.load_report_interval);
  control.weight_change_fraction = reader.Number("threshold", 0, 10).value_or(control.weight_change_fraction);
  if (control.heartbeat * 2 > control.lease)
    reader.AddIssue(reader.Has("heartbeat") ? "heartbeat" : "lease",
                    "a lease must last for at least two heartbeats");
  if (control.lease > kMaxLeaseMs)
    reader.AddInvalid(
        "lease", "450ms at most: a drain must take effect within 500ms at a proxy that can't be reached");
  if (const auto* const table = reader.Table("tls")) {
    TableReader tls_reader(*table, reader.PathOf("tls"), issues);
    control.tls = ReadTls(tls_reader, folder);
  }
  control.plaintext_anywhere = reader.Flag("plaintext_anywhere").value_or(false);
  if (address && !control.tls && !control.plaintext_anywhere && !address->address().is_loopback()) {
    reader.AddInvalid(
        "address",
        "a loopback address, as there is no [control.tls]; plaintext_anywhere = true allows any address");
  }
  std::set<std::string> ids;
  for (const toml::table* const table : reader.Tables("group")) {
    std::string name = reader.PathOf("group[" + std::to_string(control.groups.size()) + "]");
    if (const auto* const id = table->get_as<std::string>("id"))
      name = reader.PathOf("group") + "." + id->get();
    TableReader group_reader(*table, name, issues);
    control.groups.push_back(ReadGroup(group_reader, pools, listeners));
    if (!ids.insert(control.groups.back().id).second)
      group_reader.AddInvalid("id", "an id that no earlier group has");
  }
  if (control.groups.size() > kMaxGroups)
    reader.AddIssue("group",
                    "found " + std::to_string(control.groups.size()) + " groups, expected at most 1000");
  return control;
}

}  // namespace opalswitch::config
