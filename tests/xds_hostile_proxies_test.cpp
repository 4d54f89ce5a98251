// forkwick-control as a process, with hundreds of proxies that subscribe to many long names, and with one
// that does so without pause under ever new names: its memory is bounded over all of them, and others learn
// of a drain in time.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "process.hpp"
#include "services_text.hpp"
#include "standins/xds_client.hpp"

namespace opalswitch::testing {
namespace {

using xds::ResourceType;

constexpr double kMemoryLimitMb = 192;
constexpr int kHostileProxies = 200;
constexpr int kNamesPerProxy = 4000;
constexpr std::size_t kNameBytes = 500;
constexpr std::chrono::milliseconds kDrainGrace(500);
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kCountsMemory = false;  // the sanitizer's own memory is several times the program's
#else
constexpr bool kCountsMemory = true;
#endif

// A running service with a strict pool "one" of the endpoints a and b.
class HostileProxies : public ::testing::Test {
 protected:
  HostileProxies() {
    char pattern[] = "/tmp/forkwick-hostile-XXXXXX";
    folder_ = mkdtemp(pattern);
    SaveHosts("up");
    std::ofstream(folder_ + "/f.toml")
        << "[control]\naddress = \"127.0.0.1:0\"\nsocket = \"s\"\ndrains = \"drains.json\"\n"
        << kListenerAndClasses << "[[pool]]\nid = \"one\"\ndrain = \"strict\"\n"
        << "membership = { source = \"file\", file = \"hosts.json\" }\n[[pool]]\nid = \"two\"\n"
        << "host = [{ id = \"c\", address = \"10.0.0.3:80\" }]\n"
        << kRoutesToOneAndTwo;
    process_ = std::make_unique<Process>(Process::Arguments{{"run", "--config", folder_ + "/f.toml"}});
  }
  ~HostileProxies() override {
    process_.reset();
    for (const char* const name : {"hosts.json", "f.toml", "drains.json", "s"})
      unlink((folder_ + "/" + name).c_str());
    rmdir(folder_.c_str());
  }

  void SaveHosts(const std::string& phase_of_a) const {
    std::ofstream(folder_ + "/hosts.json.new")
        << R"({"members":[{"id":"a","phase":")" << phase_of_a
        << R"(","host_port":"10.0.0.1:80"},{"id":"b","phase":"up","host_port":"10.0.0.2:80"}]})";
    std::rename((folder_ + "/hosts.json.new").c_str(), (folder_ + "/hosts.json").c_str());
  }

  static std::vector<std::string> Names(int proxy) {
    std::vector<std::string> names;
    for (int i = 0; i < kNamesPerProxy; ++i) {
      std::string name = std::to_string(proxy) + "-" + std::to_string(i) + "-";
      names.push_back(name.append(kNameBytes - name.size(), 'x'));
    }
    return names;
  }

  // The usual proxy stops using a draining endpoint in time, and the service is within its memory.
  void ExpectADrainInTime(XdsClient& usual) {
    ASSERT_TRUE(usual.Await([&] { return usual.MayRouteTo("one", "10.0.0.1", /*is_locked=*/true); }));
    SaveHosts("draining");
    const auto began_at = std::chrono::steady_clock::now();
    ASSERT_TRUE(usual.Await([&] { return !usual.MayRouteTo("one", "10.0.0.1", /*is_locked=*/true); }));
    const auto delay =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began_at);
    const double peak_memory = process_->PeakMemoryMb();
    std::printf("drain after %d ms, peak memory %.1f MB\n", static_cast<int>(delay.count()), peak_memory);
    EXPECT_LE(delay, kDrainGrace);
    EXPECT_FALSE(process_->HasExited());
    if (kCountsMemory) {
      EXPECT_LE(peak_memory, kMemoryLimitMb);
    }
  }

  std::string folder_;
  std::unique_ptr<Process> process_;
};

TEST_F(HostileProxies, NamesOfHundredsOfProxiesStayWithinTheMemory) {
  const int port = AwaitControlPort(*process_);
  XdsClient usual(port, true, "usual");
  ASSERT_TRUE(ConnectAndReceiveAll(usual));
  std::vector<std::unique_ptr<XdsClient>> hostile;
  for (int i = 0; i < kHostileProxies; ++i) {
    hostile.push_back(std::make_unique<XdsClient>(port, true, "hostile" + std::to_string(i)));
    hostile.back()->Connect();
    hostile.back()->Subscribe(ResourceType::kEndpoint, Names(i));
  }
  for (const auto& proxy : hostile) {
    EXPECT_TRUE(proxy->Await(
        [&] { return proxy->has_ended() || proxy->response_count(ResourceType::kEndpoint) > 0; }));
  }
  ExpectADrainInTime(usual);
}

TEST_F(HostileProxies, NewNamesWithoutPauseDelayNobody) {
  const int port = AwaitControlPort(*process_);
  XdsClient usual(port, true, "usual");
  ASSERT_TRUE(ConnectAndReceiveAll(usual));
  std::atomic<bool> is_done = false;
  std::thread sender([&] {
    for (int number = 0; !is_done; ++number) {
      XdsClient hostile(port, true, "hostile" + std::to_string(number));
      hostile.Connect();
      for (int i = 0; i < 5 && !is_done; ++i)
        hostile.Subscribe(ResourceType::kEndpoint, Names(10 * number + i));
    }
  });
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  int heartbeats = usual.heartbeat_count();
  while (std::chrono::steady_clock::now() < end) {
    EXPECT_TRUE(usual.Await([&] { return usual.heartbeat_count() > heartbeats; }));
    heartbeats = usual.heartbeat_count();
  }
  ExpectADrainInTime(usual);
  is_done = true;
  sender.join();
}

}  // namespace
}  // namespace opalswitch::testing
