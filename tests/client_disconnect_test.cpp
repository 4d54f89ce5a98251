// Which clients count as disconnected while their request is in progress, over loopback sockets. The clients
// here write at chosen moments between the handlers of the gateway's event loop.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "base/clock.hpp"
#include "gateway.hpp"
#include "gateway_harness.hpp"
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
  // Whether all of `text` has been received.
  bool HasReceived(const std::string& text) {
    Receive();
    return received_.find(text) != std::string::npos;
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

}  // namespace
}  // namespace opalswitch::testing
