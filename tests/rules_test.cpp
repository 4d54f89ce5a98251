// Checks the module's guarantees under random events, with a checker that shares no code with the module:
//   - each request gets exactly one final answer, at most 20 ms after its client's deadline;
//   - attempts of a request do not overlap, do not exceed max_attempts, and go only to servers that are up;
//   - after an attempt that may have run, an unsafe request is not sent again, and neither an unsafe nor a
//     keyed request is refused (the checker's keyed class has the scope of a cell);
//   - retries of keyed requests stay within the deduplication scope and the repeat window.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

struct TrackedAttempt {
  std::string server;
  Millis sent_at = 0;
  Millis times_out_at = 0;
  bool in_flight = true;
  bool never_ran = false;  // known not to have run
};

struct TrackedRequest {
  const ClassSettings* class_settings = nullptr;
  Millis client_deadline = 0;
  std::vector<TrackedAttempt> attempts;
  bool is_answered = false;
};

struct Checker {
  const Settings& settings;
  std::map<std::string, TrackedRequest> requests;
  std::map<std::string, Server> servers;  // as last reported
  std::map<std::string, bool> up;

  void Apply(Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Send>(&action)) OnSend(now, *a);
      if (const auto* a = std::get_if<Refuse>(&action)) OnFinal(now, a->request, true);
      if (const auto* a = std::get_if<Fail>(&action)) OnFinal(now, a->request, false);
    }
  }

  void OnSend(Millis now, const Send& send) {
    TrackedRequest& request = requests.at(send.request);
    ASSERT_FALSE(request.is_answered) << "sent after its final answer: " << send.request;
    ASSERT_TRUE(up[send.server]) << "sent to a server that is draining or removed";
    ASSERT_LT(static_cast<int>(request.attempts.size()), settings.max_attempts);
    for (const TrackedAttempt& attempt : request.attempts) {
      ASSERT_TRUE(!attempt.in_flight) << "two attempts at once";
      if (request.class_settings->effect == Effect::kUnsafe) {
        ASSERT_TRUE(!attempt.in_flight && attempt.never_ran) << "unsafe request sent twice";
      }
    }
    if (request.class_settings->effect == Effect::kKeyed) {
      for (const TrackedAttempt& attempt : request.attempts) {
        if (attempt.never_ran) continue;
        ASSERT_EQ(servers.at(attempt.server).cell, servers.at(send.server).cell)
            << "sent outside of its deduplication scope";
        ASSERT_LT(now - attempt.sent_at, request.class_settings->repeat_window)
            << "sent after the repeat window";
      }
    }
    request.attempts.push_back(
        {send.server, now, std::min(now + send.timeout, request.client_deadline), true, false});
  }

  void OnFinal(Millis now, const std::string& id, bool refusal) {
    TrackedRequest& request = requests.at(id);
    ASSERT_FALSE(request.is_answered) << "answered twice: " << id;
    ASSERT_LE(now, request.client_deadline + 20) << "answered too late: " << id;
    if (refusal && request.class_settings->effect != Effect::kSafe) {
      for (const TrackedAttempt& attempt : request.attempts)
        ASSERT_TRUE(!attempt.in_flight && attempt.never_ran) << "refused although it may have run";
    }
    request.is_answered = true;
  }
};

void CheckRandomEvents(std::uint64_t seed, bool requires_watch) {
  std::mt19937_64 random(seed);
  const auto chance = [&](double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; };
  Settings settings = MakeSettings();
  settings.requires_watch = requires_watch;
  settings.gateways = 1 + static_cast<int>(random() % 4);
  FakeGateway gateway(settings, seed);
  Checker checker{settings, {}, {}, {}};

  std::map<std::string, Server> servers;
  for (int i = 0; i < 6; ++i) {
    Server s = MakeServer("s" + std::to_string(i), std::to_string(i % 2));
    servers[s.id] = s;
  }
  const auto handle = [&](const Event& e) { checker.Apply(gateway.now, gateway.HandleEvent(e)); };
  const auto update_server = [&](const Server& s) {
    servers[s.id] = checker.servers[s.id] = s;
    checker.up[s.id] = s.state == ServerState::kUp;
    handle(MembershipUpdate{MembershipUpdate::Kind::kDelta, {s}});
  };
  for (const auto& [id, s] : std::map(servers)) update_server(s);

  int next_id = 0;
  double failure_probability = 0.1;
  for (int step = 0; step < 6000 && !::testing::Test::HasFatalFailure(); ++step) {
    gateway.now += 5;
    if (step % 500 == 0) failure_probability = chance(0.5) ? 0.5 : 0.05;
    if (step % 2 == 0) handle(TimerDue{"sweep"});
    while (step < 5500 && chance(0.4)) {
      Request r;
      r.id = "q" + std::to_string(next_id++);
      const auto& class_settings = settings.classes[random() % 3];
      r.class_name = class_settings.name;
      r.time_left = 50 + static_cast<double>(random() % 1950);
      checker.requests[r.id] = {&class_settings, gateway.now + r.time_left, {}, false};
      handle(r);
    }
    if (chance(0.01)) {  // a server drains, is removed, or comes back as a new process
      Server s = std::next(servers.begin(), static_cast<long>(random() % servers.size()))->second;
      const auto pick = random() % 4;
      s.state = pick == 0 ? ServerState::kDraining : pick == 1 ? ServerState::kGone : ServerState::kUp;
      if (pick == 2) s.started_at = gateway.now;
      update_server(s);
    }
    if (chance(0.002)) handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
    std::vector<Event> events;
    for (auto& [id, request] : checker.requests) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        TrackedAttempt& attempt = request.attempts[i];
        if (!attempt.in_flight) continue;
        Outcome o{id,
                  static_cast<int>(i),
                  attempt.server,
                  Result::kServed,
                  request.is_answered,
                  gateway.now - attempt.sent_at,
                  {}};
        if (gateway.now >= attempt.times_out_at) {
          o.result = Result::kTimedOut;
        } else if (!chance(0.08)) {
          continue;
        } else if (chance(failure_probability)) {
          constexpr Result kFailures[] = {Result::kError, Result::kRejected, Result::kConnectFailed,
                                          Result::kReset, Result::kNotSent,  Result::kCancelled};
          o.result = kFailures[random() % 6];
        }
        attempt.in_flight = false;
        attempt.never_ran = o.result == Result::kRejected || o.result == Result::kConnectFailed ||
                            o.result == Result::kNotSent;
        if (o.result == Result::kServed) request.is_answered = o.finished = true;
        events.push_back(o);
        if (request.is_answered) break;
      }
      if (!request.is_answered && chance(0.0005)) events.push_back(ClientGone{id});
    }
    for (const Event& e : events) {
      if (const auto* gone = std::get_if<ClientGone>(&e))
        checker.requests.at(gone->request).is_answered = true;
      handle(e);
    }
    std::erase_if(checker.requests, [&](const auto& entry) {
      const TrackedRequest& request = entry.second;
      return request.is_answered &&
             std::none_of(request.attempts.begin(), request.attempts.end(),
                          [](const TrackedAttempt& attempt) { return attempt.in_flight; });
    });
    for (const auto& [id, request] : checker.requests) {
      ASSERT_TRUE(request.is_answered || gateway.now <= request.client_deadline + 20)
          << "never answered: " << id;
    }
  }
  EXPECT_GT(next_id, 1000);
  EXPECT_TRUE(checker.requests.empty()) << checker.requests.size() << " requests left over";
}

TEST(Guarantees, HoldUnderRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    CheckRandomEvents(seed, seed % 2 == 0);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace opalswitch::testing
