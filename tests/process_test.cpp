// forkwick as a process on the platform: start, errors in the configuration, reload and stop.
#include "process.hpp"

#include <gtest/gtest.h>

#include <fstream>

#include "gateway_process.hpp"
#include "peers.hpp"

namespace opalswitch::testing {
namespace {

// Guards against a gateway that starts with an invalid configuration, or fails without naming the variable or
// field in one line.
TEST(Program, InvalidConfigurationIsNamedInOneLineAndExitsWith1) {
  const auto config = [](const std::function<void(nlohmann::json&)>& change) {
    nlohmann::json file = {{"seed", "1f"}, {"settings", TestSettings()}};
    change(file);
    return file.dump();
  };
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {"{\"settings\":", "127.0.0.1:0", "NODE_CONFIG"},
      {config([](auto&) {}), "127.0.0.1", "NODE_LISTEN"},
      {config([](auto&) {}), "127.0.0.1:99999", "NODE_LISTEN"},
      {config([](auto& f) { f["seed"] = "xyz"; }), "127.0.0.1:0", "seed"},
      {config([](auto& f) { f.erase("settings"); }), "127.0.0.1:0", "settings"},
      {config([](auto& f) { f["settings"]["categories"] = nlohmann::json::array(); }), "127.0.0.1:0",
       "classes"},
      {config([](auto& f) { f["settings"]["categories"][1]["sloMs"] = "fast"; }), "127.0.0.1:0", "sloMs"},
      {config([](auto& f) { f["settings"]["limits"]["dialTimeoutMs"] = -1; }), "127.0.0.1:0",
       "dialTimeoutMs"},
      {config([](auto& f) { f["known"] = "nobody"; }), "127.0.0.1:0", "known"},
  };
  for (const auto& [text, listen, named] : cases) {
    SCOPED_TRACE(named + ": " + text);
    const TempFile file(text);
    Process process({{"NODE_CONFIG", file.path}, {"NODE_LISTEN", listen}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
    EXPECT_EQ(process.Wait(), 1);
    const std::string errors = process.StandardError();
    EXPECT_NE(errors.find(named), std::string::npos) << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
  Process process({{"NODE_LISTEN", "127.0.0.1:0"}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.StandardError().find("NODE_CONFIG"), std::string::npos);
}

// Guards against losing a request on a planned restart: SIGTERM arrives while a host is working on it; it
// must be answered, and the exit code must be 0.
TEST(Program, SigtermCompletesRequestsInFlightAndExitsWith0) {
  asio::io_context io;
  Peer host(io);
  GatewayProcess gateway(io, {host.address()}, TestSettings());  // it is listening by now
  Process& process = gateway.process();
  Client client(io, gateway.address());
  client.Send(ApiRequest("r1", "pay"));
  ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
  process.Terminate();
  // The host answers only after the gateway has started to stop.
  bool stopping = false;
  for (int i = 0; i < 1000 && !stopping; ++i) {
    Client probe(io, gateway.address());
    probe.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
    stopping = probe.Await().result() == http::status::service_unavailable;
  }
  EXPECT_TRUE(stopping);
  host.requests[0].Answer(200, "done");
  EXPECT_EQ(client.Await().body(), "done");
  EXPECT_TRUE(client.AwaitEnd());
  EXPECT_TRUE(RunUntil(io, [&] { return process.HasExited(); }));
  EXPECT_EQ(process.Wait(), 0);
}

// Guards against a reload that drops connections, takes over a broken file, or keeps the old address of
// discovery: SIGHUP must reload the file, report a broken one in one line, and prefer the file's discovery to
// that of the environment, which still has the old address.
TEST(Program, SighupReloadsConfigurationAndIgnoresBrokenFile) {
  asio::io_context io;
  Peer old(io), moved(io);
  nlohmann::json config = {{"seed", "1f"}, {"listen", "127.0.0.1:0"}, {"settings", TestSettings()}};
  const TempFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path}, {"NODE_DISCOVERY", ToText(old.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return old.requests.size() == 1; }));
  std::ofstream(file.path) << "{\"discovery\":";
  process.Hangup();
  ASSERT_TRUE(RunUntil(
      io, [&] { return !process.StandardError().empty() && process.StandardError().back() == '\n'; }));
  const std::string errors = process.StandardError();
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  EXPECT_FALSE(old.connections[0]->ended);
  config["discovery"] = ToText(moved.address());
  std::ofstream(file.path) << config.dump();
  process.Hangup();
  ASSERT_TRUE(RunUntil(io, [&] { return moved.requests.size() == 1; }));
  EXPECT_FALSE(old.connections[0]->ended);  // its list still counts
  moved.requests[0].Answer(200, List(1, true, {}).dump());
  EXPECT_TRUE(RunUntil(io, [&] { return old.connections[0]->ended; }));
  ASSERT_TRUE(RunUntil(io, [&] { return moved.requests.size() == 2; }));
  process.Hangup();
  process.Terminate();
  process.Hangup();
  EXPECT_TRUE(RunUntil(io, [&] { return process.HasExited(); }));
  EXPECT_EQ(process.Wait(), 0);
  EXPECT_EQ(moved.requests.size(), 2u);
}

}  // namespace
}  // namespace opalswitch::testing
