// The watch on discovery through its failures: what is believed, what is asked next and when, and what the
// operators read. The pace by itself, and the calls over loopback sockets with times shortened.
#include "membership/discovery.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "membership/watch_schedule.hpp"
#include "peers.hpp"

namespace opalswitch::testing {
namespace {

using gateway::Discovery;
using gateway::HostList;
using gateway::WatchFailure;
using gateway::WatchSchedule;
using gateway::WatchTimes;

HostList CompleteList(std::int64_t revision) { return {revision, true, {}}; }
HostList DeltaList(std::int64_t revision) { return {revision, false, {}}; }

// A drain counts as told 2 s after the wait is over, and nothing may go 0.5 s later. A watch that fell silent
// is given up long enough before that for another call, which may wait as long as its turn takes.
TEST(WatchSchedule, TimedOutWatchLeavesTimeToRetryBeforeDrainDeadline) {
  for (const double uniform : {0.0, 0.5, 0.999}) {
    WatchSchedule schedule(41);
    schedule.BeginCall(uniform);
    const Millis wait = schedule.ResponseTimeout() - schedule.times().response_timeout;
    EXPECT_NEAR(wait, schedule.times().mean_wait * (0.5 + uniform), 1);
    schedule.RecordFailure(WatchFailure::kTimeout, schedule.ResponseTimeout(), "");
    EXPECT_LE(schedule.times().response_timeout + schedule.RetryDelay(1),
              1000);  // of the 2,500 that there are
  }
}

// Gateways that start together must not all ask again together: discovery works through calls in turn.
TEST(WatchSchedule, CallsOfGatewaysStartedTogetherAreSpreadOverTheWait) {
  std::mt19937 random(3);
  std::map<int, int> calls_by_second;
  Millis longest = 0;
  for (int i = 0; i < 100; ++i) {
    WatchSchedule schedule(0);
    schedule.BeginCall(std::uniform_real_distribution(0.0, 1.0)(random));
    ++calls_by_second[static_cast<int>(schedule.ResponseTimeout() / 1000)];
    longest = std::max(longest, schedule.ResponseTimeout());
  }
  for (const auto& [second, calls] : calls_by_second) EXPECT_LE(calls, 30) << second;
  EXPECT_LE(longest, 1.5 * 5000 + 600);
}

TEST(WatchSchedule, ResponseTimeoutGrowsWithConsecutiveTimeouts) {
  WatchSchedule schedule(41);
  Millis last = 0;
  for (int i = 0; i < 40; ++i) {
    schedule.RecordFailure(WatchFailure::kTimeout, 5000, "");
    schedule.BeginCall(0.5);
    EXPECT_GE(schedule.ResponseTimeout(), last);
    last = schedule.ResponseTimeout();
  }
  EXPECT_EQ(last, schedule.times().mean_recovery_wait + schedule.times().max_response_timeout);
  schedule.RecordFailure(WatchFailure::kErrorStatus, 30, "503");  // it answers
  schedule.BeginCall(0.5);
  EXPECT_NEAR(schedule.ResponseTimeout(),
              schedule.times().mean_recovery_wait + schedule.times().response_timeout, 100);
}

// News wake all watches at once; what they ask next stands in a line, and the line's length is told by what
// waited in it.
TEST(WatchSchedule, DelayAfterUpdateFollowsQueueDelay) {
  WatchSchedule schedule(41);
  schedule.BeginCall(0.5);
  schedule.RecordSuccess(5002, false);
  EXPECT_LT(schedule.NextCallDelay(1), 10);  // nobody stands in line
  for (int i = 0; i < 20; ++i) {
    schedule.BeginCall(0.5);
    schedule.RecordFailure(WatchFailure::kErrorStatus, 2000, "503");  // stood there for 2 s in vain
  }
  EXPECT_EQ(schedule.NextCallDelay(1), schedule.times().max_call_delay);
  EXPECT_EQ(schedule.NextCallDelay(0.25), schedule.times().max_call_delay / 4);
  schedule.BeginCall(0.5);
  EXPECT_GT(schedule.ResponseTimeout(),
            schedule.times().mean_recovery_wait + 2000);  // nor is a call given up while it stands there
  for (int i = 0; i < 40; ++i) {
    schedule.BeginCall(0.5);
    schedule.RecordSuccess(i == 0 ? 100 : 5001, i == 0);
  }
  EXPECT_LT(schedule.NextCallDelay(1), 10);
}

// A drain that was sent and could not be read, or that a silent watch missed, counts as told: it can't wait
// for a gap. Seen on a bad day: a watch fell silent, the next answer broke off, and the one after it came 4 s
// later.
TEST(WatchSchedule, PossiblyLostUpdateIsRetriedImmediatelyABoundedNumberOfTimes) {
  WatchSchedule schedule(41);
  schedule.RecordFailure(WatchFailure::kTimeout, 5600, "");
  EXPECT_TRUE(schedule.ShouldRetryImmediately(WatchFailure::kTimeout));
  schedule.RecordFailure(WatchFailure::kTruncated, 200, "");
  EXPECT_TRUE(schedule.ShouldRetryImmediately(WatchFailure::kTruncated));
  schedule.RecordFailure(WatchFailure::kTimeout, 2600, "");
  EXPECT_FALSE(schedule.ShouldRetryImmediately(WatchFailure::kTimeout));
  for (int i = 0; i < 5; ++i) schedule.RecordFailure(WatchFailure::kMalformed, 200, "");
  EXPECT_FALSE(schedule.ShouldRetryImmediately(WatchFailure::kMalformed));
  schedule.RecordSuccess(100, true);
  schedule.RecordFailure(WatchFailure::kMalformed, 200, "");
  EXPECT_TRUE(schedule.ShouldRetryImmediately(WatchFailure::kMalformed));
}

// All watches end together, or a line is full: who is next the policy says, or all would call at once.
TEST(WatchSchedule, FailuresSharedByAllGatewaysAreNotRetriedImmediately) {
  for (const WatchFailure failure : {WatchFailure::kConnectFailed, WatchFailure::kClosed,
                                     WatchFailure::kErrorStatus, WatchFailure::kStaleRevision}) {
    WatchSchedule schedule(41);
    schedule.RecordFailure(failure, 100, "");
    EXPECT_FALSE(schedule.ShouldRetryImmediately(failure));
  }
}

TEST(WatchSchedule, RetryDelayGrowsToItsBoundAndIsRandomized) {
  WatchSchedule schedule(41);
  schedule.RecordFailure(WatchFailure::kConnectFailed, 1, "");
  EXPECT_EQ(schedule.RetryDelay(0.5), schedule.times().initial_retry_delay);
  for (int i = 0; i < 100; ++i) schedule.RecordFailure(WatchFailure::kConnectFailed, 1, "");
  EXPECT_EQ(schedule.RetryDelay(0), 0.5 * schedule.times().max_retry_delay);
  EXPECT_EQ(schedule.RetryDelay(1), 1.5 * schedule.times().max_retry_delay);
}

// A lagging copy's list would bring back hosts that drain.
TEST(WatchSchedule, ListWithLowerRevisionIsRejected) {
  WatchSchedule schedule(41);
  EXPECT_FALSE(schedule.AcceptList(CompleteList(40)));
  EXPECT_FALSE(schedule.AcceptList(DeltaList(40)));
  EXPECT_EQ(schedule.revision(), 41);
  EXPECT_EQ(schedule.BeginCall(0.5),
            "/discovery/hosts");  // whether it has begun anew only a whole list can tell
  EXPECT_TRUE(schedule.AcceptList(CompleteList(41)));
  EXPECT_TRUE(schedule.AcceptList(DeltaList(43)));
  EXPECT_EQ(schedule.revision(), 43);
}

TEST(WatchSchedule, RestartedRevisionsAreAcceptedAfterSeveralCompleteLists) {
  WatchSchedule schedule(41);
  EXPECT_FALSE(schedule.AcceptList(CompleteList(3)));
  EXPECT_FALSE(schedule.AcceptList(DeltaList(4)));     // of what?
  EXPECT_FALSE(schedule.AcceptList(CompleteList(2)));  // not even later than the one before it
  EXPECT_FALSE(schedule.AcceptList(CompleteList(2)));
  EXPECT_TRUE(schedule.AcceptList(CompleteList(4)));
  EXPECT_EQ(schedule.revision(), 4);
}

TEST(WatchSchedule, ConsecutiveFailuresAreLoggedOnceAndRecoveryOnce) {
  WatchSchedule schedule(41);
  EXPECT_EQ(schedule.RecordFailure(WatchFailure::kErrorStatus, 30, "503"),
            "discovery refuses (503); the last good list, revision 41, stays");
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(schedule.RecordFailure(WatchFailure::kTimeout, 5000, ""));
  EXPECT_EQ(schedule.RecordSuccess(5000, false),
            "discovery answers again after 51 failed calls; revision 41");
  EXPECT_FALSE(schedule.RecordSuccess(5000, false));
}

// Whatever comes, in any order: bounds hold, and the revision falls only by whole lists that agree.
TEST(WatchSchedule, TimesStayInBoundsUnderRandomResults) {
  std::mt19937 random(11);
  WatchSchedule schedule;
  for (int i = 0; i < 20000; ++i) {
    if (random() % 2 == 0) {
      schedule.RecordFailure(static_cast<WatchFailure>(random() % 7), random() % 9000, "");
    } else {
      const auto before = schedule.revision();
      const HostList list{static_cast<std::int64_t>(random() % 9) - 2, random() % 2 == 0, {}};
      const bool is_accepted = schedule.AcceptList(list);
      ASSERT_EQ(schedule.revision(), is_accepted ? list.revision : before);
      if (is_accepted && before && list.revision < *before) {
        ASSERT_TRUE(list.complete);
      }
      if (is_accepted) schedule.RecordSuccess(random() % 9000, random() % 2 == 0);
    }
    schedule.BeginCall((random() % 100) / 100.0);
    ASSERT_GT(schedule.ResponseTimeout(), 0);
    ASSERT_LE(schedule.ResponseTimeout(),
              1.5 * schedule.times().mean_wait + schedule.times().max_response_timeout);
    ASSERT_LE(schedule.NextCallDelay(1), schedule.times().max_call_delay);
    ASSERT_GT(schedule.RetryDelay(0), 0);
    ASSERT_LE(schedule.RetryDelay(1), 1.5 * schedule.times().max_retry_delay);
  }
}

constexpr char kDrainingHost[] =
    R"({"revision":42,"complete":false,"members":[{"id":"h0","host_port":"127.0.0.1:1","phase":"draining"}]})";

// Discovery as a scripted peer; a failed watch begins anew at once.
struct DiscoveryFixture {
  explicit DiscoveryFixture(const WatchTimes& times = ShortTimes())
      : discovery(io, peer.address(), 41,
                  {[this](const HostList& list) { updates.push_back(list); },
                   [this] {
                     ++failures;
                     asio::post(io, [this] { discovery.Watch(); });
                   },
                   [this](const std::string& line) { log_lines.push_back(line); }},
                  1, times) {
    discovery.Watch();
  }
  // For silence alone, and that of the first call alone: what follows a failure is waited for.
  static WatchTimes ShortTimes() {
    WatchTimes times;
    times.mean_wait = 200, times.response_timeout = 300,
    times.mean_recovery_wait = times.body_timeout = 600000, times.min_call_interval = 0;
    return times;
  }
  // The n-th call, from 0; a broken connection can be told only by the call that follows.
  Peer::Taken& AwaitRequest(std::size_t n) {
    EXPECT_TRUE(RunUntil(io, [&] { return peer.requests.size() > n; })) << "call " << n;
    return peer.requests.at(n);
  }
  // One bad answer to the first call: nothing of it is believed, the next call goes on from the last good
  // list, a drain told there is kept, and the operators read two lines.
  void ExpectRecoveryAfter(const std::function<void(Peer::Taken&)>& respond_badly,
                           const std::string& expected_text, bool is_retried_immediately = true) {
    respond_badly(AwaitRequest(0));
    Peer::Taken& next = AwaitRequest(1);
    EXPECT_EQ(std::string(next.http.target()).find("/discovery/hosts?after=41&wait_ms="), 0u);
    EXPECT_TRUE(updates.empty());
    next.Answer(200, kDrainingHost);
    ASSERT_TRUE(RunUntil(io, [&] { return !updates.empty(); }));
    ASSERT_EQ(updates[0].hosts.size(), 1u);
    EXPECT_EQ(updates[0].hosts[0].server.state, ServerState::kDraining);
    EXPECT_EQ(failures, is_retried_immediately ? 0 : 1);
    ASSERT_EQ(log_lines.size(), 2u);
    EXPECT_NE(log_lines[0].find(expected_text), std::string::npos) << log_lines[0];
    EXPECT_NE(log_lines[0].find("revision 41"), std::string::npos) << log_lines[0];
    EXPECT_EQ(log_lines[1], "discovery answers again after 1 failed call; revision 42");
  }

  asio::io_context io;
  Peer peer{io};
  std::vector<HostList> updates;
  std::vector<std::string> log_lines;
  int failures = 0;
  Discovery discovery;
};

// Long times where the fault must show by itself: a test that waited for them would fail.
WatchTimes LongTimes() {
  WatchTimes times;
  times.mean_wait = times.mean_recovery_wait = times.response_timeout = times.max_response_timeout =
      times.body_timeout = 600000;
  return times;
}

TEST(Discovery, RecoversFromErrorStatus) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter([](Peer::Taken& call) { call.Answer(503, ""); }, "refuses (503)", false);
}

// A discovery that goes down ends all watches together: who may call again, and when, the policy says.
TEST(Discovery, RecoversFromConnectionClosedBeforeResponse) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [&](Peer::Taken& call) { asio::post(fixture.io, [on = call.on] { on->Close(); }); }, "ends the watch",
      false);
}

// The connection ends after this much of an answer.
void ExpectRecoveryAfterTruncation(const std::string& text) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [&](Peer::Taken& call) {
        call.on->Raw(text);
        asio::post(fixture.io, [on = call.on] { on->Close(); });
      },
      "breaks its answer off");
}

TEST(Discovery, RecoversFromTruncatedHeader) {
  ExpectRecoveryAfterTruncation("HTTP/1.1 200 OK\r\nContent-Le");
}
TEST(Discovery, RecoversFromTruncatedBody) {
  ExpectRecoveryAfterTruncation("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
}

// The head has come: what is left is not waited for as long as news are.
TEST(Discovery, RecoversFromStalledBody) {
  WatchTimes times = LongTimes();
  times.body_timeout = 1000;
  DiscoveryFixture fixture(times);
  fixture.ExpectRecoveryAfter(
      [](Peer::Taken& call) {
        call.on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
      },
      "breaks its answer off");
}

TEST(Discovery, RecoversFromMalformedJson) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter([](Peer::Taken& call) { call.Answer(200, "{\"revision\":42,"); },
                              "can't be read");
}

// All of the list is refused: half a list would leave out hosts, or keep some that drain.
TEST(Discovery, RejectsListWithOneMalformedEntry) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [](Peer::Taken& call) {
        call.Answer(200, R"({"revision":42,"complete":true,"members":[)"
                         R"({"id":"h0","host_port":"127.0.0.1:1","phase":"up"},)"
                         R"({"id":"h1","host_port":"127.0.0.1:2","phase":"up","size":"large"}]})");
      },
      "can't be read");
}

TEST(Discovery, RecoversFromMissingResponse) {
  DiscoveryFixture fixture;
  fixture.ExpectRecoveryAfter([](Peer::Taken&) {}, "doesn't answer in time");
}

TEST(Discovery, RejectsLowerRevisionAndRequestsCompleteList) {
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0).Answer(200, R"({"revision":40,"complete":true,"members":[]})");
  EXPECT_EQ(fixture.AwaitRequest(1).http.target(), "/discovery/hosts");
  EXPECT_TRUE(fixture.updates.empty());
  fixture.AwaitRequest(1).Answer(200, R"({"revision":44,"complete":true,"members":[]})");
  EXPECT_EQ(std::string(fixture.AwaitRequest(2).http.target()).find("/discovery/hosts?after=44&"), 0u);
  EXPECT_EQ(fixture.updates.size(), 1u);
  EXPECT_NE(fixture.log_lines.at(0).find("older than the one known (40)"), std::string::npos);
}

// Refused dials neither end the watch nor fill the log.
TEST(Discovery, RecoversFromLongOutageWithTwoLogLines) {
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0);
  fixture.peer.Vanish();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.failures >= 20; }));
  EXPECT_EQ(fixture.log_lines.size(), 1u);
  fixture.peer.ComeBack();
  fixture.AwaitRequest(1).Answer(200, kDrainingHost);
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return !fixture.updates.empty(); }));
  EXPECT_EQ(fixture.log_lines.size(), 2u);
}

}  // namespace
}  // namespace opalswitch::testing
