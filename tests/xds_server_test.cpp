// Tests of the control server over loopback sockets, with stand-in proxies of both protocol variants.
#include <gtest/gtest.h>

#include <algorithm>

#include "services_text.hpp"
#include "standins/cutting_relay.hpp"
#include "standins/xds_client.hpp"
#include "xds/control_server.hpp"
#include "xds/resources.hpp"

namespace opalswitch::testing {
namespace {

using Reaction = XdsClient::Reaction;
using xds::EndpointHealth;
using xds::ResourceType;
using xds::StreamHub;

std::shared_ptr<const config::Services> ParsedServices() {
  return Parsed(kListenerAndClasses + R"([[pool]]
id = "one"
host = [{ address = "127.0.0.1:9001" }]
[[pool]]
id = "two"
host = [{ address = "127.0.0.1:9001" }]
)" + kRoutesToOneAndTwo);
}

xds::EndpointAssignments Assignments(EndpointHealth first = EndpointHealth::kHealthy,
                                     std::uint32_t weight = 100) {
  const std::vector<xds::EndpointAssignment> nodes = {
      {"a", "", "10.0.0.1", 80, weight, first}, {"b", "", "10.0.0.2", 80, 100, EndpointHealth::kHealthy}};
  return {{"one", nodes}, {"two", nodes}};
}

struct Service {
  explicit Service(xds::ControlServerOptions options = {}) {
    options.hub.lease_duration = 20000;  // long, so that leases don't expire on a busy machine
    options.hub.heartbeat_interval = 50;
    server.emplace(std::move(options));
    server->RunOnDecisionThread([](StreamHub& hub, Millis) {
      hub.SetStrictPools({"one"});
      return std::vector<StreamHub::OutgoingMessage>();
    });
    Publish(Assignments(), true);
  }
  void Publish(const xds::EndpointAssignments& nodes, bool urgent) {
    server->RunOnDecisionThread([&](StreamHub& hub, Millis now) {
      return hub.Publish("", xds::BuildSnapshot(*services, nodes, {}), urgent, now);
    });
  }
  StreamHub::Statistics Statistics() {
    StreamHub::Statistics statistics;
    server->RunOnDecisionThread([&](StreamHub& hub, Millis) {
      statistics = hub.statistics();
      return std::vector<StreamHub::OutgoingMessage>();
    });
    return statistics;
  }
  // Waits up to 30 s until the condition holds for the server's statistics.
  bool Await(const std::function<bool(const StreamHub::Statistics&)>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (std::chrono::steady_clock::now() < end) {
      if (condition(Statistics())) return true;
      std::this_thread::yield();
    }
    return false;
  }

  std::shared_ptr<const config::Services> services = ParsedServices();
  std::optional<xds::ControlServer> server;
};

class XdsServer : public ::testing::TestWithParam<bool> {};

TEST_P(XdsServer, SendsAllResourcesAndThenADrain) {
  Service service;
  XdsClient client(service.server->port(), GetParam());
  ASSERT_TRUE(ConnectAndReceiveAll(client));
  EXPECT_TRUE(client.MayRouteTo("one", "10.0.0.1"));
  EXPECT_TRUE(client.held(ResourceType::kEndpoint).at("one").lease_expiry);   // strict: a lease
  EXPECT_FALSE(client.held(ResourceType::kEndpoint).at("two").lease_expiry);  // static: none
  ASSERT_TRUE(client.Await([&] { return client.heartbeat_count() >= 2; }));
  const std::string before = client.Version(ResourceType::kEndpoint, "one");
  service.Publish(Assignments(EndpointHealth::kDraining), true);
  ASSERT_TRUE(client.Await([&] { return client.Version(ResourceType::kEndpoint, "one") != before; }));
  ASSERT_TRUE(client.Await([&] { return client.Version(ResourceType::kEndpoint, "two") != before; }));
  EXPECT_FALSE(client.MayRouteTo("one", "10.0.0.1"));
  EXPECT_TRUE(client.MayRouteTo("one", "10.0.0.2"));
}

// Guards against lost updates: the stream breaks at each message boundary of the first update, and the next
// stream must deliver what is missing.
TEST_P(XdsServer, ProxyThatDisconnectsBetweenMessagesGetsAllAfterReconnecting) {
  Service service;
  for (int boundary = 0; boundary < 6; ++boundary) {
    XdsClient client(service.server->port(), GetParam(), "proxy-" + std::to_string(boundary));
    int seen = 0;
    client.react = [&](ResourceType, auto&) {
      return ++seen > boundary ? Reaction::kNoAnswer : Reaction::kAck;
    };
    ConnectAndSubscribeToAll(client);
    client.Await([&] { return seen >= std::min(boundary, 4); });
    client.Disconnect();
    client.react = [](ResourceType, auto&) { return Reaction::kAck; };
    service.Publish(Assignments(boundary % 2 == 0 ? EndpointHealth::kDraining : EndpointHealth::kHealthy),
                    true);
    ConnectAndSubscribeToAll(client);
    ASSERT_TRUE(client.Await([&] { return HasAllResources(client); })) << boundary;
    ASSERT_TRUE(client.Await([&] { return client.heartbeat_count() > 0; })) << boundary;
    EXPECT_EQ(client.MayRouteTo("one", "10.0.0.1"), boundary % 2 != 0) << boundary;
  }
  EXPECT_TRUE(service.Await([](const auto& statistics) { return statistics.streams == 0; }));
}

// Guards against lost updates: the connection breaks inside a message, and the next stream must deliver
// everything.
TEST_P(XdsServer, ProxyThatDisconnectsInsideAMessageGetsAllAfterReconnecting) {
  Service service;
  for (const std::size_t cut : {100, 300, 500, 700, 900, 1100, 1300, 1500}) {
    XdsClient client(service.server->port(), GetParam(), "proxy-" + std::to_string(cut));
    {
      CuttingRelay relay(service.server->port(), cut);
      XdsClient cut_off(relay.port(), GetParam(), "proxy-" + std::to_string(cut));
      ConnectAndSubscribeToAll(cut_off);
      // Either the connection was cut, or everything arrived before the cut.
      ASSERT_TRUE(cut_off.Await([&] { return cut_off.has_ended() || HasAllResources(cut_off); })) << cut;
    }
    ConnectAndSubscribeToAll(client);
    ASSERT_TRUE(client.Await([&] { return HasAllResources(client); })) << cut;
    EXPECT_TRUE(client.HoldsHealthyEndpoint("one", "10.0.0.1")) << cut;
  }
  EXPECT_TRUE(service.Await([](const auto& statistics) { return statistics.streams == 0; }));
}

TEST_P(XdsServer, NackDoesNotHoldBackOtherResourcesAndIsCounted) {
  Service service;
  XdsClient client(service.server->port(), GetParam());
  client.react = [](ResourceType type, const auto& names) {
    const bool bad =
        type == ResourceType::kCluster && std::find(names.begin(), names.end(), "one") != names.end();
    return bad ? Reaction::kNack : Reaction::kAck;
  };
  ConnectAndSubscribeToAll(client);
  ASSERT_TRUE(client.Await([&] { return client.held(ResourceType::kCluster).contains("two"); }));
  EXPECT_FALSE(client.held(ResourceType::kCluster).contains("one"));
  EXPECT_TRUE(service.Await([](const auto& statistics) { return statistics.nacks >= 2; }));
  std::optional<xds::Rejection> rejection;
  service.server->RunOnDecisionThread([&](StreamHub& hub, Millis) {
    rejection = hub.ProxyStatuses().at(0).last_rejection;
    return std::vector<StreamHub::OutgoingMessage>();
  });
  ASSERT_TRUE(rejection);
  EXPECT_EQ(rejection->reason, "the stand-in does not like it");
}

TEST_P(XdsServer, ProxyThatDoesNotAcknowledgeIsDisconnected) {
  xds::ControlServerOptions options;
  options.hub.ack_timeout = 100;
  Service service(options);
  XdsClient silent(service.server->port(), GetParam(), "silent"),
      good(service.server->port(), GetParam(), "good");
  silent.react = [](ResourceType, auto&) { return Reaction::kNoAnswer; };
  ConnectAndSubscribeToAll(good);
  ConnectAndSubscribeToAll(silent);
  ASSERT_TRUE(silent.Await([&] { return silent.has_ended(); }));
  EXPECT_EQ(silent.status().error_code(), grpc::StatusCode::RESOURCE_EXHAUSTED);
  EXPECT_EQ(silent.status().error_message(), "acknowledges nothing");
  EXPECT_FALSE(good.has_ended());
}

TEST_P(XdsServer, TwoInstancesSendTheSameVersions) {
  Service one, two;
  XdsClient client(one.server->port(), GetParam()), other(two.server->port(), GetParam());
  ConnectAndSubscribeToAll(client);
  ConnectAndSubscribeToAll(other);
  ASSERT_TRUE(client.Await([&] { return HasAllResources(client); }));
  ASSERT_TRUE(other.Await([&] { return HasAllResources(other); }));
  for (const ResourceType type :
       {ResourceType::kCluster, ResourceType::kEndpoint, ResourceType::kListener, ResourceType::kRoute}) {
    for (const auto& [name, held] : client.held(type))
      EXPECT_EQ(held.version, other.Version(type, name)) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Variants, XdsServer, ::testing::Bool(),
                         [](const ::testing::TestParamInfo<bool>& info) -> std::string {
                           return info.param ? "Delta" : "StateOfTheWorld";
                         });

TEST(XdsServerLimits, RefusesMoreStreamsThanItsLimit) {
  xds::ControlServerOptions options;
  options.hub.max_streams = 1;
  Service service(options);
  XdsClient first(service.server->port(), true), second(service.server->port(), true);
  ASSERT_TRUE(ConnectAndReceiveAll(first));
  second.Connect();
  ASSERT_TRUE(second.Await([&] { return second.has_ended(); }));
  EXPECT_EQ(second.status().error_code(), grpc::StatusCode::RESOURCE_EXHAUSTED);
}

// Guards against unbounded buffering: a proxy that never reads is disconnected, and the others are served as
// before.
TEST(XdsServerLimits, DisconnectsAProxyThatNeverReads) {
  xds::ControlServerOptions options;
  options.max_queued_bytes = 256 * 1024;
  Service service(options);
  XdsClient good(service.server->port(), true, "good");
  ASSERT_TRUE(ConnectAndReceiveAll(good));
  const auto channel = grpc::CreateChannel("127.0.0.1:" + std::to_string(service.server->port()),
                                           grpc::InsecureChannelCredentials());
  grpc::ClientContext context;
  const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel);
  const auto never_read = stub->DeltaAggregatedResources(&context);
  discovery::DeltaDiscoveryRequest request;
  request.set_type_url(std::string(xds::TypeUrl(ResourceType::kEndpoint)));
  request.add_resource_names_subscribe("one");
  never_read->Write(request);
  ASSERT_TRUE(service.Await([](const auto& statistics) { return statistics.streams == 2; }));
  std::vector<xds::EndpointAssignment> many;
  for (int i = 0; i < 4000; ++i)
    many.push_back({"node-" + std::to_string(i), "", "10.0.0.1", 80, 100, EndpointHealth::kHealthy});
  for (std::uint32_t weight = 1; weight < 7; ++weight) {
    many[0].weight = weight;
    service.Publish({{"one", many}, {"two", {}}}, true);
  }
  EXPECT_TRUE(service.Await([](const auto& statistics) { return statistics.streams == 1; }));
  service.Publish(Assignments(EndpointHealth::kDraining), true);
  EXPECT_TRUE(good.Await([&] {
    return !good.HoldsHealthyEndpoint("one", "10.0.0.1") && good.HoldsHealthyEndpoint("one", "10.0.0.2");
  }));
  context.TryCancel();
}

TEST(XdsServerLimits, DrainReachesTwoHundredProxiesThatReconnectAtOnce) {
  Service service;
  std::vector<std::unique_ptr<XdsClient>> proxies;
  const auto each = [&](auto work) {  // runs `work` on all proxies in eight threads
    std::vector<std::thread> threads;
    for (std::size_t t = 0; t < 8; ++t) {
      threads.emplace_back([&, t] {
        for (std::size_t i = t; i < proxies.size(); i += 8) work(*proxies[i]);
      });
    }
    for (std::thread& thread : threads) thread.join();
  };
  for (int i = 0; i < 200; ++i)
    proxies.push_back(
        std::make_unique<XdsClient>(service.server->port(), i % 2 == 0, "proxy-" + std::to_string(i)));
  const auto connect = [](XdsClient& proxy) {
    proxy.Connect();
    proxy.Subscribe(ResourceType::kEndpoint, {"one", "two"});
  };
  each(connect);
  for (const auto& proxy : proxies)
    ASSERT_TRUE(proxy->Await([&] {
      return proxy->HoldsHealthyEndpoint("one", "10.0.0.1") || proxy->has_ended();
    })) << proxy->response_count(ResourceType::kEndpoint);
  for (const auto& proxy : proxies) EXPECT_FALSE(proxy->has_ended()) << proxy->status().error_message();
  // The drain is published while the proxies reconnect.
  std::thread drain([&] { service.Publish(Assignments(EndpointHealth::kDraining), true); });
  each([&](XdsClient& proxy) {
    proxy.Disconnect();
    connect(proxy);
  });
  drain.join();
  for (const auto& proxy : proxies)
    EXPECT_TRUE(proxy->Await([&] { return !proxy->HoldsHealthyEndpoint("one", "10.0.0.1"); }));
  EXPECT_TRUE(service.Await([](const auto& statistics) { return statistics.streams == 200; }));
}

TEST(XdsServerLimits, RefusesPlaintextOutsideLoopback) {
  xds::ControlServerOptions options;
  options.address = "0.0.0.0:0";
  EXPECT_THROW(xds::ControlServer{options}, std::runtime_error);
}

}  // namespace
}  // namespace opalswitch::testing
