// A tenant sends 3.4 times what its pool takes, and its clients retry at once. Does every request that was
// written to an accepted connection get its answer, and does no attempt begin for a client that has gone?
#include <atomic>
#include <memory>

#include "standins.hpp"

namespace {

using namespace review;

constexpr int kHosts = 2;
constexpr double kWorkMs = 20;
constexpr int kPoolTakesPerS = 100;        // requests_per_second of the pool, the tenant's share
constexpr double kUsualPartOfShare = 0.6;  // TROUBLE=0
constexpr double kOverloadMultiple = 3.4;  // of the share
constexpr int kClientRetries = 3;          // at once
constexpr int kClassDeadlineMs = 400;
constexpr int kTryMs = 220;  // a try is given up after 55% of the deadline
constexpr double kLostAfterMs =
    kTryMs + 500 + 50;           // "up to half a second after its time it only earns nothing"
constexpr double kGoneMs = 100;  // no attempt begins later than this after the client's close
constexpr double kSlackMs = 50;
constexpr int kClients = 150;
constexpr double kRunMs = 20000;

struct Totals {
  std::atomic<int> sent = 0, served = 0, refused = 0, failed = 0, closed = 0, given_up = 0, lost = 0,
                   late_attempts = 0;
};

// When the client of a request closed its connection, by Req-Id.
class Departures {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    at_[id] = NowMs();
  }
  // Milliseconds since the client closed; negative if it has not.
  double Since(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = at_.find(id);
    return found == at_.end() ? -1 : NowMs() - found->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, double> at_;
};

std::string ServicesText(int port, const std::vector<std::unique_ptr<Host>>& hosts) {
  std::ostringstream out;
  out << "[process]\nhealth_path = \"/up\"\n"
      << "[request]\nid_header = \"Req-Id\"\ndeadline_header = \"Req-Deadline\"\n"
      << "[[listener]]\nid = \"public\"\naddress = \"" << AddressOf(port) << "\"\n"
      << "[[class]]\nid = \"pause-week\"\neffect = \"unsafe\"\naim = \"200ms\"\ndeadline = \""
      << kClassDeadlineMs << "ms\"\n"
      << "[[pool]]\nid = \"baskets\"\n  [pool.limits]\n  requests_per_second = " << kPoolTakesPerS << "\n";
  for (const auto& host : hosts)
    out << "  [[pool.host]]\n  id = \"" << host->name() << "\"\n  address = \"" << AddressOf(host->port())
        << "\"\n";
  out << "[[route]]\nid = \"all\"\nprefix = \"/\"\npool = \"baskets\"\nclass = \"pause-week\"\n";
  return out.str();
}

// A client keeps one connection, and opens a new one when it has given a try up. Every second client waits
// for its answer until it counts as lost; the others close when they give up.
class Client {
 public:
  Client(int number, int port, Totals& totals, Departures& departures, Record& record)
      : number_(number), port_(port), totals_(totals), departures_(departures), record_(record) {}

  void Run(double first_at, double interval) {
    for (double next = first_at; next < kRunMs; next = std::max(next + interval, NowMs())) {
      SleepUntilMs(next);
      for (int tries = 0; tries <= kClientRetries && Try(tries > 0); ++tries) {
      }
    }
  }

 private:
  // Sends one request. Returns whether to retry.
  bool Try(bool is_retry) {
    const bool is_patient = number_ % 2 == 0;
    if (!connection_) connection_ = Connection::Open(port_);
    if (!connection_) return false;
    const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(++requests_);
    ++totals_.sent;
    const bool is_written =
        connection_->Write("POST /week HTTP/1.1\r\nHost: baskets\r\nReq-Id: " + id +
                           "\r\nReq-Deadline: " + std::to_string(kTryMs) + "m\r\n" +
                           (is_retry ? "Req-Retry: 1\r\n" : "") + "Content-Length: 0\r\n\r\n");
    const double sent_at = NowMs();
    Message answer;
    const auto read = is_written
                          ? connection_->ReadMessage(answer, sent_at + (is_patient ? kLostAfterMs : kTryMs))
                          : Connection::Read::kEnd;
    if (read == Connection::Read::kMessage) {
      const int status = answer.Status();
      ++(status == 200 ? totals_.served : status == 429 || status == 503 ? totals_.refused : totals_.failed);
      if (answer.Field("connection") == "close") connection_.reset();
      return status == 429 || status == 503;
    }
    if (read == Connection::Read::kEnd) {  // the close may have crossed the request
      ++totals_.closed;
      connection_.reset();
      return true;
    }
    if (is_patient) {
      if (++totals_.lost <= 20)
        record_.Write("client: request " + id + " has had no answer for " + Fixed(NowMs() - sent_at) +
                      " ms; its client waited " + std::to_string(kTryMs) + " ms");
    } else {
      ++totals_.given_up;
    }
    connection_.reset();
    departures_.Add(id);
    return true;
  }

  const int number_, port_;
  Totals& totals_;
  Departures& departures_;
  Record& record_;
  std::unique_ptr<Connection> connection_;
  int requests_ = 0;
};

void Play(const Arguments& arguments, Record& record) {
  Totals totals;
  Departures departures;
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "basket-" + std::to_string(i + 1);
    hosts.push_back(std::make_unique<Host>(name, [&, name](const Message& request) {
      const std::string id = request.Field("req-id");
      const double since = departures.Since(id);
      if (since > kGoneMs + kSlackMs && ++totals.late_attempts <= 20)
        record.Write(name + " received request " + id + " " + Fixed(since) +
                     " ms after its client had closed");
      Reply reply;
      reply.after_ms = kWorkMs;
      return reply;
    }));
  }
  const int port = FreePort();
  const std::string file = arguments.folder + "/services.toml";
  WriteFile(file, ServicesText(port, hosts));
  Gateway gateway(arguments.root, arguments.command + " run --config " + file, {}, arguments.folder + "/log");
  gateway.AwaitReady(port);

  const double rate = kPoolTakesPerS * (HasTrouble() ? kOverloadMultiple : kUsualPartOfShare);
  record.Write(Fixed(rate) + " first tries a second, of " + std::to_string(kPoolTakesPerS) +
               " that the pool takes");
  const double interval = kClients * 1000 / rate;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  const double begin = NowMs();
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(i, port, totals, departures, record));
    threads.emplace_back(
        [&, i] { clients[static_cast<std::size_t>(i)]->Run(begin + i * interval / kClients, interval); });
  }
  for (std::thread& thread : threads) thread.join();
  SleepMs(1500);
  const auto number = [](const std::atomic<int>& n) { return std::to_string(n.load()); };
  record.Write("sent " + number(totals.sent) + ", served " + number(totals.served) + ", refused " +
               number(totals.refused) + ", failed " + number(totals.failed) + ", closed " +
               number(totals.closed) + ", given up by clients " + number(totals.given_up) +
               ", without an answer until " + Fixed(kLostAfterMs) + " ms " + number(totals.lost) +
               ", attempts begun over " + Fixed(kGoneMs + kSlackMs) + " ms after the client's close " +
               number(totals.late_attempts));
  if (gateway.HasEnded()) EndWithoutVerdict(record, "the gateway ended: " + gateway.Log());
  if (totals.served == 0) EndWithoutVerdict(record, "nothing was served: " + gateway.Log());
  EndWithVerdict(record, totals.lost == 0 && totals.late_attempts == 0);
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Play); }
