// forkwick: the gateway's program. Without arguments it runs a gateway for the platform, configured by the
// NODE_* environment variables. With a subcommand it runs an operators' file, checks it, or explains its
// routing.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "apps/run_loop.hpp"
#include "base/file_watcher.hpp"
#include "config/platform_config.hpp"
#include "config/services.hpp"
#include "gateway/gateway.hpp"
#include "gateway/service_gateway.hpp"
#include "routing/route_table.hpp"
#include "routing/target.hpp"

namespace {

namespace gw = opalswitch::gateway;
namespace config = opalswitch::config;
namespace routing = opalswitch::routing;
namespace asio = boost::asio;
using opalswitch::apps::PrintIssues;
using opalswitch::apps::RandomSeed;
using opalswitch::apps::RunLoop;

enum ExitCode { kDone = 0, kFailed = 1, kUsage = 2, kNoRoute = 3 };

const char* GetEnvironment(const char* name) { return std::getenv(name); }

// At a reload NODE_DISCOVERY is ignored: the environment has the address as of the start, the file may have a
// newer one.
const char* GetEnvironmentAtReload(const char* name) {
  return std::strcmp(name, "NODE_DISCOVERY") == 0 ? nullptr : GetEnvironment(name);
}

int RunPlatform() {
  asio::io_context io(1);
  gw::Gateway gateway(io, gw::LoadConfig(GetEnvironment));
  RunLoop(
      io, [&](auto done) { gateway.Stop(std::move(done)); },
      [&] {
        try {
          gateway.Reload(gw::LoadConfig(GetEnvironmentAtReload));
        } catch (const std::exception& error) {
          std::fprintf(stderr, "forkwick: configuration not reloaded, the old one stays: %s\n", error.what());
        }
      });
  return kDone;
}

int RunServices(const std::string& path) {
  const auto initial = config::LoadServices(path);
  if (!initial.services) return PrintIssues(initial.issues, stderr), kFailed;
  asio::io_context io(1);
  gw::ServiceGateway gateway(io, initial.services, RandomSeed());
  std::unique_ptr<gw::FileWatcher> watcher;
  std::function<void()> reload;
  const auto update_watcher = [&](const config::Services& services) {
    if (services.watches_file == (watcher != nullptr)) return;
    watcher =
        services.watches_file ? std::make_unique<gw::FileWatcher>(io, path, [&] { reload(); }) : nullptr;
  };
  reload = [&] {
    const auto next = config::LoadServices(path);
    if (!next.services) {
      std::fprintf(stderr, "forkwick: not reloaded, %zu faults in the file:\n", next.issues.size());
      return PrintIssues(next.issues, stderr);
    }
    if (const auto error = gateway.Reload(next.services)) {
      std::fprintf(stderr, "forkwick: not reloaded: %s\n", error->c_str());
      return;
    }
    std::fprintf(stderr, "forkwick: reloaded %s\n", path.c_str());
    // The watcher may be the caller, so it is replaced later, from the loop.
    asio::post(io, [&, services = next.services] { update_watcher(*services); });
  };
  update_watcher(*initial.services);
  for (const config::Listener& listener : initial.services->listeners) {
    const auto address = gateway.address(listener.id);
    std::fprintf(stderr, "forkwick: listener %s at %s:%u\n", listener.id.c_str(),
                 address.address().to_string().c_str(), address.port());
  }
  RunLoop(
      io, [&](auto done) { gateway.Stop(std::move(done)); }, reload);
  return kDone;
}

int CheckFile(const std::string& path, bool json) {
  const auto parsed = config::LoadServices(path);
  if (json) {
    nlohmann::json out = {
        {"file", path}, {"valid", parsed.services != nullptr}, {"issues", nlohmann::json::array()}};
    for (const config::Issue& issue : parsed.issues) {
      out["issues"].push_back(
          {{"line", issue.line}, {"column", issue.column}, {"field", issue.field}, {"text", issue.text}});
    }
    if (parsed.services) {
      out["pools"] = parsed.services->pools.size();
      out["routes"] = parsed.services->routes.size();
    }
    std::printf("%s\n", out.dump(2).c_str());
  } else if (parsed.services) {
    std::printf("%s: good: %zu listeners, %zu classes, %zu pools, %zu routes\n", path.c_str(),
                parsed.services->listeners.size(), parsed.services->classes.size(),
                parsed.services->pools.size(), parsed.services->routes.size());
  } else {
    PrintIssues(parsed.issues, stdout);
  }
  return parsed.services ? kDone : kFailed;
}

// The request that `forkwick route` explains.
struct RouteQuery {
  std::string host, path = "/", method = "GET", class_name, listener;
  std::vector<std::string> headers;
};

int ExplainRoute(const std::string& file, const RouteQuery& query) {
  const auto parsed = config::LoadServices(file);
  if (!parsed.services) return PrintIssues(parsed.issues, stderr), kFailed;
  const config::Services& services = *parsed.services;
  std::string error;
  const auto target = routing::ParseTarget(query.method, query.path, error);
  if (!target) return std::fprintf(stderr, "--path: %s\n", error.c_str()), kUsage;
  const auto authority = routing::ParseAuthority(query.host, error);
  if (!authority) return std::fprintf(stderr, "--host: %s\n", error.c_str()), kUsage;
  routing::Request request{authority->host, target->path, query.method, query.class_name, query.listener};
  for (const std::string& header : query.headers) {
    const std::size_t colon = header.find(':');
    if (colon == std::string::npos)
      return std::fprintf(stderr, "--header: found '%s', expected 'Name: value'\n", header.c_str()), kUsage;
    const std::size_t value = header.find_first_not_of(' ', colon + 1);
    request.headers.push_back(
        {std::string_view(header).substr(0, colon),
         value == std::string::npos ? std::string_view() : std::string_view(header).substr(value)});
  }
  const auto match = services.route_table.Match(request);
  const auto reasons = services.route_table.Explain(request);
  for (std::size_t i = 0; i < reasons.size(); ++i) {
    std::printf("  not %s: %s\n", services.routes[i].match.id.c_str(), reasons[i].c_str());
  }
  for (const std::string& reading : routing::AlternativeReadings(target->path)) {
    routing::Request alternative = request;
    alternative.path = reading;
    if (services.route_table.Match(alternative) == match) continue;
    std::printf("refused with 400: a host may take the path for %s, which goes elsewhere\n", reading.c_str());
    return kNoRoute;
  }
  if (!match) return std::printf("no route: 404\n"), kNoRoute;
  const config::RouteRule& rule = services.routes[*match];
  std::printf("route %s: pool %s, class %s, path %s\n", rule.match.id.c_str(),
              services.pools[rule.pool].id.c_str(),
              rule.class_index < 0
                  ? "as the client states it"
                  : services.classes[static_cast<std::size_t>(rule.class_index)].settings.name.c_str(),
              target->path.c_str());
  return kDone;
}

int Main(int argc, char** argv) {
  if (argc <= 1) return RunPlatform();
  CLI::App app(
      "A gateway for HTTP services. Without arguments: the platform's gateway, configured by NODE_* "
      "variables.",
      "forkwick");
  app.require_subcommand(1);
  std::string file;
  bool json = false;
  RouteQuery query;
  auto* const run = app.add_subcommand("run", "run the services of a file until SIGTERM; SIGHUP reloads it");
  run->add_option("--config", file, "the operators' file")->required();
  auto* const check =
      app.add_subcommand("check", "check a file and print its issues: exit code 0 if there are none, else 1");
  check->add_option("file", file, "the operators' file")->required();
  check->add_flag("--json", json, "print JSON");
  auto* const route = app.add_subcommand(
      "route",
      "print which route matches a request, and why the earlier ones do not: exit code 3 if none matches");
  route->add_option("file", file, "the operators' file")->required();
  route->add_option("--host", query.host, "the request's Host");
  route->add_option("--path", query.path, "the request's path, or its whole target");
  route->add_option("--method", query.method, "the request's method");
  route->add_option("--class", query.class_name, "the class that the client states");
  route->add_option("--listener", query.listener, "the id of the listener that receives the request");
  route->add_option("--header", query.headers, "a header of the request, as 'Name: value'; may be repeated");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  if (run->parsed()) return RunServices(file);
  if (check->parsed()) return CheckFile(file, json);
  return ExplainRoute(file, query);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "forkwick: %s\n", error.what());
    return kFailed;
  }
}
