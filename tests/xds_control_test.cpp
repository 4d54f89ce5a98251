// Tests of the control plane in simulated time: from file, membership, reports and operators to the resources
// that proxies receive.
#include <gtest/gtest.h>

#include <map>

#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "services_text.hpp"
#include "xds/control_plane.hpp"

namespace opalswitch::testing {
namespace {

using xds::ControlPlane;
using xds::ResourceType;
using xds::Session;
using xds::StreamHub;
using xds::XdsRequest;

std::shared_ptr<const config::Services> File(const std::string& more) {
  return Parsed(kListenerAndClasses + R"([[pool]]
id = "one"
drain = "strict"
membership = { source = "file", file = "one.json" }
[[pool]]
id = "two"
membership = { source = "file", file = "two.json" }
)" + kRoutesToOneAndTwo +
                more);
}

gateway::Host Node(const std::string& id, int address, ServerState state = ServerState::kUp,
                   Millis started = 0) {
  gateway::Host host;
  host.server.id = id;
  host.server.state = state;
  host.server.started_at = started;
  host.address = {boost::asio::ip::make_address("10.0.0." + std::to_string(address)), 80};
  return host;
}

// A control plane, and proxies that accept every message at once.
struct Simulation {
  explicit Simulation(const std::string& more = "")
      : control(hub, 1, [this](const std::string& line) { log.push_back(line); }) {
    Deliver(control.Configure(File(more), now));
  }
  void Connect(StreamHub::StreamId stream, const xds::ProxyNode& node, bool answers = true) {
    ASSERT_TRUE(hub.OpenStream(stream, Session::Variant::kDelta, now));
    nodes[stream] = node;
    is_unresponsive[stream] = !answers;
    for (const auto& [type, names] :
         std::map<ResourceType, std::vector<std::string>>{{ResourceType::kCluster, {}},
                                                          {ResourceType::kEndpoint, {"one", "two"}},
                                                          {ResourceType::kRoute, {"routes/in"}}}) {
      XdsRequest request;
      request.type = type;
      request.subscribe = names;
      Deliver(hub.HandleRequest(stream, node, request, now));
    }
  }
  void Deliver(std::vector<StreamHub::OutgoingMessage> all) {
    while (!all.empty()) {
      std::vector<StreamHub::OutgoingMessage> next;
      for (const StreamHub::OutgoingMessage& out : all) {
        if (out.close_reason) continue;
        auto& resources = held[out.stream][out.response.type];
        std::vector<std::string> collections;
        for (const auto& resource : out.response.resources) {
          resources[resource->name] = resource->bytes;
          ++resources_received[out.stream];
          if (out.response.type == ResourceType::kEndpoint) AddCollections(*resource, collections);
        }
        for (const std::string& name : out.response.removed) resources.erase(name);
        if (is_unresponsive[out.stream]) continue;
        XdsRequest ack;
        ack.type = out.response.type;
        ack.nonce = out.response.nonce;
        Append(next, hub.HandleRequest(out.stream, nodes[out.stream], ack, now));
        XdsRequest members;
        members.type = ResourceType::kLbEndpoint;
        for (const std::string& name : collections) {
          if (subscribed[out.stream].insert(name).second) members.subscribe.push_back(name);
        }
        if (!members.subscribe.empty())
          Append(next, hub.HandleRequest(out.stream, nodes[out.stream], members, now));
      }
      all = std::move(next);
    }
  }
  static void Append(std::vector<StreamHub::OutgoingMessage>& to,
                     std::vector<StreamHub::OutgoingMessage> more) {
    to.insert(to.end(), more.begin(), more.end());
  }
  static void AddCollections(const xds::Resource& resource, std::vector<std::string>& names) {
    envoy::config::endpoint::v3::ClusterLoadAssignment list;
    ASSERT_TRUE(list.ParseFromString(resource.bytes));
    for (const auto& locality : list.endpoints()) {
      if (locality.has_leds_cluster_locality_config())
        names.push_back(locality.leds_cluster_locality_config().leds_collection_name());
    }
  }
  void Run(Millis ms) {
    for (const Millis end = now + ms; now < end; now += 10) {
      Deliver(control.Tick(now));
      Deliver(hub.Tick(now));
    }
  }
  // Returns the weights of the endpoints that the proxy may send to, by address.
  std::map<std::string, std::uint32_t> Usable(StreamHub::StreamId stream, const std::string& pool) {
    std::map<std::string, std::uint32_t> usable;
    const auto add = [&](const envoy::config::endpoint::v3::LbEndpoint& endpoint) {
      if (endpoint.health_status() == envoy::config::core::v3::HEALTHY)
        usable[endpoint.endpoint().address().socket_address().address()] =
            endpoint.load_balancing_weight().value();
    };
    envoy::config::endpoint::v3::ClusterLoadAssignment list;
    if (!list.ParseFromString(held[stream][ResourceType::kEndpoint][pool])) return usable;
    for (const auto& locality : list.endpoints()) {
      for (const auto& endpoint : locality.lb_endpoints()) add(endpoint);
      if (!locality.has_leds_cluster_locality_config()) continue;
      std::string collection = locality.leds_cluster_locality_config().leds_collection_name();
      collection.pop_back();
      for (const auto& [name, bytes] : held[stream][ResourceType::kLbEndpoint]) {
        envoy::config::endpoint::v3::LbEndpoint member;
        if (name.starts_with(collection) && member.ParseFromString(bytes)) add(member);
      }
    }
    return usable;
  }

  Millis now = 1e6;
  std::vector<std::string> log;
  StreamHub hub{xds::StreamHubOptions()};
  ControlPlane control;
  std::map<StreamHub::StreamId, xds::ProxyNode> nodes;
  std::map<StreamHub::StreamId, bool> is_unresponsive;
  std::map<StreamHub::StreamId, std::map<ResourceType, std::map<std::string, std::string>>> held;
  std::map<StreamHub::StreamId, std::set<std::string>> subscribed;
  std::map<StreamHub::StreamId, int> resources_received;
};

// Guards against proxies dropping their endpoints when the control service restarts: before the first
// membership update a pool's endpoints are unknown, not empty.
TEST(XdsControlPlane, SendsNothingForAPoolBeforeItsFirstMembershipUpdate) {
  Simulation simulation;
  ASSERT_TRUE(simulation.hub.OpenStream(1, Session::Variant::kDelta, simulation.now));
  XdsRequest back;
  back.type = ResourceType::kEndpoint;
  back.subscribe = {"one", "two"};
  back.initial_versions = {{"one", "of an earlier run"}};
  for (const StreamHub::OutgoingMessage& out :
       simulation.hub.HandleRequest(1, {"p", "", ""}, back, simulation.now)) {
    EXPECT_TRUE(out.response.resources.empty());
    EXPECT_TRUE(out.response.removed.empty());
  }
  simulation.nodes[1] = {"p", "", ""};
  simulation.Deliver(simulation.control.UpdateMembership("two", {0, true, {Node("b", 2)}}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "two").size(), 1u);
  EXPECT_FALSE(simulation.held[1][ResourceType::kEndpoint].contains("one"));
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, {Node("a", 1)}}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 1u);
}

TEST(XdsControlPlane, DrainsByMembershipAndOperatorsApplyToAllPoolsAtOnce) {
  Simulation simulation;
  for (const char* const pool : {"one", "two"})
    simulation.Deliver(simulation.control.UpdateMembership(
        pool, {0, true, {Node("a", 1), Node("b", 2), Node("c", 3)}}, simulation.now));
  simulation.Connect(1, {"p", "", ""});
  EXPECT_EQ(simulation.Usable(1, "one").size(), 3u);
  simulation.Deliver(simulation.control.UpdateMembership(
      "one", {0, false, {Node("a", 1, ServerState::kDraining)}}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 2u);
  EXPECT_EQ(simulation.Usable(1, "two").size(), 2u);  // the drain applies to the node in all pools
  EXPECT_TRUE(simulation.control.HasNode("b"));
  EXPECT_FALSE(simulation.control.HasNode("nobody"));
  simulation.Deliver(simulation.control.Drain("b", simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one"), (std::map<std::string, std::uint32_t>{{"10.0.0.3", 100}}));
  EXPECT_EQ(simulation.Usable(1, "two").size(), 1u);
  // Neither a membership update that lists the node as up nor its restart ends an operator's drain.
  simulation.Deliver(simulation.control.UpdateMembership(
      "one", {0, true, {Node("b", 2, ServerState::kUp, 5), Node("c", 3)}}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 1u);
  simulation.Deliver(simulation.control.Undrain("b", simulation.now));
  simulation.Run(300);  // an undrain is not urgent
  EXPECT_EQ(simulation.Usable(1, "one").size(), 2u);
}

TEST(XdsControlPlane, PendingProxiesOfADrainAreNamed) {
  Simulation simulation;
  for (const char* const pool : {"one", "two"})
    simulation.Deliver(
        simulation.control.UpdateMembership(pool, {0, true, {Node("a", 1), Node("b", 2)}}, simulation.now));
  simulation.Connect(1, {"good", "", ""});
  simulation.Connect(2, {"mute", "", ""}, false);
  simulation.Connect(3, {"gone", "", ""});
  simulation.hub.OnStreamClosed(3, simulation.now);
  EXPECT_TRUE(simulation.control.PendingProxies("a", simulation.now).empty());  // not draining yet
  simulation.Deliver(simulation.control.Drain("a", simulation.now));
  std::map<std::string, Millis> pending;
  for (const auto& proxy : simulation.control.PendingProxies("a", simulation.now))
    pending[proxy.proxy] = proxy.lease_expiry;
  ASSERT_EQ(pending.size(), 2u);
  // The strict pool's leases expire; for the other pool, both proxies are pending until they answer.
  EXPECT_FALSE(std::isfinite(pending["mute"]));
  EXPECT_FALSE(std::isfinite(pending["gone"]));
  simulation.Connect(4, {"gone", "", ""});  // reconnected
  pending.clear();
  for (const auto& proxy : simulation.control.PendingProxies("a", simulation.now))
    pending[proxy.proxy] = proxy.lease_expiry;
  EXPECT_EQ(pending.size(), 1u);
  // A later change does not make proxies pending that have accepted the drain.
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, false, {Node("c", 3)}}, simulation.now));
  simulation.is_unresponsive[1] = true;
  simulation.Run(300);
  for (const auto& proxy : simulation.control.PendingProxies("a", simulation.now))
    EXPECT_EQ(proxy.proxy, "mute");
}

TEST(XdsControlPlane, NodeThatReturnsAtADrainedAddressWithANewIdIsUsed) {
  Simulation simulation;
  simulation.Deliver(
      simulation.control.UpdateMembership("one", {0, true, {Node("a", 1), Node("b", 2)}}, simulation.now));
  simulation.Connect(1, {"p", "", ""});
  simulation.Deliver(simulation.control.Drain("a", simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").count("10.0.0.1"), 0u);
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, {Node("b", 2)}}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 1u);
  simulation.Run(1000);
  simulation.Deliver(simulation.control.UpdateMembership(
      "one", {0, true, {Node("a2", 1, ServerState::kUp, simulation.now), Node("b", 2)}}, simulation.now));
  simulation.Run(300);
  EXPECT_EQ(simulation.Usable(1, "one").count("10.0.0.1"), 1u);
  EXPECT_TRUE(simulation.control.PendingProxies("a", simulation.now).empty());
  // The drain still applies to the old id.
  simulation.Deliver(
      simulation.control.UpdateMembership("one", {0, true, {Node("a", 4), Node("b", 2)}}, simulation.now));
  simulation.Run(300);
  EXPECT_EQ(simulation.Usable(1, "one").count("10.0.0.4"), 0u);
}

TEST(XdsControlPlane, SmallWeightChangesAreNotSentAndLargeOnesAreCombined) {
  Simulation simulation;
  std::vector<gateway::Host> hosts;
  for (int i = 1; i <= 20; ++i) hosts.push_back(Node("h" + std::to_string(i), i));
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, hosts}, simulation.now));
  simulation.Connect(1, {"p", "", ""});
  const auto before = simulation.hub.statistics().pushes;
  hosts[0].server.weight = 1.05;
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, hosts}, simulation.now));
  simulation.Run(1000);
  EXPECT_EQ(simulation.hub.statistics().pushes, before);
  for (int i = 0; i < 15; ++i) {  // within one coalescing delay of 200 ms
    hosts[static_cast<std::size_t>(i)].server.weight = 2;
    simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, hosts}, simulation.now));
    simulation.Run(10);
  }
  simulation.Run(300);
  EXPECT_LE(simulation.hub.statistics().pushes, before + 2);
  EXPECT_NEAR(simulation.Usable(1, "one")["10.0.0.1"], 2.0 * simulation.Usable(1, "one")["10.0.0.20"], 40);
}

constexpr char kGroups[] = R"([control]
group = [{ id = "edge", node_ids = ["edge-*"], pools = ["two"] },
         { id = "far", zones = ["z9"], each_endpoint = true }]
)";

TEST(XdsControlPlane, GroupsSeeTheirPoolsAndRoutesToOtherPoolsDoNotFallThrough) {
  Simulation simulation(kGroups);
  for (const char* const pool : {"one", "two"})
    simulation.Deliver(simulation.control.UpdateMembership(pool, {0, true, {Node("a", 1)}}, simulation.now));
  simulation.Connect(1, {"edge-7", "", ""});
  simulation.Connect(2, {"other", "", ""});
  EXPECT_EQ(simulation.held[1][ResourceType::kCluster].size(), 1u);
  EXPECT_FALSE(simulation.held[1][ResourceType::kEndpoint].contains("one"));
  EXPECT_EQ(simulation.held[2][ResourceType::kCluster].size(), 2u);
  // "/one" must not fall through to the route of pool two.
  EXPECT_EQ(simulation.held[1][ResourceType::kRoute]["routes/in"].find("\x0a\x03one"), std::string::npos);
  EXPECT_NE(simulation.held[1][ResourceType::kRoute]["routes/in"],
            simulation.held[2][ResourceType::kRoute]["routes/in"]);
}

TEST(XdsControlPlane, LedsChangeOfOneEndpointSendsOneResource) {
  Simulation simulation(kGroups);
  std::vector<gateway::Host> hosts;
  for (int i = 1; i <= 200; ++i) hosts.push_back(Node("h" + std::to_string(i), i));
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, hosts}, simulation.now));
  simulation.Connect(1, {"p", "", "z9"});
  EXPECT_EQ(simulation.Usable(1, "one").size(), 200u);
  const int received = simulation.resources_received[1];
  simulation.Deliver(simulation.control.Drain("h7", simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 199u);
  EXPECT_EQ(simulation.resources_received[1], received + 1);
  EXPECT_TRUE(simulation.control.PendingProxies("h7", simulation.now).empty());
  hosts.erase(hosts.begin() + 10);
  simulation.Deliver(simulation.control.UpdateMembership("one", {0, true, hosts}, simulation.now));
  EXPECT_EQ(simulation.Usable(1, "one").size(), 198u);
  EXPECT_EQ(simulation.resources_received[1], received + 1);  // a removal sends no resource
  simulation.is_unresponsive[1] = true;
  simulation.Deliver(simulation.control.Drain("h8", simulation.now));
  EXPECT_EQ(simulation.control.PendingProxies("h8", simulation.now).size(), 1u);
  // Its lease is not renewed while it has not acknowledged.
  simulation.Run(390);
  EXPECT_EQ(simulation.control.PendingProxies("h8", simulation.now).size(), 1u);
  simulation.Run(20);
  EXPECT_TRUE(simulation.control.PendingProxies("h8", simulation.now).empty());
}

TEST(XdsControlPlane, ReloadKeepsLearnedStateAndDrains) {
  Simulation simulation;
  for (const char* const pool : {"one", "two"})
    simulation.Deliver(
        simulation.control.UpdateMembership(pool, {0, true, {Node("a", 1), Node("b", 2)}}, simulation.now));
  simulation.Connect(1, {"p", "", ""});
  simulation.Deliver(simulation.control.Drain("a", simulation.now));
  const int received = simulation.resources_received[1];
  simulation.Deliver(simulation.control.Configure(File(""), simulation.now));
  EXPECT_EQ(simulation.resources_received[1], received);  // nothing has changed, so nothing is sent
  EXPECT_EQ(simulation.Usable(1, "one").size(), 1u);
  simulation.Deliver(simulation.control.Configure(
      File("[control]\ngroup = [{ id = \"all\", pools = [\"two\"] }]\n"), simulation.now));
  // The proxy changes its group on the same stream.
  EXPECT_FALSE(simulation.held[1][ResourceType::kCluster].contains("one"));
  EXPECT_EQ(simulation.Usable(1, "two").size(), 1u);
}

}  // namespace
}  // namespace opalswitch::testing
