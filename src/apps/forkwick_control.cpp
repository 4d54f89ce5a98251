// forkwick-control: serves the routes, weights and drains of an operators' file to other proxies over xDS.
// The main thread watches the file and the membership, one thread makes the decisions, and gRPC has its own
// threads.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "apps/run_loop.hpp"
#include "base/clock.hpp"
#include "base/file_watcher.hpp"
#include "config/services.hpp"
#include "membership/host_source.hpp"
#include "xds/control_plane.hpp"
#include "xds/control_server.hpp"
#include "xds/drain_file.hpp"
#include "xds/operator_server.hpp"
#include "xds/tls.hpp"

namespace {

namespace config = opalswitch::config;
namespace gw = opalswitch::gateway;
namespace xds = opalswitch::xds;
namespace asio = boost::asio;
using opalswitch::Millis;
using opalswitch::apps::PrintIssues;
using opalswitch::apps::RandomSeed;
using opalswitch::apps::RunLoop;

enum ExitCode { kDone = 0, kFailed = 1, kUsage = 2 };

void LogLine(const std::string& text) { std::fprintf(stderr, "forkwick-control: %s\n", text.c_str()); }

xds::ControlServerOptions MakeServerOptions(const config::ControlSettings& control) {
  xds::ControlServerOptions options;
  options.address = control.address;
  if (control.tls) {
    options.credentials = xds::MakeCredentials(*control.tls);
    options.client_names = control.tls->client_names;
  }
  options.plaintext_anywhere = control.plaintext_anywhere;
  options.hub.max_streams = control.max_proxies;
  options.hub.coalescing_delay = control.coalesce_delay;
  options.hub.lease_duration = control.lease;
  options.hub.heartbeat_interval = control.heartbeat;
  options.started_at = gw::Now();
  options.load_report_interval = control.load_report_interval;
  return options;
}

// The running service: the xDS server, the operators' socket, and the host sources of the pools.
class ControlService {
 public:
  ControlService(asio::io_context& io, std::shared_ptr<const config::Services> services)
      : io_(io), drain_file_(services->control.drains_file) {
    auto options = MakeServerOptions(services->control);
    options.on_tick = [this](xds::StreamHub&, Millis now) {
      return control_ ? control_->Tick(now) : xds::ControlPlane::OutgoingMessages();
    };
    options.on_load_report = [this](const xds::ProxyNode& proxy, const std::vector<xds::LoadReport>& reports,
                                    Millis now) {
      if (control_) control_->AddLoadReports(proxy, reports, now);
    };
    const auto drained = drain_file_.Read();  // before any proxy is served
    server_ = std::make_unique<xds::ControlServer>(std::move(options));
    server_->RunOnDecisionThread([&](xds::StreamHub& hub, Millis now) {
      control_ = std::make_unique<xds::ControlPlane>(hub, RandomSeed(), LogLine);
      control_->RestoreDrains(drained);
      return control_->Configure(services, now);
    });
    operator_server_ = std::make_unique<xds::OperatorServer>(
        services->control.socket, *server_, control_,
        [this](const std::set<std::string>& nodes) { drain_file_.Write(nodes); });
    UpdateSources(*services);
    services_ = std::move(services);
  }

  int port() const { return server_->port(); }

  void Reload(std::shared_ptr<const config::Services> services) {
    const config::ControlSettings &old = services_->control, &updated = services->control;
    if (old.address != updated.address || old.socket != updated.socket || old.lease != updated.lease ||
        old.heartbeat != updated.heartbeat || old.max_proxies != updated.max_proxies ||
        old.drains_file != updated.drains_file) {
      LogLine(
          "changes of control.address, socket, drains, proxies, lease and heartbeat take effect at the next "
          "start");
    }
    server_->RunOnDecisionThread(
        [&](xds::StreamHub&, Millis now) { return control_->Configure(services, now); });
    UpdateSources(*services);
    services_ = std::move(services);
  }

 private:
  // Keeps the host sources of pools whose definition is unchanged, and starts new ones for the others.
  void UpdateSources(const config::Services& services) {
    std::map<std::string, PoolSource> next;
    std::vector<gw::HostSource*> started;
    for (const config::Pool& pool : services.pools) {
      const auto found = sources_.find(pool.id);
      if (found != sources_.end() && found->second.definition == pool.definition) {
        next[pool.id] = std::move(found->second);
        next[pool.id].source->SetStaticHosts(pool.membership.hosts);
        continue;
      }
      gw::HostSource::Handlers handlers{
          [this, id = pool.id](const gw::HostList& list) {
            server_->RunOnDecisionThread(
                [&](xds::StreamHub&, Millis now) { return control_->UpdateMembership(id, list, now); });
          },
          [] {}, [id = pool.id](const std::string& text) { LogLine("pool " + id + ": " + text); }};
      PoolSource& pool_source = next[pool.id];
      pool_source.definition = pool.definition;
      pool_source.source = gw::MakeHostSource(io_, pool.membership, std::move(handlers));
      started.push_back(pool_source.source.get());
    }
    sources_ = std::move(next);
    for (gw::HostSource* const source : started) source->Start();
  }

  struct PoolSource {
    std::string definition;
    std::unique_ptr<gw::HostSource> source;
  };

  asio::io_context& io_;
  xds::DrainFile drain_file_;
  std::shared_ptr<const config::Services> services_;
  std::unique_ptr<xds::ControlPlane> control_;  // used by the decision thread, so it must outlive server_
  std::unique_ptr<xds::ControlServer> server_;
  std::unique_ptr<xds::OperatorServer> operator_server_;
  std::map<std::string, PoolSource> sources_;
};

int Run(const std::string& path) {
  const auto initial = config::LoadServices(path);
  if (!initial.services) return PrintIssues(initial.issues, stderr), kFailed;
  asio::io_context io(1);
  ControlService service(io, initial.services);
  std::unique_ptr<gw::FileWatcher> watcher;
  const auto reload = [&] {
    const auto next = config::LoadServices(path);
    if (!next.services) {
      LogLine("not reloaded, " + std::to_string(next.issues.size()) + " faults in the file:");
      return PrintIssues(next.issues, stderr);
    }
    service.Reload(next.services);
    LogLine("reloaded " + path);
  };
  if (initial.services->watches_file) watcher = std::make_unique<gw::FileWatcher>(io, path, reload);
  const std::string& address = initial.services->control.address;
  LogLine("serves xDS at " + address.substr(0, address.rfind(':') + 1) + std::to_string(service.port()));
  RunLoop(
      io, [](auto done) { done(); }, reload);
  return kDone;
}

int Main(int argc, char** argv) {
  CLI::App app("Serves the routes, weights and drains of an operators' file to other proxies over xDS.",
               "forkwick-control");
  app.require_subcommand(1);
  std::string file, socket, node;
  bool json = false, wait = false;
  double timeout_s = 0;
  auto* const run = app.add_subcommand("run", "serve until SIGTERM; SIGHUP reloads the file");
  run->add_option("--config", file, "the operators' file")->required();
  const auto add_client_command = [&](const char* name, const char* description) {
    auto* const command = app.add_subcommand(name, description);
    auto* const by_file =
        command->add_option("--config", file, "the operators' file, whose control.socket is used");
    command->add_option("--socket", socket, "the path of the control socket")->excludes(by_file);
    return command;
  };
  auto* const status = add_client_command("status", "print what proxies are sent, and what they reject");
  status->add_flag("--json", json, "print JSON");
  auto* const drain = add_client_command("drain",
                                         "stop all proxies from sending requests to a node until it is "
                                         "undrained: exit code 4 if some proxies have not answered yet");
  drain->add_option("node", node, "the id of the node")->required();
  drain->add_flag("--wait", wait, "wait until each proxy has answered or its lease has expired");
  drain->add_option("--timeout", timeout_s, "seconds to wait at most")->check(CLI::PositiveNumber);
  auto* const undrain = add_client_command("undrain", "undo an operator's drain");
  undrain->add_option("node", node, "the id of the node")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  if (run->parsed()) return Run(file);
  if (socket.empty()) {
    if (file.empty())
      return std::fprintf(stderr, "forkwick-control: --config or --socket is required\n"), kUsage;
    const auto parsed = config::LoadServices(file);
    if (!parsed.services) return PrintIssues(parsed.issues, stderr), kFailed;
    socket = parsed.services->control.socket;
  }
  if (status->parsed()) return xds::ShowStatus(socket, json);
  if (drain->parsed()) return xds::DrainNode(socket, node, wait, timeout_s * 1000);
  return xds::UndrainNode(socket, node);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    LogLine(error.what());
    return kFailed;
  }
}
