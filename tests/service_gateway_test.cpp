// End-to-end tests of the service gateway over loopback sockets: routing, isolation of pools, drains and
// reloads.
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

constexpr char kCommonConfig[] = R"([process]
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
                     const std::string& extra = "") {
  std::string text = "[[pool]]\nid = \"" + id + "\"\n" + extra;
  for (const tcp::endpoint& host : hosts) text += "[[pool.host]]\naddress = \"" + ToText(host) + "\"\n";
  return text;
}

// Routes "/<pool>": GET and HEAD with class "view", other methods with class "change".
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

std::string Get(const std::string& target, const std::string& extra = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + extra + "\r\n";
}
std::string Post(const std::string& target, const std::string& body, const std::string& extra = "") {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + extra + "\r\n" + body;
}

// A gateway with scripted hosts on one event loop.
struct GatewayHarness {
  Peer& Host(HostFailure failure = HostFailure::kNone, const std::string& name = "") {
    hosts.push_back(std::make_unique<Peer>(io));
    addresses.push_back(hosts.back()->address());
    ScriptHost(*hosts.back(), failure, name);
    return *hosts.back();
  }
  void Start(const std::string& text) { gateway.emplace(io, Parsed(text), 7); }
  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address("in")); }
  template <typename Done>
  ::testing::AssertionResult Until(Done done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "condition not met within 30 s";
  }

  asio::io_context io;
  std::vector<std::unique_ptr<Peer>> hosts;
  std::vector<tcp::endpoint> addresses;  // of all hosts, including those that have stopped listening
  std::optional<gateway::ServiceGateway> gateway;
};

// Guards against requests sent to another pool than their route's, and against changed targets or headers.
TEST(Services, RoutesEachRequestToItsPool) {
  GatewayHarness harness;
  const auto a = harness.Host(HostFailure::kNone, "from a").address(),
             b = harness.Host(HostFailure::kNone, "from b").address();
  harness.Start(std::string(kCommonConfig) + PoolText("a", {a}) + PoolText("b", {b}) + RoutesText("a") +
                RoutesText("b"));
  const auto client = harness.Connect();
  client->Send(Get("/a/x?q=1"));
  EXPECT_EQ(client->Await(1).body(), "from a");
  client->Send(Get("/b"));
  EXPECT_EQ(client->Await(2).body(), "from b");
  client->Send(Get("/c"));
  EXPECT_EQ(client->Await(3).result_int(), 404u);
  client->Send(Post("/a", "change"));
  EXPECT_EQ(client->Await(4).body(), "from a");
  const HttpRequest& got = harness.hosts[0]->requests[0].http;
  EXPECT_EQ(got.target(), "/a/x?q=1");
  EXPECT_EQ(got["Host"], "h");
  EXPECT_EQ(got["X-Forwarded-For"], "127.0.0.1");
  EXPECT_EQ(got["Via"], "1.1 forkwick");
  EXPECT_FALSE(got["Req-Id"].empty());
  EXPECT_FALSE(client->ended());
}

// Guards what clients of a plain pool rely on: host responses below 500, and host errors, are forwarded.
TEST(Services, ForwardsHostResponsesInAPlainPool) {
  GatewayHarness harness;
  Peer& host = harness.Host();
  host.serve = [](const Peer::ReceivedRequest& request) {
    const std::string target(request.http.target());
    const int status = std::stoi(target.substr(target.rfind('/') + 1));
    if (status == 204 || status == 304)
      return request.connection->Raw("HTTP/1.1 " + std::to_string(status) + " X\r\n\r\n");
    if (request.http.method() == http::verb::head)
      return request.connection->Raw("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    request.Answer(status, "body", "X-Own", "1");
  };
  harness.Start(std::string(kCommonConfig) + PoolText("a", {host.address()}) + RoutesText("a"));
  std::size_t n = 0;
  const auto client = harness.Connect();
  for (const int status : {200, 201, 301, 404, 418, 429}) {
    client->Send(Post("/a/" + std::to_string(status), "x"));
    const HttpResponse& answer = client->Await(++n);
    EXPECT_EQ(answer.result_int(), static_cast<unsigned>(status));
    EXPECT_EQ(answer.body(), "body");
    EXPECT_EQ(answer["X-Own"], "1");
  }
  client->Send(Post("/a/500", "x"));  // may have run: no retry, and not a refusal
  EXPECT_EQ(client->Await(++n).result_int(), 500u);
  client->Send(Post("/a/503", "x"));  // 503 would invite a retry, but the request may have run
  EXPECT_EQ(client->Await(++n).result_int(), 502u);
  client->Send(Get("/a/204"));
  EXPECT_EQ(client->Await(++n).result_int(), 204u);
  EXPECT_EQ(client->answers()[n - 1].count("Content-Length"), 0u);
  client->Send(Get("/a/304"));
  EXPECT_EQ(client->Await(++n).result_int(), 304u);
  EXPECT_EQ(harness.hosts[0]->requests.size(), 10u);
}

// Guards against a body after a response to HEAD (RFC 9110 9.3.2).
TEST(Services, AnswersHeadWithoutABody) {
  GatewayHarness harness;
  Peer& host = harness.Host();
  host.serve = [](const Peer::ReceivedRequest& request) {
    request.connection->Raw("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
  };
  harness.Start(std::string(kCommonConfig) + PoolText("a", {host.address()}) + RoutesText("a"));
  tcp::socket socket(harness.io);
  socket.connect(harness.gateway->address("in"));
  asio::write(socket, asio::buffer(std::string("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
  std::string text;
  bool ended = false;
  asio::async_read(socket, asio::dynamic_buffer(text), [&](error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(harness.Until([&] { return ended; }));
  EXPECT_NE(text.find("200 OK"), std::string::npos) << text;
  EXPECT_NE(text.find("Content-Length: 77"), std::string::npos) << text;
  EXPECT_TRUE(text.ends_with("\r\n\r\n")) << text;
}

// ---- Ambiguous requests ----------------------------------------------------------------------------

// A raw request with the expected status and, if it is forwarded, the target and Host that the host gets.
struct RawRequest {
  std::string description, text;
  unsigned status;
  std::string forwarded_target = {}, forwarded_host = {};
};

// Guards hosts against requests that they would interpret differently than the gateway (RFC 9112, RFC 3986).
TEST(Services, NormalizeOrRejectAmbiguousRequests) {
  const std::string end = "\r\n\r\n", h = " HTTP/1.1\r\nHost: h";
  const std::vector<RawRequest> cases = {
      {"dot segments", "GET /x/../a/./y" + h + end, 200, "/a/y", "h"},
      {"percent-encoded dot segments", "GET /x/%2e%2E/a" + h + end, 200, "/a", "h"},
      {"double slashes", "GET //a//y" + h + end, 200, "/a/y", "h"},
      {"percent-encoded unreserved characters", "GET /%61/%7ey" + h + end, 200, "/a/~y", "h"},
      {"an encoded slash that does not change the route", "GET /a/x%2fy" + h + end, 200, "/a/x%2Fy", "h"},
      {"an encoded slash that changes the route", "GET /b%2f..%2fa" + h + end, 400},
      {"dots before an encoded slash", "GET /a/..%2fb" + h + end, 400},
      {"parameters that hide dots", "GET /a/..;x/b" + h + end, 400},
      {"encoded backslashes", "GET /a/..%5cb" + h + end, 400},
      {"invalid percent-encoding", "GET /a/%zz" + h + end, 400},
      {"truncated percent-encoding", "GET /a/%4" + h + end, 400},
      {"an encoded NUL", "GET /a%00" + h + end, 400},
      {"overlong UTF-8", "GET /a/%c0%af" + h + end, 400},
      {"a fragment", "GET /a#x" + h + end, 400},
      {"a backslash", "GET /a\\b" + h + end, 400},
      {"invalid percent-encoding in the query", "GET /a?%g" + h + end, 400},
      {"absolute form", "GET http://Ex.Org:81/a?q HTTP/1.1\r\nHost: ex.org:81" + end, 200, "/a?q",
       "ex.org:81"},
      {"absolute form with another Host", "GET http://ex.org/a HTTP/1.1\r\nHost: other" + end, 200, "/a",
       "ex.org"},
      {"absolute form with userinfo", "GET http://u@ex.org/a" + h + end, 400},
      {"another scheme", "GET ftp://ex.org/a" + h + end, 400},
      {"no slash", "GET a" + h + end, 400},
      {"asterisk form", "GET *" + h + end, 400},
      {"no Host", "GET /a HTTP/1.1" + end, 400},
      {"two Hosts", "GET /a" + h + "\r\nHost: h" + end, 400},
      {"Host with userinfo", "GET /a HTTP/1.1\r\nHost: u@h" + end, 400},
      {"Host with a path", "GET /a HTTP/1.1\r\nHost: h/x" + end, 400},
      {"Host with an invalid port", "GET /a HTTP/1.1\r\nHost: h:99999" + end, 400},
      {"an empty Host", "GET /a HTTP/1.1\r\nHost:" + end, 200, "/a", ""},
      {"HTTP/1.0 without Host", "GET /a HTTP/1.0" + end, 200, "/a", ""},
      {"HTTP/1.0 with a transfer coding", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked" + end + "0" + end,
       400},
      {"HTTP/1.2", "GET /a HTTP/1.2\r\nHost: h" + end, 400},
      {"HTTP/2.0", "GET /a HTTP/2.0\r\nHost: h" + end, 400},
      {"CONNECT", "CONNECT h:80" + h + end, 501},
      {"TRACE", "TRACE /a" + h + end, 501},
      {"a space before the colon", "GET /a" + h + "\r\nX : 1" + end, 400},
      {"a field without a name", "GET /a" + h + "\r\n: 1" + end, 400},
      {"a NUL in a field", "GET /a" + h + "\r\nX: " + std::string("\0", 1) + end, 400},
      {"a bare CR in a field", "GET /a" + h + "\r\nX: a\rb" + end, 400},
      {"two Content-Length headers", "POST /a" + h + "\r\nContent-Length: 0\r\nContent-Length: 0" + end, 400},
      {"a list in Content-Length", "POST /a" + h + "\r\nContent-Length: 0, 0" + end, 400},
      {"a signed Content-Length", "POST /a" + h + "\r\nContent-Length: +0" + end, 400},
      {"Content-Length and Transfer-Encoding",
       "POST /a" + h + "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked" + end + "0" + end, 400},
      {"a coding before chunked", "POST /a" + h + "\r\nTransfer-Encoding: gzip, chunked" + end + "0" + end,
       400},
      {"chunked twice", "POST /a" + h + "\r\nTransfer-Encoding: chunked, chunked" + end + "0" + end, 400},
      {"a malformed chunk size", "POST /a" + h + "\r\nTransfer-Encoding: chunked" + end + "zz" + end, 400},
      {"a chunked body", "POST /a" + h + "\r\nTransfer-Encoding: Chunked" + end + "1\r\nx\r\n0" + end, 200,
       "/a", "h"},
  };
  GatewayHarness harness;
  Peer& a = harness.Host(HostFailure::kNone, "a");
  Peer& b = harness.Host(HostFailure::kNone, "b");
  harness.Start(std::string(kCommonConfig) + PoolText("a", {a.address()}) + PoolText("b", {b.address()}) +
                RoutesText("a") + RoutesText("b"));
  for (const RawRequest& raw : cases) {
    SCOPED_TRACE(raw.description);
    const auto before = a.requests.size();
    const auto client = harness.Connect();
    client->Send(raw.text);
    EXPECT_EQ(client->Await().result_int(), raw.status);
    ASSERT_EQ(a.requests.size(), before + (raw.status == 200 ? 1 : 0));
    if (raw.status != 200) continue;
    EXPECT_EQ(a.requests.back().http.target(), raw.forwarded_target);
    EXPECT_EQ(a.requests.back().http["Host"], raw.forwarded_host);
    EXPECT_EQ(a.requests.back().http.count("Host"), 1u);
  }
  EXPECT_TRUE(b.requests.empty());
}

// ---- Isolation of pools ----------------------------------------------------------------------------

// Served share and 99th percentile (ms) of two pools.
struct PoolResults {
  double one, two, one_p99, two_p99;
};

// Loads two healthy pools fully, and a third one whose host fails as given; without load on the third for
// kNone.
PoolResults LoadTwoPoolsBesideAThird(HostFailure failure) {
  GatewayHarness harness;
  const auto one = harness.Host(HostFailure::kNone, "one").address(),
             two = harness.Host(HostFailure::kNone, "two").address();
  harness.Host(failure, "three");
  const auto broken = harness.addresses.back();
  harness.Start(std::string(kCommonConfig) + PoolText("one", {one}) + PoolText("two", {two}) +
                PoolText("three", {broken}) + RoutesText("one") + RoutesText("two") + RoutesText("three"));
  const tcp::endpoint at = harness.gateway->address("in");
  // More clients than the broken pool's share of the client connections: it must not get the others' share
  // too.
  std::optional<Load> third;
  if (failure != HostFailure::kNone)
    third.emplace(harness.io, at, 250, 100000, [](std::size_t) { return Get("/three"); });
  Load first(harness.io, at, 16, 1500, [](std::size_t) { return Get("/one"); });
  Load second(harness.io, at, 16, 1500,
              [](std::size_t i) { return i % 2 == 0 ? Get("/two") : Post("/two", "x"); });
  EXPECT_TRUE(harness.Until([&] { return first.Done() && second.Done(); }));
  EXPECT_EQ(first.Total(), 1500u);
  EXPECT_EQ(second.Total(), 1500u);
  return {first.ServedShare(), second.ServedShare(), first.Quantile(0.99), second.Quantile(0.99)};
}

class BesideABrokenPool : public ::testing::TestWithParam<HostFailure> {};

// Guards healthy pools against one that fails completely. Only the served share is bounded here; latencies
// are compared in bench/, on a quiet machine.
TEST_P(BesideABrokenPool, HealthyPoolsKeepTheirServedShare) {
  const PoolResults alone = LoadTwoPoolsBesideAThird(HostFailure::kNone);
  const PoolResults beside = LoadTwoPoolsBesideAThird(GetParam());
  EXPECT_EQ(alone.one, 1);
  EXPECT_EQ(alone.two, 1);
  EXPECT_GE(beside.one, alone.one - 0.02);
  EXPECT_GE(beside.two, alone.two - 0.02);
  RecordProperty("p99_alone_us", static_cast<int>(alone.one_p99 * 1000));
  RecordProperty("p99_beside_us", static_cast<int>(beside.one_p99 * 1000));
}

std::string FailureName(const ::testing::TestParamInfo<HostFailure>& info) {
  static const char* const kNames[] = {"Not", "Hangs", "Refuses", "Errors", "Sends3GB"};
  return kNames[static_cast<int>(info.param)];
}

INSTANTIATE_TEST_SUITE_P(Services, BesideABrokenPool,
                         ::testing::Values(HostFailure::kHang, HostFailure::kRefuseConnections,
                                           HostFailure::kRespond500, HostFailure::kEndlessResponse),
                         FailureName);

// Guards the descriptors of one pool against another that takes all it can get.
TEST(Services, APoolThatExhaustsItsDescriptorsLeavesOthersTheirs) {
  GatewayHarness harness;
  Peer& hung = harness.Host(HostFailure::kHang);
  Peer& good = harness.Host(HostFailure::kNone, "good");
  harness.Start(std::string(kCommonConfig) +
                PoolText("hung", {hung.address()}, "limits = { descriptors = { most = 5 } }\n") +
                PoolText("good", {good.address()}, "limits = { descriptors = { guaranteed = 20 } }\n") +
                RoutesText("hung") + RoutesText("good"));
  std::vector<std::unique_ptr<Client>> waiting;
  for (int i = 0; i < 60; ++i) {
    waiting.push_back(harness.Connect());
    waiting.back()->Send(Post("/hung", "x"));
  }
  ASSERT_TRUE(harness.Until(
      [&] { return harness.gateway->pool("hung")->active_requests() > 5 && !hung.requests.empty(); }));
  Load load(harness.io, harness.gateway->address("in"), 20, 400, [](std::size_t) { return Get("/good"); });
  ASSERT_TRUE(harness.Until([&] { return load.Done(); }));
  EXPECT_EQ(load.served(), 400u);
  EXPECT_LE(hung.connections.size(), 5u);
  EXPECT_LE(harness.gateway->pool("hung")->connections(), 5u);
}

// Guards other tenants of a pool, and other pools, against one tenant that floods the pool.
TEST(Services, AFloodOfOneTenantLeavesOtherTenantsAndPoolsServed) {
  GatewayHarness harness;
  const auto one = harness.Host(HostFailure::kNone, "one").address(),
             two = harness.Host(HostFailure::kNone, "two").address();
  harness.Start(std::string(kCommonConfig) +
                "[[tenant]]\nid = \"flood\"\nshare = 1\n[[tenant]]\nid = \"calm\"\nshare = 0\n" +
                PoolText("one", {one}, "limits = { in_flight = 2, queue = 60 }\n") + PoolText("two", {two}) +
                RoutesText("one") + RoutesText("two"));
  const tcp::endpoint at = harness.gateway->address("in");
  Load flood(harness.io, at, 40, 100000, [](std::size_t) { return Get("/one", "Tenant: flood\r\n"); });
  Load calm(harness.io, at, 4, 300, [](std::size_t) { return Get("/one", "Tenant: calm\r\n"); });
  Load other(harness.io, at, 8, 600, [](std::size_t) { return Get("/two", "Tenant: calm\r\n"); });
  ASSERT_TRUE(harness.Until([&] { return calm.Done() && other.Done(); }));
  EXPECT_EQ(other.served(), 600u);
  EXPECT_GE(calm.ServedShare(), 0.98);
}

// Guards hosts against more requests a second than the pool's limit, and clients against a 429 without
// Retry-After.
TEST(Services, APoolEnforcesItsRequestRateLimit) {
  GatewayHarness harness;
  Peer& host = harness.Host(HostFailure::kNone, "a");
  harness.Start(std::string(kCommonConfig) +
                PoolText("a", {host.address()}, "limits = { requests_per_second = 0.01, burst = 3 }\n") +
                RoutesText("a"));
  const auto client = harness.Connect();
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

// Guards the body memory of one pool against clients of another that announce bodies and never send them.
TEST(Services, UnsentBodiesOfOnePoolLeaveMemoryForOthers) {
  GatewayHarness harness;
  Peer& a = harness.Host(HostFailure::kNone, "a");
  Peer& b = harness.Host(HostFailure::kNone, "b");
  harness.Start(std::string(kCommonConfig) +
                PoolText("a", {a.address()}, "limits = { body_memory = { most = \"128KiB\" } }\n") +
                PoolText("b", {b.address()}) + RoutesText("a") + RoutesText("b"));
  std::vector<std::unique_ptr<Client>> stalled_uploads;
  for (int i = 0; i < 3; ++i) {
    stalled_uploads.push_back(harness.Connect());
    stalled_uploads.back()->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\nx");
  }
  EXPECT_TRUE(harness.Until([&] {
    return std::count_if(stalled_uploads.begin(), stalled_uploads.end(),
                         [](const auto& c) { return !c->answers().empty(); }) == 1;
  }));
  const auto usual = harness.Connect();
  usual->Send(Post("/b", std::string(65536, 'x')));
  EXPECT_EQ(usual->Await().result_int(), 200u);
  stalled_uploads[0]->Disconnect();  // releases its reserved memory
  const auto next = harness.Connect();
  ASSERT_TRUE(
      harness.Until([&] { return stalled_uploads.size() == 3 && harness.gateway->connections() <= 4; }));
  next->Send(Post("/a", std::string(65536, 'x')));
  EXPECT_EQ(next->Await().result_int(), 200u);
}

// ---- Drains ----------------------------------------------------------------------------------------

// Guards a draining node listed by two pools: both must stop using it at the first report, although the other
// pool's list is seconds behind and still says that it is up.
TEST(Services, ADrainReportedByOnePoolAppliesToTheNodeInBothPools) {
  GatewayHarness harness;
  Peer& shared = harness.Host(HostFailure::kNone, "shared");
  Peer& only_b = harness.Host(HostFailure::kNone, "b");
  Peer& only_a = harness.Host(HostFailure::kNone, "a");
  Peer discovery(harness.io);
  const std::string path = ::testing::TempDir() + "forkwick-pool-a-" + std::to_string(getpid()) + ".json";
  const auto write = [&](const std::string& phase) {
    std::ofstream(path + ".new") << "{\"members\":[" << Member("n", shared.address(), phase).dump() << ","
                                 << Member("a", only_a.address()).dump() << "]}";
    ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  };
  write("up");
  harness.Start(std::string(kCommonConfig) +
                "[[pool]]\nid = \"a\"\nmembership = { source = \"file\", file = \"" + path + "\" }\n" +
                "[[pool]]\nid = \"b\"\nmembership = { source = \"discovery\", address = \"" +
                ToText(discovery.address()) + "\" }\n" + RoutesText("a") + RoutesText("b"));
  // The second pool's list says that both hosts are up, and does not change during the test.
  discovery.serve = [&, revision = 0](const Peer::ReceivedRequest& request) mutable {
    if (revision++ > 0) return;
    request.Answer(200, List(1, true, {Member("n", shared.address()), Member("b", only_b.address())}).dump());
  };
  ASSERT_TRUE(harness.Until([&] { return harness.gateway->pool("b")->has_hosts(); }));
  const tcp::endpoint at = harness.gateway->address("in");
  Load to_a(harness.io, at, 4, 1000000, [](std::size_t) { return Get("/a"); });
  Load to_b(harness.io, at, 4, 1000000, [](std::size_t) { return Get("/b"); });
  const auto from = [&](char pool) {
    return std::count_if(
        shared.requests.begin(), shared.requests.end(),
        [&](const Peer::ReceivedRequest& request) { return request.http.target()[1] == pool; });
  };
  ASSERT_TRUE(harness.Until([&] { return from('a') > 20 && from('b') > 20; }));
  write("draining");
  ASSERT_TRUE(harness.Until([&] { return !harness.gateway->nodes().drains().empty(); }));
  const Millis drained_at = harness.gateway->nodes().drains().at("n").since;
  EXPECT_LE(drained_at, gateway::Now());
  EXPECT_EQ(harness.gateway->nodes().PoolsOf("n").size(), 2u);
  // Requests sent before the drain may still be in transit; after they have arrived no more may come. Both
  // pools continue to serve.
  ASSERT_TRUE(harness.Until([&] { return gateway::Now() > drained_at + 500; }));
  const std::size_t after = shared.requests.size(), served = to_a.served() + to_b.served();
  ASSERT_TRUE(harness.Until([&] { return to_a.served() + to_b.served() > served + 500; }));
  EXPECT_EQ(shared.requests.size(), after);
  EXPECT_EQ(to_a.served() + to_b.served(), to_a.Total() + to_b.Total());
  std::remove(path.c_str());
}

// ---- Reloads ---------------------------------------------------------------------------------------

// Guards requests in progress against reloads: under load, a new file every 50 ms, every second one invalid.
TEST(Services, ReloadsEvery50MsUnderLoadLoseNoRequest) {
  GatewayHarness harness;
  const auto one = harness.Host(HostFailure::kNone, "one").address(),
             two = harness.Host(HostFailure::kNone, "two").address();
  const auto text = [&](int round) {
    // Pool "one" changes with each valid file, pool "two" never; "extra" and its listener are added and
    // removed.
    std::string file = std::string(kCommonConfig) +
                       PoolText("one", {one}, "attempts = " + std::to_string(1 + round % 4) + "\n") +
                       PoolText("two", {two});
    if (round % 3 == 0)
      file += PoolText("extra", {two}) + RoutesText("extra") +
              "[[listener]]\nid = \"more\"\naddress = \"127.0.0.1:0\"\n";
    return file + RoutesText("one") + RoutesText("two");
  };
  harness.Start(text(0));
  const auto kept = harness.gateway->pool("two");
  const auto changed = harness.gateway->pool("one");
  const tcp::endpoint at = harness.gateway->address("in");
  Load to_one(harness.io, at, 8, 1000000,
              [](std::size_t i) { return i % 2 == 0 ? Get("/one") : Post("/one", "x"); });
  Load to_two(harness.io, at, 8, 1000000, [](std::size_t) { return Get("/two"); });
  int rounds = 0, refused = 0;
  asio::steady_timer timer(harness.io);
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
        const auto error = harness.gateway->Reload(Parsed(text(rounds)));
        EXPECT_FALSE(error) << *error;
      }
      reload();
    });
  };
  reload();
  ASSERT_TRUE(harness.Until([&] { return rounds > 30; }));
  EXPECT_EQ(refused, 15);
  EXPECT_GT(to_one.served(), 100u);
  EXPECT_EQ(to_one.served(), to_one.Total());
  EXPECT_EQ(to_two.served(), to_two.Total());
  EXPECT_EQ(harness.gateway->pool("two"), kept);  // the unchanged pool keeps its state
  EXPECT_NE(harness.gateway->pool("one"), changed);
  EXPECT_TRUE(harness.Until([&] { return harness.gateway->draining_pools() <= 1; }));
}

// Guards unsafe requests in a pool that a reload removes: each must run once and be answered once.
TEST(Services, ARemovedPoolEndsItsUnsafeRequestsExactlyOnce) {
  GatewayHarness harness;
  Peer& old = harness.Host(HostFailure::kHang);
  Peer& rest = harness.Host(HostFailure::kNone, "rest");
  const std::string kept = PoolText("rest", {rest.address()}) + RoutesText("rest");
  harness.Start(std::string(kCommonConfig) + PoolText("old", {old.address()}) + kept + RoutesText("old"));
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(harness.Connect());
    clients.back()->Send(Post("/old", "swap " + std::to_string(i)));
  }
  ASSERT_TRUE(harness.Until([&] { return old.requests.size() == 6; }));
  ASSERT_FALSE(harness.gateway->Reload(Parsed(std::string(kCommonConfig) + kept)));
  EXPECT_EQ(harness.gateway->draining_pools(), 1u);
  const auto late = harness.Connect();
  late->Send(Post("/old", "late"));
  EXPECT_EQ(late->Await().result_int(), 404u);
  old.requests[0].connection->Reset();  // may have run: a failure, without a retry
  old.requests[1].Answer(500, "no");    // the same
  for (std::size_t i = 2; i < 6; ++i) old.requests[i].Answer(200, "done");
  std::map<unsigned, int> statuses;
  for (const auto& client : clients) ++statuses[client->Await().result_int()];
  EXPECT_EQ(statuses, (std::map<unsigned, int>{{200, 4}, {500, 1}, {502, 1}}));
  ASSERT_TRUE(harness.Until([&] { return harness.gateway->draining_pools() == 0; }));
  EXPECT_EQ(old.requests.size(), 6u);
  for (const auto& client : clients) EXPECT_EQ(client->answers().size(), 1u);
  const auto next = harness.Connect();
  next->Send(Get("/rest"));
  EXPECT_EQ(next->Await().body(), "rest");
}

// Guards a running gateway against a partially applied file: if one listener can't be opened, nothing may
// change.
TEST(Services, AReloadThatCanNotListenChangesNothing) {
  GatewayHarness harness;
  const auto one = harness.Host(HostFailure::kNone, "one").address();
  harness.Start(std::string(kCommonConfig) + PoolText("one", {one}) + RoutesText("one"));
  const auto before = harness.gateway->pool("one");
  tcp::acceptor occupied(harness.io, Loopback());
  const std::string text =
      std::string(kCommonConfig) +
      "[[listener]]\nid = \"free\"\naddress = \"127.0.0.1:0\"\n[[listener]]\nid = \"taken\"\naddress = \"" +
      ToText(occupied.local_endpoint()) + "\"\n" + PoolText("two", {one}) + RoutesText("two");
  const auto error = harness.gateway->Reload(Parsed(text));
  ASSERT_TRUE(error);
  EXPECT_NE(error->find("listener taken"), std::string::npos) << *error;
  EXPECT_EQ(harness.gateway->pool("one"), before);
  EXPECT_EQ(harness.gateway->address("free"), tcp::endpoint());
  const auto client = harness.Connect();
  client->Send(Get("/one"));
  EXPECT_EQ(client->Await().body(), "one");
}

}  // namespace
}  // namespace opalswitch::testing
