// Many gateways and one discovery service that works through their calls in turn, simulated: how soon all of
// them know the newest list after an outage.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <vector>

#include "standins/simulated_caller.hpp"

namespace opalswitch::testing {
namespace {

using gateway::WatchFailure;

// A change counts as known 6 s after discovery has it and can be reached; new work may go on for 0.5 s more.
constexpr Millis kLatestEffect = 6500;

// A service that answers calls in the order of their arrival, also those that have been given up.
struct QueueingService {
  Millis call_cost;   // of one call
  Millis timeout;     // after which a queued call is refused
  Millis max_queue;   // beyond this much work a call is refused at once
  Millis down_until;  // calls before fail at once
  Millis busy_until = 0;
  Millis refuses_until = 0;  // calls before wait in the queue for `refused_after` and are refused
  Millis refused_after = 0;

  SimulatedResponse Call(Millis now) {
    if (now < down_until) return {now, WatchFailure::kErrorStatus};
    if (now < refuses_until) return {now + refused_after, WatchFailure::kErrorStatus};
    if (busy_until - now > max_queue) return {now, WatchFailure::kErrorStatus};
    busy_until = std::max(busy_until, now) + call_cost;
    if (busy_until > now + timeout) return {now + timeout, WatchFailure::kErrorStatus};
    return {busy_until, std::nullopt};
  }
};

// Returns when the last gateway knew the list, in ms after the end of the outage; infinity if some did not
// within a minute.
Millis TimeUntilAllKnow(int gateways, QueueingService service) {
  constexpr Millis kLimit = 60000;
  std::vector<SimulatedCaller> callers;
  for (int i = 0; i < gateways; ++i) callers.emplace_back(gateways, i);
  int known = 0;
  for (Millis now = 0; now < service.down_until + kLimit; now += kTickMs) {
    for (SimulatedCaller& caller : callers) {
      if (caller.known_at) continue;
      caller.AdvanceTo(now, service);
      known += caller.known_at ? 1 : 0;
    }
    if (known == gateways) return now - service.down_until;
  }
  return INFINITY;
}

// Number of gateways, and how long discovery is down or refuses.
using FleetAndOutage = std::tuple<int, Millis>;

// Guards servers that are removed during an outage of discovery against new work from any gateway of a fleet,
// where discovery can answer all of them in the time that there is.
class DiscoveryCrowd : public ::testing::TestWithParam<FleetAndOutage> {};
TEST_P(DiscoveryCrowd, AllGatewaysKnowTheListInTimeAfterAnOutage) {
  const auto [gateways, outage] = GetParam();
  // All gateways' calls together take it 2 s.
  EXPECT_LE(TimeUntilAllKnow(gateways, {2000.0 / gateways, 3000, 3000, outage}), kLatestEffect);
}
INSTANTIATE_TEST_SUITE_P(Fleets, DiscoveryCrowd,
                         ::testing::Combine(::testing::Values(1, 2, 20, 60, 181, 300, 900),
                                            ::testing::Values(500, 3300, 8000, 12700)));

// Guards a slow discovery service against calls without end: it works through calls that have timed out, so
// gateways that call too often would get no answer at all.
class SlowDiscovery : public ::testing::TestWithParam<FleetAndOutage> {};
TEST_P(SlowDiscovery, AnswersAllGatewaysInTheEnd) {
  constexpr Millis kHalfAMinute = 30000;
  const auto [gateways, outage] = GetParam();
  EXPECT_LE(TimeUntilAllKnow(gateways, {8000.0 / gateways, 2000, 5000, outage}), kHalfAMinute);
}
INSTANTIATE_TEST_SUITE_P(Fleets, SlowDiscovery,
                         ::testing::Combine(::testing::Values(20, 60, 181, 300, 900),
                                            ::testing::Values(500, 3300, 8000, 12700)));

// Guards servers that are removed just after discovery has refused calls from its queue, however many of them
// in a row, against new work from any gateway of a fleet. Discovery then answers all calls together in half a
// second.
class RefusingDiscovery : public ::testing::TestWithParam<FleetAndOutage> {};
TEST_P(RefusingDiscovery, AllGatewaysKnowTheListInTimeAfterTheLastRefusal) {
  constexpr Millis kRefusedAfter = 1000, kTimeForAllCalls = 500;
  const auto [gateways, refusing] = GetParam();
  QueueingService service{kTimeForAllCalls / gateways, 3000, 3000, 0};
  service.refuses_until = refusing;
  service.refused_after = kRefusedAfter;
  EXPECT_LE(TimeUntilAllKnow(gateways, service) - (refusing + kRefusedAfter), kLatestEffect);
}
INSTANTIATE_TEST_SUITE_P(Fleets, RefusingDiscovery,
                         ::testing::Combine(::testing::Values(1, 60, 181, 900),
                                            ::testing::Values(1500, 8000, 15000, 25000)));
INSTANTIATE_TEST_SUITE_P(LongRefusal, RefusingDiscovery,
                         ::testing::Combine(::testing::Values(1, 60, 181), ::testing::Values(40000)));

}  // namespace
}  // namespace opalswitch::testing
