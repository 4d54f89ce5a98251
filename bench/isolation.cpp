// What two healthy pools lose beside one that is broken: served share and 99th percentile. Two gateways run
// at the same time, one with the broken pool and one without, and get the same load: what else the machine
// does in that moment hits both.
//   isolation [ROUNDS [KIND]]     KIND: hangs, refuses, 500, 3GB, all (the default)
// The healthy hosts answer at once in one measurement and after kServiceTime in another: beside no work at
// all, a tenth of a millisecond is half of a request's time.
// The gateway, its hosts and its clients have a process each. Healthy clients ask at a steady rate (open
// loop: late answers don't lower it); the broken pool's ask again as soon as they are answered.
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

constexpr std::size_t kCallers = 64;  // a pool's, each with a connection
constexpr double kRate = 800;         // requests a second into each healthy pool
constexpr int kSeconds = 4;
constexpr std::size_t kBrokenCallers = 200;
constexpr std::chrono::milliseconds kServiceTime(5);

// Requests at a fixed rate, each sent at its time; its latency counts from that time.
class Steady {
 public:
  Steady(asio::io_context& io, const tcp::endpoint& at, std::string request, double rate, std::size_t total)
      : io_(io), at_(at), request_(std::move(request)), gap_(1 / rate), total_(total), timer_(io) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      idle_.push_back(std::make_shared<Line>(io_));
      idle_.back()->socket.connect(at_);
      idle_.back()->socket.set_option(tcp::no_delay(true));
    }
    begun_ = Clock::now();
    Tick();
  }
  bool Done() const { return answered_ + lost_ == total_; }
  double Share() const { return static_cast<double>(times.size()) / static_cast<double>(total_); }
  double Quantile(double part) {
    if (times.empty()) return NAN;
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
  }
  std::vector<double> times;

 private:
  using Clock = std::chrono::steady_clock;
  struct Line {
    explicit Line(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
  };

  Clock::time_point TimeOf(std::size_t i) const {
    return begun_ + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(gap_ * static_cast<double>(i)));
  }
  void Tick() {
    if (sent_ == total_) return;
    timer_.expires_at(TimeOf(sent_));
    timer_.async_wait([this](error_code ec) {
      if (ec) return;
      while (sent_ < total_ && TimeOf(sent_) <= Clock::now()) Ask(TimeOf(sent_++));
      Tick();
    });
  }
  void Ask(Clock::time_point due) {
    if (idle_.empty()) {  // more are out than there are connections
      ++lost_;
      return;
    }
    const auto line = idle_.back();
    idle_.pop_back();
    asio::async_write(line->socket, asio::buffer(request_), [this, line, due](error_code ec, std::size_t) {
      if (ec) return Lost(line);
      line->parser.emplace();
      http::async_read(
          line->socket, line->buffer, *line->parser, [this, line, due](error_code read_ec, std::size_t) {
            if (read_ec) return Lost(line);
            ++answered_;
            if (line->parser->get().result_int() == 200) {
              times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
            }
            line->parser->get().keep_alive() ? idle_.push_back(line) : Renew(line);
          });
    });
  }
  void Lost(const std::shared_ptr<Line>& line) {
    ++lost_;
    Renew(line);
  }
  void Renew(const std::shared_ptr<Line>& line) {
    line->socket = tcp::socket(io_);
    line->buffer.consume(line->buffer.size());
    line->socket.async_connect(at_, [this, line](error_code ec) {
      if (!ec) idle_.push_back(line);
    });
  }

  asio::io_context& io_;
  const tcp::endpoint at_;
  const std::string request_;
  const double gap_;
  const std::size_t total_;
  asio::steady_timer timer_;
  Clock::time_point begun_;
  std::vector<std::shared_ptr<Line>> idle_;
  std::size_t sent_ = 0, answered_ = 0, lost_ = 0;
};

// Has the peer answer with its name, after `time`.
void Serve(Peer& peer, std::chrono::milliseconds time, const std::string& name) {
  if (time.count() == 0) return ScriptHost(peer, HostFailure::kNone, name);
  peer.serve = [&peer, time, name](const Peer::ReceivedRequest& taken) {
    const auto timer = std::make_shared<asio::steady_timer>(taken.connection->socket.get_executor(), time);
    timer->async_wait([timer, taken, name](error_code) { taken.Answer(200, name); });
  };
}

struct Figures {
  double share = 0, p50 = 0, p99 = 0;
};

std::string Pool(const std::string& id, const tcp::endpoint& host) {
  return "[[pool]]\nid = \"" + id + "\"\nhost = [{ address = \"" + ToText(host) +
         "\" }]\n[[route]]\nprefix = \"/" + id + "\"\npool = \"" + id + "\"\nclass = \"view\"\n";
}

// A process of its own, told by a pipe which ports it has; ended with this object.
class Child {
 public:
  // `run` gives the ports to `tell` and does not return.
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

// What two gateways that run at the same time give to the same load: one with the broken pool beside the two
// healthy ones, one without.
struct Pair {
  Figures alone, beside;
};

Pair Play(HostFailure how, std::chrono::milliseconds time) {
  const Child hosts([time](const auto& tell) {
    asio::io_context io(1);
    Peer one(io), two(io);
    one.keeps_requests = two.keeps_requests = false;
    Serve(one, time, "one");
    Serve(two, time, "two");
    tell({one.address().port(), two.address().port()});
    io.run();
  });
  // Apart: what it does to its own machine is not the gateway's doing.
  const Child broken([how](const auto& tell) {
    asio::io_context io(1);
    Peer three(io);
    three.keeps_requests = false;
    const unsigned short port = three.address().port();
    ScriptHost(three, how, "three");
    tell({port});
    const auto work = asio::make_work_guard(io);  // also where it refuses connections
    io.run();
  });
  const auto run_gateway = [&](const auto& tell) {
    const std::string text =
        "[process]\ndescriptors = 1000\n[[listener]]\nid = \"in\"\naddress = \"127.0.0.1:0\"\n[[class]]\nid "
        "= \"view\"\n"
        "effect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n" +
        Pool("one", Loopback(hosts.ports[0])) + Pool("two", Loopback(hosts.ports[1])) +
        Pool("three", Loopback(broken.ports[0]));
    const auto parsed = config::ParseServices(text, "bench", "");
    if (!parsed.services) _exit(1);
    if (std::freopen("/dev/null", "w", stderr) == nullptr) _exit(1);
    asio::io_context io(1);
    gateway::ServiceGateway gateway(io, parsed.services, 1);
    tell({gateway.address("in").port()});
    io.run();
  };
  const Child with(run_gateway), without(run_gateway);
  const tcp::endpoint at = Loopback(with.ports.at(0)), at_other = Loopback(without.ports.at(0));
  const auto get = [](const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"; };
  const Child clients([&](const auto& tell) {
    asio::io_context io(1);
    Load third(io, at, kBrokenCallers, 100000000, [&](std::size_t) { return get("/three"); });
    tell({});
    io.run();
  });
  asio::io_context io(1);
  const auto total = static_cast<std::size_t>(kRate * kSeconds);
  Steady a(io, at, get("/one"), kRate, total), b(io, at, get("/two"), kRate, total);
  Steady c(io, at_other, get("/one"), kRate, total), d(io, at_other, get("/two"), kRate, total);
  while (!a.Done() || !b.Done() || !c.Done() || !d.Done()) io.run_one_for(std::chrono::milliseconds(100));
  const auto worse = [](Steady& x, Steady& y) {
    return Figures{std::min(x.Share(), y.Share()), std::max(x.Quantile(0.5), y.Quantile(0.5)),
                   std::max(x.Quantile(0.99), y.Quantile(0.99))};
  };
  return {worse(c, d), worse(a, b)};
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::pair<double, double> Range(const std::vector<double>& values) {
  const auto [least, most] = std::minmax_element(values.begin(), values.end());
  return {*least, *most};
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
      "two pools at %.0f requests a second each for %d s, beside a pool with %zu clients that ask without "
      "pause;\n"
      "worse of the two pools, median of %d rounds (least to most); the gateway alone runs at the same "
      "time\n",
      kRate, kSeconds, kBrokenCallers, rounds);
  for (const std::chrono::milliseconds time : {std::chrono::milliseconds(0), kServiceTime}) {
    for (const auto& [kind, name] : kinds) {
      if (argc > 2 && std::string(argv[2]) != "all" && std::string(argv[2]) != name) continue;
      std::vector<double> ratio, alone99, beside99, lost;
      for (int i = 0; i < rounds; ++i) {
        const auto [alone, beside] = Play(kind, time);
        alone99.push_back(alone.p99);
        beside99.push_back(beside.p99);
        ratio.push_back(beside.p99 / alone.p99 - 1);
        lost.push_back(100 * (alone.share - beside.share));
      }
      const auto [low, high] = Range(ratio);
      const auto [least, most] = Range(lost);
      std::printf("%ld ms %-8s p99 %.2f ms alone, %.2f ms beside: %+.0f%% (%+.0f%% to %+.0f%%); ",
                  static_cast<long>(time.count()), name, Median(alone99), Median(beside99),
                  100 * Median(ratio), 100 * low, 100 * high);
      std::printf("served share lost %.2f points (%.2f to %.2f)\n", Median(lost), least, most);
      std::fflush(stdout);
    }
  }
}
