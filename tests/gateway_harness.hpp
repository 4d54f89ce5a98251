// The platform gateway with a scripted discovery service and scripted hosts, on one event loop.
#ifndef OPALSWITCH_TESTS_GATEWAY_HARNESS_HPP_
#define OPALSWITCH_TESTS_GATEWAY_HARNESS_HPP_

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/platform_config.hpp"
#include "gateway/gateway.hpp"
#include "peers.hpp"

namespace opalswitch::testing {

// A gateway with a scripted discovery service and scripted hosts.
struct GatewayHarness {
  // Starts the gateway with hosts h0, h1, ... in its configuration.
  explicit GatewayHarness(std::size_t host_count = 1, nlohmann::json settings = TestSettings(),
                          std::size_t sockets = 300) {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      members.push_back(Member("h" + std::to_string(i), hosts.back()->address()));
    }
    const nlohmann::json file = {{"seed", "5"},
                                 {"limits", {{"sockets", sockets}}},
                                 {"known", List(41, true, members)},
                                 {"settings", std::move(settings)}};
    const std::string path = ::testing::TempDir() + "forkwick-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << file;
    const std::map<std::string, std::string> variables = {{"NODE_CONFIG", path},
                                                          {"NODE_LISTEN", "127.0.0.1:0"},
                                                          {"NODE_DISCOVERY", ToText(discovery.address())}};
    const auto config = gateway::LoadConfig([&](const char* name) {
      const auto found = variables.find(name);
      return found == variables.end() ? nullptr : found->second.c_str();
    });
    std::remove(path.c_str());
    gateway.emplace(io, config);
  }

  template <typename Done>
  ::testing::AssertionResult Until(Done done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "condition not met within 30 s";
  }

  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address()); }
  Peer& host(std::size_t i = 0) { return *hosts[i]; }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  std::optional<gateway::Gateway> gateway;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_GATEWAY_HARNESS_HPP_
