// The command line as a process: checks, explanations, and a gateway run from an operators' file.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "process.hpp"
#include "standins/load.hpp"

namespace opalswitch::testing {
namespace {

constexpr char kExample[] = SOURCE_FOLDER "/deploy/services.example.toml";

std::string Saved(const std::string& name, const std::string& text) {
  const std::string path = ::testing::TempDir() + "forkwick-" + std::to_string(getpid()) + "-" + name;
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
  return path;
}

TEST(Command, ChecksAFileAndTellsByItsExitCode) {
  const Said good = RunProgram(std::string("check ") + kExample);
  EXPECT_EQ(good.code, 0) << good.text;
  EXPECT_NE(good.text.find("3 pools, 5 routes"), std::string::npos) << good.text;
  const std::string path = Saved("bad.toml", "[[pool]]\nid = \"p\"\nwhat = 1\n");
  const Said bad = RunProgram("check " + path);
  EXPECT_EQ(bad.code, 1);
  EXPECT_NE(bad.text.find(path + ":3:1: pool.p.what: unknown key"), std::string::npos) << bad.text;
  const Said json = RunProgram("check --json " + path);
  EXPECT_EQ(json.code, 1);
  const auto parsed = nlohmann::json::parse(json.text);
  EXPECT_FALSE(parsed["valid"]);
  EXPECT_EQ(parsed["issues"].size(), 5u);
  EXPECT_EQ(RunProgram("check /no/such/file").code, 1);
  EXPECT_EQ(RunProgram("check").code, 2);
  EXPECT_EQ(RunProgram("dance").code, 2);
  EXPECT_EQ(RunProgram("--help").code, 0);
  std::remove(path.c_str());
}

TEST(Command, ExplainsWhichRouteTakesARequest) {
  const std::string file = std::string("route ") + kExample;
  const Said menus = RunProgram(file + " --host Menus.Galicia.Example.org:80 --path /today");
  EXPECT_EQ(menus.code, 0);
  EXPECT_EQ(menus.text, "route menus: pool menus, class view, path /today\n");
  const Said change =
      RunProgram(file + " --host baskets.galicia.example.org --path /x/../week --method POST");
  EXPECT_EQ(change.code, 0);
  EXPECT_NE(change.text.find(
                "  not basket-view: method POST is not GET, HEAD\nroute basket-change: pool baskets, class "
                "change, path /week\n"),
            std::string::npos)
      << change.text;
  const Said none = RunProgram(file + " --host nowhere.org --path /a");
  EXPECT_EQ(none.code, 3);
  EXPECT_NE(none.text.find("no route: 404"), std::string::npos);
  const Said twofold = RunProgram(file + " --host nowhere.org --path /a%2f..%2fslots");
  EXPECT_EQ(twofold.code, 3);
  EXPECT_NE(twofold.text.find("refused with 400"), std::string::npos) << twofold.text;
  EXPECT_EQ(RunProgram(file + " --path nothing").code, 2);
}

// Guards a gateway in service: SIGHUP takes a good file whole, a broken one changes nothing, SIGTERM ends it
// cleanly.
TEST(Command, RunsReloadsAndStopsAServicesFile) {
  asio::io_context io;
  Peer one(io), two(io);
  ScriptHost(one, HostFailure::kNone, "one");
  ScriptHost(two, HostFailure::kNone, "two");
  tcp::endpoint listen;
  {
    tcp::acceptor probe(io, Loopback());
    listen = probe.local_endpoint();
  }
  const auto text = [&](const Peer& host) {
    return "[process]\nhealth_path = \"/up\"\n[[listener]]\nid = \"in\"\naddress = \"" + ToText(listen) +
           "\"\n[[class]]\nid = \"view\"\neffect = \"safe\"\naim = \"10s\"\ndeadline = \"10s\"\n[[pool]]\nid "
           "= \"p\"\n"
           "host = [{ address = \"" +
           ToText(host.address()) + "\" }]\n[[route]]\npool = \"p\"\nclass = \"view\"\n";
  };
  const std::string path = Saved("run.toml", text(one));
  Process process(Process::Arguments{{"run", "--config", path}});
  ASSERT_TRUE(RunUntil(io, [&] { return process.Errors().find("listener in at") != std::string::npos; }))
      << process.Errors();
  Client client(io, listen);
  const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  client.Send(get);
  EXPECT_EQ(client.Await(1).body(), "one");
  Saved("run.toml", text(two).substr(0, 60));
  process.HangUp();
  ASSERT_TRUE(
      RunUntil(io, [&] { return process.Errors().find("not reloaded, 1 faults") != std::string::npos; }));
  client.Send(get);
  EXPECT_EQ(client.Await(2).body(), "one");
  Saved("run.toml", text(two));
  process.HangUp();
  ASSERT_TRUE(RunUntil(io, [&] { return process.Errors().find("reloaded " + path) != std::string::npos; }));
  client.Send(get);
  EXPECT_EQ(client.Await(3).body(), "two");
  client.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(4).result_int(), 200u);
  process.Terminate();
  EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
  EXPECT_EQ(process.Wait(), 0);
  std::remove(path.c_str());
}

TEST(Command, FollowsItsFileWhereTheFileSaysSo) {
  asio::io_context io;
  Peer one(io), two(io);
  ScriptHost(one, HostFailure::kNone, "one");
  ScriptHost(two, HostFailure::kNone, "two");
  const auto text = [&](const Peer& host) {
    return "[process]\nwatch = true\n[[listener]]\nid = \"in\"\naddress = \"127.0.0.1:0\"\n[[class]]\nid = "
           "\"view\"\n"
           "effect = \"safe\"\naim = \"10s\"\ndeadline = \"10s\"\n[[pool]]\nid = \"p\"\nhost = [{ address = "
           "\"" +
           ToText(host.address()) + "\" }]\n[[route]]\npool = \"p\"\nclass = \"view\"\n";
  };
  const std::string path = Saved("watch.toml", text(one));
  Process process(Process::Arguments{{"run", "--config", path}});
  std::string port;
  ASSERT_TRUE(RunUntil(io, [&] {
    const std::string said = process.Errors();
    const std::size_t at = said.find("127.0.0.1:"), end = said.find('\n', at);
    if (at == std::string::npos || end == std::string::npos) return false;
    port = said.substr(at + 10, end - at - 10);
    return true;
  }));
  Client client(io, Loopback(static_cast<unsigned short>(std::stoi(port))));
  client.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(1).body(), "one");
  Saved("watch.toml", text(two));
  ASSERT_TRUE(RunUntil(io, [&] { return process.Errors().find("reloaded") != std::string::npos; }))
      << process.Errors();
  client.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(2).body(), "two");
  std::remove(path.c_str());
}

}  // namespace
}  // namespace opalswitch::testing
