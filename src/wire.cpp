#include "wire.hpp"

#include <charconv>
#include <cmath>
#include <exception>
#include <limits>
#include <utility>

namespace opalswitch::wire {
namespace {

using Fields = std::vector<std::string_view>;

// Splits `text` at each `separator` and replaces the contents of `fields`.
void SplitInto(std::string_view text, char separator, Fields& fields) {
  fields.clear();
  for (;;) {
    const std::size_t end = text.find(separator);
    fields.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

// Throws WireError, naming `what`, unless all of `text` is a finite number.
template <typename T>
T ParseNumber(std::string_view text, const char* what) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool is_valid = error == std::errc() && end == text.data() + text.size();
  if constexpr (std::is_floating_point_v<T>) is_valid = is_valid && std::isfinite(value);
  if (!is_valid) throw WireError(std::string(what) + " is not a number: '" + std::string(text) + "'");
  return value;
}

// Returns field `i`, or an empty string if it is absent: "-", or beyond the end of the line.
std::string_view OptionalField(const Fields& fields, std::size_t i) {
  return i < fields.size() && fields[i] != "-" ? fields[i] : std::string_view();
}

// Throws WireError, naming `what`, if the field is absent.
std::string_view RequiredField(const Fields& fields, std::size_t i, const char* what) {
  const std::string_view text = OptionalField(fields, i);
  if (text.empty()) throw WireError(std::string(fields[0]) + ": field missing: " + what);
  return text;
}

template <typename T>
T ParseNumberOr(const Fields& fields, std::size_t i, const char* what, T default_value) {
  const std::string_view text = OptionalField(fields, i);
  return text.empty() ? default_value : ParseNumber<T>(text, what);
}

bool ParseFlag(std::string_view text, const char* what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw WireError(std::string(what) + " is not a boolean: '" + std::string(text) + "'");
}

Result ParseResult(std::string_view code) {
  switch (ParseNumber<int>(code, "rc")) {
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

std::vector<double> ParseLoadReport(std::string_view text) {
  std::vector<double> load;
  if (text.empty()) return load;
  Fields values;
  SplitInto(text, ',', values);
  for (const auto value : values) {
    load.push_back(value == "-" ? std::numeric_limits<double>::quiet_NaN()
                                : ParseNumber<double>(value, "load report"));
  }
  return load;
}

Server ParseServer(const Fields& fields) {
  Server server;
  server.id = RequiredField(fields, 1, "host");
  server.zone = OptionalField(fields, 2);
  server.kind = OptionalField(fields, 3);
  server.cell = OptionalField(fields, 4);
  const std::string_view health = RequiredField(fields, 5, "health");
  if (health == "draining") {
    server.state = ServerState::kDraining;
  } else if (health == "removed") {
    server.state = ServerState::kGone;
  } else if (health != "up") {
    throw WireError("unknown health '" + std::string(health) + "'");
  }
  server.weight = ParseNumberOr(fields, 6, "weight", 1.0);
  server.started_at = ParseNumberOr(fields, 7, "sinceMs", 0.0);
  return server;
}

void AppendNumber(std::string& out, double value) {
  char buffer[32];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3);
  out.append(buffer, end.ptr);
}

// Returns the item of a class or tenant list that a key like "categories.2.sloMs" refers to. Extends the list
// if necessary.
template <typename T>
T* ListItem(std::vector<T>& items, std::string_view index) {
  constexpr std::size_t kMaxItems = 10000;  // bounds the memory that an invalid index allocates
  const auto i = ParseNumber<std::size_t>(index, "list index");
  if (i >= kMaxItems)
    throw WireError("list index " + std::string(index) + " is above " + std::to_string(kMaxItems - 1));
  if (i >= items.size()) items.resize(i + 1);
  return &items[i];
}

void ParseClass(ClassSettings& class_settings, std::string_view field, std::string_view value) {
  if (field == "name") {
    class_settings.name = value;
  } else if (field == "sloMs") {
    class_settings.aim = ParseNumber<double>(value, "sloMs");
  } else if (field == "deadlineMs") {
    class_settings.deadline = ParseNumber<double>(value, "deadlineMs");
  } else if (field == "importance") {
    class_settings.worth = ParseNumber<double>(value, "importance");
  } else if (field == "lateWorth") {
    class_settings.late_worth = ParseNumber<double>(value, "lateWorth");
  } else if (field == "repeatWindowMs") {
    class_settings.repeat_window = ParseNumber<double>(value, "repeatWindowMs");
  } else if (field == "idempotency") {
    if (value != "pure" && value != "token" && value != "side_effect") {
      throw std::invalid_argument("classes.effect: unknown '" + std::string(value) + "'");
    }
    class_settings.effect = value == "pure"    ? Effect::kSafe
                            : value == "token" ? Effect::kKeyed
                                               : Effect::kUnsafe;
  } else if (field == "group") {
    if (value != "all" && value != "zone" && value != "cell") {
      throw std::invalid_argument("classes.group: unknown '" + std::string(value) + "'");
    }
    class_settings.group = value == "all"    ? DeduplicationScope::kAll
                           : value == "zone" ? DeduplicationScope::kZone
                                             : DeduplicationScope::kCell;
  }
}

void ParseTenant(TenantSettings& tenant, std::string_view field, std::string_view value) {
  if (field == "name") {
    tenant.name = value;
  } else if (field == "quotaPerS") {
    tenant.quota_per_s = ParseNumber<double>(value, "quotaPerS");
  }
}

void ParseSetting(Settings& settings, const Fields& path, std::string_view key, std::string_view value) {
  const auto number = [&] { return ParseNumber<double>(value, std::string(key).c_str()); };
  const auto flag = [&] { return ParseFlag(value, std::string(key).c_str()); };
  if (path.size() == 3 && path[0] == "categories") {
    ParseClass(*ListItem(settings.classes, path[1]), path[2], value);
  } else if (path.size() == 3 && path[0] == "projects") {
    ParseTenant(*ListItem(settings.tenants, path[1]), path[2], value);
  } else if (key == "zone") {
    settings.zone = value;
  } else if (key == "peersTotal") {
    settings.gateways = static_cast<int>(number());
  } else if (key == "selfIndex") {
    settings.index = static_cast<int>(number());
  } else if (key == "membershipMode") {
    settings.requires_watch = value == "ask";
  } else if (key == "limits.maxAttempts") {
    settings.max_attempts = static_cast<int>(number());
  } else if (key == "limits.multiplex") {
    settings.streams_per_connection = static_cast<int>(number());
  } else if (key == "limits.cancelling") {
    settings.can_cancel = flag();
  } else if (key == "clientHabits.marksRetry") {
    settings.clients_mark_retries = flag();
  } else if (key == "limits.retryAfter") {
    settings.sends_retry_after = flag();
  } else if (key == "limits.maxRetryAfterMs") {
    settings.max_retry_after = number();
  } else if (key == "rules.askWithinMs") {
    settings.max_watch_interval = number();
  } else if (key == "rules.coldFrom") {
    settings.cold_capacity_fraction = number();
  } else if (key == "rules.coldMs") {
    settings.warm_up_time = number();
  } else if (key == "rules.fallMultiple") {
    settings.overload_multiple = number();
  } else if (key == "scoreParts.whole") {
    settings.total_worth_weight = number();
  } else if (key == "scoreParts.worstClass") {
    settings.worst_class_weight = number();
  } else if (key == "familyInfo.warmKeys") {
    settings.has_key_affinity = flag();
  } else if (key == "report.fields") {
    Fields names;
    SplitInto(value, ',', names);
    for (const auto field : names) {
      if (!field.empty() && field != "-") settings.load_report_fields.emplace_back(field);
    }
  }
}

}  // namespace

Settings ParseSettings(const Fields& pairs) {
  Settings settings;
  Fields path;
  for (const auto pair : pairs) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw WireError("setting without '=': '" + std::string(pair) + "'");
    }
    const std::string_view key = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    if (value.empty() || value == "-") continue;
    SplitInto(key, '.', path);
    if (path.back() == "count") continue;
    ParseSetting(settings, path, key, value);
  }
  return settings;
}

void SimulatorAdapter::HandleLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  SplitInto(line, ' ', fields_);
  const std::string_view keyword = fields_[0];
  if (entries_remaining_ > 0 && keyword != "ENTRY") {
    throw WireError("ENTRY lines missing before '" + std::string(keyword) + "'");
  }
  if (keyword == "TURN") {
    if (in_batch_) throw WireError("TURN inside a batch");
    now_ = ParseNumber<double>(RequiredField(fields_, 1, "clock"), "clock");
    in_batch_ = true;
    target_instance_.reset();
  } else if (!in_batch_) {
    throw WireError("'" + std::string(keyword) + "' outside a batch");
  } else if (keyword == "EOF_BATCH") {
    in_batch_ = false;
    reply_instance_.reset();
    reply_ = std::move(batch_reply_);
    batch_reply_.clear();
    reply_ += "OK\n";
  } else if (keyword == "INSTANCE") {
    target_instance_ = ParseNumber<std::int64_t>(RequiredField(fields_, 1, "number"), "instance");
  } else if (keyword == "SNAPSHOT_ROWS") {
    current_list_ = ParseNumber<std::size_t>(RequiredField(fields_, 1, "list"), "list");
    if (current_list_ >= lists_.size()) throw WireError("list number above 15");
    lists_[current_list_].clear();
    entries_remaining_ = ParseNumber<std::size_t>(RequiredField(fields_, 2, "lines"), "lines");
  } else if (keyword == "ENTRY") {
    if (entries_remaining_ == 0) throw WireError("ENTRY outside a list");
    lists_[current_list_].push_back(ParseServer(fields_));
    --entries_remaining_;
  } else {
    HandleEvent(fields_);
  }
}

std::string SimulatorAdapter::TakeReply() { return std::exchange(reply_, {}); }

void SimulatorAdapter::CreateInstance(const Fields& fields) {
  const auto seed = ParseNumber<std::uint64_t>(RequiredField(fields, 1, "nonce64"), "nonce64");
  policies_.erase(*target_instance_);
  try {
    Policy policy(ParseSettings(Fields(fields.begin() + 2, fields.end())), seed);
    policies_.emplace(*target_instance_, std::move(policy));
  } catch (const std::invalid_argument& error) {
    throw WireError(std::string("settings that cannot work: ") + error.what());
  }
}

void SimulatorAdapter::HandleEvent(const Fields& fields) {
  const std::string_view keyword = fields[0];
  if (!target_instance_) throw WireError("'" + std::string(keyword) + "' before any INSTANCE");
  if (keyword == "CREATE") return CreateInstance(fields);
  if (!policies_.contains(*target_instance_))
    throw WireError("instance " + std::to_string(*target_instance_) + " does not exist");
  if (keyword == "KNOCK") {
    Request request;
    request.id = RequiredField(fields, 1, "ticket");
    request.class_name = RequiredField(fields, 2, "qos");
    request.tenant = OptionalField(fields, 3);
    request.key = OptionalField(fields, 4);
    request.time_left = ParseNumber<double>(RequiredField(fields, 5, "graceMs"), "graceMs");
    const auto opts = ParseNumberOr<unsigned>(fields, 7, "opts", 0);
    request.retry = (opts & 2) != 0;
    if ((opts & 1) != 0) request.cost = ParseNumberOr(fields, 6, "estimateMs", 0.0);
    DeliverEvent(request);
  } else if (keyword == "COMPLETED") {
    Outcome outcome;
    outcome.request = RequiredField(fields, 1, "ticket");
    outcome.attempt = ParseNumber<int>(RequiredField(fields, 2, "trial"), "trial");
    outcome.server = RequiredField(fields, 3, "host");
    outcome.result = ParseResult(RequiredField(fields, 4, "rc"));
    outcome.finished = ParseFlag(RequiredField(fields, 5, "ended"), "ended");
    outcome.latency = ParseNumberOr(fields, 6, "costTimeMs", 0.0);
    outcome.load = ParseLoadReport(OptionalField(fields, 7));
    DeliverEvent(outcome);
  } else if (keyword == "FIRED") {
    DeliverEvent(TimerDue{std::string(RequiredField(fields, 1, "keyBack"))});
  } else if (keyword == "EXPIRED") {
    DeliverEvent(ClientGone{std::string(RequiredField(fields, 1, "ticket"))});
  } else if (keyword == "REGISTRY") {
    const std::string_view kind = RequiredField(fields, 3, "kind");
    MembershipUpdate update;
    if (kind == "X") {
      update.kind = MembershipUpdate::Kind::kFailed;
    } else if (kind == "D" || kind == "F" || kind == "C") {
      const auto list = ParseNumber<std::size_t>(RequiredField(fields, 1, "list"), "list");
      if (list >= lists_.size()) throw WireError("list number above 15");
      update.kind = kind == "D" ? MembershipUpdate::Kind::kDelta : MembershipUpdate::Kind::kFull;
      update.servers = lists_[list];
    } else {
      throw WireError("unknown list kind '" + std::string(kind) + "'");
    }
    DeliverEvent(update);
  } else if (keyword == "FLOWING") {
    DeliverEvent(StreamStarted{std::string(RequiredField(fields, 1, "ticket")),
                               ParseNumber<int>(RequiredField(fields, 3, "trial"), "trial")});
  } else if (keyword == "ECHO") {
    // The module sends no such probes: validated and ignored.
    ParseResult(RequiredField(fields, 2, "rc"));
    ParseNumberOr(fields, 3, "costTimeMs", 0.0);
    ParseLoadReport(OptionalField(fields, 4));
  } else if (keyword == "CRASH_NOW") {
    policies_.erase(*target_instance_);
  } else if (keyword == "MESSAGE") {
    // Gateways do not communicate: validated and ignored.
    ParseNumber<std::int64_t>(RequiredField(fields, 1, "by"), "by");
  } else {
    throw WireError("unknown message '" + std::string(keyword) + "'");
  }
}

void SimulatorAdapter::DeliverEvent(const opalswitch::Event& event) {
  actions_.clear();
  std::optional<std::string> error_text;
  try {
    policies_.at(*target_instance_).Handle(now_, event, actions_);
  } catch (const std::exception& error) {
    actions_.clear();
    error_text = error.what();
  }
  if (actions_.empty() && !error_text) return;
  if (reply_instance_ != target_instance_)
    batch_reply_ += "CONTEXT " + std::to_string(*target_instance_) + "\n";
  reply_instance_ = target_instance_;
  for (const Action& action : actions_) AppendAction(action);
  if (error_text) batch_reply_ += "BAIL_OUT " + *error_text + "\n";
}

void SimulatorAdapter::AppendAction(const Action& action) {
  struct Printer {
    std::string& out;
    void operator()(const Send& a) {
      out += "PASS_ON " + a.request + ' ' + a.server + ' ';
      AppendNumber(out, a.timeout);
    }
    void operator()(const Refuse& a) {
      out += "PUSH_BACK " + a.request + ' ';
      AppendNumber(out, a.retry_after);
    }
    void operator()(const Fail& a) { out += "ERROR " + a.request; }
    void operator()(const Cancel& a) { out += "UNDO_SEND " + a.request + ' ' + std::to_string(a.attempt); }
    void operator()(const SetTimer& a) {
      out += "AFTER ";
      AppendNumber(out, a.delay);
      out += ' ' + a.name;
    }
    void operator()(const Watch&) { out += "LISTEN 1"; }
    void operator()(const Log& a) { out += "PRINT " + a.text; }
  };
  std::visit(Printer{batch_reply_}, action);
  batch_reply_ += '\n';
}

}  // namespace opalswitch::wire
