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

HostList Whole(std::int64_t revision) { return {revision, true, {}}; }
HostList Changes(std::int64_t revision) { return {revision, false, {}}; }

// A drain counts as told 2 s after the wait is over, and nothing may go 0.5 s later. A watch that fell silent
// is given up long enough before that for another call, which may wait as long as its turn takes.
TEST(WatchSchedule, ASilentWatchLeavesTimeForAnotherCallBeforeADrainIsDue) {
  for (const double uniform : {0.0, 0.5, 0.999}) {
    WatchSchedule pace(41);
    pace.Begin(uniform);
    const Millis wait = pace.Patience() - pace.times().silence;
    EXPECT_NEAR(wait, pace.times().wait * (0.5 + uniform), 1);
    pace.Failed(WatchFailure::kSilent, pace.Patience(), "");
    EXPECT_LE(pace.times().silence + pace.RetryGap(1), 1000);  // of the 2,500 that there are
  }
}

// Gateways that start together must not all ask again together: discovery works through calls in turn.
TEST(WatchSchedule, AHundredGatewaysThatStartTogetherAskAgainOverTheWholeWait) {
  std::mt19937 random(3);
  std::map<int, int> in_second;
  Millis most = 0;
  for (int i = 0; i < 100; ++i) {
    WatchSchedule pace(0);
    pace.Begin(std::uniform_real_distribution(0.0, 1.0)(random));
    ++in_second[static_cast<int>(pace.Patience() / 1000)];
    most = std::max(most, pace.Patience());
  }
  for (const auto& [second, calls] : in_second) EXPECT_LE(calls, 30) << second;
  EXPECT_LE(most, 1.5 * 5000 + 600);
}

TEST(WatchSchedule, AnOverbookedDiscoveryIsGivenMoreTimeByEachUnansweredCall) {
  WatchSchedule pace(41);
  Millis last = 0;
  for (int i = 0; i < 40; ++i) {
    pace.Failed(WatchFailure::kSilent, 5000, "");
    pace.Begin(0.5);
    EXPECT_GE(pace.Patience(), last);
    last = pace.Patience();
  }
  EXPECT_EQ(last, pace.times().recovery_wait + pace.times().most_silence);
  pace.Failed(WatchFailure::kStatus, 30, "503");  // it answers
  pace.Begin(0.5);
  EXPECT_NEAR(pace.Patience(), pace.times().recovery_wait + pace.times().silence, 100);
}

// News wake all watches at once; what they ask next stands in a line, and the line's length is told by what
// waited in it.
TEST(WatchSchedule, CallsAfterNewsAreSpreadAsFarAsTurnsTookLong) {
  WatchSchedule pace(41);
  pace.Begin(0.5);
  pace.Succeeded(5002, false);
  EXPECT_LT(pace.Pause(1), 10);  // nobody stands in line
  for (int i = 0; i < 20; ++i) {
    pace.Begin(0.5);
    pace.Failed(WatchFailure::kStatus, 2000, "503");  // stood there for 2 s in vain
  }
  EXPECT_EQ(pace.Pause(1), pace.times().most_pause);
  EXPECT_EQ(pace.Pause(0.25), pace.times().most_pause / 4);
  pace.Begin(0.5);
  EXPECT_GT(pace.Patience(),
            pace.times().recovery_wait + 2000);  // nor is a call given up while it stands there
  for (int i = 0; i < 40; ++i) {
    pace.Begin(0.5);
    pace.Succeeded(i == 0 ? 100 : 5001, i == 0);
  }
  EXPECT_LT(pace.Pause(1), 10);
}

// A drain that was sent and could not be read, or that a silent watch missed, counts as told: it can't wait
// for a gap. Seen on a bad day: a watch fell silent, the next answer broke off, and the one after it came 4 s
// later.
TEST(WatchSchedule, WhatCountsAsToldIsAskedForAgainAtOnceButNotForEver) {
  WatchSchedule pace(41);
  pace.Failed(WatchFailure::kSilent, 5600, "");
  EXPECT_TRUE(pace.AgainAtOnce(WatchFailure::kSilent));
  pace.Failed(WatchFailure::kBroken, 200, "");
  EXPECT_TRUE(pace.AgainAtOnce(WatchFailure::kBroken));
  pace.Failed(WatchFailure::kSilent, 2600, "");
  EXPECT_FALSE(pace.AgainAtOnce(WatchFailure::kSilent));
  for (int i = 0; i < 5; ++i) pace.Failed(WatchFailure::kUnreadable, 200, "");
  EXPECT_FALSE(pace.AgainAtOnce(WatchFailure::kUnreadable));
  pace.Succeeded(100, true);
  pace.Failed(WatchFailure::kUnreadable, 200, "");
  EXPECT_TRUE(pace.AgainAtOnce(WatchFailure::kUnreadable));
}

// All watches end together, or a line is full: who is next the policy says, or all would call at once.
TEST(WatchSchedule, WhatAllMeetTogetherIsNotAskedForAgainAtOnce) {
  for (const WatchFailure fault :
       {WatchFailure::kDial, WatchFailure::kEnded, WatchFailure::kStatus, WatchFailure::kOlder}) {
    WatchSchedule pace(41);
    pace.Failed(fault, 100, "");
    EXPECT_FALSE(pace.AgainAtOnce(fault));
  }
}

TEST(WatchSchedule, GapsGrowToABoundAndAreSpread) {
  WatchSchedule pace(41);
  pace.Failed(WatchFailure::kDial, 1, "");
  EXPECT_EQ(pace.RetryGap(0.5), pace.times().first_retry);
  for (int i = 0; i < 100; ++i) pace.Failed(WatchFailure::kDial, 1, "");
  EXPECT_EQ(pace.RetryGap(0), 0.5 * pace.times().most_retry);
  EXPECT_EQ(pace.RetryGap(1), 1.5 * pace.times().most_retry);
}

// A lagging copy's list would bring back hosts that drain.
TEST(WatchSchedule, AnOlderListIsNoNews) {
  WatchSchedule pace(41);
  EXPECT_FALSE(pace.Takes(Whole(40)));
  EXPECT_FALSE(pace.Takes(Changes(40)));
  EXPECT_EQ(pace.revision(), 41);
  EXPECT_EQ(pace.Begin(0.5), "/discovery/hosts");  // whether it has begun anew only a whole list can tell
  EXPECT_TRUE(pace.Takes(Whole(41)));
  EXPECT_TRUE(pace.Takes(Changes(43)));
  EXPECT_EQ(pace.revision(), 43);
}

TEST(WatchSchedule, ADiscoveryThatCountsAnewIsBelievedAfterSeveralWholeLists) {
  WatchSchedule pace(41);
  EXPECT_FALSE(pace.Takes(Whole(3)));
  EXPECT_FALSE(pace.Takes(Changes(4)));  // of what?
  EXPECT_FALSE(pace.Takes(Whole(2)));    // not even later than the one before it
  EXPECT_FALSE(pace.Takes(Whole(2)));
  EXPECT_TRUE(pace.Takes(Whole(4)));
  EXPECT_EQ(pace.revision(), 4);
}

TEST(WatchSchedule, OneLineForManyFailedCallsAndOneWhenItAnswers) {
  WatchSchedule pace(41);
  EXPECT_EQ(pace.Failed(WatchFailure::kStatus, 30, "503"),
            "discovery refuses (503); the last good list, revision 41, stays");
  for (int i = 0; i < 50; ++i) EXPECT_FALSE(pace.Failed(WatchFailure::kSilent, 5000, ""));
  EXPECT_EQ(pace.Succeeded(5000, false), "discovery answers again after 51 failed calls; revision 41");
  EXPECT_FALSE(pace.Succeeded(5000, false));
}

// Whatever comes, in any order: bounds hold, and the revision falls only by whole lists that agree.
TEST(WatchSchedule, HoldsItsBoundsThroughRandomAnswers) {
  std::mt19937 random(11);
  WatchSchedule pace;
  for (int i = 0; i < 20000; ++i) {
    if (random() % 2 == 0) {
      pace.Failed(static_cast<WatchFailure>(random() % 7), random() % 9000, "");
    } else {
      const auto before = pace.revision();
      const HostList list{static_cast<std::int64_t>(random() % 9) - 2, random() % 2 == 0, {}};
      const bool taken = pace.Takes(list);
      ASSERT_EQ(pace.revision(), taken ? list.revision : before);
      if (taken && before && list.revision < *before) {
        ASSERT_TRUE(list.complete);
      }
      if (taken) pace.Succeeded(random() % 9000, random() % 2 == 0);
    }
    pace.Begin((random() % 100) / 100.0);
    ASSERT_GT(pace.Patience(), 0);
    ASSERT_LE(pace.Patience(), 1.5 * pace.times().wait + pace.times().most_silence);
    ASSERT_LE(pace.Pause(1), pace.times().most_pause);
    ASSERT_GT(pace.RetryGap(0), 0);
    ASSERT_LE(pace.RetryGap(1), 1.5 * pace.times().most_retry);
  }
}

constexpr char kDraining[] =
    R"({"revision":42,"complete":false,"members":[{"id":"h0","host_port":"127.0.0.1:1","phase":"draining"}]})";

// Discovery as a scripted peer; a failed watch begins anew at once.
struct Watched {
  explicit Watched(const WatchTimes& times = Short())
      : discovery(io, peer.address(), 41,
                  {[this](const HostList& list) { told.push_back(list); },
                   [this] {
                     ++failed;
                     asio::post(io, [this] { discovery.Watch(); });
                   },
                   [this](const std::string& line) { lines.push_back(line); }},
                  1, times) {
    discovery.Watch();
  }
  // For silence alone, and that of the first call alone: what follows a failure is waited for.
  static WatchTimes Short() {
    WatchTimes times;
    times.wait = 200, times.silence = 300, times.recovery_wait = times.rest = 600000, times.least_gap = 0;
    return times;
  }
  // The n-th call, from 0; a broken connection can be told only by the call that follows.
  Peer::Taken& Asked(std::size_t n) {
    EXPECT_TRUE(RunUntil(io, [&] { return peer.requests.size() > n; })) << "call " << n;
    return peer.requests.at(n);
  }
  // One bad answer to the first call: nothing of it is believed, the next call goes on from the last good
  // list, a drain told there is kept, and the operators read two lines.
  void Survives(const std::function<void(Peer::Taken&)>& bad, const std::string& words,
                bool again_at_once = true) {
    bad(Asked(0));
    Peer::Taken& next = Asked(1);
    EXPECT_EQ(std::string(next.http.target()).find("/discovery/hosts?after=41&wait_ms="), 0u);
    EXPECT_TRUE(told.empty());
    next.Answer(200, kDraining);
    ASSERT_TRUE(RunUntil(io, [&] { return !told.empty(); }));
    ASSERT_EQ(told[0].hosts.size(), 1u);
    EXPECT_EQ(told[0].hosts[0].server.state, ServerState::kDraining);
    EXPECT_EQ(failed, again_at_once ? 0 : 1);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_NE(lines[0].find(words), std::string::npos) << lines[0];
    EXPECT_NE(lines[0].find("revision 41"), std::string::npos) << lines[0];
    EXPECT_EQ(lines[1], "discovery answers again after 1 failed call; revision 42");
  }

  asio::io_context io;
  Peer peer{io};
  std::vector<HostList> told;
  std::vector<std::string> lines;
  int failed = 0;
  Discovery discovery;
};

// Long times where the fault must show by itself: a test that waited for them would fail.
WatchTimes Patient() {
  WatchTimes times;
  times.wait = times.recovery_wait = times.silence = times.most_silence = times.rest = 600000;
  return times;
}

TEST(Discovery, SurvivesA503) {
  Watched watched(Patient());
  watched.Survives([](Peer::Taken& call) { call.Answer(503, ""); }, "refuses (503)", false);
}

// A discovery that goes down ends all watches together: who may call again, and when, the policy says.
TEST(Discovery, SurvivesAWatchThatEndsWithoutAByte) {
  Watched watched(Patient());
  watched.Survives([&](Peer::Taken& call) { asio::post(watched.io, [on = call.on] { on->Close(); }); },
                   "ends the watch", false);
}

// The connection ends after this much of an answer.
void SurvivesABreakAfter(const std::string& text) {
  Watched watched(Patient());
  watched.Survives(
      [&](Peer::Taken& call) {
        call.on->Raw(text);
        asio::post(watched.io, [on = call.on] { on->Close(); });
      },
      "breaks its answer off");
}

TEST(Discovery, SurvivesABreakInsideTheHead) { SurvivesABreakAfter("HTTP/1.1 200 OK\r\nContent-Le"); }
TEST(Discovery, SurvivesABreakInsideTheBody) {
  SurvivesABreakAfter("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
}

// The head has come: what is left is not waited for as long as news are.
TEST(Discovery, SurvivesABodyThatStopsShort) {
  WatchTimes times = Patient();
  times.rest = 1000;
  Watched watched(times);
  watched.Survives(
      [](Peer::Taken& call) {
        call.on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"revision\":42,");
      },
      "breaks its answer off");
}

TEST(Discovery, SurvivesJsonThatCantBeRead) {
  Watched watched(Patient());
  watched.Survives([](Peer::Taken& call) { call.Answer(200, "{\"revision\":42,"); }, "can't be read");
}

// All of the list is refused: half a list would leave out hosts, or keep some that drain.
TEST(Discovery, SurvivesAnEntryWithAWrongType) {
  Watched watched(Patient());
  watched.Survives(
      [](Peer::Taken& call) {
        call.Answer(200, R"({"revision":42,"complete":true,"members":[)"
                         R"({"id":"h0","host_port":"127.0.0.1:1","phase":"up"},)"
                         R"({"id":"h1","host_port":"127.0.0.1:2","phase":"up","size":"large"}]})");
      },
      "can't be read");
}

TEST(Discovery, SurvivesNoAnswerAtAll) {
  Watched watched;
  watched.Survives([](Peer::Taken&) {}, "doesn't answer in time");
}

TEST(Discovery, SurvivesASmallerRevision) {
  Watched watched(Patient());
  watched.Asked(0).Answer(200, R"({"revision":40,"complete":true,"members":[]})");
  EXPECT_EQ(watched.Asked(1).http.target(), "/discovery/hosts");
  EXPECT_TRUE(watched.told.empty());
  watched.Asked(1).Answer(200, R"({"revision":44,"complete":true,"members":[]})");
  EXPECT_EQ(std::string(watched.Asked(2).http.target()).find("/discovery/hosts?after=44&"), 0u);
  EXPECT_EQ(watched.told.size(), 1u);
  EXPECT_NE(watched.lines.at(0).find("older than the one known (40)"), std::string::npos);
}

// Refused dials neither end the watch nor fill the log.
TEST(Discovery, SurvivesADiscoveryThatIsAwayForLong) {
  Watched watched(Patient());
  watched.Asked(0);
  watched.peer.Vanish();
  ASSERT_TRUE(RunUntil(watched.io, [&] { return watched.failed >= 20; }));
  EXPECT_EQ(watched.lines.size(), 1u);
  watched.peer.ComeBack();
  watched.Asked(1).Answer(200, kDraining);
  ASSERT_TRUE(RunUntil(watched.io, [&] { return !watched.told.empty(); }));
  EXPECT_EQ(watched.lines.size(), 2u);
}

}  // namespace
}  // namespace opalswitch::testing
