// Tests of the HTTP server for clients, without pools, over loopback sockets.
#include "http/http_server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peers.hpp"

namespace opalswitch::testing {
namespace {

// Admission handler for tests of the HTTP server alone, without a pool: rejects nothing.
std::optional<gateway::LocalReply> AdmitAll(const HttpRequest&, const routing::Target&,
                                            const gateway::RequestOrigin&, gateway::ClientRequest&) {
  return std::nullopt;
}

using Clients = std::vector<std::unique_ptr<Client>>;

// Clients that have connected and sent nothing.
Clients ConnectSilentClients(asio::io_context& io, const tcp::endpoint& address, std::size_t count) {
  Clients clients;
  for (std::size_t i = 0; i < count; ++i) clients.push_back(std::make_unique<Client>(io, address));
  return clients;
}

// How many of them the server has disconnected.
std::ptrdiff_t CountEnded(const Clients& clients) {
  return std::count_if(clients.begin(), clients.end(), [](const auto& client) { return client->ended(); });
}

// Guards against connections held by clients that send nothing or only part of a request: they must be closed
// in time, the latter with a 408.
TEST(HttpServer, ClosesSilentConnectionsAndTimesOutPartialRequests) {
  asio::io_context io;
  gateway::HttpServerLimits limits;
  limits.first_request_timeout = limits.request_timeout = 1;
  gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
  const tcp::endpoint at = server.Listen("", Loopback());
  Client silent(io, at), half(io, at), body(io, at);
  half.Send("GET /api HTTP/1.1\r\nReq-");
  body.Send("POST /api HTTP/1.1\r\nHost: b\r\nContent-Length: 100\r\n\r\nsome");
  EXPECT_TRUE(silent.AwaitEnd());
  EXPECT_TRUE(silent.answers().empty());
  EXPECT_EQ(half.Await().result(), http::status::request_timeout);
  EXPECT_EQ(body.Await().result(), http::status::request_timeout);
  EXPECT_TRUE(half.AwaitEnd());
}

// Guards memory against messages of many fields, in the header or behind the body: a parsed field takes a
// multiple of its text.
TEST(HttpServer, RefusesARequestWithTooManyFields) {
  const auto fields = [](int count) {
    std::string text;
    for (int i = 0; i < count; ++i) text += "a:b\r\n";
    return text;
  };
  const auto maximum = static_cast<int>(gateway::kMaxFields) - 1;  // Host is one, too
  for (const auto& [count, expected] : {std::pair(maximum, http::status::ok),
                                        std::pair(maximum + 1, http::status::request_header_fields_too_large),
                                        std::pair(3000, http::status::request_header_fields_too_large)}) {
    asio::io_context io;
    gateway::HttpServer server(io, {}, {[] { return true; }, AdmitAll}, "/up");
    Client client(io, server.Listen("", Loopback()));
    client.Send("GET /up HTTP/1.1\r\nHost: b\r\n" + fields(count) + "\r\n");
    EXPECT_EQ(client.Await().result(), expected) << count;
  }
  asio::io_context io;
  gateway::HttpServer server(io, {}, {[] { return true; }, AdmitAll}, "/up");
  Client client(io, server.Listen("", Loopback()));
  client.Send("POST /api HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields(3000) +
              "\r\n");
  EXPECT_EQ(client.Await().result(), http::status::request_header_fields_too_large);
}

// Guards clients between requests against many clients that connect and send nothing: those are closed first.
TEST(HttpServer, EvictsSilentConnectionsBeforeIdleKeepAliveOnes) {
  asio::io_context io;
  gateway::HttpServerLimits limits;
  limits.max_connections = 4;
  limits.first_request_timeout = limits.request_timeout = limits.idle_timeout = 60000;
  limits.new_connection_grace = 0;
  gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
  const tcp::endpoint at = server.Listen("", Loopback());
  Client usual(io, at);
  usual.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_EQ(usual.Await().result(), http::status::ok);
  Clients silent_clients;
  for (int i = 0; i < 20; ++i) {
    silent_clients.push_back(std::make_unique<Client>(io, at));
    if (i % 2 == 0) silent_clients.back()->Send("GET /api HTT");
  }
  EXPECT_TRUE(RunUntil(io, [&] { return CountEnded(silent_clients) >= 17; }));
  EXPECT_FALSE(usual.ended());
  usual.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_EQ(usual.Await(2).result(), http::status::ok);
}

// Guards requests that clients send right behind a response: a connection that is closed to make room says so
// in the response, as the client may have sent the next request by the time of an unannounced close.
TEST(HttpServer, AnnouncesTheCloseOfAConnectionThatMakesRoom) {
  asio::io_context io;
  gateway::HttpServerLimits limits;
  limits.idle_eviction_threshold = 3;
  limits.new_connection_grace = limits.first_request_timeout = limits.idle_timeout = 60000;
  gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
  const tcp::endpoint at = server.Listen("", Loopback());
  Client first(io, at);
  const Clients new_clients = ConnectSilentClients(io, at, 3);
  ASSERT_TRUE(RunUntil(io, [&] { return server.connections() == 4; }));
  first.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_FALSE(first.Await().keep_alive());
  EXPECT_TRUE(first.AwaitEnd());
  EXPECT_TRUE(RunUntil(io, [&] { return server.connections() == 3; }));
  // With another that can be closed instead, a connection stays open.
  Client& resting = *new_clients[0];
  resting.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_TRUE(resting.Await().keep_alive());
  Client last(io, at);
  last.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_TRUE(last.Await().keep_alive());
  EXPECT_TRUE(resting.AwaitEnd());
  EXPECT_FALSE(last.ended());
}

// Guards a new client whose request is still in transit against being closed for the next new client: it
// would reconnect, and so would all. The idle keep-alive connection must be closed instead.
TEST(HttpServer, EvictsAnIdleConnectionBeforeANewOne) {
  asio::io_context io;
  gateway::HttpServerLimits limits;
  limits.max_connections = 3;
  limits.new_connection_grace = limits.first_request_timeout = limits.idle_timeout = 60000;
  gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
  const tcp::endpoint at = server.Listen("", Loopback());
  Client stayed(io, at);
  stayed.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_EQ(stayed.Await().result(), http::status::ok);
  Client one(io, at), two(io, at);
  EXPECT_TRUE(stayed.AwaitEnd());
  for (Client* client : {&one, &two}) {
    client->Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
    EXPECT_EQ(client->Await().result(), http::status::ok);
  }
}

// Guards a client whose first request arrives in pieces against many new clients that send nothing: those are
// closed first.
TEST(HttpServer, EvictsNewSilentConnectionsBeforeOnesWithPartOfARequest) {
  asio::io_context io;
  gateway::HttpServerLimits limits;
  limits.max_connections = 3;
  limits.new_connection_grace = limits.first_request_timeout = limits.request_timeout = 60000;
  gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
  const tcp::endpoint at = server.Listen("", Loopback());
  Client slow(io, at);
  slow.Send("GET /up HTTP/1.1\r\nHo");
  const Clients silent_clients = ConnectSilentClients(io, at, 10);
  EXPECT_TRUE(RunUntil(io, [&] { return CountEnded(silent_clients) == 8; }));
  slow.Send("st: b\r\n\r\n");
  EXPECT_EQ(slow.Await().result(), http::status::ok);
}

// Guards a client that has connected and sent its request, and waits in the kernel's queue because all places
// are taken, against being dropped when the listener is removed.
TEST(HttpServer, ServesAQueuedConnectionThatGetsAPlaceAfterTheListenerWasRemoved) {
  for (const bool stops : {false, true}) {
    SCOPED_TRACE(stops ? "StopListening" : "Unlisten");
    asio::io_context io;
    gateway::HttpServerLimits limits;
    limits.max_connections = 1;
    limits.idle_timeout = limits.request_timeout = 60000;
    gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
    const tcp::endpoint at = server.Listen("", Loopback());
    Client first(io, at);
    first.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
    EXPECT_EQ(first.Await().result(), http::status::ok);
    first.Send("GET /up HTTP");  // a connection with a request that has begun is kept
    Client queued(io, at);
    queued.Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
    EXPECT_TRUE(RunUntil(io, [&] { return io.poll_one() == 0; }));  // all events until now are handled
    stops ? server.StopListening() : server.Unlisten("", Loopback());
    first.Disconnect();
    EXPECT_EQ(queued.Await().result(), http::status::ok);
  }
}

// Guards against a read that is still pending on a parser that the 408 destroyed: what the client sends after
// it must be discarded.
TEST(HttpServer, DiscardsTheRestOfARequestThatWasAnsweredOnTimeout) {
  const std::string first_line = "POST /api HTTP/1.1\r\n";
  const std::string header = first_line + "Host: b\r\nContent-Length: 24000\r\n\r\n";
  struct {
    std::string before, after;
  } const inputs[] = {
      {first_line, "Host: b\r\nContent-Length: 0\r\n\r\n"},
      {header + std::string(2400, 'x'), std::string(1200, 'x')},
      {header + std::string(2400, 'x'), std::string(21600, 'x')},
      {header + std::string(2400, 'x'), ""},  // closes without sending more
  };
  for (const auto& input : inputs) {
    SCOPED_TRACE(std::to_string(input.before.size()) + " bytes, then " + std::to_string(input.after.size()));
    asio::io_context io;
    gateway::HttpServerLimits limits;
    limits.first_request_timeout = limits.request_timeout = 1;
    limits.linger_timeout = 60000;
    gateway::HttpServer server(io, limits, {[] { return true; }, AdmitAll}, "/up");
    Client slow(io, server.Listen("", Loopback()));
    slow.Send(input.before);
    EXPECT_EQ(slow.Await().result(), http::status::request_timeout);
    EXPECT_TRUE(slow.AwaitEnd());  // the server has shut down its sending side
    EXPECT_EQ(server.connections(), 1u);
    slow.Send(input.after);
    slow.Disconnect();
    EXPECT_TRUE(RunUntil(io, [&] { return server.connections() == 0; }));
    EXPECT_EQ(slow.answers().size(), 1u);
  }
}

}  // namespace
}  // namespace opalswitch::testing
