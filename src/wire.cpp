#include "wire.hpp"

#include <charconv>
#include <cmath>
#include <exception>
#include <limits>
#include <utility>

namespace opalswitch::wire {
namespace {

using Parts = std::vector<std::string_view>;

void Split(std::string_view text, char mark, Parts& parts) {
  parts.clear();
  for (;;) {
    const std::size_t end = text.find(mark);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

template <typename T>
T Number(std::string_view text, const char* what) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool good = error == std::errc() && end == text.data() + text.size();
  if constexpr (std::is_floating_point_v<T>) good = good && std::isfinite(value);
  if (!good) throw WireError(std::string(what) + " is not a number: '" + std::string(text) + "'");
  return value;
}

// The value at `i`, or empty where it is absent ("-") or left off the end of the line.
std::string_view Optional(const Parts& parts, std::size_t i) {
  return i < parts.size() && parts[i] != "-" ? parts[i] : std::string_view();
}

std::string_view Need(const Parts& parts, std::size_t i, const char* what) {
  const std::string_view text = Optional(parts, i);
  if (text.empty()) throw WireError(std::string(parts[0]) + " lacks its " + what);
  return text;
}

template <typename T>
T NumberOr(const Parts& parts, std::size_t i, const char* what, T otherwise) {
  const std::string_view text = Optional(parts, i);
  return text.empty() ? otherwise : Number<T>(text, what);
}

bool Flag(std::string_view text, const char* what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw WireError(std::string(what) + " is not a flag: '" + std::string(text) + "'");
}

Result ToResult(std::string_view code) {
  switch (Number<int>(code, "rc")) {
    case 10: return Result::kServed;
    case 20: return Result::kError;
    case 30: return Result::kRejected;
    case 40: return Result::kTimedOut;
    case 50: return Result::kConnectFailed;
    case 60: return Result::kReset;
    case 70: return Result::kCancelled;
    case 80: return Result::kNotSent;
    default: throw WireError("unknown rc " + std::string(code));
  }
}

std::vector<double> ToLoad(std::string_view text) {
  std::vector<double> load;
  if (text.empty()) return load;
  Parts values;
  Split(text, ',', values);
  for (const auto value : values) {
    load.push_back(value == "-" ? std::numeric_limits<double>::quiet_NaN()
                                : Number<double>(value, "load report"));
  }
  return load;
}

Server ToServer(const Parts& parts) {
  Server server;
  server.id = Need(parts, 1, "host");
  server.zone = Optional(parts, 2);
  server.kind = Optional(parts, 3);
  server.cell = Optional(parts, 4);
  const std::string_view health = Need(parts, 5, "health");
  if (health == "draining") {
    server.state = ServerState::kDraining;
  } else if (health == "removed") {
    server.state = ServerState::kGone;
  } else if (health != "up") {
    throw WireError("unknown health '" + std::string(health) + "'");
  }
  server.weight = NumberOr(parts, 6, "weight", 1.0);
  server.started_at = NumberOr(parts, 7, "sinceMs", 0.0);
  return server;
}

void Append(std::string& out, double value) {
  char buffer[32];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3);
  out.append(buffer, end.ptr);
}

// A class or tenant list arrives as "categories.2.sloMs": grows the list as its items come.
template <typename T>
T* Item(std::vector<T>& items, std::string_view index) {
  constexpr std::size_t kMostItems = 10000;  // a wild index must not eat the memory
  const auto i = Number<std::size_t>(index, "list index");
  if (i >= kMostItems) throw WireError("list index too large: " + std::string(index));
  if (i >= items.size()) items.resize(i + 1);
  return &items[i];
}

void ParseClass(ClassSettings& c, std::string_view field, std::string_view value) {
  if (field == "name") {
    c.name = value;
  } else if (field == "sloMs") {
    c.aim = Number<double>(value, "sloMs");
  } else if (field == "deadlineMs") {
    c.deadline = Number<double>(value, "deadlineMs");
  } else if (field == "importance") {
    c.worth = Number<double>(value, "importance");
  } else if (field == "lateWorth") {
    c.late_worth = Number<double>(value, "lateWorth");
  } else if (field == "repeatWindowMs") {
    c.repeat_window = Number<double>(value, "repeatWindowMs");
  } else if (field == "idempotency") {
    if (value != "pure" && value != "token" && value != "side_effect") {
      throw std::invalid_argument("classes.effect: unknown '" + std::string(value) + "'");
    }
    c.effect = value == "pure" ? Effect::kSafe : value == "token" ? Effect::kKeyed : Effect::kUnsafe;
  } else if (field == "group") {
    if (value != "all" && value != "zone" && value != "cell") {
      throw std::invalid_argument("classes.group: unknown '" + std::string(value) + "'");
    }
    c.group = value == "all"    ? DeduplicationScope::kAll
              : value == "zone" ? DeduplicationScope::kZone
                                : DeduplicationScope::kCell;
  }
}

void ParseTenant(TenantSettings& t, std::string_view field, std::string_view value) {
  if (field == "name") {
    t.name = value;
  } else if (field == "quotaPerS") {
    t.quota_per_s = Number<double>(value, "quotaPerS");
  }
}

void ParseSetting(Settings& s, const Parts& path, std::string_view key, std::string_view value) {
  const auto number = [&] { return Number<double>(value, std::string(key).c_str()); };
  const auto flag = [&] { return Flag(value, std::string(key).c_str()); };
  if (path.size() == 3 && path[0] == "categories") {
    ParseClass(*Item(s.classes, path[1]), path[2], value);
  } else if (path.size() == 3 && path[0] == "projects") {
    ParseTenant(*Item(s.tenants, path[1]), path[2], value);
  } else if (key == "zone") {
    s.zone = value;
  } else if (key == "peersTotal") {
    s.gateways = static_cast<int>(number());
  } else if (key == "selfIndex") {
    s.index = static_cast<int>(number());
  } else if (key == "membershipMode") {
    s.requires_watch = value == "ask";
  } else if (key == "limits.maxAttempts") {
    s.max_attempts = static_cast<int>(number());
  } else if (key == "limits.multiplex") {
    s.streams_per_connection = static_cast<int>(number());
  } else if (key == "limits.cancelling") {
    s.can_cancel = flag();
  } else if (key == "clientHabits.marksRetry") {
    s.clients_mark_retries = flag();
  } else if (key == "limits.retryAfter") {
    s.sends_retry_after = flag();
  } else if (key == "limits.maxRetryAfterMs") {
    s.max_retry_after = number();
  } else if (key == "rules.askWithinMs") {
    s.max_watch_interval = number();
  } else if (key == "rules.coldFrom") {
    s.cold_capacity_fraction = number();
  } else if (key == "rules.coldMs") {
    s.warm_up_time = number();
  } else if (key == "rules.fallMultiple") {
    s.overload_multiple = number();
  } else if (key == "scoreParts.whole") {
    s.total_worth_weight = number();
  } else if (key == "scoreParts.worstClass") {
    s.worst_class_weight = number();
  } else if (key == "familyInfo.warmKeys") {
    s.has_key_affinity = flag();
  } else if (key == "report.fields") {
    Parts fields;
    Split(value, ',', fields);
    for (const auto field : fields) {
      if (!field.empty() && field != "-") s.load_report_fields.emplace_back(field);
    }
  }
}

}  // namespace

Settings ParseSettings(const Parts& pairs) {
  Settings settings;
  Parts path;
  for (const auto pair : pairs) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw WireError("setting without '=': '" + std::string(pair) + "'");
    }
    const std::string_view key = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    if (value.empty() || value == "-") continue;
    Split(key, '.', path);
    if (path.back() == "count") continue;
    ParseSetting(settings, path, key, value);
  }
  return settings;
}

void Host::Line(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  Split(line, ' ', parts_);
  const std::string_view word = parts_[0];
  if (entries_due_ > 0 && word != "ENTRY") {
    throw WireError("ENTRY lines missing before '" + std::string(word) + "'");
  }
  if (word == "TURN") {
    if (in_batch_) throw WireError("TURN inside a batch");
    now_ = Number<double>(Need(parts_, 1, "clock"), "clock");
    in_batch_ = true;
    at_.reset();
  } else if (!in_batch_) {
    throw WireError("'" + std::string(word) + "' outside a batch");
  } else if (word == "EOF_BATCH") {
    in_batch_ = false;
    context_.reset();
    reply_ = std::move(body_);
    body_.clear();
    reply_ += "OK\n";
  } else if (word == "INSTANCE") {
    at_ = Number<std::int64_t>(Need(parts_, 1, "number"), "instance");
  } else if (word == "SNAPSHOT_ROWS") {
    open_list_ = Number<std::size_t>(Need(parts_, 1, "list"), "list");
    if (open_list_ >= lists_.size()) throw WireError("list number above 15");
    lists_[open_list_].clear();
    entries_due_ = Number<std::size_t>(Need(parts_, 2, "lines"), "lines");
  } else if (word == "ENTRY") {
    if (entries_due_ == 0) throw WireError("ENTRY outside a list");
    lists_[open_list_].push_back(ToServer(parts_));
    --entries_due_;
  } else {
    Event(parts_);
  }
}

std::string Host::TakeReply() { return std::exchange(reply_, {}); }

void Host::Create(const Parts& parts) {
  const auto seed = Number<std::uint64_t>(Need(parts, 1, "nonce64"), "nonce64");
  policies_.erase(*at_);
  try {
    Policy policy(ParseSettings(Parts(parts.begin() + 2, parts.end())), seed);
    policies_.emplace(*at_, std::move(policy));
  } catch (const std::invalid_argument& error) {
    throw WireError(std::string("settings that cannot work: ") + error.what());
  }
}

void Host::Event(const Parts& parts) {
  const std::string_view word = parts[0];
  if (!at_) throw WireError("'" + std::string(word) + "' before any INSTANCE");
  if (word == "CREATE") return Create(parts);
  if (!policies_.contains(*at_)) throw WireError("instance " + std::to_string(*at_) + " does not exist");
  if (word == "KNOCK") {
    Request request;
    request.id = Need(parts, 1, "ticket");
    request.class_name = Need(parts, 2, "qos");
    request.tenant = Optional(parts, 3);
    request.key = Optional(parts, 4);
    request.time_left = Number<double>(Need(parts, 5, "graceMs"), "graceMs");
    const auto opts = NumberOr<unsigned>(parts, 7, "opts", 0);
    request.retry = (opts & 2) != 0;
    if ((opts & 1) != 0) request.cost = NumberOr(parts, 6, "estimateMs", 0.0);
    Deliver(request);
  } else if (word == "COMPLETED") {
    Outcome outcome;
    outcome.request = Need(parts, 1, "ticket");
    outcome.attempt = Number<int>(Need(parts, 2, "trial"), "trial");
    outcome.server = Need(parts, 3, "host");
    outcome.result = ToResult(Need(parts, 4, "rc"));
    outcome.finished = Flag(Need(parts, 5, "ended"), "ended");
    outcome.latency = NumberOr(parts, 6, "costTimeMs", 0.0);
    outcome.load = ToLoad(Optional(parts, 7));
    Deliver(outcome);
  } else if (word == "FIRED") {
    Deliver(TimerDue{std::string(Need(parts, 1, "keyBack"))});
  } else if (word == "EXPIRED") {
    Deliver(ClientGone{std::string(Need(parts, 1, "ticket"))});
  } else if (word == "REGISTRY") {
    const std::string_view kind = Need(parts, 3, "kind");
    MembershipUpdate news;
    if (kind == "X") {
      news.kind = MembershipUpdate::Kind::kFailed;
    } else if (kind == "D" || kind == "F" || kind == "C") {
      const auto list = Number<std::size_t>(Need(parts, 1, "list"), "list");
      if (list >= lists_.size()) throw WireError("list number above 15");
      news.kind = kind == "D" ? MembershipUpdate::Kind::kDelta : MembershipUpdate::Kind::kFull;
      news.servers = lists_[list];
    } else {
      throw WireError("unknown list kind '" + std::string(kind) + "'");
    }
    Deliver(news);
  } else if (word == "FLOWING") {
    Deliver(
        StreamStarted{std::string(Need(parts, 1, "ticket")), Number<int>(Need(parts, 3, "trial"), "trial")});
  } else if (word == "ECHO") {
    ToResult(Need(parts, 2, "rc"));  // the module never probes: checked and dropped
    NumberOr(parts, 3, "costTimeMs", 0.0);
    ToLoad(Optional(parts, 4));
  } else if (word == "CRASH_NOW") {
    policies_.erase(*at_);
  } else if (word == "MESSAGE") {
    Number<std::int64_t>(Need(parts, 1, "by"), "by");  // gateways share nothing: checked and dropped
  } else {
    throw WireError("unknown message '" + std::string(word) + "'");
  }
}

void Host::Deliver(const opalswitch::Event& event) {
  actions_.clear();
  std::optional<std::string> fault;
  try {
    policies_.at(*at_).Handle(now_, event, actions_);
  } catch (const std::exception& error) {
    actions_.clear();
    fault = error.what();
  }
  if (actions_.empty() && !fault) return;
  if (context_ != at_) body_ += "CONTEXT " + std::to_string(*at_) + "\n";
  context_ = at_;
  for (const Action& action : actions_) Print(action);
  if (fault) body_ += "BAIL_OUT " + *fault + "\n";
}

void Host::Print(const Action& action) {
  struct Printer {
    std::string& out;
    void operator()(const Send& a) {
      out += "PASS_ON " + a.request + ' ' + a.server + ' ';
      Append(out, a.timeout);
    }
    void operator()(const Refuse& a) {
      out += "PUSH_BACK " + a.request + ' ';
      Append(out, a.retry_after);
    }
    void operator()(const Fail& a) { out += "ERROR " + a.request; }
    void operator()(const Cancel& a) { out += "UNDO_SEND " + a.request + ' ' + std::to_string(a.attempt); }
    void operator()(const SetTimer& a) {
      out += "AFTER ";
      Append(out, a.delay);
      out += ' ' + a.name;
    }
    void operator()(const Watch&) { out += "LISTEN 1"; }
    void operator()(const Log& a) { out += "PRINT " + a.text; }
  };
  std::visit(Printer{body_}, action);
  body_ += '\n';
}

}  // namespace opalswitch::wire
