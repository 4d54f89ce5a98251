// forkwick-control as a process: served from a file, asked and told by its command line, killed and restarted
// in the middle of a drain.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "process.hpp"
#include "services_text.hpp"
#include "standins/xds_client.hpp"

namespace opalswitch::testing {
namespace {

using xds::Type;

struct World {
  World() {
    char pattern[] = "/tmp/forkwick-control-XXXXXX";
    folder = mkdtemp(pattern);
    Save(
        "hosts.json",
        Hosts(
            R"({"id":"a","phase":"up","host_port":"10.0.0.1:80"},{"id":"b","phase":"up","host_port":"10.0.0.2:80"})"));
    Save("f.toml", Text(0));
  }
  ~World() {
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
  // The port that the process serves at, once it does.
  static int PortOf(const Process& process) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (std::chrono::steady_clock::now() < end) {
      const std::string said = process.StandardError(), mark = "serves xDS at 127.0.0.1:";
      const std::size_t at = said.find(mark);
      if (at != std::string::npos && said.find('\n', at) != std::string::npos)
        return std::stoi(said.substr(at + mark.size()));
      std::this_thread::yield();
    }
    ADD_FAILURE() << process.StandardError();
    return 0;
  }
  Process::Arguments Run() const { return {{"run", "--config", folder + "/f.toml"}}; }
  std::string Socket() const { return "--socket " + folder + "/s"; }

  std::string folder;
};

TEST(ControlCommand, ServesTellsAndDrains) {
  World world;
  Process process(world.Run());
  const int port = World::PortOf(process);
  XdsClient client(port, true, "proxy-1");
  ASSERT_TRUE(MakeWhole(client));
  EXPECT_TRUE(client.RoutesAsHeld("one", "10.0.0.1"));
  const ProgramResult status = RunProgram("status --json " + world.Socket());
  ASSERT_EQ(status.exit_code, 0) << status.output;
  const auto json = nlohmann::json::parse(status.output);
  EXPECT_EQ(json["pools"].size(), 2u);
  EXPECT_EQ(json["pools"][0]["strict"], true);
  EXPECT_EQ(json["proxies"][0]["id"], "proxy-1");
  EXPECT_EQ(RunProgram("status " + world.Socket()).exit_code, 0);
  const ProgramResult drain = RunProgram("drain a --wait " + world.Socket());
  EXPECT_EQ(drain.exit_code, 0) << drain.output;
  EXPECT_NE(drain.output.find("a is drained"), std::string::npos) << drain.output;
  EXPECT_FALSE(client.RoutesAsHeld("one", "10.0.0.1"));
  EXPECT_FALSE(client.RoutesAsHeld("two", "10.0.0.1"));
  EXPECT_EQ(RunProgram("drain nobody " + world.Socket()).exit_code, 1);
  EXPECT_EQ(RunProgram("undrain nobody " + world.Socket()).exit_code, 1);
  EXPECT_EQ(RunProgram("undrain a " + world.Socket()).exit_code, 0);
  ASSERT_TRUE(client.Await([&] { return client.RoutesAsHeld("one", "10.0.0.1"); }));
  // Its membership is followed.
  world.Save("hosts.json", World::Hosts(R"({"id":"b","phase":"up","host_port":"10.0.0.2:80"})"));
  ASSERT_TRUE(client.Await([&] { return !client.RoutesAsHeld("one", "10.0.0.1"); }));
  process.Terminate();
  EXPECT_EQ(process.Wait(), 0);
  EXPECT_EQ(RunProgram("status " + world.Socket()).exit_code, 1);  // nobody answers
  EXPECT_EQ(RunProgram("status").exit_code, 2);
}

TEST(ControlCommand, ADrainWaitsForAProxyThatDoesNotAnswerAndNamesIt) {
  World world;
  Process process(world.Run());
  XdsClient client(World::PortOf(process), true, "mute");
  client.reply = [](Type, auto&) { return XdsClient::Reply::kNothing; };
  client.Connect();
  client.Subscribe(Type::kEndpoint, {"two"});  // static: no lease ends the wait
  ASSERT_TRUE(client.Await([&] { return client.held(Type::kEndpoint).size() == 1; }));
  const ProgramResult drain = RunProgram("drain a --wait --timeout 4 " + world.Socket());
  EXPECT_EQ(drain.exit_code, 4) << drain.output;
  EXPECT_NE(drain.output.find("waits for mute, which has not answered"), std::string::npos) << drain.output;
}

// Guards the 500 ms: whoever was told nothing by either process must have stopped, and the new one must know.
TEST(ControlCommand, KilledAndRestartedInTheMiddleOfADrainItKnowsOfTheDrain) {
  World world;
  std::optional<Process> process(std::in_place, world.Run());
  int port = World::PortOf(*process);
  world.Save("f.toml", World::Text(port));  // the same one again after the restart
  XdsClient client(port, true, "proxy-1"), deaf(port, true, "deaf");
  ASSERT_TRUE(MakeWhole(client));
  deaf.Connect();
  deaf.Subscribe(Type::kEndpoint, {"one"});
  ASSERT_TRUE(deaf.Await([&] { return deaf.Routes("one", "10.0.0.1", true); }));
  // From here on it takes nothing in; it goes by its lease.
  deaf.Ignore();
  ASSERT_EQ(RunProgram("drain a " + world.Socket()).exit_code, 0);
  process->Kill();
  process->Wait();
  ASSERT_TRUE(client.Await([&] { return client.ended(); }));
  client.Drop();
  process.emplace(world.Run());
  ASSERT_EQ(World::PortOf(*process), port);
  const ProgramResult drain = RunProgram("drain a --wait " + world.Socket());
  EXPECT_EQ(drain.exit_code, 0) << drain.output;
  EXPECT_FALSE(deaf.Routes("one", "10.0.0.1"));  // its lease has run out before the wait was over
  SubscribeToAll(client);
  ASSERT_TRUE(client.Await([&] { return client.heartbeats() > 0 && IsWhole(client); }));
  EXPECT_FALSE(client.RoutesAsHeld("one", "10.0.0.1"));
  EXPECT_FALSE(client.RoutesAsHeld("two", "10.0.0.1"));
}

TEST(ControlCommand, LoadReportsMoveTheWeights) {
  World world;
  Process process(world.Run());
  const int port = World::PortOf(process);
  XdsClient client(port, true, "proxy-1");
  ASSERT_TRUE(MakeWhole(client));
  const std::uint32_t before = client.Weight("two", "10.0.0.3");
  LoadReporter reporter(port, "proxy-1");
  EXPECT_EQ(reporter.Begin(), 100);  // ms, as the file says
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (client.Weight("two", "10.0.0.3") * 2 > before && std::chrono::steady_clock::now() < end) {
    reporter.Report("two", {{"10.0.0.1", {100, 0, 10}}, {"10.0.0.3", {100, 0, 80}}});
  }
  EXPECT_LE(client.Weight("two", "10.0.0.3") * 2, before);
  EXPECT_GT(client.Weight("two", "10.0.0.3"), 0u);
}

TEST(ControlCommand, RefusesToStartWithAFileItCannotUse) {
  World world;
  world.Save("drains.json", "{\"drained\": 7}");
  Process process(world.Run());
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.StandardError().find("drains.json: drained: missing, expected"), std::string::npos)
      << process.StandardError();
  world.Save("f.toml", World::Text(0) + "[[control.group]]\nid = \"g\"\npools = [\"none\"]\n");
  Process other(world.Run());
  EXPECT_EQ(other.Wait(), 1);
  EXPECT_NE(other.StandardError().find("control.group.g.pools: found"), std::string::npos)
      << other.StandardError();
}

}  // namespace
}  // namespace opalswitch::testing
