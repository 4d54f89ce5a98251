// Takes one request from its arrival to its answer, using only the public header of opalswitch.
#include <iostream>
#include <opalswitch/policy.hpp>

int main() {
  using namespace opalswitch;
  Settings settings;
  ClassSettings page;
  page.name = "page";
  page.aim = 500;        // ms
  page.deadline = 2000;  // ms
  page.effect = Effect::kSafe;
  settings.classes.push_back(page);

  Policy policy(settings, /*seed=*/42);
  std::vector<Action> actions;

  Server server;
  server.id = "10.0.0.7:8080";
  policy.Handle(0, MembershipUpdate{MembershipUpdate::Kind::kFull, {server}}, actions);

  Request request;
  request.id = "r1";
  request.class_name = "page";
  request.time_left = 1000;
  actions.clear();
  policy.Handle(5, request, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::cout << "send " << send->request << " to " << send->server << "\n";
      Outcome outcome;  // reported by the gateway once the server has answered
      outcome.request = send->request;
      outcome.server = send->server;
      outcome.result = Result::kServed;
      outcome.finished = true;
      outcome.latency = 31;
      std::vector<Action> more;
      policy.Handle(36, outcome, more);
      std::cout << "served\n";
      return 0;
    }
  }
  return 1;
}
