// The time until a gateway knows a change of the host list, over series of failed calls of discovery: outages
// of any length, and calls that fail by themselves while discovery can be reached.
//
// FORKWICK_TEST_SEED: seed of the failures.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "standins/simulated_caller.hpp"
#include "standins/test_seed.hpp"

namespace opalswitch::testing {
namespace {

using gateway::WatchFailure;

// A change counts as known this long after discovery has it and can be reached, or after a watch has fallen
// silent; for a silent watch also as long after its wait, if that is later. New work may go on for the grace.
constexpr Millis kKnownAfterReachable = 6000, kKnownAfterSilentWait = 2000, kDrainGrace = 500;
constexpr Millis kHeldUpFor = 150;  // a gateway may be, between reading its clock and writing
constexpr Millis kAnswerTime = 300;
constexpr Millis kQuickFailureTime = 5;

using Failures = std::vector<WatchFailure>;

// Down until `reachable_at`, with calls failing at once. The first calls after that fail, too, by `failures`;
// the other ones get the list.
struct FailingService {
  Millis reachable_at;
  Failures failures;
  std::size_t failed = 0;

  SimulatedResponse Call(Millis now) {
    if (now < reachable_at) return {now + kQuickFailureTime, WatchFailure::kClosed};
    if (failed >= failures.size()) return {now + kAnswerTime, std::nullopt};
    const WatchFailure failure = failures[failed++];
    if (failure == WatchFailure::kTimeout) return SimulatedResponse::Never();
    return {now + kQuickFailureTime, failure};
  }
};

std::string Describe(const Failures& failures) {
  std::string text;
  for (const WatchFailure failure : failures) text += " " + std::to_string(static_cast<int>(failure));
  return text;
}

// Returns when the gateway knows the list, on the service's clock.
Millis TimeUntilKnown(SimulatedCaller& caller, FailingService service) {
  constexpr Millis kLimit = 60000;
  Millis now = 0;
  while (!caller.known_at && now < service.reachable_at + kLimit) caller.AdvanceTo(now += kTickMs, service);
  return now;
}

// By the number of gateways in the fleet.
class DiscoverySeries : public ::testing::TestWithParam<int> {
 protected:
  // Every kind of failure that a call can have without being silent, in random order.
  Failures QuickFailures(std::size_t count) {
    static constexpr std::array kKinds = {WatchFailure::kClosed, WatchFailure::kErrorStatus,
                                          WatchFailure::kConnectFailed, WatchFailure::kTruncated,
                                          WatchFailure::kMalformed};
    Failures failures;
    for (std::size_t i = 0; i < count; ++i) failures.push_back(kKinds[random_() % kKinds.size()]);
    return failures;
  }
  Failures OneSilentCallAnd(std::size_t quick_failures) {
    Failures failures = QuickFailures(quick_failures);
    const auto at = static_cast<std::ptrdiff_t>(random_() % (failures.size() + 1));
    failures.insert(failures.begin() + at, WatchFailure::kTimeout);
    return failures;
  }

  // After outages of many lengths, so that discovery is back at any moment between two calls.
  void ExpectKnownInTimeAfterOutages(const std::function<Failures()>& draw_failures) {
    constexpr int kOutages = 300;
    constexpr Millis kLongestOutage = 20000;
    for (int i = 0; i < kOutages; ++i) {
      const FailingService service{kLongestOutage * (i + 1) / kOutages, draw_failures()};
      SimulatedCaller caller(GetParam(), static_cast<int>(random_() % static_cast<unsigned>(GetParam())));
      ASSERT_LE(TimeUntilKnown(caller, service) - service.reachable_at,
                kKnownAfterReachable + kDrainGrace - kHeldUpFor)
          << "outage of " << service.reachable_at << " ms, then failures" << Describe(service.failures);
    }
  }

  std::mt19937 random_{TestSeed()};
};

// Guards servers that drain after an outage against a bound that is kept for each call and given up over
// several: the calls after the outage fail, too.
TEST_P(DiscoverySeries, ChangeIsKnownInTimeAfterAnOutageAndThreeQuickFailures) {
  ExpectKnownInTimeAfterOutages([this] { return QuickFailures(3); });
}
TEST_P(DiscoverySeries, ChangeIsKnownInTimeAfterAnOutageASilentCallAndAQuickFailure) {
  ExpectKnownInTimeAfterOutages([this] { return OneSilentCallAnd(1); });
}

// Guards servers that drain while a watch is silent against the calls behind it, which fail, too.
TEST_P(DiscoverySeries, ChangeIsKnownInTimeAfterASilentWatchAndFurtherFailures) {
  for (int i = 0; i < 200; ++i) {
    const Failures failures = i % 2 == 0 ? QuickFailures(2) : Failures{WatchFailure::kTimeout};
    SimulatedCaller caller(GetParam(), i % GetParam(), SimulatedCaller::FirstEnd::kSilent);
    const Millis wait = caller.wait();
    ASSERT_LE(TimeUntilKnown(caller, {0, failures}),
              std::max(kKnownAfterReachable, wait + kKnownAfterSilentWait) + kDrainGrace - kHeldUpFor)
        << "wait of " << wait << " ms, then failures" << Describe(failures);
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, DiscoverySeries, ::testing::Values(1, 2, 6, 20, 60, 181, 900));

}  // namespace
}  // namespace opalswitch::testing
