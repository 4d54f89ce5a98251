// The operators' file and the present assignments of endpoints, as xDS resources: listeners and their routes,
// a cluster and its endpoints for each pool. Pure: the same inputs give the same bytes and versions.
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

enum class EndpointHealth { kHealthy, kEjected, kDraining };  // kOut: listed, and not to be used

struct EndpointAssignment {
  std::string id, zone;
  std::string address;  // an IP address
  std::uint16_t port = 0;
  std::uint32_t weight = 1;  // over all of the pool's; at least 1
  EndpointHealth health = EndpointHealth::kHealthy;
};

// A pool's endpoints, by its id.
using EndpointAssignments = std::map<std::string, std::vector<EndpointAssignment>>;

struct ResourceOptions {
  // The proxies are gRPC clients: listeners by their names, without addresses, and endpoints as localities of
  // their own, for these clients know the weights of localities alone.
  bool for_grpc_clients = false;
  bool uses_leds = false;           // lists of endpoints lead to collections of members (LEDS)
  Millis endpoint_stale_after = 0;  // endpoints are not to be used for longer without news; 0 = for ever
  bool requests_load_reports = true;
  std::set<std::string> pools, listeners;  // that the proxies are told of; empty = all
};

// One pool's endpoints: their list, and, where the list leads to them, its members.
struct EndpointResources {
  ResourcePtr load_assignment;
  ResourceMap lb_endpoints;
};

// Routes follow the file's order within each host pattern; see docs/design/02-xds.md.
std::shared_ptr<const Snapshot> BuildSnapshot(const config::Services& services,
                                              const EndpointAssignments& assignments,
                                              const ResourceOptions& options);

// The endpoints of one pool alone, for a change that touches nothing else. What has the same content in
// `before` is taken from there.
EndpointResources BuildEndpointResources(const std::string& pool,
                                         const std::vector<EndpointAssignment>& endpoints,
                                         const ResourceOptions& options,
                                         const EndpointResources& before = {});

// In the place of a pool's endpoints that are not known yet: proxies keep what they have.
EndpointResources MakePlaceholderEndpoints(const std::string& pool, const ResourceOptions& options);

// The name of an endpoint as a member of its collection, and the member.
std::string LbEndpointName(const std::string& pool, const EndpointAssignment& endpoint);
ResourcePtr BuildLbEndpoint(const std::string& pool, const EndpointAssignment& endpoint,
                            const ResourcePtr& before);
// The list that leads to the collections of these zones.
ResourcePtr BuildLedsAssignment(const std::string& pool, const std::set<std::string>& zones,
                                const ResourceOptions& options, const ResourcePtr& before);

// The clusters of all pools, and the listeners and routes to them.
std::array<ResourceMap, kResourceTypeCount> BuildRoutingResources(const config::Services& services,
                                                                  const ResourceOptions& options);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_RESOURCES_HPP_
