// A gateway stand-in for unit tests of Policy: keeps a simulated clock, reports events and records the
// requests sent.
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

  // Reports an event at the current time. Returns the actions and appends sent requests to `sent`.
  std::vector<Action> HandleEvent(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sent.push_back(*send);
    }
    return actions;
  }

  // Reports a full server list.
  void SetServers(std::vector<Server> servers) {
    HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kFull, std::move(servers)});
  }

  // Reports a list of `n` warm servers: s0, s1 ...
  void SetServerCount(int n) {
    std::vector<Server> servers;
    for (int i = 0; i < n; ++i) servers.push_back(MakeServer("s" + std::to_string(i)));
    SetServers(servers);
  }

  std::vector<Action> SendRequest(std::string id, std::string class_name = "view", Millis time_left = 2000,
                                  std::string tenant = "") {
    Request request;
    request.id = std::move(id);
    request.class_name = std::move(class_name);
    request.tenant = std::move(tenant);
    request.time_left = time_left;
    return HandleEvent(request);
  }

  std::vector<Action> FinishAttempt(const std::string& id, const std::string& server, Result result,
                                    Millis latency, int attempt = 0) {
    return HandleEvent(Outcome{id, attempt, server, result, result == Result::kServed, latency, {}});
  }

  // Advances the clock by `ms`, with a sweep every 10 ms as the timer would. Returns the actions of the
  // sweeps.
  std::vector<Action> AdvanceTime(Millis ms) {
    std::vector<Action> all;
    for (const Millis until = now + ms; now < until;) {
      now = std::min(until, now + 10);
      for (auto& action : HandleEvent(TimerDue{"sweep"})) all.push_back(action);
    }
    return all;
  }

  // Serves `n` requests one after the other, each in `latency` ms, so that the estimates converge. Returns
  // the number of requests by server; those that were not sent at once count under "".
  std::map<std::string, int> ServeRequests(int n, Millis latency = 50,
                                           const std::string& class_name = "view") {
    std::map<std::string, int> requests_by_server;
    for (int i = 0; i < n; ++i) {
      const std::string id = "warm" + std::to_string(requests_served++);
      const std::string server = ServerSentTo(SendRequest(id, class_name));
      ++requests_by_server[server];
      now += latency;
      HandleEvent(TimerDue{"sweep"});
      if (!server.empty()) FinishAttempt(id, server, Result::kServed, latency);
    }
    return requests_by_server;
  }

  // The server of the first Send among the actions; empty without one.
  static std::string ServerSentTo(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) return send->server;
    }
    return "";
  }

  // Whether one of the actions is a log line that contains `text`.
  static bool ContainsLog(const std::vector<Action>& actions, const std::string& text) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& a) {
      const auto* log = std::get_if<Log>(&a);
      return log != nullptr && log->text.find(text) != std::string::npos;
    });
  }

  // The number of actions of type T.
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
