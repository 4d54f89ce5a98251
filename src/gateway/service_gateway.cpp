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
#include "http/platform_request.hpp"
#include "routing/route_table.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr double kPlacesPart =
    0.9;  // of the clients' places: requests under way; the rest is for those that come
constexpr double kSharedPart =
    0.5;  // of a budget: what no pool has asked for is guaranteed to them in equal parts
constexpr Millis kMostPause = 1000;  // of a connection that was turned away
constexpr Millis kBusyRetry = 1000;  // advice where a budget that pools share is used up

void Say(const std::string& text) { std::fprintf(stderr, "forkwick: %s\n", text.c_str()); }

// Idle connections are closed for want of places alone: no front counts them here, as the platform's does.
HttpServerLimits LimitsOf(const config::Services& services) {
  HttpServerLimits limits =
      LimitsFor(services.descriptors, static_cast<double>(services.memory_bytes) / (1 << 20));
  limits.usual = limits.sessions;
  return limits;
}

std::string Joined(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) text += (text.empty() ? "" : ", ") + item;
  return text;
}

// "480m" and "480000u" as the platform writes it, or a time with its unit.
std::optional<Millis> ReadDeadline(std::string_view text) {
  if (const auto platform = ParseDeadline(text)) return platform;
  return config::ParseDuration(text);
}

}  // namespace

// A pool that runs: made from one file, and kept by later ones that define it alike.
struct ServiceGateway::Member {
  explicit Member(const config::Pool& from)
      : id(from.id),
        definition(from.definition),
        gate(from.limits),
        pacer(std::make_shared<limits::ReadThrottle>(from.refusal_reads_per_s, kMostPause)) {}

  const std::string id;
  const std::string definition;
  NodeRegistry::PoolId number = 0;
  limits::RequestLimiter gate;
  const std::shared_ptr<limits::ReadThrottle> pacer;
  limits::SharedBudget::ParticipantId descriptors = 0, places = 0, bodies = 0;
  std::shared_ptr<Pool> pool;
  std::unique_ptr<HostSource> source;
  bool retired = false;
};

// What one request uses of its pool's limits, from its admission to its answer.
struct ServiceGateway::Ticket {
  Ticket(ServiceGateway& owner, std::shared_ptr<Member> of)
      : gateway(owner), alive(owner.alive_), member(std::move(of)) {}
  ~Ticket() {
    if (alive.expired()) return;
    member->gate.Release();
    gateway.places_.Release(member->places);
    if (body > 0) gateway.bodies_.Release(member->bodies, body);
    if (member->retired) gateway.Sweep();
  }
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;

  ServiceGateway& gateway;
  const std::weak_ptr<int> alive;
  const std::shared_ptr<Member> member;
  std::uint64_t body = 0;
};

ServiceGateway::ServiceGateway(asio::io_context& io, Services services, std::uint64_t seed)
    : io_(io),
      seed_(seed),
      descriptors_(HostSockets(services->descriptors)),
      places_(0),
      bodies_(0),
      clients_(io, LimitsOf(*services),
               {[this] {
                  const auto listed = [](const auto& member) { return member->pool->has_hosts(); };
                  return snapshot_ && !stop_.begun() &&
                         std::any_of(snapshot_->members.begin(), snapshot_->members.end(), listed);
                },
                [this](const HttpRequest& head, const routing::Target& target, const RequestOrigin& origin,
                       ClientRequest& call) { return Admit(head, target, origin, call); },
                [this] { return snapshot_->services->reports_cause; }},
               services->health_path),
      stop_(io, clients_, [this] {
        for (const auto& member : snapshot_->members) member->pool->FailPending();
        for (const auto& member : retiring_) member->pool->FailPending();
      }) {
  const HttpServerLimits limits = LimitsOf(*services);
  places_.Resize(std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(static_cast<double>(limits.sessions) * kPlacesPart)));
  bodies_.Resize(limits.body_bytes);
  snapshot_ = std::make_shared<Snapshot>();
  if (const auto error = Reload(std::move(services))) throw std::runtime_error(*error);
}

// A request holds its pool by its ticket, and the pool holds the request.
ServiceGateway::~ServiceGateway() {
  for (const auto& member : snapshot_->members) member->pool->DropPending();
  for (const auto& member : retiring_) member->pool->DropPending();
}

std::shared_ptr<ServiceGateway::Member> ServiceGateway::MakeMember(const config::Pool& from) {
  auto member = std::make_shared<Member>(from);
  member->number = ++made_;
  const auto most = [](const config::BudgetShare& portion) {
    return portion.max > 0 ? portion.max : limits::SharedBudget::kUnlimited;
  };
  // Guarantees follow once the new file holds.
  member->descriptors = descriptors_.AddParticipant(0, most(from.descriptors));
  member->places = places_.AddParticipant(0, most(from.clients));
  member->bodies = bodies_.AddParticipant(0, most(from.body_memory));
  Settings settings = from.settings;
  const auto all = std::min<std::uint64_t>(descriptors_.total(), most(from.descriptors));
  const auto wanted = static_cast<std::uint64_t>(settings.max_in_flight);
  settings.max_in_flight = static_cast<int>(wanted > 0 ? std::min(wanted, all) : all);
  HostPool::Limits upstream;
  upstream.dial_timeout = from.dial_timeout;
  upstream.idle_timeout = from.idle_timeout;
  upstream.max_connections = static_cast<std::size_t>(all);
  upstream.max_response_bytes = from.max_response_bytes;
  upstream.plain = from.response_rules == config::ResponseRules::kPlain;
  upstream.acquire_socket = [this, party = member->descriptors] { return descriptors_.TryAcquire(party); };
  upstream.release_socket = [this, party = member->descriptors, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) descriptors_.Release(party);
  };
  try {
    member->pool = std::make_shared<Pool>(
        io_,
        Pool::Options{from.id, std::move(settings), seed_ ^ (0x9e3779b97f4a7c15ULL * made_),
                      std::move(upstream), from.response_rules == config::ResponseRules::kPlain, nullptr});
  } catch (const std::exception& error) {
    descriptors_.RemoveParticipant(member->descriptors);
    places_.RemoveParticipant(member->places);
    bodies_.RemoveParticipant(member->bodies);
    throw std::runtime_error("pool " + from.id + ": " + error.what());
  }
  return member;
}

// Has the pool told of its hosts, from now on.
void ServiceGateway::Begin(Member& member, const config::Pool& from) {
  Member* const to = &member;  // it outlives its source, which it holds
  HostSource::Handlers handlers{[this, to](const HostList& list) { Told(*to, list); },
                                [to] { to->pool->MembershipUpdateFailed(); },
                                [to](const std::string& text) { Say("pool " + to->id + ": " + text); }};
  member.source = MakeHostSource(io_, from.membership, std::move(handlers));
  member.source->Start();
}

// Deals out the budgets anew: what pools ask for is theirs; of what is left, half goes to the others in equal
// parts, and the rest to whoever needs it.
void ServiceGateway::Share(const Snapshot& snapshot) {
  const auto deal = [&](limits::SharedBudget& budget, config::BudgetShare config::Pool::*portion,
                        limits::SharedBudget::ParticipantId Member::*party) {
    const auto& pools = snapshot.services->pools;
    std::uint64_t asked = 0, silent = 0;
    for (const config::Pool& pool : pools) {
      asked += (pool.*portion).guaranteed;
      silent += (pool.*portion).guaranteed == 0;
    }
    const auto half = static_cast<std::uint64_t>(static_cast<double>(budget.total()) * kSharedPart);
    const std::uint64_t each = silent > 0 && half > asked ? (half - asked) / silent : 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      const config::BudgetShare& p = pools[i].*portion;
      budget.SetLimits(*snapshot.members[i].*party, p.guaranteed > 0 ? p.guaranteed : each,
                       p.max > 0 ? p.max : limits::SharedBudget::kUnlimited);
    }
  };
  deal(descriptors_, &config::Pool::descriptors, &Member::descriptors);
  deal(places_, &config::Pool::clients, &Member::places);
  deal(bodies_, &config::Pool::body_memory, &Member::bodies);
}

std::optional<std::string> ServiceGateway::Reload(Services services) {
  auto next = std::make_shared<Snapshot>();
  next->services = services;
  std::map<std::string, std::shared_ptr<Member>> running;
  for (const auto& member : snapshot_->members) running[member->id] = member;
  std::vector<std::pair<std::shared_ptr<Member>, const config::Pool*>> made;
  std::vector<config::Listener> opened;
  const auto undo = [&] {
    for (const auto& [member, pool] : made) {
      descriptors_.RemoveParticipant(member->descriptors);
      places_.RemoveParticipant(member->places);
      bodies_.RemoveParticipant(member->bodies);
    }
    for (const config::Listener& listener : opened) clients_.Unlisten(listener.id, listener.address);
  };
  try {
    for (const config::Pool& pool : services->pools) {
      const auto found = running.find(pool.id);
      if (found != running.end() && found->second->definition == pool.definition) {
        next->members.push_back(found->second);
        continue;
      }
      next->members.push_back(MakeMember(pool));
      made.push_back({next->members.back(), &pool});
    }
    for (const config::Listener& listener : services->listeners) {
      const auto& old =
          snapshot_->services ? snapshot_->services->listeners : std::vector<config::Listener>{};
      if (std::find(old.begin(), old.end(), listener) != old.end()) continue;
      try {
        clients_.Listen(listener.id, listener.address);
      } catch (const std::exception& error) {
        throw std::runtime_error("listener " + listener.id + ": " + error.what());
      }
      opened.push_back(listener);
    }
  } catch (const std::exception& error) {
    undo();
    return error.what();
  }
  // Nothing can fail from here on.
  const auto before = std::exchange(snapshot_, next);
  Share(*next);
  for (std::size_t i = 0; i < next->members.size(); ++i) {
    Member& member = *next->members[i];
    if (member.source) member.source->SetStaticHosts(services->pools[i].membership.hosts);
  }
  for (const auto& [member, pool] : made) {
    // A discovery service takes a moment to answer: until then the hosts are those that the old pool knew.
    const auto found = running.find(member->id);
    if (found != running.end() && pool->membership.source == config::Membership::Source::kDiscovery) {
      const HostList known = nodes_.HostsOf(found->second->number);
      if (!known.hosts.empty()) Told(*member, known);
    }
    Begin(*member, *pool);
  }
  if (before->services) {
    for (const config::Listener& listener : before->services->listeners) {
      const auto& now = services->listeners;
      if (std::find(now.begin(), now.end(), listener) == now.end())
        clients_.Unlisten(listener.id, listener.address);
    }
    if (before->services->descriptors != services->descriptors ||
        before->services->memory_bytes != services->memory_bytes ||
        before->services->health_path != services->health_path) {
      Say("process.descriptors, process.memory and process.health_path count from the next start");
    }
  }
  for (const auto& member : before->members) {
    if (std::find(next->members.begin(), next->members.end(), member) == next->members.end()) Retire(member);
  }
  return std::nullopt;
}

void ServiceGateway::Told(Member& member, const HostList& list) {
  const auto known = nodes_.drains();
  const auto news = nodes_.ApplyUpdate(member.number, list, Now());
  const auto give = [&](const std::shared_ptr<Member>& to, const HostList& told) {
    to->pool->UpdateMembership(told);
  };
  for (const NodeRegistry::PoolUpdate& item : news) {
    if (item.pool == member.number) {
      member.pool->UpdateMembership(item.list);
      continue;
    }
    for (const auto& other : snapshot_->members) {
      if (other->number == item.pool) give(other, item.list);
    }
    for (const auto& other : retiring_) {
      if (other->number == item.pool) give(other, item.list);
    }
  }
  for (const auto& [id, drain] : nodes_.drains()) {
    if (known.contains(id)) continue;
    char at[32];
    std::snprintf(at, sizeof at, "%.0f", drain.since);
    Say("node " + id + " drains since " + at + " (Unix ms), told by pool " + member.id + ", kept by " +
        std::to_string(nodes_.PoolsOf(id).size()) + " pools");
  }
}

// A pool that no file names any more takes nothing new, ends what it has, and follows its hosts until then.
void ServiceGateway::Retire(const std::shared_ptr<Member>& member) {
  member->retired = true;
  retiring_.push_back(member);
  descriptors_.SetLimits(member->descriptors, 0);
  places_.SetLimits(member->places, 0);
  bodies_.SetLimits(member->bodies, 0);
  member->pool->WhenIdle([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) Sweep();
  });
}

// Lets go of retired pools that have nothing left; from the loop, for the caller may be one of them.
void ServiceGateway::Sweep() {
  if (std::exchange(sweeping_, true)) return;
  asio::post(io_, [this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    sweeping_ = false;
    retiring_.remove_if([this](const std::shared_ptr<Member>& member) {
      if (member->pool->active_requests() > 0 || member->gate.active() > 0) return false;
      nodes_.RemovePool(member->number);
      descriptors_.RemoveParticipant(member->descriptors);
      places_.RemoveParticipant(member->places);
      bodies_.RemoveParticipant(member->bodies);
      return true;
    });
  });
}

std::optional<LocalReply> ServiceGateway::Admit(const HttpRequest& head, const routing::Target& target,
                                                const RequestOrigin& origin, ClientRequest& call) {
  const auto fault = [](http::status status, std::string text) {
    LocalReply f{status, std::move(text)};
    f.keep_connection = true;
    return f;
  };
  const auto snapshot = snapshot_;
  const config::Services& services = *snapshot->services;
  const config::RequestHeaders& names = services.headers;
  // Of two fields with one name, this gateway and a host might each believe another.
  for (const std::string* const name :
       {&names.id, &names.class_name, &names.tenant, &names.key, &names.deadline, &names.retry}) {
    if (!name->empty() && head.count(*name) > 1)
      return fault(http::status::bad_request, *name + " is repeated");
  }
  if (head.count("Idempotency-Key") > 1)
    return fault(http::status::bad_request, "Idempotency-Key is repeated");
  routing::Request request{
      target.authority.host, target.path, ToStringView(head.method_string()),
      names.class_name.empty() ? std::string_view() : ToStringView(head[names.class_name]), origin.listener};
  for (const std::string& name : services.route_table.header_names()) {
    const auto count = head.count(name);
    if (count > 1) return fault(http::status::bad_request, name + " is repeated");
    if (count == 1) request.headers.push_back({name, ToStringView(head[name])});
  }
  const auto match = services.route_table.Match(request);
  for (const std::string& reading : routing::AlternativeReadings(target.path)) {
    routing::Request other = request;
    other.path = reading;
    if (services.route_table.Match(other) != match) {
      return fault(http::status::bad_request, "the path would be another one once a host has decoded it");
    }
  }
  if (!match) return fault(http::status::not_found, "no route");
  const config::RouteRule& rule = services.routes[*match];
  const std::shared_ptr<Member>& member = snapshot->members[rule.pool];
  call.client = origin.client.is_unspecified() ? "" : origin.client.to_string();
  call.read_throttle = member->pacer;
  if (auto wrong = Describe(head, rule, services.pools[rule.pool], call)) return wrong;
  return Enter(member, call);
}

// What class the request is of, and what it tells of itself.
std::optional<LocalReply> ServiceGateway::Describe(const HttpRequest& head, const config::RouteRule& rule,
                                                   const config::Pool& pool, ClientRequest& call) {
  const auto fault = [](http::status status, std::string text, std::string allow = {}) {
    LocalReply f{status, std::move(text), 0, std::move(allow)};
    f.keep_connection = true;
    return f;
  };
  const config::Services& services = *snapshot_->services;
  const config::RequestHeaders& names = services.headers;
  const auto field = [&](const std::string& name) {
    return name.empty() ? std::string() : std::string(ToStringView(head[name]));
  };
  const config::ServiceClass* cls = nullptr;
  if (rule.class_index >= 0) {
    cls = &services.classes[static_cast<std::size_t>(rule.class_index)];
  } else {
    const std::string stated = field(names.class_name);
    for (const config::ServiceClass& c : services.classes) {
      if (c.settings.name == stated) cls = &c;
    }
    if (cls == nullptr) return fault(http::status::bad_request, names.class_name + " names no class");
  }
  const std::string method(ToStringView(head.method_string()));
  if (!cls->methods.empty() &&
      std::find(cls->methods.begin(), cls->methods.end(), method) == cls->methods.end()) {
    return fault(http::status::method_not_allowed, "class " + cls->settings.name + " takes another method",
                 Joined(cls->methods));
  }
  const auto& effects = pool.settings.classes;
  const auto own = std::find_if(effects.begin(), effects.end(),
                                [&](const ClassSettings& c) { return c.name == cls->settings.name; });
  if (own->effect == Effect::kKeyed && head["Idempotency-Key"].empty()) {
    return fault(http::status::bad_request, "Idempotency-Key is missing");
  }
  call.class_name = cls->settings.name;
  call.tenant = field(names.tenant);
  call.key = field(names.key);
  call.is_retry = field(names.retry) == "1";
  call.client_timeout = cls->settings.deadline;
  if (const std::string stated = field(names.deadline); !stated.empty()) {
    const auto deadline = ReadDeadline(stated);
    if (!deadline) return fault(http::status::bad_request, names.deadline + " is malformed");
    call.client_timeout = std::min(call.client_timeout, *deadline);
  }
  call.id = field(names.id);
  if (call.id.size() > kMaxRequestIdLength)
    return fault(http::status::bad_request, names.id + " is too long");
  if (call.id.empty()) {
    char id[40];
    std::snprintf(id, sizeof id, "%016llx-%llx", static_cast<unsigned long long>(seed_),
                  static_cast<unsigned long long>(++ids_));
    call.id = id;
  }
  call.max_body_bytes = pool.max_request_bytes;
  return std::nullopt;
}

// Takes the request in by its pool's limits, or turns it away at once.
std::optional<LocalReply> ServiceGateway::Enter(const std::shared_ptr<Member>& member, ClientRequest& call) {
  const auto refuse = [](http::status status, std::string text, Millis retry_after, std::string cause) {
    LocalReply f{status, std::move(text), retry_after, {}, std::move(cause)};
    f.keep_connection = true;
    return f;
  };
  if (!places_.TryAcquire(member->places)) {
    return refuse(http::status::service_unavailable, "pool " + member->id + " has no places left", kBusyRetry,
                  "places");
  }
  const auto answer = member->gate.TryAdmit(Now());
  if (answer.decision != limits::RequestLimiter::Decision::kAdmitted) {
    places_.Release(member->places);
    const bool fast = answer.decision == limits::RequestLimiter::Decision::kRateExceeded;
    return refuse(
        fast ? http::status::too_many_requests : http::status::service_unavailable,
        "pool " + member->id + (fast ? " takes no more requests a second" : " holds no more requests"),
        answer.retry_after, fast ? "pace" : "held");
  }
  const auto ticket = std::make_shared<Ticket>(*this, member);
  call.admission = ticket;
  call.pool = member->pool;
  call.reserve_body = [this, weak = std::weak_ptr(ticket)](std::uint64_t bytes) {
    const auto held = weak.lock();
    if (!held || held->body > 0 || !bodies_.TryAcquire(held->member->bodies, bytes)) return false;
    held->body = bytes;
    return true;
  };
  return std::nullopt;
}

void ServiceGateway::Stop(std::function<void()> done, const StopTimes& times) {
  stop_.Begin(std::move(done), times);
}

std::shared_ptr<const Pool> ServiceGateway::pool(const std::string& id) const {
  for (const auto& member : snapshot_->members) {
    if (member->id == id) return member->pool;
  }
  return nullptr;
}

}  // namespace opalswitch::gateway
