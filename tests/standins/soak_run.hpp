// Runs of a gateway process with faulty hosts and clients, ended by SIGTERM and by SIGKILL at the earliest
// moment that the platform allows, and the checks of what became of the requests.
#ifndef OPALSWITCH_TESTS_STANDINS_SOAK_RUN_HPP_
#define OPALSWITCH_TESTS_STANDINS_SOAK_RUN_HPP_

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "gateway_process.hpp"
#include "peers.hpp"
#include "standins/faulty_traffic.hpp"

namespace opalswitch::testing {

// Test settings with the clients' deadline for each class.
inline nlohmann::json SoakSettings() {
  nlohmann::json settings = TestSettings();
  for (auto& category : settings["categories"]) {
    category["sloMs"] = category["deadlineMs"] = static_cast<double>(FaultyClient::kDeadlineMs);
  }
  settings["limits"]["dialTimeoutMs"] = 200.0;
  return settings;
}

// One run: traffic, SIGTERM, traffic on open connections, SIGKILL.
struct SoakRun {
  static constexpr std::chrono::milliseconds kConnectTimeAfterTerm{300};
  static constexpr std::chrono::milliseconds kKillAfterTerm{FaultyClient::kDeadlineMs + 700};

  SoakRun(unsigned seed, unsigned host_count) {
    for (unsigned i = 0; i < host_count; ++i)
      hosts.push_back(std::make_unique<FaultyHost>(io, seed * 100 + i, log));
  }

  std::vector<tcp::endpoint> HostAddresses() const {
    std::vector<tcp::endpoint> addresses;
    for (const auto& host : hosts) addresses.push_back(host->peer.address());
    return addresses;
  }

  // `on_terminate` is called right after SIGTERM.
  void Play(GatewayProcess& gateway, unsigned seed, std::chrono::milliseconds traffic_time,
            const std::function<void()>& on_terminate = nullptr) {
    constexpr unsigned kClients = 12;
    for (unsigned i = 0; i < kClients; ++i) {
      clients.push_back(std::make_shared<FaultyClient>(io, gateway.address(), "c" + std::to_string(i),
                                                       seed * 1000 + i, log));
      clients.back()->Start();
    }
    RunFor(traffic_time);
    EXPECT_FALSE(gateway.process().HasExited()) << "crashed";
    terminated_at = std::chrono::steady_clock::now();
    gateway.process().Terminate();
    if (on_terminate) on_terminate();
    RunFor(kConnectTimeAfterTerm);
    for (const auto& client : clients) client->StopConnecting();
    while (!gateway.process().HasExited() &&
           std::chrono::steady_clock::now() < terminated_at + kKillAfterTerm) {
      RunFor(std::chrono::milliseconds(1));
    }
    ended_at = std::chrono::steady_clock::now();
    if (!gateway.process().HasExited()) gateway.process().Kill();
    gateway.process().Wait();
    RunFor(std::chrono::milliseconds(200));  // until the ends of the connections have arrived
    gateway_log = gateway.process().StandardError();
  }

  void RunFor(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) io.run_one_until(end);
  }

  asio::io_context io;
  RequestLog log;
  std::vector<std::unique_ptr<FaultyHost>> hosts;
  std::vector<std::shared_ptr<FaultyClient>> clients;
  SteadyTime terminated_at, ended_at;
  std::string gateway_log;
};

// Whether the gateway had taken the request and its client got no whole response. An idle connection may be
// closed while the request is on its way; then no host has seen it. A request that is written kTransitTime
// before the process ends can have been read by it.
inline bool IsLost(const SoakRun& run, const RequestRecord& record) {
  constexpr std::chrono::milliseconds kTransitTime(20);
  if (!record.is_written || record.is_answered || record.left_at) return false;
  if (!record.is_ended) return record.written_at + kTransitTime < run.ended_at;
  if (record.attempts > 0) return true;
  const bool may_be_closed_unread = record.written_at + kTransitTime > run.terminated_at;
  return !may_be_closed_unread;
}

inline std::string LogLinesAbout(const std::string& id, const std::string& log) {
  std::istringstream lines(log);
  std::string found;
  for (std::string line; std::getline(lines, line);) {
    if (line.find(id + " ") != std::string::npos) found += "\n  " + line;
  }
  return found;
}

// Each request has one final answer in time, nothing unsafe runs twice, and no attempt begins for a client
// that has left.
inline void ExpectRulesKeptForRequests(const SoakRun& run, unsigned seed) {
  constexpr std::chrono::milliseconds kMaxAttemptDelayAfterLeave(100);
  constexpr std::chrono::milliseconds kMeasuringSlack(50);  // the hosts' event loop may be late
  constexpr std::chrono::milliseconds kAnswerSlack(500);    // of a final answer after the deadline
  std::size_t answered = 0;
  for (const auto& [id, record] : run.log) {
    SCOPED_TRACE(id + ", " + std::to_string(record.attempts) + " attempts" +
                 LogLinesAbout(id, run.gateway_log));
    answered += record.is_answered ? 1 : 0;
    EXPECT_FALSE(IsLost(run, record))
        << "lost; ms after SIGTERM: "
        << std::chrono::duration_cast<std::chrono::milliseconds>(record.ended_at - run.terminated_at).count();
    if (record.is_unsafe) {
      EXPECT_LE(record.executions, 1) << "ran twice";
    }
    if (record.left_at && record.attempts > 0) {
      EXPECT_LE(record.last_attempt_at, *record.left_at + kMaxAttemptDelayAfterLeave + kMeasuringSlack)
          << "attempt for a client that has left";
    }
    if (record.is_answered && record.is_written) {
      EXPECT_LE(record.ended_at,
                record.written_at + std::chrono::milliseconds(FaultyClient::kDeadlineMs) + kAnswerSlack);
    }
  }
  EXPECT_GT(answered, 1000u) << "too little traffic to show anything";
  ::testing::Test::RecordProperty("requests", static_cast<int>(run.log.size()));
  std::printf("seed %u: %zu requests, %zu answered\n", seed, run.log.size(), answered);
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_SOAK_RUN_HPP_
