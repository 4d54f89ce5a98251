// The module with thousands of servers: a choice is what it would be if all were gone through, and finds the
// few that are ready among the many that are not.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

// Ends the request's attempt and gives the latency that its server has.
void Answer(FakeGateway& gateway, const std::string& id, const std::string& server, Millis latency,
            Result result = Result::kServed) {
  gateway.now += latency;
  gateway.FinishAttempt(id, server, result, latency);
}

// Of 300 servers each is as likely as the others, where nothing tells them apart; and what is drawn second
// differs from what is drawn first.
TEST(Fleet, AChoiceAmongManyIsEvenAsIfAllWereGoneThrough) {
  constexpr int kServers = 300, kAsks = 60000;
  FakeGateway gateway;
  gateway.SetServerCount(kServers);
  std::map<std::string, int> taken;
  for (int i = 0; i < kAsks; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty());
    ++taken[server];
    Answer(gateway, id, server, 1);
    if (i % 10 == 0) gateway.HandleEvent(TimerDue{"sweep"});
  }
  ASSERT_EQ(taken.size(), static_cast<std::size_t>(kServers));
  double chi = 0;
  const double expected = 1.0 * kAsks / kServers;
  for (const auto& [server, n] : taken) chi += (n - expected) * (n - expected) / expected;
  EXPECT_LT(chi, kServers + 6 * std::sqrt(2.0 * kServers));
}

// Two-sample choice by its own law: of N servers, the one that costs the k-th least is taken with the chance
// 2 (N - k) / (N (N - 1)).
TEST(Fleet, TheBetterOfTwoIsTakenAsOftenAsTheLawSays) {
  constexpr int kServers = 100, kAsks = 40000;
  FakeGateway gateway;
  gateway.SetServerCount(kServers);
  // Latencies that differ for good: server k takes k + 10 ms. Enough answers each that the estimates are
  // firm.
  const auto latency = [](const std::string& server) { return 10.0 + std::stoi(server.substr(1)); };
  for (int i = 0; i < 60 * kServers; ++i) {
    const std::string id = "w" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty());
    Answer(gateway, id, server, latency(server));
    gateway.HandleEvent(TimerDue{"sweep"});
  }
  std::vector<int> taken(kServers);
  for (int i = 0; i < kAsks; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ++taken[static_cast<std::size_t>(std::stoi(server.substr(1)))];
    Answer(gateway, id, server, latency(server));
    gateway.HandleEvent(TimerDue{"sweep"});
  }
  for (const int tenth : {0, 3, 6, 9}) {  // by tenths of the ranks
    double seen = 0, law = 0;
    for (int k = tenth * 10; k < tenth * 10 + 10; ++k) {
      seen += taken[static_cast<std::size_t>(k)];
      law += kAsks * 2.0 * (kServers - 1 - k) / (kServers * (kServers - 1.0));
    }
    EXPECT_NEAR(seen, law, 0.12 * law + 60) << tenth;
  }
}

// 10,000 servers, all but ten of which are at rest, full or suspect: each request finds one of the ten.
class FewReady : public ::testing::Test {
 protected:
  static constexpr int kServers = 10000;
  void Find() {
    for (int i = 0; i < 300; ++i) {
      const std::string id = "f" + std::to_string(i);
      const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
      ASSERT_TRUE(free.contains(server)) << i << " went to '" << server << "'";
      gateway.FinishAttempt(id, server, Result::kServed, 5);
    }
  }
  FakeGateway gateway;
  std::set<std::string> free;
};

TEST_F(FewReady, AmongFullOnesAreFound) {
  std::vector<Server> servers;
  for (int i = 0; i < kServers; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
  gateway.SetServers(servers);
  // Fills every server with what it takes, then lets ten of them answer.
  std::map<std::string, std::vector<std::string>> out;
  int held = 0;
  for (int i = 0; held < 50; ++i) {
    gateway.now += 0.2;
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay", 1e9));
    ASSERT_LT(i, 200000);
    if (server.empty()) {
      ++held;
      gateway.HandleEvent(ClientGone{id});
    } else {
      out[server].push_back(id);
    }
  }
  EXPECT_EQ(out.size(), static_cast<std::size_t>(kServers));
  for (int i = 0; i < 10; ++i) free.insert("s" + std::to_string(977 * i));
  for (const std::string& server : free) {
    for (const std::string& id : out[server]) gateway.FinishAttempt(id, server, Result::kServed, 5);
  }
  gateway.now += 100;
  Find();
}

// A thousand here: they become suspects a few at a time, for failures that all have alike are nobody's fault.
TEST_F(FewReady, AmongSuspectsAreFound) {
  std::vector<Server> servers;
  for (int i = 0; i < 1000; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
  for (int i = 0; i < 10; ++i) free.insert("s" + std::to_string(97 * i));
  gateway.SetServers(servers);
  std::size_t trusted = servers.size();
  for (int asked = 0; trusted > free.size() && asked < 400000;) {
    std::set<std::string> bad;
    trusted = 0;
    for (const ServerStatus& verdict : gateway.policy.ServerStatuses()) trusted += !verdict.ejected;
    for (const ServerStatus& verdict : gateway.policy.ServerStatuses()) {
      if (verdict.ejected || free.contains(verdict.server)) continue;
      if (bad.size() < std::max<std::size_t>(1, trusted / 50)) bad.insert(verdict.server);
    }
    for (std::size_t i = 0; i < 3 * trusted; ++i, ++asked) {  // unsafe ones: no trials on the way
      gateway.now += 0.5;
      const std::string id = "r" + std::to_string(asked),
                        server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay", 1e9));
      gateway.FinishAttempt(id, server, bad.contains(server) ? Result::kError : Result::kServed, 5);
      if (i % 20 == 0) gateway.HandleEvent(TimerDue{"sweep"});
    }
  }
  ASSERT_EQ(trusted, free.size());
  Find();
}

TEST_F(FewReady, AmongColdOnesAreFound) {
  std::vector<Server> servers;
  gateway.now = 1e6;
  for (int i = 0; i < 10; ++i) free.insert("s" + std::to_string(977 * i));
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "s" + std::to_string(i);
    servers.push_back(MakeServer(id, "0", free.contains(id) ? 0 : gateway.now));
  }
  gateway.SetServers(servers);
  std::map<std::string, int> taken;
  for (int i = 0; i < 5000; ++i) {
    gateway.now += 0.5;
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty()) << i;
    ++taken[server];
    gateway.FinishAttempt(id, server, Result::kServed, 5);
    if (i % 20 == 0) gateway.HandleEvent(TimerDue{"sweep"});
  }
  // The cold ones get the chance part of a first request, and what the ten earn them.
  for (const auto& [server, n] : taken) {
    EXPECT_TRUE(n <= 3 || free.contains(server)) << server << " took " << n;
  }
  for (const std::string& server : free) EXPECT_GE(taken[server], 50) << server;
}

TEST(Fleet, TenThousandServersReplacedInOneListLeaveNoneOfTheOld) {
  FakeGateway gateway;
  gateway.SetServerCount(10000);
  std::vector<std::pair<std::string, std::string>> out;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    out.push_back({id, FakeGateway::ServerSentTo(gateway.SendRequest(id, "view", 1e9))});
  }
  std::vector<Server> next;
  for (int i = 0; i < 10000; ++i) next.push_back(MakeServer("n" + std::to_string(i)));
  gateway.SetServers(next);
  for (const auto& [id, server] : out)
    gateway.FinishAttempt(id, server, Result::kServed, 20);  // the old ones end what they have
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "x" + std::to_string(i),
                      server = FakeGateway::ServerSentTo(gateway.SendRequest(id));
    ASSERT_EQ(server.substr(0, 1), "n") << server;
    gateway.FinishAttempt(id, server, Result::kServed, 5);
    gateway.now += 1;
  }
  gateway.SetServers({});
  EXPECT_EQ(FakeGateway::ServerSentTo(gateway.SendRequest("none")), "");
}

TEST(Fleet, ADeltaOfOneServerTakesEffectAtOnceAmongMany) {
  for (const int gateways : {1, 200}) {  // all servers, and a subset of them
    Settings settings = MakeSettings();
    settings.gateways = gateways;
    settings.index = 3;
    FakeGateway gateway(settings);
    gateway.SetServerCount(1000);
    std::set<std::string> drained;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "r" + std::to_string(i),
                        server = FakeGateway::ServerSentTo(gateway.SendRequest(id));
      ASSERT_FALSE(server.empty()) << i << " of " << gateways;
      ASSERT_FALSE(drained.contains(server)) << server;
      Server change = MakeServer(server);
      change.state = ServerState::kDraining;
      if (drained.size() < 100) {
        gateway.HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kDelta, {change}});
        drained.insert(server);
      }
      gateway.FinishAttempt(id, server, Result::kServed, 5);
      gateway.now += 10;
      gateway.HandleEvent(TimerDue{"sweep"});
    }
  }
}

// What stood at kStartRate for ever: a few servers that answer at once.
TEST(Rate, GrowsBeyondItsStartWhereItIsUsedUpAndSinksBackWhereNot) {
  FakeGateway gateway;
  gateway.SetServerCount(2);
  const auto second = [&](int asks) {  // that many in a second, evenly; gives how many were sent at once
    int sent = 0;
    for (int i = 0; i < asks; ++i) {
      gateway.now += 1000.0 / asks;
      if (i % (asks / 100) == 0) gateway.HandleEvent(TimerDue{"sweep"});
      const std::string id = "r" + std::to_string(gateway.now),
                        server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
      if (server.empty()) {
        gateway.HandleEvent(ClientGone{id});
        continue;
      }
      ++sent;
      gateway.FinishAttempt(id, server, Result::kServed, 0.2);
    }
    return sent;
  };
  EXPECT_LT(second(10000), 4000);  // 1,000 a server to begin with
  int grown = 0;
  for (int i = 0; i < 10; ++i) grown = second(10000);
  EXPECT_GT(grown, 9000);
  for (int i = 0; i < 60; ++i) second(200);
  EXPECT_LT(second(10000), 5000);
}

}  // namespace
}  // namespace opalswitch::testing
