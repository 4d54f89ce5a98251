// Budgets that pools share, and what a pool takes in at all.
#include <gtest/gtest.h>

#include <random>

#include "limits/pacer.hpp"
#include "limits/pool_gate.hpp"
#include "limits/shared_budget.hpp"

namespace opalswitch::testing {
namespace {

using limits::PoolGate;
using limits::SharedBudget;

TEST(SharedBudget, KeepsEachPartysGuaranteedPartForIt) {
  SharedBudget budget(10);
  const auto greedy = budget.Join(2), quiet = budget.Join(4);
  for (int i = 0; i < 6; ++i) EXPECT_TRUE(budget.Take(greedy)) << i;
  EXPECT_FALSE(budget.Take(greedy));
  EXPECT_TRUE(budget.Take(quiet, 4));
  EXPECT_FALSE(budget.Take(quiet));
  budget.Give(greedy, 3);
  EXPECT_TRUE(budget.Take(quiet, 3));
  EXPECT_FALSE(budget.Take(greedy));
}

TEST(SharedBudget, KeepsAPartyUnderItsMost) {
  SharedBudget budget(100);
  const auto party = budget.Join(1, 3);
  EXPECT_TRUE(budget.Take(party, 3));
  EXPECT_FALSE(budget.Take(party));
  EXPECT_FALSE(budget.Take(party, SharedBudget::kNoMost));
}

TEST(SharedBudget, GivesBackWhatALeavingPartyHeld) {
  SharedBudget budget(4);
  const auto old = budget.Join(4);
  EXPECT_TRUE(budget.Take(old, 3));
  budget.Leave(old);
  EXPECT_FALSE(budget.Take(old));
  const auto next = budget.Join(4);
  EXPECT_TRUE(budget.Take(next));
  EXPECT_FALSE(budget.Take(next));  // what is in use never exceeds the total
  budget.Give(old, 3);
  EXPECT_TRUE(budget.Take(next, 3));
  EXPECT_EQ(budget.parties(), 1u);
  budget.Give(next, 99);
  EXPECT_EQ(budget.used(), 0u);
}

// Whatever the order: never more than the total in use, and a party within its guarantee is always served.
TEST(SharedBudget, HoldsItsPromisesInRandomOrder) {
  std::mt19937 random(3);
  for (int round = 0; round < 200; ++round) {
    SharedBudget budget(50);
    std::vector<SharedBudget::Party> parties;
    std::vector<std::uint64_t> guaranteed, used;
    std::uint64_t left = 50;
    for (int i = 0; i < 5; ++i) {
      guaranteed.push_back(random() % (left / 2 + 1));
      left -= guaranteed.back();
      used.push_back(0);
      parties.push_back(budget.Join(guaranteed.back()));
    }
    for (int step = 0; step < 400; ++step) {
      const std::size_t i = random() % parties.size();
      const std::uint64_t amount = 1 + random() % 4;
      if (random() % 2 == 0) {
        const bool taken = budget.Take(parties[i], amount);
        if (used[i] + amount <= guaranteed[i]) {
          EXPECT_TRUE(taken);
        }
        if (taken) used[i] += amount;
      } else {
        const std::uint64_t back = std::min(amount, used[i]);
        budget.Give(parties[i], back);
        used[i] -= back;
      }
      std::uint64_t sum = 0;
      for (const std::uint64_t u : used) sum += u;
      ASSERT_EQ(budget.used(), sum);
      ASSERT_LE(sum, 50u);
    }
  }
}

TEST(PoolGate, HoldsNoMoreThanItsLimit) {
  PoolGate gate({0, 0, 2});
  EXPECT_EQ(gate.Enter(0).verdict, PoolGate::Verdict::kEnter);
  EXPECT_EQ(gate.Enter(0).verdict, PoolGate::Verdict::kEnter);
  const auto answer = gate.Enter(0);
  EXPECT_EQ(answer.verdict, PoolGate::Verdict::kTooMany);
  EXPECT_GT(answer.retry_after, 0);
  gate.Leave();
  EXPECT_EQ(gate.Enter(0).verdict, PoolGate::Verdict::kEnter);
}

TEST(PoolGate, TakesNoMoreASecondThanItsRateAndSaysWhenToComeBack) {
  PoolGate gate({10, 3, 0});
  double now = 5000;
  int entered = 0;
  for (; gate.Enter(now).verdict == PoolGate::Verdict::kEnter; ++entered) {
  }
  EXPECT_EQ(entered, 3);
  EXPECT_NEAR(gate.Enter(now).retry_after, 100, 1e-6);
  for (int i = 0; i < 1000; ++i) entered += gate.Enter(now += 1).verdict == PoolGate::Verdict::kEnter;
  EXPECT_NEAR(entered, 13, 1);
  EXPECT_EQ(gate.Enter(now - 100000).verdict,
            PoolGate::Verdict::kTooFast);  // a clock that runs back gives nothing
}

// Guards the loop against clients that ask again as soon as they are turned away, and a lone one against any
// wait.
TEST(Pacer, SpreadsManyThatWereTurnedAwayAndLetsAFewPass) {
  limits::Pacer pacer(1000, 500);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(pacer.Pause(100), 0) << i;
  double last = 0;
  for (int i = 0; i < 250; ++i) {
    const double pause = pacer.Pause(100);
    EXPECT_GT(pause, last);
    last = pause;
  }
  EXPECT_NEAR(last, 250, 2);
  for (int i = 0; i < 5000; ++i) EXPECT_LE(pacer.Pause(100), 500);  // none waits for longer
  EXPECT_EQ(pacer.Pause(100000), 0);
}

}  // namespace
}  // namespace opalswitch::testing
