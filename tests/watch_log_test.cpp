// Log lines about calls of discovery and about changes of the host list.
#include "membership/watch_log.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "membership/host_changes.hpp"

namespace opalswitch::testing {
namespace {

using gateway::EndedCall;
using gateway::FormatEndedCall;
using gateway::FormatHostChanges;
using gateway::FormatReloadedAddress;
using gateway::HostChanges;
using gateway::IsNotable;
using gateway::WatchFailure;

EndedCall FailedCall(int consecutive_failures) {
  EndedCall call;
  call.failure = WatchFailure::kTimeout;
  call.consecutive_failures = consecutive_failures;
  return call;
}

// Guards an incident's timeline against missing times and reasons of the calls.
TEST(WatchLog, LineNamesTimeReasonAndAgeOfTheList) {
  EndedCall call = FailedCall(2);
  call.number = 7;
  call.ended_at = 17041;
  call.since_previous = 100.2;
  call.elapsed = 3100.4;
  call.wait = 2500;
  call.revision = 40;
  call.unconfirmed_for = 8200.5;
  EXPECT_EQ(FormatEndedCall(call),
            "discovery call=7 at=17.041 ended=timeout gap_ms=100.2 after_ms=3100.4 wait_ms=2500 failures=2 "
            "revision=40 unconfirmed_ms=8200.5");
  call.failure = WatchFailure::kErrorStatus;
  call.detail = "503";
  EXPECT_NE(FormatEndedCall(call).find("ended=error_status"), std::string::npos);
  EXPECT_NE(FormatEndedCall(call).find(" detail=\"503\""), std::string::npos);
  call.failure.reset();
  call.hosts = 24;
  EXPECT_NE(FormatEndedCall(call).find("ended=list"), std::string::npos);
  EXPECT_NE(FormatEndedCall(call).find("revision=40 hosts=24 "), std::string::npos);
}

// Guards an incident's timeline against reloads that leave no line.
TEST(WatchLog, LineAboutAReloadedAddressNamesTheCallThatItSupersedes) {
  EXPECT_EQ(FormatReloadedAddress(15000, "10.2.0.1:8500", true, 210.4, 6500.1),
            "discovery address at=15.000 reloaded=10.2.0.1:8500 moved=yes superseded_call_ms=210.4 "
            "unconfirmed_ms=6500.1");
  EXPECT_EQ(FormatReloadedAddress(15000, "10.2.0.1:8500", false, std::nullopt, 20),
            "discovery address at=15.000 reloaded=10.2.0.1:8500 moved=no unconfirmed_ms=20.0");
}

// Guards against a log that fills up during an outage, or with watches that end without news.
TEST(WatchLog, EverFewerCallsOfALongOutageAreNotable) {
  int lines = 0;
  for (int failures = 1; failures <= 10000; ++failures) lines += IsNotable(FailedCall(failures)) ? 1 : 0;
  EXPECT_EQ(lines, 8 + 10);  // each of the first eight, then 16, 32, ... 8192
  for (int failures = 1; failures <= 8; ++failures) EXPECT_TRUE(IsNotable(FailedCall(failures)));
  EndedCall without_news;
  EXPECT_FALSE(IsNotable(without_news));
  without_news.consecutive_failures = 1;
  EXPECT_TRUE(IsNotable(without_news));
  EndedCall with_news;
  with_news.hosts = 1;
  EXPECT_TRUE(IsNotable(with_news));
}

TEST(WatchLog, HostChangesNameAtMostSixteenHostsOfEachKind) {
  HostChanges changes{{"h7"}, {"h1", "h2"}};
  EXPECT_EQ(FormatHostChanges(17041, 41, 20, changes),
            "hosts changed at=17.041 revision=41 up=20 added=1 removed=2 added.ids=h7 removed.ids=h1,h2");
  changes.added.assign(100, "x");
  changes.removed.clear();
  const std::string line = FormatHostChanges(17041, 41, 100, changes);
  EXPECT_NE(line.find("added=100 removed=0 added.ids=x,"), std::string::npos);
  EXPECT_EQ(std::count(line.begin(), line.end(), 'x'), 16);
  EXPECT_EQ(line.find("removed.ids"), std::string::npos);
}

}  // namespace
}  // namespace opalswitch::testing
