// The watch of the discovery service under failures: which lists are accepted, which call follows and when,
// and what is logged. Tests the schedule by itself, and the HTTP client over loopback sockets with shortened
// times.
#include "membership/discovery.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

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

// Guards against a time-out so late that a drain is missed: a drain counts as known 2 s after the wait is
// over, and no request may be sent 0.5 s later. The rest of that time is left for another call, which may be
// queued.
TEST(WatchSchedule, TimedOutWatchLeavesTimeToRetryBeforeDrainDeadline) {
  for (const double uniform : {0.0, 0.5, 0.999}) {
    WatchSchedule schedule(41);
    schedule.BeginCall(uniform);
    const Millis wait = schedule.ResponseTimeout() - schedule.times().response_timeout;
    EXPECT_NEAR(wait, schedule.times().mean_wait * (0.5 + uniform), 1);
    schedule.RecordFailure(WatchFailure::kTimeout, schedule.ResponseTimeout(), "");
    // Of 2,500 ms in all.
    EXPECT_LE(schedule.times().response_timeout + schedule.RetryDelay(1), 1000);
  }
}

// Guards against synchronized calls of gateways that start together: discovery serves its calls one by one.
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

// Guards against calls that an overloaded discovery can never answer in time.
TEST(WatchSchedule, ResponseTimeoutGrowsWithConsecutiveTimeouts) {
  WatchTimes times;
  times.max_retry_interval = 600000;  // has a test of its own
  WatchSchedule schedule(41, times);
  Millis last = 0;
  for (int i = 0; i < 40; ++i) {
    schedule.RecordFailure(WatchFailure::kTimeout, 5000, "");
    schedule.BeginCall(0.5);
    EXPECT_GE(schedule.ResponseTimeout(), last);
    last = schedule.ResponseTimeout();
  }
  EXPECT_EQ(last, schedule.times().mean_recovery_wait + schedule.times().max_response_timeout);
  schedule.RecordFailure(WatchFailure::kErrorStatus, 30, "503");  // a response, so no time-out
  schedule.BeginCall(0.5);
  EXPECT_NEAR(schedule.ResponseTimeout(),
              schedule.times().mean_recovery_wait + schedule.times().recovery_response_timeout, 100);
}

// Guards servers that drain while a watch is silent against a call behind it that takes up the time that is
// left: 2 s after the wait, and 0.5 s of grace.
TEST(WatchSchedule, CallBehindASilentWatchIsGivenUpInTimeForAnother) {
  for (const double uniform : {0.0, 0.5, 0.999}) {
    WatchSchedule schedule(41);
    schedule.BeginCall(uniform);
    const Millis after_wait = schedule.ResponseTimeout() - schedule.wait();
    schedule.RecordFailure(WatchFailure::kTimeout, schedule.ResponseTimeout(), "");
    schedule.BeginCall(uniform);
    const Millis second_call = schedule.ResponseTimeout();
    schedule.RecordFailure(WatchFailure::kTimeout, second_call, "");
    EXPECT_LE(after_wait + second_call + schedule.Retry().latest, 2000);
  }
}

// Guards servers that the list at a new address does not name against a call that takes up the time that is
// left: 4 s after the change of the address, and 0.5 s of grace. Further calls have more time.
TEST(WatchSchedule, CallForTheCompleteListIsGivenUpInTimeForAnother) {
  constexpr Millis kKnownAfterAddressChange = 4000, kLeftForTheCall = 500;
  WatchSchedule schedule(41);
  schedule.Reset();
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts");
  const Millis first_call = schedule.ResponseTimeout();
  EXPECT_EQ(first_call, schedule.times().recovery_response_timeout);
  schedule.RecordFailure(WatchFailure::kTimeout, first_call, "");
  EXPECT_LE(first_call + schedule.Retry().latest, kKnownAfterAddressChange - kLeftForTheCall);
  schedule.RecordFailure(WatchFailure::kTimeout, first_call, "");
  schedule.BeginCall(0.5);
  EXPECT_EQ(schedule.ResponseTimeout(), schedule.times().max_retry_interval);
}

// Guards the same against a queue at discovery in the past, which lets calls have more time: a watch is given
// up in time for another call whatever the queue was.
TEST(WatchSchedule, SilentWatchIsGivenUpInTimeAfterLongQueues) {
  constexpr Millis kKnownAfterSilence = 6000, kKnownAfterWait = 2000, kLeftForACall = 800;
  for (const double uniform : {0.0, 0.25, 0.5, 0.999}) {
    WatchSchedule schedule(41);
    for (int i = 0; i < 20; ++i) {
      schedule.BeginCall(uniform);
      schedule.RecordFailure(WatchFailure::kErrorStatus, 2000, "503");
    }
    schedule.RecordSuccess(2000, true);
    schedule.BeginCall(uniform);
    EXPECT_GT(schedule.ResponseTimeout(), schedule.wait() + schedule.times().response_timeout);
    EXPECT_LE(schedule.ResponseTimeout(),
              std::max(kKnownAfterSilence, schedule.wait() + kKnownAfterWait) - kLeftForACall);
  }
}

// Guards servers that are removed during an outage against a call that lasts so long that the next one comes
// too late.
TEST(WatchSchedule, ResponseTimeoutAfterAFailureGrowsToTheRetryIntervalAtMost) {
  WatchSchedule schedule(41);
  Millis last = 0;
  for (int i = 0; i < 40; ++i) {
    schedule.RecordFailure(WatchFailure::kTimeout, 5000, "");
    schedule.BeginCall(0.5);
    EXPECT_GE(schedule.ResponseTimeout(), last);
    last = schedule.ResponseTimeout();
  }
  EXPECT_EQ(last, schedule.times().max_retry_interval);
}

// Guards against a queue at discovery after each change: a change ends all watches at once, and the next
// calls have to be spread over the time that earlier calls were queued.
TEST(WatchSchedule, DelayAfterUpdateFollowsQueueDelay) {
  WatchSchedule schedule(41);
  schedule.BeginCall(0.5);
  schedule.RecordSuccess(5002, false);
  EXPECT_LT(schedule.NextCallDelay(1), 10);  // no queue
  for (int i = 0; i < 20; ++i) {
    schedule.BeginCall(0.5);
    schedule.RecordFailure(WatchFailure::kErrorStatus, 2000, "503");  // queued for 2 s in vain
  }
  EXPECT_EQ(schedule.NextCallDelay(1), schedule.times().max_call_delay);
  EXPECT_EQ(schedule.NextCallDelay(0.25), schedule.times().max_call_delay / 4);
  schedule.BeginCall(0.5);
  // The time-out allows for the queue.
  EXPECT_GT(schedule.ResponseTimeout(), schedule.times().mean_recovery_wait + 2000);
  EXPECT_EQ(schedule.ResponseTimeout(), schedule.times().max_retry_interval);
  for (int i = 0; i < 40; ++i) {
    schedule.BeginCall(0.5);
    schedule.RecordSuccess(i == 0 ? 100 : 5001, i == 0);
  }
  EXPECT_LT(schedule.NextCallDelay(1), 10);
}

// Guards against a late drain: discovery counts it as known once it was sent, even if the response was lost
// or could not be read, so the retry cannot wait for the retry delay. Otherwise a time-out followed by a
// truncated response delays the next list by 4 s.
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

// Guards against all gateways calling at the same moment: these failures hit all watches together, for
// example when discovery restarts or its queue is full, so the policy decides when to call again.
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
  const auto fail = [&schedule] { schedule.RecordFailure(WatchFailure::kConnectFailed, 0, ""); };
  schedule.RecordFailure(WatchFailure::kClosed, 3000, "");  // the end of a watch
  EXPECT_EQ(schedule.RetryDelay(0.5), schedule.times().initial_retry_delay);
  for (int cycle = 0; cycle < 30; ++cycle) {
    for (const Millis longest : {100, 200, 400}) {
      fail();
      EXPECT_EQ(schedule.RetryDelay(1), longest);
    }
    fail();
  }
  EXPECT_EQ(schedule.RetryDelay(0), 0.5 * schedule.times().max_retry_delay);
  EXPECT_EQ(schedule.RetryDelay(1), schedule.times().max_retry_interval);
}

// Guards against the list of a lagging replica, which would bring back hosts that drain.
TEST(WatchSchedule, ListWithLowerRevisionIsRejected) {
  WatchSchedule schedule(41);
  EXPECT_FALSE(schedule.AcceptList(CompleteList(40)));
  EXPECT_FALSE(schedule.AcceptList(DeltaList(40)));
  EXPECT_EQ(schedule.revision(), 41);
  // Only a complete list can show whether discovery has restarted its revisions.
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts");
  EXPECT_TRUE(schedule.AcceptList(CompleteList(41)));
  EXPECT_TRUE(schedule.AcceptList(DeltaList(43)));
  EXPECT_EQ(schedule.revision(), 43);
}

// Guards against rejecting all lists for ever once discovery has restarted its revisions.
TEST(WatchSchedule, RestartedRevisionsAreAcceptedAfterSeveralCompleteLists) {
  WatchSchedule schedule(41);
  EXPECT_FALSE(schedule.AcceptList(CompleteList(3)));
  EXPECT_FALSE(schedule.AcceptList(DeltaList(4)));     // a delta proves nothing
  EXPECT_FALSE(schedule.AcceptList(CompleteList(2)));  // lower than the one before: counting restarts
  EXPECT_FALSE(schedule.AcceptList(CompleteList(2)));
  EXPECT_TRUE(schedule.AcceptList(CompleteList(4)));
  EXPECT_EQ(schedule.revision(), 4);
}

// Guards against a log that fills up during an outage.
TEST(WatchSchedule, ConsecutiveFailuresAreLoggedOnceAndRecoveryOnce) {
  WatchSchedule schedule(41);
  EXPECT_EQ(schedule.RecordFailure(WatchFailure::kErrorStatus, 30, "503"),
            "discovery refuses (503); the last good list, revision 41, stays");
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(schedule.RecordFailure(WatchFailure::kTimeout, 5000, ""));
  EXPECT_EQ(schedule.RecordSuccess(5000, false),
            "discovery answers again after 51 failed calls; revision 41");
  EXPECT_FALSE(schedule.RecordSuccess(5000, false));
}

// Guards the grace of a drain where lists are pushed: whatever fails, a silent agent must be asked again
// soon.
TEST(WatchSchedule, SilentAgentOfPushedListsIsAskedAgainWithinTheGrace) {
  constexpr Millis kGrace = 500, kHeldUpFor = 150;
  std::mt19937 random(5);
  const auto uniform = [&random] { return std::uniform_real_distribution(0.0, 1.0)(random); };
  for (int outage = 0; outage < 200; ++outage) {
    WatchSchedule schedule(41, WatchTimes::ForPushedLists());
    for (int failures = 1; failures < 30; ++failures) {
      schedule.BeginCall(uniform());
      const bool is_timeout = random() % 2 == 0;
      const WatchFailure failure = is_timeout ? WatchFailure::kTimeout : WatchFailure::kConnectFailed;
      const Millis elapsed = is_timeout ? schedule.ResponseTimeout() : schedule.times().connect_timeout;
      schedule.RecordFailure(failure, elapsed, "");
      const Millis delay = schedule.ShouldRetryImmediately(failure) ? 0 : schedule.RetryDelay(uniform());
      ASSERT_LE(elapsed + delay, kGrace - kHeldUpFor);
    }
  }
}

// Guards the gateway's processor time against a service that sends its whole list at the end of each wait.
TEST(WatchSchedule, WaitGrowsWithCompleteListsWithoutNews) {
  WatchSchedule schedule(41, WatchTimes::ForPushedLists());
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts?after=41&wait_ms=150");
  EXPECT_TRUE(schedule.AcceptList(CompleteList(41)));
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts?after=41&wait_ms=300");
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(schedule.AcceptList(CompleteList(41)));
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts?after=41&wait_ms=5000");
  EXPECT_TRUE(schedule.AcceptList(DeltaList(41)));
  EXPECT_EQ(schedule.BeginCall(0.5), "/discovery/hosts?after=41&wait_ms=150");
}

// Guards against a list that is asked for late although discovery can be reached: retries come at short
// growing intervals, then a pause, again and again. They are few, and slower where refusals come slowly or
// several calls in a row have no response.
TEST(WatchSchedule, FailedCallsAreRepeatedAtShortGrowingIntervalsBetweenPauses) {
  WatchSchedule schedule(41);
  const Millis pause = schedule.times().max_retry_interval;
  const auto expect_cycles = [&schedule, pause] {
    for (int cycle = 0; cycle < 3; ++cycle) {
      for (const Millis expected : {100, 200, 400}) {
        schedule.RecordFailure(WatchFailure::kClosed, 1, "");
        EXPECT_EQ(schedule.Retry().latest, expected);
      }
      schedule.RecordFailure(WatchFailure::kClosed, 1, "");
      EXPECT_EQ(schedule.Retry().latest, pause - 1);
    }
  };
  schedule.BeginCall(0.5);
  schedule.RecordFailure(WatchFailure::kTimeout, schedule.ResponseTimeout(), "");
  ASSERT_TRUE(schedule.ShouldRetryImmediately(WatchFailure::kTimeout));
  schedule.RecordFailure(WatchFailure::kTimeout, 1200, "");
  EXPECT_EQ(schedule.Retry().latest, 100);
  schedule.RecordFailure(WatchFailure::kTimeout, 1200, "");
  EXPECT_EQ(schedule.Retry().latest, 1200);
  schedule.Reset();
  expect_cycles();
  schedule.Reset();
  schedule.RecordFailure(WatchFailure::kErrorStatus, 1500, "503");
  EXPECT_EQ(schedule.Retry().latest, 1500);
  schedule.BeginCall(0.5);
  schedule.RecordFailure(WatchFailure::kTimeout, 1500, "");
  EXPECT_EQ(schedule.Retry().latest, 100);
  schedule.RecordFailure(WatchFailure::kTimeout, 1500, "");
  EXPECT_EQ(schedule.Retry().latest, 1500);
  schedule.RecordSuccess(100, true);
  schedule.RecordFailure(WatchFailure::kClosed, 3000, "");
  EXPECT_EQ(schedule.Retry().latest, pause);  // discovery has ended the watch, so nothing is missed
  expect_cycles();
}

// Guards discovery against calls that it can't answer, and servers that are removed after refusals against
// new work: the next call after refusals in discovery's queue, however many, comes as late as it may, and not
// later than in time for a change that is made after the last of them. A quick refusal or a silent discovery
// is no crowd.
TEST(WatchSchedule, CrowdedDiscoveryIsCalledRarelyButInTimeAfterAnyNumberOfRefusals) {
  constexpr Millis kKnownAfterReachable = 6000, kLeftForTheCall = 500;
  for (const int refusals : {1, 2, 3, 100}) {
    for (const Millis elapsed : {500, 1000, 2000, 4700}) {
      SCOPED_TRACE(std::to_string(refusals) + " refusals after " + std::to_string(elapsed));
      WatchSchedule schedule(41);
      const Millis interval = schedule.times().crowded_retry_interval;
      const Millis pause = schedule.times().max_retry_interval;
      const auto fail = [&schedule](WatchFailure failure, Millis after) {
        schedule.BeginCall(0.5);
        schedule.RecordFailure(failure, after, "");
        return schedule.Retry().latest;
      };
      fail(WatchFailure::kClosed, 3000);
      for (const Millis delay : {100.0, 200.0, 400.0, pause - 10})
        EXPECT_EQ(fail(WatchFailure::kErrorStatus, 10), delay);
      for (const Millis delay : {100.0, pause - 2200, pause - 2200})
        EXPECT_EQ(fail(WatchFailure::kTimeout, 2200), delay);
      for (int i = 0; i < 3; ++i) EXPECT_EQ(fail(WatchFailure::kTimeout, 3000), pause - 3000);
      EXPECT_EQ(fail(WatchFailure::kErrorStatus, elapsed), interval - elapsed);
      EXPECT_EQ(schedule.Retry().earliest, interval - elapsed);
      for (int i = 1; i < refusals; ++i) {
        EXPECT_LE(fail(WatchFailure::kErrorStatus, elapsed), kKnownAfterReachable - kLeftForTheCall);
        EXPECT_EQ(schedule.Retry().latest, schedule.times().crowded_retry_delay);
        EXPECT_EQ(schedule.Retry().earliest, schedule.Retry().latest);
        EXPECT_GE(schedule.Retry().earliest, interval);
        EXPECT_GE(schedule.RetryDelay(0), 4500);
        EXPECT_LE(schedule.RetryDelay(1), kKnownAfterReachable - kLeftForTheCall);
      }
      // A connection that breaks behind the delay is no refusal, and is repeated once.
      for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(fail(WatchFailure::kClosed, 10), 400);
        EXPECT_EQ(fail(WatchFailure::kClosed, 10),
                  refusals > 1 ? schedule.times().crowded_retry_delay : interval - 10);
      }
      schedule.RecordSuccess(100, true);
      fail(WatchFailure::kClosed, 3000);
      EXPECT_EQ(fail(WatchFailure::kErrorStatus, elapsed), interval - elapsed);
    }
  }
}

// Guards servers that are removed during an outage against new work after it: the time that a call takes to
// fail is a part of the interval between calls, also for callers without a retry policy of their own.
TEST(WatchSchedule, CallsAfterAFailureStartWithinTheRetryInterval) {
  constexpr Millis kShortestRetryDelay = 20, kSlowRefusal = 500;
  std::mt19937 random(7);
  const auto uniform = [&random] { return std::uniform_real_distribution(0.0, 1.0)(random); };
  for (int outage = 0; outage < 200; ++outage) {
    WatchSchedule schedule(41);
    const WatchTimes& times = schedule.times();
    bool was_refused = false, is_crowded = false;
    schedule.BeginCall(uniform());
    schedule.RecordFailure(WatchFailure::kClosed, 7000 * uniform(), "");
    EXPECT_LE(schedule.RetryDelay(uniform()), schedule.times().max_retry_interval);
    for (int failures = 2; failures < 30; ++failures) {
      schedule.BeginCall(uniform());
      const std::array kinds = {WatchFailure::kTimeout, WatchFailure::kConnectFailed, WatchFailure::kClosed,
                                WatchFailure::kErrorStatus};
      const WatchFailure failure = kinds[random() % kinds.size()];
      Millis elapsed = schedule.ResponseTimeout() * (failure == WatchFailure::kTimeout ? 1 : uniform());
      if (failure == WatchFailure::kErrorStatus) {
        // Several refusals that come slowly are the subject of CrowdedDiscoveryIsCalledRarelyButInTime...
        if (std::exchange(was_refused, true)) elapsed = std::min(elapsed, 400.0);
        is_crowded = is_crowded || elapsed >= kSlowRefusal;
      }
      schedule.RecordFailure(failure, elapsed, "");
      const Millis longest = is_crowded ? times.crowded_retry_interval : times.max_retry_interval;
      ASSERT_LE(elapsed + schedule.Retry().latest, longest);
      ASSERT_LE(elapsed + schedule.RetryDelay(uniform()), longest + kShortestRetryDelay);
    }
  }
}

// Under any sequence of results all times stay in their bounds, and only complete lists lower the revision.
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

// A Discovery client and a scripted discovery service. A watch that has failed is restarted at once.
struct DiscoveryFixture {
  explicit DiscoveryFixture(const WatchTimes& times = ShortTimes())
      : discovery(io, peer.address(), 41,
                  {[this](const HostList& list) { updates.push_back(list); },
                   [this](const RetryWindow&) {
                     ++failures;
                     asio::post(io, [this] { discovery.Watch(); });
                   },
                   [this](const std::string& line) { log_lines.push_back(line); },
                   [this](const gateway::EndedCall& call) { ended_calls.push_back(call); }},
                  1, times) {
    discovery.Watch();
  }
  // Short times for the time-out of the first call only; calls after a failure get long ones.
  static WatchTimes ShortTimes() {
    WatchTimes times;
    times.mean_wait = 200;
    times.response_timeout = 300;
    times.mean_recovery_wait = times.body_timeout = times.max_retry_interval = 600000;
    times.min_call_interval = 0;
    return times;
  }
  // Waits for the n-th call, counted from 0. After a failure of the connection, the next call is the only
  // sign that the client has noticed it.
  Peer::ReceivedRequest& AwaitRequest(std::size_t n) {
    EXPECT_TRUE(RunUntil(io, [&] { return peer.requests.size() > n; })) << "call " << n;
    return peer.requests.at(n);
  }
  // Answers the first call with `respond_badly` and expects that nothing of it is applied, that the next call
  // continues from the last good list, that a drain in its response is applied, and that two lines are
  // logged, the first with `expected_text`.
  void ExpectRecoveryAfter(const std::function<void(Peer::ReceivedRequest&)>& respond_badly,
                           const std::string& expected_text, bool is_retried_immediately = true) {
    respond_badly(AwaitRequest(0));
    Peer::ReceivedRequest& next = AwaitRequest(1);
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
  std::vector<gateway::EndedCall> ended_calls;
  int failures = 0;
  Discovery discovery;
};

// Times so long that the failure has to be detected without a time-out: a test that waits for one fails.
WatchTimes LongTimes() {
  WatchTimes times;
  times.mean_wait = times.mean_recovery_wait = times.response_timeout = times.max_response_timeout =
      times.recovery_response_timeout = times.overdue_response_timeout = times.body_timeout =
          times.max_retry_interval = times.max_silence = 600000;
  return times;
}

TEST(Discovery, RecoversFromErrorStatus) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter([](Peer::ReceivedRequest& call) { call.Answer(503, ""); }, "refuses (503)",
                              false);
}

// A discovery that shuts down ends all watches together, so the policy decides when to call again.
TEST(Discovery, RecoversFromConnectionClosedBeforeResponse) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [&](Peer::ReceivedRequest& call) { asio::post(fixture.io, [on = call.connection] { on->Close(); }); },
      "ends the watch", false);
}

// The connection is closed after `text`, the beginning of a response.
void ExpectRecoveryAfterTruncation(const std::string& text) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [&](Peer::ReceivedRequest& call) {
        call.connection->Raw(text);
        asio::post(fixture.io, [on = call.connection] { on->Close(); });
      },
      "breaks its answer off");
}

TEST(Discovery, RecoversFromTruncatedHeader) {
  ExpectRecoveryAfterTruncation("HTTP/1.1 200 OK\r\nContent-Le");
}
TEST(Discovery, RecoversFromTruncatedBody) {
  ExpectRecoveryAfterTruncation("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
}

// Guards against waiting for the rest of a response as long as for a change.
TEST(Discovery, RecoversFromStalledBody) {
  WatchTimes times = LongTimes();
  times.body_timeout = 1000;
  DiscoveryFixture fixture(times);
  fixture.ExpectRecoveryAfter(
      [](Peer::ReceivedRequest& call) {
        call.connection->Raw("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
      },
      "breaks its answer off");
}

TEST(Discovery, RecoversFromMalformedJson) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter([](Peer::ReceivedRequest& call) { call.Answer(200, "{\"revision\":42,"); },
                              "can't be read");
}

// Guards against partly applied lists, which would lack hosts or keep some that drain.
TEST(Discovery, RejectsListWithOneMalformedEntry) {
  DiscoveryFixture fixture(LongTimes());
  fixture.ExpectRecoveryAfter(
      [](Peer::ReceivedRequest& call) {
        call.Answer(200, R"({"revision":42,"complete":true,"members":[)"
                         R"({"id":"h0","host_port":"127.0.0.1:1","phase":"up"},)"
                         R"({"id":"h1","host_port":"127.0.0.1:2","phase":"up","size":"large"}]})");
      },
      "can't be read");
}

TEST(Discovery, RecoversFromMissingResponse) {
  DiscoveryFixture fixture;
  fixture.ExpectRecoveryAfter([](Peer::ReceivedRequest&) {}, "doesn't answer in time");
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

// Guards against lists that are never received while the address changes faster than discovery responds: the
// calls to former addresses go on until a later one has delivered a list.
TEST(Discovery, ListsOfFormerAddressesCountUntilALaterAddressHasDeliveredOne) {
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0);
  Peer second(fixture.io), third(fixture.io);
  fixture.discovery.SetAddress(second.address());
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return second.requests.size() == 1; }));
  fixture.discovery.SetAddress(third.address());
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return third.requests.size() == 1; }));
  const auto await_update = [&](std::size_t n) {
    return RunUntil(fixture.io, [&] { return fixture.updates.size() == n; });
  };
  fixture.peer.requests[0].Answer(200, kDrainingHost);
  ASSERT_TRUE(await_update(1));
  second.requests[0].Answer(200, R"({"revision":7,"complete":true,"members":[]})");
  ASSERT_TRUE(await_update(2));
  EXPECT_EQ(fixture.updates[1].revision, 7);
  third.requests[0].Answer(200, R"({"revision":3,"complete":true,"members":[]})");
  ASSERT_TRUE(await_update(3));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return third.requests.size() == 2; }));
  EXPECT_EQ(std::string(third.requests[1].http.target()).find("/discovery/hosts?after=3&"), 0u);
  EXPECT_EQ(fixture.failures, 0);
  ASSERT_EQ(fixture.ended_calls.size(), 3u);
  for (const auto& call : fixture.ended_calls) EXPECT_GE(call.since_previous, 0);
}

// Guards against the list of a former address that comes late and brings back hosts that drain.
TEST(Discovery, ListOfAFormerAddressIsDroppedOnceALaterAddressHasDeliveredOne) {
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0);
  Peer second(fixture.io);
  fixture.discovery.SetAddress(second.address());
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return second.requests.size() == 1; }));
  fixture.peer.requests[0].connection->Raw("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{");
  second.requests[0].Answer(200, R"({"revision":7,"complete":true,"members":[]})");
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.peer.connections[0]->ended; }));
  ASSERT_EQ(fixture.updates.size(), 1u);
  EXPECT_EQ(fixture.updates[0].revision, 7);
  EXPECT_EQ(fixture.failures, 0);
}

// Guards against calls to former addresses without end: they are few, and their failures count for nothing.
TEST(Discovery, CallsToFormerAddressesAreBoundedAndTheirFailuresIgnored) {
  constexpr std::size_t kMoves = 12, kMaxFormerCalls = 8;
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0);
  std::vector<std::unique_ptr<Peer>> moved;
  for (std::size_t i = 0; i < kMoves; ++i) {
    Peer& next = *moved.emplace_back(std::make_unique<Peer>(fixture.io));
    fixture.discovery.SetAddress(next.address());
    ASSERT_TRUE(RunUntil(fixture.io, [&] { return next.requests.size() == 1; }));
  }
  constexpr std::size_t kOldestKept = kMoves - 1 - kMaxFormerCalls;
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return moved[kOldestKept - 1]->connections[0]->ended; }));
  EXPECT_FALSE(moved[kOldestKept]->connections[0]->ended);
  for (std::size_t i = kOldestKept; i < kMoves - 1; ++i) moved[i]->requests[0].connection->Reset();
  moved.back()->requests[0].Answer(200, kDrainingHost);
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.updates.size() == 1; }));
  EXPECT_EQ(fixture.failures, 0);
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return moved.back()->requests.size() == 2; }));
}

// Guards an incident's timeline against calls that are missing in the log, or whose list seems confirmed
// while it was not.
TEST(Discovery, ReportsTheEndOfEachCallAndTheAgeOfTheList) {
  DiscoveryFixture fixture;
  fixture.AwaitRequest(0);  // not answered
  fixture.AwaitRequest(1).Answer(503, "");
  fixture.AwaitRequest(2).Answer(200, kDrainingHost);
  fixture.AwaitRequest(3);
  ASSERT_EQ(fixture.ended_calls.size(), 3u);
  const auto& calls = fixture.ended_calls;
  EXPECT_EQ(calls[0].failure, WatchFailure::kTimeout);
  EXPECT_GE(calls[0].elapsed, 300);  // the response time-out
  EXPECT_EQ(calls[1].failure, WatchFailure::kErrorStatus);
  EXPECT_EQ(calls[1].detail, "503");
  EXPECT_EQ(calls[1].consecutive_failures, 2);
  EXPECT_EQ(calls[1].revision, 41);
  EXPECT_GE(calls[1].unconfirmed_for, calls[0].elapsed + calls[1].elapsed);
  EXPECT_FALSE(calls[2].failure);
  EXPECT_EQ(calls[2].number, 3u);
  EXPECT_EQ(calls[2].revision, 42);
  EXPECT_EQ(calls[2].hosts, 1u);
  EXPECT_GE(calls[2].unconfirmed_for, calls[1].unconfirmed_for);
}

// Guards against a watch that ends, or a log that fills up, while connections are refused.
TEST(Discovery, RecoversFromLongOutageWithTwoLogLines) {
  DiscoveryFixture fixture(LongTimes());
  fixture.AwaitRequest(0);
  fixture.peer.GoOffline();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.failures >= 20; }));
  EXPECT_EQ(fixture.log_lines.size(), 1u);
  fixture.peer.GoOnline();
  fixture.AwaitRequest(1).Answer(200, kDrainingHost);
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return !fixture.updates.empty(); }));
  EXPECT_EQ(fixture.log_lines.size(), 2u);
}

}  // namespace
}  // namespace opalswitch::testing
