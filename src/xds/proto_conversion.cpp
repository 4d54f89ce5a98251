#include "xds/proto_conversion.hpp"

#include <algorithm>
#include <cstdint>

#include "envoy/service/discovery/v3/discovery.pb.h"

namespace opalswitch::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;

std::vector<std::string> ToStrings(const google::protobuf::RepeatedPtrField<std::string>& from) {
  return {from.begin(), from.end()};
}

void SetTtl(discovery::Resource* resource, Millis lease) {
  const auto nanos = static_cast<std::int64_t>(lease * 1e6);
  resource->mutable_ttl()->set_seconds(nanos / 1000000000);
  resource->mutable_ttl()->set_nanos(static_cast<std::int32_t>(nanos % 1000000000));
}

void SetAny(google::protobuf::Any* any, const Resource& resource, ResourceType type) {
  any->set_type_url(std::string(TypeUrl(type)));
  any->set_value(resource.bytes);
}

bool IsLeased(const StreamHub::OutgoingMessage& message, const std::string& name) {
  return std::find(message.leased_names.begin(), message.leased_names.end(), name) !=
         message.leased_names.end();
}

// Wraps a resource with its name, version and time to live. `resource` is null in a heartbeat, which renews a
// lease without content.
discovery::Resource WrapResource(const StreamHub::OutgoingMessage& message, const std::string& name,
                                 const Resource* resource, Millis lease) {
  discovery::Resource wrapped;
  wrapped.set_name(name);
  if (resource != nullptr) {
    wrapped.set_version(resource->version);
    SetAny(wrapped.mutable_resource(), *resource, message.response.type);
  }
  if (IsLeased(message, name)) SetTtl(&wrapped, lease);
  return wrapped;
}

}  // namespace

ProxyNode ToProxyNode(const envoy::config::core::v3::Node& node) {
  return {node.id(), node.cluster(), node.locality().zone()};
}

std::optional<XdsRequest> ToRequest(const discovery::DiscoveryRequest& from) {
  const auto type = TypeFromUrl(from.type_url());
  if (!type) return std::nullopt;
  XdsRequest request;
  request.type = *type;
  request.nonce = from.response_nonce();
  request.version = from.version_info();
  request.names = ToStrings(from.resource_names());
  if (from.has_error_detail()) request.error_detail = from.error_detail().message();
  return request;
}

std::optional<XdsRequest> ToRequest(const discovery::DeltaDiscoveryRequest& from) {
  const auto type = TypeFromUrl(from.type_url());
  if (!type) return std::nullopt;
  XdsRequest request;
  request.type = *type;
  request.nonce = from.response_nonce();
  request.subscribe = ToStrings(from.resource_names_subscribe());
  request.unsubscribe = ToStrings(from.resource_names_unsubscribe());
  for (const auto& [name, version] : from.initial_resource_versions())
    request.initial_versions[name] = version;
  if (from.has_error_detail()) request.error_detail = from.error_detail().message();
  return request;
}

void FillResponse(discovery::DiscoveryResponse& to, const StreamHub::OutgoingMessage& message, Millis lease,
                  const std::string& identifier) {
  to.set_version_info(message.response.version);
  to.mutable_control_plane()->set_identifier(identifier);
  const auto add = [&](const std::string& name, const Resource* resource) {
    to.add_resources()->PackFrom(WrapResource(message, name, resource, lease));
  };
  for (const ResourcePtr& resource : message.response.resources) {
    if (IsLeased(message, resource->name)) {
      add(resource->name, resource.get());
    } else {
      SetAny(to.add_resources(), *resource, message.response.type);
    }
  }
  if (!message.is_heartbeat) return;
  for (const std::string& name : message.leased_names) add(name, nullptr);
}

void FillResponse(discovery::DeltaDiscoveryResponse& to, const StreamHub::OutgoingMessage& message,
                  Millis lease, const std::string& identifier) {
  to.set_system_version_info(message.response.version);
  to.mutable_control_plane()->set_identifier(identifier);
  for (const ResourcePtr& resource : message.response.resources) {
    *to.add_resources() = WrapResource(message, resource->name, resource.get(), lease);
  }
  for (const std::string& name : message.response.removed) to.add_removed_resources(name);
  if (!message.is_heartbeat) return;
  for (const std::string& name : message.leased_names)
    *to.add_resources() = WrapResource(message, name, nullptr, lease);
}

}  // namespace opalswitch::xds
