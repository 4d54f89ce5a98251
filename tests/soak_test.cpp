// Runs of the gateway process under failing system calls, faulty hosts and clients that send in pieces or
// leave, ended by SIGTERM and by SIGKILL at the earliest moment that the platform allows.
//
// FORKWICK_SOAK_SEEDS: number of runs; FORKWICK_TEST_SEED: seed of the first one. A long soak is started by
// hand:
//   FORKWICK_SOAK_SEEDS=50 build-tests/tests/process_fault_tests
#include <gtest/gtest.h>

#include <chrono>

#include "gateway_process.hpp"
#include "standins/faulty_environment.hpp"
#include "standins/soak_run.hpp"

namespace opalswitch::testing {
namespace {

constexpr unsigned kHosts = 3;
constexpr std::chrono::milliseconds kTrafficTime(5000);

class Soak : public ::testing::TestWithParam<unsigned> {};

// Guards the four rules against failing system calls, wake-ups without input, stepped wall clocks, requests
// in pieces, clients that leave, and a SIGKILL at the earliest moment.
TEST_P(Soak, EveryRequestIsAnsweredOnceAndNothingRunsTwiceOrForClientsThatLeft) {
  SoakRun run(GetParam(), kHosts);
  GatewayProcess gateway(
      run.io, run.HostAddresses(), SoakSettings(),
      FaultyCallsVariables(GetParam(),
                           "interrupted=10 short=100 wakeup=20 accept=50 open=20 connect=20 clock=1"));
  run.Play(gateway, GetParam(), kTrafficTime);
  ExpectRulesKeptForRequests(run, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak,
                         ::testing::Range(TestSeed(),
                                          TestSeed() + EnvironmentNumber("FORKWICK_SOAK_SEEDS", 4)));

}  // namespace
}  // namespace opalswitch::testing
