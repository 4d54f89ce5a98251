// Tests of the limits ahead of the decision module: shared budgets, request limiter and read throttle.
#include <gtest/gtest.h>

#include <random>

#include "limits/read_throttle.hpp"
#include "limits/request_limiter.hpp"
#include "limits/shared_budget.hpp"

namespace opalswitch::testing {
namespace {

using limits::RequestLimiter;
using limits::SharedBudget;

// Guards a participant's guarantee against one that takes all it can get.
TEST(SharedBudget, KeepsEachParticipantsGuaranteeAvailable) {
  SharedBudget budget(10);
  const auto greedy = budget.AddParticipant(2), quiet = budget.AddParticipant(4);
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(budget.TryAcquire(greedy)) << i;
  EXPECT_FALSE(budget.TryAcquire(greedy));
  EXPECT_TRUE(budget.TryAcquire(quiet, 4));
  EXPECT_FALSE(budget.TryAcquire(quiet));
  budget.Release(greedy, 3);
  EXPECT_TRUE(budget.TryAcquire(quiet, 3));
  EXPECT_FALSE(budget.TryAcquire(greedy));
}

// Guards against use above the maximum, also by an amount that would overflow.
TEST(SharedBudget, EnforcesAParticipantsMaximum) {
  SharedBudget budget(100);
  const auto participant = budget.AddParticipant(1, 3);
  EXPECT_TRUE(budget.TryAcquire(participant, 3));
  EXPECT_FALSE(budget.TryAcquire(participant));
  EXPECT_FALSE(budget.TryAcquire(participant, SharedBudget::kUnlimited));
}

// Guards the total while a removed participant still uses some of it.
TEST(SharedBudget, CountsARemovedParticipantsUseUntilItIsReleased) {
  SharedBudget budget(4);
  const auto old = budget.AddParticipant(4);
  EXPECT_TRUE(budget.TryAcquire(old, 3));
  budget.RemoveParticipant(old);
  EXPECT_FALSE(budget.TryAcquire(old));
  const auto next = budget.AddParticipant(4);
  EXPECT_TRUE(budget.TryAcquire(next));
  EXPECT_FALSE(budget.TryAcquire(next));  // the amount in use never exceeds the total
  budget.Release(old, 3);
  EXPECT_TRUE(budget.TryAcquire(next, 3));
  EXPECT_EQ(budget.participants(), 1u);
  budget.Release(next, 99);
  EXPECT_EQ(budget.used(), 0u);
}

// Guards against any order of operations that lets the use exceed the total, or denies a participant its
// guarantee.
TEST(SharedBudget, KeepsGuaranteesAndTotalUnderRandomOperations) {
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    SharedBudget budget(50);
    std::vector<SharedBudget::ParticipantId> participants;
    std::vector<std::uint64_t> guaranteed, used;
    std::uint64_t left = 50;
    for (int i = 0; i < 5; ++i) {
      guaranteed.push_back(random() % (left / 2 + 1));
      left -= guaranteed.back();
      used.push_back(0);
      participants.push_back(budget.AddParticipant(guaranteed.back()));
    }
    for (int step = 0; step < 400; ++step) {
      const std::size_t i = random() % participants.size();
      const std::uint64_t amount = 1 + random() % 4;
      if (random() % 2 == 0) {
        const bool acquired = budget.TryAcquire(participants[i], amount);
        if (used[i] + amount <= guaranteed[i]) {
          EXPECT_TRUE(acquired);
        }
        if (acquired) used[i] += amount;
      } else {
        const std::uint64_t released = std::min(amount, used[i]);
        budget.Release(participants[i], released);
        used[i] -= released;
      }
      std::uint64_t sum = 0;
      for (const std::uint64_t u : used) sum += u;
      ASSERT_EQ(budget.used(), sum);
      ASSERT_LE(sum, 50u);
    }
  }
}

// Guards against more active requests than the limit, and against a slot that is not released.
TEST(RequestLimiter, RefusesRequestsAboveTheActiveLimit) {
  RequestLimiter limiter({0, 0, 2});
  EXPECT_EQ(limiter.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
  EXPECT_EQ(limiter.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
  const auto answer = limiter.TryAdmit(0);
  EXPECT_EQ(answer.decision, RequestLimiter::Decision::kTooManyActive);
  EXPECT_GT(answer.retry_after, 0);
  limiter.Release();
  EXPECT_EQ(limiter.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
}

// Guards against more requests than burst and rate allow, and against a wrong Retry-After.
TEST(RequestLimiter, RefusesRequestsAboveTheRateWithRetryAfter) {
  RequestLimiter limiter({10, 3, 0});
  double now = 5000;
  int admitted = 0;
  for (; limiter.TryAdmit(now).decision == RequestLimiter::Decision::kAdmitted; ++admitted) {
  }
  EXPECT_EQ(admitted, 3);
  EXPECT_NEAR(limiter.TryAdmit(now).retry_after, 100, 1e-6);
  for (int i = 0; i < 1000; ++i)
    admitted += limiter.TryAdmit(now += 1).decision == RequestLimiter::Decision::kAdmitted;
  EXPECT_NEAR(admitted, 13, 1);
  EXPECT_EQ(limiter.TryAdmit(now - 100000).decision,
            RequestLimiter::Decision::kRateExceeded);  // a clock that runs backwards adds no tokens
}

// Guards the event loop against clients that retry as soon as they are refused, and a few such clients
// against a delay.
TEST(ReadThrottle, DelaysManyRefusedConnectionsButNotAFew) {
  limits::ReadThrottle throttle(1000, 500);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(throttle.NextDelay(100), 0) << i;
  double last = 0;
  for (int i = 0; i < 250; ++i) {
    const double delay = throttle.NextDelay(100);
    EXPECT_GT(delay, last);
    last = delay;
  }
  EXPECT_NEAR(last, 250, 2);
  for (int i = 0; i < 5000; ++i) EXPECT_LE(throttle.NextDelay(100), 500);  // capped at the maximum delay
  EXPECT_EQ(throttle.NextDelay(100000), 0);
}

// Guards requests against a delay that outlives the overload: it is bounded after any number of refusals, and
// ends with them.
TEST(ReadThrottle, DelayEndsWithTheOverloadAfterAnyNumberOfRefusals) {
  constexpr double kMaxDelay = 50, kInterval = 4;
  for (const int refusals : {1, 3, 30, 1000, 100000}) {
    SCOPED_TRACE(refusals);
    limits::ReadThrottle throttle(1000 / kInterval, kMaxDelay);
    double now = 100;
    for (int i = 0; i < refusals; ++i) EXPECT_LE(throttle.NextDelay(now += 0.01), kMaxDelay);
    EXPECT_EQ(throttle.NextDelay(now + kMaxDelay + kInterval), 0);
  }
}

}  // namespace
}  // namespace opalswitch::testing
