// Discovery has too many callers for two seconds and refuses calls, each after a second. As soon as it
// answers again, a host begins to drain. Does the host get new work later than 0.5 s after the drain counts
// as told?
#include <atomic>
#include <condition_variable>
#include <memory>
#include <random>

#include "platform.hpp"
#include "standins.hpp"

namespace {

using namespace review;

constexpr int kDeployments = 6;  // of one gateway each, side by side, to play more rounds at once
constexpr int kHosts = 3;        // of each
constexpr int kClients = 3;      // of each
constexpr int kRounds = 6;
constexpr double kRefusedAfterMs = 1000;  // a call "that waited too long" ends with 503
constexpr int kRefusals = 2;              // in a round
constexpr double kToldAfterMs = 6000;     // "at the latest 6 s after discovery had it and could be reached"
constexpr double kGraceMs = 500 + 50;     // "0.5 s", and "each time limit is 50 ms longer"
constexpr double kObservedMs = 7800;      // after a drain
constexpr double kMaxPauseMs = 50;        // of a client, between an answer and its next request
constexpr double kMaxWorkMs = 30;

double Random(double below) {
  thread_local std::mt19937 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, below)(engine);
}

// A discovery service: the list, watches, and for a while refusals.
class Discovery {
 public:
  Discovery(std::vector<std::string> ids, std::vector<int> ports)
      : ids_(std::move(ids)),
        ports_(std::move(ports)),
        phases_(ids_.size(), "up"),
        changed_at_(ids_.size(), 1),
        server_("discovery", [this](const Message& request) { return Handle(request); }) {}

  int port() const { return server_.port(); }
  std::string Members() {
    const std::lock_guard lock(mutex_);
    return MembersSince(0);
  }
  void SetPhase(std::size_t host, const std::string& phase) {
    const std::lock_guard lock(mutex_);
    phases_[host] = phase;
    changed_at_[host] = ++revision_;
    news_.notify_all();
  }
  // Refuses the next calls, and sends news, which ends the watch.
  void RefuseCalls(int calls) {
    const std::lock_guard lock(mutex_);
    refusals_left_ = refusals_open_ = calls;
    changed_at_.back() = ++revision_;
    news_.notify_all();
  }
  // Whether calls are still refused.
  bool IsRefusing() {
    const std::lock_guard lock(mutex_);
    return refusals_open_ > 0;
  }

 private:
  Reply Handle(const Message& request) {
    std::unique_lock lock(mutex_);
    Reply reply;
    if (refusals_left_ > 0) {
      --refusals_left_;
      lock.unlock();
      SleepMs(kRefusedAfterMs);
      lock.lock();
      --refusals_open_;
      reply.status = 503;
      return reply;
    }
    const std::string target = request.Target();
    const auto after_at = target.find("after="), wait_at = target.find("wait_ms=");
    const int after = after_at == std::string::npos ? 0 : std::atoi(target.c_str() + after_at + 6);
    const double wait = wait_at == std::string::npos ? 0 : std::atof(target.c_str() + wait_at + 8);
    news_.wait_for(lock, std::chrono::duration<double, std::milli>(wait), [&] { return revision_ > after; });
    reply.body = "{\"revision\":" + std::to_string(revision_) +
                 ",\"complete\":" + (after_at == std::string::npos ? "true" : "false") + ",\"members\":[" +
                 MembersSince(after) + "]}";
    return reply;
  }
  std::string MembersSince(int revision) const {
    std::string members;
    for (std::size_t i = 0; i < ids_.size(); ++i) {
      if (changed_at_[i] > revision)
        members += (members.empty() ? "" : ",") + MemberJson(ids_[i], ports_[i], phases_[i]);
    }
    return members;
  }

  const std::vector<std::string> ids_;
  const std::vector<int> ports_;
  std::mutex mutex_;
  std::condition_variable news_;
  std::vector<std::string> phases_;
  std::vector<int> changed_at_;
  int revision_ = 1;
  int refusals_left_ = 0, refusals_open_ = 0;
  Host server_;
};

// One gateway with its hosts, its discovery and its clients.
class Deployment {
 public:
  Deployment(int number, const Arguments& arguments, Record& record)
      : name_("deployment " + std::to_string(number)), record_(record) {
    std::vector<std::string> ids;
    std::vector<int> ports;
    for (int i = 0; i < kHosts; ++i) {
      ids.push_back("h" + std::to_string(i + 1));
      hosts_.push_back(std::make_unique<Host>(ids.back(), [this, i](const Message&) {
        if (i == 0) OnRequestToFirstHost();
        Reply reply;
        reply.after_ms = Random(kMaxWorkMs);
        return reply;
      }));
      ports.push_back(hosts_.back()->port());
    }
    discovery_ = std::make_unique<Discovery>(ids, ports);
    port_ = FreePort();
    PlatformSettings settings;
    settings.categories = CategoryJson("basket-view", "pure", 400, 800, 0.0);
    char seed[17];
    std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(Random(1e15)));
    settings.seed = seed;
    const std::string config = arguments.folder + "/config-" + std::to_string(number) + ".json";
    WriteFile(config, PlatformConfig(port_, discovery_->port(), discovery_->Members(), settings));
    gateway_ = std::make_unique<Gateway>(arguments.root, arguments.command,
                                         PlatformVariables(config, port_, discovery_->port()),
                                         arguments.folder + "/log-" + std::to_string(number));
  }

  void AwaitReady() { gateway_->AwaitReady(port_); }
  Gateway& gateway() { return *gateway_; }
  int late() const { return late_; }
  int served() const { return served_; }
  int not_served() const { return not_served_; }

  void Play() {
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) clients.emplace_back([this, i] { RunClient(i); });
    SleepMs(2000);
    for (int round = 1; round <= kRounds; ++round) {
      if (HasTrouble()) discovery_->RefuseCalls(kRefusals);
      for (const double end = NowMs() + 5000; discovery_->IsRefusing() && NowMs() < end;) SleepMs(1);
      SleepMs(5);
      const double now = NowMs();
      last_sent_after_ = 0;
      drained_at_ = now;
      discovery_->SetPhase(0, "draining");
      SleepUntilMs(now + kObservedMs);
      drained_at_ = kNever;
      record_.Write(name_ + ", round " + std::to_string(round) + ": h1 received requests until " +
                    Fixed(last_sent_after_) + " ms after discovery had its drain and could be reached");
      discovery_->SetPhase(0, "up");
      SleepMs(1200);
    }
    is_over_ = true;
    for (std::thread& client : clients) client.join();
  }

 private:
  static constexpr double kNever = 1e12;

  void OnRequestToFirstHost() {
    const double since = NowMs() - drained_at_;
    if (since < 0) return;
    last_sent_after_ = since;
    if (since > kToldAfterMs + kGraceMs) ++late_;
  }

  void RunClient(int number) {
    std::unique_ptr<Connection> connection;
    for (int i = 0; !is_over_; ++i) {
      if (!connection) connection = Connection::Open(port_);
      Message answer;
      const bool is_answered =
          connection &&
          connection->Write(
              "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: c" + std::to_string(number) + "-" +
              std::to_string(i) +
              "\r\nReq-Kind: basket-view\r\nReq-Owner: mesa-verde\r\nReq-Deadline: 440m\r\n\r\n") &&
          connection->ReadMessage(answer, NowMs() + 1000) == Connection::Read::kMessage;
      ++(is_answered && answer.Status() == 200 ? served_ : not_served_);
      if (!is_answered || answer.Field("connection") == "close") connection.reset();
      SleepMs(Random(kMaxPauseMs));
    }
  }

  const std::string name_;
  Record& record_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::unique_ptr<Discovery> discovery_;
  int port_ = 0;
  std::unique_ptr<Gateway> gateway_;
  std::atomic<double> drained_at_ = kNever, last_sent_after_ = 0;
  std::atomic<int> late_ = 0, served_ = 0, not_served_ = 0;
  std::atomic<bool> is_over_ = false;
};

void Play(const Arguments& arguments, Record& record) {
  std::vector<std::unique_ptr<Deployment>> deployments;
  for (int i = 0; i < kDeployments; ++i)
    deployments.push_back(std::make_unique<Deployment>(i + 1, arguments, record));
  for (const auto& deployment : deployments) deployment->AwaitReady();
  std::vector<std::thread> threads;
  for (const auto& deployment : deployments) threads.emplace_back([&deployment] { deployment->Play(); });
  for (std::thread& thread : threads) thread.join();
  int late = 0, served = 0, not_served = 0;
  for (const auto& deployment : deployments) {
    late += deployment->late();
    served += deployment->served();
    not_served += deployment->not_served();
    if (deployment->gateway().HasEnded()) EndWithoutVerdict(record, "a gateway ended");
  }
  record.Write("served " + std::to_string(served) + ", not served " + std::to_string(not_served) +
               "; requests that h1 received over " + Fixed(kToldAfterMs + kGraceMs) +
               " ms after its drain: " + std::to_string(late));
  record.Write("the log of the first gateway:\n" + deployments[0]->gateway().Log());
  if (served < not_served) EndWithoutVerdict(record, "the gateways served too little");
  EndWithVerdict(record, late == 0);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Play); }
