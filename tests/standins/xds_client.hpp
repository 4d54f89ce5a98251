// A stand-in proxy: speaks ADS in either form over gRPC, keeps what it is told, goes by a list of endpoints
// only while its lease runs, and misbehaves on command. Written from the published protocol.
#ifndef OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_
#define OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/service/discovery/v3/ads.grpc.pb.h"
#include "xds/snapshot.hpp"

namespace opalswitch::testing {

namespace discovery = envoy::service::discovery::v3;

class XdsClient {
 public:
  using Clock = std::chrono::steady_clock;
  struct Held {
    std::string version, bytes;
    std::optional<Clock::time_point> until;  // of its lease
  };
  // What it does with an answer.
  enum class Reply { kAck, kNack, kNothing, kStale };

  XdsClient(int port, bool delta, std::string id = "proxy", std::string cluster = "edge")
      : delta_(delta), id_(std::move(id)), cluster_(std::move(cluster)), port_(port) {}
  ~XdsClient() { Drop(); }
  XdsClient(const XdsClient&) = delete;
  XdsClient& operator=(const XdsClient&) = delete;

  // Opens a stream, with a connection of its own. What it holds already it says (delta).
  void Connect() {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    channel_ = grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port_),
                                         grpc::InsecureChannelCredentials(), arguments);
    const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel_);
    context_ = std::make_unique<grpc::ClientContext>();
    ended_ = false;
    if (delta_) {
      changes_ = stub->DeltaAggregatedResources(context_.get());
    } else {
      whole_ = stub->StreamAggregatedResources(context_.get());
    }
    first_ = true;
    reader_ = std::thread([this] { Read(); });
  }
  // Ends the stream without a word.
  void Drop() {
    if (context_) context_->TryCancel();
    if (reader_.joinable()) reader_.join();
    whole_.reset();
    changes_.reset();
    context_.reset();
  }

  void Subscribe(xds::Type type, std::vector<std::string> names = {}) {
    const std::lock_guard lock(mutex_);
    names_[type] = names;
    if (!delta_) return SendWhole(type, "", nonces_[type], false);
    discovery::DeltaDiscoveryRequest request;
    Introduce(request);
    request.set_type_url(std::string(xds::TypeUrl(type)));
    for (const std::string& name : names) request.add_resource_names_subscribe(name);
    for (const auto& [name, held] : held_[type])
      (*request.mutable_initial_resource_versions())[name] = held.version;
    changes_->Write(request);
  }

  // Waits until `holds` is true of what it has been told; false after half a minute.
  bool Await(const std::function<bool()>& holds) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(30), holds);
  }
  // These are for `holds`, and for whoever has waited.
  const std::map<std::string, Held>& held(xds::Type type) { return held_[type]; }
  std::string Version(xds::Type type, const std::string& name) {
    const auto found = held_[type].find(name);
    return found == held_[type].end() ? "" : found->second.version;
  }
  bool ended() const { return ended_; }
  grpc::Status status() const { return status_; }
  int answers(xds::Type type) { return answers_[type]; }
  int heartbeats() const { return heartbeats_; }
  std::vector<xds::Type> order() const { return order_; }
  // Whether it may route to the endpoint now.
  bool Routes(const std::string& pool, const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto found = held_[xds::Type::kEndpoint].find(pool);
    if (found == held_[xds::Type::kEndpoint].end()) return false;
    if (found->second.until && Clock::now() >= *found->second.until) return false;
    envoy::config::endpoint::v3::ClusterLoadAssignment list;
    if (!list.ParseFromString(found->second.bytes)) return false;
    for (const auto& locality : list.endpoints()) {
      for (const auto& endpoint : locality.lb_endpoints()) {
        const bool usable = endpoint.health_status() == envoy::config::core::v3::HEALTHY;
        if (usable && endpoint.endpoint().address().socket_address().address() == address) return true;
      }
    }
    return false;
  }

  std::function<Reply(xds::Type, const std::vector<std::string>& names)> reply = [](auto, auto&) {
    return Reply::kAck;
  };

 private:
  template <typename Message>
  void Introduce(Message& request) {
    if (!std::exchange(first_, false)) return;
    request.mutable_node()->set_id(id_);
    request.mutable_node()->set_cluster(cluster_);
  }
  void SendWhole(xds::Type type, const std::string& version, const std::string& nonce, bool bad) {
    discovery::DiscoveryRequest request;
    Introduce(request);
    request.set_type_url(std::string(xds::TypeUrl(type)));
    request.set_version_info(version);
    request.set_response_nonce(nonce);
    for (const std::string& name : names_[type]) request.add_resource_names(name);
    if (bad) request.mutable_error_detail()->set_message("the stand-in does not like it");
    whole_->Write(request);
  }

  void Read() {
    if (delta_) {
      discovery::DeltaDiscoveryResponse response;
      while (changes_->Read(&response)) {
        std::vector<discovery::Resource> resources(response.resources().begin(), response.resources().end());
        Take(response.type_url(), response.nonce(), response.system_version_info(), resources,
             {response.removed_resources().begin(), response.removed_resources().end()});
      }
      Ended(changes_->Finish());
    } else {
      discovery::DiscoveryResponse response;
      while (whole_->Read(&response)) {
        std::vector<discovery::Resource> resources;
        for (const auto& any : response.resources()) {
          discovery::Resource resource;
          if (!any.UnpackTo(&resource)) {
            *resource.mutable_resource() = any;
            resource.set_version(response.version_info());
          }
          resources.push_back(resource);
        }
        Take(response.type_url(), response.nonce(), response.version_info(), resources, {});
      }
      Ended(whole_->Finish());
    }
  }
  void Ended(grpc::Status status) {
    const std::lock_guard lock(mutex_);
    status_ = std::move(status);
    ended_ = true;
    changed_.notify_all();
  }

  static std::string NameOf(xds::Type type, const discovery::Resource& resource) {
    if (!resource.name().empty()) return resource.name();
    envoy::config::endpoint::v3::ClusterLoadAssignment list;  // of all types the name is field 1
    return list.ParseFromString(resource.resource().value()) && type <= xds::Type::kRoute
               ? list.cluster_name()
               : "";
  }

  void Take(const std::string& url, const std::string& nonce, const std::string& version,
            const std::vector<discovery::Resource>& resources, const std::vector<std::string>& removed) {
    const std::lock_guard lock(mutex_);
    const auto type = xds::TypeOf(url);
    if (!type) return;
    order_.push_back(*type);
    std::vector<std::string> names;
    bool beat = !resources.empty();
    for (const auto& resource : resources) {
      names.push_back(NameOf(*type, resource));
      beat = beat && !resource.has_resource();
    }
    const Reply what = reply(*type, names);
    const std::string before = std::exchange(nonces_[*type], nonce);
    if (what == Reply::kAck || what == Reply::kNothing || what == Reply::kStale) {
      beat ? ++heartbeats_ : ++answers_[*type];
      for (const auto& resource : resources) {
        Held& held = held_[*type][NameOf(*type, resource)];
        if (resource.has_resource()) {
          held.version = resource.version();
          held.bytes = resource.resource().value();
        }
        held.until.reset();
        if (resource.has_ttl()) {
          held.until = Clock::now() + std::chrono::seconds(resource.ttl().seconds()) +
                       std::chrono::nanoseconds(resource.ttl().nanos());
        }
      }
      for (const std::string& name : removed) held_[*type].erase(name);
    }
    if (what != Reply::kNothing) {
      const std::string& said = what == Reply::kStale ? before : nonce;
      if (!delta_) {
        SendWhole(*type, version, said, what == Reply::kNack);
      } else {
        discovery::DeltaDiscoveryRequest request;
        request.set_type_url(url);
        request.set_response_nonce(said);
        if (what == Reply::kNack)
          request.mutable_error_detail()->set_message("the stand-in does not like it");
        changes_->Write(request);
      }
    }
    changed_.notify_all();
  }

  const bool delta_;
  const std::string id_, cluster_;
  const int port_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::ClientReaderWriter<discovery::DiscoveryRequest, discovery::DiscoveryResponse>> whole_;
  std::unique_ptr<
      grpc::ClientReaderWriter<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>>
      changes_;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool first_ = true;
  std::map<xds::Type, std::vector<std::string>> names_;
  std::map<xds::Type, std::string> nonces_;
  std::map<xds::Type, std::map<std::string, Held>> held_;
  std::map<xds::Type, int> answers_;
  std::vector<xds::Type> order_;
  int heartbeats_ = 0;
  bool ended_ = false;
  grpc::Status status_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_XDS_CLIENT_HPP_
