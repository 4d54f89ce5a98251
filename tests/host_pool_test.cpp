// Tests of the connections to hosts, against scripted hosts on loopback.
#include "upstream/host_pool.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "peers.hpp"

namespace opalswitch::testing {
namespace {

Server MakeHost(const std::string& id) {
  Server server;
  server.id = id;
  return server;
}

// Guards the time between connect and write: a host that starts draining in it must get no byte. The connect
// hangs because the listener's queue is full, and completes when there is room.
TEST(HostPool, WritesNothingToAHostThatDrainsDuringTheConnect) {
  asio::io_context io;
  tcp::acceptor listener(io, tcp::v4());
  listener.bind(Loopback());
  listener.listen(0);
  listener.non_blocking(true);
  const auto at = listener.local_endpoint();
  tcp::socket fill(io);
  fill.connect(at);  // takes the only place in the queue
  gateway::HostPool pool(io, {20000, 60000, 10});
  gateway::HostList list;
  list.hosts.push_back({MakeHost("h0"), at});
  pool.Update(list);
  std::optional<Result> result;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  pool.Start("h0", request, gateway::Now() + 20000, [&](Result r, HttpResponse) { result = r; });
  list.hosts[0].server.state = ServerState::kDraining;
  pool.Update(list);
  std::vector<tcp::socket> accepted;
  ASSERT_TRUE(RunUntil(io, [&] {
    error_code ec;
    tcp::socket socket = listener.accept(ec);
    if (!ec) accepted.push_back(std::move(socket));
    return result.has_value();
  }));
  EXPECT_EQ(*result, Result::kNotSent);
  EXPECT_EQ(pool.connections(), 0u);
  for (auto& socket : accepted) {
    error_code ec;
    EXPECT_EQ(socket.available(ec), 0u);
  }
}

// Guards the connection limit: beyond it an attempt ends as not sent, unless an idle connection can be
// closed.
TEST(HostPool, EnforcesItsConnectionLimit) {
  asio::io_context io;
  Peer one(io), two(io);
  gateway::HostPool pool(io, {5000, 60000, 2});
  gateway::HostList list;
  list.hosts = {{MakeHost("h1"), one.address()}, {MakeHost("h2"), two.address()}};
  pool.Update(list);
  std::vector<Result> results;
  const auto request = std::make_shared<const HttpRequest>(http::verb::get, "/api", 11);
  const auto start = [&](const char* host) {
    return pool.Start(host, request, gateway::Now() + 60000,
                      [&](Result r, HttpResponse) { results.push_back(r); });
  };
  start("h1");
  const auto second = start("h1");
  ASSERT_TRUE(RunUntil(io, [&] { return one.requests.size() == 2; }));
  start("h2");
  EXPECT_EQ(results, std::vector<Result>{Result::kNotSent});
  one.requests[0].Answer(200, "");
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  start("h2");
  EXPECT_TRUE(RunUntil(io, [&] { return two.requests.size() == 1; }));
  EXPECT_EQ(pool.connections(), 2u);
  pool.Cancel(second);
  EXPECT_EQ(results.back(), Result::kCancelled);
  EXPECT_EQ(pool.connections(), 1u);
}

}  // namespace
}  // namespace opalswitch::testing
