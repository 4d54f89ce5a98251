// Requests that arrive at the end of a planned stop, over loopback sockets: once the pending ones are failed,
// each further one is refused, and none reaches a host.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway_harness.hpp"

namespace opalswitch::testing {
namespace {

// The drain begins and the pending requests are failed within some milliseconds.
constexpr gateway::StopTimes kShortStop = {1, 1, 20};

// A gateway that is about to stop, whose host never answers.
struct StoppingGateway : GatewayHarness {
  // Returns a client whose connection has been in use.
  std::unique_ptr<Client> ConnectUsed() {
    auto client = Connect();
    client->Send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
    EXPECT_EQ(client->Await().result(), http::status::ok);
    return client;
  }
  void Stop() {
    gateway->Stop([this] { is_done = true; }, kShortStop);
  }
  void HandleArrivedInput() {
    EXPECT_TRUE(Until([this] { return io.poll_one() == 0; }));
  }

  bool is_done = false;
};

// Guards against requests that become whole after the pending ones were failed: they were run by a host, and
// the process ended without an answer.
TEST(Stop, RefusesARequestThatIsBeingSentAtTheEnd) {
  const std::string request = ApiRequest("late", "pay", "5000m", "body");
  for (const bool is_first : {true, false}) {
    for (const std::size_t split : {std::size_t{1}, request.size() / 2, request.size() - 1}) {
      SCOPED_TRACE(std::to_string(split) + " bytes, " + (is_first ? "new" : "used") + " connection");
      StoppingGateway harness;
      const auto client = is_first ? harness.Connect() : harness.ConnectUsed();
      const std::size_t answered = client->answers().size();
      client->Send(request.substr(0, split));
      harness.HandleArrivedInput();
      harness.Stop();
      const HttpResponse& response = client->Await(answered + 1);
      EXPECT_EQ(response.result(), http::status::service_unavailable);
      EXPECT_EQ(response[gateway::kCauseHeader], "stopping");
      EXPECT_FALSE(response.keep_alive());
      client->Send(request.substr(split));  // crosses the answer
      EXPECT_TRUE(client->AwaitEnd());
      client->Disconnect();
      EXPECT_TRUE(harness.Until([&] { return harness.is_done; }));
      EXPECT_EQ(client->answers().size(), answered + 1);
      EXPECT_TRUE(harness.host().requests.empty());
    }
  }
}

// Guards the same for requests that wait behind one in progress, however many: each gets an answer, the last
// one although it is not whole.
TEST(Stop, AnswersAllRequestsBehindOneThatIsFailed) {
  for (const int behind : {0, 1, 3, 40}) {
    for (const bool has_partial : {false, true}) {
      SCOPED_TRACE(std::to_string(behind) + " behind, " + (has_partial ? "one more not whole" : "all whole"));
      StoppingGateway harness;
      const auto client = harness.Connect();
      client->Send(ApiRequest("first", "pay", "20000m"));
      ASSERT_TRUE(harness.Until([&] { return harness.host().requests.size() == 1; }));
      std::string text;
      for (int i = 0; i < behind; ++i)
        text += ApiRequest("r" + std::to_string(i), "pay", "20000m", std::string(2000, 'x'));
      if (has_partial) text += ApiRequest("partial", "pay", "20000m", "body").substr(0, 60);
      client->Send(text);
      harness.Stop();
      const std::size_t answers = 1 + static_cast<std::size_t>(behind) + (has_partial ? 1 : 0);
      EXPECT_EQ(client->Await(answers).result(),
                answers == 1 ? http::status::gateway_timeout : http::status::service_unavailable);
      EXPECT_TRUE(client->AwaitEnd());
      EXPECT_EQ(client->answers()[0].result(), http::status::gateway_timeout);
      for (std::size_t i = 1; i < answers; ++i)
        EXPECT_EQ(client->answers()[i].result(), http::status::service_unavailable) << i;
      EXPECT_EQ(harness.host().requests.size(), 1u);
      client->Disconnect();
      EXPECT_TRUE(harness.Until([&] { return harness.is_done; }));
    }
  }
}

// Guards the same for a connection that comes at the end, and whose request follows later.
TEST(Stop, RefusesTheFirstRequestOfAConnectionThatCameAtTheEnd) {
  for (const std::size_t split : {std::size_t{0}, std::size_t{1}, std::size_t{50}}) {
    SCOPED_TRACE(split);
    asio::io_context io;
    gateway::HttpServer server(
        io, {},
        {[] { return true; }, [](const HttpRequest&, const routing::Target&, const gateway::RequestOrigin&,
                                 gateway::ClientRequest&) { return std::nullopt; }},
        "/up");
    const tcp::endpoint address = server.Listen("", Loopback());
    bool is_drained = false;
    server.Drain([&] { is_drained = true; });
    const std::string request = ApiRequest("late", "pay", "5000m", "body");
    Client before(io, address);
    ASSERT_TRUE(RunUntil(io, [&] { return server.connections() == 1; }));
    server.RefuseRequests();
    Client after(io, address);
    ASSERT_TRUE(RunUntil(io, [&] { return server.connections() == 2; }));
    for (Client* const client : {&before, &after}) {
      client->Send(request.substr(0, split));
      ASSERT_TRUE(RunUntil(io, [&] { return io.poll_one() == 0; }));
      client->Send(request.substr(split));
      EXPECT_EQ(client->Await().result(), http::status::service_unavailable);
      EXPECT_TRUE(client->AwaitEnd());
      client->Disconnect();
    }
    server.StopListening();
    EXPECT_TRUE(RunUntil(io, [&] { return is_drained; }));
  }
}

}  // namespace
}  // namespace opalswitch::testing
