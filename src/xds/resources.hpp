// Builds xDS resources from the operators' file and the current endpoint assignments: listeners with their
// route configurations, and a cluster with its endpoints for each pool. No I/O; the same inputs give the same
// bytes and versions.
#ifndef OPALSWITCH_XDS_RESOURCES_HPP_
#define OPALSWITCH_XDS_RESOURCES_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/services.hpp"
#include "xds/snapshot.hpp"

namespace opalswitch::xds {

// kEjected: listed, but not to be used (UNHEALTHY in EDS).
enum class EndpointHealth { kHealthy, kEjected, kDraining };

// One host as proxies are to use it.
struct EndpointAssignment {
  std::string id, zone;
  std::string address;  // an IP address
  std::uint16_t port = 0;
  std::uint32_t weight = 1;  // relative to the pool's other endpoints; at least 1
  EndpointHealth health = EndpointHealth::kHealthy;
};

// Endpoints by pool id.
using EndpointAssignments = std::map<std::string, std::vector<EndpointAssignment>>;

struct ResourceOptions {
  // The proxies are gRPC clients: listeners are API listeners without addresses, and each endpoint is a
  // locality of its own, since these clients use the weights of localities only.
  bool for_grpc_clients = false;
  bool uses_leds = false;           // ClusterLoadAssignments refer to LEDS collections
  Millis endpoint_stale_after = 0;  // time after which unrenewed endpoints may not be used; 0 = never
  bool requests_load_reports = true;
  std::set<std::string> pools, listeners;  // that the proxies may see; empty = all
};

// The endpoint resources of one pool. lb_endpoints is empty unless LEDS is used.
struct EndpointResources {
  ResourcePtr load_assignment;
  ResourceMap lb_endpoints;
};

// Builds all resources. Routes keep the file's order within each host pattern; see docs/design/02-xds.md.
std::shared_ptr<const Snapshot> BuildSnapshot(const config::Services& services,
                                              const EndpointAssignments& assignments,
                                              const ResourceOptions& options);

// Builds the endpoint resources of one pool, for a change that affects nothing else. Resources whose content
// equals that in `before` are reused from there.
EndpointResources BuildEndpointResources(const std::string& pool,
                                         const std::vector<EndpointAssignment>& endpoints,
                                         const ResourceOptions& options,
                                         const EndpointResources& before = {});

// Creates placeholders for a pool whose endpoints are not known yet: proxies keep those that they have.
EndpointResources MakePlaceholderEndpoints(const std::string& pool, const ResourceOptions& options);

// The name of an endpoint in its LEDS collection, and its LbEndpoint resource. `before`: the previous
// resource, which is reused if its content is the same; may be null.
std::string LbEndpointName(const std::string& pool, const EndpointAssignment& endpoint);
ResourcePtr BuildLbEndpoint(const std::string& pool, const EndpointAssignment& endpoint,
                            const ResourcePtr& before);
// Builds the ClusterLoadAssignment that refers to the LEDS collections of these zones.
ResourcePtr BuildLedsAssignment(const std::string& pool, const std::set<std::string>& zones,
                                const ResourceOptions& options, const ResourcePtr& before);

// Builds the clusters of all pools, and the listeners and route configurations that lead to them.
std::array<ResourceMap, kResourceTypeCount> BuildRoutingResources(const config::Services& services,
                                                                  const ResourceOptions& options);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_RESOURCES_HPP_
