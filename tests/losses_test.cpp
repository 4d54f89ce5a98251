// Tests of the loss recorder's log lines: each ended request must be logged exactly once.
#include "ledger/losses.hpp"

#include <gtest/gtest.h>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

using ledger::RequestOutcome;

// Guards against outcomes that are missing from the lines or logged twice.
TEST(LossRecorder, LogsEachOutcomeOnceByClassAndCause) {
  ledger::LossRecorder losses({MakeClass("view", Effect::kSafe, 5), MakeClass("pay", Effect::kUnsafe, 8)});
  EXPECT_TRUE(losses.TakeLogLines(1000).empty()) << "nothing has ended";
  losses.RecordRequest("view", RequestOutcome::kInTime, "", 10);
  losses.RecordRequest("view", RequestOutcome::kRefused, CauseName(Cause::kRateLimited), 40);
  losses.RecordRequest("view", RequestOutcome::kRefused, CauseName(Cause::kRateLimited), 20);
  losses.RecordRequest("view", RequestOutcome::kLate, "", 700);
  losses.RecordRequest("view", RequestOutcome::kGone, "", 700);
  losses.RecordWastedAttempt("view", Result::kReset, 30);
  losses.RecordRequest("pay", RequestOutcome::kFailed, CauseName(Cause::kMayHaveRun), 5);
  EXPECT_TRUE(losses.TakeLogLines(1900).empty()) << "at most one line a second";
  EXPECT_EQ(losses.TakeLogLines(2000),
            (std::vector<std::string>{
                "losses class=view at=2.0 worth=5 ended=5 in_time=1 late=1 refused.rate=2 "
                "wasted.reset=1 gone=1 waited_ms=60 wasted_ms=30",
                "losses class=pay at=2.0 worth=8 ended=1 in_time=0 failed.ran=1 waited_ms=5"}));
  EXPECT_TRUE(losses.TakeLogLines(3000).empty()) << "logged twice";
}

// Guards against log lines without losses, and against requests served meanwhile missing from the next line.
TEST(LossRecorder, LogsNothingWhileNothingIsLost) {
  ledger::LossRecorder losses({MakeClass("view")});
  losses.RecordRequest("view", RequestOutcome::kInTime, "", 10);
  EXPECT_TRUE(losses.TakeLogLines(1000).empty());
  losses.RecordRequest("view", RequestOutcome::kGone, "", 10);
  const auto lines = losses.TakeLogLines(2000);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0], "losses class=view at=2.0 worth=1 ended=2 in_time=1 gone=1")
      << "requests served before are included";
}

// Guards against retries that the lines do not show.
TEST(LossRecorder, LogsRetriesByClass) {
  ledger::LossRecorder losses({MakeClass("view")});
  losses.RecordWastedAttempt("view", Result::kReset, 30);
  losses.RecordRetry("view");
  losses.RecordRequest("view", RequestOutcome::kInTime, "", 50);
  const auto lines = losses.TakeLogLines(2000);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0],
            "losses class=view at=2.0 worth=1 ended=1 in_time=1 retried=1 wasted.reset=1 wasted_ms=30");
}

// Guards against class names chosen by clients: counting them would use unbounded memory.
TEST(LossRecorder, IgnoresUnknownClasses) {
  ledger::LossRecorder losses({MakeClass("view")});
  losses.RecordRequest("nonsense", RequestOutcome::kRefused, "class", 0);
  losses.RecordWastedAttempt("nonsense", Result::kReset, 0);
  EXPECT_TRUE(losses.TakeLogLines(1000).empty());
}

// Guards against a cause without a name.
TEST(LossRecorder, EveryCauseHasAName) {
  for (int cause = 0; cause <= static_cast<int>(Cause::kRetryBudgetExhausted); ++cause) {
    EXPECT_STRNE(CauseName(static_cast<Cause>(cause)), "unknown") << cause;
  }
}

}  // namespace
}  // namespace opalswitch::testing
