// A planned restart while some clients write slowly: does each request that was written whole to an open
// connection of the ending gateway get an answer?
#include <atomic>
#include <memory>
#include <set>

#include "platform.hpp"
#include "standins.hpp"

namespace {

using namespace review;

constexpr int kHosts = 3;
constexpr double kWorkMs = 300;  // of a recipe-swap: 83 to 150 ms of work and 160 to 290 ms of waiting
constexpr int kAimMs = 1000;
constexpr int kDeadlineMs = 5000;
constexpr int kClientWaitsMs = 2500;   // 50% of the deadline
constexpr double kKillAfterMs = 3700;  // SIGKILL comes no sooner after SIGTERM
constexpr int kClients = 42;  // each sends one request during the restart, on a connection that it keeps
constexpr double kFirstDoneMs = 1500;  // the last byte of the first of them, after SIGTERM
constexpr double kLastDoneMs = 3600;
constexpr double kSlowWriteMs = 1600;  // from a request's first byte to its last; the gateway allows 2 s
constexpr double kQuickWriteMs = 0;    // TROUBLE=0: the same requests, written at once
constexpr int kPieces = 8;
constexpr double kLateAnswerMs = 550;  // after the client's time

// The requests that hosts have received.
class Runs {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  bool Contains(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

void Play(const Arguments& arguments, Record& record) {
  Runs runs;
  std::vector<std::unique_ptr<Host>> hosts;
  std::string members;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "h" + std::to_string(i + 1);
    hosts.push_back(std::make_unique<Host>(name, [&, name](const Message& request) {
      runs.Add(request.Field("req-id"));
      record.Write(name + " runs " + request.Field("req-id"));
      Reply reply;
      reply.after_ms = kWorkMs;
      return reply;
    }));
    members += (i > 0 ? "," : "") + MemberJson(name, hosts.back()->port());
  }
  Host discovery("discovery", DiscoveryOf(members));
  const int port = FreePort();
  PlatformSettings settings;
  settings.categories = CategoryJson("recipe-swap", "side_effect", kAimMs, kDeadlineMs, 0.0);
  const std::string config = arguments.folder + "/config.json";
  WriteFile(config, PlatformConfig(port, discovery.port(), members, settings));
  Gateway gateway(arguments.root, arguments.command, PlatformVariables(config, port, discovery.port()),
                  arguments.folder + "/log");
  gateway.AwaitReady(port);

  std::atomic<int> lost = 0, answered = 0, not_taken = 0;
  const double terminated_at = NowMs() + 2000;
  // Returns a request's text in pieces.
  const auto pieces_of = [](const std::string& id) {
    const std::string text = "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id +
                             "\r\nReq-Kind: recipe-swap\r\nReq-Owner: mesa-verde\r\nReq-Deadline: " +
                             std::to_string(kClientWaitsMs) + "m\r\nContent-Length: 400\r\n\r\n" +
                             std::string(400, 'x');
    std::vector<std::string> pieces;
    for (std::size_t i = 0; i < kPieces; ++i) {
      const std::size_t begin = text.size() * i / kPieces, end = text.size() * (i + 1) / kPieces;
      pieces.push_back(text.substr(begin, end - begin));
    }
    return pieces;
  };
  const auto run_client = [&](int number) {
    const auto connection = Connection::Open(port);
    if (!connection) throw std::runtime_error("the gateway refuses connections");
    Message answer;
    const auto send = [&](const std::string& id, double done_at, double write_ms) {
      const auto pieces = pieces_of(id);
      for (int i = 0; i < kPieces; ++i) {
        SleepUntilMs(done_at - write_ms * (kPieces - 1 - i) / (kPieces - 1));
        // A client sees that its connection was closed or answered before it writes on.
        pollfd descriptor{connection->fd(), POLLIN, 0};
        if (poll(&descriptor, 1, 0) > 0) return false;
        if (!connection->Write(pieces[static_cast<std::size_t>(i)])) return false;
      }
      return true;
    };
    // The connection is in use before the restart.
    const std::string first = "first-" + std::to_string(number);
    if (!send(first, NowMs() + 20.0 * number, 0) ||
        connection->ReadMessage(answer, NowMs() + 3000) != Connection::Read::kMessage)
      throw std::runtime_error("no answer before the restart");
    const std::string id = "swap-" + std::to_string(number);
    const double done_at =
        terminated_at + kFirstDoneMs + (kLastDoneMs - kFirstDoneMs) * number / (kClients - 1);
    const bool is_whole = send(id, done_at, HasTrouble() ? kSlowWriteMs : kQuickWriteMs);
    const double written_at = NowMs();
    const std::string since_term = Fixed(written_at - terminated_at) + " ms after SIGTERM";
    if (!is_whole) {
      ++not_taken;
      return record.Write("client: " + id + " was not written whole (closed or answered before), " +
                          since_term);
    }
    const auto read = connection->ReadMessage(answer, written_at + kClientWaitsMs + kLateAnswerMs);
    if (read == Connection::Read::kMessage) {
      ++answered;
      return record.Write("client: " + id + ", written " + since_term + ", got " +
                          std::to_string(answer.Status()));
    }
    // Without a run the last byte may have crossed the close, and the gateway may not have read the request.
    const bool has_run = runs.Contains(id);
    ++(has_run ? lost : not_taken);
    record.Write("client: " + id + ", written " + since_term + ", got no answer, " +
                 (has_run ? "and a host ran it: " : "and no host ran it: ") +
                 (read == Connection::Read::kEnd
                      ? "the connection ended after " + Fixed(NowMs() - written_at) + " ms"
                      : "nothing came"));
  };
  std::vector<std::thread> clients;
  std::atomic<bool> has_failed = false;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      try {
        run_client(i);
      } catch (const std::exception& error) {
        record.Write(error.what());
        has_failed = true;
      }
    });
  }
  SleepUntilMs(terminated_at);
  record.Write("SIGTERM");
  gateway.Signal(SIGTERM);
  while (!gateway.HasEnded() && NowMs() < terminated_at + kKillAfterMs) SleepMs(1);
  record.Write(gateway.HasEnded() ? "the gateway has ended" : "SIGKILL");
  if (!gateway.HasEnded()) gateway.Signal(SIGKILL);
  for (std::thread& client : clients) client.join();
  record.Write("answered " + std::to_string(answered) + ", not taken " + std::to_string(not_taken) +
               ", lost " + std::to_string(lost));
  if (has_failed) EndWithoutVerdict(record, "the case failed before the restart: " + gateway.Log());
  EndWithVerdict(record, lost == 0);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Play); }
