// forkwick as a process: how late it may send new work to a server that the discovery service has removed,
// when calls of discovery fail. Each gateway process has a discovery service of its own.
//
// FORKWICK_TEST_SEED: seed of the first gateway.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway_process.hpp"
#include "peers.hpp"
#include "standins/discovery_service.hpp"
#include "standins/faulty_environment.hpp"

namespace opalswitch::testing {
namespace {

using std::chrono::milliseconds;
using Reaction = DiscoveryService::Reaction;

// A change counts as known at the latest this long after discovery has it and can be reached.
constexpr milliseconds kKnownAfterReachable(6000);
// The same after the end of the wait of a watch that has fallen silent.
constexpr milliseconds kKnownAfterSilentWait(2000);
// The same after SIGHUP with a new address.
constexpr milliseconds kKnownAfterAddressChange(4000);
constexpr milliseconds kDrainGrace(550);     // 500, and 50 on sockets
constexpr milliseconds kMeasuringSlack(50);  // the hosts' event loop may be late
constexpr milliseconds kAnswerTime(300);     // of a discovery service with some load
constexpr milliseconds kRequestInterval(25);
constexpr milliseconds kMaxTestTime(28000);

nlohmann::json SettingsFor(int gateways, const std::string& membership_mode = "ask") {
  nlohmann::json settings = TestSettings();
  settings["peersTotal"] = gateways;
  settings["membershipMode"] = membership_mode;
  settings["rules"] = {{"askWithinMs", 10000.0}};
  return settings;
}

// A host that answers after a millisecond and records when the last request of each gateway has arrived.
class RecordingHost {
 public:
  explicit RecordingHost(asio::io_context& io) : peer(io) {
    peer.keeps_requests = false;
    peer.serve = [this, &io](const Peer::ReceivedRequest& request) {
      const std::string id(request.http["Req-Id"]);
      last_request_at[id.substr(0, id.find('-'))] = std::chrono::steady_clock::now();
      const auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(1));
      timer->async_wait([request, timer](error_code) { request.Answer(200, ""); });
    };
  }
  Peer peer;
  std::map<std::string, SteadyTime> last_request_at;  // by the name of the gateway
};

// A gateway with its discovery service and a client that sends a request every kRequestInterval.
class WatchedGateway {
 public:
  WatchedGateway(asio::io_context& io, unsigned seed, const nlohmann::json& settings,
                 const std::vector<std::unique_ptr<RecordingHost>>& hosts)
      : discovery(io), name("g" + std::to_string(seed)), io_(io), timer_(io) {
    GatewayProcess::Options options;
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      options.hosts.push_back(hosts[i]->peer.address());
      members.push_back(Member("h" + std::to_string(i), options.hosts.back()));
    }
    discovery.Publish(members);  // as revision 1, which the gateway's configuration has too
    options.settings = settings;
    options.seed = std::to_string(seed);
    options.discovery = discovery.address();
    process = std::make_unique<GatewayProcess>(io, options);
    SendLater();
  }

  DiscoveryService discovery;
  const std::string name;
  std::unique_ptr<GatewayProcess> process;
  // The last moment for new work to h0; unset as long as nothing has removed it.
  std::optional<SteadyTime> deadline;
  SteadyTime silent_since;  // for scripts

 private:
  void SendLater() {
    timer_.expires_after(kRequestInterval);
    timer_.async_wait([this](error_code ec) {
      if (!ec) Send();
    });
  }
  void Send() {
    if (client_ && client_->ended()) client_.reset();
    if (!client_) {
      try {
        client_ = std::make_unique<Client>(io_, process->address());
      } catch (const std::exception&) {  // it does not listen yet
        return SendLater();
      }
      requests_on_connection_ = 0;
    }
    if (client_->answers().size() == requests_on_connection_) {
      client_->Send(ApiRequest(name + "-" + std::to_string(++requests_)));
      ++requests_on_connection_;
    }
    SendLater();
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  std::unique_ptr<Client> client_;
  std::size_t requests_on_connection_ = 0;
  int requests_ = 0;
};

// Gateways with seeds in a row, and two hosts of which h0 is removed in the course of a test.
class MembershipDeadline : public ::testing::Test {
 protected:
  // `script` sets the discovery service's reactions; it is called before the gateway's process starts to
  // call.
  void Start(int count, const nlohmann::json& settings, const std::function<void(WatchedGateway&)>& script) {
    for (int i = 0; i < 2; ++i) hosts.push_back(std::make_unique<RecordingHost>(io));
    for (int i = 0; i < count; ++i) {
      gateways.push_back(
          std::make_unique<WatchedGateway>(io, TestSeed() + static_cast<unsigned>(i), settings, hosts));
      script(*gateways.back());
    }
  }

  // Discovery removes h0 now, which counts as known after `known_after`.
  void RemoveFirstHost(WatchedGateway& gateway, milliseconds known_after) {
    gateway.discovery.Publish({Member("h0", hosts[0]->peer.address(), "removed")});
    gateway.deadline = std::chrono::steady_clock::now() + known_after + kDrainGrace + kMeasuringSlack;
  }

  // The same for a change that comes while a watch is silent, from its start on: it counts as known 6 s after
  // the watch fell silent, or 2 s after its wait, whichever is later.
  void RemoveFirstHostDuringSilentWatch(WatchedGateway& gateway) {
    RemoveFirstHost(gateway,
                    std::max(kKnownAfterReachable, gateway.discovery.last_wait() + kKnownAfterSilentWait));
  }

  // Discovery resets all calls, up to the `last_failed`-th. That one ends by `reaction`, after `delay`.
  // Discovery is back just as it begins, the worst moment, and h0 is removed.
  void ExpectNoLateRequestsAfterOutage(int gateway_count, int last_failed, Reaction reaction,
                                       milliseconds delay = milliseconds(5)) {
    Start(gateway_count, SettingsFor(181), [=, this](WatchedGateway& gateway) {
      const milliseconds usual_delay = gateway.discovery.delay;
      gateway.discovery.react = [=, this, &gateway](int call) {
        gateway.discovery.delay = call == last_failed ? delay : usual_delay;
        if (call < last_failed) return Reaction::kReset;
        if (call > last_failed) return Reaction::kServe;
        RemoveFirstHost(gateway, kKnownAfterReachable);
        return reaction;
      };
    });
    RunUntilAllKnow();
    ExpectNoLateRequests();
  }

  // Discovery is down for kLongOutage, and back just after a call that it resets; h0 is removed then. The
  // next calls fail by themselves, by `reactions` in turn, while discovery answers all others.
  void ExpectNoLateRequestsAfterOutageAndCalls(int gateway_count, int fleet,
                                               const std::vector<Reaction>& reactions) {
    constexpr milliseconds kLongOutage(6000);
    Start(gateway_count, SettingsFor(fleet), [=, this](WatchedGateway& gateway) {
      gateway.discovery.delay = kAnswerTime;
      gateway.discovery.react = [=, this, &gateway, down_since = std::optional<SteadyTime>(),
                                 failed = std::size_t{0}](int) mutable {
        const SteadyTime now = std::chrono::steady_clock::now();
        if (!down_since) down_since = now;
        if (now < *down_since + kLongOutage) return Reaction::kReset;
        if (gateway.deadline) return failed < reactions.size() ? reactions[failed++] : Reaction::kServe;
        RemoveFirstHost(gateway, kKnownAfterReachable);
        return Reaction::kReset;
      };
    });
    RunUntilAllKnow();
    ExpectNoLateRequests();
  }

  // A watch falls silent as h0 is removed. The next calls fail, by `reactions` in turn. Discovery takes
  // `delay` for each call.
  void ExpectNoLateRequestsAfterSilentWatchAndCalls(const std::vector<Reaction>& reactions,
                                                    milliseconds delay) {
    Start(12, SettingsFor(181), [=, this](WatchedGateway& gateway) {
      gateway.discovery.delay = delay;
      gateway.discovery.react = [=, this, &gateway](int call) {
        const auto failed = static_cast<std::size_t>(call) - 2;
        if (call > 1) return failed < reactions.size() ? reactions[failed] : Reaction::kServe;
        RemoveFirstHostDuringSilentWatch(gateway);
        return Reaction::kStaySilent;
      };
    });
    RunUntilAllKnow();
    ExpectNoLateRequests();
  }

  // Runs until each gateway has had the newest list for longer than the grace.
  void RunUntilAllKnow() {
    const auto end = std::chrono::steady_clock::now() + kMaxTestTime;
    const auto knows = [](const auto& gateway) {
      return gateway->deadline && gateway->discovery.HasWrittenNewestFor(kDrainGrace + kMeasuringSlack);
    };
    while (!std::all_of(gateways.begin(), gateways.end(), knows)) {
      if (std::chrono::steady_clock::now() > end) break;
      io.run_one_for(milliseconds(50));
    }
  }

  // No gateway has sent to h0 after its deadline.
  void ExpectNoRequestsAfterDeadline() {
    for (const auto& gateway : gateways) {
      SCOPED_TRACE(gateway->name + "\n" + gateway->process->process().StandardError());
      EXPECT_TRUE(hosts[1]->last_request_at.contains(gateway->name)) << "no traffic";
      ASSERT_TRUE(gateway->deadline) << "discovery was not called often enough";
      EXPECT_LE(MillisBetween(*gateway->deadline, hosts[0]->last_request_at[gateway->name]), 0)
          << "ms after the deadline";
    }
  }

  // The same, and none later than the grace after it was sent the list.
  void ExpectNoLateRequests() {
    ExpectNoRequestsAfterDeadline();
    for (const auto& gateway : gateways) {
      const auto written_at = gateway->discovery.newest_written_at();
      ASSERT_TRUE(written_at) << gateway->name << ": the list was never asked for";
      EXPECT_LE(MillisBetween(*written_at, hosts[0]->last_request_at[gateway->name]),
                InMillis(kDrainGrace + kMeasuringSlack))
          << gateway->name << ": ms after the list was sent";
    }
  }

  static double InMillis(milliseconds duration) { return static_cast<double>(duration.count()); }
  static double MillisBetween(SteadyTime from, SteadyTime to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
  }

  asio::io_context io;
  std::vector<std::unique_ptr<RecordingHost>> hosts;
  std::vector<std::unique_ptr<WatchedGateway>> gateways;
};

// Guards servers that are removed while discovery is down against new work long after it is back: the delay
// between calls must not exceed the time after which a change counts as known.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterAnOutageOfDiscoveryInALargeFleet) {
  ExpectNoLateRequestsAfterOutage(24, 3, Reaction::kReset);
}

// Guards the same against a call that is never answered: the time until it is given up is a part of the delay
// between calls.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterACallThatIsNeverAnswered) {
  ExpectNoLateRequestsAfterOutage(12, 2, Reaction::kStaySilent);
}

// Guards the same against calls that wait in the queue of a crowded discovery, and fail in it.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterACallThatFailsInTheQueue) {
  ExpectNoLateRequestsAfterOutage(12, 2, Reaction::kErrorStatus, milliseconds(1500));
}

// Guards servers that are removed just after discovery has refused calls from its queue, however many in a
// row.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterSeveralCallsThatWereRefusedInTheQueue) {
  static constexpr milliseconds kRefusedAfter(1000);
  int refusals = 1;
  Start(12, SettingsFor(1), [&, this](WatchedGateway& gateway) {
    gateway.discovery.react = [&gateway, refused = refusals](int call) {
      gateway.discovery.delay = call <= refused ? kRefusedAfter : milliseconds(1);
      return call <= refused ? Reaction::kErrorStatus : Reaction::kServe;
    };
    gateway.discovery.on_refused = [&gateway, this, refused = refusals](int call) {
      if (call == refused) RemoveFirstHost(gateway, kKnownAfterReachable);
    };
    refusals = refusals % 3 + 1;
  });
  RunUntilAllKnow();
  ExpectNoLateRequests();
}

// Guards servers that are removed while a watch is silent: the failed call behind it must not use up the time
// that is left.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterASilentWatchAndFailedCalls) {
  ExpectNoLateRequestsAfterSilentWatchAndCalls({Reaction::kReset, Reaction::kReset}, milliseconds(5));
}

// Guards servers that drain after an outage of discovery against new work when the next calls fail, too: the
// time after which a change counts as known spans all failures, whatever their kind.
TEST_F(MembershipDeadline, NoWorkToARemovedServerWhenCallsFailAfterAnOutageInASmallFleet) {
  ExpectNoLateRequestsAfterOutageAndCalls(6, 6, {Reaction::kReset, Reaction::kErrorStatus});
}
TEST_F(MembershipDeadline, NoWorkToARemovedServerWhenCallsFailAfterAnOutageInALargeFleet) {
  ExpectNoLateRequestsAfterOutageAndCalls(12, 181, {Reaction::kErrorStatus, Reaction::kReset});
}
TEST_F(MembershipDeadline, NoWorkToARemovedServerWhenACallIsNeverAnsweredAfterAnOutageInASmallFleet) {
  ExpectNoLateRequestsAfterOutageAndCalls(6, 6, {Reaction::kStaySilent, Reaction::kReset});
}
TEST_F(MembershipDeadline, NoWorkToARemovedServerWhenACallIsNeverAnsweredAfterAnOutageInALargeFleet) {
  ExpectNoLateRequestsAfterOutageAndCalls(12, 181, {Reaction::kStaySilent});
}

// Guards servers that are removed while a watch is silent against new work when the call behind it is never
// answered either.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterTwoSilentCallsInARow) {
  ExpectNoLateRequestsAfterSilentWatchAndCalls({Reaction::kStaySilent}, kAnswerTime);
}

// Guards servers that are removed before a series of SIGHUPs, each with a new address of discovery: no call
// may have to start anew for as long as signals come faster than answers.
TEST_F(MembershipDeadline, NoWorkToARemovedServerDuringASeriesOfMoves) {
  constexpr milliseconds kMoveInterval(250);
  constexpr int kMoves = 32;
  std::vector<std::unique_ptr<DiscoveryService>> moved;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  int moves_left = 0;
  std::function<void(WatchedGateway&, asio::steady_timer&, int)> move =
      [&](WatchedGateway& gateway, asio::steady_timer& timer, int n) {
        DiscoveryService& next = *moved.emplace_back(std::make_unique<DiscoveryService>(io));
        next.delay = kAnswerTime;
        next.Publish({Member("h1", hosts[1]->peer.address())});
        gateway.process->MoveDiscovery(next.address());
        --moves_left;
        if (n == 1) return;
        timer.expires_after(kMoveInterval);
        timer.async_wait([&, n](error_code ec) {
          if (!ec) move(gateway, timer, n - 1);
        });
      };
  Start(4, SettingsFor(6), [&](WatchedGateway& gateway) {
    asio::steady_timer& timer = *timers.emplace_back(std::make_unique<asio::steady_timer>(io));
    moves_left += kMoves;
    gateway.discovery.react = [&](int call) {
      if (call > 1) return Reaction::kServe;
      RemoveFirstHost(gateway, kKnownAfterReachable);
      move(gateway, timer, kMoves);
      return Reaction::kServe;
    };
  });
  EXPECT_TRUE(RunUntil(io, [&] { return moves_left == 0; }));
  ExpectNoRequestsAfterDeadline();
}

// Guards servers that the list at a new address of discovery does not name: the time for that list is
// shorter. At every other gateway the first call is never answered.
TEST_F(MembershipDeadline, NoWorkToARemovedServerAfterDiscoveryHasMovedAndFailedCalls) {
  constexpr int kFailedCalls = 3;
  std::vector<std::unique_ptr<DiscoveryService>> moved;
  Start(12, SettingsFor(181), [&](WatchedGateway& gateway) {
    DiscoveryService& next = *moved.emplace_back(std::make_unique<DiscoveryService>(io));
    next.Publish({Member("h1", hosts[1]->peer.address())});
    const bool is_silent_first = moved.size() % 2 == 0;
    next.react = [is_silent_first](int call) {
      if (call == 1 && is_silent_first) return Reaction::kStaySilent;
      return call <= kFailedCalls ? Reaction::kReset : Reaction::kServe;
    };
    gateway.discovery.react = [&](int) {
      gateway.process->MoveDiscovery(next.address());
      RemoveFirstHost(gateway, kKnownAfterAddressChange);
      return Reaction::kServe;
    };
  });
  const auto all_know = [&] {
    return std::all_of(moved.begin(), moved.end(), [](const auto& next) {
      return next->HasWrittenNewestFor(kDrainGrace + kMeasuringSlack);
    });
  };
  EXPECT_TRUE(RunUntil(io, all_know));
  ExpectNoRequestsAfterDeadline();
}

// Gateways with pushed lists whose agent is silent for some seconds, because discovery is down. What it gets
// when discovery is back counts as known at once.
class SilentAgent : public MembershipDeadline {
 protected:
  // `serves_open_calls`: whether the agent then answers the call that it has, or has lost it.
  void ExpectNoLateRequestsAfterSilence(bool serves_open_calls) {
    constexpr milliseconds kKnownAtOnce(0);
    constexpr int kFirstSilentCall = 3;
    constexpr milliseconds kSilence(6000);
    Start(6, SettingsFor(181, "push"), [&, serves_open_calls](WatchedGateway& gateway) {
      gateway.discovery.delay = milliseconds(1);
      gateway.discovery.react = [&, serves_open_calls](int call) {
        if (call < kFirstSilentCall || gateway.deadline) return Reaction::kServe;
        const SteadyTime now = std::chrono::steady_clock::now();
        if (call == kFirstSilentCall) gateway.silent_since = now;
        if (now < gateway.silent_since + kSilence) return Reaction::kServeOnReturn;
        // The agent is back just after the gateway has made a call, the worst moment.
        RemoveFirstHost(gateway, kKnownAtOnce);
        if (serves_open_calls) gateway.discovery.AnswerSilentCalls();
        return serves_open_calls ? Reaction::kServe : Reaction::kStaySilent;
      };
    });
    RunUntilAllKnow();
    ExpectNoRequestsAfterDeadline();
  }
};

// Guards servers that are removed while the agent is silent against new work after it is back.
TEST_F(SilentAgent, NoWorkToARemovedServerWhenTheAgentAnswersOpenCalls) {
  ExpectNoLateRequestsAfterSilence(true);
}
TEST_F(SilentAgent, NoWorkToARemovedServerWhenTheAgentHasLostOpenCalls) {
  ExpectNoLateRequestsAfterSilence(false);
}

}  // namespace
}  // namespace opalswitch::testing
