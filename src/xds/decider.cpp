#include "xds/decider.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "base/endpoint.hpp"

namespace opalswitch::xds {
namespace {

constexpr double kMostOwed = 20;       // samples that one host's reports are good for, at once
constexpr int kMostSamples = 200;      // of one tick
constexpr Millis kMostLatency = 5000;  // a sample that takes longer ends then
constexpr Millis kTrialFor = 5000;     // without a report on a host that is tried: the trial is given up
constexpr Millis kSampleTime = 20000;  // that a sample's client would wait
constexpr double kUsualWeight = 0.05;  // of a host's latency in the usual one
constexpr double kMean = 100;          // the usual host's weight
constexpr double kTrialPart = 0.01;    // of the pool's weight, to a host on trial
constexpr std::size_t kMostOut = 2;    // at the most one host in so many is left out

Settings ForSamples(const Settings& pool) {
  Settings settings;
  ClassSettings sample;
  sample.name = "sample";
  sample.aim = kSampleTime / 2;
  sample.deadline = kSampleTime;
  sample.effect = Effect::kSafe;
  settings.classes = {sample};
  settings.max_attempts = 1;
  settings.cold_capacity_fraction = pool.cold_capacity_fraction;
  settings.warm_up_time = pool.warm_up_time;
  settings.overload_multiple = pool.overload_multiple;
  return settings;
}

}  // namespace

Decider::Decider(const Settings& settings, std::uint64_t seed) : policy_(ForSamples(settings), seed) {}

void Decider::Told(const gateway::HostList& list, Millis now) {
  std::set<std::string> named;
  for (const gateway::Host& host : list.hosts) {
    const std::string& id = host.server.id;
    named.insert(id);
    if (host.server.state == ServerState::kGone) {
      Drop(id);
      continue;
    }
    const auto [entry, added] = hosts_.try_emplace(id);
    Known& known = entry->second;
    const bool other =
        added || host.server.started_at > known.host.server.started_at || host.address != known.host.address;
    if (!added && host.address != known.host.address) Unplace(id, known);
    if (other) {  // nothing that was said of another process holds for this one
      evidence_.Forget(id);
      known = Known();
      known.replaced_at = now;
    }
    known.host = host;
    // Of two at one address the one that is up counts: the other drains, or is gone.
    const auto [place, free] = by_address_.try_emplace(gateway::FormatEndpoint(host.address), id);
    if (!free && host.server.state == ServerState::kUp) place->second = id;
  }
  if (list.complete) {
    std::vector<std::string> left;
    for (const auto& [id, known] : hosts_) {
      if (!named.contains(id)) left.push_back(id);
    }
    for (const std::string& id : left) Drop(id);
  }
  MembershipUpdate news;
  news.kind = list.complete ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kDelta;
  for (const gateway::Host& host : list.hosts) news.servers.push_back(host.server);
  std::vector<Action> actions;
  policy_.Handle(now, news, actions);
  Carry(actions, now);
  moved_ = true;
}

void Decider::Unplace(const std::string& id, const Known& known) {
  const auto place = by_address_.find(gateway::FormatEndpoint(known.host.address));
  if (place != by_address_.end() && place->second == id) by_address_.erase(place);
}

void Decider::Drop(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) return;
  Unplace(id, found->second);
  hosts_.erase(found);
  evidence_.Forget(id);
}

std::optional<ServerState> Decider::StateOf(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return std::nullopt;
  return found->second.host.server.state;
}

void Decider::Heard(const std::string& proxy, const LoadReport& report, Millis now) {
  for (const EndpointLoad& load : report.endpoints) {
    std::string id = load.sub_zone;  // gRPC's clients: each endpoint is a locality, named by its id
    if (!load.address.empty()) {
      const auto found = by_address_.find(load.address);
      id = found == by_address_.end() ? std::string() : found->second;
    }
    const auto known = hosts_.find(id);
    if (known == hosts_.end()) {
      ++unknown_;
      continue;
    }
    // What was reported while another process stood there is not of this one.
    if (now - report.interval < known->second.replaced_at && known->second.replaced_at > 0 &&
        known->second.host.server.started_at > 0) {
      continue;
    }
    evidence_.Heard(id, proxy, load, report.interval, now);
    known->second.owed = std::min(kMostOwed, known->second.owed + load.served + load.failed);
    moved_ = true;
  }
}

bool Decider::Draw(const std::string& host, Known& known, Millis since, Millis now, Result& result,
                   Millis& latency) {
  const auto word = evidence_.Of(host, since, now);
  if (!word) return false;
  known.failures += word->failing;
  result = known.failures >= 1 ? Result::kError : Result::kServed;
  if (result == Result::kError) known.failures -= 1;
  if (word->latency > 0) usual_ += kUsualWeight * (word->latency - usual_);
  latency = std::clamp(word->latency > 0 ? word->latency : usual_, 0.1, kMostLatency);
  return true;
}

void Decider::Sent(const Send& send, Millis now) {
  const auto found = hosts_.find(send.server);
  if (found == hosts_.end()) return End(send.request, send.server, Result::kNotSent, 0, now);
  Known& known = found->second;
  Result result = Result::kNotSent;
  Millis latency = 0;
  if (suspects_.contains(send.server)) {
    if (known.trial.empty()) {
      if (known.tried_since < 0) known.tried_since = now;
      known.trial_at = now;
      known.trial = send.request;
      return;
    }
  } else if (known.owed >= 1 && Draw(send.server, known, 0, now, result, latency)) {
    known.owed -= 1;
    endings_.push({now + latency, send.request, send.server, result, latency});
    return;
  }
  End(send.request, send.server, Result::kNotSent, 0, now);
}

void Decider::End(const std::string& sample, const std::string& host, Result result, Millis latency,
                  Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, Outcome{sample, 0, host, result, true, latency, {}}, actions);
  moved_ = moved_ || result != Result::kNotSent;
  Carry(actions, now);
}

void Decider::Carry(std::vector<Action>& actions, Millis now) {
  for (const Action& action : actions) {
    if (const auto* const send = std::get_if<Send>(&action)) Sent(*send, now);
    if (const auto* const log = std::get_if<Log>(&action)) {
      if (log->text.starts_with("server ")) log_.push_back(log->text);  // its rate is of samples: no news
    }
    // Refusals end samples that were not sent, timers are the caller's ticks.
  }
}

void Decider::Ask(Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, Request{"s" + std::to_string(++samples_), "sample", "", "", kSampleTime, false},
                 actions);
  Carry(actions, now);
}

void Decider::Tick(Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, TimerDue{"sweep"}, actions);
  Carry(actions, now);
  while (!endings_.empty() && endings_.top().at <= now) {
    const Ending ending = endings_.top();
    endings_.pop();
    End(ending.sample, ending.host, ending.result, ending.latency, now);
  }
  // Without news, reports or answers nobody becomes a suspect, and nothing is owed.
  if (!std::exchange(moved_, false) && suspects_.empty()) return;
  suspects_.clear();
  for (const ServerStatus& verdict : policy_.ServerStatuses()) {
    if (verdict.ejected) suspects_.insert(verdict.server);
  }
  double owed = 0;
  for (auto& [id, known] : hosts_) {
    if (!suspects_.contains(id)) {
      known.tried_since = -1;
      owed += std::floor(known.owed);
      continue;
    }
    known.owed = 0;
    if (known.trial.empty()) continue;
    Result result = Result::kNotSent;
    Millis latency = 0;
    // What was said before it was tried is what it was left out for. What is said since is good for many
    // samples: a host that is well again is soon back.
    const bool told = Draw(id, known, known.tried_since, now, result, latency);
    if (!told && now - known.trial_at < kTrialFor) continue;
    if (result == Result::kError) known.tried_since = -1;
    End(std::exchange(known.trial, ""), id, result, latency, now);
  }
  int asks = std::min<int>(kMostSamples, static_cast<int>(owed));
  if (asks == 0 && !suspects_.empty()) asks = 1;  // so that a trial comes about without other traffic
  for (int i = 0; i < asks; ++i) Ask(now);
  moved_ = moved_ || owed >= 1;
}

std::vector<Assigned> Decider::Endpoints() const {
  std::map<std::string, ServerStatus> verdicts;
  double all = 0;
  std::size_t up = 0, out = 0;
  for (const ServerStatus& verdict : policy_.ServerStatuses()) {
    ++up;
    out += verdict.ejected;
    if (!verdict.ejected) all += verdict.weight;
    verdicts[verdict.server] = verdict;
  }
  const double mean = up > out && all > 0 ? all / static_cast<double>(up - out) : 1;
  // Whatever proxies say, half of a pool stays: beyond that the suspects are left in with a small share, for
  // their failures are more likely to be somebody else's.
  const bool too_many = out * kMostOut > up;
  const double trial = std::max(1.0, kTrialPart * kMean * static_cast<double>(up));
  std::vector<Assigned> endpoints;
  for (const auto& [id, known] : hosts_) {
    Assigned to;
    to.id = id;
    to.zone = known.host.server.zone;
    to.address = known.host.address.address().to_string();
    to.port = known.host.address.port();
    const auto found = verdicts.find(id);
    if (known.host.server.state == ServerState::kDraining || found == verdicts.end()) {
      to.standing = Standing::kDraining;
      to.weight = 1;
    } else if (found->second.ejected) {
      to.standing = too_many || known.tried_since >= 0 ? Standing::kUp : Standing::kOut;
      to.weight = static_cast<std::uint32_t>(std::lround(trial));
    } else {
      to.weight =
          static_cast<std::uint32_t>(std::clamp(kMean * found->second.weight / mean, 1.0, 1000 * kMean));
    }
    endpoints.push_back(std::move(to));
  }
  return endpoints;
}

std::vector<Decider::HostStatus> Decider::Status(Millis now) const {
  std::vector<HostStatus> all;
  for (const Assigned& to : Endpoints()) {
    const Known& known = hosts_.at(to.id);
    const auto word = evidence_.Of(to.id, 0, now);
    all.push_back({to.id, gateway::FormatEndpoint(known.host.address), to.standing, to.weight,
                   known.tried_since >= 0, word ? word->failing : 0, word ? word->proxies : 0});
  }
  return all;
}

}  // namespace opalswitch::xds
