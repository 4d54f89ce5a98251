// Tests of one proxy's stream: versions, nonces, ACK and NACK by the published protocol, and the order of
// resource types.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "xds/session.hpp"

namespace opalswitch::testing {
namespace {

using xds::Resource;
using xds::ResourceMap;
using xds::ResourceType;
using xds::Session;
using xds::Snapshot;
using xds::XdsRequest;
using xds::XdsResponse;
using Variant = xds::Session::Variant;

xds::ResourcePtr MakeResource(const std::string& name, const std::string& version,
                              std::set<std::string> clusters = {}) {
  return std::make_shared<Resource>(Resource{name, version, name + version, std::move(clusters)});
}

constexpr std::size_t Index(ResourceType type) { return static_cast<std::size_t>(type); }

std::string VersionOf(const xds::ResourcePtr& resource) { return resource ? resource->version : ""; }

// Versions by resource name.
using Versions = std::map<std::string, std::string>;
Snapshot MakeSnapshot(
    const Versions& clusters, const Versions& endpoints, const Versions& listeners = {},
    const std::map<std::string, std::pair<std::string, std::set<std::string>>>& routes = {}) {
  std::array<ResourceMap, xds::kResourceTypeCount> all;
  for (const auto& [name, version] : clusters)
    all[Index(ResourceType::kCluster)][name] = MakeResource(name, version);
  for (const auto& [name, version] : endpoints)
    all[Index(ResourceType::kEndpoint)][name] = MakeResource(name, version);
  for (const auto& [name, version] : listeners)
    all[Index(ResourceType::kListener)][name] = MakeResource(name, version);
  for (const auto& [name, route] : routes)
    all[Index(ResourceType::kRoute)][name] = MakeResource(name, route.first, route.second);
  return Snapshot(std::move(all));
}

XdsRequest Subscribe(ResourceType type, std::vector<std::string> names = {}) {
  XdsRequest request;
  request.type = type;
  request.names = names;
  request.subscribe = std::move(names);
  return request;
}

// The proxy's ACK of a response; in the state-of-the-world variant with the names that it subscribes to.
XdsRequest Ack(const XdsResponse& response, std::vector<std::string> names = {}) {
  XdsRequest request;
  request.type = response.type;
  request.nonce = response.nonce;
  request.version = response.version;
  request.names = std::move(names);
  return request;
}
XdsRequest Nack(const XdsResponse& response, std::vector<std::string> names = {}) {
  XdsRequest request = Ack(response, std::move(names));
  request.error_detail = "bad resource";
  return request;
}

std::vector<std::string> Names(const XdsResponse& response) {
  std::vector<std::string> names;
  for (const auto& resource : response.resources) names.push_back(resource->name + "@" + resource->version);
  return names;
}
using Strings = std::vector<std::string>;

TEST(XdsSession, WildcardGetsAllResourcesAndThenOnlyChanges) {
  for (const Variant variant : {Variant::kStateOfTheWorld, Variant::kDelta}) {
    Session session(variant);
    const Snapshot one = MakeSnapshot({{"a", "1"}, {"b", "1"}}, {});
    EXPECT_FALSE(session.NextResponse(one));  // nothing is subscribed
    EXPECT_FALSE(session.HandleRequest(Subscribe(ResourceType::kCluster), one));
    const auto first = session.NextResponse(one);
    ASSERT_TRUE(first);
    EXPECT_EQ(Names(*first), (Strings{"a@1", "b@1"}));
    EXPECT_FALSE(session.NextResponse(one));
    session.HandleRequest(Ack(*first), one);
    EXPECT_FALSE(session.NextResponse(one));
    const Snapshot two = MakeSnapshot({{"b", "2"}, {"c", "1"}}, {});
    const auto second = session.NextResponse(two);
    ASSERT_TRUE(second);
    EXPECT_EQ(Names(*second), (Strings{"b@2", "c@1"}));
    // State of the world: "a" is removed by not being listed.
    EXPECT_EQ(second->removed, variant == Variant::kDelta ? Strings{"a"} : Strings{});
    session.HandleRequest(Ack(*second), two);
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "b")), "2");
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "a")), "");
    EXPECT_FALSE(session.NextResponse(two));
  }
}

TEST(XdsSession, WildcardWithoutResourcesGetsAnEmptyResponse) {
  Session session(Variant::kStateOfTheWorld);
  const Snapshot none = MakeSnapshot({}, {});
  session.HandleRequest(Subscribe(ResourceType::kListener), none);
  const auto answer = session.NextResponse(none);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->resources.empty());
}

TEST(XdsSession, IgnoresAStaleNonce) {
  Session session(Variant::kStateOfTheWorld);
  const Snapshot one = MakeSnapshot({}, {{"a", "1"}, {"b", "1"}});
  session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"a"}), one);
  const auto first = session.NextResponse(one);
  const Snapshot two = MakeSnapshot({}, {{"a", "2"}, {"b", "1"}});
  const auto second = session.NextResponse(two);
  ASSERT_TRUE(second);
  // The request answers the first response: its subscriptions are outdated.
  session.HandleRequest(Ack(*first, {"a", "b"}), two);
  EXPECT_EQ(session.stale_nonces(), 1u);
  EXPECT_FALSE(session.IsSubscribed(ResourceType::kEndpoint, "b"));
  XdsRequest unknown = Ack(*second, {"b"});
  unknown.nonce = "77";
  session.HandleRequest(unknown, two);
  EXPECT_EQ(session.stale_nonces(), 2u);
  EXPECT_TRUE(session.IsSubscribed(ResourceType::kEndpoint, "a"));
  session.HandleRequest(Ack(*second, {"a", "b"}), two);
  EXPECT_EQ(Names(*session.NextResponse(two)), Strings{"b@1"});
}

// Guards against delayed drains: an update must not wait for the acknowledgement of the previous one.
TEST(XdsSession, SendsAnUpdateWhileThePreviousIsUnacknowledged) {
  for (const Variant variant : {Variant::kStateOfTheWorld, Variant::kDelta}) {
    Session session(variant);
    const Snapshot one = MakeSnapshot({}, {{"a", "1"}});
    session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"a"}), one);
    const auto first = session.NextResponse(one);
    const Snapshot two = MakeSnapshot({}, {{"a", "drained"}});
    const auto second = session.NextResponse(two);
    ASSERT_TRUE(second);
    EXPECT_EQ(Names(*second), Strings{"a@drained"});
    session.HandleRequest(Ack(*first, {"a"}), two);
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kEndpoint, "a")), "1");
    EXPECT_FALSE(session.NextResponse(two));
    session.HandleRequest(Ack(*second, {"a"}), two);
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kEndpoint, "a")), "drained");
  }
}

// Guards against one bad resource that blocks others: the good one arrives, and the proxy keeps the last
// accepted version of the bad one.
TEST(XdsSession, NackOfOneOfTwoChangedResourcesDoesNotHoldBackTheOther) {
  for (const Variant variant : {Variant::kStateOfTheWorld, Variant::kDelta}) {
    Session session(variant);
    const Snapshot one = MakeSnapshot({{"bad", "1"}, {"good", "1"}}, {});
    session.HandleRequest(Subscribe(ResourceType::kCluster), one);
    const auto first = session.NextResponse(one);
    session.HandleRequest(Ack(*first), one);
    const Snapshot two = MakeSnapshot({{"bad", "2"}, {"good", "2"}}, {});
    const auto both = session.NextResponse(two);
    session.HandleRequest(Nack(*both), two);
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "good")), "1");
    ASSERT_TRUE(session.last_rejection());
    EXPECT_EQ(session.last_rejection()->names, (Strings{"bad", "good"}));
    EXPECT_EQ(session.last_rejection()->reason, "bad resource");
    int answers = 0;
    while (const auto next = session.NextResponse(two)) {
      ASSERT_LE(++answers, 4);
      const auto names = Names(*next);
      const bool bad = std::find(names.begin(), names.end(), "bad@2") != names.end();
      session.HandleRequest(bad ? Nack(*next) : Ack(*next), two);
    }
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "good")), "2");
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "bad")), "1");
    EXPECT_EQ(session.nacks(), 2u);
    // A corrected version is sent.
    const Snapshot three = MakeSnapshot({{"bad", "3"}, {"good", "2"}}, {});
    const auto corrected = session.NextResponse(three);
    ASSERT_TRUE(corrected);
    session.HandleRequest(Ack(*corrected), three);
    EXPECT_EQ(VersionOf(session.AcceptedResource(ResourceType::kCluster, "bad")), "3");
  }
}

TEST(XdsSession, SendsClustersBeforeRoutesAndRemovesThemAfter) {
  for (const Variant variant : {Variant::kStateOfTheWorld, Variant::kDelta}) {
    Session session(variant);
    const auto routes = [](const std::string& version, const std::string& to) {
      return std::map<std::string, std::pair<std::string, std::set<std::string>>>{{"r", {version, {to}}}};
    };
    const Snapshot one = MakeSnapshot({{"old", "1"}}, {{"old", "1"}}, {{"l", "1"}}, routes("1", "old"));
    session.HandleRequest(Subscribe(ResourceType::kRoute, {"r"}), one);
    session.HandleRequest(Subscribe(ResourceType::kListener), one);
    session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"old"}), one);
    session.HandleRequest(Subscribe(ResourceType::kCluster), one);
    std::vector<ResourceType> order;
    Strings endpoints = {"old"};
    const auto names_of = [&](ResourceType type) {
      return type == ResourceType::kRoute      ? Strings{"r"}
             : type == ResourceType::kEndpoint ? endpoints
                                               : Strings{};
    };
    while (auto next = session.NextResponse(one)) {
      order.push_back(next->type);
      std::vector<XdsResponse> out = {*next};
      while (auto more = session.NextResponse(one)) order.push_back(more->type), out.push_back(*more);
      for (const XdsResponse& response : out)
        session.HandleRequest(Ack(response, names_of(response.type)), one);
    }
    EXPECT_EQ(order, (std::vector<ResourceType>{ResourceType::kCluster, ResourceType::kEndpoint,
                                                ResourceType::kListener, ResourceType::kRoute}));
    // A route moves to another cluster: the new cluster is sent first, the old one is removed last.
    const Snapshot two = MakeSnapshot({{"new", "1"}}, {{"new", "1"}}, {{"l", "1"}}, routes("2", "new"));
    const auto made = session.NextResponse(two);
    ASSERT_TRUE(made);
    EXPECT_EQ(made->type, ResourceType::kCluster);
    EXPECT_TRUE(made->removed.empty());
    const auto names = Names(*made);
    EXPECT_NE(std::find(names.begin(), names.end(), "new@1"), names.end());
    endpoints = {"new"};
    if (variant == Variant::kDelta) session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"new"}), two);
    for (auto next = session.NextResponse(two); next; next = session.NextResponse(two)) {
      EXPECT_NE(next->type, ResourceType::kRoute);  // not before the cluster is acknowledged
      session.HandleRequest(Ack(*next, names_of(next->type)), two);
    }
    session.HandleRequest(Ack(*made), two);
    const auto moved = session.NextResponse(two);
    ASSERT_TRUE(moved);
    EXPECT_EQ(moved->type, ResourceType::kRoute);
    EXPECT_FALSE(session.NextResponse(two));
    session.HandleRequest(Ack(*moved, {"r"}), two);
    const auto broken = session.NextResponse(two);
    ASSERT_TRUE(broken);
    EXPECT_EQ(broken->type, ResourceType::kCluster);
    EXPECT_EQ(broken->removed, variant == Variant::kDelta ? Strings{"old"} : Strings{});
    EXPECT_EQ(Names(*broken), variant == Variant::kDelta ? Strings{} : Strings{"new@1"});
  }
}

// After a restart of the control service, or when a proxy switches from another instance, nothing is sent
// again.
TEST(XdsSession, ReconnectedProxyIsNotSentWhatItAlreadyHas) {
  const Snapshot now = MakeSnapshot({{"a", "1"}, {"b", "2"}}, {{"a", "5"}});
  Session delta(Variant::kDelta);
  XdsRequest request = Subscribe(ResourceType::kCluster);
  request.initial_versions = {{"a", "1"}, {"b", "2"}};
  delta.HandleRequest(request, now);
  EXPECT_FALSE(delta.NextResponse(now));
  XdsRequest endpoints = Subscribe(ResourceType::kEndpoint, {"a"});
  endpoints.initial_versions = {{"a", "4"}};
  delta.HandleRequest(endpoints, now);
  EXPECT_EQ(Names(*delta.NextResponse(now)), Strings{"a@5"});
  Session state_of_the_world(Variant::kStateOfTheWorld);
  XdsRequest whole = Subscribe(ResourceType::kCluster);
  whole.version = now.version(ResourceType::kCluster);
  whole.nonce = "of another stream";
  state_of_the_world.HandleRequest(whole, now);
  EXPECT_FALSE(state_of_the_world.NextResponse(now));
  const Snapshot later = MakeSnapshot({{"a", "1"}, {"b", "3"}}, {{"a", "5"}});
  EXPECT_EQ(Names(*state_of_the_world.NextResponse(later)), (Strings{"a@1", "b@3"}));
}

TEST(XdsSession, ResourceRemovedWhileAProxyWasDisconnectedIsRemovedFromIt) {
  const Snapshot now = MakeSnapshot({{"a", "1"}}, {});
  Session session(Variant::kDelta);
  XdsRequest request = Subscribe(ResourceType::kCluster);
  request.initial_versions = {{"a", "1"}, {"gone", "1"}};
  session.HandleRequest(request, now);
  const auto answer = session.NextResponse(now);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->resources.empty());
  EXPECT_EQ(answer->removed, Strings{"gone"});
}

TEST(XdsSession, DeltaSubscribesAndUnsubscribes) {
  const Snapshot now = MakeSnapshot({}, {{"a", "1"}, {"b", "1"}});
  Session session(Variant::kDelta);
  session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"a", "nowhere"}), now);
  const auto first = session.NextResponse(now);
  ASSERT_TRUE(first);
  EXPECT_EQ(Names(*first), Strings{"a@1"});
  EXPECT_EQ(first->removed, Strings{"nowhere"});  // reported once as not existing
  session.HandleRequest(Ack(*first), now);
  EXPECT_FALSE(session.NextResponse(now));
  session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"b", "a"}), now);  // "a" is requested again
  EXPECT_EQ(Names(*session.NextResponse(now)), (Strings{"a@1", "b@1"}));
  XdsRequest leave;
  leave.type = ResourceType::kEndpoint;
  leave.unsubscribe = {"a"};
  session.HandleRequest(leave, now);
  const Snapshot later = MakeSnapshot({}, {{"a", "2"}, {"b", "2"}, {"nowhere", "1"}});
  EXPECT_EQ(Names(*session.NextResponse(later)), (Strings{"b@2", "nowhere@1"}));
}

TEST(XdsSession, LimitsSubscriptionsNamesAndUnacknowledgedResponses) {
  xds::SessionLimits limits;
  limits.max_subscriptions = 3;
  limits.max_name_bytes = 5;
  limits.max_unacknowledged_responses = 2;
  const Snapshot none = MakeSnapshot({}, {});
  EXPECT_TRUE(Session(Variant::kDelta, limits)
                  .HandleRequest(Subscribe(ResourceType::kEndpoint, {"a", "b", "c", "d"}), none));
  EXPECT_TRUE(Session(Variant::kStateOfTheWorld, limits)
                  .HandleRequest(Subscribe(ResourceType::kEndpoint, {"toolong"}), none));
  Session session(Variant::kDelta, limits);
  EXPECT_FALSE(session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"a", "b"}), none));
  EXPECT_TRUE(session.HandleRequest(Subscribe(ResourceType::kEndpoint, {"c", "d"}), none));
  Session unresponsive(Variant::kDelta, limits);  // sends no ACK
  unresponsive.HandleRequest(Subscribe(ResourceType::kEndpoint, {"a"}), none);
  for (int i = 0; i < 2; ++i)
    EXPECT_TRUE(unresponsive.NextResponse(MakeSnapshot({}, {{"a", std::to_string(i)}})));
  EXPECT_FALSE(unresponsive.NextResponse(MakeSnapshot({}, {{"a", "9"}})));
  EXPECT_TRUE(unresponsive.is_blocked());
}

// A simulated proxy processes responses late, rejects some versions and changes its subscriptions at random.
// In the end it must hold the right versions.
TEST(XdsSession, ConvergesWithARandomlyBehavingProxy) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    const Variant variant = seed % 2 == 0 ? Variant::kStateOfTheWorld : Variant::kDelta;
    Session session(variant);
    const auto is_bad = [&](const xds::ResourcePtr& r) {
      return r->name == "p1" && r->version.ends_with("7");
    };
    std::map<ResourceType, Versions> held;
    std::deque<XdsResponse> inbox;
    std::set<std::string> wanted = {"p0", "p1"};
    const auto snapshot = [&] {
      Versions pools;
      for (int i = 0; i < 4; ++i) {
        if (random() % 5 != 0) pools["p" + std::to_string(i)] = std::to_string(random() % 12);
      }
      return MakeSnapshot(pools, pools);
    };
    Snapshot now = snapshot();
    session.HandleRequest(Subscribe(ResourceType::kCluster), now);
    session.HandleRequest(Subscribe(ResourceType::kEndpoint, {wanted.begin(), wanted.end()}), now);
    const auto names_of = [&](ResourceType type) {
      return type == ResourceType::kEndpoint && variant == Variant::kStateOfTheWorld
                 ? Strings(wanted.begin(), wanted.end())
                 : Strings{};
    };
    const auto take_one = [&] {
      const XdsResponse response = inbox.front();
      inbox.pop_front();
      const bool bad = std::any_of(response.resources.begin(), response.resources.end(), is_bad);
      if (!bad) {
        auto& mine = held[response.type];
        if (variant == Variant::kStateOfTheWorld && response.type == ResourceType::kCluster) mine.clear();
        for (const auto& r : response.resources) mine[r->name] = r->version;
        if (variant == Variant::kDelta) {
          for (const std::string& name : response.removed) mine.erase(name);
        }
      }
      session.HandleRequest(
          bad ? Nack(response, names_of(response.type)) : Ack(response, names_of(response.type)), now);
    };
    for (int step = 0; step < 120; ++step) {
      if (random() % 3 == 0) now = snapshot();
      while (auto next = session.NextResponse(now)) inbox.push_back(*next);
      while (!inbox.empty() && random() % 2 == 0) take_one();
      if (variant == Variant::kDelta && random() % 10 == 0) {
        const std::string name = "p" + std::to_string(random() % 4);
        XdsRequest change;
        change.type = ResourceType::kEndpoint;
        if (wanted.insert(name).second) {
          change.subscribe = {name};
        } else {
          wanted.erase(name);
          change.unsubscribe = {name};
          held[ResourceType::kEndpoint].erase(name);
        }
        session.HandleRequest(change, now);
      }
    }
    for (int i = 0; i < 50; ++i) {
      while (auto next = session.NextResponse(now)) inbox.push_back(*next);
      if (inbox.empty()) break;
      take_one();
    }
    EXPECT_TRUE(inbox.empty()) << seed;
    ResourceMap clusters;
    now.table(ResourceType::kCluster).ForEach([&](const std::string& name, const auto& one) {
      clusters[name] = one;
    });
    for (const auto& [name, resource] : clusters) {
      if (!is_bad(resource)) {
        EXPECT_EQ(held[ResourceType::kCluster][name], resource->version) << seed << name;
      }
    }
    for (const auto& [name, version] : held[ResourceType::kCluster]) {
      EXPECT_TRUE(clusters.contains(name) || version.empty()) << seed << name;
    }
    for (const std::string& name : wanted) {
      const auto found = now.table(ResourceType::kEndpoint).Find(name);
      if (found && !is_bad(found)) {
        EXPECT_EQ(held[ResourceType::kEndpoint][name], found->version) << seed << name;
      }
    }
  }
}

}  // namespace
}  // namespace opalswitch::testing
