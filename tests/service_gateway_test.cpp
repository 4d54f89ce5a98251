// Several services behind one gateway, over loopback sockets. Each test says what must not happen.
#include "gateway/service_gateway.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <set>

#include "base/clock.hpp"
#include "config/services.hpp"
#include "standins/load.hpp"

namespace opalswitch::testing {
namespace {

constexpr char kTop[] = R"([process]
descriptors = 600
[[listener]]
id = "in"
address = "127.0.0.1:0"
[request]
tenant_header = "Tenant"
[[class]]
id = "view"
effect = "safe"
aim = "20s"
deadline = "20s"
[[class]]
id = "change"
effect = "unsafe"
aim = "20s"
deadline = "20s"
)";

std::string PoolText(const std::string& id, const std::vector<tcp::endpoint>& hosts,
                     const std::string& more = "") {
  std::string text = "[[pool]]\nid = \"" + id + "\"\n" + more;
  for (const tcp::endpoint& host : hosts) text += "[[pool.host]]\naddress = \"" + ToText(host) + "\"\n";
  return text;
}

// GET is a view and everything else a change, under "/<pool>".
std::string RoutesText(const std::string& id) {
  const std::string both = "prefix = \"/" + id + "\"\npool = \"" + id + "\"\n";
  return "[[route]]\nid = \"" + id + "-view\"\nmethods = [\"GET\", \"HEAD\"]\nclass = \"view\"\n" + both +
         "[[route]]\nid = \"" + id + "-change\"\nclass = \"change\"\n" + both;
}

std::shared_ptr<const config::Services> Parsed(const std::string& text) {
  auto parsed = config::ParseServices(text, "test.toml", "");
  for (const config::Issue& issue : parsed.issues) ADD_FAILURE() << issue.ToString();
  return parsed.services;
}

std::string Get(const std::string& target, const std::string& more = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}
std::string Post(const std::string& target, const std::string& body, const std::string& more = "") {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more + "\r\n" + body;
}

struct World {
  Peer& Host(Broken how = Broken::kNot, const std::string& name = "") {
    hosts.push_back(std::make_unique<Peer>(io));
    addresses.push_back(hosts.back()->address());
    Behave(*hosts.back(), how, name);
    return *hosts.back();
  }
  void Start(const std::string& text) { gateway.emplace(io, Parsed(text), 7); }
  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address("in")); }
  template <typename Done>
  ::testing::AssertionResult Until(Done done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "did not come about";
  }

  asio::io_context io;
  std::vector<std::unique_ptr<Peer>> hosts;
  std::vector<tcp::endpoint> addresses;  // of the hosts, also of those that stopped listening
  std::optional<gateway::ServiceGateway> gateway;
};

TEST(Services, RoutesEachRequestToItsPool) {
  World world;
  const auto a = world.Host(Broken::kNot, "from a").address(),
             b = world.Host(Broken::kNot, "from b").address();
  world.Start(std::string(kTop) + PoolText("a", {a}) + PoolText("b", {b}) + RoutesText("a") +
              RoutesText("b"));
  const auto client = world.Connect();
  client->Send(Get("/a/x?q=1"));
  EXPECT_EQ(client->Await(1).body(), "from a");
  client->Send(Get("/b"));
  EXPECT_EQ(client->Await(2).body(), "from b");
  client->Send(Get("/c"));
  EXPECT_EQ(client->Await(3).result_int(), 404u);
  client->Send(Post("/a", "change"));
  EXPECT_EQ(client->Await(4).body(), "from a");
  const HttpRequest& got = world.hosts[0]->requests[0].http;
  EXPECT_EQ(got.target(), "/a/x?q=1");
  EXPECT_EQ(got["Host"], "h");
  EXPECT_EQ(got["X-Forwarded-For"], "127.0.0.1");
  EXPECT_EQ(got["Via"], "1.1 forkwick");
  EXPECT_FALSE(got["Req-Id"].empty());
  EXPECT_FALSE(client->ended());
}

// Guards what clients of a plain pool rely on: a host's own answers below 500, and its errors, come through.
TEST(Services, PassesHostsOwnAnswersOn) {
  World world;
  Peer& host = world.Host();
  host.serve = [](const Peer::Taken& taken) {
    const std::string target(taken.http.target());
    const int status = std::stoi(target.substr(target.rfind('/') + 1));
    if (status == 204 || status == 304)
      return taken.on->Raw("HTTP/1.1 " + std::to_string(status) + " X\r\n\r\n");
    if (taken.http.method() == http::verb::head)
      return taken.on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    taken.Answer(status, "body", "X-Own", "1");
  };
  world.Start(std::string(kTop) + PoolText("a", {host.address()}) + RoutesText("a"));
  std::size_t n = 0;
  const auto client = world.Connect();
  for (const int status : {200, 201, 301, 404, 418, 429}) {
    client->Send(Post("/a/" + std::to_string(status), "x"));
    const HttpResponse& answer = client->Await(++n);
    EXPECT_EQ(answer.result_int(), static_cast<unsigned>(status));
    EXPECT_EQ(answer.body(), "body");
    EXPECT_EQ(answer["X-Own"], "1");
  }
  client->Send(Post("/a/500", "x"));  // an error that may have run: not again, and not a refusal
  EXPECT_EQ(client->Await(++n).result_int(), 500u);
  client->Send(Post("/a/503", "x"));  // "try again" is more than anybody knows
  EXPECT_EQ(client->Await(++n).result_int(), 502u);
  client->Send(Get("/a/204"));
  EXPECT_EQ(client->Await(++n).result_int(), 204u);
  EXPECT_EQ(client->answers()[n - 1].count("Content-Length"), 0u);
  client->Send(Get("/a/304"));
  EXPECT_EQ(client->Await(++n).result_int(), 304u);
  EXPECT_EQ(world.hosts[0]->requests.size(), 10u);
}

TEST(Services, AnswersHeadWithoutABody) {
  World world;
  Peer& host = world.Host();
  host.serve = [](const Peer::Taken& taken) {
    taken.on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
  };
  world.Start(std::string(kTop) + PoolText("a", {host.address()}) + RoutesText("a"));
  tcp::socket socket(world.io);
  socket.connect(world.gateway->address("in"));
  asio::write(socket, asio::buffer(std::string("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
  std::string text;
  bool ended = false;
  asio::async_read(socket, asio::dynamic_buffer(text), [&](error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(world.Until([&] { return ended; }));
  EXPECT_NE(text.find("200 OK"), std::string::npos) << text;
  EXPECT_NE(text.find("Content-Length: 77"), std::string::npos) << text;
  EXPECT_TRUE(text.ends_with("\r\n\r\n")) << text;
}

// ---- One meaning for each request ------------------------------------------------------------------

struct Raw {
  std::string what, text;
  unsigned status;
  std::string path = {}, host = {};  // as the host gets them, where it does
};

// Guards hosts against requests that they would read in another way than this gateway (RFC 9112, RFC 3986).
TEST(Services, HaveOneMeaningForEachRequest) {
  const std::string end = "\r\n\r\n", h = " HTTP/1.1\r\nHost: h";
  const std::vector<Raw> cases = {
      {"dot segments", "GET /x/../a/./y" + h + end, 200, "/a/y", "h"},
      {"coded dot segments", "GET /x/%2e%2E/a" + h + end, 200, "/a", "h"},
      {"double slashes", "GET //a//y" + h + end, 200, "/a/y", "h"},
      {"coded plain letters", "GET /%61/%7ey" + h + end, 200, "/a/~y", "h"},
      {"a coded slash that changes nothing", "GET /a/x%2fy" + h + end, 200, "/a/x%2Fy", "h"},
      {"a coded slash that changes the route", "GET /b%2f..%2fa" + h + end, 400},
      {"coded dots behind a coded slash", "GET /a/..%2fb" + h + end, 400},
      {"parameters that hide dots", "GET /a/..;x/b" + h + end, 400},
      {"coded backslashes", "GET /a/..%5cb" + h + end, 400},
      {"broken codes", "GET /a/%zz" + h + end, 400},
      {"half a code", "GET /a/%4" + h + end, 400},
      {"a coded zero", "GET /a%00" + h + end, 400},
      {"overlong UTF-8", "GET /a/%c0%af" + h + end, 400},
      {"a fragment", "GET /a#x" + h + end, 400},
      {"a backslash", "GET /a\\b" + h + end, 400},
      {"broken codes in the query", "GET /a?%g" + h + end, 400},
      {"absolute form", "GET http://Ex.Org:81/a?q HTTP/1.1\r\nHost: ex.org:81" + end, 200, "/a?q",
       "ex.org:81"},
      {"absolute form with another Host", "GET http://ex.org/a HTTP/1.1\r\nHost: other" + end, 200, "/a",
       "ex.org"},
      {"absolute form with a user", "GET http://u@ex.org/a" + h + end, 400},
      {"another scheme", "GET ftp://ex.org/a" + h + end, 400},
      {"no slash", "GET a" + h + end, 400},
      {"a star", "GET *" + h + end, 400},
      {"no Host", "GET /a HTTP/1.1" + end, 400},
      {"two Hosts", "GET /a" + h + "\r\nHost: h" + end, 400},
      {"Host with a user", "GET /a HTTP/1.1\r\nHost: u@h" + end, 400},
      {"Host with a path", "GET /a HTTP/1.1\r\nHost: h/x" + end, 400},
      {"Host with a wild port", "GET /a HTTP/1.1\r\nHost: h:99999" + end, 400},
      {"an empty Host", "GET /a HTTP/1.1\r\nHost:" + end, 200, "/a", ""},
      {"HTTP/1.0 without Host", "GET /a HTTP/1.0" + end, 200, "/a", ""},
      {"HTTP/1.0 with a transfer coding", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked" + end + "0" + end,
       400},
      {"HTTP/1.2", "GET /a HTTP/1.2\r\nHost: h" + end, 400},
      {"HTTP/2.0", "GET /a HTTP/2.0\r\nHost: h" + end, 400},
      {"CONNECT", "CONNECT h:80" + h + end, 501},
      {"TRACE", "TRACE /a" + h + end, 501},
      {"a blank before the colon", "GET /a" + h + "\r\nX : 1" + end, 400},
      {"a nameless field", "GET /a" + h + "\r\n: 1" + end, 400},
      {"a zero in a field", "GET /a" + h + "\r\nX: " + std::string("\0", 1) + end, 400},
      {"a bare return in a field", "GET /a" + h + "\r\nX: a\rb" + end, 400},
      {"two lengths", "POST /a" + h + "\r\nContent-Length: 0\r\nContent-Length: 0" + end, 400},
      {"a list of lengths", "POST /a" + h + "\r\nContent-Length: 0, 0" + end, 400},
      {"a signed length", "POST /a" + h + "\r\nContent-Length: +0" + end, 400},
      {"length and coding",
       "POST /a" + h + "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked" + end + "0" + end, 400},
      {"a coding before chunked", "POST /a" + h + "\r\nTransfer-Encoding: gzip, chunked" + end + "0" + end,
       400},
      {"chunked twice", "POST /a" + h + "\r\nTransfer-Encoding: chunked, chunked" + end + "0" + end, 400},
      {"a broken chunk", "POST /a" + h + "\r\nTransfer-Encoding: chunked" + end + "zz" + end, 400},
      {"a body by chunks", "POST /a" + h + "\r\nTransfer-Encoding: Chunked" + end + "1\r\nx\r\n0" + end, 200,
       "/a", "h"},
  };
  World world;
  Peer& a = world.Host(Broken::kNot, "a");
  Peer& b = world.Host(Broken::kNot, "b");
  world.Start(std::string(kTop) + PoolText("a", {a.address()}) + PoolText("b", {b.address()}) +
              RoutesText("a") + RoutesText("b"));
  for (const Raw& raw : cases) {
    SCOPED_TRACE(raw.what);
    const auto before = a.requests.size();
    const auto client = world.Connect();
    client->Send(raw.text);
    EXPECT_EQ(client->Await().result_int(), raw.status);
    ASSERT_EQ(a.requests.size(), before + (raw.status == 200 ? 1 : 0));
    if (raw.status != 200) continue;
    EXPECT_EQ(a.requests.back().http.target(), raw.path);
    EXPECT_EQ(a.requests.back().http["Host"], raw.host);
    EXPECT_EQ(a.requests.back().http.count("Host"), 1u);
  }
  EXPECT_TRUE(b.requests.empty());
}

// ---- A pool that fails -----------------------------------------------------------------------------

struct Shares {
  double one, two, one_p99, two_p99;
};

// Full load on two healthy pools, and the same on a third that is broken or, for the comparison, not there.
Shares LoadBeside(Broken how) {
  World world;
  const auto one = world.Host(Broken::kNot, "one").address(), two = world.Host(Broken::kNot, "two").address();
  world.Host(how, "three");
  const auto broken = world.addresses.back();
  world.Start(std::string(kTop) + PoolText("one", {one}) + PoolText("two", {two}) +
              PoolText("three", {broken}) + RoutesText("one") + RoutesText("two") + RoutesText("three"));
  const tcp::endpoint at = world.gateway->address("in");
  // More clients than the broken pool may hold of the places: it must not get the others' too.
  std::optional<Load> third;
  if (how != Broken::kNot)
    third.emplace(world.io, at, 250, 100000, [](std::size_t) { return Get("/three"); });
  Load first(world.io, at, 16, 1500, [](std::size_t) { return Get("/one"); });
  Load second(world.io, at, 16, 1500,
              [](std::size_t i) { return i % 2 == 0 ? Get("/two") : Post("/two", "x"); });
  EXPECT_TRUE(world.Until([&] { return first.Done() && second.Done(); }));
  EXPECT_EQ(first.Total(), 1500u);
  EXPECT_EQ(second.Total(), 1500u);
  return {first.ServedShare(), second.ServedShare(), first.Quantile(0.99), second.Quantile(0.99)};
}

class BesideABrokenPool : public ::testing::TestWithParam<Broken> {};

// Guards healthy pools against one that fails whole. Times are compared in bench/, where the machine is
// quiet: here their share alone has a bound.
TEST_P(BesideABrokenPool, HealthyPoolsKeepTheirServedShare) {
  const Shares alone = LoadBeside(Broken::kNot);
  const Shares beside = LoadBeside(GetParam());
  EXPECT_EQ(alone.one, 1);
  EXPECT_EQ(alone.two, 1);
  EXPECT_GE(beside.one, alone.one - 0.02);
  EXPECT_GE(beside.two, alone.two - 0.02);
  RecordProperty("p99_alone_us", static_cast<int>(alone.one_p99 * 1000));
  RecordProperty("p99_beside_us", static_cast<int>(beside.one_p99 * 1000));
}

std::string NameOf(const ::testing::TestParamInfo<Broken>& info) {
  static const char* const kNames[] = {"Not", "Hangs", "Refuses", "Errors", "Sends3GB"};
  return kNames[static_cast<int>(info.param)];
}

INSTANTIATE_TEST_SUITE_P(Services, BesideABrokenPool,
                         ::testing::Values(Broken::kHangs, Broken::kRefuses, Broken::kErrors,
                                           Broken::kEndless),
                         NameOf);

// Guards the descriptors of one pool against another that holds all it can get.
TEST(Services, DescriptorsThatRunOutInOnePoolAreThereForAnother) {
  World world;
  Peer& hung = world.Host(Broken::kHangs);
  Peer& good = world.Host(Broken::kNot, "good");
  world.Start(std::string(kTop) +
              PoolText("hung", {hung.address()}, "limits = { descriptors = { most = 5 } }\n") +
              PoolText("good", {good.address()}, "limits = { descriptors = { guaranteed = 20 } }\n") +
              RoutesText("hung") + RoutesText("good"));
  std::vector<std::unique_ptr<Client>> waiting;
  for (int i = 0; i < 60; ++i) {
    waiting.push_back(world.Connect());
    waiting.back()->Send(Post("/hung", "x"));
  }
  ASSERT_TRUE(world.Until(
      [&] { return world.gateway->pool("hung")->active_requests() > 5 && !hung.requests.empty(); }));
  Load load(world.io, world.gateway->address("in"), 20, 400, [](std::size_t) { return Get("/good"); });
  ASSERT_TRUE(world.Until([&] { return load.Done(); }));
  EXPECT_EQ(load.served(), 400u);
  EXPECT_LE(hung.connections.size(), 5u);
  EXPECT_LE(world.gateway->pool("hung")->connections(), 5u);
}

// Guards a pool's other tenants, and the other pools, against one tenant that floods it.
TEST(Services, AFloodOfOneTenantIntoOnePoolLeavesTheOthersServed) {
  World world;
  const auto one = world.Host(Broken::kNot, "one").address(), two = world.Host(Broken::kNot, "two").address();
  world.Start(std::string(kTop) +
              "[[tenant]]\nid = \"flood\"\nshare = 1\n[[tenant]]\nid = \"calm\"\nshare = 0\n" +
              PoolText("one", {one}, "limits = { in_flight = 2, queue = 60 }\n") + PoolText("two", {two}) +
              RoutesText("one") + RoutesText("two"));
  const tcp::endpoint at = world.gateway->address("in");
  Load flood(world.io, at, 40, 100000, [](std::size_t) { return Get("/one", "Tenant: flood\r\n"); });
  Load calm(world.io, at, 4, 300, [](std::size_t) { return Get("/one", "Tenant: calm\r\n"); });
  Load other(world.io, at, 8, 600, [](std::size_t) { return Get("/two", "Tenant: calm\r\n"); });
  ASSERT_TRUE(world.Until([&] { return calm.Done() && other.Done(); }));
  EXPECT_EQ(other.served(), 600u);
  EXPECT_GE(calm.ServedShare(), 0.98);
}

// Guards a pool's hosts against more requests a second than they are to get, and tells clients when to come
// back.
TEST(Services, APoolTakesNoMoreASecondThanItsLimit) {
  World world;
  Peer& host = world.Host(Broken::kNot, "a");
  world.Start(std::string(kTop) +
              PoolText("a", {host.address()}, "limits = { requests_per_second = 0.01, burst = 3 }\n") +
              RoutesText("a"));
  const auto client = world.Connect();
  for (std::size_t i = 1; i <= 3; ++i) {
    client->Send(Get("/a"));
    EXPECT_EQ(client->Await(i).result_int(), 200u);
  }
  client->Send(Get("/a"));
  EXPECT_EQ(client->Await(4).result_int(), 429u);
  EXPECT_GE(std::stoi(std::string(client->Await(4)["Retry-After"])), 1);
  EXPECT_FALSE(client->ended());
  EXPECT_EQ(host.requests.size(), 3u);
}

// Guards the memory of one pool against bodies that clients of another promise and never send.
TEST(Services, BodiesPromisedToOnePoolLeaveRoomForAnothers) {
  World world;
  Peer& a = world.Host(Broken::kNot, "a");
  Peer& b = world.Host(Broken::kNot, "b");
  world.Start(std::string(kTop) +
              PoolText("a", {a.address()}, "limits = { body_memory = { most = \"128KiB\" } }\n") +
              PoolText("b", {b.address()}) + RoutesText("a") + RoutesText("b"));
  std::vector<std::unique_ptr<Client>> promising;
  for (int i = 0; i < 3; ++i) {
    promising.push_back(world.Connect());
    promising.back()->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\nx");
  }
  EXPECT_TRUE(world.Until([&] {
    return std::count_if(promising.begin(), promising.end(),
                         [](const auto& c) { return !c->answers().empty(); }) == 1;
  }));
  const auto usual = world.Connect();
  usual->Send(Post("/b", std::string(65536, 'x')));
  EXPECT_EQ(usual->Await().result_int(), 200u);
  promising[0]->Leave();  // gives its part back
  const auto next = world.Connect();
  ASSERT_TRUE(world.Until([&] { return promising.size() == 3 && world.gateway->connections() <= 4; }));
  next->Send(Post("/a", std::string(65536, 'x')));
  EXPECT_EQ(next->Await().result_int(), 200u);
}

// ---- Drains ----------------------------------------------------------------------------------------

// Guards a node that drains: both pools that list it stop at the first word of it, though the other pool's
// list is seconds behind and still says that it is up.
TEST(Services, OneDrainReachesTheNodeInBothPools) {
  World world;
  Peer& shared = world.Host(Broken::kNot, "shared");
  Peer& only_b = world.Host(Broken::kNot, "b");
  Peer& only_a = world.Host(Broken::kNot, "a");
  Peer discovery(world.io);
  const std::string path = ::testing::TempDir() + "forkwick-pool-a-" + std::to_string(getpid()) + ".json";
  const auto write = [&](const std::string& phase) {
    std::ofstream(path + ".new") << "{\"members\":[" << Member("n", shared.address(), phase).dump() << ","
                                 << Member("a", only_a.address()).dump() << "]}";
    ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  };
  write("up");
  world.Start(std::string(kTop) + "[[pool]]\nid = \"a\"\nmembership = { source = \"file\", file = \"" + path +
              "\" }\n" + "[[pool]]\nid = \"b\"\nmembership = { source = \"discovery\", address = \"" +
              ToText(discovery.address()) + "\" }\n" + RoutesText("a") + RoutesText("b"));
  // The second pool's list: both up, and for as long as the test lasts nothing newer.
  discovery.serve = [&, revision = 0](const Peer::Taken& taken) mutable {
    if (revision++ > 0) return;
    taken.Answer(200, List(1, true, {Member("n", shared.address()), Member("b", only_b.address())}).dump());
  };
  ASSERT_TRUE(world.Until([&] { return world.gateway->pool("b")->has_hosts(); }));
  const tcp::endpoint at = world.gateway->address("in");
  Load to_a(world.io, at, 4, 1000000, [](std::size_t) { return Get("/a"); });
  Load to_b(world.io, at, 4, 1000000, [](std::size_t) { return Get("/b"); });
  const auto from = [&](char pool) {
    return std::count_if(shared.requests.begin(), shared.requests.end(),
                         [&](const Peer::Taken& taken) { return taken.http.target()[1] == pool; });
  };
  ASSERT_TRUE(world.Until([&] { return from('a') > 20 && from('b') > 20; }));
  write("draining");
  ASSERT_TRUE(world.Until([&] { return !world.gateway->nodes().drains().empty(); }));
  const Millis told = world.gateway->nodes().drains().at("n").since;
  EXPECT_LE(told, gateway::Now());
  EXPECT_EQ(world.gateway->nodes().PoolsOf("n").size(), 2u);
  // What was written to it before is on its way still; when that has come nothing more may. Both pools go on
  // serving.
  ASSERT_TRUE(world.Until([&] { return gateway::Now() > told + 500; }));
  const std::size_t after = shared.requests.size(), served = to_a.served() + to_b.served();
  ASSERT_TRUE(world.Until([&] { return to_a.served() + to_b.served() > served + 500; }));
  EXPECT_EQ(shared.requests.size(), after);
  EXPECT_EQ(to_a.served() + to_b.served(), to_a.Total() + to_b.Total());
  std::remove(path.c_str());
}

// ---- Reloads ---------------------------------------------------------------------------------------

// Guards requests under way against reloads: every 50 ms another file, each second one broken, under load.
TEST(Services, ReloadsEvery50MsUnderLoadLoseNothing) {
  World world;
  const auto one = world.Host(Broken::kNot, "one").address(), two = world.Host(Broken::kNot, "two").address();
  const auto text = [&](int round) {
    // Pool "one" changes with each good file, pool "two" never does, "extra" and its listener come and go.
    std::string file = std::string(kTop) +
                       PoolText("one", {one}, "attempts = " + std::to_string(1 + round % 4) + "\n") +
                       PoolText("two", {two});
    if (round % 3 == 0)
      file += PoolText("extra", {two}) + RoutesText("extra") +
              "[[listener]]\nid = \"more\"\naddress = \"127.0.0.1:0\"\n";
    return file + RoutesText("one") + RoutesText("two");
  };
  world.Start(text(0));
  const auto kept = world.gateway->pool("two");
  const auto changed = world.gateway->pool("one");
  const tcp::endpoint at = world.gateway->address("in");
  Load to_one(world.io, at, 8, 1000000,
              [](std::size_t i) { return i % 2 == 0 ? Get("/one") : Post("/one", "x"); });
  Load to_two(world.io, at, 8, 1000000, [](std::size_t) { return Get("/two"); });
  int rounds = 0, refused = 0;
  asio::steady_timer timer(world.io);
  std::function<void()> reload = [&] {
    timer.expires_after(std::chrono::milliseconds(50));
    timer.async_wait([&](error_code ec) {
      if (ec || ++rounds > 30) return;
      if (rounds % 2 == 0) {
        const std::string good = text(rounds);
        const auto broken = config::ParseServices(
            good.substr(0, good.size() - 20 - static_cast<std::size_t>(rounds)), "f", "");
        refused += broken.services == nullptr;
      } else {
        const auto error = world.gateway->Reload(Parsed(text(rounds)));
        EXPECT_FALSE(error) << *error;
      }
      reload();
    });
  };
  reload();
  ASSERT_TRUE(world.Until([&] { return rounds > 30; }));
  EXPECT_EQ(refused, 15);
  EXPECT_GT(to_one.served(), 100u);
  EXPECT_EQ(to_one.served(), to_one.Total());
  EXPECT_EQ(to_two.served(), to_two.Total());
  EXPECT_EQ(world.gateway->pool("two"), kept);  // nothing learned is lost
  EXPECT_NE(world.gateway->pool("one"), changed);
  EXPECT_TRUE(world.Until([&] { return world.gateway->draining_pools() <= 1; }));
}

// Guards requests that must not run twice, in a pool that a new file takes away: each runs once and is
// answered once.
TEST(Services, APoolThatIsRemovedEndsItsUnsafeRequestsExactlyOnce) {
  World world;
  Peer& old = world.Host(Broken::kHangs);
  Peer& rest = world.Host(Broken::kNot, "rest");
  const std::string kept = PoolText("rest", {rest.address()}) + RoutesText("rest");
  world.Start(std::string(kTop) + PoolText("old", {old.address()}) + kept + RoutesText("old"));
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(world.Connect());
    clients.back()->Send(Post("/old", "swap " + std::to_string(i)));
  }
  ASSERT_TRUE(world.Until([&] { return old.requests.size() == 6; }));
  ASSERT_FALSE(world.gateway->Reload(Parsed(std::string(kTop) + kept)));
  EXPECT_EQ(world.gateway->draining_pools(), 1u);
  const auto late = world.Connect();
  late->Send(Post("/old", "late"));
  EXPECT_EQ(late->Await().result_int(), 404u);
  old.requests[0].on->Reset();        // may have run: a failure, and nothing again
  old.requests[1].Answer(500, "no");  // the same
  for (std::size_t i = 2; i < 6; ++i) old.requests[i].Answer(200, "done");
  std::map<unsigned, int> statuses;
  for (const auto& client : clients) ++statuses[client->Await().result_int()];
  EXPECT_EQ(statuses, (std::map<unsigned, int>{{200, 4}, {500, 1}, {502, 1}}));
  ASSERT_TRUE(world.Until([&] { return world.gateway->draining_pools() == 0; }));
  EXPECT_EQ(old.requests.size(), 6u);
  for (const auto& client : clients) EXPECT_EQ(client->answers().size(), 1u);
  const auto next = world.Connect();
  next->Send(Get("/rest"));
  EXPECT_EQ(next->Await().body(), "rest");
}

// Guards a running gateway against a file that can't be had whole: nothing of it counts.
TEST(Services, AReloadThatCanNotListenChangesNothing) {
  World world;
  const auto one = world.Host(Broken::kNot, "one").address();
  world.Start(std::string(kTop) + PoolText("one", {one}) + RoutesText("one"));
  const auto before = world.gateway->pool("one");
  tcp::acceptor taken(world.io, Loopback());
  const std::string text =
      std::string(kTop) +
      "[[listener]]\nid = \"free\"\naddress = \"127.0.0.1:0\"\n[[listener]]\nid = \"taken\"\naddress = \"" +
      ToText(taken.local_endpoint()) + "\"\n" + PoolText("two", {one}) + RoutesText("two");
  const auto error = world.gateway->Reload(Parsed(text));
  ASSERT_TRUE(error);
  EXPECT_NE(error->find("listener taken"), std::string::npos) << *error;
  EXPECT_EQ(world.gateway->pool("one"), before);
  EXPECT_EQ(world.gateway->address("free"), tcp::endpoint());
  const auto client = world.Connect();
  client->Send(Get("/one"));
  EXPECT_EQ(client->Await().body(), "one");
}

}  // namespace
}  // namespace opalswitch::testing
