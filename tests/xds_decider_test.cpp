// Tests of the pool decider in simulated time: load reports change weights and health, false reports of one
// proxy do not.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "xds/pool_decider.hpp"

namespace opalswitch::testing {
namespace {

using xds::EndpointAssignment;
using xds::EndpointHealth;
using xds::PoolDecider;

Settings WarmUpSettings() {
  Settings settings;
  settings.cold_capacity_fraction = 0.1;
  settings.warm_up_time = 10000;
  settings.overload_multiple = 3;
  return settings;
}

struct DecidedPool {
  explicit DecidedPool(int hosts, const Settings& settings = Settings()) : decider(settings, 1) {
    for (int i = 0; i < hosts; ++i) list.hosts.push_back(Host(i));
    decider.UpdateMembership(list, now);
  }
  static gateway::Host Host(int i) {
    gateway::Host host;
    host.server.id = "h" + std::to_string(i);
    host.address = {boost::asio::ip::make_address("10.0.0." + std::to_string(i + 1)), 80};
    return host;
  }
  // One proxy reports served and failed requests of each host, for one second.
  void Report(const std::string& proxy, const std::map<int, std::pair<double, double>>& counts,
              Millis latency = 10) {
    xds::LoadReport report;
    report.interval = 1000;
    for (const auto& [host, count] : counts) {
      xds::EndpointLoad load;
      load.address = "10.0.0." + std::to_string(host + 1) + ":80";
      load.served = count.first;
      load.failed = count.second;
      load.latency = latency * (slow_hosts.contains(host) ? 4 : 1);
      report.endpoints.push_back(load);
    }
    decider.AddLoadReport(proxy, report, now);
  }
  void Run(Millis ms) {
    for (const Millis end = now + ms; now < end; now += 10) decider.Tick(now);
  }
  EndpointAssignment EndpointOf(int host) {
    for (const EndpointAssignment& endpoint : decider.Endpoints()) {
      if (endpoint.id == "h" + std::to_string(host)) return endpoint;
    }
    ADD_FAILURE() << host;
    return {};
  }
  int UsableCount() {
    int count = 0;
    for (const EndpointAssignment& endpoint : decider.Endpoints())
      count += endpoint.health == EndpointHealth::kHealthy;
    return count;
  }

  Millis now = 1e6;
  gateway::HostList list;
  std::set<int> slow_hosts;
  PoolDecider decider;
};

TEST(XdsPoolDecider, WithoutReportsWeightsFollowSizeAndWarmUp) {
  DecidedPool pool(3, WarmUpSettings());
  pool.list.hosts[1].server.weight = 2;
  pool.list.hosts[2].server.started_at = pool.now;
  pool.decider.UpdateMembership(pool.list, pool.now);
  EXPECT_EQ(pool.UsableCount(), 3);
  EXPECT_NEAR(pool.EndpointOf(1).weight, 2.0 * pool.EndpointOf(0).weight, 2);
  EXPECT_NEAR(pool.EndpointOf(2).weight, 0.1 * pool.EndpointOf(0).weight, 2);
  std::uint32_t last_permille = 100;
  for (int i = 0; i < 11; ++i) {  // the weight grows evenly and reaches its full value
    pool.Run(1000);
    const auto permille =
        static_cast<std::uint32_t>(1000.0 * pool.EndpointOf(2).weight / pool.EndpointOf(0).weight);
    EXPECT_GE(permille + 15, last_permille);
    EXPECT_LE(permille, last_permille + 160);
    last_permille = permille;
  }
  EXPECT_NEAR(last_permille, 1000, 30);
}

TEST(XdsPoolDecider, SlowHostGetsASmallerWeightButNotZero) {
  DecidedPool pool(4);
  pool.slow_hosts = {3};
  for (int i = 0; i < 20; ++i) {
    pool.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {100, 0}}});
    pool.Run(1000);
  }
  EXPECT_EQ(pool.UsableCount(), 4);
  EXPECT_LT(pool.EndpointOf(3).weight, pool.EndpointOf(0).weight / 2);
  EXPECT_GT(pool.EndpointOf(3).weight, pool.EndpointOf(0).weight / 6);
}

TEST(XdsPoolDecider, FailingHostIsEjectedProbedAndRestored) {
  DecidedPool pool(4);
  for (int i = 0; i < 3; ++i) {
    pool.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {0, 100}}});
    pool.Run(1000);
  }
  EXPECT_EQ(pool.UsableCount() + (pool.EndpointOf(3).health == EndpointHealth::kHealthy ? 0 : 1), 4);
  // Ejected, or probed with a small weight.
  EXPECT_LE(pool.EndpointOf(3).weight * 20, pool.EndpointOf(0).weight);
  // The host is probed: the reports on it are bad at first, then good.
  bool was_ejected = false, was_probed = false;
  for (int i = 0; i < 300; ++i) {
    pool.Run(100);
    was_ejected = was_ejected || pool.EndpointOf(3).health == EndpointHealth::kEjected;
    if (pool.EndpointOf(3).health != EndpointHealth::kHealthy) continue;
    was_probed = true;
    if (i % 10 == 0 && i < 100) pool.Report("p", {{3, {0, 5}}});
  }
  EXPECT_TRUE(was_ejected);
  EXPECT_TRUE(was_probed);
  for (int i = 0; i < 30 && pool.EndpointOf(3).weight * 2 < pool.EndpointOf(0).weight; ++i) {
    pool.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {100, 0}}, {3, {5, 0}}});
    pool.Run(1000);
  }
  EXPECT_EQ(pool.EndpointOf(3).health, EndpointHealth::kHealthy);
  EXPECT_GT(pool.EndpointOf(3).weight * 2, pool.EndpointOf(0).weight);
}

// Guards against a proxy that empties a pool by false reports: beside two correct proxies it changes nothing,
// and alone it can eject at most half of the hosts.
TEST(XdsPoolDecider, FalseReportsOfOneProxyDoNotEmptyThePool) {
  DecidedPool pool(6);
  std::map<int, std::pair<double, double>> good, bad;
  for (int i = 0; i < 6; ++i) good[i] = {100, 0}, bad[i] = {0, 1000};
  for (int i = 0; i < 30; ++i) {
    pool.Report("honest", good);
    pool.Report("liar", bad);
    pool.Report("another", good);
    pool.Run(1000);
    ASSERT_EQ(pool.UsableCount(), 6) << i;
    for (int host = 0; host < 6; ++host) ASSERT_GT(pool.EndpointOf(host).weight, 50u) << host;
  }
  for (int misreported_hosts = 0; misreported_hosts <= 6; ++misreported_hosts) {
    DecidedPool misreported_pool(6);
    for (int i = 0; i < 30; ++i) {
      std::map<int, std::pair<double, double>> reported = good;
      for (int host = 0; host < misreported_hosts; ++host) reported[host] = {0, 1000};
      misreported_pool.Report("liar", reported);
      misreported_pool.Run(1000);
      ASSERT_GE(misreported_pool.UsableCount(), 3) << misreported_hosts << " misreported hosts, second " << i;
    }
  }
}

TEST(XdsPoolDecider, ReportsOnAReplacedProcessDoNotCountForTheNewOne) {
  DecidedPool pool(3);
  for (int i = 0; i < 5; ++i) {
    pool.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {0, 100}}});
    pool.Run(1000);
  }
  EXPECT_LT(pool.EndpointOf(2).weight, 10u);
  // A new node with another id at the same address.
  pool.list.hosts[2].server.id = "new";
  pool.list.hosts[2].server.started_at = pool.now;
  pool.decider.UpdateMembership(pool.list, pool.now);
  pool.Report("p", {{0, {100, 0}}, {1, {100, 0}}, {2, {0, 100}}});  // covers the second before the new node
  pool.Run(500);
  for (const EndpointAssignment& endpoint : pool.decider.Endpoints()) {
    EXPECT_EQ(endpoint.health, EndpointHealth::kHealthy) << endpoint.id;
    EXPECT_GT(endpoint.weight, 50u) << endpoint.id;
  }
}

TEST(XdsPoolDecider, ReportsThatMatchNoHostAreCountedAndIgnored) {
  DecidedPool pool(2);
  pool.Report("p", {{7, {0, 100}}});
  pool.Run(1000);
  EXPECT_EQ(pool.decider.unmatched_reports(), 1u);
  EXPECT_EQ(pool.UsableCount(), 2);
}

}  // namespace
}  // namespace opalswitch::testing
