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
#include "xds/control.hpp"
#include "xds/drain_file.hpp"
#include "xds/operators.hpp"
#include "xds/server.hpp"
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

xds::ServerOptions MakeServerOptions(const config::ControlSettings& control) {
  xds::ServerOptions options;
  options.address = control.address;
  if (control.tls) {
    options.credentials = xds::MakeCredentials(*control.tls);
    options.client_names = control.tls->client_names;
  }
  options.plaintext_anywhere = control.plaintext_anywhere;
  options.hub.proxies = control.max_proxies;
  options.hub.coalesce = control.coalesce_delay;
  options.hub.lease = control.lease;
  options.hub.heartbeat = control.heartbeat;
  options.begun = gw::Now();
  options.report_every = control.load_report_interval;
  return options;
}

// What runs: the service, and the sources of its pools' hosts.
class ControlService {
 public:
  ControlService(asio::io_context& io, std::shared_ptr<const config::Services> services)
      : io_(io), drains_(services->control.drains_file) {
    auto options = MakeServerOptions(services->control);
    options.tick = [this](xds::Hub&, Millis now) {
      return control_ ? control_->Tick(now) : xds::Control::Outs();
    };
    options.report = [this](const xds::ProxyNode& proxy, const std::vector<xds::LoadReport>& reports,
                            Millis now) {
      if (control_) control_->Heard(proxy, reports, now);
    };
    const auto drained = drains_.Read();  // before anybody is told anything
    server_ = std::make_unique<xds::Server>(std::move(options));
    server_->With([&](xds::Hub& hub, Millis now) {
      control_ = std::make_unique<xds::Control>(hub, RandomSeed(), LogLine);
      control_->Restore(drained);
      return control_->Configure(services, now);
    });
    operators_ = std::make_unique<xds::Operators>(
        services->control.socket, *server_, control_,
        [this](const std::set<std::string>& nodes) { drains_.Write(nodes); });
    UpdateSources(*services);
    services_ = std::move(services);
  }

  int port() const { return server_->port(); }

  void Reload(std::shared_ptr<const config::Services> services) {
    const config::ControlSettings &old = services_->control, &updated = services->control;
    if (old.address != updated.address || old.socket != updated.socket || old.lease != updated.lease ||
        old.heartbeat != updated.heartbeat || old.max_proxies != updated.max_proxies ||
        old.drains_file != updated.drains_file) {
      LogLine("control.address, socket, drains, proxies, lease and heartbeat count from the next start");
    }
    server_->With([&](xds::Hub&, Millis now) { return control_->Configure(services, now); });
    UpdateSources(*services);
    services_ = std::move(services);
  }

 private:
  // Sources of pools whose definition stays are kept, those of others begin anew.
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
            server_->With([&](xds::Hub&, Millis now) { return control_->Told(id, list, now); });
          },
          [] {}, [id = pool.id](const std::string& text) { LogLine("pool " + id + ": " + text); }};
      PoolSource& to = next[pool.id];
      to.definition = pool.definition;
      to.source = gw::MakeHostSource(io_, pool.membership, std::move(handlers));
      started.push_back(to.source.get());
    }
    sources_ = std::move(next);
    for (gw::HostSource* const source : started) source->Start();
  }

  struct PoolSource {
    std::string definition;
    std::unique_ptr<gw::HostSource> source;
  };

  asio::io_context& io_;
  xds::DrainFile drains_;
  std::shared_ptr<const config::Services> services_;
  std::unique_ptr<xds::Control> control_;  // of the deciding thread; ends after it
  std::unique_ptr<xds::Server> server_;
  std::unique_ptr<xds::Operators> operators_;
  std::map<std::string, PoolSource> sources_;
};

int Run(const std::string& path) {
  const auto first = config::LoadServices(path);
  if (!first.services) return PrintIssues(first.issues, stderr), kFailed;
  asio::io_context io(1);
  ControlService service(io, first.services);
  std::unique_ptr<gw::FileWatcher> watch;
  const auto reload = [&] {
    const auto next = config::LoadServices(path);
    if (!next.services) {
      LogLine("not reloaded, " + std::to_string(next.issues.size()) + " faults in the file:");
      return PrintIssues(next.issues, stderr);
    }
    service.Reload(next.services);
    LogLine("reloaded " + path);
  };
  if (first.services->watches_file) watch = std::make_unique<gw::FileWatcher>(io, path, reload);
  const std::string& address = first.services->control.address;
  LogLine("serves xDS at " + address.substr(0, address.rfind(':') + 1) + std::to_string(service.port()));
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
  double timeout_s = 0;
  auto* const run = app.add_subcommand("run", "serve until SIGTERM; SIGHUP reloads the file");
  run->add_option("--config", file, "the operators' file")->required();
  const auto add_client_command = [&](const char* name, const char* what) {
    auto* const command = app.add_subcommand(name, what);
    auto* const by_file =
        command->add_option("--config", file, "the operators' file, for its control.socket");
    command->add_option("--socket", socket, "the socket itself")->excludes(by_file);
    return command;
  };
  auto* const status = add_client_command("status", "tell what proxies are told, and what they reject");
  status->add_flag("--json", json, "for programs");
  auto* const drain = add_client_command(
      "drain",
      "have no proxy send to a node, until it is undrained: exit code 4 if proxies are still waited for");
  drain->add_option("node", node, "its id")->required();
  drain->add_flag("--wait", wait, "return when every proxy has answered, or its lease has run out");
  drain->add_option("--timeout", timeout_s, "seconds to wait at the most")->check(CLI::PositiveNumber);
  auto* const undrain = add_client_command("undrain", "take an operator's drain back");
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
