// Measures how long a proxy may still send to a draining node: from the drain to the last time at which the
// stand-in proxy would route to the node. Many drains of a strict pool over real sockets, with faults:
// proxies that lose their stream, read nothing for a while, or reconnect at once, sometimes half of them
// together.
//   xds_drains [PROXIES [DRAINS [STEP_MS]]]
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "standins/xds_client.hpp"
#include "xds/control_plane.hpp"
#include "xds/control_server.hpp"

namespace opalswitch::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using xds::ControlPlane;
using xds::ResourceType;

constexpr int kNodes = 60;
constexpr auto kObservationTime = milliseconds(1000);  // from a drain to its end; longer than any lease

double ToMs(Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

struct Drain {
  int node;
  Clock::time_point at;
};

int RunBenchmark(int count, int drains, milliseconds step) {
  std::string text =
      "[[listener]]\nid = \"in\"\naddress = \"127.0.0.1:0\"\n[[class]]\nid = \"view\"\neffect = "
      "\"safe\"\naim = "
      "\"1s\"\ndeadline = \"2s\"\n[[pool]]\nid = \"p\"\ndrain = \"strict\"\nhost = [";
  for (int i = 0; i < kNodes; ++i)
    text += "{ id = \"n" + std::to_string(i) + "\", address = \"10.0.0." + std::to_string(i + 1) + ":80\" },";
  text += "]\n[[route]]\npool = \"p\"\nclass = \"view\"\n";
  const auto parsed = config::ParseServices(text, "bench", "");
  if (!parsed.services) std::abort();
  std::unique_ptr<ControlPlane> control;
  xds::ControlServerOptions options;
  options.on_tick = [&](xds::StreamHub&, Millis now) {
    return control ? control->Tick(now) : ControlPlane::OutgoingMessages();
  };
  xds::ControlServer server(std::move(options));
  server.RunOnDecisionThread([&](xds::StreamHub& hub, Millis now) {
    control = std::make_unique<ControlPlane>(hub, 1, [](const std::string&) {});
    return control->Configure(parsed.services, now);
  });
  server.RunOnDecisionThread([&](xds::StreamHub&, Millis now) {
    return control->UpdateMembership("p", {0, true, parsed.services->pools[0].membership.hosts}, now);
  });
  std::vector<std::unique_ptr<XdsClient>> proxies;
  const auto connect = [&](XdsClient& proxy) {
    proxy.Connect();
    proxy.Subscribe(ResourceType::kEndpoint, {"p"});
  };
  for (int i = 0; i < count; ++i) {
    proxies.push_back(std::make_unique<XdsClient>(server.port(), i % 2 == 0, "proxy-" + std::to_string(i)));
    proxies.back()->RecordUse("p", "10.0.0.");
    connect(*proxies.back());
  }
  for (const auto& proxy : proxies) {
    if (!proxy->Await([&] { return proxy->held(ResourceType::kEndpoint).size() == 1; })) std::abort();
  }
  std::mt19937 random(7);
  std::vector<double> times;
  std::size_t faults = 0, late_count = 0;
  std::map<std::size_t, Clock::time_point>
      away;  // proxies without a stream or that read nothing, and until when
  std::vector<Drain> active_drains;
  double worst = 0;
  const auto started_at = Clock::now();
  for (int started = 0, next = 0; started < drains || !active_drains.empty();) {
    std::this_thread::sleep_for(step);
    // Faults occur before, during and after drains.
    const bool all_fail = count > 1 && random() % 100 == 0;
    for (std::size_t i = 0; i < proxies.size() && started < drains; ++i) {
      if (away.contains(i) || random() % (all_fail ? 2 : 40) != 0) continue;
      ++faults;
      const auto kind = random() % 3;
      if (kind == 2 || all_fail) {
        proxies[i]->Disconnect();
        connect(*proxies[i]);  // at once
        continue;
      }
      away[i] = Clock::now() + milliseconds(50 + random() % 700);
      kind == 0 ? proxies[i]->Disconnect() : proxies[i]->IgnoreResponses();
    }
    if (started < drains) {
      const int node = next++ % kNodes;
      const bool is_available = std::none_of(active_drains.begin(), active_drains.end(),
                                             [&](const Drain& d) { return d.node == node; });
      if (is_available) {
        const auto at = Clock::now();  // the time that the service needs from here on counts
        server.RunOnDecisionThread(
            [&](xds::StreamHub&, Millis now) { return control->Drain("n" + std::to_string(node), now); });
        active_drains.push_back({node, at});
        ++started;
      }
    }
    for (auto at = away.begin(); at != away.end();) {
      if (Clock::now() < at->second) {
        ++at;
        continue;
      }
      proxies[at->first]->Disconnect();
      connect(*proxies[at->first]);
      at = away.erase(at);
    }
    for (auto drain = active_drains.begin(); drain != active_drains.end();) {
      const auto until = drain->at + kObservationTime;
      if (Clock::now() < until) {
        ++drain;
        continue;
      }
      for (const auto& proxy : proxies) {
        const auto last = proxy->LastUse("10.0.0." + std::to_string(drain->node + 1), drain->at, until);
        const double ms = last ? ToMs(*last - drain->at) : 0;
        times.push_back(ms);
        late_count += ms >= 500;
        worst = std::max(worst, ms);
      }
      server.RunOnDecisionThread([&](xds::StreamHub&, Millis now) {
        return control->Undrain("n" + std::to_string(drain->node), now);
      });
      drain = active_drains.erase(drain);
    }
  }
  std::sort(times.begin(), times.end());
  const auto quantile = [&](double fraction) {
    return times[static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1))];
  };
  rusage usage;
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "%4d proxies, %d drains, %zu faults: last use after 50%% %.1f ms, 90%% %.1f, 99%% %.1f, 99.9%% %.1f, "
      "worst "
      "%.1f; %zu at 500 ms or later; %.0f s\n",
      count, drains, faults, quantile(0.5), quantile(0.9), quantile(0.99), quantile(0.999), worst, late_count,
      ToMs(Clock::now() - started_at) / 1000);
  std::fflush(stdout);
  for (const auto& proxy : proxies) proxy->Disconnect();
  server.RunOnDecisionThread([&](xds::StreamHub&, Millis) { return ControlPlane::OutgoingMessages(); });
  return late_count == 0 ? 0 : 1;
}

}  // namespace
}  // namespace opalswitch::testing

int main(int argc, char** argv) {
  using opalswitch::testing::RunBenchmark;
  const auto number = [&](int i, int default_value) { return argc > i ? std::atoi(argv[i]) : default_value; };
  if (argc > 1) return RunBenchmark(number(1, 50), number(2, 1000), std::chrono::milliseconds(number(3, 20)));
  return RunBenchmark(1, 1000, std::chrono::milliseconds(20)) +
         RunBenchmark(50, 1000, std::chrono::milliseconds(20)) +
         RunBenchmark(500, 1000, std::chrono::milliseconds(60));
}
