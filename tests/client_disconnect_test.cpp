// Which clients count as disconnected while their request is in progress, over loopback sockets. The clients
// here write at chosen moments between the handlers of the gateway's event loop.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "gateway.hpp"
#include "gateway_harness.hpp"
#include "http/http_server.hpp"
#include "limits/read_throttle.hpp"
#include "standins/hanging_host.hpp"

namespace opalswitch::testing {
namespace {

// A client on an event loop of its own, so that the gateway's loop has only the gateway's handlers.
class SteppedClient {
 public:
  explicit SteppedClient(const tcp::endpoint& address) : socket_(io_) {
    socket_.connect(address);
    socket_.set_option(tcp::no_delay(true));
    socket_.non_blocking(true);
  }

  void Send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
  void Disconnect() { socket_.close(); }
  // Whether all of `text` has been received, at least so many times.
  bool HasReceived(const std::string& text, int times = 1) {
    Receive();
    std::size_t at = 0;
    for (; times > 0 && at != std::string::npos; --times) {
      at = received_.find(text, at);
      if (at != std::string::npos) at += text.size();
    }
    return at != std::string::npos;
  }
  bool ended() {
    Receive();
    return ended_;
  }

 private:
  void Receive() {
    error_code ec;
    char bytes[4096];
    while (!ec && !ended_) {
      const std::size_t size = socket_.read_some(asio::buffer(bytes), ec);
      received_.append(bytes, size);
    }
    ended_ = ended_ || ec != asio::error::would_block;
  }

  asio::io_context io_;
  tcp::socket socket_;
  std::string received_;
  bool ended_ = false;
};

// Answers each request with "response to ID" after `delay`.
void AnswerAfter(asio::io_context& io, Peer& host, std::chrono::milliseconds delay) {
  host.serve = [&io, delay](const Peer::ReceivedRequest& request) {
    const auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([request, timer](error_code) {
      request.Answer(200, "response to " + std::string(request.http["Req-Id"]));
    });
  };
}

// Guards clients whose request arrives in pieces against being taken for disconnected: the second piece may
// be read together with the first, before the event loop handles the wake-up that it caused.
TEST(ClientDisconnect, AWakeupWithoutInputDoesNotEndARequestInProgress) {
  constexpr int kMaxSteps = 8;  // handlers that run between the pieces
  for (const std::string class_name : {"view", "pay"}) {
    const std::string first = ApiRequest("first", class_name), second = ApiRequest("second", class_name);
    for (const std::size_t split : {std::size_t{1}, second.size() / 2, second.size() - 1}) {
      for (int steps = 0; steps <= kMaxSteps; ++steps) {
        SCOPED_TRACE(class_name + ", " + std::to_string(split) + " bytes, then " + std::to_string(steps) +
                     " handlers");
        GatewayHarness harness;
        AnswerAfter(harness.io, harness.host(), std::chrono::milliseconds(1));
        SteppedClient client(harness.gateway->address());
        client.Send(first);
        ASSERT_TRUE(harness.Until([&] { return client.HasReceived("response to first"); }));
        client.Send(second.substr(0, split));
        for (int step = 0; step < steps; ++step) harness.io.poll_one();
        client.Send(second.substr(split));
        ASSERT_TRUE(
            harness.Until([&] { return client.HasReceived("response to second") || client.ended(); }));
        EXPECT_TRUE(client.HasReceived("response to second")) << "closed without a response";
      }
    }
  }
}

// Guards hosts against attempts for a client that has left behind input that was not read: its disconnect
// must end the attempt in flight, so that none follows.
TEST(ClientDisconnect, IsNoticedBehindTheNextRequest) {
  constexpr std::chrono::milliseconds kMaxDelay(100), kSlack(1900);  // the latter for a busy machine
  const std::string first = ApiRequest("first", "view", "20000m");
  const std::string next = ApiRequest("next");
  for (const bool is_read_together : {true, false}) {
    for (const std::size_t size : {std::size_t{1}, next.size()}) {
      SCOPED_TRACE(std::to_string(size) + " bytes, read " + (is_read_together ? "together" : "later"));
      GatewayHarness harness;
      SteppedClient client(harness.gateway->address());
      client.Send(is_read_together ? first + next.substr(0, size) : first);
      ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
      if (!is_read_together) client.Send(next.substr(0, size));
      ASSERT_TRUE(harness.Until([&] { return harness.io.poll_one() == 0; }));  // what has arrived is handled
      const auto left_at = std::chrono::steady_clock::now();
      client.Disconnect();
      EXPECT_TRUE(harness.Until([&] { return harness.host().requests[0].connection->ended; }));
      EXPECT_LT(std::chrono::steady_clock::now() - left_at, kMaxDelay + kSlack);
      EXPECT_EQ(harness.host().requests.size(), 1u);
    }
  }
}

// Guards hosts against an attempt that begins when its connection comes up after its client has left, or has
// got its answer, also where the settings allow no cancelling.
TEST(ClientDisconnect, EndsAnAttemptWhoseConnectionIsNotUpYet) {
  for (const bool can_cancel : {true, false}) {
    for (const bool is_answered : {true, false}) {
      SCOPED_TRACE(std::string(can_cancel ? "can cancel" : "cannot cancel") +
                   (is_answered ? ", answered" : ", left"));
      asio::io_context io;
      HangingHost host(io);
      gateway::Pool::Options options;
      options.settings.classes = {MakeClass("pay", Effect::kUnsafe)};
      options.settings.can_cancel = can_cancel;
      options.upstream.dial_timeout = 20000;
      const auto pool = std::make_shared<gateway::Pool>(io, options);
      gateway::HostList list;
      list.hosts.push_back({MakeServer("h0"), host.address()});
      pool->UpdateMembership(list);
      gateway::ClientRequest request;
      request.id = "r1";
      request.class_name = "pay";
      request.received = gateway::Now();
      request.client_timeout = 20000;
      request.respond = [](const HttpResponse&) {};
      pool->Submit(std::move(request));
      ASSERT_EQ(pool->connections(), 1u);
      is_answered ? pool->FailPending() : pool->ClientDisconnected("r1");
      EXPECT_EQ(pool->connections(), 0u);
      EXPECT_EQ(pool->active_requests(), 0u);
    }
  }
}

// An HTTP server that refuses its first requests and admits the others to a pool of one host. After each
// refusal it puts the next read off.
struct RefusingServer {
  explicit RefusingServer(int refused_requests, Millis max_read_delay = 40)
      : read_delay(max_read_delay),
        refusals_left(refused_requests),
        server(io, {},
               {[] { return true; },
                [this](const HttpRequest& head, const routing::Target&, const gateway::RequestOrigin&,
                       gateway::ClientRequest& request) { return Admit(head, request); }},
               "/up"),
        address(server.Listen("", Loopback())) {
    gateway::Pool::Options options;
    options.settings.classes = {MakeClass("pay", Effect::kUnsafe)};
    options.settings.can_cancel = true;
    pool = std::make_shared<gateway::Pool>(io, options);
    gateway::HostList list;
    list.hosts.push_back({MakeServer("h0"), host.address()});
    pool->UpdateMembership(list);
    AnswerAfter(io, host, std::chrono::milliseconds(1));
  }
  ~RefusingServer() { pool->DropPending(); }

  std::optional<gateway::LocalReply> Admit(const HttpRequest& head, gateway::ClientRequest& request) {
    constexpr double kReadsPerSecond = 0.001;
    if (!throttle) throttle = std::make_shared<limits::ReadThrottle>(kReadsPerSecond, read_delay);
    for (; burst_left > 0; --burst_left) throttle->NextDelay(gateway::Now());
    request.read_throttle = throttle;
    request.id = std::string(head["Req-Id"]);
    request.class_name = "pay";
    request.client_timeout = client_timeout;
    request.pool = pool;
    if (refusals_left-- <= 0) return std::nullopt;
    gateway::LocalReply reply{http::status::too_many_requests, "refused"};
    reply.keep_connection = true;
    return reply;
  }
  bool Until(const std::function<bool()>& done) { return RunUntil(io, done); }

  asio::io_context io;
  Peer host{io};
  std::shared_ptr<gateway::Pool> pool;
  std::shared_ptr<limits::ReadThrottle> throttle;
  const Millis read_delay;
  int burst_left = 30;  // reads that are not put off
  int refusals_left;
  Millis client_timeout = 20000;
  gateway::HttpServer server;
  const tcp::endpoint address;
};

// Guards hosts against requests whose client closed while their reading was put off: after a refusal (the
// client closes before or behind its request), or behind other requests, however many.
TEST(ClientDisconnect, NoRequestThatWasReadLateIsSentForAClientThatHasLeft) {
  for (const int refused : {0, 1, 3}) {
    for (const int unread : {0, 1, 3, 100}) {
      SCOPED_TRACE(std::to_string(refused) + " refused, then " + std::to_string(unread) + " unread");
      RefusingServer harness(refused);
      SteppedClient client(harness.address);
      for (int i = 0; i < refused; ++i) {
        client.Send(ApiRequest("refused" + std::to_string(i), "pay"));
        ASSERT_TRUE(harness.Until([&] { return client.HasReceived("refused\n", i + 1); }));
      }
      const auto served_before = harness.host.requests.size();
      if (refused == 0) {
        ASSERT_TRUE(harness.Until([&] { return harness.server.connections() == 1; }));
      }
      std::string text;
      for (int i = 0; i < unread; ++i) text += ApiRequest("late" + std::to_string(i), "pay");
      if (!text.empty()) client.Send(text);
      client.Disconnect();
      ASSERT_TRUE(harness.Until(
          [&] { return harness.server.connections() == 0 && harness.pool->active_requests() == 0; }));
      EXPECT_EQ(harness.host.requests.size(), served_before);
    }
  }
}

// Guards the same for a client that leaves while the first of its requests is in progress, with fast answers.
TEST(ClientDisconnect, NoFurtherRequestIsSentForAClientThatLeavesDuringTheFirst) {
  for (const int behind : {1, 3, 100}) {
    SCOPED_TRACE(behind);
    RefusingServer harness(0);
    SteppedClient client(harness.address);
    std::string text;
    for (int i = 0; i <= behind; ++i) text += ApiRequest("r" + std::to_string(i), "pay");
    client.Send(text);
    ASSERT_TRUE(harness.Until([&] { return harness.host.requests.size() == 1; }));
    client.Disconnect();
    ASSERT_TRUE(harness.Until([&] { return harness.server.connections() == 0; }));
    EXPECT_EQ(harness.host.requests.size(), 1u);
  }
}

// Guards clients with little time against a wait that is not counted: a request's time runs from its arrival,
// also while its reading is put off, and from its last byte if that comes later.
TEST(ClientDisconnect, TheTimeOfARequestThatIsReadLateCountsFromItsArrival) {
  for (const bool is_in_pieces : {false, true}) {
    SCOPED_TRACE(is_in_pieces ? "in pieces" : "whole");
    constexpr Millis kReadDelay = 400, kClientTimeout = 300;
    RefusingServer harness(1, kReadDelay);
    harness.client_timeout = kClientTimeout;
    SteppedClient client(harness.address);
    client.Send(ApiRequest("refused", "pay"));
    ASSERT_TRUE(harness.Until([&] { return client.HasReceived("refused\n"); }));
    const std::string text = ApiRequest("late", "pay");
    client.Send(text.substr(0, is_in_pieces ? 20 : text.size()));
    if (is_in_pieces) {
      const Millis sent_at = gateway::Now();
      ASSERT_TRUE(harness.Until([&] { return gateway::Now() > sent_at + kReadDelay + kClientTimeout; }));
      client.Send(text.substr(20));
    }
    const std::string wanted = is_in_pieces ? "response to late" : "HTTP/1.1 503";
    EXPECT_TRUE(harness.Until([&] { return client.HasReceived(wanted) || client.ended(); }));
    EXPECT_TRUE(client.HasReceived(wanted));
    EXPECT_EQ(harness.host.requests.size(), is_in_pieces ? 1u : 0u);
  }
}

// Guards unsafe and keyed requests against running twice where the client has lost its connection and sends
// the same request again on a new one.
TEST(ClientDisconnect, ARequestThatComesAgainAfterItsClientLeftDoesNotRunTwice) {
  for (const bool can_cancel : {true, false}) {
    for (const std::string class_name : {"pay", "key", "view"}) {
      SCOPED_TRACE(class_name + (can_cancel ? ", can cancel" : ", cannot cancel"));
      nlohmann::json settings = TestSettings();
      settings["limits"]["cancelling"] = can_cancel;
      GatewayHarness harness(1, settings);
      const std::string request =
          ApiRequest("r1", class_name, "20000m", "", class_name == "key" ? "Idempotency-Key: k1\r\n" : "");
      SteppedClient first(harness.gateway->address());
      first.Send(request);
      ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
      first.Disconnect();
      const auto& attempt = harness.host().requests[0].connection;
      if (can_cancel) {
        ASSERT_TRUE(harness.Until([&] { return attempt->ended; }));
      } else {
        harness.host().requests[0].Answer(200, "");
      }
      ASSERT_TRUE(harness.Until([&] { return harness.io.poll_one() == 0; }));
      harness.host().serve = [](const Peer::ReceivedRequest& again) { again.Answer(200, "again"); };
      const auto second = harness.Connect();
      second->Send(request);
      const bool is_safe = class_name == "view";
      EXPECT_EQ(second->Await().result(), is_safe ? http::status::ok : http::status::conflict);
      EXPECT_EQ(harness.host().requests.size(), is_safe ? 2u : 1u);
    }
  }
}

// Guards a client whose request no host can have run: it may send it again.
TEST(ClientDisconnect, ARequestThatNeverRanMayComeAgain) {
  GatewayHarness harness;
  harness.host().serve = [&](const Peer::ReceivedRequest& request) {
    request.Answer(503, "", "Srv-Declined", "1");
  };
  const auto first = harness.Connect();
  first->Send(ApiRequest("r1", "pay"));
  EXPECT_EQ(first->Await().result(), http::status::service_unavailable);
  harness.host().serve = [](const Peer::ReceivedRequest& request) { request.Answer(200, ""); };
  ASSERT_TRUE(harness.Until([&] {
    const auto again = harness.Connect();
    again->Send(ApiRequest("r1", "pay"));
    EXPECT_NE(again->Await().result(), http::status::conflict);
    return again->Await().result() == http::status::ok;
  }));
}

}  // namespace
}  // namespace opalswitch::testing
