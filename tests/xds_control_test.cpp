// The control service's decisions from file, membership, reports and operators to what proxies are told, in a
// time of the test's own.
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

// Proxies that take in all that they are told, at once.
struct World {
  explicit World(const std::string& more = "")
      : control(hub, 1, [this](const std::string& line) { log.push_back(line); }) {
    Deliver(control.Configure(File(more), now));
  }
  void Connect(StreamHub::StreamId stream, const xds::ProxyNode& node, bool answers = true) {
    ASSERT_TRUE(hub.OpenStream(stream, Session::Variant::kDelta, now));
    nodes[stream] = node;
    mute[stream] = !answers;
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
        auto& held = holds[out.stream][out.response.type];
        std::vector<std::string> collections;
        for (const auto& resource : out.response.resources) {
          held[resource->name] = resource->bytes;
          ++told[out.stream];
          if (out.response.type == ResourceType::kEndpoint) AddCollections(*resource, collections);
        }
        for (const std::string& name : out.response.removed) held.erase(name);
        if (mute[out.stream]) continue;
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
  // Weights of the endpoints that the proxy may send to, by address.
  std::map<std::string, std::uint32_t> Usable(StreamHub::StreamId stream, const std::string& pool) {
    std::map<std::string, std::uint32_t> usable;
    const auto add = [&](const envoy::config::endpoint::v3::LbEndpoint& endpoint) {
      if (endpoint.health_status() == envoy::config::core::v3::HEALTHY)
        usable[endpoint.endpoint().address().socket_address().address()] =
            endpoint.load_balancing_weight().value();
    };
    envoy::config::endpoint::v3::ClusterLoadAssignment list;
    if (!list.ParseFromString(holds[stream][ResourceType::kEndpoint][pool])) return usable;
    for (const auto& locality : list.endpoints()) {
      for (const auto& endpoint : locality.lb_endpoints()) add(endpoint);
      if (!locality.has_leds_cluster_locality_config()) continue;
      std::string collection = locality.leds_cluster_locality_config().leds_collection_name();
      collection.pop_back();
      for (const auto& [name, bytes] : holds[stream][ResourceType::kLbEndpoint]) {
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
  std::map<StreamHub::StreamId, bool> mute;
  std::map<StreamHub::StreamId, std::map<ResourceType, std::map<std::string, std::string>>> holds;
  std::map<StreamHub::StreamId, std::set<std::string>> subscribed;
  std::map<StreamHub::StreamId, int> told;  // resources
};

// Guards proxies against a control service that has just started: a list that is not known yet is no empty
// list.
TEST(XdsControl, TellsNothingOfAPoolUntilItsMembershipIsKnown) {
  World world;
  ASSERT_TRUE(world.hub.OpenStream(1, Session::Variant::kDelta, world.now));
  XdsRequest back;
  back.type = ResourceType::kEndpoint;
  back.subscribe = {"one", "two"};
  back.initial_versions = {{"one", "of an earlier run"}};
  for (const StreamHub::OutgoingMessage& out : world.hub.HandleRequest(1, {"p", "", ""}, back, world.now)) {
    EXPECT_TRUE(out.response.resources.empty());
    EXPECT_TRUE(out.response.removed.empty());
  }
  world.nodes[1] = {"p", "", ""};
  world.Deliver(world.control.UpdateMembership("two", {0, true, {Node("b", 2)}}, world.now));
  EXPECT_EQ(world.Usable(1, "two").size(), 1u);
  EXPECT_FALSE(world.holds[1][ResourceType::kEndpoint].contains("one"));
  world.Deliver(world.control.UpdateMembership("one", {0, true, {Node("a", 1)}}, world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 1u);
}

TEST(XdsControl, DrainsOfMembershipAndOperatorsReachAllPoolsAtOnce) {
  World world;
  for (const char* const pool : {"one", "two"})
    world.Deliver(world.control.UpdateMembership(pool, {0, true, {Node("a", 1), Node("b", 2), Node("c", 3)}},
                                                 world.now));
  world.Connect(1, {"p", "", ""});
  EXPECT_EQ(world.Usable(1, "one").size(), 3u);
  world.Deliver(
      world.control.UpdateMembership("one", {0, false, {Node("a", 1, ServerState::kDraining)}}, world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 2u);
  EXPECT_EQ(world.Usable(1, "two").size(), 2u);  // one node, whatever pool told
  EXPECT_TRUE(world.control.HasNode("b"));
  EXPECT_FALSE(world.control.HasNode("nobody"));
  world.Deliver(world.control.Drain("b", world.now));
  EXPECT_EQ(world.Usable(1, "one"), (std::map<std::string, std::uint32_t>{{"10.0.0.3", 100}}));
  EXPECT_EQ(world.Usable(1, "two").size(), 1u);
  // Membership that goes on listing it as up does not end an operator's drain; nor does a restart of the
  // node.
  world.Deliver(world.control.UpdateMembership(
      "one", {0, true, {Node("b", 2, ServerState::kUp, 5), Node("c", 3)}}, world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 1u);
  world.Deliver(world.control.Undrain("b", world.now));
  world.Run(300);  // nothing that is urgent
  EXPECT_EQ(world.Usable(1, "one").size(), 2u);
}

TEST(XdsControl, ADrainNamesWhomItWaitsFor) {
  World world;
  for (const char* const pool : {"one", "two"})
    world.Deliver(world.control.UpdateMembership(pool, {0, true, {Node("a", 1), Node("b", 2)}}, world.now));
  world.Connect(1, {"good", "", ""});
  world.Connect(2, {"mute", "", ""}, false);
  world.Connect(3, {"gone", "", ""});
  world.hub.OnStreamClosed(3, world.now);
  EXPECT_TRUE(world.control.PendingProxies("a", world.now).empty());  // it does not drain
  world.Deliver(world.control.Drain("a", world.now));
  std::map<std::string, Millis> waiting;
  for (const auto& w : world.control.PendingProxies("a", world.now)) waiting[w.proxy] = w.lease_expiry;
  ASSERT_EQ(waiting.size(), 2u);
  // Of the strict pool a lease; of the other no end until they answer.
  EXPECT_FALSE(std::isfinite(waiting["mute"]));
  EXPECT_FALSE(std::isfinite(waiting["gone"]));
  world.Connect(4, {"gone", "", ""});  // it is back
  waiting.clear();
  for (const auto& w : world.control.PendingProxies("a", world.now)) waiting[w.proxy] = w.lease_expiry;
  EXPECT_EQ(waiting.size(), 1u);
  // A later change does not make proxies that know of the drain seem behind.
  world.Deliver(world.control.UpdateMembership("one", {0, false, {Node("c", 3)}}, world.now));
  world.mute[1] = true;
  world.Run(300);
  for (const auto& w : world.control.PendingProxies("a", world.now)) EXPECT_EQ(w.proxy, "mute");
}

TEST(XdsControl, ANodeThatDrainsAndComesBackAtItsAddressUnderANewIdIsUsed) {
  World world;
  world.Deliver(world.control.UpdateMembership("one", {0, true, {Node("a", 1), Node("b", 2)}}, world.now));
  world.Connect(1, {"p", "", ""});
  world.Deliver(world.control.Drain("a", world.now));
  EXPECT_EQ(world.Usable(1, "one").count("10.0.0.1"), 0u);
  world.Deliver(world.control.UpdateMembership("one", {0, true, {Node("b", 2)}}, world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 1u);
  world.Run(1000);
  world.Deliver(world.control.UpdateMembership(
      "one", {0, true, {Node("a2", 1, ServerState::kUp, world.now), Node("b", 2)}}, world.now));
  world.Run(300);
  EXPECT_EQ(world.Usable(1, "one").count("10.0.0.1"), 1u);
  EXPECT_TRUE(world.control.PendingProxies("a", world.now).empty());
  // The same id again is the drained one still.
  world.Deliver(world.control.UpdateMembership("one", {0, true, {Node("a", 4), Node("b", 2)}}, world.now));
  world.Run(300);
  EXPECT_EQ(world.Usable(1, "one").count("10.0.0.4"), 0u);
}

TEST(XdsControl, SmallMovesOfWeightsAreNotSentAndLargeOnesGoTogether) {
  World world;
  std::vector<gateway::Host> hosts;
  for (int i = 1; i <= 20; ++i) hosts.push_back(Node("h" + std::to_string(i), i));
  world.Deliver(world.control.UpdateMembership("one", {0, true, hosts}, world.now));
  world.Connect(1, {"p", "", ""});
  const auto before = world.hub.statistics().pushes;
  hosts[0].server.weight = 1.05;
  world.Deliver(world.control.UpdateMembership("one", {0, true, hosts}, world.now));
  world.Run(1000);
  EXPECT_EQ(world.hub.statistics().pushes, before);
  for (int i = 0; i < 15; ++i) {  // within one wait of 200 ms
    hosts[static_cast<std::size_t>(i)].server.weight = 2;
    world.Deliver(world.control.UpdateMembership("one", {0, true, hosts}, world.now));
    world.Run(10);
  }
  world.Run(300);
  EXPECT_LE(world.hub.statistics().pushes, before + 2);
  EXPECT_NEAR(world.Usable(1, "one")["10.0.0.1"], 2.0 * world.Usable(1, "one")["10.0.0.20"], 40);
}

constexpr char kGroups[] = R"([control]
group = [{ id = "edge", node_ids = ["edge-*"], pools = ["two"] },
         { id = "far", zones = ["z9"], each_endpoint = true }]
)";

TEST(XdsControl, GroupsSeeTheirPoolsAndRoutesThatLeadElsewhereAreTakenByNobody) {
  World world(kGroups);
  for (const char* const pool : {"one", "two"})
    world.Deliver(world.control.UpdateMembership(pool, {0, true, {Node("a", 1)}}, world.now));
  world.Connect(1, {"edge-7", "", ""});
  world.Connect(2, {"other", "", ""});
  EXPECT_EQ(world.holds[1][ResourceType::kCluster].size(), 1u);
  EXPECT_FALSE(world.holds[1][ResourceType::kEndpoint].contains("one"));
  EXPECT_EQ(world.holds[2][ResourceType::kCluster].size(), 2u);
  // "/one" must not fall through to the route of pool two.
  EXPECT_EQ(world.holds[1][ResourceType::kRoute]["routes/in"].find("\x0a\x03one"), std::string::npos);
  EXPECT_NE(world.holds[1][ResourceType::kRoute]["routes/in"],
            world.holds[2][ResourceType::kRoute]["routes/in"]);
}

TEST(XdsControl, EndpointsOneByOneComeAsACollectionAndAChangeTellsOne) {
  World world(kGroups);
  std::vector<gateway::Host> hosts;
  for (int i = 1; i <= 200; ++i) hosts.push_back(Node("h" + std::to_string(i), i));
  world.Deliver(world.control.UpdateMembership("one", {0, true, hosts}, world.now));
  world.Connect(1, {"p", "", "z9"});
  EXPECT_EQ(world.Usable(1, "one").size(), 200u);
  const int told = world.told[1];
  world.Deliver(world.control.Drain("h7", world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 199u);
  EXPECT_EQ(world.told[1], told + 1);
  EXPECT_TRUE(world.control.PendingProxies("h7", world.now).empty());
  hosts.erase(hosts.begin() + 10);
  world.Deliver(world.control.UpdateMembership("one", {0, true, hosts}, world.now));
  EXPECT_EQ(world.Usable(1, "one").size(), 198u);
  EXPECT_EQ(world.told[1], told + 1);  // a removal, no resource
  world.mute[1] = true;
  world.Deliver(world.control.Drain("h8", world.now));
  EXPECT_EQ(world.control.PendingProxies("h8", world.now).size(), 1u);
  // Its lease on the list is not renewed while it has not answered.
  world.Run(390);
  EXPECT_EQ(world.control.PendingProxies("h8", world.now).size(), 1u);
  world.Run(20);
  EXPECT_TRUE(world.control.PendingProxies("h8", world.now).empty());
}

TEST(XdsControl, AReloadKeepsWhatPoolsHaveLearnedAndDrainsHold) {
  World world;
  for (const char* const pool : {"one", "two"})
    world.Deliver(world.control.UpdateMembership(pool, {0, true, {Node("a", 1), Node("b", 2)}}, world.now));
  world.Connect(1, {"p", "", ""});
  world.Deliver(world.control.Drain("a", world.now));
  const int told = world.told[1];
  world.Deliver(world.control.Configure(File(""), world.now));
  EXPECT_EQ(world.told[1], told);  // all the same: nothing is told again
  EXPECT_EQ(world.Usable(1, "one").size(), 1u);
  world.Deliver(
      world.control.Configure(File("[control]\ngroup = [{ id = \"all\", pools = [\"two\"] }]\n"), world.now));
  EXPECT_FALSE(
      world.holds[1][ResourceType::kCluster].contains("one"));  // another group, on the stream that it has
  EXPECT_EQ(world.Usable(1, "two").size(), 1u);
}

}  // namespace
}  // namespace opalswitch::testing
