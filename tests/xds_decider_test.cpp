// The module's verdicts as weights for proxies, in a time of the test's own: what proxies report moves them,
// and what a liar reports does not.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "xds/pool_decider.hpp"

namespace opalswitch::testing {
namespace {

using xds::EndpointAssignment;
using xds::EndpointHealth;
using xds::PoolDecider;

Settings Warming() {
  Settings settings;
  settings.cold_capacity_fraction = 0.1;
  settings.warm_up_time = 10000;
  settings.overload_multiple = 3;
  return settings;
}

struct World {
  explicit World(int hosts, const Settings& settings = Settings()) : decider(settings, 1) {
    for (int i = 0; i < hosts; ++i) list.hosts.push_back(Host(i));
    decider.UpdateMembership(list, now);
  }
  static gateway::Host Host(int i) {
    gateway::Host host;
    host.server.id = "h" + std::to_string(i);
    host.address = {boost::asio::ip::make_address("10.0.0." + std::to_string(i + 1)), 80};
    return host;
  }
  // `by` reports on each host for one second.
  void Report(const std::string& by, const std::map<int, std::pair<double, double>>& counts,
              Millis latency = 10) {
    xds::LoadReport report;
    report.interval = 1000;
    for (const auto& [host, count] : counts) {
      xds::EndpointLoad load;
      load.address = "10.0.0." + std::to_string(host + 1) + ":80";
      load.served = count.first;
      load.failed = count.second;
      load.latency = latency * (slow.contains(host) ? 4 : 1);
      report.endpoints.push_back(load);
    }
    decider.AddLoadReport(by, report, now);
  }
  void Run(Millis ms) {
    for (const Millis end = now + ms; now < end; now += 10) decider.Tick(now);
  }
  EndpointAssignment Of(int host) {
    for (const EndpointAssignment& to : decider.Endpoints()) {
      if (to.id == "h" + std::to_string(host)) return to;
    }
    ADD_FAILURE() << host;
    return {};
  }
  int Usable() {
    int n = 0;
    for (const EndpointAssignment& to : decider.Endpoints()) n += to.health == EndpointHealth::kHealthy;
    return n;
  }

  Millis now = 1e6;
  gateway::HostList list;
  std::set<int> slow;
  PoolDecider decider;
};

TEST(XdsDecider, WithoutReportsSizeAndWarmthAloneCount) {
  World world(3, Warming());
  world.list.hosts[1].server.weight = 2;
  world.list.hosts[2].server.started_at = world.now;
  world.decider.UpdateMembership(world.list, world.now);
  EXPECT_EQ(world.Usable(), 3);
  EXPECT_NEAR(world.Of(1).weight, 2.0 * world.Of(0).weight, 2);
  EXPECT_NEAR(world.Of(2).weight, 0.1 * world.Of(0).weight, 2);
  std::uint32_t last = 100;
  for (int i = 0; i < 11; ++i) {  // the ramp is even, and ends
    world.Run(1000);
    const auto part = static_cast<std::uint32_t>(1000.0 * world.Of(2).weight / world.Of(0).weight);
    EXPECT_GE(part + 15, last);
    EXPECT_LE(part, last + 160);
    last = part;
  }
  EXPECT_NEAR(last, 1000, 30);
}

TEST(XdsDecider, ASlowHostGetsLessAndNeverNothing) {
  World world(4);
  world.slow = {3};
  for (int i = 0; i < 20; ++i) {
    world.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {100, 0}}});
    world.Run(1000);
  }
  EXPECT_EQ(world.Usable(), 4);
  EXPECT_LT(world.Of(3).weight, world.Of(0).weight / 2);
  EXPECT_GT(world.Of(3).weight, world.Of(0).weight / 6);
}

TEST(XdsDecider, AHostThatFailsIsLeftOutTriedAndTrustedAgain) {
  World world(4);
  for (int i = 0; i < 3; ++i) {
    world.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {0, 100}}});
    world.Run(1000);
  }
  EXPECT_EQ(world.Usable() + (world.Of(3).health == EndpointHealth::kHealthy ? 0 : 1), 4);
  EXPECT_LE(world.Of(3).weight * 20, world.Of(0).weight);  // out, or on trial with next to nothing
  // It is tried: reports on it come in again, first bad, then good.
  bool out = false, tried = false;
  for (int i = 0; i < 300; ++i) {
    world.Run(100);
    out = out || world.Of(3).health == EndpointHealth::kEjected;
    if (world.Of(3).health != EndpointHealth::kHealthy) continue;
    tried = true;
    if (i % 10 == 0 && i < 100) world.Report("p", {{3, {0, 5}}});
  }
  EXPECT_TRUE(out);
  EXPECT_TRUE(tried);
  for (int i = 0; i < 30 && world.Of(3).weight * 2 < world.Of(0).weight; ++i) {
    world.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {5, 0}}});
    world.Run(1000);
  }
  EXPECT_EQ(world.Of(3).health, EndpointHealth::kHealthy);
  EXPECT_GT(world.Of(3).weight * 2, world.Of(0).weight);
}

// One proxy's word must not empty a pool: beside two honest ones it changes nothing, and alone it takes half
// of the hosts at the most.
TEST(XdsDecider, AProxyThatReportsErrorsForHealthyNodesEmptiesNoPool) {
  World world(6);
  std::map<int, std::pair<double, double>> good, bad;
  for (int i = 0; i < 6; ++i) good[i] = {100, 0}, bad[i] = {0, 1000};
  for (int i = 0; i < 30; ++i) {
    world.Report("honest", good);
    world.Report("liar", bad);
    world.Report("another", good);
    world.Run(1000);
    ASSERT_EQ(world.Usable(), 6) << i;
    for (int host = 0; host < 6; ++host) ASSERT_GT(world.Of(host).weight, 50u) << host;
  }
  for (int lied_of = 0; lied_of <= 6; ++lied_of) {
    World alone(6);
    for (int i = 0; i < 30; ++i) {
      std::map<int, std::pair<double, double>> said = good;
      for (int host = 0; host < lied_of; ++host) said[host] = {0, 1000};
      alone.Report("liar", said);
      alone.Run(1000);
      ASSERT_GE(alone.Usable(), 3) << lied_of << " hosts lied of, second " << i;
    }
  }
}

TEST(XdsDecider, ReportsOnOneProcessDoNotCountForTheNext) {
  World world(3);
  for (int i = 0; i < 5; ++i) {
    world.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {0, 100}}});
    world.Run(1000);
  }
  EXPECT_LT(world.Of(2).weight, 10u);
  // Another node at the same address, under a new id.
  world.list.hosts[2].server.id = "new";
  world.list.hosts[2].server.started_at = world.now;
  world.decider.UpdateMembership(world.list, world.now);
  world.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {0, 100}}});  // of the second before it came
  world.Run(500);
  for (const EndpointAssignment& to : world.decider.Endpoints()) {
    EXPECT_EQ(to.health, EndpointHealth::kHealthy) << to.id;
    EXPECT_GT(to.weight, 50u) << to.id;
  }
}

TEST(XdsDecider, ReportsThatFitNoHostAreCountedAndNothingElse) {
  World world(2);
  world.Report("p", {{7, {0, 100}}});
  world.Run(1000);
  EXPECT_EQ(world.decider.unmatched_reports(), 1u);
  EXPECT_EQ(world.Usable(), 2);
}

}  // namespace
}  // namespace opalswitch::testing
