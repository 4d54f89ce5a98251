// Budgets that pools share, and what a pool takes in at all.
#include <gtest/gtest.h>

#include <random>

#include "limits/read_throttle.hpp"
#include "limits/request_limiter.hpp"
#include "limits/shared_budget.hpp"

namespace opalswitch::testing {
namespace {

using limits::RequestLimiter;
using limits::SharedBudget;

TEST(SharedBudget, KeepsEachPartysGuaranteedPartForIt) {
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

TEST(SharedBudget, KeepsAPartyUnderItsMost) {
  SharedBudget budget(100);
  const auto party = budget.AddParticipant(1, 3);
  EXPECT_TRUE(budget.TryAcquire(party, 3));
  EXPECT_FALSE(budget.TryAcquire(party));
  EXPECT_FALSE(budget.TryAcquire(party, SharedBudget::kUnlimited));
}

TEST(SharedBudget, GivesBackWhatALeavingPartyHeld) {
  SharedBudget budget(4);
  const auto old = budget.AddParticipant(4);
  EXPECT_TRUE(budget.TryAcquire(old, 3));
  budget.RemoveParticipant(old);
  EXPECT_FALSE(budget.TryAcquire(old));
  const auto next = budget.AddParticipant(4);
  EXPECT_TRUE(budget.TryAcquire(next));
  EXPECT_FALSE(budget.TryAcquire(next));  // what is in use never exceeds the total
  budget.Release(old, 3);
  EXPECT_TRUE(budget.TryAcquire(next, 3));
  EXPECT_EQ(budget.participants(), 1u);
  budget.Release(next, 99);
  EXPECT_EQ(budget.used(), 0u);
}

// Whatever the order: never more than the total in use, and a party within its guarantee is always served.
TEST(SharedBudget, HoldsItsPromisesInRandomOrder) {
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    SharedBudget budget(50);
    std::vector<SharedBudget::ParticipantId> parties;
    std::vector<std::uint64_t> guaranteed, used;
    std::uint64_t left = 50;
    for (int i = 0; i < 5; ++i) {
      guaranteed.push_back(random() % (left / 2 + 1));
      left -= guaranteed.back();
      used.push_back(0);
      parties.push_back(budget.AddParticipant(guaranteed.back()));
    }
    for (int step = 0; step < 400; ++step) {
      const std::size_t i = random() % parties.size();
      const std::uint64_t amount = 1 + random() % 4;
      if (random() % 2 == 0) {
        const bool taken = budget.TryAcquire(parties[i], amount);
        if (used[i] + amount <= guaranteed[i]) {
          EXPECT_TRUE(taken);
        }
        if (taken) used[i] += amount;
      } else {
        const std::uint64_t back = std::min(amount, used[i]);
        budget.Release(parties[i], back);
        used[i] -= back;
      }
      std::uint64_t sum = 0;
      for (const std::uint64_t u : used) sum += u;
      ASSERT_EQ(budget.used(), sum);
      ASSERT_LE(sum, 50u);
    }
  }
}

TEST(RequestLimiter, HoldsNoMoreThanItsLimit) {
  RequestLimiter gate({0, 0, 2});
  EXPECT_EQ(gate.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
  EXPECT_EQ(gate.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
  const auto answer = gate.TryAdmit(0);
  EXPECT_EQ(answer.decision, RequestLimiter::Decision::kTooManyActive);
  EXPECT_GT(answer.retry_after, 0);
  gate.Release();
  EXPECT_EQ(gate.TryAdmit(0).decision, RequestLimiter::Decision::kAdmitted);
}

TEST(RequestLimiter, TakesNoMoreASecondThanItsRateAndSaysWhenToComeBack) {
  RequestLimiter gate({10, 3, 0});
  double now = 5000;
  int entered = 0;
  for (; gate.TryAdmit(now).decision == RequestLimiter::Decision::kAdmitted; ++entered) {
  }
  EXPECT_EQ(entered, 3);
  EXPECT_NEAR(gate.TryAdmit(now).retry_after, 100, 1e-6);
  for (int i = 0; i < 1000; ++i)
    entered += gate.TryAdmit(now += 1).decision == RequestLimiter::Decision::kAdmitted;
  EXPECT_NEAR(entered, 13, 1);
  EXPECT_EQ(gate.TryAdmit(now - 100000).decision,
            RequestLimiter::Decision::kRateExceeded);  // a clock that runs back gives nothing
}

// Guards the loop against clients that ask again as soon as they are turned away, and a lone one against any
// wait.
TEST(ReadThrottle, SpreadsManyThatWereTurnedAwayAndLetsAFewPass) {
  limits::ReadThrottle pacer(1000, 500);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(pacer.NextDelay(100), 0) << i;
  double last = 0;
  for (int i = 0; i < 250; ++i) {
    const double pause = pacer.NextDelay(100);
    EXPECT_GT(pause, last);
    last = pause;
  }
  EXPECT_NEAR(last, 250, 2);
  for (int i = 0; i < 5000; ++i) EXPECT_LE(pacer.NextDelay(100), 500);  // none waits for longer
  EXPECT_EQ(pacer.NextDelay(100000), 0);
}

}  // namespace
}  // namespace opalswitch::testing
