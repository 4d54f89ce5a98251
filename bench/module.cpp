// What the decision module's events cost, by the number of servers: a request that is sent and answered, the
// news of one server, a sweep. No sockets. Compare builds in turns, in one sitting.
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

struct Fleet {
  explicit Fleet(int servers) : policy(MakeSettings(), 1) {
    MembershipUpdate news;
    for (int i = 0; i < servers; ++i) {
      Server server;
      server.id = "server-" + std::to_string(i);
      server.kind = i % 2 == 0 ? "old" : "new";
      news.servers.push_back(server);
    }
    first = news.servers[0];
    policy.Handle(now, news, actions);
    for (int i = 0; i < 2 * servers + 1000; ++i) Ask();  // most have been measured
  }
  void Ask() {
    now += 0.5;  // 2,000 a second: below the start's rate at any size
    actions.clear();
    const std::string id = std::to_string(++asked);
    policy.Handle(now, Request{id, "view", "", "", 2000, false}, actions);
    for (const Action& action : std::vector<Action>(actions)) {
      if (const auto* const send = std::get_if<Send>(&action))
        policy.Handle(now, Outcome{id, 0, send->server, Result::kServed, true, 5, {}}, actions);
    }
  }

  Policy policy;
  std::vector<Action> actions;
  Server first;
  Millis now = 1000;
  std::uint64_t asked = 0;
};

void Request(benchmark::State& state) {
  Fleet fleet(static_cast<int>(state.range(0)));
  for (auto _ : state) fleet.Ask();
}
void NewsOfOne(benchmark::State& state) {
  Fleet fleet(static_cast<int>(state.range(0)));
  bool up = false;
  for (auto _ : state) {
    fleet.first.state = std::exchange(up, !up) ? ServerState::kUp : ServerState::kDraining;
    fleet.actions.clear();
    fleet.policy.Handle(fleet.now += 1, MembershipUpdate{MembershipUpdate::Kind::kDelta, {fleet.first}},
                        fleet.actions);
  }
}
void Sweep(benchmark::State& state) {
  Fleet fleet(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    fleet.actions.clear();
    fleet.policy.Handle(fleet.now += 10, TimerDue{"sweep"}, fleet.actions);
  }
}

BENCHMARK(Request)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);
BENCHMARK(NewsOfOne)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);
BENCHMARK(Sweep)->Arg(4)->Arg(64)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace opalswitch
