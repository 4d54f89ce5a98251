// Drains of nodes that belong to several pools, and host lists read from files.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "membership/host_source.hpp"
#include "membership/node_registry.hpp"
#include "peers.hpp"

namespace opalswitch::testing {
namespace {

using gateway::Host;
using gateway::HostList;
using gateway::NodeRegistry;

Host MakeHost(const std::string& id, ServerState state = ServerState::kUp, Millis started_at = 0) {
  Host host;
  host.server.id = id;
  host.server.state = state;
  host.server.started_at = started_at;
  return host;
}

HostList CompleteList(std::vector<Host> hosts) { return {0, true, std::move(hosts)}; }
HostList DeltaList(std::vector<Host> hosts) { return {0, false, std::move(hosts)}; }

// The state that `updates` give for a node in a pool; nothing if they don't list it.
std::optional<ServerState> UpdatedState(const std::vector<NodeRegistry::PoolUpdate>& updates,
                                        std::uint64_t pool, const std::string& id) {
  for (const auto& update : updates) {
    if (update.pool != pool) continue;
    for (const Host& host : update.list.hosts) {
      if (host.server.id == id) return host.server.state;
    }
  }
  return std::nullopt;
}

TEST(NodeRegistry, DrainAppliesToAllPoolsThatListTheNode) {
  NodeRegistry registry;
  registry.ApplyUpdate(1, CompleteList({MakeHost("n"), MakeHost("a")}), 0);
  registry.ApplyUpdate(2, CompleteList({MakeHost("n"), MakeHost("b")}), 0);
  registry.ApplyUpdate(3, CompleteList({MakeHost("c")}), 0);
  const auto updates = registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kDraining)}), 100);
  EXPECT_EQ(UpdatedState(updates, 1, "n"), ServerState::kDraining);
  EXPECT_EQ(UpdatedState(updates, 2, "n"), ServerState::kDraining);
  EXPECT_EQ(updates.size(), 2u);  // pool 3 does not list it
  EXPECT_EQ(registry.drains().at("n").since, 100);
  EXPECT_EQ(registry.drains().at("n").first_reported_by, 1u);
}

// Guards against new requests to a drained node through a pool whose source lags behind.
TEST(NodeRegistry, StaleListOfAnotherPoolDoesNotEndDrain) {
  NodeRegistry registry;
  registry.ApplyUpdate(1, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kDraining)}), 100);
  EXPECT_EQ(UpdatedState(registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 2000), 2, "n"),
            ServerState::kDraining);
  registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kGone)}), 3000);
  EXPECT_EQ(UpdatedState(registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 4000), 2, "n"),
            ServerState::kDraining);
  EXPECT_EQ(registry.drains().at("n").since, 100);  // the time of the first report
  registry.ApplyUpdate(2, CompleteList({}), 5100);
  EXPECT_TRUE(registry.drains().empty());  // no pool lists it any more
}

TEST(NodeRegistry, DrainEndsByItsReporterOrANewProcess) {
  NodeRegistry registry;
  registry.ApplyUpdate(1, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kDraining)}), 100);
  auto updates = registry.ApplyUpdate(1, DeltaList({MakeHost("n")}), 200);
  EXPECT_EQ(UpdatedState(updates, 2, "n"), ServerState::kUp);
  registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kDraining, 50)}), 300);
  updates = registry.ApplyUpdate(2, DeltaList({MakeHost("n", ServerState::kUp, 400)}), 500);
  EXPECT_EQ(UpdatedState(updates, 1, "n"), ServerState::kDraining);  // its own source still reports the drain
  EXPECT_EQ(UpdatedState(updates, 2, "n"), ServerState::kUp);
  EXPECT_TRUE(registry.drains().empty());
}

// Guards against a drain that no source can end any more.
TEST(NodeRegistry, RemovedPoolDoesNotLeaveDrainsForever) {
  NodeRegistry registry;
  registry.ApplyUpdate(1, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 0);
  registry.ApplyUpdate(1, DeltaList({MakeHost("n", ServerState::kDraining)}), 100);
  registry.RemovePool(1);
  EXPECT_EQ(registry.drains().count("n"), 1u);
  EXPECT_EQ(UpdatedState(registry.ApplyUpdate(2, CompleteList({MakeHost("n")}), 200), 2, "n"),
            ServerState::kUp);
}

TEST(HostFile, ErrorNamesTheFault) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "is empty"},
      {" \n", "is empty"},
      {"{\"members\":[{\"id\":", "is not a complete JSON object"},
      {"[]", "is not a complete JSON object"},
      {"{}", "members: missing"},
      {"{\"members\":[]}", "members: none listed"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"x\"}]}", "members[0].host_port"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"asleep\",\"host_port\":\"127.0.0.1:1\"}]}",
       "members[0].phase"},
      {"{\"members\":[{\"phase\":\"up\"}]}", "id"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"127.0.0.1:1\"},"
       "{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"127.0.0.1:2\"}]}",
       "listed twice"},
  };
  for (const auto& [text, expected_text] : cases) {
    std::string error;
    EXPECT_FALSE(gateway::ReadHostFile(text, error)) << text;
    EXPECT_NE(error.find(expected_text), std::string::npos) << error;
  }
  std::string error;
  EXPECT_TRUE(gateway::ReadHostFile("{\"members\":[],\"empty\":true}", error)) << error;
}

// Guards against applying a list that is read while it is being written: the last good one stays, and each
// failure is logged and reported.
TEST(HostFile, LastGoodListStaysThroughIncompleteAndEmptyFiles) {
  asio::io_context io;
  const std::string path = ::testing::TempDir() + "forkwick-hosts-" + std::to_string(getpid()) + ".json";
  const auto write = [&](const std::string& text) {
    std::ofstream(path + ".new") << text;
    ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  };
  const std::string one_host = "{\"members\":[" + Member("a", Loopback(1)).dump() + "]}";
  const std::string two_hosts =
      "{\"members\":[" + Member("a", Loopback(1)).dump() + "," + Member("b", Loopback(2)).dump() + "]}";
  write(one_host);
  std::vector<HostList> updates;
  std::vector<std::string> log_lines;
  int failures = 0;
  gateway::FileSource source(io, path,
                             {[&](const HostList& list) { updates.push_back(list); }, [&] { ++failures; },
                              [&](const std::string& text) { log_lines.push_back(text); }});
  source.Start();
  ASSERT_EQ(updates.size(), 1u);
  write(two_hosts.substr(0, 60));
  ASSERT_TRUE(RunUntil(io, [&] { return log_lines.size() == 1; }));
  std::ofstream(path) << "";  // in place
  ASSERT_TRUE(RunUntil(io, [&] { return log_lines.size() >= 2; }));
  EXPECT_EQ(updates.size(), 1u);
  EXPECT_NE(log_lines.back().find("the last good list stays"), std::string::npos) << log_lines.back();
  write(two_hosts);
  ASSERT_TRUE(RunUntil(io, [&] { return updates.size() == 2; }));
  EXPECT_EQ(updates[1].hosts.size(), 2u);
  std::remove(path.c_str());
  ASSERT_TRUE(RunUntil(io, [&] { return log_lines.back().find("can't be read") != std::string::npos; }));
  EXPECT_EQ(updates.size(), 2u);
  EXPECT_GE(failures, 3);
}

}  // namespace
}  // namespace opalswitch::testing
