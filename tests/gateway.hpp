// A gateway for tests: hands events to a Policy, keeps the clock and sorts what comes back.
#ifndef OPALSWITCH_TESTS_GATEWAY_HPP_
#define OPALSWITCH_TESTS_GATEWAY_HPP_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::testing {

inline ClassSettings MakeClass(std::string name, Effect effect = Effect::kSafe, double worth = 1) {
  ClassSettings class_settings;
  class_settings.name = std::move(name);
  class_settings.aim = 1000;
  class_settings.deadline = 2000;
  class_settings.worth = worth;
  class_settings.effect = effect;
  class_settings.group = DeduplicationScope::kCell;
  class_settings.repeat_window = 5000;
  return class_settings;
}

inline Settings MakeSettings() {
  Settings settings;
  settings.classes = {MakeClass("view"), MakeClass("key", Effect::kKeyed), MakeClass("pay", Effect::kUnsafe)};
  settings.max_attempts = 3;
  settings.can_cancel = true;
  settings.cold_capacity_fraction = 0.2;
  settings.warm_up_time = 10000;
  return settings;
}

inline Server MakeServer(std::string id, std::string cell = "0", Millis started_at = 0) {
  Server server;
  server.id = std::move(id);
  server.zone = "z" + cell;
  server.kind = "k";
  server.cell = std::move(cell);
  server.started_at = started_at;
  return server;
}

struct FakeGateway {
  explicit FakeGateway(Settings settings = MakeSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  std::vector<Action> HandleEvent(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) sent.push_back(*send);
    }
    return actions;
  }

  void SetServers(std::vector<Server> servers) {
    HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kFull, std::move(servers)});
  }

  // Brings `n` servers named s0, s1 ... that have been up for long.
  void SetServerCount(int n) {
    std::vector<Server> servers;
    for (int i = 0; i < n; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
    SetServers(servers);
  }

  std::vector<Action> SendRequest(std::string id, std::string cls = "view", Millis left = 2000,
                                  std::string tenant = "") {
    Request r;
    r.id = std::move(id);
    r.class_name = std::move(cls);
    r.tenant = std::move(tenant);
    r.time_left = left;
    return HandleEvent(r);
  }

  std::vector<Action> FinishAttempt(const std::string& id, const std::string& server, Result result,
                                    Millis latency, int attempt = 0) {
    return HandleEvent(Outcome{id, attempt, server, result, result == Result::kServed, latency, {}});
  }

  std::vector<Action> AdvanceTime(Millis ms) {  // lets time go by, sweeping as the timer would
    std::vector<Action> all;
    for (const Millis until = now + ms; now < until;) {
      now = std::min(until, now + 10);
      for (auto& a : HandleEvent(TimerDue{"sweep"})) all.push_back(a);
    }
    return all;
  }

  // Serves `n` requests one after the other, each in `latency` ms, so that estimates settle. Returns
  // how many each server got; those that were not sent at once count under "".
  std::map<std::string, int> ServeRequests(int n, Millis latency = 50, const std::string& cls = "view") {
    std::map<std::string, int> taken;
    for (int i = 0; i < n; ++i) {
      const std::string id = "warm" + std::to_string(requests_served++);
      const std::string server = ServerSentTo(SendRequest(id, cls));
      ++taken[server];
      now += latency;
      HandleEvent(TimerDue{"sweep"});
      if (!server.empty()) FinishAttempt(id, server, Result::kServed, latency);
    }
    return taken;
  }

  static std::string ServerSentTo(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) return send->server;
    }
    return "";
  }

  static bool ContainsLog(const std::vector<Action>& actions, const std::string& words) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& a) {
      const auto* log = std::get_if<Log>(&a);
      return log != nullptr && log->text.find(words) != std::string::npos;
    });
  }

  template <typename T>
  static int CountActions(const std::vector<Action>& actions) {
    return static_cast<int>(std::count_if(actions.begin(), actions.end(),
                                          [](const Action& a) { return std::holds_alternative<T>(a); }));
  }

  Policy policy;
  Millis now = 1000;
  int requests_served = 0;
  std::vector<Send> sent;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_GATEWAY_HPP_
