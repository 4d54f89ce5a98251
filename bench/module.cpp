// Cost of the decision module's events by number of servers: a request that is sent and answered, a
// membership update of one server, and a sweep. No I/O. To compare builds, run them alternately on the same
// machine.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch {
namespace {

Settings MakeSettings() {
  Settings settings;
  ClassSettings view;
  view.name = "view";
  view.aim = 1000;
  view.deadline = 2000;
  view.effect = Effect::kSafe;
  settings.classes = {view};
  settings.cold_capacity_fraction = 0.2;
  settings.warm_up_time = 10000;
  return settings;
}

struct PolicyFixture {
  explicit PolicyFixture(int servers) : policy(MakeSettings(), 1) {
    MembershipUpdate update;
    for (int i = 0; i < servers; ++i) {
      Server server;
      server.id = "server-" + std::to_string(i);
      server.kind = i % 2 == 0 ? "old" : "new";
      update.servers.push_back(server);
    }
    first_server = update.servers[0];
    policy.Handle(now, update, actions);
    for (int i = 0; i < 2 * servers + 1000; ++i) ServeRequest();  // most servers have latency samples
  }
  void ServeRequest() {
    now += 0.5;  // 2,000 requests/s, below the initial rate for any number of servers
    actions.clear();
    const std::string id = std::to_string(++requests_sent);
    policy.Handle(now, Request{id, "view", "", "", 2000, false}, actions);
    for (const Action& action : std::vector<Action>(actions)) {
      if (const auto* const send = std::get_if<Send>(&action))
        policy.Handle(now, Outcome{id, 0, send->server, Result::kServed, true, 5, {}}, actions);
    }
  }

  Policy policy;
  std::vector<Action> actions;
  Server first_server;
  Millis now = 1000;
  std::uint64_t requests_sent = 0;
};

void ServeRequest(benchmark::State& state) {
  PolicyFixture fixture(static_cast<int>(state.range(0)));
  for (auto _ : state) fixture.ServeRequest();
}
void MembershipDelta(benchmark::State& state) {
  PolicyFixture fixture(static_cast<int>(state.range(0)));
  bool up = false;
  for (auto _ : state) {
    fixture.first_server.state = std::exchange(up, !up) ? ServerState::kUp : ServerState::kDraining;
    fixture.actions.clear();
    fixture.policy.Handle(fixture.now += 1,
                          MembershipUpdate{MembershipUpdate::Kind::kDelta, {fixture.first_server}},
                          fixture.actions);
  }
}
void Sweep(benchmark::State& state) {
  PolicyFixture fixture(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    fixture.actions.clear();
    fixture.policy.Handle(fixture.now += 10, TimerDue{"sweep"}, fixture.actions);
  }
}

BENCHMARK(ServeRequest)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);
BENCHMARK(MembershipDelta)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);
BENCHMARK(Sweep)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace opalswitch
