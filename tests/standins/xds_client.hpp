// A stand-in proxy for tests. It speaks either ADS variant over gRPC, keeps the resources that it receives,
// uses endpoints only while their lease is valid, and misbehaves on request. Written from the published
// protocol.
#ifndef OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_
#define OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/service/discovery/v3/ads.grpc.pb.h"
#include "envoy/service/load_stats/v3/lrs.grpc.pb.h"
#include "xds/snapshot.hpp"

namespace opalswitch::testing {

namespace discovery = envoy::service::discovery::v3;
namespace stats = envoy::service::load_stats::v3;

class XdsClient {
 public:
  using Clock = std::chrono::steady_clock;
  struct HeldResource {
    std::string version, bytes;
    std::optional<Clock::time_point> lease_expiry;  // if it has a lease
  };
  // How it reacts to a response.
  enum class Reaction { kAck, kNack, kNoAnswer, kStaleNonce };

  XdsClient(int port, bool delta, std::string id = "proxy", std::string cluster = "edge")
      : delta_(delta), id_(std::move(id)), cluster_(std::move(cluster)), port_(port) {}
  ~XdsClient() { Disconnect(); }
  XdsClient(const XdsClient&) = delete;
  XdsClient& operator=(const XdsClient&) = delete;

  // Opens a stream on a connection of its own. In the delta variant, Subscribe then reports the resources
  // already held.
  void Connect() {
    ignores_responses_ = false;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    channel_ = grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port_),
                                         grpc::InsecureChannelCredentials(), arguments);
    const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel_);
    context_ = std::make_unique<grpc::ClientContext>();
    context_->set_wait_for_ready(true);  // retries failed connections, as proxies do
    has_ended_ = false;
    if (delta_) {
      delta_stream_ = stub->DeltaAggregatedResources(context_.get());
    } else {
      sotw_stream_ = stub->StreamAggregatedResources(context_.get());
    }
    is_first_request_ = true;
    reader_ = std::thread([this] { Read(); });
  }
  // Cancels the stream.
  void Disconnect() {
    if (context_) context_->TryCancel();
    if (reader_.joinable()) reader_.join();
    sotw_stream_.reset();
    delta_stream_.reset();
    context_.reset();
  }

  void Subscribe(xds::ResourceType type, std::vector<std::string> names = {}) {
    const std::lock_guard lock(mutex_);
    names_[type] = names;
    if (!delta_) return SendStateOfTheWorld(type, "", nonces_[type], false);
    discovery::DeltaDiscoveryRequest request;
    AddNode(request);
    request.set_type_url(std::string(xds::TypeUrl(type)));
    for (const std::string& name : names) request.add_resource_names_subscribe(name);
    std::erase_if(held_[type], [](const auto& entry) {
      return entry.second.lease_expiry && Clock::now() >= *entry.second.lease_expiry;
    });
    for (const auto& [name, held] : held_[type])
      (*request.mutable_initial_resource_versions())[name] = held.version;
    delta_stream_->Write(request);
  }

  // Waits until the condition holds for what it has received; returns false after 30 s.
  bool Await(const std::function<bool()>& condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(30), condition);
  }
  // The following are for use in conditions of Await, and after Await.
  const std::map<std::string, HeldResource>& held(xds::ResourceType type) { return held_[type]; }
  std::string Version(xds::ResourceType type, const std::string& name) {
    const auto found = held_[type].find(name);
    return found == held_[type].end() ? "" : found->second.version;
  }
  bool has_ended() const { return has_ended_; }
  grpc::Status status() const { return status_; }
  int response_count(xds::ResourceType type) { return response_counts_[type]; }
  int heartbeat_count() const { return heartbeat_count_; }
  std::vector<xds::ResourceType> order() const { return order_; }
  // From now on, ignores all responses. It uses what it holds until the lease expires.
  void IgnoreResponses() { ignores_responses_ = true; }

  // Records from now on when it may have routed to which of the pool's endpoints whose addresses start with
  // `address_prefix`. To be called before Connect.
  void RecordUse(std::string pool, std::string address_prefix) {
    recorded_pool_ = std::move(pool);
    recorded_address_prefix_ = std::move(address_prefix);
  }
  // Returns the last time between `from` and `to` at which it may have routed to the endpoint; nullopt if at
  // none.
  std::optional<Clock::time_point> LastUse(const std::string& address, Clock::time_point from,
                                           Clock::time_point to) {
    const std::lock_guard lock(mutex_);
    std::optional<Clock::time_point> last;
    for (auto at = use_periods_.begin(); at != use_periods_.end(); ++at) {
      if (!at->addresses.contains(address)) continue;
      const auto next = std::next(at);
      auto end = std::min(at->until, to);
      if (next != use_periods_.end()) end = std::min(end, next->since);
      if (end > from && at->since < to) last = end;
    }
    // Older entries are not queried any more.
    while (use_periods_.size() > 1 && std::next(use_periods_.begin())->since < from - std::chrono::seconds(5))
      use_periods_.pop_front();
    return last;
  }

  // Whether it may route to the endpoint now. `is_locked`: set when called from a condition of Await.
  bool MayRouteTo(const std::string& pool, const std::string& address, bool is_locked = false) {
    std::unique_lock lock(mutex_, std::defer_lock);
    if (!is_locked) lock.lock();
    const auto found = held_[xds::ResourceType::kEndpoint].find(pool);
    if (found == held_[xds::ResourceType::kEndpoint].end()) return false;
    if (found->second.lease_expiry && Clock::now() >= *found->second.lease_expiry) return false;
    return WeightOf(found->second, address) > 0;
  }
  // The same regardless of the lease. For conditions of Await, and after Await.
  bool HoldsHealthyEndpoint(const std::string& pool, const std::string& address) {
    const auto found = held_[xds::ResourceType::kEndpoint].find(pool);
    return found != held_[xds::ResourceType::kEndpoint].end() && WeightOf(found->second, address) > 0;
  }
  // Returns the weight of an endpoint that it may route to; 0 for others.
  std::uint32_t Weight(const std::string& pool, const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto found = held_[xds::ResourceType::kEndpoint].find(pool);
    return found == held_[xds::ResourceType::kEndpoint].end() ? 0 : WeightOf(found->second, address);
  }

  std::function<Reaction(xds::ResourceType, const std::vector<std::string>& names)> react = [](auto, auto&) {
    return Reaction::kAck;
  };

 private:
  static std::uint32_t WeightOf(const HeldResource& held, const std::string& address) {
    envoy::config::endpoint::v3::ClusterLoadAssignment list;
    if (!list.ParseFromString(held.bytes)) return 0;
    for (const auto& locality : list.endpoints()) {
      for (const auto& endpoint : locality.lb_endpoints()) {
        const bool usable = endpoint.health_status() == envoy::config::core::v3::HEALTHY;
        if (usable && endpoint.endpoint().address().socket_address().address() == address)
          return endpoint.load_balancing_weight().value();
      }
    }
    return 0;
  }

  // Records the endpoints that it uses from now on.
  void RecordUsedEndpoints() {
    UsePeriod period;
    period.since = Clock::now();
    const auto found = held_[xds::ResourceType::kEndpoint].find(recorded_pool_);
    if (found != held_[xds::ResourceType::kEndpoint].end()) {
      period.until = found->second.lease_expiry.value_or(Clock::time_point::max());
      if (!use_periods_.empty() && use_periods_.back().version == found->second.version) {
        period.addresses = use_periods_.back().addresses;
      } else {
        envoy::config::endpoint::v3::ClusterLoadAssignment list;
        list.ParseFromString(found->second.bytes);
        for (const auto& locality : list.endpoints()) {
          for (const auto& endpoint : locality.lb_endpoints()) {
            const std::string& address = endpoint.endpoint().address().socket_address().address();
            if (endpoint.health_status() == envoy::config::core::v3::HEALTHY &&
                address.starts_with(recorded_address_prefix_))
              period.addresses.insert(address);
          }
        }
      }
      period.version = found->second.version;
    }
    use_periods_.push_back(std::move(period));
  }

  template <typename Message>
  void AddNode(Message& request) {
    if (!std::exchange(is_first_request_, false)) return;
    request.mutable_node()->set_id(id_);
    request.mutable_node()->set_cluster(cluster_);
  }
  void SendStateOfTheWorld(xds::ResourceType type, const std::string& version, const std::string& nonce,
                           bool is_nack) {
    discovery::DiscoveryRequest request;
    AddNode(request);
    request.set_type_url(std::string(xds::TypeUrl(type)));
    request.set_version_info(version);
    request.set_response_nonce(nonce);
    for (const std::string& name : names_[type]) request.add_resource_names(name);
    if (is_nack) request.mutable_error_detail()->set_message("the stand-in does not like it");
    sotw_stream_->Write(request);
  }

  void Read() {
    if (delta_) {
      discovery::DeltaDiscoveryResponse response;
      while (delta_stream_->Read(&response)) {
        std::vector<discovery::Resource> resources(response.resources().begin(), response.resources().end());
        HandleResponse(response.type_url(), response.nonce(), response.system_version_info(), resources,
                       {response.removed_resources().begin(), response.removed_resources().end()});
      }
      OnStreamEnded(delta_stream_->Finish());
    } else {
      discovery::DiscoveryResponse response;
      while (sotw_stream_->Read(&response)) {
        std::vector<discovery::Resource> resources;
        for (const auto& any : response.resources()) {
          discovery::Resource resource;
          if (!any.UnpackTo(&resource)) {
            *resource.mutable_resource() = any;
            resource.set_version(response.version_info());
          }
          resources.push_back(resource);
        }
        HandleResponse(response.type_url(), response.nonce(), response.version_info(), resources, {});
      }
      OnStreamEnded(sotw_stream_->Finish());
    }
  }
  void OnStreamEnded(grpc::Status status) {
    const std::lock_guard lock(mutex_);
    status_ = std::move(status);
    has_ended_ = true;
    changed_.notify_all();
  }

  static std::string ResourceName(xds::ResourceType type, const discovery::Resource& resource) {
    if (!resource.name().empty()) return resource.name();
    envoy::config::endpoint::v3::ClusterLoadAssignment list;  // the name is field 1 of all types
    return list.ParseFromString(resource.resource().value()) && type <= xds::ResourceType::kRoute
               ? list.cluster_name()
               : "";
  }

  void HandleResponse(const std::string& url, const std::string& nonce, const std::string& version,
                      const std::vector<discovery::Resource>& resources,
                      const std::vector<std::string>& removed) {
    const std::lock_guard lock(mutex_);
    const auto type = xds::TypeFromUrl(url);
    if (!type || ignores_responses_) return;
    order_.push_back(*type);
    std::vector<std::string> names;
    bool is_heartbeat = !resources.empty();
    for (const auto& resource : resources) {
      names.push_back(ResourceName(*type, resource));
      is_heartbeat = is_heartbeat && !resource.has_resource();
    }
    const Reaction reaction = react(*type, names);
    const std::string previous_nonce = std::exchange(nonces_[*type], nonce);
    if (reaction == Reaction::kAck || reaction == Reaction::kNoAnswer || reaction == Reaction::kStaleNonce) {
      if (is_heartbeat) {
        ++heartbeat_count_;
      } else {
        ++response_counts_[*type];
      }
      for (const auto& resource : resources) {
        HeldResource& held = held_[*type][ResourceName(*type, resource)];
        if (resource.has_resource()) {
          held.version = resource.version();
          held.bytes = resource.resource().value();
        }
        held.lease_expiry.reset();
        if (resource.has_ttl()) {
          held.lease_expiry = Clock::now() + std::chrono::seconds(resource.ttl().seconds()) +
                              std::chrono::nanoseconds(resource.ttl().nanos());
        }
      }
      for (const std::string& name : removed) held_[*type].erase(name);
      if (!recorded_pool_.empty() && *type == xds::ResourceType::kEndpoint) RecordUsedEndpoints();
    }
    if (reaction != Reaction::kNoAnswer) {
      const std::string& answered_nonce = reaction == Reaction::kStaleNonce ? previous_nonce : nonce;
      if (!delta_) {
        SendStateOfTheWorld(*type, version, answered_nonce, reaction == Reaction::kNack);
      } else {
        discovery::DeltaDiscoveryRequest request;
        request.set_type_url(url);
        request.set_response_nonce(answered_nonce);
        if (reaction == Reaction::kNack)
          request.mutable_error_detail()->set_message("the stand-in does not like it");
        delta_stream_->Write(request);
      }
    }
    changed_.notify_all();
  }

  const bool delta_;
  const std::string id_, cluster_;
  const int port_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::ClientReaderWriter<discovery::DiscoveryRequest, discovery::DiscoveryResponse>>
      sotw_stream_;
  std::unique_ptr<
      grpc::ClientReaderWriter<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>>
      delta_stream_;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_first_request_ = true;
  std::map<xds::ResourceType, std::vector<std::string>> names_;
  std::map<xds::ResourceType, std::string> nonces_;
  std::map<xds::ResourceType, std::map<std::string, HeldResource>> held_;
  std::map<xds::ResourceType, int> response_counts_;
  std::vector<xds::ResourceType> order_;
  struct UsePeriod {
    Clock::time_point since, until;
    std::string version;
    std::set<std::string> addresses;
  };
  std::string recorded_pool_, recorded_address_prefix_;
  std::deque<UsePeriod> use_periods_;
  int heartbeat_count_ = 0;
  std::atomic<bool> ignores_responses_{false};
  bool has_ended_ = false;
  grpc::Status status_;
};

// Connects the proxy and subscribes to all resources of a file with pools "one" and "two" and a listener
// "in".
inline void ConnectAndSubscribeToAll(XdsClient& client) {
  client.Connect();
  client.Subscribe(xds::ResourceType::kCluster);
  client.Subscribe(xds::ResourceType::kEndpoint, {"one", "two"});
  client.Subscribe(xds::ResourceType::kListener);
  client.Subscribe(xds::ResourceType::kRoute, {"routes/in"});
}

// Whether it has received all of these. For conditions of Await, and after Await.
inline bool HasAllResources(XdsClient& client) {
  return client.held(xds::ResourceType::kCluster).size() == 2 &&
         client.held(xds::ResourceType::kEndpoint).size() == 2 &&
         client.held(xds::ResourceType::kListener).size() == 1 &&
         client.held(xds::ResourceType::kRoute).size() == 1;
}

inline bool ConnectAndReceiveAll(XdsClient& client) {
  ConnectAndSubscribeToAll(client);
  return client.Await([&] { return HasAllResources(client); });
}

// Sends load reports as a proxy does, correct or false ones.
class LoadReporter {
 public:
  struct Counts {
    std::uint64_t served, failed;
    double latency_ms;
  };
  LoadReporter(int port, std::string id)
      : id_(std::move(id)),
        stub_(stats::LoadReportingService::NewStub(
            grpc::CreateChannel("127.0.0.1:" + std::to_string(port), grpc::InsecureChannelCredentials()))) {}
  ~LoadReporter() {
    context_.TryCancel();
    if (stream_) stream_->Finish();
  }

  // Opens the stream and returns the requested reporting interval in ms; 0 if there is no response.
  int Start() {
    stream_ = stub_->StreamLoadStats(&context_);
    stats::LoadStatsRequest request;
    request.mutable_node()->set_id(id_);
    stream_->Write(request);
    stats::LoadStatsResponse response;
    if (!stream_->Read(&response)) return 0;
    const auto& interval = response.load_reporting_interval();
    return static_cast<int>(interval.seconds() * 1000 + interval.nanos() / 1000000);
  }
  bool Report(const std::string& pool, const std::map<std::string, Counts>& hosts) {
    stats::LoadStatsRequest request;
    auto* const cluster = request.add_cluster_stats();
    cluster->set_cluster_name(pool);
    cluster->mutable_load_report_interval()->set_nanos(100000000);
    auto* const locality = cluster->add_upstream_locality_stats();
    for (const auto& [address, counts] : hosts) {
      auto* const endpoint = locality->add_upstream_endpoint_stats();
      endpoint->mutable_address()->mutable_socket_address()->set_address(address);
      endpoint->mutable_address()->mutable_socket_address()->set_port_value(80);
      endpoint->set_total_successful_requests(counts.served);
      endpoint->set_total_error_requests(counts.failed);
      auto* const metric = endpoint->add_load_metric_stats();
      metric->set_metric_name("latency_ms");
      metric->set_num_requests_finished_with_metric(counts.served + counts.failed);
      metric->set_total_metric_value(counts.latency_ms * static_cast<double>(counts.served + counts.failed));
    }
    return stream_->Write(request);
  }

 private:
  const std::string id_;
  std::unique_ptr<stats::LoadReportingService::Stub> stub_;
  grpc::ClientContext context_;
  std::unique_ptr<grpc::ClientReaderWriter<stats::LoadStatsRequest, stats::LoadStatsResponse>> stream_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_
