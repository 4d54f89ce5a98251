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

constexpr std::size_t kMaxListeners = 64;
constexpr std::size_t kMaxClasses = 64;
constexpr std::size_t kMaxTenants = 10000;
constexpr std::size_t kMaxPools = 256;
constexpr std::size_t kMaxRoutes = 100000;
// Bodies are buffered whole.
constexpr std::uint64_t kMaxConfigurableBodyBytes = 16 << 20;
constexpr std::uint64_t kDefaultMaxBodyBytes = 64 << 10;
constexpr double kDefaultLateWorth = 0.5;  // of an answer after the aim, relative to one within it
constexpr std::int64_t kDefaultMaxAttempts = 3;
constexpr double kDefaultOverloadMultiple = 3;
constexpr Millis kDefaultDialTimeoutMs = 250;
constexpr Millis kDefaultIdleTimeoutMs = 15000;
constexpr Millis kMaxRetryAfterMs = 30000;  // the largest Retry-After that clients get
// Parts of process.descriptors that the pools may be guaranteed.
constexpr double kGuaranteedDescriptorsFraction = 0.4;
constexpr double kGuaranteedClientsFraction = 0.5;
// Part of process.memory that bodies may take. A body is in memory twice while it is forwarded.
constexpr double kBodyMemoryFraction = 0.15;

// RFC 9110 section 5.6.2.
bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
  });
}

std::string Quote(std::string_view text) { return "\"" + std::string(text) + "\""; }

// For messages: 'one of "a" "b"', with the first eight names.
template <typename List, typename Name>
std::string FormatChoices(const List& list, Name name) {
  if (list.empty()) return "one that the file defines, but it defines none";
  std::string text = "one of";
  std::size_t listed = 0;
  for (const auto& item : list) {
    if (++listed > 8) return text + " ...";
    text += " " + Quote(name(item));
  }
  return text;
}

// Fills a Services value from the parsed file, and collects the issues.
class ServicesReader {
 public:
  ServicesReader(Services& services, Issues& issues, std::string folder)
      : services_(services), issues_(issues), folder_(std::move(folder)) {}

  void Read(const toml::table& root) {
    TableReader top(root, "", issues_);
    if (const auto* const table = top.Table("process")) ReadProcess(*table);
    if (const auto* const table = top.Table("request")) ReadHeaders(*table);
    ReadEach(top, "listener", kMaxListeners, [&](TableReader& reader) { ReadListener(reader); });
    ReadEach(top, "class", kMaxClasses, [&](TableReader& reader) { ReadClass(reader); });
    ReadEach(top, "tenant", kMaxTenants, [&](TableReader& reader) { ReadTenant(reader); });
    ReadEach(top, "pool", kMaxPools, [&](TableReader& reader) { ReadPool(reader); });
    ReadEach(top, "route", kMaxRoutes, [&](TableReader& reader) { ReadRoute(reader); });
    if (const auto* const table = top.Table("control")) {
      std::vector<std::string> pools, listeners;
      for (const Pool& pool : services_.pools) pools.push_back(pool.id);
      for (const Listener& listener : services_.listeners) listeners.push_back(listener.id);
      TableReader reader(*table, "control", issues_);
      services_.control = ReadControl(reader, issues_, pools, listeners, folder_);
    }
    for (const auto& [list, expected] : std::initializer_list<std::pair<const char*, const char*>>{
             {"listener", "at least one [[listener]] with an address to listen on"},
             {"class", "at least one [[class]] of requests"},
             {"pool", "at least one [[pool]] of hosts"},
             {"route", "at least one [[route]] to a pool"}}) {
      if (!top.Has(list)) top.AddMissing(list, expected);
    }
    CheckGuarantees(top);
    CheckRoutes();
  }

 private:
  // Calls `read` for each table of an array of tables.
  template <typename ReadOne>
  void ReadEach(TableReader& top, const char* key, std::size_t max, ReadOne read) {
    const auto tables = top.Tables(key);
    if (tables.size() > max) {
      return top.AddIssue(
          key, "found " + std::to_string(tables.size()) + " tables, expected at most " + std::to_string(max));
    }
    for (std::size_t i = 0; i < tables.size(); ++i) {
      // Issues name a table by its id where it has one; an index is hard to find in a long file.
      std::string name = std::string(key) + "[" + std::to_string(i) + "]";
      if (const auto* const id = tables[i]->get_as<std::string>("id"))
        name = std::string(key) + "." + id->get();
      TableReader reader(*tables[i], name, issues_);
      read(reader);
    }
  }

  // Reads the id and checks that no other table of this kind has it. Empty if it is absent or not valid.
  std::string ReadUniqueId(TableReader& reader, const char* kind, bool is_required = true) {
    auto id = reader.Name("id");
    if (!id) {
      if (is_required && !reader.Has("id")) reader.AddMissing("id", std::string("a name for the ") + kind);
      return {};
    }
    const auto [entry, added] =
        lines_by_id_.try_emplace(std::string(kind) + " " + *id, reader.at().begin.line);
    if (!added) {
      reader.AddIssue("id", "found " + Quote(*id) + ", which the " + kind + " in line " +
                                std::to_string(entry->second) + " has already, expected a unique id");
    }
    return *id;
  }

  void ReadProcess(const toml::table& table) {
    TableReader reader(table, "process", issues_);
    services_.descriptors =
        static_cast<std::size_t>(reader.Integer("descriptors", 64, 10000000).value_or(kDefaultDescriptors));
    services_.memory_bytes = reader.Size("memory").value_or(kDefaultMemoryBytes);
    services_.watches_file = reader.Flag("watch").value_or(false);
    services_.reports_cause = reader.Flag("tell_cause").value_or(true);
    services_.health_path = reader.String("health_path").value_or("");
    std::string error;
    if (!services_.health_path.empty() &&
        routing::NormalizePath(services_.health_path, error) != services_.health_path) {
      reader.AddInvalid("health_path", "a normalized path, such as \"/up\"");
    }
    gateways_ = static_cast<int>(reader.Integer("gateways", 1, 100000).value_or(1));
    index_ = static_cast<int>(reader.Integer("index", 0, 99999).value_or(-1));
    if (index_ >= gateways_)
      reader.AddInvalid("index", "a number below gateways (" + std::to_string(gateways_) + ")");
    zone_ = reader.String("zone").value_or("");
  }

  void ReadHeaders(const toml::table& table) {
    TableReader reader(table, "request", issues_);
    RequestHeaders& headers = services_.headers;
    for (const auto& [key, target] :
         std::initializer_list<std::pair<const char*, std::string*>>{{"id_header", &headers.id},
                                                                     {"class_header", &headers.class_name},
                                                                     {"tenant_header", &headers.tenant},
                                                                     {"key_header", &headers.key},
                                                                     {"deadline_header", &headers.deadline},
                                                                     {"retry_header", &headers.retry}}) {
      *target = reader.String(key).value_or("");
      if (!target->empty() && !IsToken(*target)) reader.AddInvalid(key, "the name of a header");
    }
  }

  void ReadListener(TableReader& reader) {
    Listener listener;
    listener.id = ReadUniqueId(reader, "listener");
    listener.address =
        reader.Required("address", reader.Address("address"), "an IP address and port to listen on");
    for (const Listener& other : services_.listeners) {
      if (listener.address.port() != 0 && other.address == listener.address) {
        reader.AddInvalid("address", "an address other than that of listener " + Quote(other.id));
      }
    }
    services_.listeners.push_back(listener);
  }

  // Reads a list of HTTP methods; empty = any.
  std::vector<std::string> ReadMethods(TableReader& reader) {
    auto methods = reader.Strings("methods");
    for (const std::string& method : methods) {
      if (!IsToken(method) || method == "CONNECT" || method == "TRACE") {
        reader.AddInvalid("methods", "HTTP methods in upper case; CONNECT and TRACE are never forwarded");
        break;
      }
    }
    return methods;
  }

  void ReadClass(TableReader& reader) {
    ServiceClass service_class;
    ClassSettings& settings = service_class.settings;
    settings.name = ReadUniqueId(reader, "class");
    settings.effect = static_cast<Effect>(reader.Required(
        "effect", reader.Choice("effect", {"safe", "keyed", "unsafe"}), "\"safe\", \"keyed\" or \"unsafe\""));
    if (!reader.Has("effect")) settings.effect = Effect::kUnsafe;
    settings.aim = reader.Required("aim", reader.Duration("aim"),
                                   "a duration with its unit: the latency target of the class");
    settings.deadline = reader.Required("deadline", reader.Duration("deadline"),
                                        "a duration with its unit: the time after which a client gives up");
    if (settings.aim > 0 && settings.deadline > 0 && settings.aim > settings.deadline)
      reader.AddInvalid("aim", "a duration no longer than the deadline");
    settings.worth = reader.Number("worth", 0, 1e6).value_or(1);
    // By default an answer between the aim and the deadline has some worth, as the client still waits for it.
    settings.late_worth = reader.Number("late_worth", 0, 1).value_or(kDefaultLateWorth);
    settings.group =
        static_cast<DeduplicationScope>(reader.Choice("group", {"all", "zone", "cell"}).value_or(0));
    settings.repeat_window = reader.Duration("repeat_window", true).value_or(0);
    if (settings.effect == Effect::kKeyed && settings.repeat_window <= 0 && !reader.Has("repeat_window")) {
      reader.AddMissing("repeat_window",
                        "a duration with its unit: how long hosts drop repeats of a keyed request");
    }
    if (settings.effect != Effect::kKeyed && (reader.Has("group") || reader.Has("repeat_window"))) {
      reader.AddIssue(reader.Has("group") ? "group" : "repeat_window",
                      "applies only to a class whose effect is \"keyed\"");
    }
    service_class.methods = ReadMethods(reader);
    if (service_class.methods.empty() && settings.effect == Effect::kSafe)
      service_class.methods = {"GET", "HEAD", "OPTIONS"};
    services_.classes.push_back(std::move(service_class));
  }

  void ReadTenant(TableReader& reader) {
    Tenant tenant;
    tenant.id = ReadUniqueId(reader, "tenant");
    tenant.quota_per_s = reader.Number("share", 0, 1e9).value_or(0);
    services_.tenants.push_back(tenant);
  }

  // The index of a class in services_.classes; -1 if there is none with this id.
  int ClassIndex(const std::string& id) const {
    for (std::size_t i = 0; i < services_.classes.size(); ++i) {
      if (services_.classes[i].settings.name == id) return static_cast<int>(i);
    }
    return -1;
  }
  // For messages: the ids of the classes.
  std::string ClassNames() const {
    return FormatChoices(services_.classes, [](const ServiceClass& c) { return c.settings.name; });
  }

  // Reads a table with `guaranteed` and `most`, as sizes in bytes or as counts.
  BudgetShare ReadBudgetShare(TableReader& reader, const char* key, bool is_bytes) {
    BudgetShare share;
    const toml::table* const table = reader.Table(key);
    if (table == nullptr) return share;
    TableReader share_reader(*table, reader.PathOf(key), issues_);
    const auto amount = [&](const char* name) -> std::uint64_t {
      if (is_bytes) return share_reader.Size(name).value_or(0);
      return static_cast<std::uint64_t>(share_reader.Integer(name, 1, 10000000).value_or(0));
    };
    share.guaranteed = amount("guaranteed");
    share.max = amount("most");
    if (share.max > 0 && share.max < share.guaranteed)
      share_reader.AddInvalid("most", "at least as much as is guaranteed");
    return share;
  }

  void ReadHosts(TableReader& reader, Pool& pool) {
    std::set<std::string> seen;
    const auto tables = reader.Tables("host");
    for (std::size_t i = 0; i < tables.size(); ++i) {
      TableReader host_reader(*tables[i], reader.PathOf("host[" + std::to_string(i) + "]"), issues_);
      gateway::Host host;
      host.address =
          host_reader.Required("address", host_reader.Address("address"), "the host's IP address and port");
      const std::string address = gateway::FormatEndpoint(host.address);
      host.server.id = host_reader.Name("id").value_or(address);
      host.server.zone = host_reader.String("zone").value_or("");
      host.server.kind = host_reader.String("kind").value_or("");
      host.server.cell = host_reader.String("cell").value_or("");
      host.server.weight = host_reader.Number("weight", 0.001, 10000).value_or(1);
      host.server.state = host_reader.Choice("state", {"up", "draining"}).value_or(0) == 0
                              ? ServerState::kUp
                              : ServerState::kDraining;
      if (!seen.insert(host.server.id).second) {
        host_reader.AddIssue(
            host_reader.Has("id") ? "id" : "address",
            "found " + Quote(host.server.id) + " twice in this pool, expected a unique host");
      }
      // A node has the same id in all pools, as a drain reported by one pool applies to the node in all.
      const auto [known, added] = node_ids_by_address_.try_emplace(address, host.server.id);
      if (!added && known->second != host.server.id && host_reader.Has("address")) {
        host_reader.AddIssue("address",
                             "found " + Quote(address) + ", which is host " + Quote(known->second) +
                                 " elsewhere in this file, expected the same id for the same node");
      }
      pool.membership.hosts.push_back(std::move(host));
    }
  }

  void ReadMembership(TableReader& reader, Pool& pool) {
    Membership& membership = pool.membership;
    const toml::table* const table = reader.Table("membership");
    if (table != nullptr) {
      TableReader source_reader(*table, reader.PathOf("membership"), issues_);
      const auto source =
          source_reader.Required("source", source_reader.Choice("source", {"static", "file", "discovery"}),
                                 "\"static\", \"file\" or \"discovery\"");
      membership.source = static_cast<Membership::Source>(source);
      if (membership.source == Membership::Source::kFile)
        membership.file =
            ResolvePath(folder_, source_reader.Required("file", source_reader.String("file"),
                                                        "the path of a JSON file with the list of hosts"));
      if (membership.source == Membership::Source::kDiscovery) {
        membership.discovery = source_reader.Required("address", source_reader.Address("address"),
                                                      "the IP address and port of a discovery service");
      }
    }
    if (membership.source == Membership::Source::kStatic) {
      if (!reader.Has("host"))
        reader.AddMissing("host",
                          "a [[pool.host]] with an address, or a [pool.membership] that names a source");
    } else if (reader.Has("host")) {
      reader.AddIssue("host", "only a pool whose membership source is \"static\" lists its hosts here");
    }
    ReadHosts(reader, pool);
  }

  void ReadPool(TableReader& reader) {
    Pool pool;
    pool.id = ReadUniqueId(reader, "pool");
    ReadMembership(reader, pool);
    std::int64_t in_flight = 0, queue = 0;
    pool.max_request_bytes = pool.max_response_bytes = kDefaultMaxBodyBytes;
    if (const auto* const table = reader.Table("limits")) {
      TableReader limits_reader(*table, reader.PathOf("limits"), issues_);
      in_flight = limits_reader.Integer("in_flight", 1, 1000000).value_or(0);
      queue = limits_reader.Integer("queue", 0, 1000000).value_or(-1);
      if (limits_reader.Has("queue") && in_flight == 0)
        limits_reader.AddIssue("queue", "a limit on the queue needs in_flight to be set as well");
      pool.limits.requests_per_s = limits_reader.Number("requests_per_second", 0.001, 1e9).value_or(0);
      pool.limits.burst = limits_reader.Number("burst", 1, 1e9).value_or(0);
      if (limits_reader.Has("burst") && pool.limits.requests_per_s == 0)
        limits_reader.AddIssue("burst", "a burst needs requests_per_second to be set as well");
      pool.refusal_reads_per_s =
          limits_reader.Number("refused_per_second", 1, 1e9).value_or(pool.refusal_reads_per_s);
      pool.max_request_bytes = std::min(limits_reader.Size("request_body").value_or(kDefaultMaxBodyBytes),
                                        kMaxConfigurableBodyBytes + 1);
      pool.max_response_bytes = std::min(limits_reader.Size("answer_body").value_or(kDefaultMaxBodyBytes),
                                         kMaxConfigurableBodyBytes + 1);
      for (const char* const key : {"request_body", "answer_body"}) {
        if ((key[0] == 'r' ? pool.max_request_bytes : pool.max_response_bytes) > kMaxConfigurableBodyBytes)
          limits_reader.AddInvalid(key, "16MiB at most");
      }
      pool.descriptors = ReadBudgetShare(limits_reader, "descriptors", false);
      pool.clients = ReadBudgetShare(limits_reader, "clients", false);
      pool.body_memory = ReadBudgetShare(limits_reader, "body_memory", true);
    }
    if (in_flight > 0 && queue >= 0) pool.limits.max_active = static_cast<std::size_t>(in_flight + queue);
    pool.dial_timeout = kDefaultDialTimeoutMs;
    pool.idle_timeout = kDefaultIdleTimeoutMs;
    if (const auto* const table = reader.Table("timeouts")) {
      TableReader timeouts_reader(*table, reader.PathOf("timeouts"), issues_);
      pool.dial_timeout = timeouts_reader.Duration("dial").value_or(kDefaultDialTimeoutMs);
      pool.idle_timeout = timeouts_reader.Duration("idle").value_or(kDefaultIdleTimeoutMs);
    }
    pool.response_rules =
        static_cast<ResponseRules>(reader.Choice("answers", {"plain", "platform"}).value_or(0));
    pool.strict_drain = reader.Choice("drain", {"static", "strict"}).value_or(0) == 1;
    Settings& settings = pool.settings;
    settings.max_attempts = static_cast<int>(reader.Integer("attempts", 1, 16).value_or(kDefaultMaxAttempts));
    settings.max_in_flight = static_cast<int>(in_flight);
    settings.gateways = gateways_;
    settings.index = index_;
    settings.zone = zone_;
    settings.can_cancel = true;
    settings.sends_retry_after = true;
    settings.max_retry_after = kMaxRetryAfterMs;
    settings.clients_mark_retries = !services_.headers.retry.empty();
    settings.load_report_fields = reader.Strings("load_report");
    if (const auto* const table = reader.Table("cold")) {
      TableReader cold_reader(*table, reader.PathOf("cold"), issues_);
      settings.cold_capacity_fraction =
          cold_reader.Required("from", cold_reader.Number("from", 0.001, 1),
                               "the fraction of its full load that a newly started host can take");
      settings.warm_up_time = cold_reader.Required("for", cold_reader.Duration("for"),
                                                   "the duration of a started host's warm-up, with its unit");
      settings.overload_multiple =
          cold_reader.Number("fall_multiple", 0.1, 1000).value_or(kDefaultOverloadMultiple);
      if (!(settings.cold_capacity_fraction > 0)) settings.cold_capacity_fraction = 1;
    }
    for (const ServiceClass& c : services_.classes) settings.classes.push_back(c.settings);
    if (const auto* const table = reader.Table("effects")) ReadEffects(reader, *table, settings);
    for (const Tenant& t : services_.tenants) settings.tenants.push_back({t.id, t.quota_per_s});
    if (const auto* const table = reader.Table("shares")) ReadShares(reader, *table, settings);
    SetDefinition(pool);
    services_.pools.push_back(std::move(pool));
  }

  // Reads the pool's own effects of classes, which may only be stricter than those of the classes.
  void ReadEffects(TableReader& reader, const toml::table& table, Settings& settings) {
    TableReader effects_reader(table, reader.PathOf("effects"), issues_);
    for (const std::string& name : effects_reader.Keys()) {
      const int index = ClassIndex(name);
      const auto effect = effects_reader.Choice(name, {"safe", "keyed", "unsafe"});
      if (index < 0) {
        effects_reader.AddIssue(name, "there is no class " + Quote(name) + ", expected " + ClassNames());
        continue;
      }
      if (!effect) continue;
      ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(index)];
      const auto wanted = static_cast<Effect>(*effect);
      if (Strictness(wanted) < Strictness(class_settings.effect)) {
        effects_reader.AddInvalid(
            name, "an effect no looser than that of the class, which is \"" +
                      std::string(class_settings.effect == Effect::kUnsafe ? "unsafe" : "keyed") + "\"");
        continue;
      }
      if (wanted == Effect::kKeyed && class_settings.effect == Effect::kSafe) {
        effects_reader.AddInvalid(
            name, "\"unsafe\": a safe class has no repeat_window in which hosts drop repeats");
        continue;
      }
      class_settings.effect = wanted;
    }
  }

  // Reads the pool's own quotas of tenants.
  void ReadShares(TableReader& reader, const toml::table& table, Settings& settings) {
    TableReader shares_reader(table, reader.PathOf("shares"), issues_);
    for (const std::string& name : shares_reader.Keys()) {
      const auto found = std::find_if(settings.tenants.begin(), settings.tenants.end(),
                                      [&](const TenantSettings& tenant) { return tenant.name == name; });
      const auto share = shares_reader.Number(name, 0, 1e9);
      if (found == settings.tenants.end()) {
        shares_reader.AddIssue(
            name, "there is no tenant " + Quote(name) + ", expected " +
                      FormatChoices(services_.tenants, [](const Tenant& tenant) { return tenant.id; }));
      } else if (share) {
        found->quota_per_s = *share;
      }
    }
  }

  // Writes the settings that a running pool can't change to pool.definition. The static hosts are left out,
  // as a running pool takes over new ones.
  static void SetDefinition(Pool& pool) {
    std::ostringstream out;
    out.precision(17);
    const Settings& settings = pool.settings;
    for (const ClassSettings& c : settings.classes) {
      out << "class " << c.name << ' ' << c.aim << ' ' << c.deadline << ' ' << c.worth << ' ' << c.late_worth
          << ' ' << static_cast<int>(c.effect) << static_cast<int>(c.group) << ' ' << c.repeat_window << '\n';
    }
    for (const TenantSettings& t : settings.tenants)
      out << "tenant " << t.name << ' ' << t.quota_per_s << '\n';
    out << "module " << settings.zone << '|' << settings.gateways << ' ' << settings.index << ' '
        << settings.max_attempts << ' ' << settings.max_in_flight << ' ' << settings.cold_capacity_fraction
        << ' ' << settings.warm_up_time << ' ' << settings.overload_multiple << ' '
        << settings.clients_mark_retries << '\n';
    for (const std::string& field : settings.load_report_fields) out << "report " << field << '\n';
    out << "gate " << pool.limits.requests_per_s << ' ' << pool.limits.burst << ' ' << pool.limits.max_active
        << ' ' << pool.refusal_reads_per_s << '\n';
    for (const BudgetShare* const p : {&pool.descriptors, &pool.clients, &pool.body_memory}) {
      out << "portion " << p->guaranteed << ' ' << p->max << '\n';
    }
    out << "bodies " << pool.max_request_bytes << ' ' << pool.max_response_bytes << '\n';
    out << "times " << pool.dial_timeout << ' ' << pool.idle_timeout << '\n';
    out << "answers " << static_cast<int>(pool.response_rules) << '\n';
    const Membership& membership = pool.membership;
    out << "source " << static_cast<int>(membership.source) << ' ' << membership.file << ' '
        << membership.discovery << '\n';
    pool.definition = out.str();
  }

  // Normalizes "name" or "*.name". Nothing if the text is neither, or has a port.
  std::optional<std::string> ParseHostPattern(std::string text) {
    const bool is_suffix = text.starts_with("*.");
    std::string error;
    const auto authority = routing::ParseAuthority(is_suffix ? text.substr(2) : text, error);
    if (!authority || authority->host.empty() || authority->port ||
        authority->host.find('*') != std::string::npos || (is_suffix && authority->host[0] == '[')) {
      return std::nullopt;
    }
    return (is_suffix ? "*." : "") + authority->host;
  }

  void ReadPaths(TableReader& reader, const char* key, bool is_prefix, routing::Route& match) {
    for (const std::string& text : reader.Strings(key)) {
      std::string error;
      auto path = routing::NormalizePath(text, error);
      if (!path) {
        reader.AddInvalid(key, "a path (" + error + ")");
        continue;
      }
      if (is_prefix && path->ends_with('/'))
        path->pop_back();  // "/a/" and "/a" are the same prefix; "/" matches all
      match.paths.push_back({is_prefix, std::move(*path)});
    }
  }

  void ReadRoute(TableReader& reader) {
    RouteRule rule;
    routing::Route& match = rule.match;
    match.id = ReadUniqueId(reader, "route", /*is_required=*/false);
    if (match.id.empty()) match.id = "route-" + std::to_string(services_.routes.size() + 1);
    for (std::string& text : reader.Strings("host")) {
      if (auto pattern = ParseHostPattern(text)) {
        match.hosts.push_back(std::move(*pattern));
      } else {
        reader.AddInvalid("host", "a host name without a port, or \"*.\" and a domain");
      }
    }
    ReadPaths(reader, "path", false, match);
    ReadPaths(reader, "prefix", true, match);
    match.methods = ReadMethods(reader);
    for (const toml::table* const table : reader.Tables("header")) {
      TableReader header_reader(*table, reader.PathOf("header"), issues_);
      routing::HeaderCondition condition;
      condition.name = header_reader.Required("name", header_reader.String("name"), "the name of a header");
      if (header_reader.Has("name") && !IsToken(condition.name))
        header_reader.AddInvalid("name", "the name of a header");
      if (auto value = header_reader.String("equals")) {
        condition.kind = routing::HeaderCondition::Kind::kEquals;
        condition.value = *value;
      }
      if (const auto present = header_reader.Flag("present")) {
        if (header_reader.Has("equals"))
          header_reader.AddIssue("present", "a header condition has either equals or present, not both");
        condition.kind =
            *present ? routing::HeaderCondition::Kind::kPresent : routing::HeaderCondition::Kind::kAbsent;
      }
      match.headers.push_back(std::move(condition));
    }
    match.listeners = reader.Strings("listener");
    for (const std::string& name : match.listeners) {
      const bool exists = std::any_of(services_.listeners.begin(), services_.listeners.end(),
                                      [&](const Listener& l) { return l.id == name; });
      if (!exists)
        reader.AddInvalid("listener",
                          FormatChoices(services_.listeners, [](const Listener& l) { return l.id; }));
    }
    match.classes = reader.Strings("stated_class");
    for (const std::string& name : match.classes) {
      if (ClassIndex(name) < 0) reader.AddInvalid("stated_class", ClassNames());
    }
    if (!match.classes.empty() && services_.headers.class_name.empty()) {
      reader.AddIssue("stated_class",
                      "clients can state a class only if request.class_header names the header for it");
    }
    ReadRouteTarget(reader, rule);
    route_locations_.push_back({reader.at(), reader.PathOf("")});
    services_.routes.push_back(std::move(rule));
  }

  // Reads the pool and the class that a route's requests get, and checks the route's methods against the
  // class.
  void ReadRouteTarget(TableReader& reader, RouteRule& rule) {
    const auto pool = reader.String("pool");
    const auto found = std::find_if(services_.pools.begin(), services_.pools.end(),
                                    [&](const Pool& p) { return pool && p.id == *pool; });
    if (!pool && !reader.Has("pool")) reader.AddMissing("pool", "the id of a pool");
    if (pool && found == services_.pools.end()) {
      reader.AddInvalid(
          "pool", "the id of a pool, " + FormatChoices(services_.pools, [](const Pool& p) { return p.id; }));
    }
    rule.pool =
        found == services_.pools.end() ? 0 : static_cast<std::size_t>(found - services_.pools.begin());
    const auto name = reader.String("class");
    if (name) {
      rule.class_index = ClassIndex(*name);
      if (rule.class_index < 0) reader.AddInvalid("class", "the id of a class, " + ClassNames());
    } else if (!reader.Has("class") && services_.headers.class_name.empty()) {
      reader.AddMissing(
          "class", "the id of a class, as there is no request.class_header by which clients could state it");
    }
    if (rule.class_index < 0 || rule.match.methods.empty()) return;
    const ServiceClass& service_class = services_.classes[static_cast<std::size_t>(rule.class_index)];
    for (const std::string& method : rule.match.methods) {
      const std::vector<std::string>& allowed = service_class.methods;
      if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), method) == allowed.end()) {
        reader.AddIssue("methods", "class " + Quote(service_class.settings.name) +
                                       " does not allow the method " + method +
                                       "; add it to the methods of the class if it should");
      }
    }
  }

  // Checks that the pools' guarantees leave enough of each budget to share.
  void CheckGuarantees(TableReader& top) {
    std::uint64_t descriptors = 0, clients = 0, memory = 0;
    for (const Pool& p : services_.pools) {
      descriptors += p.descriptors.guaranteed;
      clients += p.clients.guaranteed;
      memory += p.body_memory.guaranteed;
    }
    const auto check = [&](std::uint64_t sum, double fraction, double total, const char* what,
                           const char* of) {
      const auto max = static_cast<std::uint64_t>(fraction * total);
      if (sum <= max) return;
      top.AddIssue("pool", "the pools' guaranteed " + std::string(what) + " add up to " +
                               std::to_string(sum) + ", expected at most " + std::to_string(max) + ", " + of);
    };
    const auto descriptors_total = static_cast<double>(services_.descriptors);
    check(descriptors, kGuaranteedDescriptorsFraction, descriptors_total, "descriptors",
          "40% of process.descriptors");
    check(clients, kGuaranteedClientsFraction, descriptors_total, "clients", "half of process.descriptors");
    check(memory, kBodyMemoryFraction, static_cast<double>(services_.memory_bytes), "body_memory",
          "15% of process.memory");
  }

  // Compiles the route table and finds routes that no request can reach. This works on a file with other
  // issues too, as it doesn't depend on the routes' pools and classes.
  void CheckRoutes() {
    std::vector<routing::Route> routes;
    for (const RouteRule& rule : services_.routes) routes.push_back(rule.match);
    services_.route_table = routing::RouteTable(std::move(routes));
    for (std::size_t i = 0; i < services_.routes.size(); ++i) {
      const auto shadowing = services_.route_table.ShadowedBy(i);
      if (!shadowing) continue;
      issues_.Add(route_locations_[i].first, "route." + services_.routes[i].match.id,
                  "can't be reached: route " + Quote(services_.routes[*shadowing].match.id) + " in line " +
                      std::to_string(route_locations_[*shadowing].first.begin.line) +
                      " matches every request that it matches");
    }
  }

  Services& services_;
  Issues& issues_;
  const std::string folder_;
  int gateways_ = 1, index_ = -1;
  std::string zone_;
  std::map<std::string, unsigned> lines_by_id_;  // keys are kind and id, such as "pool baskets"
  std::map<std::string, std::string> node_ids_by_address_;
  std::vector<std::pair<toml::source_region, std::string>> route_locations_;  // position and path, by route
};

}  // namespace

int Strictness(Effect effect) { return effect == Effect::kSafe ? 0 : effect == Effect::kKeyed ? 1 : 2; }

std::string Issue::ToString() const {
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
  ServicesReader(*services, issues, folder).Read(parsed.table());
  if (issues.list.empty()) return {services, {}};
  std::stable_sort(issues.list.begin(), issues.list.end(), [](const Issue& a, const Issue& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  return {nullptr, std::move(issues.list)};
}

ParsedServices LoadServices(const std::string& path) {
  constexpr std::size_t kMaxFileBytes = 32 << 20;
  std::ifstream stream(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream.good() && !stream.eof()) return {nullptr, {{path, 0, 0, "", "can't be read"}}};
  if (text.size() > kMaxFileBytes) return {nullptr, {{path, 0, 0, "", "larger than 32 MiB"}}};
  const std::size_t slash = path.rfind('/');
  return ParseServices(text, path, slash == std::string::npos ? "" : path.substr(0, slash));
}

}  // namespace opalswitch::config
