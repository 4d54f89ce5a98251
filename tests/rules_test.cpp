// The four rules under random events, watched by a checker that shares no code with the module.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

struct Try {
  std::string server;
  Millis sent = 0;
  Millis ends = 0;
  bool out = true;
  bool unrun = false;  // proven not to have run
};

struct Ask {
  const ClassSettings* cls = nullptr;
  Millis until = 0;
  std::vector<Try> tries;
  bool answered = false;
};

struct Checker {
  const Settings& settings;
  std::map<std::string, Ask> asks;
  std::map<std::string, Server> servers;  // as last told
  std::map<std::string, bool> up;

  void Apply(Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Send>(&action)) OnSend(now, *a);
      if (const auto* a = std::get_if<Refuse>(&action)) OnFinal(now, a->request, true);
      if (const auto* a = std::get_if<Fail>(&action)) OnFinal(now, a->request, false);
    }
  }

  void OnSend(Millis now, const Send& send) {
    Ask& ask = asks.at(send.request);
    ASSERT_FALSE(ask.answered) << "sent after its end: " << send.request;
    ASSERT_TRUE(up[send.server]) << "sent to a server told to be leaving";
    ASSERT_LT(static_cast<int>(ask.tries.size()), settings.max_attempts);
    for (const Try& t : ask.tries) {
      ASSERT_TRUE(!t.out) << "two attempts at once";
      if (ask.cls->effect == Effect::kUnsafe) {
        ASSERT_TRUE(!t.out && t.unrun) << "unsafe request sent twice";
      }
    }
    if (ask.cls->effect == Effect::kKeyed) {
      for (const Try& t : ask.tries) {
        if (t.unrun) continue;
        ASSERT_EQ(servers.at(t.server).cell, servers.at(send.server).cell) << "left its group";
        ASSERT_LT(now - t.sent, ask.cls->repeat_window) << "repeat after the window";
      }
    }
    ask.tries.push_back({send.server, now, std::min(now + send.timeout, ask.until), true, false});
  }

  void OnFinal(Millis now, const std::string& id, bool refusal) {
    Ask& ask = asks.at(id);
    ASSERT_FALSE(ask.answered) << "answered twice: " << id;
    ASSERT_LE(now, ask.until + 20) << "answered too late: " << id;
    if (refusal && ask.cls->effect != Effect::kSafe) {
      for (const Try& t : ask.tries) ASSERT_TRUE(!t.out && t.unrun) << "refused though it may have run";
    }
    ask.answered = true;
  }
};

void RandomDay(std::uint64_t seed, bool ask_mode) {
  std::mt19937_64 random(seed);
  const auto chance = [&](double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; };
  Settings settings = MakeSettings();
  settings.requires_watch = ask_mode;
  settings.gateways = 1 + static_cast<int>(random() % 4);
  FakeGateway gateway(settings, seed);
  Checker check{settings, {}, {}, {}};

  std::map<std::string, Server> fleet;
  for (int i = 0; i < 6; ++i) {
    Server s = MakeServer("s" + std::to_string(i), std::to_string(i % 2));
    fleet[s.id] = s;
  }
  const auto feed = [&](const Event& e) { check.Apply(gateway.now, gateway.HandleEvent(e)); };
  const auto tell = [&](const Server& s) {
    fleet[s.id] = check.servers[s.id] = s;
    check.up[s.id] = s.state == ServerState::kUp;
    feed(MembershipUpdate{MembershipUpdate::Kind::kDelta, {s}});
  };
  for (const auto& [id, s] : std::map(fleet)) tell(s);

  int next = 0;
  double trouble = 0.1;
  for (int step = 0; step < 6000 && !::testing::Test::HasFatalFailure(); ++step) {
    gateway.now += 5;
    if (step % 500 == 0) trouble = chance(0.5) ? 0.5 : 0.05;
    if (step % 2 == 0) feed(TimerDue{"sweep"});
    while (step < 5500 && chance(0.4)) {
      Request r;
      r.id = "q" + std::to_string(next++);
      const auto& cls = settings.classes[random() % 3];
      r.class_name = cls.name;
      r.time_left = 50 + static_cast<double>(random() % 1950);
      check.asks[r.id] = {&cls, gateway.now + r.time_left, {}, false};
      feed(r);
    }
    if (chance(0.01)) {  // a server drains, leaves, or comes back as a new process
      Server s = std::next(fleet.begin(), static_cast<long>(random() % fleet.size()))->second;
      const auto pick = random() % 4;
      s.state = pick == 0 ? ServerState::kDraining : pick == 1 ? ServerState::kGone : ServerState::kUp;
      if (pick == 2) s.started_at = gateway.now;
      tell(s);
    }
    if (chance(0.002)) feed(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
    std::vector<Event> events;
    for (auto& [id, ask] : check.asks) {
      for (std::size_t i = 0; i < ask.tries.size(); ++i) {
        Try& t = ask.tries[i];
        if (!t.out) continue;
        Outcome o{id, static_cast<int>(i), t.server, Result::kServed, ask.answered, gateway.now - t.sent, {}};
        if (gateway.now >= t.ends) {
          o.result = Result::kTimedOut;
        } else if (!chance(0.08)) {
          continue;
        } else if (chance(trouble)) {
          constexpr Result kBad[] = {Result::kError, Result::kRejected, Result::kConnectFailed,
                                     Result::kReset, Result::kNotSent,  Result::kCancelled};
          o.result = kBad[random() % 6];
        }
        t.out = false;
        t.unrun = o.result == Result::kRejected || o.result == Result::kConnectFailed ||
                  o.result == Result::kNotSent;
        if (o.result == Result::kServed) ask.answered = o.finished = true;
        events.push_back(o);
        if (ask.answered) break;
      }
      if (!ask.answered && chance(0.0005)) events.push_back(ClientGone{id});
    }
    for (const Event& e : events) {
      if (const auto* gone = std::get_if<ClientGone>(&e)) check.asks.at(gone->request).answered = true;
      feed(e);
    }
    std::erase_if(check.asks, [&](const auto& entry) {
      const Ask& ask = entry.second;
      return ask.answered &&
             std::none_of(ask.tries.begin(), ask.tries.end(), [](const Try& t) { return t.out; });
    });
    for (const auto& [id, ask] : check.asks) {
      ASSERT_TRUE(ask.answered || gateway.now <= ask.until + 20) << "never answered: " << id;
    }
  }
  EXPECT_GT(next, 1000);
  EXPECT_TRUE(check.asks.empty()) << check.asks.size() << " requests left over";
}

TEST(Rules, HoldUnderRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    RandomDay(seed, seed % 2 == 0);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace opalswitch::testing
