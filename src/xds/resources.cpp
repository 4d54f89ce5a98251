#include "xds/resources.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "envoy/extensions/filters/http/router/v3/router.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"

namespace opalswitch::xds {
namespace {

namespace core = envoy::config::core::v3;
namespace hcm = envoy::extensions::filters::network::http_connection_manager::v3;
namespace route = envoy::config::route::v3;

// Equal messages give equal bytes; versions are hashes of them.
std::string SerializeDeterministically(const google::protobuf::Message& message) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::io::CodedOutputStream coded(&stream);
  coded.SetSerializationDeterministic(true);
  message.SerializeToCodedStream(&coded);
  coded.Trim();
  return bytes;
}

void SetDuration(google::protobuf::Duration* duration, Millis ms) {
  const auto nanos = static_cast<std::int64_t>(ms * 1e6);
  duration->set_seconds(nanos / 1000000000);
  duration->set_nanos(static_cast<std::int32_t>(nanos % 1000000000));
}

void SetAds(core::ConfigSource* source) {
  source->mutable_ads();
  source->set_resource_api_version(core::V3);
}

void AddResource(ResourceMap& resources, const std::string& name, const google::protobuf::Message& message,
                 std::set<std::string> clusters = {}) {
  resources[name] = MakeResource(name, SerializeDeterministically(message), std::move(clusters));
}

void PackAny(google::protobuf::Any* any, const google::protobuf::Message& message) {
  any->set_type_url("type.googleapis.com/" + message.GetDescriptor()->full_name());
  any->set_value(SerializeDeterministically(message));
}

envoy::config::cluster::v3::Cluster ToCluster(const config::Pool& pool, const ResourceOptions& options) {
  envoy::config::cluster::v3::Cluster cluster;
  cluster.set_name(pool.id);
  cluster.set_type(envoy::config::cluster::v3::Cluster::EDS);
  SetAds(cluster.mutable_eds_cluster_config()->mutable_eds_config());
  SetDuration(cluster.mutable_connect_timeout(), pool.dial_timeout);
  cluster.set_lb_policy(options.for_grpc_clients ? envoy::config::cluster::v3::Cluster::ROUND_ROBIN
                                                 : envoy::config::cluster::v3::Cluster::LEAST_REQUEST);
  if (pool.settings.max_in_flight > 0) {
    auto* const thresholds = cluster.mutable_circuit_breakers()->add_thresholds();
    thresholds->mutable_max_requests()->set_value(static_cast<std::uint32_t>(pool.settings.max_in_flight));
  }
  if (options.requests_load_reports) cluster.mutable_lrs_server()->mutable_self();
  return cluster;
}

// Whether a route can match a request that the virtual host of `domain` handles: the route has no host
// patterns, or one of them is that domain or a wildcard that covers it.
bool RouteAppliesToDomain(const routing::Route& match, const std::string& domain) {
  if (match.hosts.empty()) return true;
  return std::any_of(match.hosts.begin(), match.hosts.end(), [&](const std::string& pattern) {
    if (pattern == domain) return true;
    return domain != "*" && pattern.starts_with("*.") && domain.size() > pattern.size() - 1 &&
           domain.ends_with(pattern.substr(1));
  });
}

void SetAction(route::Route* to, const config::Services& services, const config::RouteRule& rule) {
  const config::Pool& pool = services.pools[rule.pool];
  to->set_name(rule.match.id);
  to->mutable_route()->set_cluster(pool.id);
  // If the client names the class, the proxy can't know whether a retry is safe.
  if (rule.class_index < 0) return;
  const ClassSettings& cls = pool.settings.classes[static_cast<std::size_t>(rule.class_index)];
  SetDuration(to->mutable_route()->mutable_timeout(), cls.deadline);
  if (pool.settings.max_attempts < 2) return;
  auto* const retry = to->mutable_route()->mutable_retry_policy();
  // A request that may have run is retried only if its class is safe. One whose connection failed has not
  // been sent.
  retry->set_retry_on(cls.effect == Effect::kSafe ? "5xx,reset,connect-failure,refused-stream"
                                                  : "connect-failure");
  retry->mutable_num_retries()->set_value(static_cast<std::uint32_t>(pool.settings.max_attempts - 1));
}

// Adds a route of the file to a virtual host: one xDS route for each combination of its paths, methods and
// classes.
void AddRoutes(route::VirtualHost* host, const config::Services& services, const config::RouteRule& rule,
               bool is_visible) {
  const routing::Route& match = rule.match;
  struct Path {
    bool is_prefix;
    std::string text;
  };
  std::vector<Path> paths;
  for (const routing::PathCondition& path : match.paths) {
    if (!path.is_prefix) {
      paths.push_back({false, path.text});
    } else if (path.text.empty()) {
      paths.push_back({true, "/"});
    } else {  // a prefix matches whole path segments
      paths.push_back({false, path.text});
      paths.push_back({true, path.text + "/"});
    }
  }
  if (paths.empty()) paths.push_back({true, ""});
  const std::vector<std::string> any = {""};
  for (const Path& path : paths) {
    for (const std::string& method : match.methods.empty() ? any : match.methods) {
      for (const std::string& cls : match.classes.empty() ? any : match.classes) {
        route::Route* const to = host->add_routes();
        if (path.is_prefix) {
          to->mutable_match()->set_prefix(path.text);
        } else {
          to->mutable_match()->set_path(path.text);
        }
        const auto equals = [&](const std::string& name, const std::string& value) {
          auto* const header = to->mutable_match()->add_headers();
          header->set_name(name);
          header->mutable_string_match()->set_exact(value);
        };
        if (!method.empty()) equals(":method", method);
        if (!cls.empty()) equals(services.headers.class_name, cls);
        for (const routing::HeaderCondition& condition : match.headers) {
          if (condition.kind == routing::HeaderCondition::Kind::kEquals) {
            equals(condition.name, condition.value);
          } else {
            auto* const header = to->mutable_match()->add_headers();
            header->set_name(condition.name);
            header->set_present_match(true);
            header->set_invert_match(condition.kind == routing::HeaderCondition::Kind::kAbsent);
          }
        }
        if (is_visible) {
          SetAction(to, services, rule);
        } else {
          to->set_name(rule.match.id);
          to->mutable_direct_response()->set_status(404);
        }
      }
    }
  }
}

std::string RouteConfigurationName(const config::Listener& listener) { return "routes/" + listener.id; }

void AddRouteConfiguration(ResourceMap& resources, const config::Services& services,
                           const config::Listener& listener, const ResourceOptions& options) {
  std::vector<std::string> domains = {"*"};
  std::vector<const config::RouteRule*> rules;
  for (const config::RouteRule& rule : services.routes) {
    const auto& listeners = rule.match.listeners;
    if (!listeners.empty() && std::find(listeners.begin(), listeners.end(), listener.id) == listeners.end())
      continue;
    // A route to a pool that these proxies don't see still matches (it answers 404): no later route may get
    // its requests.
    rules.push_back(&rule);
    for (const std::string& host : rule.match.hosts) {
      if (std::find(domains.begin(), domains.end(), host) == domains.end()) domains.push_back(host);
    }
  }
  std::sort(domains.begin(), domains.end());
  route::RouteConfiguration routes;
  routes.set_name(RouteConfigurationName(listener));
  routes.set_ignore_port_in_host_matching(true);
  std::set<std::string> clusters;
  for (const std::string& domain : domains) {
    route::VirtualHost host;
    host.set_name(domain);
    host.add_domains(domain);
    for (const config::RouteRule* const rule : rules) {
      if (!RouteAppliesToDomain(rule->match, domain)) continue;
      const std::string& pool = services.pools[rule->pool].id;
      const bool is_visible = options.pools.empty() || options.pools.contains(pool);
      AddRoutes(&host, services, *rule, is_visible);
      if (is_visible) clusters.insert(pool);
    }
    if (host.routes_size() > 0) *routes.add_virtual_hosts() = std::move(host);
  }
  AddResource(resources, routes.name(), routes, std::move(clusters));
}

void AddListener(ResourceMap& resources, const config::Listener& from, const ResourceOptions& options) {
  hcm::HttpConnectionManager manager;
  manager.set_stat_prefix(from.id);
  SetAds(manager.mutable_rds()->mutable_config_source());
  manager.mutable_rds()->set_route_config_name(RouteConfigurationName(from));
  auto* const filter = manager.add_http_filters();
  filter->set_name("envoy.filters.http.router");
  PackAny(filter->mutable_typed_config(), envoy::extensions::filters::http::router::v3::Router());
  envoy::config::listener::v3::Listener listener;
  listener.set_name(from.id);
  if (options.for_grpc_clients) {
    PackAny(listener.mutable_api_listener()->mutable_api_listener(), manager);
  } else {
    auto* const address = listener.mutable_address()->mutable_socket_address();
    address->set_address(from.address.address().to_string());
    address->set_port_value(from.address.port());
    auto* const network = listener.add_filter_chains()->add_filters();
    network->set_name("envoy.filters.network.http_connection_manager");
    PackAny(network->mutable_typed_config(), manager);
  }
  AddResource(resources, from.id, listener);
}

// Returns `before` if it has the same version, or else `made`.
ResourcePtr ReuseIfUnchanged(ResourcePtr made, const ResourcePtr& before) {
  return before && before->version == made->version ? before : made;
}

// Percent-encodes all characters but the unreserved ones (RFC 3986, section 2.3).
std::string PercentEncode(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const bool is_unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                               c == '-' || c == '.' || c == '_' || c == '~';
    char encoded[4];
    std::snprintf(encoded, sizeof encoded, "%%%02X", static_cast<unsigned char>(c));
    out += is_unreserved ? std::string(1, c) : encoded;
  }
  return out;
}

std::string CollectionsPrefix(const std::string& pool) {
  return "xdstp:///envoy.config.endpoint.v3.LbEndpoint/" + PercentEncode(pool) + "/";
}

std::string CollectionName(const std::string& pool, const std::string& zone) {
  return CollectionsPrefix(pool) + "zone-" + PercentEncode(zone) + "/";
}

envoy::config::endpoint::v3::ClusterLoadAssignment MakeLoadAssignment(const std::string& pool,
                                                                      const ResourceOptions& options) {
  envoy::config::endpoint::v3::ClusterLoadAssignment assignment;
  assignment.set_cluster_name(pool);
  if (options.endpoint_stale_after > 0)
    SetDuration(assignment.mutable_policy()->mutable_endpoint_stale_after(), options.endpoint_stale_after);
  return assignment;
}

void FillLbEndpoint(envoy::config::endpoint::v3::LbEndpoint* to, const EndpointAssignment& endpoint) {
  auto* const address = to->mutable_endpoint()->mutable_address()->mutable_socket_address();
  address->set_address(endpoint.address);
  address->set_port_value(endpoint.port);
  to->set_health_status(endpoint.health == EndpointHealth::kHealthy   ? core::HEALTHY
                        : endpoint.health == EndpointHealth::kEjected ? core::UNHEALTHY
                                                                      : core::DRAINING);
  to->mutable_load_balancing_weight()->set_value(std::max(1u, endpoint.weight));
}

}  // namespace

EndpointResources MakePlaceholderEndpoints(const std::string& pool, const ResourceOptions& options) {
  EndpointResources resources;
  resources.load_assignment = MakePlaceholder(pool);
  if (options.uses_leds)
    resources.lb_endpoints[CollectionsPrefix(pool)] = MakePlaceholder(CollectionsPrefix(pool));
  return resources;
}

std::string LbEndpointName(const std::string& pool, const EndpointAssignment& endpoint) {
  return CollectionName(pool, endpoint.zone) + PercentEncode(endpoint.id);
}

ResourcePtr BuildLbEndpoint(const std::string& pool, const EndpointAssignment& endpoint,
                            const ResourcePtr& before) {
  envoy::config::endpoint::v3::LbEndpoint member;
  FillLbEndpoint(&member, endpoint);
  return ReuseIfUnchanged(MakeResource(LbEndpointName(pool, endpoint), SerializeDeterministically(member)),
                          before);
}

ResourcePtr BuildLedsAssignment(const std::string& pool, const std::set<std::string>& zones,
                                const ResourceOptions& options, const ResourcePtr& before) {
  auto assignment = MakeLoadAssignment(pool, options);
  for (const std::string& zone : zones) {
    auto* const locality = assignment.add_endpoints();
    locality->mutable_locality()->set_zone(zone);
    auto* const leds = locality->mutable_leds_cluster_locality_config();
    SetAds(leds->mutable_leds_config());
    leds->set_leds_collection_name(CollectionName(pool, zone) + "*");
  }
  return ReuseIfUnchanged(MakeResource(pool, SerializeDeterministically(assignment)), before);
}

EndpointResources BuildEndpointResources(const std::string& pool,
                                         const std::vector<EndpointAssignment>& endpoints,
                                         const ResourceOptions& options, const EndpointResources& before) {
  EndpointResources resources;
  if (options.uses_leds) {
    std::set<std::string> zones;
    for (const EndpointAssignment& endpoint : endpoints) {
      zones.insert(endpoint.zone);
      const std::string name = LbEndpointName(pool, endpoint);
      const auto found = before.lb_endpoints.find(name);
      resources.lb_endpoints[name] =
          BuildLbEndpoint(pool, endpoint, found == before.lb_endpoints.end() ? nullptr : found->second);
    }
    resources.load_assignment = BuildLedsAssignment(pool, zones, options, before.load_assignment);
    return resources;
  }
  auto assignment = MakeLoadAssignment(pool, options);
  // Sorted by zone and id, whatever the order of the input. For gRPC clients, each endpoint is a locality
  // (see ResourceOptions).
  std::map<std::pair<std::string, std::string>, std::map<std::string, const EndpointAssignment*>> localities;
  for (const EndpointAssignment& endpoint : endpoints) {
    localities[{endpoint.zone, options.for_grpc_clients ? endpoint.id : ""}][endpoint.id] = &endpoint;
  }
  for (const auto& [locality_id, endpoints_by_id] : localities) {
    auto* const locality = assignment.add_endpoints();
    locality->mutable_locality()->set_zone(locality_id.first);
    locality->mutable_locality()->set_sub_zone(locality_id.second);
    std::uint64_t total_weight = 0;
    for (const auto& [id, endpoint] : endpoints_by_id) {
      FillLbEndpoint(locality->add_lb_endpoints(), *endpoint);
      if (endpoint->health == EndpointHealth::kHealthy) total_weight += std::max(1u, endpoint->weight);
    }
    // Calls that are sent to a locality without healthy endpoints would fail.
    if (options.for_grpc_clients && total_weight == 0) {
      assignment.mutable_endpoints()->RemoveLast();
      continue;
    }
    locality->mutable_load_balancing_weight()->set_value(
        static_cast<std::uint32_t>(std::clamp<std::uint64_t>(total_weight, 1, 0x7fffffff)));
  }
  resources.load_assignment =
      ReuseIfUnchanged(MakeResource(pool, SerializeDeterministically(assignment)), before.load_assignment);
  return resources;
}

std::array<ResourceMap, kResourceTypeCount> BuildRoutingResources(const config::Services& services,
                                                                  const ResourceOptions& options) {
  std::array<ResourceMap, kResourceTypeCount> all;
  const auto resources_of = [&](ResourceType type) -> ResourceMap& {
    return all[static_cast<std::size_t>(type)];
  };
  for (const config::Pool& pool : services.pools) {
    if (options.pools.empty() || options.pools.contains(pool.id))
      AddResource(resources_of(ResourceType::kCluster), pool.id, ToCluster(pool, options));
  }
  for (const config::Listener& listener : services.listeners) {
    if (!options.listeners.empty() && !options.listeners.contains(listener.id)) continue;
    AddListener(resources_of(ResourceType::kListener), listener, options);
    AddRouteConfiguration(resources_of(ResourceType::kRoute), services, listener, options);
  }
  return all;
}

std::shared_ptr<const Snapshot> BuildSnapshot(const config::Services& services,
                                              const EndpointAssignments& assignments,
                                              const ResourceOptions& options) {
  auto all = BuildRoutingResources(services, options);
  for (const auto& [pool, cluster] : all[static_cast<std::size_t>(ResourceType::kCluster)]) {
    const auto found = assignments.find(pool);
    EndpointResources resources = BuildEndpointResources(
        pool, found == assignments.end() ? std::vector<EndpointAssignment>() : found->second, options);
    all[static_cast<std::size_t>(ResourceType::kEndpoint)][pool] = resources.load_assignment;
    all[static_cast<std::size_t>(ResourceType::kLbEndpoint)].merge(resources.lb_endpoints);
  }
  return std::make_shared<Snapshot>(std::move(all));
}

}  // namespace opalswitch::xds
