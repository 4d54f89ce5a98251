#include "gateway/service_gateway.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <utility>

#include "base/clock.hpp"
#include "config/units.hpp"
#include "gateway/descriptors.hpp"
#include "gateway/log_line.hpp"
#include "http/platform_request.hpp"
#include "routing/route_table.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Fraction of the client connections that may have a request in progress; the rest is for new connections.
constexpr double kRequestConnectionFraction = 0.9;
// Fraction of each budget that is guaranteed to pools. What the file's own guarantees leave of it is divided
// equally among the pools that state none.
constexpr double kDefaultGuaranteeFraction = 0.5;
constexpr Millis kMaxReadDelayMs = 400;       // longest read delay after a refusal or failure
constexpr Millis kBudgetRetryAfterMs = 1000;  // Retry-After when a shared budget is exhausted

// Sets the idle eviction threshold to the maximum, so that idle connections are closed only when no
// connection is left: unlike on the platform, no front end counts idle connections against what its clients
// may open.
HttpServerLimits HttpLimits(const config::Services& services) {
  HttpServerLimits limits =
      HttpServerLimitsFor(services.descriptors, static_cast<double>(services.memory_bytes) / (1 << 20));
  limits.idle_eviction_threshold = limits.max_connections;
  return limits;
}

std::string JoinWithCommas(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) text += (text.empty() ? "" : ", ") + item;
  return text;
}

// Parses the platform's "480m" (ms) and "480000u" (us), or a duration in the units of the operators' file.
std::optional<Millis> ParseDeadlineHeader(std::string_view text) {
  if (const auto platform = ParseDeadline(text)) return platform;
  return config::ParseDuration(text);
}

}  // namespace

// A running pool with its limits and host source. Kept across reloads as long as its definition stays the
// same.
struct ServiceGateway::PoolEntry {
  explicit PoolEntry(const config::Pool& pool_config)
      : id(pool_config.id),
        definition(pool_config.definition),
        limiter(pool_config.limits),
        read_throttle(
            std::make_shared<limits::ReadThrottle>(pool_config.refusal_reads_per_s, kMaxReadDelayMs)) {}

  const std::string id;
  const std::string definition;          // see config::Pool::definition
  NodeRegistry::PoolId registry_id = 0;  // in the gateway's NodeRegistry
  limits::RequestLimiter limiter;
  const std::shared_ptr<limits::ReadThrottle> read_throttle;
  // Ids in the gateway's shared budgets of the same names.
  limits::SharedBudget::ParticipantId descriptors = 0, client_connections = 0, body_memory = 0;
  std::shared_ptr<Pool> pool;
  std::unique_ptr<HostSource> source;
  bool is_draining = false;
};

// A request's share of its pool's limits. Held from admission to the response; the destructor releases it.
struct ServiceGateway::Admission {
  Admission(ServiceGateway& owner, std::shared_ptr<PoolEntry> pool_entry)
      : gateway(owner), alive(owner.alive_), entry(std::move(pool_entry)) {}
  ~Admission() {
    if (alive.expired()) return;
    entry->limiter.Release();
    gateway.client_connections_.Release(entry->client_connections);
    if (body_bytes > 0) gateway.body_memory_.Release(entry->body_memory, body_bytes);
    if (entry->is_draining) gateway.RemoveDrainedPools();
  }
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  ServiceGateway& gateway;
  const std::weak_ptr<int> alive;
  const std::shared_ptr<PoolEntry> entry;
  std::uint64_t body_bytes = 0;  // reserved for the request body
};

ServiceGateway::ServiceGateway(asio::io_context& io, Services services, std::uint64_t seed)
    : io_(io),
      seed_(seed),
      descriptors_(HostDescriptorLimit(services->descriptors)),
      client_connections_(0),
      body_memory_(0),
      http_server_(
          io, HttpLimits(*services),
          {[this] {
             const auto has_hosts = [](const auto& entry) { return entry->pool->has_hosts(); };
             return snapshot_ && !stop_.has_begun() &&
                    std::any_of(snapshot_->pools.begin(), snapshot_->pools.end(), has_hosts);
           },
           [this](const HttpRequest& head, const routing::Target& target, const RequestOrigin& origin,
                  ClientRequest& request) { return HandleRequestHead(head, target, origin, request); },
           [this] { return snapshot_->services->reports_cause; },
           [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); }},
          services->health_path),
      stop_(io, http_server_, [this] {
        for (const auto& entry : snapshot_->pools) entry->pool->FailPending();
        for (const auto& entry : draining_) entry->pool->FailPending();
      }) {
  const HttpServerLimits limits = HttpLimits(*services);
  client_connections_.Resize(std::max<std::uint64_t>(
      1,
      static_cast<std::uint64_t>(static_cast<double>(limits.max_connections) * kRequestConnectionFraction)));
  body_memory_.Resize(limits.max_body_bytes);
  snapshot_ = std::make_shared<Snapshot>();
  if (const auto error = Reload(std::move(services))) throw std::runtime_error(*error);
}

// Pools and their pending requests refer to each other (a request's Admission holds the pool): break the
// cycle.
ServiceGateway::~ServiceGateway() {
  for (const auto& entry : snapshot_->pools) entry->pool->DropPending();
  for (const auto& entry : draining_) entry->pool->DropPending();
}

std::shared_ptr<ServiceGateway::PoolEntry> ServiceGateway::MakePool(const config::Pool& pool_config) {
  auto entry = std::make_shared<PoolEntry>(pool_config);
  entry->registry_id = ++pools_created_;
  const auto max_of = [](const config::BudgetShare& share) {
    return share.max > 0 ? share.max : limits::SharedBudget::kUnlimited;
  };
  // DistributeBudgets sets the guarantees once the whole configuration is known to be valid.
  entry->descriptors = descriptors_.AddParticipant(0, max_of(pool_config.descriptors));
  entry->client_connections = client_connections_.AddParticipant(0, max_of(pool_config.clients));
  entry->body_memory = body_memory_.AddParticipant(0, max_of(pool_config.body_memory));
  Settings settings = pool_config.settings;
  const auto max_descriptors = std::min<std::uint64_t>(descriptors_.total(), max_of(pool_config.descriptors));
  const auto configured = static_cast<std::uint64_t>(settings.max_in_flight);
  settings.max_in_flight =
      static_cast<int>(configured > 0 ? std::min(configured, max_descriptors) : max_descriptors);
  HostPool::Limits upstream;
  upstream.dial_timeout = pool_config.dial_timeout;
  upstream.idle_timeout = pool_config.idle_timeout;
  upstream.max_connections = static_cast<std::size_t>(max_descriptors);
  upstream.max_response_bytes = pool_config.max_response_bytes;
  upstream.plain = pool_config.response_rules == config::ResponseRules::kPlain;
  upstream.acquire_socket = [this, participant = entry->descriptors] {
    return descriptors_.TryAcquire(participant);
  };
  upstream.release_socket = [this, participant = entry->descriptors, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) descriptors_.Release(participant);
  };
  try {
    entry->pool = std::make_shared<Pool>(
        io_, Pool::Options{pool_config.id, std::move(settings),
                           seed_ ^ (0x9e3779b97f4a7c15ULL * pools_created_), std::move(upstream),
                           pool_config.response_rules == config::ResponseRules::kPlain, nullptr});
  } catch (const std::exception& error) {
    descriptors_.RemoveParticipant(entry->descriptors);
    client_connections_.RemoveParticipant(entry->client_connections);
    body_memory_.RemoveParticipant(entry->body_memory);
    throw std::runtime_error("pool " + pool_config.id + ": " + error.what());
  }
  return entry;
}

void ServiceGateway::StartHostSource(PoolEntry& entry, const config::Pool& pool_config) {
  PoolEntry* const owner = &entry;  // owns the source and so outlives it
  HostSource::Handlers handlers{
      [this, owner](const HostList& list) { OnMembershipUpdate(*owner, list); },
      [owner] { owner->pool->MembershipUpdateFailed(); },
      [owner](const std::string& text) { WriteLogLine("pool " + owner->id + ": " + text); }};
  entry.source = MakeHostSource(io_, pool_config.membership, std::move(handlers));
  entry.source->Start();
}

void ServiceGateway::DistributeBudgets(const Snapshot& snapshot) {
  const auto distribute = [&](limits::SharedBudget& budget, config::BudgetShare config::Pool::*share,
                              limits::SharedBudget::ParticipantId PoolEntry::*participant) {
    const auto& pools = snapshot.services->pools;
    std::uint64_t guaranteed = 0, without_guarantee = 0;
    for (const config::Pool& pool : pools) {
      guaranteed += (pool.*share).guaranteed;
      without_guarantee += (pool.*share).guaranteed == 0;
    }
    const auto default_total =
        static_cast<std::uint64_t>(static_cast<double>(budget.total()) * kDefaultGuaranteeFraction);
    const std::uint64_t default_guarantee = without_guarantee > 0 && default_total > guaranteed
                                                ? (default_total - guaranteed) / without_guarantee
                                                : 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      const config::BudgetShare& pool_share = pools[i].*share;
      budget.SetLimits(*snapshot.pools[i].*participant,
                       pool_share.guaranteed > 0 ? pool_share.guaranteed : default_guarantee,
                       pool_share.max > 0 ? pool_share.max : limits::SharedBudget::kUnlimited);
    }
  };
  distribute(descriptors_, &config::Pool::descriptors, &PoolEntry::descriptors);
  distribute(client_connections_, &config::Pool::clients, &PoolEntry::client_connections);
  distribute(body_memory_, &config::Pool::body_memory, &PoolEntry::body_memory);
}

std::optional<std::string> ServiceGateway::Reload(Services services) {
  auto next = std::make_shared<Snapshot>();
  next->services = services;
  std::map<std::string, std::shared_ptr<PoolEntry>> running_by_id;
  for (const auto& entry : snapshot_->pools) running_by_id[entry->id] = entry;
  std::vector<std::pair<std::shared_ptr<PoolEntry>, const config::Pool*>> created;
  std::vector<config::Listener> opened;
  const auto undo = [&] {
    for (const auto& [entry, pool] : created) {
      descriptors_.RemoveParticipant(entry->descriptors);
      client_connections_.RemoveParticipant(entry->client_connections);
      body_memory_.RemoveParticipant(entry->body_memory);
    }
    for (const config::Listener& listener : opened) http_server_.Unlisten(listener.id, listener.address);
  };
  try {
    for (const config::Pool& pool : services->pools) {
      const auto found = running_by_id.find(pool.id);
      if (found != running_by_id.end() && found->second->definition == pool.definition) {
        next->pools.push_back(found->second);
        continue;
      }
      next->pools.push_back(MakePool(pool));
      created.push_back({next->pools.back(), &pool});
    }
    for (const config::Listener& listener : services->listeners) {
      const auto& old =
          snapshot_->services ? snapshot_->services->listeners : std::vector<config::Listener>{};
      if (std::find(old.begin(), old.end(), listener) != old.end()) continue;
      try {
        http_server_.Listen(listener.id, listener.address);
      } catch (const std::exception& error) {
        throw std::runtime_error("listener " + listener.id + ": " + error.what());
      }
      opened.push_back(listener);
    }
  } catch (const std::exception& error) {
    undo();
    return error.what();
  }
  // Nothing below can fail.
  const auto before = std::exchange(snapshot_, next);
  DistributeBudgets(*next);
  for (std::size_t i = 0; i < next->pools.size(); ++i) {
    PoolEntry& entry = *next->pools[i];
    if (entry.source) entry.source->SetStaticHosts(services->pools[i].membership.hosts);
  }
  for (const auto& [entry, pool] : created) {
    // A discovery service takes a moment to answer: until then use the hosts that the replaced pool knew.
    const auto found = running_by_id.find(entry->id);
    if (found != running_by_id.end() && pool->membership.source == config::Membership::Source::kDiscovery) {
      const HostList known_hosts = nodes_.HostsOf(found->second->registry_id);
      if (!known_hosts.hosts.empty()) OnMembershipUpdate(*entry, known_hosts);
    }
    StartHostSource(*entry, *pool);
  }
  if (before->services) {
    for (const config::Listener& listener : before->services->listeners) {
      const auto& now = services->listeners;
      if (std::find(now.begin(), now.end(), listener) == now.end())
        http_server_.Unlisten(listener.id, listener.address);
    }
    if (before->services->descriptors != services->descriptors ||
        before->services->memory_bytes != services->memory_bytes ||
        before->services->health_path != services->health_path) {
      WriteLogLine(
          "process.descriptors, process.memory or process.health_path changed: takes effect at the next "
          "start");
    }
  }
  for (const auto& entry : before->pools) {
    if (std::find(next->pools.begin(), next->pools.end(), entry) == next->pools.end()) BeginDrain(entry);
  }
  return std::nullopt;
}

void ServiceGateway::OnMembershipUpdate(PoolEntry& entry, const HostList& list) {
  const auto drains_before = nodes_.drains();
  const auto updates = nodes_.ApplyUpdate(entry.registry_id, list, Now());
  const auto apply = [&](const std::shared_ptr<PoolEntry>& to, const HostList& hosts) {
    to->pool->UpdateMembership(hosts);
  };
  for (const NodeRegistry::PoolUpdate& update : updates) {
    if (update.pool == entry.registry_id) {
      entry.pool->UpdateMembership(update.list);
      continue;
    }
    for (const auto& other : snapshot_->pools) {
      if (other->registry_id == update.pool) apply(other, update.list);
    }
    for (const auto& other : draining_) {
      if (other->registry_id == update.pool) apply(other, update.list);
    }
  }
  for (const auto& [id, drain] : nodes_.drains()) {
    if (drains_before.contains(id)) continue;
    char at[32];
    std::snprintf(at, sizeof at, "%.0f", drain.since);
    WriteLogLine("node " + id + " drains since " + at + " (Unix ms), told by pool " + entry.id +
                 ", kept by " + std::to_string(nodes_.PoolsOf(id).size()) + " pools");
  }
}

void ServiceGateway::BeginDrain(const std::shared_ptr<PoolEntry>& entry) {
  entry->is_draining = true;
  draining_.push_back(entry);
  descriptors_.SetLimits(entry->descriptors, 0);
  client_connections_.SetLimits(entry->client_connections, 0);
  body_memory_.SetLimits(entry->body_memory, 0);
  entry->pool->WhenIdle([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) RemoveDrainedPools();
  });
}

void ServiceGateway::RemoveDrainedPools() {
  if (std::exchange(removal_scheduled_, true)) return;
  asio::post(io_, [this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    removal_scheduled_ = false;
    draining_.remove_if([this](const std::shared_ptr<PoolEntry>& entry) {
      if (entry->pool->active_requests() > 0 || entry->limiter.active() > 0) return false;
      nodes_.RemovePool(entry->registry_id);
      descriptors_.RemoveParticipant(entry->descriptors);
      client_connections_.RemoveParticipant(entry->client_connections);
      body_memory_.RemoveParticipant(entry->body_memory);
      return true;
    });
  });
}

std::optional<LocalReply> ServiceGateway::HandleRequestHead(const HttpRequest& head,
                                                            const routing::Target& target,
                                                            const RequestOrigin& origin,
                                                            ClientRequest& request) {
  const auto reject = [](http::status status, std::string text) {
    LocalReply reply{status, std::move(text)};
    reply.keep_connection = true;
    return reply;
  };
  const auto snapshot = snapshot_;
  const config::Services& services = *snapshot->services;
  const config::RequestHeaders& names = services.headers;
  // If a header is repeated, the gateway and a host might use different values.
  for (const std::string* const name :
       {&names.id, &names.class_name, &names.tenant, &names.key, &names.deadline, &names.retry}) {
    if (!name->empty() && head.count(*name) > 1)
      return reject(http::status::bad_request, *name + " is repeated");
  }
  if (head.count("Idempotency-Key") > 1)
    return reject(http::status::bad_request, "Idempotency-Key is repeated");
  routing::Request route_request{
      target.authority.host, target.path, ToStringView(head.method_string()),
      names.class_name.empty() ? std::string_view() : ToStringView(head[names.class_name]), origin.listener};
  for (const std::string& name : services.route_table.header_names()) {
    const auto count = head.count(name);
    if (count > 1) return reject(http::status::bad_request, name + " is repeated");
    if (count == 1) route_request.headers.push_back({name, ToStringView(head[name])});
  }
  const auto match = services.route_table.Match(route_request);
  // A host that decodes the path again must not see a path that would have been routed differently.
  for (const std::string& reading : routing::AlternativeReadings(target.path)) {
    routing::Request other = route_request;
    other.path = reading;
    if (services.route_table.Match(other) != match) {
      return reject(http::status::bad_request, "the path would be another one once a host has decoded it");
    }
  }
  if (!match) return reject(http::status::not_found, "no route");
  const config::RouteRule& rule = services.routes[*match];
  const std::shared_ptr<PoolEntry>& entry = snapshot->pools[rule.pool];
  request.client = origin.client.is_unspecified() ? "" : origin.client.to_string();
  request.read_throttle = entry->read_throttle;
  if (auto rejection = ClassifyRequest(head, rule, services.pools[rule.pool], request)) return rejection;
  return ApplyLimits(entry, request);
}

std::optional<LocalReply> ServiceGateway::ClassifyRequest(const HttpRequest& head,
                                                          const config::RouteRule& rule,
                                                          const config::Pool& pool, ClientRequest& request) {
  const auto reject = [](http::status status, std::string text, std::string allow = {}) {
    LocalReply reply{status, std::move(text), 0, std::move(allow)};
    reply.keep_connection = true;
    return reply;
  };
  const config::Services& services = *snapshot_->services;
  const config::RequestHeaders& names = services.headers;
  const auto header = [&](const std::string& name) {
    return name.empty() ? std::string() : std::string(ToStringView(head[name]));
  };
  const config::ServiceClass* service_class = nullptr;
  if (rule.class_index >= 0) {
    service_class = &services.classes[static_cast<std::size_t>(rule.class_index)];
  } else {
    const std::string value = header(names.class_name);
    for (const config::ServiceClass& c : services.classes) {
      if (c.settings.name == value) service_class = &c;
    }
    if (service_class == nullptr)
      return reject(http::status::bad_request, names.class_name + " names no class");
  }
  const std::string method(ToStringView(head.method_string()));
  if (!service_class->methods.empty() &&
      std::find(service_class->methods.begin(), service_class->methods.end(), method) ==
          service_class->methods.end()) {
    return reject(http::status::method_not_allowed,
                  "class " + service_class->settings.name + " takes another method",
                  JoinWithCommas(service_class->methods));
  }
  const auto& pool_classes = pool.settings.classes;
  const auto class_settings =
      std::find_if(pool_classes.begin(), pool_classes.end(),
                   [&](const ClassSettings& c) { return c.name == service_class->settings.name; });
  if (class_settings->effect == Effect::kKeyed && head["Idempotency-Key"].empty()) {
    return reject(http::status::bad_request, "Idempotency-Key is missing");
  }
  request.class_name = service_class->settings.name;
  request.tenant = header(names.tenant);
  request.key = header(names.key);
  request.is_retry = header(names.retry) == "1";
  request.client_timeout = service_class->settings.deadline;
  if (const std::string value = header(names.deadline); !value.empty()) {
    const auto deadline = ParseDeadlineHeader(value);
    if (!deadline) return reject(http::status::bad_request, names.deadline + " is malformed");
    request.client_timeout = std::min(request.client_timeout, *deadline);
  }
  request.id = header(names.id);
  if (request.id.size() > kMaxRequestIdLength)
    return reject(http::status::bad_request, names.id + " is too long");
  if (request.id.empty()) {
    char id[40];
    std::snprintf(id, sizeof id, "%016llx-%llx", static_cast<unsigned long long>(seed_),
                  static_cast<unsigned long long>(++request_ids_created_));
    request.id = id;
  }
  request.max_body_bytes = pool.max_request_bytes;
  return std::nullopt;
}

std::optional<LocalReply> ServiceGateway::ApplyLimits(const std::shared_ptr<PoolEntry>& entry,
                                                      ClientRequest& request) {
  const auto refuse = [](http::status status, std::string text, Millis retry_after, std::string cause) {
    LocalReply reply{status, std::move(text), retry_after, {}, std::move(cause)};
    reply.keep_connection = true;
    return reply;
  };
  if (!client_connections_.TryAcquire(entry->client_connections)) {
    return refuse(http::status::service_unavailable, "pool " + entry->id + " has no places left",
                  kBudgetRetryAfterMs, "places");
  }
  const auto admitted = entry->limiter.TryAdmit(Now());
  if (admitted.decision != limits::RequestLimiter::Decision::kAdmitted) {
    client_connections_.Release(entry->client_connections);
    const bool rate_exceeded = admitted.decision == limits::RequestLimiter::Decision::kRateExceeded;
    return refuse(rate_exceeded ? http::status::too_many_requests : http::status::service_unavailable,
                  "pool " + entry->id +
                      (rate_exceeded ? " takes no more requests a second" : " holds no more requests"),
                  admitted.retry_after, rate_exceeded ? "pace" : "held");
  }
  const auto admission = std::make_shared<Admission>(*this, entry);
  request.admission = admission;
  request.pool = entry->pool;
  request.reserve_body = [this, weak = std::weak_ptr(admission)](std::uint64_t bytes) {
    const auto held = weak.lock();
    if (!held || held->body_bytes > 0 || !body_memory_.TryAcquire(held->entry->body_memory, bytes))
      return false;
    held->body_bytes = bytes;
    return true;
  };
  return std::nullopt;
}

void ServiceGateway::Stop(std::function<void()> done, const StopTimes& times) {
  stop_.Begin(std::move(done), times);
}

std::shared_ptr<const Pool> ServiceGateway::pool(const std::string& id) const {
  for (const auto& entry : snapshot_->pools) {
    if (entry->id == id) return entry->pool;
  }
  return nullptr;
}

}  // namespace opalswitch::gateway
