#include "config/control.hpp"

#include <algorithm>
#include <set>

#include "base/endpoint.hpp"
#include "config/toml_reader.hpp"

namespace opalswitch::config {
namespace {

void CheckNames(TableReader& f, const char* key, const std::vector<std::string>& names,
                const std::vector<std::string>& known) {
  for (const std::string& name : names) {
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    std::string expected = "ids that the file has:";
    for (std::size_t i = 0; i < known.size() && i < 8; ++i) expected += " \"" + known[i] + "\"";
    return f.AddInvalid(key, expected + (known.size() > 8 ? " ..." : ""));
  }
}

void CheckPatterns(TableReader& f, const char* key, const std::vector<std::string>& patterns) {
  for (const std::string& pattern : patterns) {
    const std::size_t star = pattern.find('*');
    if (star != std::string::npos && star + 1 != pattern.size())
      return f.AddInvalid(key, "names, or beginnings of names with one '*' at their end");
  }
}

ControlGroup ReadGroup(TableReader& f, const std::vector<std::string>& pools,
                       const std::vector<std::string>& listeners) {
  ControlGroup group;
  group.id = f.Required("id", f.Name("id"), "a name for the group");
  group.node_ids = f.Strings("node_ids");
  group.node_clusters = f.Strings("node_clusters");
  group.zones = f.Strings("zones");
  CheckPatterns(f, "node_ids", group.node_ids);
  CheckPatterns(f, "node_clusters", group.node_clusters);
  CheckPatterns(f, "zones", group.zones);
  group.pools = f.Strings("pools");
  group.listeners = f.Strings("listeners");
  CheckNames(f, "pools", group.pools, pools);
  CheckNames(f, "listeners", group.listeners, listeners);
  group.grpc_clients = f.Flag("grpc_clients").value_or(false);
  group.each_endpoint = f.Flag("each_endpoint").value_or(false);
  if (group.grpc_clients && group.each_endpoint)
    f.AddIssue("each_endpoint", "gRPC's clients know endpoints in whole lists alone");
  return group;
}

ControlTls ReadTls(TableReader& f, const std::string& folder) {
  ControlTls tls;
  tls.certificate = PathIn(folder, f.Required("certificate", f.String("certificate"), "a file in PEM"));
  tls.key = PathIn(folder, f.Required("key", f.String("key"), "a file in PEM"));
  tls.client_authority = PathIn(folder, f.String("client_authority").value_or(""));
  tls.client_names = f.Strings("client_names");
  if (!tls.client_names.empty() && tls.client_authority.empty())
    f.AddIssue("client_names", "names can be checked only with a client_authority beside them");
  return tls;
}

}  // namespace

std::string PathIn(const std::string& folder, const std::string& file) {
  return file.empty() || file[0] == '/' || folder.empty() ? file : folder + "/" + file;
}

bool MatchesPattern(const std::string& pattern, const std::string& name) {
  if (!pattern.ends_with('*')) return pattern == name;
  return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
}

ControlSettings ReadControl(TableReader& f, Issues& issues, const std::vector<std::string>& pools,
                            const std::vector<std::string>& listeners, const std::string& folder) {
  ControlSettings control;
  control.address = f.String("address").value_or(control.address);
  const auto address = gateway::ParseEndpoint(control.address);
  if (!address) f.AddInvalid("address", "an IP address and port, such as \"127.0.0.1:18000\"");
  control.socket = PathIn(folder, f.String("socket").value_or("forkwick-control.sock"));
  control.drains = PathIn(folder, f.String("drains").value_or(""));
  control.proxies = static_cast<std::size_t>(f.Integer("proxies", 1, 100000).value_or(5000));
  control.lease = f.Duration("lease").value_or(control.lease);
  control.heartbeat = f.Duration("heartbeat").value_or(control.heartbeat);
  control.coalesce = f.Duration("coalesce").value_or(control.coalesce);
  control.report_every = f.Duration("report_every").value_or(control.report_every);
  control.threshold = f.Number("threshold", 0, 10).value_or(control.threshold);
  if (control.heartbeat * 2 > control.lease)
    f.AddIssue(f.Has("heartbeat") ? "heartbeat" : "lease",
               "a lease must last for two heartbeats at the least");
  if (control.lease > 450)
    f.AddInvalid("lease", "450ms at most: a drain must hold within 500ms for a proxy that can't be told");
  if (const auto* const table = f.Table("tls")) {
    TableReader t(*table, f.PathOf("tls"), issues);
    control.tls = ReadTls(t, folder);
  }
  control.plaintext_anywhere = f.Flag("plaintext_anywhere").value_or(false);
  if (address && !control.tls && !control.plaintext_anywhere && !address->address().is_loopback()) {
    f.AddInvalid("address",
                 "a loopback address, for there is no [control.tls]; plaintext_anywhere = true allows it");
  }
  std::set<std::string> ids;
  for (const toml::table* const table : f.Tables("group")) {
    std::string name = f.PathOf("group[" + std::to_string(control.groups.size()) + "]");
    if (const auto* const id = table->get_as<std::string>("id")) name = f.PathOf("group") + "." + id->get();
    TableReader g(*table, name, issues);
    control.groups.push_back(ReadGroup(g, pools, listeners));
    if (!ids.insert(control.groups.back().id).second) g.AddInvalid("id", "one that no earlier group has");
  }
  if (control.groups.size() > 1000) f.AddIssue("group", "more than 1000 of them");
  return control;
}

}  // namespace opalswitch::config
