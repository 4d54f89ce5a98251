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
  ClassSettings c;
  c.name = std::move(name);
  c.aim = 1000;
  c.deadline = 2000;
  c.worth = worth;
  c.effect = effect;
  c.group = DeduplicationScope::kCell;
  c.repeat_window = 5000;
  return c;
}

inline Settings MakeSettings() {
  Settings s;
  s.classes = {MakeClass("view"), MakeClass("key", Effect::kKeyed), MakeClass("pay", Effect::kUnsafe)};
  s.max_attempts = 3;
  s.can_cancel = true;
  s.cold_capacity_fraction = 0.2;
  s.warm_up_time = 10000;
  return s;
}

inline Server MakeServer(std::string id, std::string cell = "0", Millis started_at = 0) {
  Server s;
  s.id = std::move(id);
  s.zone = "z" + cell;
  s.kind = "k";
  s.cell = std::move(cell);
  s.started_at = started_at;
  return s;
}

struct Gateway {
  explicit Gateway(Settings settings = MakeSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  std::vector<Action> Do(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) sent.push_back(*send);
    }
    return actions;
  }

  void List(std::vector<Server> servers) {
    Do(MembershipUpdate{MembershipUpdate::Kind::kFull, std::move(servers)});
  }

  // Brings `n` servers named s0, s1 ... that have been up for long.
  void Servers(int n) {
    std::vector<Server> servers;
    for (int i = 0; i < n; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
    List(servers);
  }

  std::vector<Action> Ask(std::string id, std::string cls = "view", Millis left = 2000,
                          std::string tenant = "") {
    Request r;
    r.id = std::move(id);
    r.class_name = std::move(cls);
    r.tenant = std::move(tenant);
    r.time_left = left;
    return Do(r);
  }

  std::vector<Action> End(const std::string& id, const std::string& server, Result result, Millis latency,
                          int attempt = 0) {
    return Do(Outcome{id, attempt, server, result, result == Result::kServed, latency, {}});
  }

  std::vector<Action> Pass(Millis ms) {  // lets time go by, sweeping as the timer would
    std::vector<Action> all;
    for (const Millis until = now + ms; now < until;) {
      now = std::min(until, now + 10);
      for (auto& a : Do(TimerDue{"sweep"})) all.push_back(a);
    }
    return all;
  }

  // Serves `n` requests one after the other, each in `latency` ms, so that estimates settle. Returns
  // how many each server got; those that were not sent at once count under "".
  std::map<std::string, int> Serve(int n, Millis latency = 50, const std::string& cls = "view") {
    std::map<std::string, int> taken;
    for (int i = 0; i < n; ++i) {
      const std::string id = "warm" + std::to_string(warmed++);
      const std::string server = SentTo(Ask(id, cls));
      ++taken[server];
      now += latency;
      Do(TimerDue{"sweep"});
      if (!server.empty()) End(id, server, Result::kServed, latency);
    }
    return taken;
  }

  static std::string SentTo(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) return send->server;
    }
    return "";
  }

  static bool Logged(const std::vector<Action>& actions, const std::string& words) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& a) {
      const auto* log = std::get_if<Log>(&a);
      return log != nullptr && log->text.find(words) != std::string::npos;
    });
  }

  template <typename T>
  static int Count(const std::vector<Action>& actions) {
    return static_cast<int>(std::count_if(actions.begin(), actions.end(),
                                          [](const Action& a) { return std::holds_alternative<T>(a); }));
  }

  Policy policy;
  Millis now = 1000;
  int warmed = 0;
  std::vector<Send> sent;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_GATEWAY_HPP_
