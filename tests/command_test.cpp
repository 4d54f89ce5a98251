// The subcommands of forkwick as a process: check, route and run.
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

// Replaces the file in one step, so that the program never reads a part of it.
std::string WriteTempFile(const std::string& name, const std::string& text) {
  const std::string path = ::testing::TempDir() + "forkwick-" + std::to_string(getpid()) + "-" + name;
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
  return path;
}

// Guards against issues that are not printed, or an exit code that hides them.
TEST(Command, CheckPrintsIssuesAndSetsExitCode) {
  const ProgramResult good = RunProgram(std::string("check ") + kExample);
  EXPECT_EQ(good.exit_code, 0) << good.output;
  EXPECT_NE(good.output.find("3 pools, 5 routes"), std::string::npos) << good.output;
  const std::string path = WriteTempFile("bad.toml", "[[pool]]\nid = \"p\"\nwhat = 1\n");
  const ProgramResult bad = RunProgram("check " + path);
  EXPECT_EQ(bad.exit_code, 1);
  EXPECT_NE(bad.output.find(path + ":3:1: pool.p.what: unknown key"), std::string::npos) << bad.output;
  const ProgramResult json = RunProgram("check --json " + path);
  EXPECT_EQ(json.exit_code, 1);
  const auto parsed = nlohmann::json::parse(json.output);
  EXPECT_FALSE(parsed["valid"]);
  EXPECT_EQ(parsed["issues"].size(), 5u);
  EXPECT_EQ(RunProgram("check /no/such/file").exit_code, 1);
  EXPECT_EQ(RunProgram("check").exit_code, 2);
  EXPECT_EQ(RunProgram("dance").exit_code, 2);
  EXPECT_EQ(RunProgram("--help").exit_code, 0);
  std::remove(path.c_str());
}

// Guards against a wrong route, reason or exit code in the explanation of a request.
TEST(Command, RoutePrintsMatchAndSetsExitCode) {
  const std::string file = std::string("route ") + kExample;
  const ProgramResult menus = RunProgram(file + " --host Menus.Galicia.Example.org:80 --path /today");
  EXPECT_EQ(menus.exit_code, 0);
  EXPECT_EQ(menus.output, "route menus: pool menus, class view, path /today\n");
  const ProgramResult change =
      RunProgram(file + " --host baskets.galicia.example.org --path /x/../week --method POST");
  EXPECT_EQ(change.exit_code, 0);
  EXPECT_NE(change.output.find(
                "  not basket-view: method POST is not GET, HEAD\nroute basket-change: pool baskets, class "
                "change, path /week\n"),
            std::string::npos)
      << change.output;
  const ProgramResult none = RunProgram(file + " --host nowhere.org --path /a");
  EXPECT_EQ(none.exit_code, 3);
  EXPECT_NE(none.output.find("no route: 404"), std::string::npos);
  const ProgramResult ambiguous = RunProgram(file + " --host nowhere.org --path /a%2f..%2fslots");
  EXPECT_EQ(ambiguous.exit_code, 3);
  EXPECT_NE(ambiguous.output.find("refused with 400"), std::string::npos) << ambiguous.output;
  EXPECT_EQ(RunProgram(file + " --path nothing").exit_code, 2);
}

// Guards against a reload that takes over a part of a file: on SIGHUP a valid file must take effect whole,
// and a broken one must change nothing. SIGTERM must end the program with exit code 0.
TEST(Command, RunReloadsOnSighupAndStopsOnSigterm) {
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
  const std::string path = WriteTempFile("run.toml", text(one));
  Process process(Process::Arguments{{"run", "--config", path}});
  ASSERT_TRUE(RunUntil(io, [&] {
    return process.StandardError().find("listener in at") != std::string::npos;
  })) << process.StandardError();
  Client client(io, listen);
  const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  client.Send(get);
  EXPECT_EQ(client.Await(1).body(), "one");
  WriteTempFile("run.toml", text(two).substr(0, 60));
  process.Hangup();
  ASSERT_TRUE(RunUntil(
      io, [&] { return process.StandardError().find("not reloaded, 1 faults") != std::string::npos; }));
  client.Send(get);
  EXPECT_EQ(client.Await(2).body(), "one");
  WriteTempFile("run.toml", text(two));
  process.Hangup();
  ASSERT_TRUE(
      RunUntil(io, [&] { return process.StandardError().find("reloaded " + path) != std::string::npos; }));
  client.Send(get);
  EXPECT_EQ(client.Await(3).body(), "two");
  client.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(4).result_int(), 200u);
  process.Terminate();
  EXPECT_TRUE(RunUntil(io, [&] { return process.HasExited(); }));
  EXPECT_EQ(process.Wait(), 0);
  std::remove(path.c_str());
}

// Guards against a watched file whose change does not take effect without a signal.
TEST(Command, RunReloadsWatchedFileWhenItChanges) {
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
  const std::string path = WriteTempFile("watch.toml", text(one));
  Process process(Process::Arguments{{"run", "--config", path}});
  std::string port;
  ASSERT_TRUE(RunUntil(io, [&] {
    const std::string log = process.StandardError();
    const std::string prefix = "listener in at 127.0.0.1:";
    const std::size_t at = log.find(prefix), end = log.find('\n', at);
    if (at == std::string::npos || end == std::string::npos) return false;
    port = log.substr(at + prefix.size(), end - at - prefix.size());
    return true;
  }));
  Client client(io, Loopback(static_cast<unsigned short>(std::stoi(port))));
  client.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(1).body(), "one");
  WriteTempFile("watch.toml", text(two));
  ASSERT_TRUE(RunUntil(io, [&] { return process.StandardError().find("reloaded") != std::string::npos; }))
      << process.StandardError();
  client.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.Await(2).body(), "two");
  std::remove(path.c_str());
}

}  // namespace
}  // namespace opalswitch::testing
