// Conversion between ADS protocol buffer messages and the stream hub's types. No I/O.
#ifndef OPALSWITCH_XDS_PROTO_CONVERSION_HPP_
#define OPALSWITCH_XDS_PROTO_CONVERSION_HPP_

#include <optional>
#include <string>

#include "xds/stream_hub.hpp"

namespace envoy::config::core::v3 {
class Node;
}
namespace envoy::service::discovery::v3 {
class DeltaDiscoveryRequest;
class DeltaDiscoveryResponse;
class DiscoveryRequest;
class DiscoveryResponse;
}  // namespace envoy::service::discovery::v3

namespace opalswitch::xds {

ProxyNode ToProxyNode(const envoy::config::core::v3::Node& node);

// Returns nullopt if this service does not serve the requested type.
std::optional<XdsRequest> ToRequest(const envoy::service::discovery::v3::DiscoveryRequest& from);
std::optional<XdsRequest> ToRequest(const envoy::service::discovery::v3::DeltaDiscoveryRequest& from);

// Fills in all but the type URL and the nonce. `lease`: time to live, in ms, of the leased resources.
void FillResponse(envoy::service::discovery::v3::DiscoveryResponse& to,
                  const StreamHub::OutgoingMessage& message, Millis lease, const std::string& identifier);
void FillResponse(envoy::service::discovery::v3::DeltaDiscoveryResponse& to,
                  const StreamHub::OutgoingMessage& message, Millis lease, const std::string& identifier);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_PROTO_CONVERSION_HPP_
