// The platform gateway as a process of its own, with its configuration file and address.
#ifndef OPALSWITCH_TESTS_GATEWAY_PROCESS_HPP_
#define OPALSWITCH_TESTS_GATEWAY_PROCESS_HPP_

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers.hpp"
#include "process.hpp"

namespace opalswitch::testing {

// A file that is removed at the end.
class TempFile {
 public:
  explicit TempFile(const std::string& text)
      : path(::testing::TempDir() + "forkwick-process-" + std::to_string(getpid()) + "-" +
             std::to_string(++count_) + ".json") {
    Write(text);
  }
  ~TempFile() { std::remove(path.c_str()); }
  void Write(const std::string& text) const { std::ofstream(path) << text; }

  const std::string path;

 private:
  static inline int count_ = 0;
};

// Returns an address on loopback for a program to listen at. No other test process uses its IP address, and
// this one is given each port once, so that nobody takes it before the program has started.
inline tcp::endpoint FreeAddress(asio::io_context& io) {
  static std::set<unsigned short> used_ports;
  const auto pid = static_cast<unsigned>(getpid());
  constexpr unsigned kFirstAddress = 127U << 24 | 64U << 16;
  const asio::ip::address_v4 address(kFirstAddress + pid % (64U << 16));
  while (true) {
    const tcp::endpoint endpoint = tcp::acceptor(io, {address, 0}).local_endpoint();
    if (used_ports.insert(endpoint.port()).second) return endpoint;
  }
}

// A running gateway that knows these hosts: h0, h1, ...
class GatewayProcess {
 public:
  struct Options {
    std::vector<tcp::endpoint> hosts;
    nlohmann::json settings;
    std::string seed = "1f";  // of the decision module, in hex
    tcp::endpoint discovery;
    Process::Variables variables;  // added to its environment
    nlohmann::json limits;         // of the configuration; null: none are given
  };

  // With a discovery service that never answers. Returns once the gateway listens.
  GatewayProcess(asio::io_context& io, const std::vector<tcp::endpoint>& hosts, nlohmann::json settings,
                 Process::Variables variables = {})
      : GatewayProcess(io, std::make_unique<Peer>(io), hosts, std::move(settings), std::move(variables)) {}

  // With a discovery service of the test's. Returns at once.
  GatewayProcess(asio::io_context& io, Options options)
      : options_(std::move(options)),
        address_(FreeAddress(io)),
        file_(ConfigText(options_.discovery)),
        process_(Variables()) {}

  const tcp::endpoint& address() const { return address_; }
  Process& process() { return process_; }

  // Gives the running gateway another discovery service, by a changed configuration file and SIGHUP.
  void MoveDiscovery(const tcp::endpoint& discovery) {
    file_.Write(ConfigText(discovery));
    process_.Hangup();
  }

 private:
  GatewayProcess(asio::io_context& io, std::unique_ptr<Peer> discovery,
                 const std::vector<tcp::endpoint>& hosts, nlohmann::json settings,
                 Process::Variables variables)
      : GatewayProcess(
            io, Options{hosts, std::move(settings), "1f", discovery->address(), std::move(variables), {}}) {
    discovery_ = std::move(discovery);
    // It listens before it calls discovery.
    EXPECT_TRUE(RunUntil(io, [&] { return discovery_->requests.size() == 1 || process_.HasExited(); }));
    EXPECT_FALSE(process_.HasExited()) << process_.StandardError();
  }

  std::string ConfigText(const tcp::endpoint& discovery) const {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < options_.hosts.size(); ++i)
      members.push_back(Member("h" + std::to_string(i), options_.hosts[i]));
    return nlohmann::json{{"seed", options_.seed},
                          {"discovery", ToText(discovery)},
                          {"known", List(1, true, members)},
                          {"limits", options_.limits.is_null() ? nlohmann::json::object() : options_.limits},
                          {"settings", options_.settings}}
        .dump();
  }
  Process::Variables Variables() const {
    Process::Variables variables = options_.variables;
    variables.emplace_back("NODE_CONFIG", file_.path);
    variables.emplace_back("NODE_LISTEN", ToText(address_));
    variables.emplace_back("NODE_DISCOVERY", ToText(options_.discovery));
    return variables;
  }

  std::unique_ptr<Peer> discovery_;
  const Options options_;
  const tcp::endpoint address_;
  const TempFile file_;
  Process process_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_GATEWAY_PROCESS_HPP_
