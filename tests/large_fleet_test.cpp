// A hundred gateways that can't talk to one another, and sixty hosts, on one clock: what is fine at one
// gateway must not add up to harm. Each case also says that no request is lost and that none that may not run
// twice does.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "gateway.hpp"

namespace opalswitch::testing {
namespace {

constexpr int kGateways = 100, kHosts = 60;
constexpr Millis kWork = 100, kTick = 10;

// Hosts answer after a while, or never if they are bad; gateways are told of a host's change 0 to 0.4 s late.
class LargeFleet {
 public:
  explicit LargeFleet(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i)
      hosts_.push_back(MakeServer("h" + std::to_string(i), std::to_string(i % 3)));
    for (int i = 0; i < kGateways; ++i) gates_.push_back(nullptr);
    for (int i = 0; i < kGateways; ++i) Restart(i);
  }

  std::vector<Server>& hosts() { return hosts_; }
  std::set<std::string> bad;  // say nothing to half of the requests and break the others off
  std::map<std::string, std::map<int, int>> sends;  // by host and 100 ms, from all gateways
  bool reports = false;  // hosts tell their utilisation; for gateways that start from then on
  int places = 1000;  // requests, or the connections for them, that a host holds; beyond that it turns away
  int served = 0, twice = 0, resent = 0, full = 0, asked = 0;
  Millis now = 100000;

  // A new process with the list of now and no memory; what the old one had is gone with it.
  void Restart(int i) {
    Settings s = MakeSettings();
    s.gateways = kGateways;
    s.index = i;
    s.tenants = {{"shop", 1500}};
    if (reports) s.load_report_fields = {"util"};
    gates_[i] = std::make_unique<Gate>(Gate{std::make_unique<Policy>(s, ++seeds_), {}, ++lives_});
    Tell(i, MembershipUpdate{MembershipUpdate::Kind::kFull, hosts_});
  }
  // Another process takes over the place of the host; the old one is gone.
  void Replace(int i) {
    Server old = hosts_[i];
    old.state = ServerState::kGone;
    hosts_[i] = MakeServer("h" + std::to_string(kHosts + replaced_++), old.cell, now);
    for (int g = 0; g < kGateways; ++g) {
      Later(Uniform() * 400, g, [this, g, old, fresh = hosts_[i]] {
        Tell(g, MembershipUpdate{MembershipUpdate::Kind::kDelta, {old, fresh}});
      });
    }
  }
  // `per_s` requests a second over all gateways.
  void Run(Millis time, double per_s) {
    for (const Millis until = now + time; now < until; now += kTick) {
      while (!due_.empty() && due_.begin()->first <= now) {
        const auto what = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        what();
      }
      for (due_requests_ += per_s * kTick / 1000; due_requests_ >= 1; --due_requests_) Ask();
      for (int g = 0; g < kGateways; ++g) Do(g, TimerDue{"sweep"});
    }
  }
  // Lets all that is out end; nobody may be left.
  std::size_t Left() {
    Run(4000, 0);
    std::size_t left = 0;
    for (const auto& gate : gates_) left += gate->open.size();
    return left;
  }
  int Sent(const std::string& host, Millis from, Millis to) {
    int sum = 0;
    for (const auto& [slot, n] : sends[host]) sum += slot * 100 >= from && slot * 100 < to ? n : 0;
    return sum;
  }

 private:
  struct Flow {
    bool is_unsafe = false;
    std::vector<bool> may_have_run;
  };
  struct Gate {
    std::unique_ptr<Policy> policy;
    std::map<std::string, Flow> open;
    int life = 0;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
  void Later(Millis after, int g, std::function<void()> what) {
    due_.emplace(now + after, [this, g, life = gates_[g]->life, what = std::move(what)] {
      if (gates_[g]->life == life) what();
    });
  }
  void Tell(int g, const MembershipUpdate& news) { Do(g, news); }
  void Ask() {
    const int g = static_cast<int>(random_() % kGateways);
    Request r;
    r.id = "r" + std::to_string(++asked);
    r.class_name = asked % 3 == 0 ? "pay" : "view";
    r.tenant = "shop";
    r.time_left = 2000;
    gates_[g]->open[r.id].is_unsafe = asked % 3 == 0;
    Do(g, r);
  }
  void Do(int g, const Event& event) {
    std::vector<Action> actions;
    gates_[g]->policy->Handle(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) Sent(g, *send);
      if (const auto* refuse = std::get_if<Refuse>(&a)) Answer(g, refuse->request);
      if (const auto* fail = std::get_if<Fail>(&a)) Answer(g, fail->request);
    }
  }
  void Answer(int g, const std::string& id) { twice += gates_[g]->open.erase(id) == 0; }
  void Sent(int g, const Send& send) {
    ++sends[send.server][static_cast<int>(now / 100)];
    Flow& flow = gates_[g]->open.at(send.request);
    const bool ran =
        std::find(flow.may_have_run.begin(), flow.may_have_run.end(), true) != flow.may_have_run.end();
    resent += flow.is_unsafe && ran;
    const int attempt = static_cast<int>(flow.may_have_run.size());
    const bool gone =
        std::none_of(hosts_.begin(), hosts_.end(), [&](const Server& s) { return s.id == send.server; });
    const bool breaks = bad.contains(send.server) && random_() % 2 == 0;
    if (!gone && held_[send.server] >= places) {
      ++full;
      flow.may_have_run.push_back(false);
      return Later(1, g, [this, g, send, attempt] {
        if (!gates_[g]->open.contains(send.request)) return;
        Do(g, Outcome{send.request, attempt, send.server, Result::kRejected, false, 1, {}});
      });
    }
    const Result result = gone                        ? Result::kConnectFailed
                          : breaks                    ? Result::kReset
                          : bad.contains(send.server) ? Result::kTimedOut
                                                      : Result::kServed;
    flow.may_have_run.push_back(!gone);
    const Millis took = gone                        ? 1
                        : breaks                    ? 20
                        : bad.contains(send.server) ? send.timeout
                                                    : kWork * (0.5 + Uniform());
    ++held_[send.server];
    due_.emplace(now + took, [this, host = send.server] { --held_[host]; });
    Later(took, g, [this, g, send, attempt, result, took] {
      if (!gates_[g]->open.contains(send.request)) return;
      if (result == Result::kServed) ++served, Answer(g, send.request);
      std::vector<double> load;
      if (reports && result == Result::kServed) load = {std::min(1.0, 1.0 * held_[send.server] / places)};
      Do(g, Outcome{send.request, attempt, send.server, result, result == Result::kServed, took, load});
    });
  }

  std::mt19937_64 random_;
  std::vector<Server> hosts_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::multimap<Millis, std::function<void()>> due_;
  double due_requests_ = 0;
  std::map<std::string, int> held_;  // by host
  int replaced_ = 0, lives_ = 0;
  std::uint64_t seeds_ = 0;
};

void ExpectRules(LargeFleet& fleet) {
  EXPECT_EQ(fleet.Left(), 0u) << "requests without an answer";
  EXPECT_EQ(fleet.twice, 0) << "answered twice";
  EXPECT_EQ(fleet.resent, 0) << "requests that may not run twice were sent again";
}

TEST(LargeFleet, AHundredGatewaysThatStartTogetherSendNoHostMoreThanItsPart) {
  LargeFleet fleet(1);
  const Millis start = fleet.now;
  fleet.Run(1000, 1200);
  int most = 0;
  for (const auto& host : fleet.hosts()) most = std::max(most, fleet.Sent(host.id, start, start + 1000));
  EXPECT_GT(fleet.served, 500);
  EXPECT_LE(most, 45);  // of 20 in the mean; 29 seen
  ExpectRules(fleet);
}

// `kill`: most gateways are killed in the middle, and begin anew with the list of that moment.
void SixInTenReplaced(bool kill) {
  LargeFleet fleet(2);
  fleet.Run(6000, 900);
  for (int i = 0; i < kHosts; i += 5) fleet.bad.insert(fleet.hosts()[i].id);
  std::vector<std::pair<std::string, Millis>> fresh;
  for (int n = 0; n < kHosts * 6 / 10; ++n) {
    fleet.Replace((n * 7) % kHosts);
    fresh.push_back({fleet.hosts()[(n * 7) % kHosts].id, fleet.now});
    if (kill && n == 18) {
      for (int g = 0; g < kGateways * 7 / 10; ++g) fleet.Restart(g);
    }
    fleet.Run(200, 900);
  }
  const Millis end = fleet.now;
  int cold = 0;
  for (const auto& [id, since] : fresh) cold += fleet.Sent(id, since, since + 1000);
  const int before = fleet.served;
  fleet.Run(3000, 900);
  const double usual = 900.0 / kHosts;  // a second
  // 0.2 of its capacity is what a new host can surely do, and 0.4 of what fells it what it may be sent. To
  // leave it idle crushes the others: a gateway sends to a few hosts only, and those few have the part of all
  // to send.
  EXPECT_LE(cold / 36.0, 0.3 * usual) << "to the mean new host in its first second";
  EXPECT_GE(cold / 36.0, 0.05 * usual) << "to the mean new host in its first second";
  EXPECT_GT(fleet.served - before, 0.7 * 2700) << "of what came in the 3 s after " << end;
  ExpectRules(fleet);
}

TEST(LargeFleet, SixInTenHostsReplacedWhileOneInFiveIsBad) { SixInTenReplaced(false); }
TEST(LargeFleet, SixInTenHostsReplacedWhileMostGatewaysAreKilled) { SixInTenReplaced(true); }

// A hundred gateways and hosts that hold three connections each: who finds one full goes elsewhere, and does
// not take it for dead.
TEST(LargeFleet, HostsThatHoldFewerConnectionsThanThereAreGatewaysAreNeitherStormedNorShunned) {
  LargeFleet fleet(4);
  fleet.places = 3;
  fleet.reports = true;
  for (int g = 0; g < kGateways; ++g) fleet.Restart(g);
  fleet.Run(4000, 900);
  fleet.full = fleet.served = fleet.asked = 0;
  const Millis from = fleet.now;
  fleet.Run(6000, 900);
  EXPECT_GT(fleet.served, 0.9 * fleet.asked);
  EXPECT_GT(fleet.full, 0);  // else nothing is shown
  EXPECT_LT(fleet.full, 0.3 * fleet.asked);
  const double mean = fleet.asked / static_cast<double>(kHosts);
  for (const auto& host : fleet.hosts()) {
    EXPECT_GT(fleet.Sent(host.id, from, fleet.now), 0.3 * mean) << host.id;
    EXPECT_LT(fleet.Sent(host.id, from, fleet.now), 3 * mean) << host.id;
  }
  ExpectRules(fleet);
}

// A third of the hosts falls silent and comes back as new processes.
void ZoneLost(bool kill) {
  LargeFleet fleet(3);
  fleet.Run(6000, 700);
  for (int i = 0; i < kHosts; i += 3) fleet.bad.insert(fleet.hosts()[i].id);
  fleet.Run(2000, 700);
  if (kill) {
    for (int g = 0; g < kGateways * 7 / 10; ++g) fleet.Restart(g);
  }
  fleet.Run(2000, 700);
  int before = fleet.served;
  fleet.Run(2000, 700);
  EXPECT_GT(fleet.served - before, 0.6 * 1400) << "while the zone is away";
  const Millis back = fleet.now;
  int cold = 0;
  for (int i = 0; i < kHosts; i += 3) fleet.Replace(i);
  fleet.Run(1000, 700);
  for (int i = 0; i < kHosts; i += 3) cold += fleet.Sent(fleet.hosts()[i].id, back, back + 1000);
  EXPECT_LE(cold / 20.0, 0.3 * 700 / kHosts) << "to the mean host that is back, in its first second";
  fleet.Run(2000, 700);
  before = fleet.served;
  fleet.Run(3000, 700);
  EXPECT_GT(fleet.served - before, 0.8 * 2100) << "after it is back";
  ExpectRules(fleet);
}

TEST(LargeFleet, AZoneLostAndBackCold) { ZoneLost(false); }
TEST(LargeFleet, AZoneLostAndBackColdWhileMostGatewaysAreKilled) { ZoneLost(true); }

// A hundred gateways that know the hosts and must ask for the list: when they ask, in ms since the start,
// over 30 s. `answers`: whether the list service does; else each call fails after 2 s.
std::vector<std::vector<Millis>> AsksOfAHundred(bool answers) {
  std::vector<std::vector<Millis>> asks(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    Settings settings = MakeSettings();
    settings.gateways = kGateways;
    settings.index = i;
    settings.requires_watch = true;
    FakeGateway gateway(settings, static_cast<std::uint64_t>(i) + 1);
    const Millis start = gateway.now;
    gateway.SetServerCount(kHosts);
    Millis fails_at = 1e300;
    while (gateway.now < start + 30000) {
      for (const Action& a : gateway.AdvanceTime(10)) {
        if (!std::holds_alternative<Watch>(a)) continue;
        asks[i].push_back(gateway.now - start);
        if (!answers) fails_at = gateway.now + 2000;
      }
      if (gateway.now < fails_at) continue;
      fails_at = 1e300;
      gateway.HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
    }
  }
  return asks;
}

// Most calls that come within any `window` ms.
int MostWithin(const std::vector<std::vector<Millis>>& asks, Millis window) {
  std::vector<Millis> all;
  for (const auto& one : asks) all.insert(all.end(), one.begin(), one.end());
  std::sort(all.begin(), all.end());
  int most = 0;
  for (std::size_t from = 0, to = 0; to < all.size(); ++to) {
    while (all[to] - all[from] > window) ++from;
    most = std::max(most, static_cast<int>(to - from) + 1);
  }
  return most;
}

// Guards the service of the list against a line so full that whoever stands in it is answered too late: seen
// were 39 answers to 877 calls.
TEST(LargeFleet, AHundredGatewaysThatStartTogetherAskForTheListInTurns) {
  const auto asks = AsksOfAHundred(true);
  for (const auto& one : asks) {
    ASSERT_EQ(one.size(), 1u);
    EXPECT_LE(one[0], 5000);
  }
  EXPECT_LE(MostWithin(asks, 1000), 35);  // 20 in the mean
}

TEST(LargeFleet, CallsForTheListThatFailAreMadeAgainInTurnsAndWithinTheTimeAllowed) {
  const auto asks = AsksOfAHundred(false);
  for (const auto& one : asks) {
    ASSERT_GE(one.size(), 3u);
    for (std::size_t n = 1; n < one.size(); ++n) EXPECT_LE(one[n] - one[n - 1], 10000) << n;
  }
  EXPECT_LE(MostWithin(asks, 1000), 35);
}

// How many requests each host got in the last 5 s of 15 from one gateway of a hundred that is asked for more
// than it may send: hosts answer after 100 ms and report `busy`, or never answer where that is above 1.
std::map<std::string, int> SentByReport(const std::function<double(const std::string&)>& busy) {
  Settings settings = MakeSettings();
  settings.gateways = kGateways;
  settings.index = 0;
  settings.tenants = {{"shop", 4000}};
  settings.load_report_fields = {"util"};
  FakeGateway gateway(settings);
  gateway.SetServerCount(kHosts);
  struct Out {
    Send send;
    Millis at;
  };
  std::deque<Out> out;
  std::map<std::string, int> sends;
  const Millis start = gateway.now;
  for (int n = 0; gateway.now < start + 15000; ++n) {
    if (n % 3 == 0) gateway.SendRequest("r" + std::to_string(n), "view", 400, "shop");
    gateway.AdvanceTime(10);
    for (const Send& send : gateway.sent) {
      out.push_back({send, gateway.now});
      if (gateway.now >= start + 10000) ++sends[send.server];
    }
    gateway.sent.clear();
    std::deque<Out> left;
    for (const Out& o : std::exchange(out, {})) {
      const double load = busy(o.send.server);
      const Millis took = load > 1 ? o.send.timeout : 100;
      if (gateway.now - o.at < took) {
        left.push_back(o);
        continue;
      }
      const Result result = load > 1 ? Result::kTimedOut : Result::kServed;
      const std::vector<double> report = load > 1 ? std::vector<double>{} : std::vector<double>{load};
      gateway.HandleEvent(Outcome{o.send.request, 0, o.send.server, result, load <= 1, took, report});
    }
    out.insert(out.begin(), left.begin(), left.end());
  }
  return sends;
}

// Guards hosts that each gateway sends little: where a hundred do, only their reports tell what it adds up
// to.
TEST(LargeFleet, HostsThatReportThemselvesBusyAreSentLessByEachGateway) {
  const auto idle = SentByReport([](const std::string&) { return 0.3; });
  const auto crowded = SentByReport([](const std::string&) { return 0.95; });
  int all_idle = 0, all_crowded = 0;
  for (const auto& [id, n] : idle) all_idle += n;
  for (const auto& [id, n] : crowded) all_crowded += n;
  EXPECT_GE(all_idle, 100);               // of 166 asked for
  EXPECT_LE(all_crowded, all_idle / 10);  // however high its rate, and though all is answered in time
  EXPECT_GE(all_crowded, 1);              // never nothing: without an answer there is no report
}

TEST(LargeFleet, WhatOneHostCanNotTakeGoesToThoseThatReportRoom) {
  const auto half = [](const std::string& id) { return (id.back() - '0') % 2 == 0 ? 0.95 : 0.3; };
  int busy = 0, idle = 0;
  for (const auto& [id, n] : SentByReport(half)) (half(id) > 0.5 ? busy : idle) += n;
  EXPECT_GE(idle, 80);
  EXPECT_LE(busy, idle / 5);
}

TEST(LargeFleet, HostsThatSayNothingInTimeAreSentLessThoughNobodyReports) {
  const auto silent = [](const std::string& id) { return (id.back() - '0') % 2 == 0 ? 2.0 : 0.3; };
  int lost = 0, served = 0;
  for (const auto& [id, n] : SentByReport(silent)) (silent(id) > 1 ? lost : served) += n;
  EXPECT_LE(lost, served / 3);  // trials of suspects among them
}

// What is kept of hosts, requests and tenants that are long gone would show as memory that grows.
TEST(LargeFleet, TwoHostsReplacedASecondForAnHourLeaveNothingBehind) {
  Settings settings = MakeSettings();
  settings.gateways = kGateways;
  FakeGateway gateway(settings, 7);
  std::vector<Server> hosts;
  for (int i = 0; i < kHosts; ++i) hosts.push_back(MakeServer("h" + std::to_string(i)));
  gateway.SetServers(hosts);
  std::size_t at_start = 0;
  for (int n = 0; n < 7200; ++n) {
    Server old = hosts[n % kHosts];
    old.state = ServerState::kGone;
    hosts[n % kHosts] = MakeServer("h" + std::to_string(kHosts + n), "0", gateway.now);
    gateway.HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kDelta, {old, hosts[n % kHosts]}});
    const std::string id = "r" + std::to_string(n), to = FakeGateway::ServerSentTo(gateway.SendRequest(id));
    gateway.now += 500;
    gateway.HandleEvent(TimerDue{"sweep"});
    if (!to.empty()) gateway.FinishAttempt(id, to, n % 5 == 0 ? Result::kError : Result::kServed, 100);
    gateway.sent.clear();
    if (n == 600) at_start = mallinfo2().uordblks;
  }
  EXPECT_EQ(gateway.policy.ServerStatuses().size(), static_cast<std::size_t>(kHosts));
  EXPECT_LE(mallinfo2().uordblks, at_start + 64 * 1024);  // both 0 under a sanitizer's allocator
}

}  // namespace
}  // namespace opalswitch::testing
