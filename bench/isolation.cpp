// Isolation of pools: how much of their served requests, and how much latency (99th percentile), two healthy
// pools lose when a third pool is broken. Two gateways run at the same time, one under load on the broken
// pool and one without, and get the same load on the healthy pools, so that other activity on the machine
// affects both alike.
//   isolation [ROUNDS [KIND]]     KIND: hangs, refuses, 500, 3GB, all (the default)
// Each kind is measured with healthy hosts that answer at once, and again with hosts that answer after
// kServiceTime: with no service time, 0.1 ms more is already half of a request's latency.
// The gateways, the hosts and the clients run in processes of their own. The healthy pools get requests at a
// fixed rate (open loop: late answers don't lower it); each client of the broken pool sends its next request
// as soon as the last one has ended.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "config/services.hpp"
#include "gateway/service_gateway.hpp"
#include "standins/load.hpp"

namespace opalswitch::testing {
namespace {

constexpr std::size_t kConnectionsPerPool = 64;  // of each healthy pool's load
constexpr double kRequestsPerSecond = 800;       // to each healthy pool
constexpr int kDurationSeconds = 4;
constexpr std::size_t kBrokenPoolClients = 200;
constexpr std::chrono::milliseconds kServiceTime(5);

// An open-loop load: each request has a scheduled time, and its latency is counted from that time.
class SteadyLoad {
 public:
  SteadyLoad(asio::io_context& io, const tcp::endpoint& at, std::string request, double rate,
             std::size_t total)
      : io_(io), at_(at), request_(std::move(request)), interval_s_(1 / rate), total_(total), timer_(io) {
    for (std::size_t i = 0; i < kConnectionsPerPool; ++i) {
      idle_.push_back(std::make_shared<Connection>(io_));
      idle_.back()->socket.connect(at_);
      idle_.back()->socket.set_option(tcp::no_delay(true));
    }
    start_ = Clock::now();
    ScheduleNext();
  }
  bool IsDone() const { return answered_ + lost_ == total_; }
  double ServedFraction() const {
    return static_cast<double>(latencies_ms.size()) / static_cast<double>(total_);
  }
  double Quantile(double fraction) {
    if (latencies_ms.empty()) return NAN;
    std::sort(latencies_ms.begin(), latencies_ms.end());
    return latencies_ms[static_cast<std::size_t>(fraction * static_cast<double>(latencies_ms.size() - 1))];
  }
  std::vector<double> latencies_ms;

 private:
  using Clock = std::chrono::steady_clock;
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
  };

  Clock::time_point ScheduledTime(std::size_t i) const {
    return start_ + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(interval_s_ * static_cast<double>(i)));
  }
  void ScheduleNext() {
    if (sent_ == total_) return;
    timer_.expires_at(ScheduledTime(sent_));
    timer_.async_wait([this](error_code ec) {
      if (ec) return;
      while (sent_ < total_ && ScheduledTime(sent_) <= Clock::now()) Send(ScheduledTime(sent_++));
      ScheduleNext();
    });
  }
  void Send(Clock::time_point due) {
    if (idle_.empty()) {  // all connections have a request in flight
      ++lost_;
      return;
    }
    const auto connection = idle_.back();
    idle_.pop_back();
    asio::async_write(
        connection->socket, asio::buffer(request_), [this, connection, due](error_code ec, std::size_t) {
          if (ec) return RecordLost(connection);
          connection->parser.emplace();
          http::async_read(connection->socket, connection->buffer, *connection->parser,
                           [this, connection, due](error_code read_ec, std::size_t) {
                             if (read_ec) return RecordLost(connection);
                             ++answered_;
                             if (connection->parser->get().result_int() == 200) {
                               latencies_ms.push_back(
                                   std::chrono::duration<double, std::milli>(Clock::now() - due).count());
                             }
                             connection->parser->get().keep_alive() ? idle_.push_back(connection)
                                                                    : Reconnect(connection);
                           });
        });
  }
  void RecordLost(const std::shared_ptr<Connection>& connection) {
    ++lost_;
    Reconnect(connection);
  }
  void Reconnect(const std::shared_ptr<Connection>& connection) {
    connection->socket = tcp::socket(io_);
    connection->buffer.consume(connection->buffer.size());
    connection->socket.async_connect(at_, [this, connection](error_code ec) {
      if (!ec) idle_.push_back(connection);
    });
  }

  asio::io_context& io_;
  const tcp::endpoint at_;
  const std::string request_;
  const double interval_s_;
  const std::size_t total_;
  asio::steady_timer timer_;
  Clock::time_point start_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::size_t sent_ = 0, answered_ = 0, lost_ = 0;
};

// Makes the peer answer with `name` after `time`.
void SetResponses(Peer& peer, std::chrono::milliseconds time, const std::string& name) {
  if (time.count() == 0) return ScriptHost(peer, HostFailure::kNone, name);
  peer.serve = [&peer, time, name](const Peer::ReceivedRequest& request) {
    const auto timer = std::make_shared<asio::steady_timer>(request.connection->socket.get_executor(), time);
    timer->async_wait([timer, request, name](error_code) { request.Answer(200, name); });
  };
}

struct Measurements {
  double served_fraction = 0, p50_ms = 0, p99_ms = 0;
};

std::string PoolText(const std::string& id, const tcp::endpoint& host) {
  return "[[pool]]\nid = \"" + id + "\"\nhost = [{ address = \"" + ToText(host) +
         "\" }]\n[[route]]\nprefix = \"/" + id + "\"\npool = \"" + id + "\"\nclass = \"view\"\n";
}

// A child process that reports its ports over a pipe. The destructor kills it.
class Child {
 public:
  // Runs `run` in the child, which passes its ports to the function that it is given and then serves until it
  // is killed.
  explicit Child(const std::function<void(const std::function<void(std::vector<unsigned short>)>&)>& run) {
    int ends[2];
    if (pipe(ends) != 0) std::abort();
    pid_ = fork();
    if (pid_ == 0) {
      run([&](const std::vector<unsigned short>& ports) {
        if (write(ends[1], ports.data(), ports.size() * sizeof(ports[0])) < 0) _exit(1);
        close(ends[1]);
      });
      _exit(0);
    }
    close(ends[1]);
    unsigned short port = 0;
    while (read(ends[0], &port, sizeof port) == sizeof port) ports.push_back(port);
    close(ends[0]);
  }
  ~Child() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  std::vector<unsigned short> ports;

 private:
  pid_t pid_;
};

// The worse of the two healthy pools, at the gateway without load on the broken pool (`alone`) and at the one
// with it (`beside`).
struct Comparison {
  Measurements alone, beside;
};

Comparison MeasurePair(HostFailure failure, std::chrono::milliseconds time) {
  const Child hosts([time](const auto& report_ports) {
    asio::io_context io(1);
    Peer one(io), two(io);
    one.keeps_requests = two.keeps_requests = false;
    SetResponses(one, time, "one");
    SetResponses(two, time, "two");
    report_ports({one.address().port(), two.address().port()});
    io.run();
  });
  // In a process of its own, so that its work does not slow down the healthy hosts.
  const Child broken([failure](const auto& report_ports) {
    asio::io_context io(1);
    Peer three(io);
    three.keeps_requests = false;
    const unsigned short port = three.address().port();
    ScriptHost(three, failure, "three");
    report_ports({port});
    const auto work = asio::make_work_guard(io);  // keeps running also if it has no listening socket
    io.run();
  });
  const auto run_gateway = [&](const auto& report_ports) {
    const std::string text =
        "[process]\ndescriptors = 1000\n[[listener]]\nid = \"in\"\naddress = \"127.0.0.1:0\"\n[[class]]\nid "
        "= \"view\"\n"
        "effect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n" +
        PoolText("one", Loopback(hosts.ports[0])) + PoolText("two", Loopback(hosts.ports[1])) +
        PoolText("three", Loopback(broken.ports[0]));
    const auto parsed = config::ParseServices(text, "bench", "");
    if (!parsed.services) _exit(1);
    if (std::freopen("/dev/null", "w", stderr) == nullptr) _exit(1);
    asio::io_context io(1);
    gateway::ServiceGateway gateway(io, parsed.services, 1);
    report_ports({gateway.address("in").port()});
    io.run();
  };
  const Child gateway_beside(run_gateway), gateway_alone(run_gateway);
  const tcp::endpoint beside_address = Loopback(gateway_beside.ports.at(0)),
                      alone_address = Loopback(gateway_alone.ports.at(0));
  const auto get = [](const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; };
  const Child clients([&](const auto& report_ports) {
    asio::io_context io(1);
    Load broken_pool_load(io, beside_address, kBrokenPoolClients, 100000000,
                          [&](std::size_t) { return get("/three"); });
    report_ports({});
    io.run();
  });
  asio::io_context io(1);
  const auto total = static_cast<std::size_t>(kRequestsPerSecond * kDurationSeconds);
  SteadyLoad beside_one(io, beside_address, get("/one"), kRequestsPerSecond, total),
      beside_two(io, beside_address, get("/two"), kRequestsPerSecond, total);
  SteadyLoad alone_one(io, alone_address, get("/one"), kRequestsPerSecond, total),
      alone_two(io, alone_address, get("/two"), kRequestsPerSecond, total);
  while (!beside_one.IsDone() || !beside_two.IsDone() || !alone_one.IsDone() || !alone_two.IsDone())
    io.run_one_for(std::chrono::milliseconds(100));
  const auto worse = [](SteadyLoad& x, SteadyLoad& y) {
    return Measurements{std::min(x.ServedFraction(), y.ServedFraction()),
                        std::max(x.Quantile(0.5), y.Quantile(0.5)),
                        std::max(x.Quantile(0.99), y.Quantile(0.99))};
  };
  return {worse(alone_one, alone_two), worse(beside_one, beside_two)};
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::pair<double, double> Range(const std::vector<double>& values) {
  const auto [min, max] = std::minmax_element(values.begin(), values.end());
  return {*min, *max};
}

}  // namespace
}  // namespace opalswitch::testing

int main(int argc, char** argv) {
  using namespace opalswitch::testing;
  const int rounds = argc > 1 ? std::atoi(argv[1]) : 5;
  const std::pair<HostFailure, const char*> kinds[] = {{HostFailure::kHang, "hangs"},
                                                       {HostFailure::kRefuseConnections, "refuses"},
                                                       {HostFailure::kRespond500, "500"},
                                                       {HostFailure::kEndlessResponse, "3GB"}};
  std::printf(
      "two pools at %.0f requests a second each for %d s, beside a pool with %zu clients that send "
      "requests without pause;\n"
      "worse of the two pools, median of %d rounds (least to most); the gateway alone runs at the same "
      "time\n",
      kRequestsPerSecond, kDurationSeconds, kBrokenPoolClients, rounds);
  for (const std::chrono::milliseconds time : {std::chrono::milliseconds(0), kServiceTime}) {
    for (const auto& [kind, name] : kinds) {
      if (argc > 2 && std::string(argv[2]) != "all" && std::string(argv[2]) != name) continue;
      std::vector<double> ratio, alone99, beside99, lost;
      for (int i = 0; i < rounds; ++i) {
        const auto [alone, beside] = MeasurePair(kind, time);
        alone99.push_back(alone.p99_ms);
        beside99.push_back(beside.p99_ms);
        ratio.push_back(beside.p99_ms / alone.p99_ms - 1);
        lost.push_back(100 * (alone.served_fraction - beside.served_fraction));
      }
      const auto [low, high] = Range(ratio);
      const auto [min, max] = Range(lost);
      std::printf("%ld ms %-8s p99 %.2f ms alone, %.2f ms beside: %+.0f%% (%+.0f%% to %+.0f%%); ",
                  static_cast<long>(time.count()), name, Median(alone99), Median(beside99),
                  100 * Median(ratio), 100 * low, 100 * high);
      std::printf("served share lost %.2f points (%.2f to %.2f)\n", Median(lost), min, max);
      std::fflush(stdout);
    }
  }
}
