// Runs of the gateway process with a discovery service under faults and series of SIGHUP, with faulty hosts
// and clients; some beside a crowd of idle clients. SIGTERM and further signals, then SIGKILL at the
// earliest moment that the platform allows.
//
// FORKWICK_DISCOVERY_SOAK_SEEDS, FORKWICK_CROWD_SOAK_SEEDS: number of runs; FORKWICK_TEST_SEED: seed of the
// first one. A long soak is started by hand:
//   FORKWICK_DISCOVERY_SOAK_SEEDS=50 build-tests/tests/process_fault_tests --gtest_filter='*DiscoverySoak*'
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <ostream>
#include <vector>

#include "gateway_process.hpp"
#include "standins/faulty_discovery.hpp"
#include "standins/faulty_environment.hpp"
#include "standins/soak_run.hpp"

namespace opalswitch::testing {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kHosts = 9;
constexpr milliseconds kTrafficTime(22000);
constexpr milliseconds kDrainGrace(550);     // 500, and 50 on sockets
constexpr milliseconds kMeasuringSlack(50);  // the hosts' event loop may be late
constexpr int kCrowdDescriptors = 120;       // the limit of a gateway with a crowd
constexpr int kCrowdClients = 100;
constexpr milliseconds kCrowdInterval(50);  // between two looks at the crowd's connections

// Clients that connect, send nothing, and connect again when the gateway closes.
class IdleCrowd {
 public:
  IdleCrowd(asio::io_context& io, const tcp::endpoint& address) : io_(io), address_(address), timer_(io) {
    clients_.resize(kCrowdClients);
    Refill();
  }

 private:
  void Refill() {
    for (auto& client : clients_) {
      if (client && !client->ended()) continue;
      try {
        client = std::make_unique<Client>(io_, address_);
      } catch (const std::exception&) {  // it does not listen, before the start or after SIGTERM
        break;
      }
    }
    timer_.expires_after(kCrowdInterval);
    timer_.async_wait([this](error_code ec) {
      if (!ec) Refill();
    });
  }

  asio::io_context& io_;
  const tcp::endpoint address_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<Client>> clients_;
};

struct SoakCase {
  unsigned seed;
  bool has_crowd;
};

// For the names of the tests.
void PrintTo(const SoakCase& soak_case, std::ostream* out) { *out << soak_case.seed; }

// One run of a seed.
class DiscoverySoak : public ::testing::TestWithParam<SoakCase> {
 protected:
  DiscoverySoak()
      : run_(GetParam().seed, kHosts), discovery_(run_.io, GetParam().seed, run_.HostAddresses()) {}

  void Play() {
    const auto [seed, has_crowd] = GetParam();
    constexpr int kFleets[] = {1, 6, 60, 181};
    GatewayProcess::Options options;
    options.hosts = run_.HostAddresses();
    options.settings = SoakSettings();
    options.settings["peersTotal"] = kFleets[seed % 4];
    options.settings["rules"] = {{"askWithinMs", 10000.0}};
    options.seed = std::to_string(seed);
    options.discovery = discovery_.address();
    options.variables = FaultyCallsVariables(seed, "interrupted=10 short=100 wakeup=20 clock=1");
    if (has_crowd) options.limits = {{"sockets", kCrowdDescriptors}};
    GatewayProcess gateway(run_.io, options);
    discovery_.Start(gateway);
    std::unique_ptr<IdleCrowd> crowd;
    if (has_crowd) crowd = std::make_unique<IdleCrowd>(run_.io, gateway.address());

    run_.Play(gateway, seed, kTrafficTime, [&] {
      discovery_.Move(4, milliseconds(100));
      gateway.process().Terminate();
    });
    discovery_.Stop();
  }

  void ExpectNoLateRequests(bool is_cut_by_outage) const {
    for (const FaultyDiscovery::Drain& drain : discovery_.drains()) {
      const auto last_attempt_at = run_.hosts[drain.host]->last_attempt_at;
      if (!last_attempt_at || drain.known_at == SteadyTime::max()) continue;
      if (drain.is_cut_by_outage != is_cut_by_outage) continue;
      const auto late = *last_attempt_at - (drain.known_at + kDrainGrace + kMeasuringSlack);
      EXPECT_LE(std::chrono::duration_cast<milliseconds>(late).count(), 0)
          << "ms of work to h" << drain.host << " after the last moment\n"
          << run_.gateway_log;
    }
  }

  SoakRun run_;
  FaultyDiscovery discovery_;
};

// Guards the rule of drains against series of failures of discovery and of signals, and the other rules
// beside them.
TEST_P(DiscoverySoak, NoWorkToDrainingServersAndEveryRequestAnsweredOnce) {
  Play();
  ExpectRulesKeptForRequests(run_, GetParam().seed);
  EXPECT_GE(discovery_.drains().size(), 3u) << "too few drains to show anything";
  ExpectNoLateRequests(/*is_cut_by_outage=*/false);
}

// Guards the rule of drains where discovery goes down before a drain counts as known, and stays down until
// then: calls that fail, or have not been made yet, may be all that it was reachable for.
TEST_P(DiscoverySoak, NoWorkToServersThatDrainBeforeALongOutage) {
  Play();
  ExpectNoLateRequests(/*is_cut_by_outage=*/true);
}

// `count` seeds from that of the environment on.
std::vector<SoakCase> Cases(unsigned count, bool has_crowd) {
  std::vector<SoakCase> cases;
  for (unsigned i = 0; i < count; ++i) cases.push_back({TestSeed() + i, has_crowd});
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Seeds, DiscoverySoak,
                         ::testing::ValuesIn(Cases(EnvironmentNumber("FORKWICK_DISCOVERY_SOAK_SEEDS", 4),
                                                   false)),
                         ::testing::PrintToStringParamName());
INSTANTIATE_TEST_SUITE_P(Crowd, DiscoverySoak,
                         ::testing::ValuesIn(Cases(EnvironmentNumber("FORKWICK_CROWD_SOAK_SEEDS", 2), true)),
                         ::testing::PrintToStringParamName());

}  // namespace
}  // namespace opalswitch::testing
