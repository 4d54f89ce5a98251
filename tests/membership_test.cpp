// One node in several pools, and lists of hosts that are kept in files.
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

Host Node(const std::string& id, ServerState state = ServerState::kUp, Millis started_at = 0) {
  Host host;
  host.server.id = id;
  host.server.state = state;
  host.server.started_at = started_at;
  return host;
}

HostList Full(std::vector<Host> hosts) { return {0, true, std::move(hosts)}; }
HostList Delta(std::vector<Host> hosts) { return {0, false, std::move(hosts)}; }

// What the news say of a node in a pool; nothing if they don't name it.
std::optional<ServerState> Said(const std::vector<NodeRegistry::PoolUpdate>& news, std::uint64_t pool,
                                const std::string& id) {
  for (const auto& item : news) {
    if (item.pool != pool) continue;
    for (const Host& host : item.list.hosts) {
      if (host.server.id == id) return host.server.state;
    }
  }
  return std::nullopt;
}

TEST(NodeRegistry, OneDrainReachesAllPoolsThatListTheNode) {
  NodeRegistry nodes;
  nodes.ApplyUpdate(1, Full({Node("n"), Node("a")}), 0);
  nodes.ApplyUpdate(2, Full({Node("n"), Node("b")}), 0);
  nodes.ApplyUpdate(3, Full({Node("c")}), 0);
  const auto news = nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kDraining)}), 100);
  EXPECT_EQ(Said(news, 1, "n"), ServerState::kDraining);
  EXPECT_EQ(Said(news, 2, "n"), ServerState::kDraining);
  EXPECT_EQ(news.size(), 2u);  // the third does not list it
  EXPECT_EQ(nodes.drains().at("n").since, 100);
  EXPECT_EQ(nodes.drains().at("n").first, 1u);
}

TEST(NodeRegistry, ALateListDoesNotBringADrainingNodeBack) {
  NodeRegistry nodes;
  nodes.ApplyUpdate(1, Full({Node("n")}), 0);
  nodes.ApplyUpdate(2, Full({Node("n")}), 0);
  nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kDraining)}), 100);
  EXPECT_EQ(Said(nodes.ApplyUpdate(2, Full({Node("n")}), 2000), 2, "n"), ServerState::kDraining);
  nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kGone)}), 3000);
  EXPECT_EQ(Said(nodes.ApplyUpdate(2, Full({Node("n")}), 4000), 2, "n"), ServerState::kDraining);
  EXPECT_EQ(nodes.drains().at("n").since, 100);  // the instant of the first word
  nodes.ApplyUpdate(2, Full({}), 5100);
  EXPECT_TRUE(nodes.drains().empty());  // nobody lists it any more
}

TEST(NodeRegistry, ADrainEndsByItsTellerOrByANewProcess) {
  NodeRegistry nodes;
  nodes.ApplyUpdate(1, Full({Node("n")}), 0);
  nodes.ApplyUpdate(2, Full({Node("n")}), 0);
  nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kDraining)}), 100);
  auto news = nodes.ApplyUpdate(1, Delta({Node("n")}), 200);
  EXPECT_EQ(Said(news, 2, "n"), ServerState::kUp);
  nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kDraining, 50)}), 300);
  news = nodes.ApplyUpdate(2, Delta({Node("n", ServerState::kUp, 400)}), 500);
  EXPECT_EQ(Said(news, 1, "n"), ServerState::kDraining);  // its own source says so still
  EXPECT_EQ(Said(news, 2, "n"), ServerState::kUp);
  EXPECT_TRUE(nodes.drains().empty());
}

TEST(NodeRegistry, ForgetsAPoolWithoutLeavingItsDrainsForGood) {
  NodeRegistry nodes;
  nodes.ApplyUpdate(1, Full({Node("n")}), 0);
  nodes.ApplyUpdate(2, Full({Node("n")}), 0);
  nodes.ApplyUpdate(1, Delta({Node("n", ServerState::kDraining)}), 100);
  nodes.RemovePool(1);
  EXPECT_EQ(nodes.drains().count("n"), 1u);
  EXPECT_EQ(Said(nodes.ApplyUpdate(2, Full({Node("n")}), 200), 2, "n"), ServerState::kUp);
}

TEST(HostFile, SaysWhatIsWrongWithIt) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "is empty"},
      {" \n", "is empty"},
      {"{\"members\":[{\"id\":", "no whole JSON object"},
      {"[]", "no whole JSON object"},
      {"{}", "members: missing"},
      {"{\"members\":[]}", "members: none"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"x\"}]}", "members[0].host_port"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"asleep\",\"host_port\":\"127.0.0.1:1\"}]}",
       "members[0].phase"},
      {"{\"members\":[{\"phase\":\"up\"}]}", "id"},
      {"{\"members\":[{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"127.0.0.1:1\"},"
       "{\"id\":\"a\",\"phase\":\"up\",\"host_port\":\"127.0.0.1:2\"}]}",
       "listed twice"},
  };
  for (const auto& [text, word] : cases) {
    std::string error;
    EXPECT_FALSE(gateway::ReadHostFile(text, error)) << text;
    EXPECT_NE(error.find(word), std::string::npos) << error;
  }
  std::string error;
  EXPECT_TRUE(gateway::ReadHostFile("{\"members\":[],\"empty\":true}", error)) << error;
}

// Guards against a list that is read while it is written: the last good one stays, and each fault is told.
TEST(HostFile, KeepsTheLastGoodListThroughHalfWrittenAndEmptyFiles) {
  asio::io_context io;
  const std::string path = ::testing::TempDir() + "forkwick-hosts-" + std::to_string(getpid()) + ".json";
  const auto write = [&](const std::string& text) {
    std::ofstream(path + ".new") << text;
    ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  };
  const std::string one = "{\"members\":[" + Member("a", Loopback(1)).dump() + "]}";
  const std::string two =
      "{\"members\":[" + Member("a", Loopback(1)).dump() + "," + Member("b", Loopback(2)).dump() + "]}";
  write(one);
  std::vector<HostList> told;
  std::vector<std::string> notes;
  int failed = 0;
  gateway::FileSource source(io, path,
                             {[&](const HostList& list) { told.push_back(list); }, [&] { ++failed; },
                              [&](const std::string& text) { notes.push_back(text); }});
  source.Start();
  ASSERT_EQ(told.size(), 1u);
  write(two.substr(0, 60));
  ASSERT_TRUE(RunUntil(io, [&] { return notes.size() == 1; }));
  std::ofstream(path) << "";  // in place
  ASSERT_TRUE(RunUntil(io, [&] { return notes.size() >= 2; }));
  EXPECT_EQ(told.size(), 1u);
  EXPECT_NE(notes.back().find("the last good list stays"), std::string::npos) << notes.back();
  write(two);
  ASSERT_TRUE(RunUntil(io, [&] { return told.size() == 2; }));
  EXPECT_EQ(told[1].hosts.size(), 2u);
  std::remove(path.c_str());
  ASSERT_TRUE(RunUntil(io, [&] { return notes.back().find("can't be read") != std::string::npos; }));
  EXPECT_EQ(told.size(), 2u);
  EXPECT_GE(failed, 3);
}

}  // namespace
}  // namespace opalswitch::testing
