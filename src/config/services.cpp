#include "config/services.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "base/endpoint.hpp"
#include "config/toml_reader.hpp"
#include "routing/target.hpp"

namespace opalswitch::config {
namespace {

constexpr std::size_t kMostListeners = 64;
constexpr std::size_t kMostPools = 256;
constexpr std::size_t kMostRoutes = 100000;
constexpr std::uint64_t kMostMessage = 16 << 20;  // bodies are held whole
constexpr std::uint64_t kUsualMessage = 64 << 10;
constexpr double kUsualLateWorth = 0.5;
constexpr double kBodyPart = 0.15;  // of the memory: bodies are held twice while they are passed on

bool IsToken(std::string_view text) {  // RFC 9110 5.6.2
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
  });
}

std::string Quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

// "cold, warm or hot"
template <typename List, typename Name>
std::string OneOf(const List& list, Name name) {
  if (list.empty()) return "nothing: the file has none";
  std::string text = "one of";
  std::size_t told = 0;
  for (const auto& item : list) {
    if (++told > 8) return text + " ...";
    text += " " + Quoted(name(item));
  }
  return text;
}

class Reader {
 public:
  Reader(Services& services, Issues& issues, std::string folder)
      : services_(services), issues_(issues), folder_(std::move(folder)) {}

  void Read(const toml::table& root) {
    TableReader top(root, "", issues_);
    if (const auto* const table = top.Table("process")) ReadProcess(*table);
    if (const auto* const table = top.Table("request")) ReadHeaders(*table);
    Each(top, "listener", kMostListeners, [&](TableReader& f) { ReadListener(f); });
    Each(top, "class", 64, [&](TableReader& f) { ReadClass(f); });
    Each(top, "tenant", 10000, [&](TableReader& f) { ReadTenant(f); });
    Each(top, "pool", kMostPools, [&](TableReader& f) { ReadPool(f); });
    Each(top, "route", kMostRoutes, [&](TableReader& f) { ReadRoute(f); });
    if (const auto* const table = top.Table("control")) {
      std::vector<std::string> pools, listeners;
      for (const Pool& pool : services_.pools) pools.push_back(pool.id);
      for (const Listener& listener : services_.listeners) listeners.push_back(listener.id);
      TableReader f(*table, "control", issues_);
      services_.control = ReadControl(f, issues_, pools, listeners, folder_);
    }
    for (const auto& [list, expected] : std::initializer_list<std::pair<const char*, const char*>>{
             {"listener", "a [[listener]] with an address to listen at"},
             {"class", "a [[class]] of requests"},
             {"pool", "a [[pool]] of hosts"},
             {"route", "a [[route]] that leads to a pool"}}) {
      if (!top.Has(list)) top.AddMissing(list, expected);
    }
    CheckGuarantees(top);
    CheckRoutes();
  }

 private:
  template <typename ReadOne>
  void Each(TableReader& top, const char* key, std::size_t most, ReadOne read) {
    const auto tables = top.Tables(key);
    if (tables.size() > most) return top.AddIssue(key, "more than " + std::to_string(most) + " of them");
    for (std::size_t i = 0; i < tables.size(); ++i) {
      // Named by its id as far as there is one: a place in a list is hard to count to.
      std::string name = std::string(key) + "[" + std::to_string(i) + "]";
      if (const auto* const id = tables[i]->get_as<std::string>("id"))
        name = std::string(key) + "." + id->get();
      TableReader fields(*tables[i], name, issues_);
      read(fields);
    }
  }

  // An id that no other of its kind has.
  std::string TakeId(TableReader& f, const char* kind, bool needed = true) {
    auto id = f.Name("id");
    if (!id) {
      if (needed && !f.Has("id")) f.AddMissing("id", std::string("a name for the ") + kind);
      return {};
    }
    const auto [entry, added] = ids_.try_emplace(std::string(kind) + " " + *id, f.at().begin.line);
    if (!added) {
      f.AddIssue("id", "found " + Quoted(*id) + ", which the " + kind + " in line " +
                           std::to_string(entry->second) + " has already, expected an id of its own");
    }
    return *id;
  }

  void ReadProcess(const toml::table& table) {
    TableReader f(table, "process", issues_);
    services_.descriptors = static_cast<std::size_t>(f.Integer("descriptors", 64, 10000000).value_or(1024));
    services_.memory = f.Size("memory").value_or(128 << 20);
    services_.watches_file = f.Flag("watch").value_or(false);
    services_.reports_cause = f.Flag("tell_cause").value_or(true);
    services_.health_path = f.String("health_path").value_or("");
    std::string error;
    if (!services_.health_path.empty() &&
        routing::NormalizePath(services_.health_path, error) != services_.health_path) {
      f.AddInvalid("health_path", "a path in its normal form, such as \"/up\"");
    }
    gateways_ = static_cast<int>(f.Integer("gateways", 1, 100000).value_or(1));
    index_ = static_cast<int>(f.Integer("index", 0, 99999).value_or(-1));
    if (index_ >= gateways_)
      f.AddInvalid("index", "a number below gateways (" + std::to_string(gateways_) + ")");
    zone_ = f.String("zone").value_or("");
  }

  void ReadHeaders(const toml::table& table) {
    TableReader f(table, "request", issues_);
    RequestHeaders& h = services_.headers;
    for (const auto& [key, to] :
         std::initializer_list<std::pair<const char*, std::string*>>{{"id_header", &h.id},
                                                                     {"class_header", &h.class_name},
                                                                     {"tenant_header", &h.tenant},
                                                                     {"key_header", &h.key},
                                                                     {"deadline_header", &h.deadline},
                                                                     {"retry_header", &h.retry}}) {
      *to = f.String(key).value_or("");
      if (!to->empty() && !IsToken(*to)) f.AddInvalid(key, "a header's name");
    }
  }

  void ReadListener(TableReader& f) {
    Listener listener;
    listener.id = TakeId(f, "listener");
    listener.address = f.Required("address", f.Address("address"), "an IP address and port to listen at");
    for (const Listener& other : services_.listeners) {
      if (listener.address.port() != 0 && other.address == listener.address) {
        f.AddInvalid("address", "one that listener " + Quoted(other.id) + " does not have");
      }
    }
    services_.listeners.push_back(listener);
  }

  std::vector<std::string> Methods(TableReader& f) {
    auto methods = f.Strings("methods");
    for (const std::string& method : methods) {
      if (!IsToken(method) || method == "CONNECT" || method == "TRACE") {
        f.AddInvalid("methods", "HTTP methods, in capitals; CONNECT and TRACE are never passed on");
        break;
      }
    }
    return methods;
  }

  void ReadClass(TableReader& f) {
    ServiceClass c;
    ClassSettings& s = c.settings;
    s.name = TakeId(f, "class");
    s.effect = static_cast<Effect>(f.Required("effect", f.Choice("effect", {"safe", "keyed", "unsafe"}),
                                              "\"safe\", \"keyed\" or \"unsafe\""));
    if (!f.Has("effect")) s.effect = Effect::kUnsafe;
    s.aim = f.Required("aim", f.Duration("aim"), "a time with its unit: an answer within it is in time");
    s.deadline =
        f.Required("deadline", f.Duration("deadline"), "a time with its unit: a client's whole patience");
    if (s.aim > 0 && s.deadline > 0 && s.aim > s.deadline)
      f.AddInvalid("aim", "a time no longer than the deadline");
    s.worth = f.Number("worth", 0, 1e6).value_or(1);
    // A client that waits to its deadline gets an answer until then, unless the operators say it is worth
    // nothing.
    s.late_worth = f.Number("late_worth", 0, 1).value_or(kUsualLateWorth);
    s.group = static_cast<DeduplicationScope>(f.Choice("group", {"all", "zone", "cell"}).value_or(0));
    s.repeat_window = f.Duration("repeat_window", true).value_or(0);
    if (s.effect == Effect::kKeyed && s.repeat_window <= 0 && !f.Has("repeat_window")) {
      f.AddMissing("repeat_window", "a time with its unit: how long hosts drop repeats of a keyed request");
    }
    if (s.effect != Effect::kKeyed && (f.Has("group") || f.Has("repeat_window"))) {
      f.AddIssue(f.Has("group") ? "group" : "repeat_window", "only a keyed class has one");
    }
    c.methods = Methods(f);
    if (c.methods.empty() && s.effect == Effect::kSafe) c.methods = {"GET", "HEAD", "OPTIONS"};
    services_.classes.push_back(std::move(c));
  }

  void ReadTenant(TableReader& f) {
    Tenant tenant;
    tenant.id = TakeId(f, "tenant");
    tenant.share = f.Number("share", 0, 1e9).value_or(0);
    services_.tenants.push_back(tenant);
  }

  int ClassIndex(const std::string& id) const {
    for (std::size_t i = 0; i < services_.classes.size(); ++i) {
      if (services_.classes[i].settings.name == id) return static_cast<int>(i);
    }
    return -1;
  }
  std::string ClassNames() const {
    return OneOf(services_.classes, [](const ServiceClass& c) { return c.settings.name; });
  }

  BudgetShare ReadBudgetShare(TableReader& f, const char* key, bool bytes) {
    BudgetShare portion;
    const toml::table* const table = f.Table(key);
    if (table == nullptr) return portion;
    TableReader p(*table, f.PathOf(key), issues_);
    const auto amount = [&](const char* name) -> std::uint64_t {
      if (bytes) return p.Size(name).value_or(0);
      return static_cast<std::uint64_t>(p.Integer(name, 1, 10000000).value_or(0));
    };
    portion.guaranteed = amount("guaranteed");
    portion.max = amount("most");
    if (portion.max > 0 && portion.max < portion.guaranteed)
      p.AddInvalid("most", "no less than what is guaranteed");
    return portion;
  }

  void ReadHosts(TableReader& f, Pool& pool) {
    std::set<std::string> seen;
    const auto tables = f.Tables("host");
    for (std::size_t i = 0; i < tables.size(); ++i) {
      TableReader h(*tables[i], f.PathOf("host[" + std::to_string(i) + "]"), issues_);
      gateway::Host host;
      host.address = h.Required("address", h.Address("address"), "the host's IP address and port");
      const std::string address = gateway::FormatEndpoint(host.address);
      host.server.id = h.Name("id").value_or(address);
      host.server.zone = h.String("zone").value_or("");
      host.server.kind = h.String("kind").value_or("");
      host.server.cell = h.String("cell").value_or("");
      host.server.weight = h.Number("weight", 0.001, 10000).value_or(1);
      host.server.state =
          h.Choice("state", {"up", "draining"}).value_or(0) == 0 ? ServerState::kUp : ServerState::kDraining;
      if (!seen.insert(host.server.id).second) {
        h.AddIssue(h.Has("id") ? "id" : "address",
                   "found " + Quoted(host.server.id) + " a second time in this pool");
      }
      // One node has one id in all pools: a drain that one of them is told of reaches it in the others.
      const auto [known, added] = nodes_.try_emplace(address, host.server.id);
      if (!added && known->second != host.server.id && h.Has("address")) {
        h.AddIssue("address", "found " + Quoted(address) + ", which is host " + Quoted(known->second) +
                                  " elsewhere in this file, expected the same id for the same node");
      }
      pool.membership.hosts.push_back(std::move(host));
    }
  }

  void ReadMembership(TableReader& f, Pool& pool) {
    Membership& m = pool.membership;
    const toml::table* const table = f.Table("membership");
    if (table != nullptr) {
      TableReader s(*table, f.PathOf("membership"), issues_);
      const auto source = s.Required("source", s.Choice("source", {"static", "file", "discovery"}),
                                     "\"static\", \"file\" or \"discovery\"");
      m.source = static_cast<Membership::Source>(source);
      if (m.source == Membership::Source::kFile)
        m.file = PathIn(folder_, s.Required("file", s.String("file"), "the path of a list of hosts"));
      if (m.source == Membership::Source::kDiscovery) {
        m.discovery =
            s.Required("address", s.Address("address"), "the IP address and port of a discovery service");
      }
    }
    if (m.source == Membership::Source::kStatic) {
      if (!f.Has("host"))
        f.AddMissing("host", "a [[pool.host]] with an address, or a [pool.membership] that names a source");
    } else if (f.Has("host")) {
      f.AddIssue("host", "hosts are listed in the file only where the membership's source is \"static\"");
    }
    ReadHosts(f, pool);
  }

  void ReadPool(TableReader& f) {
    Pool pool;
    pool.id = TakeId(f, "pool");
    ReadMembership(f, pool);
    std::int64_t in_flight = 0, queue = 0;
    pool.max_request_bytes = pool.max_response_bytes = kUsualMessage;
    if (const auto* const table = f.Table("limits")) {
      TableReader l(*table, f.PathOf("limits"), issues_);
      in_flight = l.Integer("in_flight", 1, 1000000).value_or(0);
      queue = l.Integer("queue", 0, 1000000).value_or(-1);
      if (l.Has("queue") && in_flight == 0)
        l.AddIssue("queue", "a bound on the queue needs in_flight beside it");
      pool.limits.requests_per_s = l.Number("requests_per_second", 0.001, 1e9).value_or(0);
      pool.limits.burst = l.Number("burst", 1, 1e9).value_or(0);
      if (l.Has("burst") && pool.limits.requests_per_s == 0)
        l.AddIssue("burst", "a burst needs requests_per_second beside it");
      pool.refusal_reads_per_s = l.Number("refused_per_second", 1, 1e9).value_or(pool.refusal_reads_per_s);
      pool.max_request_bytes = std::min(l.Size("request_body").value_or(kUsualMessage), kMostMessage + 1);
      pool.max_response_bytes = std::min(l.Size("answer_body").value_or(kUsualMessage), kMostMessage + 1);
      for (const char* const key : {"request_body", "answer_body"}) {
        if ((key[0] == 'r' ? pool.max_request_bytes : pool.max_response_bytes) > kMostMessage)
          l.AddInvalid(key, "16MiB at most");
      }
      pool.descriptors = ReadBudgetShare(l, "descriptors", false);
      pool.clients = ReadBudgetShare(l, "clients", false);
      pool.body_memory = ReadBudgetShare(l, "body_memory", true);
    }
    if (in_flight > 0 && queue >= 0) pool.limits.max_active = static_cast<std::size_t>(in_flight + queue);
    pool.dial_timeout = 250;
    pool.idle_timeout = 15000;
    if (const auto* const table = f.Table("timeouts")) {
      TableReader t(*table, f.PathOf("timeouts"), issues_);
      pool.dial_timeout = t.Duration("dial").value_or(250);
      pool.idle_timeout = t.Duration("idle").value_or(15000);
    }
    pool.response_rules = static_cast<ResponseRules>(f.Choice("answers", {"plain", "platform"}).value_or(0));
    pool.strict_drain = f.Choice("drain", {"static", "strict"}).value_or(0) == 1;
    Settings& s = pool.settings;
    s.max_attempts = static_cast<int>(f.Integer("attempts", 1, 16).value_or(3));
    s.max_in_flight = static_cast<int>(in_flight);
    s.gateways = gateways_;
    s.index = index_;
    s.zone = zone_;
    s.can_cancel = true;
    s.sends_retry_after = true;
    s.max_retry_after = 30000;
    s.clients_mark_retries = !services_.headers.retry.empty();
    s.load_report_fields = f.Strings("load_report");
    if (const auto* const table = f.Table("cold")) {
      TableReader c(*table, f.PathOf("cold"), issues_);
      s.cold_capacity_fraction =
          c.Required("from", c.Number("from", 0.001, 1), "the part of its work that a started host can do");
      s.warm_up_time = c.Required("for", c.Duration("for"), "the time until a started host can do all of it");
      s.overload_multiple = c.Number("fall_multiple", 0.1, 1000).value_or(3);
      if (!(s.cold_capacity_fraction > 0)) s.cold_capacity_fraction = 1;
    }
    for (const ServiceClass& c : services_.classes) s.classes.push_back(c.settings);
    if (const auto* const table = f.Table("effects")) ReadEffects(f, *table, s);
    for (const Tenant& t : services_.tenants) s.tenants.push_back({t.id, t.share});
    if (const auto* const table = f.Table("shares")) ReadShares(f, *table, s);
    Define(pool);
    services_.pools.push_back(std::move(pool));
  }

  void ReadEffects(TableReader& f, const toml::table& table, Settings& s) {
    TableReader e(table, f.PathOf("effects"), issues_);
    for (const std::string& name : e.Keys()) {
      const int index = ClassIndex(name);
      const auto effect = e.Choice(name, {"safe", "keyed", "unsafe"});
      if (index < 0) {
        e.AddIssue(name, "there is no class " + Quoted(name) + ", expected " + ClassNames());
        continue;
      }
      if (!effect) continue;
      ClassSettings& c = s.classes[static_cast<std::size_t>(index)];
      const auto wanted = static_cast<Effect>(*effect);
      if (Strictness(wanted) < Strictness(c.effect)) {
        e.AddInvalid(name, "what is no looser than the class itself, which says \"" +
                               std::string(c.effect == Effect::kUnsafe ? "unsafe" : "keyed") + "\"");
        continue;
      }
      if (wanted == Effect::kKeyed && c.effect == Effect::kSafe) {
        e.AddInvalid(name, "\"unsafe\": a safe class has no window in which hosts drop repeats");
        continue;
      }
      c.effect = wanted;
    }
  }

  void ReadShares(TableReader& f, const toml::table& table, Settings& s) {
    TableReader t(table, f.PathOf("shares"), issues_);
    for (const std::string& name : t.Keys()) {
      const auto found = std::find_if(s.tenants.begin(), s.tenants.end(),
                                      [&](const TenantSettings& tenant) { return tenant.name == name; });
      const auto share = t.Number(name, 0, 1e9);
      if (found == s.tenants.end()) {
        t.AddIssue(name, "there is no tenant " + Quoted(name) + ", expected " +
                             OneOf(services_.tenants, [](const Tenant& tenant) { return tenant.id; }));
      } else if (share) {
        found->quota_per_s = *share;
      }
    }
  }

  // Everything that a running pool can't take over without starting anew. The static hosts are not of it.
  static void Define(Pool& pool) {
    std::ostringstream out;
    out.precision(17);
    const Settings& s = pool.settings;
    for (const ClassSettings& c : s.classes) {
      out << "class " << c.name << ' ' << c.aim << ' ' << c.deadline << ' ' << c.worth << ' ' << c.late_worth
          << ' ' << static_cast<int>(c.effect) << static_cast<int>(c.group) << ' ' << c.repeat_window << '\n';
    }
    for (const TenantSettings& t : s.tenants) out << "tenant " << t.name << ' ' << t.quota_per_s << '\n';
    out << "module " << s.zone << '|' << s.gateways << ' ' << s.index << ' ' << s.max_attempts << ' '
        << s.max_in_flight << ' ' << s.cold_capacity_fraction << ' ' << s.warm_up_time << ' '
        << s.overload_multiple << ' ' << s.clients_mark_retries << '\n';
    for (const std::string& field : s.load_report_fields) out << "report " << field << '\n';
    out << "gate " << pool.limits.requests_per_s << ' ' << pool.limits.burst << ' ' << pool.limits.max_active
        << ' ' << pool.refusal_reads_per_s << '\n';
    for (const BudgetShare* const p : {&pool.descriptors, &pool.clients, &pool.body_memory}) {
      out << "portion " << p->guaranteed << ' ' << p->max << '\n';
    }
    out << "bodies " << pool.max_request_bytes << ' ' << pool.max_response_bytes << '\n';
    out << "times " << pool.dial_timeout << ' ' << pool.idle_timeout << '\n';
    out << "answers " << static_cast<int>(pool.response_rules) << '\n';
    const Membership& m = pool.membership;
    out << "source " << static_cast<int>(m.source) << ' ' << m.file << ' ' << m.discovery << '\n';
    pool.definition = out.str();
  }

  std::optional<std::string> HostPattern(std::string text) {
    const bool suffix = text.starts_with("*.");
    std::string error;
    const auto authority = routing::ParseAuthority(suffix ? text.substr(2) : text, error);
    if (!authority || authority->host.empty() || authority->port ||
        authority->host.find('*') != std::string::npos || (suffix && authority->host[0] == '[')) {
      return std::nullopt;
    }
    return (suffix ? "*." : "") + authority->host;
  }

  void AddPaths(TableReader& f, const char* key, bool prefix, routing::Route& match) {
    for (const std::string& text : f.Strings(key)) {
      std::string error;
      auto path = routing::NormalizePath(text, error);
      if (!path) {
        f.AddInvalid(key, "a path (" + error + ")");
        continue;
      }
      if (prefix && path->ends_with('/')) path->pop_back();  // "/a/" and "/a" are one prefix, "/" is all
      match.paths.push_back({prefix, std::move(*path)});
    }
  }

  void ReadRoute(TableReader& f) {
    RouteRule rule;
    routing::Route& match = rule.match;
    match.id = TakeId(f, "route", /*needed=*/false);
    if (match.id.empty()) match.id = "route-" + std::to_string(services_.routes.size() + 1);
    for (std::string& text : f.Strings("host")) {
      if (auto pattern = HostPattern(text)) {
        match.hosts.push_back(std::move(*pattern));
      } else {
        f.AddInvalid("host", "a host's name without a port, or \"*.\" and the end of one");
      }
    }
    AddPaths(f, "path", false, match);
    AddPaths(f, "prefix", true, match);
    match.methods = Methods(f);
    for (const toml::table* const table : f.Tables("header")) {
      TableReader h(*table, f.PathOf("header"), issues_);
      routing::HeaderCondition condition;
      condition.name = h.Required("name", h.String("name"), "a header's name");
      if (h.Has("name") && !IsToken(condition.name)) h.AddInvalid("name", "a header's name");
      if (auto value = h.String("equals")) {
        condition.kind = routing::HeaderCondition::Kind::kEquals;
        condition.value = *value;
      }
      if (const auto present = h.Flag("present")) {
        if (h.Has("equals")) h.AddIssue("present", "a condition has either equals or present");
        condition.kind =
            *present ? routing::HeaderCondition::Kind::kPresent : routing::HeaderCondition::Kind::kAbsent;
      }
      match.headers.push_back(std::move(condition));
    }
    match.listeners = f.Strings("listener");
    for (const std::string& name : match.listeners) {
      const bool known = std::any_of(services_.listeners.begin(), services_.listeners.end(),
                                     [&](const Listener& l) { return l.id == name; });
      if (!known)
        f.AddInvalid("listener", OneOf(services_.listeners, [](const Listener& l) { return l.id; }));
    }
    match.classes = f.Strings("stated_class");
    for (const std::string& name : match.classes) {
      if (ClassIndex(name) < 0) f.AddInvalid("stated_class", ClassNames());
    }
    if (!match.classes.empty() && services_.headers.class_name.empty()) {
      f.AddIssue("stated_class",
                 "clients state no class unless request.class_header names the header that holds it");
    }
    ReadRouteTarget(f, rule);
    places_.push_back({f.at(), f.PathOf("")});
    services_.routes.push_back(std::move(rule));
  }

  void ReadRouteTarget(TableReader& f, RouteRule& rule) {
    const auto pool = f.String("pool");
    const auto found = std::find_if(services_.pools.begin(), services_.pools.end(),
                                    [&](const Pool& p) { return pool && p.id == *pool; });
    if (!pool && !f.Has("pool")) f.AddMissing("pool", "the id of a pool");
    if (pool && found == services_.pools.end()) {
      f.AddInvalid("pool", "the id of a pool, " + OneOf(services_.pools, [](const Pool& p) { return p.id; }));
    }
    rule.pool =
        found == services_.pools.end() ? 0 : static_cast<std::size_t>(found - services_.pools.begin());
    const auto name = f.String("class");
    if (name) {
      rule.class_index = ClassIndex(*name);
      if (rule.class_index < 0) f.AddInvalid("class", "the id of a class, " + ClassNames());
    } else if (!f.Has("class") && services_.headers.class_name.empty()) {
      f.AddMissing("class",
                   "the id of a class, as request.class_header names no header by which clients state it");
    }
    if (rule.class_index < 0 || rule.match.methods.empty()) return;
    const ServiceClass& c = services_.classes[static_cast<std::size_t>(rule.class_index)];
    for (const std::string& method : rule.match.methods) {
      if (!c.methods.empty() && std::find(c.methods.begin(), c.methods.end(), method) == c.methods.end()) {
        f.AddIssue("methods", "class " + Quoted(c.settings.name) + " does not come by " + method +
                                  "; name its methods in the class if it does");
      }
    }
  }

  void CheckGuarantees(TableReader& top) {
    std::uint64_t descriptors = 0, clients = 0, memory = 0;
    for (const Pool& p : services_.pools) {
      descriptors += p.descriptors.guaranteed;
      clients += p.clients.guaranteed;
      memory += p.body_memory.guaranteed;
    }
    const auto check = [&](std::uint64_t sum, double part, double all, const char* what, const char* of) {
      const auto most = static_cast<std::uint64_t>(part * all);
      if (sum <= most) return;
      top.AddIssue("pool", "the pools' guaranteed " + std::string(what) + " add up to " +
                               std::to_string(sum) + ", expected at most " + std::to_string(most) + ", " +
                               of);
    };
    const auto all = static_cast<double>(services_.descriptors);
    check(descriptors, 0.4, all, "descriptors", "40% of process.descriptors");
    check(clients, 0.5, all, "clients", "half of process.descriptors");
    check(memory, kBodyPart, static_cast<double>(services_.memory), "body_memory", "15% of process.memory");
  }

  // Of a file with other faults too: what the routes lead to does not matter here.
  void CheckRoutes() {
    std::vector<routing::Route> routes;
    for (const RouteRule& rule : services_.routes) routes.push_back(rule.match);
    services_.table = routing::RouteTable(std::move(routes));
    for (std::size_t i = 0; i < services_.routes.size(); ++i) {
      const auto by = services_.table.ShadowedBy(i);
      if (!by) continue;
      issues_.Add(places_[i].first, "route." + services_.routes[i].match.id,
                  "can't be reached: route " + Quoted(services_.routes[*by].match.id) + " in line " +
                      std::to_string(places_[*by].first.begin.line) + " takes all that it could take");
    }
  }

  Services& services_;
  Issues& issues_;
  const std::string folder_;
  int gateways_ = 1, index_ = -1;
  std::string zone_;
  std::map<std::string, unsigned> ids_;
  std::map<std::string, std::string> nodes_;  // ids by address
  std::vector<std::pair<toml::source_region, std::string>> places_;
};

}  // namespace

int Strictness(Effect effect) { return effect == Effect::kSafe ? 0 : effect == Effect::kKeyed ? 1 : 2; }

std::string Issue::ToText() const {
  std::string text = file;
  if (line > 0) text += ":" + std::to_string(line) + ":" + std::to_string(column);
  text += ": ";
  if (!field.empty()) text += field + ": ";
  return text + this->text;
}

ParsedServices ParseServices(std::string_view text, const std::string& file, const std::string& folder) {
  Issues issues{file, {}};
  const auto services = std::make_shared<Services>();
  services->file = file;
  const toml::parse_result parsed = toml::parse(text, file);
  if (!parsed) {
    std::string what(parsed.error().description());
    std::replace(what.begin(), what.end(), '\n', ' ');
    issues.Add(parsed.error().source(), "", what);
    return {nullptr, std::move(issues.list)};
  }
  Reader(*services, issues, folder).Read(parsed.table());
  if (issues.list.empty()) return {services, {}};
  std::stable_sort(issues.list.begin(), issues.list.end(), [](const Issue& a, const Issue& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  return {nullptr, std::move(issues.list)};
}

ParsedServices LoadServices(const std::string& path) {
  constexpr std::size_t kMostFile = 32 << 20;
  std::ifstream stream(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream.good() && !stream.eof()) return {nullptr, {{path, 0, 0, "", "can't be read"}}};
  if (text.size() > kMostFile) return {nullptr, {{path, 0, 0, "", "larger than 32 MiB"}}};
  const std::size_t slash = path.rfind('/');
  return ParseServices(text, path, slash == std::string::npos ? "" : path.substr(0, slash));
}

}  // namespace opalswitch::config
