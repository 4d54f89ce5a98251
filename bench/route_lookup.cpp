// Cost of a route lookup and of compiling a table, by the number of routes. A table has five routes for each
// host. Requests are for random hosts and varying paths, so that the data of a large table is often not in
// the CPU's caches.
#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

#include "routing/route_table.hpp"

namespace {

using opalswitch::routing::HeaderCondition;
using opalswitch::routing::Route;
using opalswitch::routing::RouteTable;

std::string HostOf(std::size_t i) { return "shop-" + std::to_string(i) + ".galicia.example.org"; }

RouteTable MakeTable(std::size_t count) {
  std::vector<Route> routes;
  for (std::size_t i = 0; i < count; ++i) {
    Route route;
    route.id = "route-" + std::to_string(i);
    route.hosts = {HostOf(i / 5)};
    switch (i % 5) {
      case 0: route.paths = {{false, "/health"}}; break;
      case 1: route.paths = {{true, "/baskets"}}, route.methods = {"GET"}; break;
      case 2: route.paths = {{true, "/baskets"}}; break;
      case 3:
        route.paths = {{true, "/menus/weekly"}},
        route.headers = {{"x-beta", HeaderCondition::Kind::kEquals, "1"}};
        break;
      default: break;
    }
    routes.push_back(std::move(route));
  }
  return RouteTable(std::move(routes));
}

void Lookup(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  const RouteTable table = MakeTable(count);
  std::mt19937 random(1);
  const std::vector<std::string> paths = {"/health", "/baskets/1234/items", "/menus/weekly/31",
                                          "/slots/mon/2"};
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < 4096; ++i) hosts.push_back(HostOf(random() % (count / 5)));
  std::size_t i = 0, found = 0;
  for (auto _ : state) {
    ++i;
    found +=
        table
            .Match(
                {hosts[i % hosts.size()], paths[i % paths.size()], i % 3 == 0 ? "POST" : "GET", "", "", {}})
            .has_value();
  }
  if (found != i) state.SkipWithError("a request found no route");
}
BENCHMARK(Lookup)->Arg(10)->Arg(1000)->Arg(10000);

void Compile(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(MakeTable(static_cast<std::size_t>(state.range(0))));
}
BENCHMARK(Compile)->Arg(10000)->Unit(benchmark::kMillisecond);

}  // namespace
