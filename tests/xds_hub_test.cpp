// Tests of the stream hub in simulated time: drains reach all proxies, or the proxies' leases expire,
// whatever happens to their streams.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "xds/stream_hub.hpp"

namespace opalswitch::testing {
namespace {

using xds::Resource;
using xds::ResourceMap;
using xds::ResourceType;
using xds::Session;
using xds::Snapshot;
using xds::StreamHub;
using xds::XdsRequest;

std::shared_ptr<const Snapshot> EndpointSnapshot(const std::map<std::string, std::string>& versions) {
  std::array<ResourceMap, xds::kResourceTypeCount> all;
  for (const auto& [name, version] : versions) {
    static std::uint64_t last_serial = 0;
    all[static_cast<std::size_t>(ResourceType::kEndpoint)][name] =
        std::make_shared<Resource>(Resource{name, version, version, {}, ++last_serial});
  }
  return std::make_shared<Snapshot>(std::move(all));
}

XdsRequest Subscribe(const std::string& pool) {
  XdsRequest request;
  request.type = ResourceType::kEndpoint;
  request.names = request.subscribe = {pool};
  return request;
}

// Returns the proxies that a drain contained in `drained` waits for.
std::vector<StreamHub::PendingProxy> PendingProxies(const StreamHub& hub,
                                                    const std::shared_ptr<const Snapshot>& drained,
                                                    Millis now) {
  const auto list = drained->table(ResourceType::kEndpoint).Find("p");
  return hub.PendingProxies("p", {{"", ResourceType::kEndpoint, "p", list->serial}}, now);
}

// A simulated proxy: it processes messages as they arrive and uses its endpoints only while their lease is
// valid.
struct Proxy {
  std::string version;  // of the endpoints that it uses
  Millis lease_expiry = 0;
  StreamHub::StreamId stream = 0;
  bool is_connected = false, reads = true, answers = true;
  struct Message {
    Millis at;
    StreamHub::OutgoingMessage out;
  };
  std::deque<Message> inbox;  // messages in transit, in order

  bool UsesVersion(const std::string& expected, Millis now) const {
    return version == expected && now < lease_expiry;
  }
};

struct Simulation {
  explicit Simulation(unsigned seed, std::size_t count, const xds::StreamHubOptions& options = {})
      : hub(options), random(seed) {
    hub.SetStrictPools({"p"});
    Deliver(hub.Publish("", EndpointSnapshot({{"p", "1"}}), true, now));
    proxies.resize(count);
    for (std::size_t i = 0; i < count; ++i) Connect(i);
  }
  void Connect(std::size_t i) {
    Proxy& proxy = proxies[i];
    proxy.stream = ++streams;
    proxy.is_connected = hub.OpenStream(proxy.stream, variant, now);
    proxy.inbox.clear();
    by_stream[proxy.stream] = i;
    if (!proxy.is_connected) return;
    XdsRequest request = Subscribe("p");
    if (variant == Session::Variant::kDelta && !proxy.version.empty() && now < proxy.lease_expiry) {
      request.initial_versions = {{"p", proxy.version}};
    }
    Deliver(hub.HandleRequest(proxy.stream, {"proxy-" + std::to_string(i), "", ""}, request, now));
  }
  // Closes the stream: at most `keep` of the messages in transit still arrive.
  void Disconnect(std::size_t i, std::size_t keep) {
    Proxy& proxy = proxies[i];
    if (!proxy.is_connected) return;
    proxy.is_connected = false;
    hub.OnStreamClosed(proxy.stream, now);
    if (proxy.inbox.size() > keep) proxy.inbox.resize(keep);
  }
  void Deliver(std::vector<StreamHub::OutgoingMessage> all) {
    for (StreamHub::OutgoingMessage& out : all) {
      Proxy& proxy = proxies[by_stream.at(out.stream)];
      if (out.close_reason) {
        proxy.is_connected = false;
        continue;
      }
      Millis at = now + 1 + static_cast<double>(random() % 40);
      if (!proxy.inbox.empty()) at = std::max(at, proxy.inbox.back().at);
      proxy.inbox.push_back({at, std::move(out)});
    }
  }
  void Step() {
    now += 1;
    Deliver(hub.Tick(now));
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      Proxy& proxy = proxies[i];
      while (proxy.reads && !proxy.inbox.empty() && proxy.inbox.front().at <= now) {
        const StreamHub::OutgoingMessage out = std::move(proxy.inbox.front().out);
        proxy.inbox.pop_front();
        for (const auto& resource : out.response.resources) proxy.version = resource->version;
        const bool is_leased =
            std::find(out.leased_names.begin(), out.leased_names.end(), "p") != out.leased_names.end();
        if (is_leased) proxy.lease_expiry = now + 400;
        if (!proxy.is_connected || !proxy.answers) continue;
        XdsRequest ack = Subscribe("p");
        ack.subscribe.clear();
        ack.nonce = out.response.nonce;
        Deliver(hub.HandleRequest(proxy.stream, {}, ack, now));
      }
    }
  }

  StreamHub hub;
  std::mt19937 random;
  Session::Variant variant = Session::Variant::kDelta;
  Millis now = 1000;
  std::vector<Proxy> proxies;
  std::map<StreamHub::StreamId, std::size_t> by_stream;
  StreamHub::StreamId streams = 0;
};

TEST(XdsStreamHub, HeartbeatsRenewLeasesOfResponsiveProxies) {
  Simulation simulation(1, 5);
  for (int i = 0; i < 3000; ++i) {
    simulation.Step();
    if (i < 100) continue;
    for (const Proxy& proxy : simulation.proxies) ASSERT_TRUE(proxy.UsesVersion("1", simulation.now)) << i;
  }
}

// Guards against proxies that keep sending to a drained node: drains at any time, while streams break at
// every message boundary and proxies miss the drain, read nothing, acknowledge nothing or reconnect. No proxy
// may use the old endpoints for 500 ms.
TEST(XdsStreamHub, NoProxyUsesOutdatedEndpointsFor500MsAfterADrain) {
  double longest_use = 0;
  for (unsigned seed = 0; seed < 400; ++seed) {
    Simulation simulation(seed, 8);
    simulation.variant = seed % 2 == 0 ? Session::Variant::kDelta : Session::Variant::kStateOfTheWorld;
    for (std::size_t i = 0; i < 8; ++i) simulation.Disconnect(i, 0), simulation.Connect(i);
    const int steps_before = 300 + static_cast<int>(simulation.random() % 500);
    for (int i = 0; i < steps_before; ++i) simulation.Step();
    for (std::size_t i = 0; i < 8; ++i) {
      switch (simulation.random() % 6) {
        case 0: simulation.Disconnect(i, 0); break;
        case 1: simulation.Disconnect(i, simulation.random() % 3); break;
        case 2: simulation.proxies[i].answers = false; break;
        default: break;
      }
    }
    const Millis drained_at = simulation.now;
    simulation.Deliver(simulation.hub.Publish("", EndpointSnapshot({{"p", "2"}}), true, simulation.now));
    for (std::size_t i = 0; i < 8; ++i) {
      if (simulation.random() % 4 == 0)
        simulation.Disconnect(i, simulation.random() % 2);  // in the middle of the update
    }
    // Weights keep changing, which must not renew the lease of old endpoints.
    for (int i = 0; i < 700; ++i) {
      simulation.Step();
      if (i % 50 == 10) {
        simulation.Deliver(simulation.hub.Publish("", EndpointSnapshot({{"p", "2." + std::to_string(i)}}),
                                                  false, simulation.now));
      }
      for (std::size_t k = 0; k < 8; ++k) {
        if (simulation.proxies[k].UsesVersion("1", simulation.now))
          longest_use = std::max(longest_use, simulation.now - drained_at);
        if (!simulation.proxies[k].is_connected && simulation.random() % 200 == 0) simulation.Connect(k);
      }
    }
  }
  EXPECT_LT(longest_use, 500);
  // Some proxies were disconnected and used the endpoints until their lease expired.
  EXPECT_GT(longest_use, 100);
}

TEST(XdsStreamHub, PendingProxiesNamesThoseThatMayUseOutdatedEndpoints) {
  Simulation simulation(3, 3);
  for (int i = 0; i < 200; ++i) simulation.Step();
  simulation.Disconnect(0, 0);
  simulation.proxies[1].answers = false;
  const auto drained = EndpointSnapshot({{"p", "2"}});
  simulation.Deliver(simulation.hub.Publish("", drained, true, simulation.now));
  auto pending = PendingProxies(simulation.hub, drained, simulation.now);
  EXPECT_EQ(pending.size(), 3u);
  for (int i = 0; i < 100; ++i) simulation.Step();
  pending = PendingProxies(simulation.hub, drained, simulation.now);
  ASSERT_EQ(pending.size(), 2u);
  std::set<std::string> names;
  for (const auto& proxy : pending) names.insert(proxy.proxy);
  EXPECT_EQ(names, (std::set<std::string>{"proxy-0", "proxy-1"}));
  for (int i = 0; i < 400; ++i) simulation.Step();
  EXPECT_TRUE(PendingProxies(simulation.hub, drained, simulation.now).empty());
}

TEST(XdsStreamHub, StaticPoolHasNoLeaseAndItsDrainWaitsForTheProxy) {
  StreamHub hub({});
  hub.Publish("", EndpointSnapshot({{"p", "1"}}), true, 0);
  ASSERT_TRUE(hub.OpenStream(1, Session::Variant::kDelta, 0));
  const auto first = hub.HandleRequest(1, {"a", "", ""}, Subscribe("p"), 0);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(first[0].leased_names.empty());
  const auto drained = EndpointSnapshot({{"p", "2"}});
  hub.Publish("", drained, true, 100);
  EXPECT_EQ(PendingProxies(hub, drained, 100000).size(), 1u);
  hub.OnStreamClosed(1, 100001);  // a disconnected proxy may use the endpoints forever
  EXPECT_EQ(PendingProxies(hub, drained, 1e12).size(), 1u);
  ASSERT_TRUE(hub.OpenStream(2, Session::Variant::kDelta, 2e12));
  const auto messages = hub.HandleRequest(2, {"a", "", ""}, Subscribe("p"), 2e12);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(PendingProxies(hub, drained, 2e12).size(), 1u);
  XdsRequest ack;
  ack.type = ResourceType::kEndpoint;
  ack.nonce = messages[0].response.nonce;
  hub.HandleRequest(2, {"a", "", ""}, ack, 2e12);
  // The proxy has reconnected and accepted the drain.
  EXPECT_TRUE(PendingProxies(hub, drained, 2e12).empty());
}

// Guards against a proxy without endpoints: it drops a strict pool's endpoints when an outage outlasts their
// lease.
TEST(XdsStreamHub, ProxyWithAnExpiredLeaseIsSentTheEndpointsAgainOnceItAnswers) {
  Simulation simulation(9, 1);
  for (int i = 0; i < 200; ++i) simulation.Step();
  simulation.proxies[0].reads = false;
  for (int i = 0; i < 1000; ++i) simulation.Step();
  EXPECT_FALSE(simulation.proxies[0].UsesVersion("1", simulation.now));
  simulation.proxies[0].reads = true;
  for (int i = 0; i < 500; ++i) simulation.Step();
  EXPECT_TRUE(simulation.proxies[0].UsesVersion("1", simulation.now));
}

TEST(XdsStreamHub, EndpointsThatAProxyAlreadyHasAreSentAgainOnlyForStrictPools) {
  StreamHub hub({});
  hub.SetStrictPools({"p"});
  hub.Publish("", EndpointSnapshot({{"p", "1"}, {"q", "1"}}), true, 0);
  ASSERT_TRUE(hub.OpenStream(1, Session::Variant::kDelta, 0));
  XdsRequest back;
  back.type = ResourceType::kEndpoint;
  back.subscribe = {"p", "q"};
  back.initial_versions = {{"p", "1"}, {"q", "1"}};
  const auto messages = hub.HandleRequest(1, {"a", "", ""}, back, 0);
  ASSERT_EQ(messages.size(), 1u);
  ASSERT_EQ(messages[0].response.resources.size(), 1u);
  EXPECT_EQ(messages[0].leased_names, std::vector<std::string>{"p"});
  // One pool ceases to be strict, another one becomes strict.
  hub.SetStrictPools({"q"});
  const auto again = hub.Publish("", EndpointSnapshot({{"p", "1"}, {"q", "1"}}), true, 1);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].response.resources.size(), 2u);
  EXPECT_EQ(again[0].leased_names, std::vector<std::string>{"q"});
}

TEST(XdsStreamHub, DrainAfterARestartWaitsForLeasesOfTheEarlierRun) {
  StreamHub hub({}, /*started_at=*/1000);
  hub.SetStrictPools({"p"});
  const auto drained = EndpointSnapshot({{"p", "2"}});
  hub.Publish("", drained, true, 1000);
  ASSERT_EQ(PendingProxies(hub, drained, 1399).size(), 1u);
  EXPECT_EQ(PendingProxies(hub, drained, 1399)[0].lease_expiry, 1400);
  EXPECT_TRUE(PendingProxies(hub, drained, 1400).empty());
}

TEST(XdsStreamHub, TwoHundredSimultaneousReconnectsDoNotDelayADrain) {
  Simulation simulation(5, 200);
  for (int i = 0; i < 500; ++i) simulation.Step();
  for (std::size_t i = 0; i < 200; ++i) simulation.Disconnect(i, 0);
  for (std::size_t i = 0; i < 200; ++i) simulation.Connect(i);
  const Millis drained_at = simulation.now;
  const auto list = EndpointSnapshot({{"p", "2"}});
  simulation.Deliver(simulation.hub.Publish("", list, true, simulation.now));
  double longest_use = 0;
  for (int i = 0; i < 600; ++i) {
    simulation.Step();
    for (const Proxy& proxy : simulation.proxies) {
      if (proxy.UsesVersion("1", simulation.now))
        longest_use = std::max(longest_use, simulation.now - drained_at);
    }
  }
  EXPECT_LT(longest_use, 100);  // the drain reached all proxies
  EXPECT_TRUE(PendingProxies(simulation.hub, list, simulation.now).empty());
}

TEST(XdsStreamHub, ChangesThatAreNotUrgentAreCombined) {
  Simulation simulation(6, 1);
  for (int i = 0; i < 300; ++i) simulation.Step();
  const auto before = simulation.hub.statistics().pushes;
  for (int i = 0; i < 150; ++i) {
    simulation.Step();
    simulation.Deliver(simulation.hub.Publish("", EndpointSnapshot({{"p", "w" + std::to_string(i)}}), false,
                                              simulation.now));
  }
  for (int i = 0; i < 250; ++i) simulation.Step();
  EXPECT_EQ(simulation.hub.statistics().pushes, before + 1);
  EXPECT_EQ(simulation.proxies[0].version, "w149");
}

TEST(XdsStreamHub, ProxiesReceiveTheSnapshotOfTheirGroup) {
  StreamHub hub({});
  hub.SetGroupSelector([](const xds::ProxyNode& node) { return node.cluster; });
  hub.Publish("edge", EndpointSnapshot({{"p", "edge"}}), true, 0);
  hub.Publish("inner", EndpointSnapshot({{"p", "inner"}}), true, 0);
  for (const auto& [stream, cluster] :
       std::map<StreamHub::StreamId, std::string>{{1, "edge"}, {2, "inner"}}) {
    ASSERT_TRUE(hub.OpenStream(stream, Session::Variant::kDelta, 0));
    const auto out = hub.HandleRequest(stream, {"x", cluster, ""}, Subscribe("p"), 0);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].response.resources[0]->version, cluster);
  }
  ASSERT_TRUE(hub.OpenStream(3, Session::Variant::kDelta, 0));
  EXPECT_TRUE(hub.HandleRequest(3, {"x", "unknown", ""}, Subscribe("p"), 0).empty());
}

TEST(XdsStreamHub, StreamsThatExceedLimitsAreClosed) {
  xds::StreamHubOptions options;
  options.max_streams = 2;
  options.session_limits.max_subscriptions = 1;
  options.ack_timeout = 1000;
  StreamHub hub(options);
  hub.Publish("", EndpointSnapshot({{"p", "1"}}), true, 0);
  EXPECT_TRUE(hub.OpenStream(1, Session::Variant::kDelta, 0));
  EXPECT_TRUE(hub.OpenStream(2, Session::Variant::kDelta, 0));
  EXPECT_FALSE(hub.OpenStream(3, Session::Variant::kDelta, 0));
  XdsRequest many = Subscribe("p");
  many.subscribe.push_back("q");
  const auto ended = hub.HandleRequest(1, {"a", "", ""}, many, 0);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_TRUE(ended[0].close_reason);
  EXPECT_TRUE(hub.OpenStream(3, Session::Variant::kDelta, 0));
  EXPECT_EQ(hub.HandleRequest(2, {"b", "", ""}, Subscribe("p"), 0).size(), 1u);  // never acknowledged
  std::vector<StreamHub::OutgoingMessage> out;
  for (Millis now = 1; now <= 1000 && out.empty(); now += 1) {
    for (StreamHub::OutgoingMessage& item : hub.Tick(now)) {
      if (item.close_reason) out.push_back(std::move(item));
    }
  }
  ASSERT_EQ(out.size(), 1u);
  EXPECT_EQ(out[0].stream, 2u);
}

}  // namespace
}  // namespace opalswitch::testing
