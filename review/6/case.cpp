// A keyed request whose first attempt breaks inside the hosts' window, and whose further attempt needs a
// connection that comes up late: is it still sent when the window is over?
#include <memory>
#include <set>

#include "platform.hpp"
#include "standins.hpp"

namespace {

using namespace review;

constexpr int kHosts = 4;
constexpr int kRepeatWindowMs = 2000;
constexpr int kAimMs = 2000;
constexpr int kDeadlineMs = 4000;
constexpr int kClientWaitsMs = 3200;    // 80% of the deadline
constexpr int kDialTimeoutMs = 1500;    // connections come up at most so late
constexpr double kResetAfterMs = 1400;  // the first attempt's connection breaks
constexpr double kHoldFromMs = 300;     // new connections come up late from here, after the start of a round
constexpr double kHoldUntilMs = 1900;   // to here
constexpr int kRounds = 6;
constexpr int kUploadsBetweenRounds = 30;  // served as usual
constexpr double kWorkMs = 30;
constexpr double kSlackMs = 50;  // "each time limit is 50 ms longer"

// What the hosts of one group share: which keys they have seen, and since when. They drop a repeat for
// kRepeatWindowMs.
class KeyStore {
 public:
  // Returns whether the request runs.
  bool Begin(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Entry& entry = entries_[key];
    const double now = NowMs();
    const bool is_known = entry.runs > 0 && now - entry.first_at <= kRepeatWindowMs + kSlackMs;
    if (entry.runs == 0) entry.first_at = now;
    last_age_ = now - entry.first_at;
    if (!is_known) ++entry.runs;
    return !is_known;
  }
  int RunsOf(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return entries_[key].runs;
  }
  double AgeOf(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return NowMs() - entries_[key].first_at;
  }

 private:
  struct Entry {
    int runs = 0;
    double first_at = 0;
  };
  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  double last_age_ = 0;
};

void Play(const Arguments& arguments, Record& record) {
  KeyStore keys;
  std::mutex breaking_mutex;
  std::set<std::string> breaking;  // keys whose first attempt's connection is reset
  std::vector<std::unique_ptr<Host>> hosts;
  std::string members;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "h" + std::to_string(i + 1);
    hosts.push_back(std::make_unique<Host>(
        name,
        [&, name](const Message& request) {
          const std::string key = request.Field("idempotency-key");
          Reply reply;
          reply.close = true;  // connections are closed early: each attempt needs a new one
          reply.after_ms = kWorkMs;
          const bool runs = keys.Begin(key);
          bool breaks = false;
          {
            const std::lock_guard lock(breaking_mutex);
            breaks = breaking.erase(key) > 0;
          }
          if (breaks) {
            reply.reset = true;
            reply.after_ms = kResetAfterMs;
          }
          if (breaks || key.starts_with("round"))
            record.Write(name + " received key=" + key + (runs ? ", runs it" : ", drops the repeat") + ", " +
                         Fixed(keys.AgeOf(key)) +
                         " ms after its first attempt; Req-Deadline=" + request.Field("req-deadline"));
          return reply;
        },
        /*backlog=*/0));
    members += (i > 0 ? "," : "") + MemberJson(name, hosts.back()->port());
  }
  Host discovery("discovery", DiscoveryOf(members));
  const int port = FreePort();
  PlatformSettings settings;
  settings.categories = CategoryJson("photo-upload", "token", kAimMs, kDeadlineMs, 0.5, kRepeatWindowMs);
  settings.dial_timeout_ms = kDialTimeoutMs;
  const std::string config = arguments.folder + "/config.json";
  WriteFile(config, PlatformConfig(port, discovery.port(), members, settings));
  Gateway gateway(arguments.root, arguments.command, PlatformVariables(config, port, discovery.port()),
                  arguments.folder + "/log");
  gateway.AwaitReady(port);

  int ids = 0;
  const auto upload = [&](const std::string& key) {
    const auto connection = Connection::Open(port);
    if (!connection) throw std::runtime_error("the gateway refuses connections");
    const double sent_at = NowMs();
    connection->Write("POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r" + std::to_string(++ids) +
                      "\r\nReq-Kind: photo-upload\r\nReq-Owner: vehicules\r\nReq-Deadline: " +
                      std::to_string(kClientWaitsMs) + "m\r\nIdempotency-Key: " + key +
                      "\r\nContent-Length: 5\r\n\r\nphoto");
    Message answer;
    const auto read = connection->ReadMessage(answer, sent_at + kClientWaitsMs + 500);
    const std::string result =
        read == Connection::Read::kMessage ? std::to_string(answer.Status()) : "no answer";
    if (key.starts_with("round"))
      record.Write("client: key=" + key + " got " + result + " after " + Fixed(NowMs() - sent_at) + " ms");
    return read == Connection::Read::kMessage && answer.Status() == 200;
  };

  int served = 0;
  const auto usual_uploads = [&](int round) {
    for (int i = 0; i < kUploadsBetweenRounds; ++i)
      served += upload("usual-" + std::to_string(round) + "-" + std::to_string(i));
  };
  bool held = true;
  for (int round = 1; round <= kRounds; ++round) {
    usual_uploads(round);
    const std::string key = "round-" + std::to_string(round);
    const double started_at = NowMs();
    std::thread network;
    if (HasTrouble()) {
      const std::lock_guard lock(breaking_mutex);
      breaking.insert(key);
      network = std::thread([&, started_at] {
        SleepUntilMs(started_at + kHoldFromMs);
        for (const auto& host : hosts) host->HoldConnections();
        SleepUntilMs(started_at + kHoldUntilMs);
        for (const auto& host : hosts) host->ReleaseConnections();
      });
    }
    upload(key);
    if (network.joinable()) network.join();
    SleepMs(200);
    const int runs = keys.RunsOf(key);
    record.Write("key=" + key + " ran " + std::to_string(runs) + " times");
    if (runs > 1) held = false;
  }
  record.Write(std::to_string(served) + " of " + std::to_string(kRounds * kUploadsBetweenRounds) +
               " usual uploads were served");
  if (gateway.HasEnded()) EndWithoutVerdict(record, "the gateway ended: " + gateway.Log());
  if (served < kRounds * kUploadsBetweenRounds / 2)
    EndWithoutVerdict(record, "the gateway served too little: " + gateway.Log());
  EndWithVerdict(record, held);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Play); }
