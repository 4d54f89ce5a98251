// Tests of the forkwick-control program: it serves a file, is operated by its command line, and is killed and
// restarted during a drain.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "process.hpp"
#include "services_text.hpp"
#include "standins/xds_client.hpp"

namespace opalswitch::testing {
namespace {

using xds::ResourceType;

struct ServiceFolder {
  ServiceFolder() {
    char pattern[] = "/tmp/forkwick-control-XXXXXX";
    folder = mkdtemp(pattern);
    Save(
        "hosts.json",
        Hosts(
            R"({"id":"a","phase":"up","host_port":"10.0.0.1:80"},{"id":"b","phase":"up","host_port":"10.0.0.2:80"})"));
    Save("f.toml", Text(0));
  }
  ~ServiceFolder() {
    for (const char* const name : {"hosts.json", "f.toml", "drains.json", "s"})
      unlink((folder + "/" + name).c_str());
    rmdir(folder.c_str());
  }
  static std::string Hosts(const std::string& members) { return "{\"members\":[" + members + "]}"; }
  static std::string Text(int port) {
    return "[control]\naddress = \"127.0.0.1:" + std::to_string(port) +
           "\"\nsocket = \"s\"\ndrains = \"drains.json\"\nreport_every = \"100ms\"\n" + kListenerAndClasses +
           R"([[pool]]
id = "one"
drain = "strict"
membership = { source = "file", file = "hosts.json" }
[[pool]]
id = "two"
host = [{ id = "a", address = "10.0.0.1:80" }, { id = "c", address = "10.0.0.3:80" }]
)" + kRoutesToOneAndTwo;
  }
  void Save(const std::string& name, const std::string& text) const {
    std::ofstream(folder + "/" + name + ".new") << text;
    std::rename((folder + "/" + name + ".new").c_str(), (folder + "/" + name).c_str());
  }
  Process::Arguments Run() const { return {{"run", "--config", folder + "/f.toml"}}; }
  std::string Socket() const { return "--socket " + folder + "/s"; }

  std::string folder;
};

TEST(ControlCommand, ServesStatusDrainsAndMembershipChanges) {
  ServiceFolder folder;
  Process process(folder.Run());
  const int port = AwaitControlPort(process);
  XdsClient client(port, true, "proxy-1");
  ASSERT_TRUE(ConnectAndReceiveAll(client));
  EXPECT_TRUE(client.HoldsHealthyEndpoint("one", "10.0.0.1"));
  const ProgramResult status = RunProgram("status --json " + folder.Socket());
  ASSERT_EQ(status.exit_code, 0) << status.output;
  const auto json = nlohmann::json::parse(status.output);
  EXPECT_EQ(json["pools"].size(), 2u);
  EXPECT_EQ(json["pools"][0]["strict"], true);
  EXPECT_EQ(json["proxies"][0]["id"], "proxy-1");
  EXPECT_EQ(RunProgram("status " + folder.Socket()).exit_code, 0);
  const ProgramResult drain = RunProgram("drain a --wait " + folder.Socket());
  EXPECT_EQ(drain.exit_code, 0) << drain.output;
  EXPECT_NE(drain.output.find("a is drained"), std::string::npos) << drain.output;
  EXPECT_FALSE(client.HoldsHealthyEndpoint("one", "10.0.0.1"));
  EXPECT_FALSE(client.HoldsHealthyEndpoint("two", "10.0.0.1"));
  EXPECT_EQ(RunProgram("drain nobody " + folder.Socket()).exit_code, 1);
  EXPECT_EQ(RunProgram("undrain nobody " + folder.Socket()).exit_code, 1);
  EXPECT_EQ(RunProgram("undrain a " + folder.Socket()).exit_code, 0);
  ASSERT_TRUE(client.Await([&] { return client.HoldsHealthyEndpoint("one", "10.0.0.1"); }));
  // A change of the membership file is applied.
  folder.Save("hosts.json", ServiceFolder::Hosts(R"({"id":"b","phase":"up","host_port":"10.0.0.2:80"})"));
  ASSERT_TRUE(client.Await([&] { return !client.HoldsHealthyEndpoint("one", "10.0.0.1"); }));
  process.Terminate();
  EXPECT_EQ(process.Wait(), 0);
  EXPECT_EQ(RunProgram("status " + folder.Socket()).exit_code, 1);  // the service has ended
  EXPECT_EQ(RunProgram("status").exit_code, 2);
}

TEST(ControlCommand, DrainWaitsForAnUnresponsiveProxyAndNamesIt) {
  ServiceFolder folder;
  Process process(folder.Run());
  XdsClient client(AwaitControlPort(process), true, "mute");
  client.react = [](ResourceType, auto&) { return XdsClient::Reaction::kNoAnswer; };
  client.Connect();
  client.Subscribe(ResourceType::kEndpoint, {"two"});  // a static pool: no lease ends the wait
  ASSERT_TRUE(client.Await([&] { return client.held(ResourceType::kEndpoint).size() == 1; }));
  const ProgramResult drain = RunProgram("drain a --wait --timeout 4 " + folder.Socket());
  EXPECT_EQ(drain.exit_code, 4) << drain.output;
  EXPECT_NE(drain.output.find("waits for mute, which has not answered"), std::string::npos) << drain.output;
}

// Guards the 500 ms limit of a drain across a crash: a proxy that neither process reaches must stop by its
// lease, and the restarted process must know of the drain.
TEST(ControlCommand, DrainSurvivesAKillAndRestart) {
  ServiceFolder folder;
  std::optional<Process> process(std::in_place, folder.Run());
  int port = AwaitControlPort(*process);
  folder.Save("f.toml", ServiceFolder::Text(port));  // the same port after the restart
  XdsClient client(port, true, "proxy-1"), unresponsive(port, true, "deaf");
  ASSERT_TRUE(ConnectAndReceiveAll(client));
  unresponsive.Connect();
  unresponsive.Subscribe(ResourceType::kEndpoint, {"one"});
  ASSERT_TRUE(unresponsive.Await([&] { return unresponsive.MayRouteTo("one", "10.0.0.1", true); }));
  // From here on it ignores all messages and uses its endpoints until their lease expires.
  unresponsive.IgnoreResponses();
  ASSERT_EQ(RunProgram("drain a " + folder.Socket()).exit_code, 0);
  process->Kill();
  process->Wait();
  ASSERT_TRUE(client.Await([&] { return client.has_ended(); }));
  client.Disconnect();
  process.emplace(folder.Run());
  ASSERT_EQ(AwaitControlPort(*process), port);
  const ProgramResult drain = RunProgram("drain a --wait " + folder.Socket());
  EXPECT_EQ(drain.exit_code, 0) << drain.output;
  // Its lease expired before the drain ended waiting.
  EXPECT_FALSE(unresponsive.MayRouteTo("one", "10.0.0.1"));
  ConnectAndSubscribeToAll(client);
  ASSERT_TRUE(client.Await([&] { return client.heartbeat_count() > 0 && HasAllResources(client); }));
  EXPECT_FALSE(client.HoldsHealthyEndpoint("one", "10.0.0.1"));
  EXPECT_FALSE(client.HoldsHealthyEndpoint("two", "10.0.0.1"));
}

TEST(ControlCommand, LoadReportsChangeTheWeights) {
  ServiceFolder folder;
  Process process(folder.Run());
  const int port = AwaitControlPort(process);
  XdsClient client(port, true, "proxy-1");
  ASSERT_TRUE(ConnectAndReceiveAll(client));
  const std::uint32_t before = client.Weight("two", "10.0.0.3");
  LoadReporter reporter(port, "proxy-1");
  EXPECT_EQ(reporter.Start(), 100);  // ms, from the file
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (client.Weight("two", "10.0.0.3") * 2 > before && std::chrono::steady_clock::now() < end) {
    reporter.Report("two", {{"10.0.0.1", {100, 0, 10}}, {"10.0.0.3", {100, 0, 80}}});
  }
  EXPECT_LE(client.Weight("two", "10.0.0.3") * 2, before);
  EXPECT_GT(client.Weight("two", "10.0.0.3"), 0u);
}

TEST(ControlCommand, RefusesToStartWithAnInvalidFile) {
  ServiceFolder folder;
  folder.Save("drains.json", "{\"drained\": 7}");
  Process process(folder.Run());
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.StandardError().find("drains.json: drained: missing, expected"), std::string::npos)
      << process.StandardError();
  folder.Save("f.toml", ServiceFolder::Text(0) + "[[control.group]]\nid = \"g\"\npools = [\"none\"]\n");
  Process other(folder.Run());
  EXPECT_EQ(other.Wait(), 1);
  EXPECT_NE(other.StandardError().find("control.group.g.pools: found"), std::string::npos)
      << other.StandardError();
}

}  // namespace
}  // namespace opalswitch::testing
