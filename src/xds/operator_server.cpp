#include "xds/operator_server.hpp"

#include <grpcpp/grpcpp.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "forkwick/control/v1/control.grpc.pb.h"

namespace opalswitch::xds {
namespace {

namespace api = forkwick::control::v1;

constexpr auto kDrainPollInterval = std::chrono::milliseconds(5);  // of the proxies that a drain waits for
constexpr int kMaxDrainCalls = 16;                                 // concurrent

enum Exit { kDone = 0, kFailed = 1, kStillWaiting = 4 };

const char* HealthName(EndpointHealth health) {
  return health == EndpointHealth::kHealthy ? "up" : health == EndpointHealth::kEjected ? "out" : "draining";
}

const char* ShortName(ResourceType type) {
  constexpr const char* kNames[] = {"CDS", "EDS", "LEDS", "LDS", "RDS"};
  return kNames[static_cast<std::size_t>(type)];
}

std::string FormatRejection(const Rejection& rejection) {
  std::string text = ShortName(rejection.type);
  for (const std::string& name : rejection.names) text += " " + name;
  return text + ": " + rejection.reason;
}

}  // namespace

class OperatorServer::Impl : public api::Operators::Service {
 public:
  Impl(const std::string& socket, ControlServer& server, const std::unique_ptr<ControlPlane>& control,
       std::function<void(const std::set<std::string>&)> on_drains_changed)
      : path_(socket), server_(server), control_(control), on_drains_changed_(std::move(on_drains_changed)) {
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(kMaxDrainCalls + 4);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 2);
    builder.AddListeningPort("unix:" + socket, grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    unlink(socket.c_str());  // left behind by a run that crashed
    const mode_t old_umask = umask(0177);
    grpc_ = builder.BuildAndStart();
    umask(old_umask);
    if (!grpc_ || access(socket.c_str(), F_OK) != 0)
      throw std::runtime_error(socket + ": can't create the socket");
  }
  ~Impl() override {
    is_stopping_ = true;
    grpc_->Shutdown(std::chrono::system_clock::now());
    unlink(path_.c_str());
  }

  grpc::Status Status(grpc::ServerContext*, const api::StatusRequest*, api::StatusReply* reply) override {
    server_.RunOnDecisionThread([&](StreamHub& hub, Millis now) {
      const auto statistics = hub.statistics();
      reply->set_pushes(statistics.pushes);
      reply->set_acks(statistics.acks);
      reply->set_nacks(statistics.nacks);
      reply->set_stale_nonces(statistics.stale_nonces);
      reply->set_refused_streams(statistics.refused_streams);
      for (const StreamHub::ProxyStatus& proxy : hub.ProxyStatuses()) {
        auto* const proxy_status = reply->add_proxies();
        proxy_status->set_id(proxy.node.id);
        proxy_status->set_cluster(proxy.node.cluster);
        proxy_status->set_zone(proxy.node.zone);
        proxy_status->set_group(proxy.group);
        proxy_status->set_settled(proxy.settled);
        proxy_status->set_nacks(proxy.nacks);
        if (proxy.last_rejection) proxy_status->set_last_rejection(FormatRejection(*proxy.last_rejection));
      }
      if (!control_) return ControlPlane::OutgoingMessages();
      reply->set_load_reports(control_->load_report_count());
      for (const std::string& node : control_->drained_nodes()) reply->add_drained(node);
      for (const ControlPlane::PoolStatus& pool : control_->Status(now)) {
        auto* const pool_status = reply->add_pools();
        pool_status->set_id(pool.id);
        pool_status->set_strict(pool.strict);
        for (const PoolDecider::HostStatus& host : pool.hosts) {
          auto* const host_status = pool_status->add_hosts();
          host_status->set_id(host.id);
          host_status->set_address(host.address);
          host_status->set_standing(HealthName(host.health));
          host_status->set_weight(host.weight);
          host_status->set_trial(host.is_probed);
          host_status->set_failing(host.failure_fraction);
          host_status->set_reporters(static_cast<std::uint32_t>(host.reporter_count));
        }
      }
      return ControlPlane::OutgoingMessages();
    });
    return grpc::Status::OK;
  }

  grpc::Status Drain(grpc::ServerContext* context, const api::DrainRequest* request,
                     grpc::ServerWriter<api::DrainReply>* writer) override {
    if (calls_.fetch_add(1) >= kMaxDrainCalls) {
      --calls_;
      return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many drains are waited for at once"};
    }
    const auto status = StreamDrainProgress(context, *request, writer);
    --calls_;
    return status;
  }

  grpc::Status Undrain(grpc::ServerContext*, const api::UndrainRequest* request,
                       api::UndrainReply*) override {
    bool known = false;
    server_.RunOnDecisionThread([&](StreamHub&, Millis now) {
      known = control_ && control_->drained_nodes().contains(request->node());
      if (!known) return ControlPlane::OutgoingMessages();
      auto out = control_->Undrain(request->node(), now);
      on_drains_changed_(control_->drained_nodes());
      return out;
    });
    if (known) return grpc::Status::OK;
    return {grpc::StatusCode::NOT_FOUND, "no operator has drained '" + request->node() + "'"};
  }

 private:
  // Drains the node and writes a reply whenever the set of pending proxies changes.
  grpc::Status StreamDrainProgress(grpc::ServerContext* context, const api::DrainRequest& request,
                                   grpc::ServerWriter<api::DrainReply>* writer) {
    bool known = false;
    Millis started_at = 0;
    server_.RunOnDecisionThread([&](StreamHub&, Millis now) {
      started_at = now;
      known = control_ && control_->HasNode(request.node());
      if (!known) return ControlPlane::OutgoingMessages();
      auto out = control_->Drain(request.node(), now);
      on_drains_changed_(control_->drained_nodes());
      return out;
    });
    if (!known) return {grpc::StatusCode::NOT_FOUND, "no pool has a host '" + request.node() + "'"};
    std::set<std::string> reported;
    for (bool first = true;; first = false) {
      api::DrainReply reply;
      server_.RunOnDecisionThread([&](StreamHub&, Millis now) {
        reply.set_after_ms(now - started_at);
        for (const StreamHub::PendingProxy& pending : control_->PendingProxies(request.node(), now)) {
          auto* const to = reply.add_waiting();
          to->set_proxy(pending.proxy);
          to->set_lease_ms(std::isfinite(pending.lease_expiry) ? pending.lease_expiry - now : -1);
        }
        return ControlPlane::OutgoingMessages();
      });
      std::set<std::string> names;
      for (const auto& waiting : reply.waiting()) names.insert(waiting.proxy());
      if (first || names != reported) {
        if (!writer->Write(reply)) return grpc::Status::CANCELLED;
      }
      reported = std::move(names);
      if (reported.empty() || !request.wait()) return grpc::Status::OK;
      if (is_stopping_) return {grpc::StatusCode::UNAVAILABLE, "the control service ends"};
      if (context->IsCancelled()) return grpc::Status::CANCELLED;
      std::this_thread::sleep_for(kDrainPollInterval);
    }
  }

  const std::string path_;
  ControlServer& server_;
  const std::unique_ptr<ControlPlane>& control_;
  const std::function<void(const std::set<std::string>&)> on_drains_changed_;
  std::atomic<int> calls_{0};
  std::atomic<bool> is_stopping_{false};
  std::unique_ptr<grpc::Server> grpc_;
};

OperatorServer::OperatorServer(const std::string& socket, ControlServer& server,
                               const std::unique_ptr<ControlPlane>& control,
                               std::function<void(const std::set<std::string>&)> on_drains_changed)
    : impl_(std::make_unique<Impl>(socket, server, control, std::move(on_drains_changed))) {}
OperatorServer::~OperatorServer() = default;

namespace {

std::unique_ptr<api::Operators::Stub> Connect(const std::string& socket) {
  return api::Operators::NewStub(grpc::CreateChannel("unix:" + socket, grpc::InsecureChannelCredentials()));
}

int ReportFailure(const std::string& socket, const grpc::Status& status) {
  if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
    std::fprintf(stderr, "forkwick-control: %s: the control service does not answer (%s)\n", socket.c_str(),
                 status.error_message().c_str());
  } else {
    std::fprintf(stderr, "forkwick-control: %s\n", status.error_message().c_str());
  }
  return kFailed;
}

nlohmann::json ToJson(const api::StatusReply& reply) {
  nlohmann::json out = {{"pushes", reply.pushes()},
                        {"acks", reply.acks()},
                        {"nacks", reply.nacks()},
                        {"stale_nonces", reply.stale_nonces()},
                        {"refused_streams", reply.refused_streams()},
                        {"load_reports", reply.load_reports()},
                        {"drained", std::vector<std::string>(reply.drained().begin(), reply.drained().end())},
                        {"pools", nlohmann::json::array()},
                        {"proxies", nlohmann::json::array()}};
  for (const auto& pool : reply.pools()) {
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& host : pool.hosts()) {
      hosts.push_back({{"id", host.id()},
                       {"address", host.address()},
                       {"standing", host.standing()},
                       {"weight", host.weight()},
                       {"trial", host.trial()},
                       {"failing", host.failing()},
                       {"reporters", host.reporters()}});
    }
    out["pools"].push_back({{"id", pool.id()}, {"strict", pool.strict()}, {"hosts", std::move(hosts)}});
  }
  for (const auto& proxy : reply.proxies()) {
    out["proxies"].push_back({{"id", proxy.id()},
                              {"cluster", proxy.cluster()},
                              {"zone", proxy.zone()},
                              {"group", proxy.group()},
                              {"settled", proxy.settled()},
                              {"nacks", proxy.nacks()},
                              {"last_rejection", proxy.last_rejection()}});
  }
  return out;
}

}  // namespace

int ShowStatus(const std::string& socket, bool json) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
  api::StatusReply reply;
  const grpc::Status status = Connect(socket)->Status(&context, {}, &reply);
  if (!status.ok()) return ReportFailure(socket, status);
  if (json) return std::printf("%s\n", ToJson(reply).dump(2).c_str()), kDone;
  for (const auto& pool : reply.pools()) {
    std::printf("pool %s (%s)\n", pool.id().c_str(), pool.strict() ? "strict" : "static");
    for (const auto& host : pool.hosts()) {
      std::printf("  %-24s %-21s %-8s weight %u%s", host.id().c_str(), host.address().c_str(),
                  host.standing().c_str(), host.weight(), host.trial() ? ", on trial" : "");
      if (host.reporters() > 0) {
        std::printf(", failing %.0f%% as reported by %u proxies", 100 * host.failing(), host.reporters());
      }
      std::printf("\n");
    }
  }
  for (const auto& proxy : reply.proxies()) {
    std::printf("proxy %s (cluster %s, zone %s, group %s): %s, %llu rejections%s%s\n", proxy.id().c_str(),
                proxy.cluster().c_str(), proxy.zone().c_str(),
                proxy.group().empty() ? "of the rest" : proxy.group().c_str(),
                proxy.settled() ? "up to date" : "has not answered",
                static_cast<unsigned long long>(proxy.nacks()),
                proxy.last_rejection().empty() ? "" : ", last ", proxy.last_rejection().c_str());
  }
  for (const std::string& node : reply.drained()) std::printf("drained by an operator: %s\n", node.c_str());
  std::printf(
      "%llu pushes, %llu accepted, %llu rejected, %llu stale nonces, %llu streams refused, %llu load "
      "reports\n",
      static_cast<unsigned long long>(reply.pushes()), static_cast<unsigned long long>(reply.acks()),
      static_cast<unsigned long long>(reply.nacks()), static_cast<unsigned long long>(reply.stale_nonces()),
      static_cast<unsigned long long>(reply.refused_streams()),
      static_cast<unsigned long long>(reply.load_reports()));
  return kDone;
}

int DrainNode(const std::string& socket, const std::string& node, bool wait, Millis timeout) {
  grpc::ClientContext context;
  if (timeout > 0) {
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::microseconds(static_cast<std::int64_t>(timeout * 1000)));
  }
  api::DrainRequest request;
  request.set_node(node);
  request.set_wait(wait);
  const auto stub = Connect(socket);
  const auto reader = stub->Drain(&context, request);
  api::DrainReply reply;
  bool has_replied = false;
  while (reader->Read(&reply)) {
    has_replied = true;
    if (reply.waiting().empty()) {
      std::printf("%s is drained: no proxy sends to it any more, %.0f ms after the request\n", node.c_str(),
                  reply.after_ms());
    }
    for (const auto& waiting : reply.waiting()) {
      if (waiting.lease_ms() < 0) {
        std::printf("waits for %s, which has not answered\n", waiting.proxy().c_str());
      } else {
        std::printf("waits for %s, whose lease runs out in %.0f ms\n", waiting.proxy().c_str(),
                    waiting.lease_ms());
      }
    }
    std::fflush(stdout);
  }
  const grpc::Status status = reader->Finish();
  if (status.ok()) return kDone;
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED && has_replied) {
    std::printf("still waiting; the drain holds\n");
    return kStillWaiting;
  }
  return ReportFailure(socket, status);
}

int UndrainNode(const std::string& socket, const std::string& node) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
  api::UndrainRequest request;
  request.set_node(node);
  api::UndrainReply reply;
  const grpc::Status status = Connect(socket)->Undrain(&context, request, &reply);
  if (!status.ok()) return ReportFailure(socket, status);
  std::printf("%s is no longer drained\n", node.c_str());
  return kDone;
}

}  // namespace opalswitch::xds
