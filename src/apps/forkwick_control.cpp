// forkwick-control: hands the decisions of an operators' file to other proxies over xDS. The main thread
// follows the file and the membership; one thread decides; gRPC has its own.
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

enum Exit { kDone = 0, kFailed = 1, kUsage = 2 };

void Say(const std::string& text) { std::fprintf(stderr, "forkwick-control: %s\n", text.c_str()); }

xds::ControlServerOptions OptionsOf(const config::ControlSettings& control) {
  xds::ControlServerOptions options;
  options.address = control.address;
  if (control.tls) {
    options.credentials = xds::MakeCredentials(*control.tls);
    options.client_names = control.tls->client_names;
  }
  options.plaintext_anywhere = control.plaintext_anywhere;
  options.hub.max_streams = control.proxies;
  options.hub.coalescing_delay = control.coalesce;
  options.hub.lease_duration = control.lease;
  options.hub.heartbeat_interval = control.heartbeat;
  options.started_at = gw::Now();
  options.load_report_interval = control.report_every;
  return options;
}

// What runs: the service, and the sources of its pools' hosts.
class Running {
 public:
  Running(asio::io_context& io, std::shared_ptr<const config::Services> services)
      : io_(io), drains_(services->control.drains) {
    auto options = OptionsOf(services->control);
    options.on_tick = [this](xds::StreamHub&, Millis now) {
      return control_ ? control_->Tick(now) : xds::ControlPlane::OutgoingMessages();
    };
    options.on_load_report = [this](const xds::ProxyNode& proxy, const std::vector<xds::LoadReport>& reports,
                                    Millis now) {
      if (control_) control_->AddLoadReports(proxy, reports, now);
    };
    const auto drained = drains_.Read();  // before anybody is told anything
    server_ = std::make_unique<xds::ControlServer>(std::move(options));
    server_->RunOnDecisionThread([&](xds::StreamHub& hub, Millis now) {
      control_ = std::make_unique<xds::ControlPlane>(hub, RandomSeed(), Say);
      control_->RestoreDrains(drained);
      return control_->Configure(services, now);
    });
    operators_ = std::make_unique<xds::OperatorServer>(
        services->control.socket, *server_, control_,
        [this](const std::set<std::string>& nodes) { drains_.Write(nodes); });
    Follow(*services);
    services_ = std::move(services);
  }

  int port() const { return server_->port(); }

  void Reload(std::shared_ptr<const config::Services> services) {
    const config::ControlSettings &old = services_->control, &now_wanted = services->control;
    if (old.address != now_wanted.address || old.socket != now_wanted.socket ||
        old.lease != now_wanted.lease || old.heartbeat != now_wanted.heartbeat ||
        old.proxies != now_wanted.proxies || old.drains != now_wanted.drains) {
      Say("control.address, socket, drains, proxies, lease and heartbeat count from the next start");
    }
    server_->RunOnDecisionThread(
        [&](xds::StreamHub&, Millis now) { return control_->Configure(services, now); });
    Follow(*services);
    services_ = std::move(services);
  }

 private:
  // Sources of pools whose definition stays are kept, those of others begin anew.
  void Follow(const config::Services& services) {
    std::map<std::string, Followed> next;
    std::vector<gw::HostSource*> begin;
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
          [] {}, [id = pool.id](const std::string& text) { Say("pool " + id + ": " + text); }};
      Followed& to = next[pool.id];
      to.definition = pool.definition;
      to.source = gw::MakeHostSource(io_, pool.membership, std::move(handlers));
      begin.push_back(to.source.get());
    }
    sources_ = std::move(next);
    for (gw::HostSource* const source : begin) source->Start();
  }

  struct Followed {
    std::string definition;
    std::unique_ptr<gw::HostSource> source;
  };

  asio::io_context& io_;
  xds::DrainFile drains_;
  std::shared_ptr<const config::Services> services_;
  std::unique_ptr<xds::ControlPlane> control_;  // of the deciding thread; ends after it
  std::unique_ptr<xds::ControlServer> server_;
  std::unique_ptr<xds::OperatorServer> operators_;
  std::map<std::string, Followed> sources_;
};

int Run(const std::string& path) {
  const auto first = config::LoadServices(path);
  if (!first.services) return PrintIssues(first.issues, stderr), kFailed;
  asio::io_context io(1);
  Running running(io, first.services);
  std::unique_ptr<gw::FileWatcher> watch;
  const auto reload = [&] {
    const auto next = config::LoadServices(path);
    if (!next.services) {
      Say("not reloaded, " + std::to_string(next.issues.size()) + " faults in the file:");
      return PrintIssues(next.issues, stderr);
    }
    running.Reload(next.services);
    Say("reloaded " + path);
  };
  if (first.services->watches_file) watch = std::make_unique<gw::FileWatcher>(io, path, reload);
  const std::string& address = first.services->control.address;
  Say("serves xDS at " + address.substr(0, address.rfind(':') + 1) + std::to_string(running.port()));
  RunLoop(
      io, [](auto done) { done(); }, reload);
  return kDone;
}

int Main(int argc, char** argv) {
  CLI::App app("Hands the routes, weights and drains of an operators' file to other proxies, over xDS.",
               "forkwick-control");
  app.require_subcommand(1);
  std::string file, socket, node;
  bool json = false, wait = false;
  double most = 0;
  auto* const run = app.add_subcommand("run", "serve until SIGTERM; SIGHUP reloads the file");
  run->add_option("--config", file, "the operators' file")->required();
  const auto add_asking = [&](const char* name, const char* what) {
    auto* const command = app.add_subcommand(name, what);
    auto* const by_file =
        command->add_option("--config", file, "the operators' file, for its control.socket");
    command->add_option("--socket", socket, "the socket itself")->excludes(by_file);
    return command;
  };
  auto* const status = add_asking("status", "tell what proxies are told, and what they reject");
  status->add_flag("--json", json, "for programs");
  auto* const drain = add_asking(
      "drain",
      "have no proxy send to a node, until it is undrained: exit code 4 if proxies are still waited for");
  drain->add_option("node", node, "its id")->required();
  drain->add_flag("--wait", wait, "return when every proxy has answered, or its lease has run out");
  drain->add_option("--timeout", most, "seconds to wait at the most")->check(CLI::PositiveNumber);
  auto* const undrain = add_asking("undrain", "take an operator's drain back");
  undrain->add_option("node", node, "its id")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  if (run->parsed()) return Run(file);
  if (socket.empty()) {
    if (file.empty())
      return std::fprintf(stderr, "forkwick-control: --config or --socket is missing\n"), kUsage;
    const auto parsed = config::LoadServices(file);
    if (!parsed.services) return PrintIssues(parsed.issues, stderr), kFailed;
    socket = parsed.services->control.socket;
  }
  if (status->parsed()) return xds::ShowStatus(socket, json);
  if (drain->parsed()) return xds::DrainNode(socket, node, wait, most * 1000);
  return xds::UndrainNode(socket, node);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    Say(error.what());
    return kFailed;
  }
}
