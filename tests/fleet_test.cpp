// The module with thousands of servers: sampling must select servers with the same probabilities as a scan of
// all servers, and must find the few ready ones among many that are not.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

// Advances the clock by `latency` and ends the request's first attempt.
void FinishAfter(FakeGateway& gateway, const std::string& id, const std::string& server, Millis latency,
                 Result result = Result::kServed) {
  gateway.now += latency;
  gateway.FinishAttempt(id, server, result, latency);
}

// Equal servers must be selected equally often (chi-squared test), and the two candidates must differ.
TEST(LargeMembership, EqualServersAreSelectedEquallyOften) {
  constexpr int kServers = 300, kRequests = 60000;
  FakeGateway gateway;
  gateway.SetServerCount(kServers);
  std::map<std::string, int> requests_sent;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty());
    ++requests_sent[server];
    FinishAfter(gateway, id, server, 1);
    if (i % 10 == 0) gateway.HandleEvent(TimerDue{"sweep"});
  }
  ASSERT_EQ(requests_sent.size(), static_cast<std::size_t>(kServers));
  double chi = 0;
  const double expected = 1.0 * kRequests / kServers;
  for (const auto& [server, n] : requests_sent) chi += (n - expected) * (n - expected) / expected;
  EXPECT_LT(chi, kServers + 6 * std::sqrt(2.0 * kServers));
}

// With the better of two random servers out of N, the server with the k-th lowest cost (from 0) has the
// probability 2 (N - 1 - k) / (N (N - 1)).
TEST(LargeMembership, BetterOfTwoHasTheExpectedDistribution) {
  constexpr int kServers = 100, kRequests = 40000;
  FakeGateway gateway;
  gateway.SetServerCount(kServers);
  // Server k has a constant latency of k + 10 ms. First, enough requests to each that the estimates converge.
  const auto latency = [](const std::string& server) { return 10.0 + std::stoi(server.substr(1)); };
  for (int i = 0; i < 60 * kServers; ++i) {
    const std::string id = "w" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty());
    FinishAfter(gateway, id, server, latency(server));
    gateway.HandleEvent(TimerDue{"sweep"});
  }
  std::vector<int> requests_sent(kServers);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ++requests_sent[static_cast<std::size_t>(std::stoi(server.substr(1)))];
    FinishAfter(gateway, id, server, latency(server));
    gateway.HandleEvent(TimerDue{"sweep"});
  }
  for (const int decile : {0, 3, 6, 9}) {  // by deciles of the ranks
    double observed = 0, expected = 0;
    for (int k = decile * 10; k < decile * 10 + 10; ++k) {
      observed += requests_sent[static_cast<std::size_t>(k)];
      expected += kRequests * 2.0 * (kServers - 1 - k) / (kServers * (kServers - 1.0));
    }
    EXPECT_NEAR(observed, expected, 0.12 * expected + 60) << decile;
  }
}

// 10,000 servers, all but ten of which are full, ejected or cold: each request must be sent to one of the
// ten.
class FewReadyServers : public ::testing::Test {
 protected:
  static constexpr int kServers = 10000;
  void ExpectOnlyFreeServersSelected() {
    for (int i = 0; i < 300; ++i) {
      const std::string id = "f" + std::to_string(i);
      const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
      ASSERT_TRUE(free_servers.contains(server)) << i << " went to '" << server << "'";
      gateway.FinishAttempt(id, server, Result::kServed, 5);
    }
  }
  FakeGateway gateway;
  std::set<std::string> free_servers;
};

TEST_F(FewReadyServers, AreFoundAmongFullOnes) {
  std::vector<Server> servers;
  for (int i = 0; i < kServers; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
  gateway.SetServers(servers);
  // Fills every server to its limit, then ends the requests of ten of them.
  std::map<std::string, std::vector<std::string>> in_flight;
  int queued = 0;
  for (int i = 0; queued < 50; ++i) {
    gateway.now += 0.2;
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay", 1e9));
    ASSERT_LT(i, 200000);
    if (server.empty()) {
      ++queued;
      gateway.HandleEvent(ClientGone{id});
    } else {
      in_flight[server].push_back(id);
    }
  }
  EXPECT_EQ(in_flight.size(), static_cast<std::size_t>(kServers));
  for (int i = 0; i < 10; ++i) free_servers.insert("s" + std::to_string(977 * i));
  for (const std::string& server : free_servers) {
    for (const std::string& id : in_flight[server]) gateway.FinishAttempt(id, server, Result::kServed, 5);
  }
  gateway.now += 100;
  ExpectOnlyFreeServersSelected();
}

// With 1,000 servers. They are made to fail a few at a time, because failures of all servers alike cause no
// ejection.
TEST_F(FewReadyServers, AreFoundAmongEjectedOnes) {
  std::vector<Server> servers;
  for (int i = 0; i < 1000; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
  for (int i = 0; i < 10; ++i) free_servers.insert("s" + std::to_string(97 * i));
  gateway.SetServers(servers);
  std::size_t available = servers.size();
  for (int requests = 0; available > free_servers.size() && requests < 400000;) {
    std::set<std::string> failing;
    available = 0;
    for (const ServerStatus& status : gateway.policy.ServerStatuses()) available += !status.ejected;
    for (const ServerStatus& status : gateway.policy.ServerStatuses()) {
      if (status.ejected || free_servers.contains(status.server)) continue;
      if (failing.size() < std::max<std::size_t>(1, available / 50)) failing.insert(status.server);
    }
    for (std::size_t i = 0; i < 3 * available;
         ++i, ++requests) {  // unsafe requests, which are not used as probes
      gateway.now += 0.5;
      const std::string id = "r" + std::to_string(requests),
                        server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay", 1e9));
      gateway.FinishAttempt(id, server, failing.contains(server) ? Result::kError : Result::kServed, 5);
      if (i % 20 == 0) gateway.HandleEvent(TimerDue{"sweep"});
    }
  }
  ASSERT_EQ(available, free_servers.size());
  ExpectOnlyFreeServersSelected();
}

TEST_F(FewReadyServers, AreFoundAmongColdOnes) {
  std::vector<Server> servers;
  gateway.now = 1e6;
  for (int i = 0; i < 10; ++i) free_servers.insert("s" + std::to_string(977 * i));
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "s" + std::to_string(i);
    servers.push_back(MakeServer(id, "0", free_servers.contains(id) ? 0 : gateway.now));
  }
  gateway.SetServers(servers);
  std::map<std::string, int> requests_sent;
  for (int i = 0; i < 5000; ++i) {
    gateway.now += 0.5;
    const std::string id = "r" + std::to_string(i);
    const std::string server = FakeGateway::ServerSentTo(gateway.SendRequest(id, "pay"));
    ASSERT_FALSE(server.empty()) << i;
    ++requests_sent[server];
    gateway.FinishAttempt(id, server, Result::kServed, 5);
    if (i % 20 == 0) gateway.HandleEvent(TimerDue{"sweep"});
  }
  // The cold servers get their random initial credit, and what they earn by the responses of the ten.
  for (const auto& [server, n] : requests_sent) {
    EXPECT_TRUE(n <= 3 || free_servers.contains(server)) << server << " got " << n;
  }
  for (const std::string& server : free_servers) EXPECT_GE(requests_sent[server], 50) << server;
}

TEST(LargeMembership, ServersReplacedByAFullListGetNoRequests) {
  FakeGateway gateway;
  gateway.SetServerCount(10000);
  std::vector<std::pair<std::string, std::string>> in_flight;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    in_flight.push_back({id, FakeGateway::ServerSentTo(gateway.SendRequest(id, "view", 1e9))});
  }
  std::vector<Server> next;
  for (int i = 0; i < 10000; ++i) next.push_back(MakeServer("n" + std::to_string(i)));
  gateway.SetServers(next);
  for (const auto& [id, server] : in_flight)
    gateway.FinishAttempt(id, server, Result::kServed, 20);  // attempts at the old servers end
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

TEST(LargeMembership, DeltaOfOneServerTakesEffectAtOnce) {
  for (const int gateways : {1, 200}) {  // with all servers in use, and with a subset
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

// Guards against a rate that never exceeds its initial value, with a few fast servers.
TEST(Rate, GrowsBeyondItsInitialValueWhileItIsUsedAndFallsBackOtherwise) {
  FakeGateway gateway;
  gateway.SetServerCount(2);
  // Sends requests evenly over a second. Returns how many were sent at once.
  const auto run_second = [&](int requests_per_s) {
    int sent = 0;
    for (int i = 0; i < requests_per_s; ++i) {
      gateway.now += 1000.0 / requests_per_s;
      if (i % (requests_per_s / 100) == 0) gateway.HandleEvent(TimerDue{"sweep"});
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
  EXPECT_LT(run_second(10000), 4000);  // initially 1,000 per second and server
  int grown = 0;
  for (int i = 0; i < 10; ++i) grown = run_second(10000);
  EXPECT_GT(grown, 9000);
  for (int i = 0; i < 60; ++i) run_second(200);
  EXPECT_LT(run_second(10000), 5000);
}

}  // namespace
}  // namespace opalswitch::testing
