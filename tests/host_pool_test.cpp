// Tests of the connections to hosts, against scripted hosts on loopback.
#include "upstream/host_pool.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "peers.hpp"
#include "standins/hanging_host.hpp"

namespace opalswitch::testing {
namespace {

Server MakeHost(const std::string& id) {
  Server server;
  server.id = id;
  return server;
}

gateway::HostPool::Limits LimitsWithQuietPeriod(Millis quiet_period) {
  gateway::HostPool::Limits limits;
  limits.dial_timeout = limits.idle_timeout = 60000;
  limits.quiet_period = quiet_period;
  return limits;
}

// Host h0 and a pool that sends to it.
struct PoolHarness {
  explicit PoolHarness(const gateway::HostPool::Limits& limits)
      : pool(io, limits, [this](const std::string& line) { log.push_back(line); }) {
    gateway::HostList list;
    list.hosts = {{MakeHost("h0"), host.address()}};
    pool.Update(list);
  }

  // Starts an attempt and waits until the host has received it.
  Peer::ReceivedRequest Start() {
    const std::size_t received = host.requests.size();
    const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
    pool.Start("h0", request, {gateway::Now() + 60000}, [this](Result result, HttpResponse response) {
      results.push_back(result);
      bodies.push_back(response.body());
    });
    EXPECT_TRUE(RunUntil(io, [&] { return host.requests.size() > received; }));
    return host.requests.back();
  }

  // Answers a request and waits until its attempt has ended.
  void Answer(const Peer::ReceivedRequest& request, const std::string& body) {
    const std::size_t ended = results.size();
    request.Answer(200, body);
    EXPECT_TRUE(RunUntil(io, [&] { return results.size() > ended; }));
  }

  asio::io_context io;
  Peer host{io};
  std::vector<std::string> log;
  std::vector<Result> results;
  std::vector<std::string> bodies;
  gateway::HostPool pool;
};

constexpr Millis kLongerThanAnyTestMs = 600000;

// Guards against serving bytes that arrive late behind a response, such as a second copy of it, as the
// response to the next request.
TEST(HostPool, LateBytesBehindAResponseDoNotReachTheNextRequest) {
  for (const char* const late_bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", "noise\r\n\r\n"}) {
    SCOPED_TRACE(late_bytes);
    PoolHarness harness(LimitsWithQuietPeriod(kLongerThanAnyTestMs));
    const auto first = harness.Start();
    harness.Answer(first, "first");
    const auto second = harness.Start();
    first.connection->Raw(late_bytes);
    EXPECT_TRUE(RunUntil(harness.io, [&] { return first.connection->ended || harness.results.size() == 2; }));
    harness.Answer(second, "second");
    EXPECT_EQ(harness.results, (std::vector{Result::kServed, Result::kServed}));
    EXPECT_EQ(harness.bodies, (std::vector<std::string>{"first", "second"}));
    EXPECT_NE(second.connection, first.connection);
  }
}

// Guards against needless connects, which cost hosts work: of several idle connections that have passed the
// quiet period, the most recently used one is taken.
TEST(HostPool, ReusesTheMostRecentlyUsedQuietConnection) {
  PoolHarness harness(LimitsWithQuietPeriod(0));
  const auto first = harness.Start(), second = harness.Start();
  EXPECT_EQ(harness.host.connections.size(), 2u);
  harness.Answer(first, "");
  harness.Answer(second, "");
  const auto third = harness.Start();
  EXPECT_EQ(harness.host.connections.size(), 2u);
  EXPECT_EQ(third.connection, second.connection);
}

// Guards the limit on connections against those that are still in their quiet period: one is closed for a new
// connection.
TEST(HostPool, ClosesAConnectionInItsQuietPeriodWhereTheLimitIsReached) {
  gateway::HostPool::Limits limits = LimitsWithQuietPeriod(kLongerThanAnyTestMs);
  limits.max_connections = 1;
  PoolHarness harness(limits);
  for (std::size_t sent = 1; sent <= 3; ++sent) {
    harness.Answer(harness.Start(), "");
    ASSERT_EQ(harness.host.requests.size(), sent);
    ASSERT_EQ(harness.results.size(), sent);
    EXPECT_EQ(harness.results.back(), Result::kServed);
    EXPECT_EQ(harness.pool.connections(), 1u);
  }
  EXPECT_EQ(harness.host.connections.size(), 3u);
}

// Guards operators' view of a host that sends more than its responses: it is named in the log.
TEST(HostPool, LogsAHostThatSendsUnsolicitedBytes) {
  PoolHarness harness(LimitsWithQuietPeriod(0));
  const auto request = harness.Start();
  harness.Answer(request, "");
  EXPECT_TRUE(harness.log.empty());
  request.connection->Raw("noise");
  EXPECT_TRUE(RunUntil(harness.io, [&] { return request.connection->ended; }));
  ASSERT_EQ(harness.log.size(), 1u);
  EXPECT_EQ(harness.log[0].find("host h0 sent bytes that belong to no request "), 0u);
}

// Guards the quiet period of hosts whose extra bytes come later than it allows for: it grows with the delay,
// within its maximum, and does not shrink.
TEST(QuietPeriod, GrowsWithTheDelayOfUnsolicitedBytes) {
  gateway::QuietPeriod period(10);
  EXPECT_FALSE(period.RecordUnsolicitedBytes(0.5));
  EXPECT_EQ(period.duration(), 10);
  EXPECT_TRUE(period.RecordUnsolicitedBytes(8));
  EXPECT_GE(period.duration(), 2 * 8);
  const Millis before = period.duration();
  EXPECT_FALSE(period.RecordUnsolicitedBytes(1));
  EXPECT_EQ(period.duration(), before);
  EXPECT_TRUE(period.RecordUnsolicitedBytes(60000));
  EXPECT_EQ(period.duration(), gateway::QuietPeriod::kMaxMs);
}

// Guards keyed requests, which run twice if they are sent again when hosts no longer drop repeats: the time
// to write may pass while the connection is being established, at the latest in the moment in which it comes
// up.
TEST(HostPool, WritesNothingOnAConnectionThatComesUpAfterTheTimeToWrite) {
  for (const Millis write_within : {0.0, 1.0, 5.0, 60.0}) {
    for (const bool connects_at_once : {true, false}) {
      SCOPED_TRACE(std::to_string(write_within) + (connects_at_once ? ", at once" : ", late"));
      asio::io_context io;
      HangingHost hanging(io);
      Peer prompt(io);
      gateway::HostPool pool(io, {20000, 60000, 10});
      gateway::HostList list;
      list.hosts.push_back({MakeHost("h0"), connects_at_once ? prompt.address() : hanging.address()});
      pool.Update(list);
      std::optional<Result> result;
      const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
      const Millis write_by = gateway::Now() + write_within;
      pool.Start("h0", request, {gateway::Now() + 20000, write_by},
                 [&](Result r, HttpResponse) { result = r; });
      while (gateway::Now() < write_by) continue;  // the loop is held up until then
      ASSERT_TRUE(RunUntil(io, [&] {
        if (result) hanging.Accept();
        return result.has_value();
      }));
      EXPECT_EQ(*result, Result::kNotSent);
      EXPECT_EQ(pool.connections(), 0u);
      EXPECT_EQ(hanging.ReceivedBytes(), 0u);
      EXPECT_TRUE(prompt.requests.empty());
    }
  }
}

// Guards the same for a request that is written in parts, and on an idle connection: its last byte counts.
TEST(HostPool, DoesNotCompleteARequestAfterTheTimeToWrite) {
  constexpr std::size_t kMoreThanSocketsHold = 64 << 20;
  PoolHarness harness(LimitsWithQuietPeriod(0));
  const auto first = harness.Start();
  harness.Answer(first, "");
  asio::io_context other_loop;  // a host that does not read
  Peer unread(other_loop);
  gateway::HostList list;
  list.hosts = {{MakeHost("h1"), unread.address()}};
  harness.pool.Update(list);
  auto large = std::make_shared<HttpRequest>(http::verb::post, "/api", 11);
  large->body().assign(kMoreThanSocketsHold, 'x');
  harness.pool.Start("h1", large, {gateway::Now() + 60000, gateway::Now() + 100},
                     [&](Result result, HttpResponse) { harness.results.push_back(result); });
  ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.results.size() == 2; }));
  EXPECT_EQ(harness.results.back(), Result::kNotSent);
  RunUntil(other_loop, [&] { return !unread.connections.empty() && unread.connections[0]->ended; });
  EXPECT_TRUE(unread.requests.empty());

  harness.pool.Start("h0", std::make_shared<const HttpRequest>(http::verb::get, "/api", 11),
                     {gateway::Now() + 60000, gateway::Now()},
                     [&](Result result, HttpResponse) { harness.results.push_back(result); });
  EXPECT_EQ(harness.results.back(), Result::kNotSent);
  EXPECT_EQ(harness.host.requests.size(), 1u);
}

// Guards a response against the time to write, which ends with the request's last byte.
TEST(HostPool, AwaitsTheResponseBeyondTheTimeToWrite) {
  PoolHarness harness(LimitsWithQuietPeriod(0));
  const Millis write_by = gateway::Now() + 2000;
  harness.pool.Start("h0", std::make_shared<const HttpRequest>(http::verb::get, "/api", 11),
                     {gateway::Now() + 60000, write_by},
                     [&](Result result, HttpResponse) { harness.results.push_back(result); });
  ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.host.requests.size() == 1; }));
  ASSERT_TRUE(RunUntil(harness.io, [&] { return gateway::Now() > write_by + 10; }));
  harness.Answer(harness.host.requests[0], "late");
  EXPECT_EQ(harness.results, std::vector{Result::kServed});
}

// Guards a host against an attempt that begins after its client has left, where a written one is not
// cancelled.
TEST(HostPool, CancelUnsentEndsOnlyAttemptsThatAreNotWritten) {
  asio::io_context io;
  HangingHost hanging(io);
  Peer prompt(io);
  gateway::HostPool pool(io, {20000, 60000, 10});
  gateway::HostList list;
  list.hosts = {{MakeHost("h0"), hanging.address()}, {MakeHost("h1"), prompt.address()}};
  pool.Update(list);
  std::vector<Result> results;
  const auto start = [&](const char* host) {
    return pool.Start(host, std::make_shared<const HttpRequest>(http::verb::get, "/api", 11),
                      {gateway::Now() + 20000}, [&](Result r, HttpResponse) { results.push_back(r); });
  };
  const auto unsent = start("h0"), written = start("h1");
  ASSERT_TRUE(RunUntil(io, [&] { return prompt.requests.size() == 1; }));
  pool.CancelUnsent(unsent);
  pool.CancelUnsent(written);
  EXPECT_EQ(results, std::vector{Result::kNotSent});
  prompt.requests[0].Answer(200, "");
  EXPECT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results.back(), Result::kServed);
  EXPECT_EQ(hanging.ReceivedBytes(), 0u);
}

// Guards the time between connect and write: a host that starts draining in it must get no byte. The connect
// hangs because the listener's queue is full, and completes when there is room.
TEST(HostPool, WritesNothingToAHostThatDrainsDuringTheConnect) {
  asio::io_context io;
  HangingHost host(io);
  gateway::HostPool pool(io, {20000, 60000, 10});
  gateway::HostList list;
  list.hosts.push_back({MakeHost("h0"), host.address()});
  pool.Update(list);
  std::optional<Result> result;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  pool.Start("h0", request, {gateway::Now() + 20000}, [&](Result r, HttpResponse) { result = r; });
  list.hosts[0].server.state = ServerState::kDraining;
  pool.Update(list);
  ASSERT_TRUE(RunUntil(io, [&] {
    host.Accept();
    return result.has_value();
  }));
  EXPECT_EQ(*result, Result::kNotSent);
  EXPECT_EQ(pool.connections(), 0u);
  EXPECT_EQ(host.ReceivedBytes(), 0u);
}

// Guards requests against the idle connections of a process that has vanished: a new one at its address,
// under the same id or another, would reset them, and a request written to one may have run.
TEST(HostPool, ANewProcessAtTheAddressGetsNewConnections) {
  for (const char* const id : {"h0", "h1"}) {
    SCOPED_TRACE(id);
    PoolHarness harness(LimitsWithQuietPeriod(0));
    harness.Answer(harness.Start(), "");
    EXPECT_EQ(harness.pool.connections(), 1u);
    gateway::HostList list;
    list.hosts = {{MakeHost(id), harness.host.address()}};
    list.hosts[0].server.started_at = 1000;
    harness.pool.Update(list);
    EXPECT_EQ(harness.pool.connections(), 0u);
    harness.pool.Update(list);
    const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
    harness.pool.Start(id, request, {gateway::Now() + 60000}, [](Result, HttpResponse) {});
    EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.host.requests.size() == 2; }));
    EXPECT_EQ(harness.host.connections.size(), 2u);
  }
}

// Guards the connection limit: beyond it an attempt ends as not sent, unless an idle connection can be
// closed.
TEST(HostPool, EnforcesItsConnectionLimit) {
  asio::io_context io;
  Peer one(io), two(io);
  gateway::HostPool pool(io, {5000, 60000, 2});
  gateway::HostList list;
  list.hosts = {{MakeHost("h1"), one.address()}, {MakeHost("h2"), two.address()}};
  pool.Update(list);
  std::vector<Result> results;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  const auto start = [&](const char* host) {
    return pool.Start(host, request, {gateway::Now() + 60000},
                      [&](Result r, HttpResponse) { results.push_back(r); });
  };
  start("h1");
  const auto second = start("h1");
  ASSERT_TRUE(RunUntil(io, [&] { return one.requests.size() == 2; }));
  start("h2");
  EXPECT_EQ(results, std::vector<Result>{Result::kNotSent});
  one.requests[0].Answer(200, "");
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  start("h2");
  EXPECT_TRUE(RunUntil(io, [&] { return two.requests.size() == 1; }));
  EXPECT_EQ(pool.connections(), 2u);
  pool.Cancel(second);
  EXPECT_EQ(results.back(), Result::kCancelled);
  EXPECT_EQ(pool.connections(), 1u);
}

// Guards the log against changes of the host list that are not told, or told twice.
TEST(HostPool, UpdateReturnsTheHostsThatBecameAvailableOrUnavailable) {
  asio::io_context io;
  gateway::HostPool pool(io, LimitsWithQuietPeriod(10));
  gateway::HostList list;
  for (const char* id : {"h0", "h1", "h2", "draining"}) list.hosts.push_back({MakeHost(id), Loopback(1)});
  list.hosts.back().server.state = ServerState::kDraining;
  using Ids = std::vector<std::string>;
  gateway::HostChanges changes = pool.Update(list);
  EXPECT_EQ(changes.added, (Ids{"h0", "h1", "h2"}));
  EXPECT_EQ(changes.removed, Ids());
  EXPECT_TRUE(pool.Update(list).IsEmpty());
  list.complete = false;
  list.hosts = {{MakeHost("h1"), Loopback(1)}, {MakeHost("h3"), Loopback(1)}};
  list.hosts[0].server.state = ServerState::kDraining;
  changes = pool.Update(list);
  EXPECT_EQ(changes.added, Ids{"h3"});
  EXPECT_EQ(changes.removed, Ids{"h1"});
  list.complete = true;
  list.hosts = {{MakeHost("h3"), Loopback(1)}};
  changes = pool.Update(list);
  EXPECT_EQ(changes.added, Ids());
  EXPECT_EQ(changes.removed, (Ids{"h0", "h2"}));
}

}  // namespace
}  // namespace opalswitch::testing
