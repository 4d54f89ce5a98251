// Tests of the xDS resources built from the operators' file: a proxy must route each request like the
// gateway's own route table.
#include <gtest/gtest.h>

#include <random>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "services_text.hpp"
#include "xds/resources.hpp"

namespace opalswitch::testing {
namespace {

namespace route = envoy::config::route::v3;
using xds::EndpointAssignment;
using xds::EndpointHealth;
using xds::ResourceType;

std::shared_ptr<const config::Services> File(const std::string& routes) {
  return Parsed(kListenerAndClasses + R"([request]
class_header = "Req-Kind"
[[pool]]
id = "one"
host = [{ id = "a", address = "127.0.0.1:9001" }]
limits = { in_flight = 7 }
[[pool]]
id = "two"
host = [{ id = "b", address = "127.0.0.1:9002" }]
[[pool]]
id = "three"
host = [{ id = "c", address = "127.0.0.1:9003" }]
)" + routes);
}

template <typename Message>
Message Read(const xds::Snapshot& snapshot, ResourceType type, const std::string& name) {
  Message message;
  const xds::ResourcePtr found = snapshot.table(type).Find(name);
  if (!found || !message.ParseFromString(found->bytes)) {
    ADD_FAILURE() << name;
  }
  return message;
}

// Returns the id of the route that a proxy selects by the published rules: the most specific domain, then the
// first matching route; "none" without a match.
std::string ProxyRoute(const route::RouteConfiguration& routes, const routing::Request& request) {
  const route::VirtualHost* best = nullptr;
  std::size_t rank = 0;
  for (const auto& host : routes.virtual_hosts()) {
    for (const std::string& domain : host.domains()) {
      std::size_t mine = 0;
      if (domain == "*") {
        mine = 1;
      } else if (domain.starts_with("*.")) {
        const std::string end = domain.substr(1);
        if (request.host.size() > end.size() && request.host.ends_with(end)) mine = 1 + end.size();
      } else if (domain == request.host) {
        mine = 10000;
      }
      if (mine > rank) rank = mine, best = &host;
    }
  }
  if (best == nullptr) return "none";
  for (const auto& r : best->routes()) {
    const auto& match = r.match();
    const bool path = match.path_specifier_case() == route::RouteMatch::kPath
                          ? request.path == match.path()
                          : request.path.starts_with(match.prefix());
    bool headers = true;
    for (const auto& header : match.headers()) {
      std::optional<std::string_view> value;
      if (header.name() == ":method") value = request.method;
      if (header.name() == "Req-Kind" && !request.class_name.empty()) value = request.class_name;
      for (const auto& [name, text] : request.headers) {
        if (name == header.name()) value = text;
      }
      const bool holds = header.header_match_specifier_case() == route::HeaderMatcher::kPresentMatch
                             ? value.has_value()
                             : value && *value == header.string_match().exact();
      headers = headers && holds != header.invert_match();
    }
    if (path && headers) return r.name();
  }
  return "none";
}

TEST(XdsResources, ProxiesRouteLikeTheGatewaysRouteTable) {
  std::mt19937 random(9);
  const std::vector<std::string> hosts = {"a.org", "b.a.org", "*.org", "*.a.org", "c.net"};
  const std::vector<std::string> paths = {"/a", "/a/b", "/b", "/ab"};
  const auto pick = [&](const auto& list) { return list[random() % list.size()]; };
  std::size_t matched = 0;
  for (int round = 0; round < 150; ++round) {
    std::vector<config::RouteRule> rules;
    auto services =
        std::make_shared<config::Services>(*File("[[route]]\npool = \"one\"\nclass = \"view\"\n"));
    services->routes.clear();
    std::vector<routing::Route> table;
    for (std::size_t i = 0, n = 1 + random() % 12; i < n; ++i) {
      config::RouteRule rule;
      rule.match.id = "r" + std::to_string(i);
      for (std::size_t k = random() % 3; k > 0; --k) rule.match.hosts.push_back(pick(hosts));
      for (std::size_t k = random() % 3; k > 0; --k)
        rule.match.paths.push_back({random() % 2 == 0, pick(paths)});
      if (random() % 3 == 0) rule.match.methods = {"POST", "PUT"};
      if (random() % 5 == 0) rule.match.classes = {"view"};
      if (random() % 4 == 0) {
        rule.match.headers.push_back({"x-k", static_cast<routing::HeaderCondition::Kind>(random() % 3), "1"});
      }
      rule.pool = random() % 3;
      rule.class_index = 0;
      table.push_back(rule.match);
      services->routes.push_back(std::move(rule));
    }
    const routing::RouteTable own(table);
    const auto snapshot = xds::BuildSnapshot(*services, {}, {});
    const auto routes = Read<route::RouteConfiguration>(*snapshot, ResourceType::kRoute, "routes/in");
    for (int q = 0; q < 80; ++q) {
      const std::string host =
          pick(std::vector<std::string>{"a.org", "b.a.org", "x.a.org", "c.net", "d.net", "x.org", "org"});
      const std::string path =
          pick(std::vector<std::string>{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/b"});
      routing::Request request{host, path, random() % 2 == 0 ? "GET" : "PUT", random() % 2 == 0 ? "view" : "",
                               "in", {}};
      if (random() % 2 == 0) request.headers.push_back({"x-k", random() % 2 == 0 ? "1" : "2"});
      const auto match = own.Match(request);
      matched += match.has_value();
      ASSERT_EQ(ProxyRoute(routes, request), match ? table[*match].id : "none") << host << path;
    }
  }
  EXPECT_GT(matched, 3000u);
}

TEST(XdsResources, RetryPolicyCoversSafeRequestsAndFailedConnectionsOnly) {
  const auto services = File(
      "[[route]]\nid = \"v\"\nmethods = [\"GET\"]\npool = \"one\"\nclass = \"view\"\n"
      "[[route]]\nid = \"c\"\npool = \"one\"\nclass = \"change\"\n");
  const auto snapshot = xds::BuildSnapshot(*services, {}, {});
  const auto routes = Read<route::RouteConfiguration>(*snapshot, ResourceType::kRoute, "routes/in");
  ASSERT_EQ(routes.virtual_hosts_size(), 1);
  ASSERT_EQ(routes.virtual_hosts(0).routes_size(), 2);
  const auto& view = routes.virtual_hosts(0).routes(0).route();
  EXPECT_EQ(view.retry_policy().retry_on(), "5xx,reset,connect-failure,refused-stream");
  EXPECT_EQ(view.retry_policy().num_retries().value(), 2u);
  EXPECT_EQ(view.timeout().nanos(), 800000000);
  EXPECT_EQ(routes.virtual_hosts(0).routes(1).route().retry_policy().retry_on(), "connect-failure");
  const auto cluster = Read<envoy::config::cluster::v3::Cluster>(*snapshot, ResourceType::kCluster, "one");
  EXPECT_EQ(cluster.circuit_breakers().thresholds(0).max_requests().value(), 7u);
  EXPECT_TRUE(cluster.eds_cluster_config().eds_config().has_ads());
}

TEST(XdsResources, VersionsDependOnContentOnly) {
  const auto services = File("[[route]]\npool = \"one\"\nclass = \"view\"\n");
  xds::EndpointAssignments one = {{"one",
                                   {{"a", "z", "10.0.0.1", 80, 100, EndpointHealth::kHealthy},
                                    {"b", "z", "10.0.0.2", 80, 50, EndpointHealth::kHealthy}}}};
  xds::EndpointAssignments same = one;
  std::swap(same["one"][0], same["one"][1]);
  xds::EndpointAssignments drained = one;
  drained["one"][0].health = EndpointHealth::kDraining;
  const auto a = xds::BuildSnapshot(*services, one, {}), b = xds::BuildSnapshot(*services, same, {}),
             c = xds::BuildSnapshot(*services, drained, {});
  for (const ResourceType type :
       {ResourceType::kCluster, ResourceType::kEndpoint, ResourceType::kListener, ResourceType::kRoute}) {
    EXPECT_EQ(a->version(type), b->version(type));
    EXPECT_EQ(a->version(type) == c->version(type), type != ResourceType::kEndpoint);
  }
  EXPECT_EQ(a->table(ResourceType::kEndpoint).Find("two")->version,
            c->table(ResourceType::kEndpoint).Find("two")->version);
  const auto endpoints =
      Read<envoy::config::endpoint::v3::ClusterLoadAssignment>(*c, ResourceType::kEndpoint, "one");
  ASSERT_EQ(endpoints.endpoints_size(), 1);
  EXPECT_EQ(endpoints.endpoints(0).lb_endpoints(0).health_status(), envoy::config::core::v3::DRAINING);
  EXPECT_EQ(endpoints.endpoints(0).lb_endpoints(1).load_balancing_weight().value(), 50u);
  EXPECT_EQ(endpoints.endpoints(0).load_balancing_weight().value(), 50u);
}

}  // namespace
}  // namespace opalswitch::testing
