// forkwick as a process, with hundreds of clients that hold its memory, or one that sends without pause: the
// process must stay within the platform's limit on memory, and answer the other clients in time.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway_process.hpp"
#include "peers.hpp"

namespace opalswitch::testing {
namespace {

using std::chrono::milliseconds;

constexpr double kMemoryLimitMb = 192;
constexpr double kPricedFromMb = kMemoryLimitMb / 2;  // memory over half of the limit is priced
constexpr int kDescriptors = 1024;
constexpr std::size_t kLargeHeadBytes = 16000;
constexpr milliseconds kRequestInterval(20);
// The usual clients' time for an answer is 5 s; half a second after it the request counts as lost.
constexpr milliseconds kUsualAnswerTime(5500);
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kCountsMemory = false;  // the sanitizer's own memory is several times the program's
constexpr int kHostileClients = 50;    // parsing takes some forty times as long
#else
constexpr bool kCountsMemory = true;
constexpr int kHostileClients = 500;
#endif

// "a:b" fields, as many as the header may hold.
std::string ShortFields() {
  std::string fields;
  while (fields.size() < kLargeHeadBytes - 300) fields += "a:b\r\n";
  return fields;
}

// A gateway on the platform under its limits, a host that answers at once, and a client that sends a request
// every kRequestInterval on one connection. A request for a hostile client stays unanswered.
class HostileClients : public ::testing::Test {
 protected:
  HostileClients() {
    host_.keeps_requests = false;
    host_.serve = [](const Peer::ReceivedRequest& request) {
      if (!request.http["Req-Id"].starts_with("hostile")) request.Answer(200, "");
    };
    GatewayProcess::Options options;
    options.hosts = {host_.address()};
    options.settings = TestSettings();
    options.discovery = discovery_.address();
    options.limits = {{"cores", 1.0}, {"memory_mb", kMemoryLimitMb}, {"sockets", kDescriptors}};
    gateway_ = std::make_unique<GatewayProcess>(io_, options);
    EXPECT_TRUE(RunUntil(io_, [this] { return discovery_.requests.size() == 1; }));
  }

  // Runs the usual client for a while and checks its answers and the gateway's memory.
  void ServeUsualClientFor(milliseconds duration) {
    std::unique_ptr<Client> client;
    const SteadyTime end = std::chrono::steady_clock::now() + duration;
    milliseconds slowest(0);
    int sent = 0;
    while (std::chrono::steady_clock::now() < end) {
      const SteadyTime sent_at = std::chrono::steady_clock::now();
      ASSERT_TRUE(IsServed(client, "usual" + std::to_string(++sent)));
      const auto now = std::chrono::steady_clock::now();
      slowest = std::max(slowest, std::chrono::duration_cast<milliseconds>(now - sent_at));
      RunFor(kRequestInterval);
    }
    ASSERT_FALSE(gateway_->process().HasExited());
    const double peak_memory = gateway_->process().PeakMemoryMb();
    std::printf("%d requests, slowest answer %d ms, peak memory %.1f MB\n", sent,
                static_cast<int>(slowest.count()), peak_memory);
    EXPECT_LE(slowest, kUsualAnswerTime);
    if (kCountsMemory) {
      EXPECT_LE(peak_memory, kPricedFromMb);
    }
  }

  // Sends a request. Where many clients are connected the gateway closes idle connections: a request that
  // crosses such a close is sent once more on a new one.
  bool IsServed(std::unique_ptr<Client>& client, const std::string& id) {
    for (int tries = 0; tries < 2; ++tries) {
      if (!client || client->ended()) client = std::make_unique<Client>(io_, gateway_->address());
      const std::size_t answered = client->answers().size();
      client->Send(ApiRequest(id));
      EXPECT_TRUE(RunUntil(io_, [&] { return client->answers().size() > answered || client->ended(); }));
      if (client->answers().size() > answered) return client->answers().back().result() == http::status::ok;
    }
    return false;
  }

  // All hostile clients connect and send these bytes, and stay.
  void ConnectAndSend(const std::function<std::string(int)>& text) {
    for (int i = 0; i < kHostileClients; ++i) {
      clients_.push_back(std::make_unique<Client>(io_, gateway_->address()));
      clients_.back()->Send(text(i));
      io_.poll();
    }
  }

  // One client sends these messages without pause on one connection, and opens a new one where that ends.
  void SendWithoutPause(const std::function<std::string(int)>& message) {
    std::atomic<bool> is_done = false;
    std::thread sender([&] {
      asio::io_context io;
      for (int number = 0; !is_done;) {
        tcp::socket socket(io);
        error_code ec;
        socket.connect(gateway_->address(), ec);
        socket.non_blocking(true, ec);
        while (!ec && !is_done) {
          std::string batch;
          for (int i = 0; i < 20; ++i) batch += message(++number);
          SendBatch(socket, batch, is_done, ec);
        }
      }
    });
    ServeUsualClientFor(milliseconds(3000));
    is_done = true;
    sender.join();
  }

  void RunFor(milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) io_.run_one_until(end);
  }

  // Writes all of it, and reads what has been answered meanwhile.
  static void SendBatch(tcp::socket& socket, const std::string& batch, const std::atomic<bool>& is_done,
                        error_code& ec) {
    char answers[65536];
    for (std::size_t written = 0; written < batch.size() && !is_done;) {
      written += socket.write_some(asio::buffer(batch) + written, ec);
      if (ec && ec != asio::error::would_block) return;
      socket.read_some(asio::buffer(answers), ec);
      if (ec && ec != asio::error::would_block) return;
      ec.clear();
    }
  }

  asio::io_context io_;
  Peer host_{io_}, discovery_{io_};
  std::unique_ptr<GatewayProcess> gateway_;
  std::vector<std::unique_ptr<Client>> clients_;
};

// Guards the process's memory against heads of very many short fields, which take a multiple of their size
// once they are parsed: with bodies that stop half way, and with requests that are in progress.
TEST_F(HostileClients, HeadsOfManyShortFieldsWithHalfABodyStayWithinTheMemory) {
  const std::string fields = ShortFields();
  ConnectAndSend([&](int i) {
    return "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: hostile" + std::to_string(i) +
           "\r\nReq-Kind: pay\r\nReq-Deadline: 5000m\r\nContent-Length: 60000\r\n" + fields + "\r\n" +
           std::string(30000, 'x');
  });
  ServeUsualClientFor(milliseconds(1500));
}
TEST_F(HostileClients, RequestsOfManyShortFieldsInProgressStayWithinTheMemory) {
  const std::string fields = ShortFields();
  ConnectAndSend(
      [&](int i) { return ApiRequest("hostile" + std::to_string(i), "view", "5000m", "", fields); });
  ServeUsualClientFor(milliseconds(1500));
}

// Guards the same against large heads that are never completed, and bodies that stop half way.
TEST_F(HostileClients, UnfinishedHeadsStayWithinTheMemory) {
  const std::string head = ApiRequest("hostile", "view", "5000m", "", ShortFields());
  ConnectAndSend([&](int) { return head.substr(0, head.size() - 2); });
  ServeUsualClientFor(milliseconds(1500));
}
TEST_F(HostileClients, UnfinishedBodiesStayWithinTheMemory) {
  const std::string request = ApiRequest("hostile", "pay", "5000m", std::string(64000, 'x'));
  ConnectAndSend([&](int) { return request.substr(0, request.size() - 1); });
  ServeUsualClientFor(milliseconds(1500));
}

// Guards other clients, and the memory, against one that sends small requests at full speed, also under ever
// new names.
TEST_F(HostileClients, HealthChecksWithoutPauseDelayNobody) {
  SendWithoutPause([](int) { return std::string("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); });
}
TEST_F(HostileClients, RequestsUnderNewNamesWithoutPauseDelayNobody) {
  SendWithoutPause([](int number) {
    const std::string name = "n" + std::to_string(number);
    return ApiRequest(name, "pay", "50m", "", "Req-Owner: " + name + "\r\nReq-Key: " + name + "\r\n");
  });
}
TEST_F(HostileClients, RequestsOfUnknownClassesWithoutPauseDelayNobody) {
  SendWithoutPause(
      [](int number) { return ApiRequest("n" + std::to_string(number), "class" + std::to_string(number)); });
}
TEST_F(HostileClients, UnsoundRequestsWithoutPauseDelayNobody) {
  SendWithoutPause([](int number) { return "GE\x01T /" + std::to_string(number) + " HTTP/9.9\r\n\r\n"; });
}

}  // namespace
}  // namespace opalswitch::testing
