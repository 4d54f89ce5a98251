// Measures the cost of one endpoint's change for the control service: CPU time and bytes per proxy, and
// memory per proxy. Compares LEDS (delta), whole ClusterLoadAssignments (delta), and state of the world. No
// sockets: messages are built and serialized as for sending, and acknowledged at once.
//   xds_push [PROXIES [ROUNDS]]
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "config/services.hpp"
#include "envoy/service/discovery/v3/discovery.pb.h"
#include "xds/control_plane.hpp"
#include "xds/proto_conversion.hpp"

namespace opalswitch {
namespace {

namespace discovery = envoy::service::discovery::v3;
using xds::ControlPlane;
using xds::ResourceType;
using xds::Session;
using xds::StreamHub;
using xds::XdsRequest;

double CpuMicros() {
  timespec now;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

std::shared_ptr<const config::Services> Services(bool uses_leds) {
  const auto parsed = config::ParseServices(
      std::string(
          "[[listener]]\nid = \"in\"\naddress = \"127.0.0.1:0\"\n[[class]]\nid = \"view\"\neffect = "
          "\"safe\"\n"
          "aim = \"1s\"\ndeadline = \"2s\"\n[[pool]]\nid = \"p\"\ndrain = \"strict\"\n"
          "membership = { source = \"file\", file = \"x\" }\n[[route]]\npool = \"p\"\nclass = \"view\"\n"
          "[control]\ngroup = [{ id = \"g\", each_endpoint = ") +
          (uses_leds ? "true" : "false") + " }]\n",
      "bench", "");
  if (!parsed.services) std::abort();
  return parsed.services;
}

struct Simulation {
  Simulation(bool uses_leds, Session::Variant variant_in, int hosts, std::size_t proxies)
      : variant(variant_in), control(hub, 1, [](const std::string&) {}) {
    Deliver(control.Configure(Services(uses_leds), now));
    gateway::HostList list;
    for (int i = 0; i < hosts; ++i) {
      gateway::Host host;
      host.server.id = "node-" + std::to_string(i);
      host.address = {
          boost::asio::ip::make_address("10." + std::to_string(i >> 16) + "." + std::to_string(i >> 8 & 255) +
                                        "." + std::to_string(i & 255)),
          80};
      list.hosts.push_back(host);
    }
    Deliver(control.UpdateMembership("p", list, now));
    const double before = static_cast<double>(mallinfo2().uordblks);
    for (StreamHub::StreamId stream = 1; stream <= proxies; ++stream) {
      if (!hub.OpenStream(stream, variant, now)) std::abort();
      XdsRequest request;
      request.type = ResourceType::kEndpoint;
      request.names = request.subscribe = {"p"};
      Deliver(hub.HandleRequest(stream, Node(stream), request, now));
      if (!uses_leds) continue;
      XdsRequest members;
      members.type = ResourceType::kLbEndpoint;
      members.subscribe = {"xdstp:///envoy.config.endpoint.v3.LbEndpoint/p/zone-/*"};
      Deliver(hub.HandleRequest(stream, Node(stream), members, now));
    }
    memory_per_proxy = (static_cast<double>(mallinfo2().uordblks) - before) / static_cast<double>(proxies);
  }
  static xds::ProxyNode Node(StreamHub::StreamId stream) {
    return {"proxy-" + std::to_string(stream), "", ""};
  }

  void Deliver(std::vector<StreamHub::OutgoingMessage> all) {
    while (!all.empty()) {
      std::vector<StreamHub::OutgoingMessage> next;
      for (const StreamHub::OutgoingMessage& out : all) {
        if (variant == Session::Variant::kDelta) {
          Serialize<discovery::DeltaDiscoveryResponse>(out);
        } else {
          Serialize<discovery::DiscoveryResponse>(out);
        }
        XdsRequest ack;
        ack.type = out.response.type;
        ack.nonce = out.response.nonce;
        ack.version = out.response.version;
        if (ack.type == ResourceType::kEndpoint) ack.names = {"p"};
        if (variant == Session::Variant::kDelta) ack.names.clear();
        auto more = hub.HandleRequest(out.stream, Node(out.stream), ack, now);
        next.insert(next.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
      }
      all = std::move(next);
    }
  }
  template <typename Message>
  void Serialize(const StreamHub::OutgoingMessage& out) {
    Message message;
    xds::FillResponse(message, out, 400, "bench");
    std::string text;
    message.SerializeToString(&text);
    bytes += static_cast<double>(text.size());
  }

  Millis now = 1e6;
  const Session::Variant variant;
  StreamHub hub{xds::StreamHubOptions()};
  ControlPlane control;
  double bytes = 0, memory_per_proxy = 0;
};

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace
}  // namespace opalswitch

int main(int argc, char** argv) {
  using namespace opalswitch;
  const auto proxies = static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 500);
  const int rounds = argc > 2 ? std::atoi(argv[2]) : 9;
  struct Kind {
    const char* name;
    bool uses_leds;
    Session::Variant variant;
  };
  const Kind kinds[] = {{"LEDS, delta", true, Session::Variant::kDelta},
                        {"lists, delta", false, Session::Variant::kDelta},
                        {"lists, SotW", false, Session::Variant::kStateOfTheWorld}};
  std::printf(
      "one endpoint drains, %zu proxies; median of %d rounds (least to most). Once: deciding and building; "
      "then a "
      "proxy's part of it, with serialising and its acknowledgement\n",
      proxies, rounds);
  for (const Kind& kind : kinds) {
    for (const int hosts : {10, 1000, 10000}) {
      Simulation simulation(kind.uses_leds, kind.variant, hosts, proxies);
      std::vector<double> decision_us, per_proxy_us, bytes_per_proxy;
      for (int i = 0; i < rounds; ++i) {
        const std::string node = "node-" + std::to_string(i);
        simulation.bytes = 0;
        const double started_us = CpuMicros();
        auto messages = simulation.control.Drain(node, simulation.now);
        const double decided_us = CpuMicros();
        simulation.Deliver(std::move(messages));
        const double done_us = CpuMicros();
        if (!simulation.control.PendingProxies(node, simulation.now).empty()) std::abort();
        decision_us.push_back(decided_us - started_us);
        per_proxy_us.push_back((done_us - decided_us) / static_cast<double>(proxies));
        bytes_per_proxy.push_back(simulation.bytes / static_cast<double>(proxies));
      }
      std::printf(
          "%-13s %6d endpoints: once %8.0f us, a proxy %8.1f us (%.1f to %.1f) and %9.0f bytes; %8.0f bytes "
          "of "
          "memory a proxy\n",
          kind.name, hosts, Median(decision_us), Median(per_proxy_us),
          *std::min_element(per_proxy_us.begin(), per_proxy_us.end()),
          *std::max_element(per_proxy_us.begin(), per_proxy_us.end()), Median(bytes_per_proxy),
          simulation.memory_per_proxy);
      std::fflush(stdout);
    }
  }
}
