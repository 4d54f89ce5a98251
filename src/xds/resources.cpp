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

// The same bytes for the same message: versions are made of them.
std::string Bytes(const google::protobuf::Message& message) {
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

void Put(Resources& resources, const std::string& name, const google::protobuf::Message& message,
         std::set<std::string> clusters = {}) {
  resources[name] = MakeResource(name, Bytes(message), std::move(clusters));
}

void Pack(google::protobuf::Any* any, const google::protobuf::Message& message) {
  any->set_type_url("type.googleapis.com/" + message.GetDescriptor()->full_name());
  any->set_value(Bytes(message));
}

envoy::config::cluster::v3::Cluster ToCluster(const config::Pool& pool, const ResourceOptions& options) {
  envoy::config::cluster::v3::Cluster cluster;
  cluster.set_name(pool.id);
  cluster.set_type(envoy::config::cluster::v3::Cluster::EDS);
  SetAds(cluster.mutable_eds_cluster_config()->mutable_eds_config());
  SetDuration(cluster.mutable_connect_timeout(), pool.dial_timeout);
  cluster.set_lb_policy(options.grpc_clients ? envoy::config::cluster::v3::Cluster::ROUND_ROBIN
                                             : envoy::config::cluster::v3::Cluster::LEAST_REQUEST);
  if (pool.settings.max_in_flight > 0) {
    auto* const bounds = cluster.mutable_circuit_breakers()->add_thresholds();
    bounds->mutable_max_requests()->set_value(static_cast<std::uint32_t>(pool.settings.max_in_flight));
  }
  if (options.load_reports) cluster.mutable_lrs_server()->mutable_self();
  return cluster;
}

// Whether a route can take a request whose host falls to the virtual host of `domain`: that host is the
// domain itself, or lies under it and under no narrower one.
bool MayTake(const routing::Route& match, const std::string& domain) {
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
  if (rule.class_index < 0) return;  // the client states its class: the proxy can't tell what may run twice
  const ClassSettings& cls = pool.settings.classes[static_cast<std::size_t>(rule.class_index)];
  SetDuration(to->mutable_route()->mutable_timeout(), cls.deadline);
  if (pool.settings.max_attempts < 2) return;
  auto* const retry = to->mutable_route()->mutable_retry_policy();
  // What may have run is sent again only where its class is safe. A connection that never came up carried
  // nothing.
  retry->set_retry_on(cls.effect == Effect::kSafe ? "5xx,reset,connect-failure,refused-stream"
                                                  : "connect-failure");
  retry->mutable_num_retries()->set_value(static_cast<std::uint32_t>(pool.settings.max_attempts - 1));
}

// One of the file's routes as the routes of a virtual host: an alternative each for paths, methods and
// classes.
void AddRoutes(route::VirtualHost* host, const config::Services& services, const config::RouteRule& rule,
               bool told) {
  const routing::Route& match = rule.match;
  struct Path {
    bool prefix;
    std::string text;
  };
  std::vector<Path> paths;
  for (const routing::PathCondition& path : match.paths) {
    if (!path.is_prefix) {
      paths.push_back({false, path.text});
    } else if (path.text.empty()) {
      paths.push_back({true, "/"});
    } else {  // on segment borders
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
        if (told) {
          SetAction(to, services, rule);
        } else {
          to->set_name(rule.match.id);
          to->mutable_direct_response()->set_status(404);
        }
      }
    }
  }
}

std::string RoutesName(const config::Listener& listener) { return "routes/" + listener.id; }

void PutRoutes(Resources& resources, const config::Services& services, const config::Listener& listener,
               const ResourceOptions& options) {
  std::vector<std::string> domains = {"*"};
  std::vector<const config::RouteRule*> rules;
  for (const config::RouteRule& rule : services.routes) {
    const auto& listeners = rule.match.listeners;
    if (!listeners.empty() && std::find(listeners.begin(), listeners.end(), listener.id) == listeners.end())
      continue;
    // A route that leads nowhere for these proxies still takes its requests: no later one may get them.
    rules.push_back(&rule);
    for (const std::string& host : rule.match.hosts) {
      if (std::find(domains.begin(), domains.end(), host) == domains.end()) domains.push_back(host);
    }
  }
  std::sort(domains.begin(), domains.end());
  route::RouteConfiguration routes;
  routes.set_name(RoutesName(listener));
  routes.set_ignore_port_in_host_matching(true);
  std::set<std::string> clusters;
  for (const std::string& domain : domains) {
    route::VirtualHost host;
    host.set_name(domain);
    host.add_domains(domain);
    for (const config::RouteRule* const rule : rules) {
      if (!MayTake(rule->match, domain)) continue;
      const std::string& pool = services.pools[rule->pool].id;
      const bool told = options.pools.empty() || options.pools.contains(pool);
      AddRoutes(&host, services, *rule, told);
      if (told) clusters.insert(pool);
    }
    if (host.routes_size() > 0) *routes.add_virtual_hosts() = std::move(host);
  }
  Put(resources, routes.name(), routes, std::move(clusters));
}

void PutListener(Resources& resources, const config::Listener& from, const ResourceOptions& options) {
  hcm::HttpConnectionManager manager;
  manager.set_stat_prefix(from.id);
  SetAds(manager.mutable_rds()->mutable_config_source());
  manager.mutable_rds()->set_route_config_name(RoutesName(from));
  auto* const filter = manager.add_http_filters();
  filter->set_name("envoy.filters.http.router");
  Pack(filter->mutable_typed_config(), envoy::extensions::filters::http::router::v3::Router());
  envoy::config::listener::v3::Listener listener;
  listener.set_name(from.id);
  if (options.grpc_clients) {
    Pack(listener.mutable_api_listener()->mutable_api_listener(), manager);
  } else {
    auto* const address = listener.mutable_address()->mutable_socket_address();
    address->set_address(from.address.address().to_string());
    address->set_port_value(from.address.port());
    auto* const network = listener.add_filter_chains()->add_filters();
    network->set_name("envoy.filters.network.http_connection_manager");
    Pack(network->mutable_typed_config(), manager);
  }
  Put(resources, from.id, listener);
}

}  // namespace

namespace {

// The resource, or one of before that says the same.
ResourcePtr Kept(ResourcePtr made, const ResourcePtr& before) {
  return before && before->version == made->version ? before : made;
}

// RFC 3986's unreserved characters stay, for a name in a URI.
std::string UriPart(const std::string& text) {
  std::string out;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == '_' || c == '~';
    char coded[4];
    std::snprintf(coded, sizeof coded, "%%%02X", static_cast<unsigned char>(c));
    out += plain ? std::string(1, c) : coded;
  }
  return out;
}

std::string Collections(const std::string& pool) {
  return "xdstp:///envoy.config.endpoint.v3.LbEndpoint/" + UriPart(pool) + "/";
}

std::string Collection(const std::string& pool, const std::string& zone) {
  return Collections(pool) + "zone-" + UriPart(zone) + "/";
}

envoy::config::endpoint::v3::ClusterLoadAssignment EmptyList(const std::string& pool,
                                                             const ResourceOptions& options) {
  envoy::config::endpoint::v3::ClusterLoadAssignment list;
  list.set_cluster_name(pool);
  if (options.stale_after > 0)
    SetDuration(list.mutable_policy()->mutable_endpoint_stale_after(), options.stale_after);
  return list;
}

void SetMember(envoy::config::endpoint::v3::LbEndpoint* to, const Assigned& endpoint) {
  auto* const address = to->mutable_endpoint()->mutable_address()->mutable_socket_address();
  address->set_address(endpoint.address);
  address->set_port_value(endpoint.port);
  to->set_health_status(endpoint.standing == Standing::kUp    ? core::HEALTHY
                        : endpoint.standing == Standing::kOut ? core::UNHEALTHY
                                                              : core::DRAINING);
  to->mutable_load_balancing_weight()->set_value(std::max(1u, endpoint.weight));
}

}  // namespace

EndpointParts UnknownEndpoints(const std::string& pool, const ResourceOptions& options) {
  EndpointParts parts;
  parts.list = MakeUnknown(pool);
  if (options.each_endpoint) parts.members[Collections(pool)] = MakeUnknown(Collections(pool));
  return parts;
}

std::string MemberName(const std::string& pool, const Assigned& endpoint) {
  return Collection(pool, endpoint.zone) + UriPart(endpoint.id);
}

ResourcePtr BuildMember(const std::string& pool, const Assigned& endpoint, const ResourcePtr& before) {
  envoy::config::endpoint::v3::LbEndpoint member;
  SetMember(&member, endpoint);
  return Kept(MakeResource(MemberName(pool, endpoint), Bytes(member)), before);
}

ResourcePtr BuildCollections(const std::string& pool, const std::set<std::string>& zones,
                             const ResourceOptions& options, const ResourcePtr& before) {
  auto list = EmptyList(pool, options);
  for (const std::string& zone : zones) {
    auto* const locality = list.add_endpoints();
    locality->mutable_locality()->set_zone(zone);
    auto* const leds = locality->mutable_leds_cluster_locality_config();
    SetAds(leds->mutable_leds_config());
    leds->set_leds_collection_name(Collection(pool, zone) + "*");
  }
  return Kept(MakeResource(pool, Bytes(list)), before);
}

EndpointParts BuildEndpoints(const std::string& pool, const std::vector<Assigned>& endpoints,
                             const ResourceOptions& options, const EndpointParts& before) {
  EndpointParts parts;
  if (options.each_endpoint) {
    std::set<std::string> zones;
    for (const Assigned& endpoint : endpoints) {
      zones.insert(endpoint.zone);
      const std::string name = MemberName(pool, endpoint);
      const auto found = before.members.find(name);
      parts.members[name] =
          BuildMember(pool, endpoint, found == before.members.end() ? nullptr : found->second);
    }
    parts.list = BuildCollections(pool, zones, options, before.list);
    return parts;
  }
  auto all = EmptyList(pool, options);
  // In an order of their own, by zone. gRPC clients go by the weights of localities alone: each endpoint is
  // one to them.
  std::map<std::pair<std::string, std::string>, std::map<std::string, const Assigned*>> places;
  for (const Assigned& endpoint : endpoints) {
    places[{endpoint.zone, options.grpc_clients ? endpoint.id : ""}][endpoint.id] = &endpoint;
  }
  for (const auto& [place, members] : places) {
    auto* const locality = all.add_endpoints();
    locality->mutable_locality()->set_zone(place.first);
    locality->mutable_locality()->set_sub_zone(place.second);
    std::uint64_t sum = 0;
    for (const auto& [id, endpoint] : members) {
      SetMember(locality->add_lb_endpoints(), *endpoint);
      if (endpoint->standing == Standing::kUp) sum += std::max(1u, endpoint->weight);
    }
    if (options.grpc_clients && sum == 0) {  // else a share of the calls would find nobody there
      all.mutable_endpoints()->RemoveLast();
      continue;
    }
    locality->mutable_load_balancing_weight()->set_value(
        static_cast<std::uint32_t>(std::clamp<std::uint64_t>(sum, 1, 0x7fffffff)));
  }
  parts.list = Kept(MakeResource(pool, Bytes(all)), before.list);
  return parts;
}

std::array<Resources, kTypes> BuildRouting(const config::Services& services, const ResourceOptions& options) {
  std::array<Resources, kTypes> all;
  const auto of = [&](Type type) -> Resources& { return all[static_cast<std::size_t>(type)]; };
  for (const config::Pool& pool : services.pools) {
    if (options.pools.empty() || options.pools.contains(pool.id))
      Put(of(Type::kCluster), pool.id, ToCluster(pool, options));
  }
  for (const config::Listener& listener : services.listeners) {
    if (!options.listeners.empty() && !options.listeners.contains(listener.id)) continue;
    PutListener(of(Type::kListener), listener, options);
    PutRoutes(of(Type::kRoute), services, listener, options);
  }
  return all;
}

std::shared_ptr<const Snapshot> BuildSnapshot(const config::Services& services,
                                              const Assignments& assignments,
                                              const ResourceOptions& options) {
  auto all = BuildRouting(services, options);
  for (const auto& [pool, cluster] : all[static_cast<std::size_t>(Type::kCluster)]) {
    const auto found = assignments.find(pool);
    EndpointParts parts =
        BuildEndpoints(pool, found == assignments.end() ? std::vector<Assigned>() : found->second, options);
    all[static_cast<std::size_t>(Type::kEndpoint)][pool] = parts.list;
    all[static_cast<std::size_t>(Type::kMember)].merge(parts.members);
  }
  return std::make_shared<Snapshot>(std::move(all));
}

}  // namespace opalswitch::xds
