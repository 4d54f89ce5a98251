// Tests of load report parsing, and of the aggregation that false reports of a minority must not distort.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

#include "envoy/service/load_stats/v3/lrs.pb.h"
#include "xds/load_aggregator.hpp"
#include "xds/load_report.hpp"

namespace opalswitch::testing {
namespace {

using xds::EndpointLoad;
using xds::LoadAggregator;
namespace stats = envoy::service::load_stats::v3;

EndpointLoad Load(double served, double failed, double in_progress = 0, Millis latency = 0) {
  EndpointLoad load;
  load.served = served;
  load.failed = failed;
  load.in_progress = in_progress;
  load.latency = latency;
  return load;
}

TEST(XdsLoadReport, ParsesEndpointsLocalitiesAndLatencies) {
  stats::LoadStatsRequest request;
  auto* const cluster = request.add_cluster_stats();
  cluster->set_cluster_name("one");
  cluster->mutable_load_report_interval()->set_seconds(2);
  auto* const zone = cluster->add_upstream_locality_stats();
  zone->mutable_locality()->set_zone("z");
  auto* const endpoint = zone->add_upstream_endpoint_stats();
  endpoint->mutable_address()->mutable_socket_address()->set_address("::1");
  endpoint->mutable_address()->mutable_socket_address()->set_port_value(80);
  endpoint->set_total_successful_requests(7);
  endpoint->set_total_error_requests(3);
  endpoint->set_total_requests_in_progress(2);
  auto* const metric = endpoint->add_load_metric_stats();
  metric->set_metric_name("latency_ms");
  metric->set_num_requests_finished_with_metric(10);
  metric->set_total_metric_value(250);
  auto* const locality = cluster->add_upstream_locality_stats();
  locality->mutable_locality()->set_sub_zone("host-2");
  locality->set_total_error_requests(5);
  const auto reports = xds::ParseLoadReports(request);
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].pool, "one");
  EXPECT_EQ(reports[0].interval, 2000);
  ASSERT_EQ(reports[0].endpoints.size(), 2u);
  EXPECT_EQ(reports[0].endpoints[0].address, "[::1]:80");
  EXPECT_EQ(reports[0].endpoints[0].served, 7);
  EXPECT_EQ(reports[0].endpoints[0].failed, 3);
  EXPECT_EQ(reports[0].endpoints[0].in_progress, 2);
  EXPECT_EQ(reports[0].endpoints[0].latency, 25);
  EXPECT_EQ(reports[0].endpoints[1].sub_zone, "host-2");
  EXPECT_EQ(reports[0].endpoints[1].failed, 5);
}

TEST(XdsLoadReport, ClampsImplausibleValuesAndStaysWithinItsLimits) {
  stats::LoadStatsRequest request;
  for (int c = 0; c < 3; ++c) {
    auto* const cluster = request.add_cluster_stats();
    cluster->set_cluster_name("c" + std::to_string(c));
    cluster->mutable_load_report_interval()->set_seconds(-5);
    auto* const zone = cluster->add_upstream_locality_stats();
    for (int i = 0; i < 10; ++i) {
      auto* const endpoint = zone->add_upstream_endpoint_stats();
      endpoint->mutable_address()->mutable_socket_address()->set_address("10.0.0.1");
      endpoint->set_total_successful_requests(std::numeric_limits<std::uint64_t>::max());
      auto* const metric = endpoint->add_load_metric_stats();
      metric->set_metric_name("rtt_ms");
      metric->set_num_requests_finished_with_metric(0);
      metric->set_total_metric_value(std::nan(""));
    }
  }
  const auto reports = xds::ParseLoadReports(request, {2, 15});
  ASSERT_EQ(reports.size(), 2u);
  EXPECT_EQ(reports[0].endpoints.size() + reports[1].endpoints.size(), 15u);
  EXPECT_GT(reports[0].interval, 0);
  EXPECT_LE(reports[0].endpoints[0].served, 1e9);
  EXPECT_EQ(reports[0].endpoints[0].latency, 0);
}

TEST(XdsLoadReport, RandomBytesGiveFiniteValues) {
  std::mt19937 random(11);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes(random() % 200, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    stats::LoadStatsRequest request;
    if (!request.ParseFromString(bytes)) continue;
    for (const auto& report : xds::ParseLoadReports(request)) {
      EXPECT_GT(report.interval, 0);
      for (const auto& load : report.endpoints) EXPECT_TRUE(std::isfinite(load.served + load.latency));
    }
  }
}

TEST(XdsLoadAggregator, FalseReportsOfAMinorityDoNotChangeAHealthyHostsEstimate) {
  for (int proxies = 2; proxies <= 9; ++proxies) {
    for (int liars = 0; liars <= proxies; ++liars) {
      LoadAggregator aggregator;
      for (int i = 0; i < proxies; ++i) {
        aggregator.AddReport("a", "p" + std::to_string(i), i < liars ? Load(0, 1e9) : Load(100, 1), 1000, 0);
      }
      const auto estimate = aggregator.Estimate("a", 0, 0);
      ASSERT_TRUE(estimate);
      EXPECT_EQ(estimate->reporter_count, static_cast<std::size_t>(proxies));
      // Half of an even number of proxies is not a majority.
      EXPECT_EQ(estimate->failure_fraction, 2 * liars > proxies ? 1.0 : 1.0 / 101)
          << liars << " of " << proxies;
    }
  }
}

TEST(XdsLoadAggregator, UsesLittlesLawWhereNoLatencyIsReported) {
  LoadAggregator aggregator;
  aggregator.AddReport("a", "p", Load(1000, 0, 20), 1000, 0);  // 20 in flight at 1 per ms
  EXPECT_NEAR(aggregator.Estimate("a", 0, 0)->latency, 20, 1e-9);
  aggregator.AddReport("a", "p", Load(1000, 0, 0, 7), 1000, 0);
  EXPECT_EQ(aggregator.Estimate("a", 0, 0)->latency, 7);
}

TEST(XdsLoadAggregator, ReportsExpireAndTheNumberOfReportersIsBounded) {
  LoadAggregator aggregator;
  aggregator.AddReport("a", "old", Load(0, 10), 1000, 0);
  EXPECT_TRUE(aggregator.Estimate("a", 0, 9000));
  EXPECT_FALSE(aggregator.Estimate("a", 0, 11000));
  EXPECT_FALSE(aggregator.Estimate("a", 1, 1));  // received before `since`
  for (int i = 0; i < 1000; ++i) aggregator.AddReport("a", "p" + std::to_string(i), Load(10, 0), 1000, 1 + i);
  EXPECT_EQ(aggregator.Estimate("a", 0, 1000)->reporter_count, 32u);
  aggregator.AddReport("b", "p", Load(0, 0, 5), 1000, 0);  // no completed requests
  EXPECT_FALSE(aggregator.Estimate("b", 0, 0));
}

}  // namespace
}  // namespace opalswitch::testing
