#include "xds/pool_decider.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "base/endpoint.hpp"

namespace opalswitch::xds {
namespace {

constexpr double kMaxSampleCredit = 20;       // samples that one host's reports are good for, at once
constexpr int kMaxSamplesPerTick = 200;       // of one tick
constexpr Millis kMaxSampleLatencyMs = 5000;  // a sample that takes longer ends then
constexpr Millis kProbeTimeoutMs = 5000;  // without a report on a host that is tried: the trial is given up
constexpr Millis kSampleDeadlineMs = 20000;              // that a sample's client would wait
constexpr double kTypicalLatencySmoothingFactor = 0.05;  // of a host's latency in the usual one
constexpr double kMeanWeight = 100;                      // the usual host's weight
constexpr double kProbeWeightFraction = 0.01;            // of the pool's weight, to a host on trial
constexpr std::size_t kMinHostsPerEjectedHost = 2;       // at the most one host in so many is left out

Settings SampleSettings(const Settings& pool) {
  Settings settings;
  ClassSettings sample;
  sample.name = "sample";
  sample.aim = kSampleDeadlineMs / 2;
  sample.deadline = kSampleDeadlineMs;
  sample.effect = Effect::kSafe;
  settings.classes = {sample};
  settings.max_attempts = 1;
  settings.cold_capacity_fraction = pool.cold_capacity_fraction;
  settings.warm_up_time = pool.warm_up_time;
  settings.overload_multiple = pool.overload_multiple;
  return settings;
}

}  // namespace

PoolDecider::PoolDecider(const Settings& settings, std::uint64_t seed)
    : policy_(SampleSettings(settings), seed) {}

void PoolDecider::UpdateMembership(const gateway::HostList& list, Millis now) {
  std::set<std::string> named;
  for (const gateway::Host& host : list.hosts) {
    const std::string& id = host.server.id;
    named.insert(id);
    if (host.server.state == ServerState::kGone) {
      RemoveHost(id);
      continue;
    }
    const auto [entry, added] = hosts_.try_emplace(id);
    HostRecord& record = entry->second;
    const bool other = added || host.server.started_at > record.host.server.started_at ||
                       host.address != record.host.address;
    if (!added && host.address != record.host.address) RemoveAddress(id, record);
    if (other) {  // nothing that was said of another process holds for this one
      load_aggregator_.Forget(id);
      record = HostRecord();
      record.replaced_at = now;
    }
    record.host = host;
    // Of two at one address the one that is up counts: the other drains, or is gone.
    const auto [place, free] = by_address_.try_emplace(gateway::FormatEndpoint(host.address), id);
    if (!free && host.server.state == ServerState::kUp) place->second = id;
  }
  if (list.complete) {
    std::vector<std::string> left;
    for (const auto& [id, record] : hosts_) {
      if (!named.contains(id)) left.push_back(id);
    }
    for (const std::string& id : left) RemoveHost(id);
  }
  MembershipUpdate news;
  news.kind = list.complete ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kDelta;
  for (const gateway::Host& host : list.hosts) news.servers.push_back(host.server);
  std::vector<Action> actions;
  policy_.Handle(now, news, actions);
  ProcessActions(actions, now);
  has_changes_ = true;
}

void PoolDecider::RemoveAddress(const std::string& id, const HostRecord& record) {
  const auto place = by_address_.find(gateway::FormatEndpoint(record.host.address));
  if (place != by_address_.end() && place->second == id) by_address_.erase(place);
}

void PoolDecider::RemoveHost(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) return;
  RemoveAddress(id, found->second);
  hosts_.erase(found);
  load_aggregator_.Forget(id);
}

std::optional<ServerState> PoolDecider::FindState(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return std::nullopt;
  return found->second.host.server.state;
}

void PoolDecider::AddLoadReport(const std::string& proxy, const LoadReport& report, Millis now) {
  for (const EndpointLoad& load : report.endpoints) {
    std::string id = load.sub_zone;  // gRPC's clients: each endpoint is a locality, named by its id
    if (!load.address.empty()) {
      const auto found = by_address_.find(load.address);
      id = found == by_address_.end() ? std::string() : found->second;
    }
    const auto record = hosts_.find(id);
    if (record == hosts_.end()) {
      ++unmatched_reports_;
      continue;
    }
    // What was reported while another process stood there is not of this one.
    if (now - report.interval < record->second.replaced_at && record->second.replaced_at > 0 &&
        record->second.host.server.started_at > 0) {
      continue;
    }
    load_aggregator_.AddReport(id, proxy, load, report.interval, now);
    record->second.sample_credit =
        std::min(kMaxSampleCredit, record->second.sample_credit + load.served + load.failed);
    has_changes_ = true;
  }
}

bool PoolDecider::DrawOutcome(const std::string& host, HostRecord& record, Millis since, Millis now,
                              Result& result, Millis& latency) {
  const auto estimate = load_aggregator_.Estimate(host, since, now);
  if (!estimate) return false;
  record.failure_remainder += estimate->failure_fraction;
  result = record.failure_remainder >= 1 ? Result::kError : Result::kServed;
  if (result == Result::kError) record.failure_remainder -= 1;
  if (estimate->latency > 0)
    typical_latency_ += kTypicalLatencySmoothingFactor * (estimate->latency - typical_latency_);
  latency =
      std::clamp(estimate->latency > 0 ? estimate->latency : typical_latency_, 0.1, kMaxSampleLatencyMs);
  return true;
}

void PoolDecider::HandleSend(const Send& send, Millis now) {
  const auto found = hosts_.find(send.server);
  if (found == hosts_.end()) return ReportOutcome(send.request, send.server, Result::kNotSent, 0, now);
  HostRecord& record = found->second;
  Result result = Result::kNotSent;
  Millis latency = 0;
  if (ejected_.contains(send.server)) {
    if (record.probe_request.empty()) {
      if (record.probing_since < 0) record.probing_since = now;
      record.probe_sent_at = now;
      record.probe_request = send.request;
      return;
    }
  } else if (record.sample_credit >= 1 && DrawOutcome(send.server, record, 0, now, result, latency)) {
    record.sample_credit -= 1;
    scheduled_outcomes_.push({now + latency, send.request, send.server, result, latency});
    return;
  }
  ReportOutcome(send.request, send.server, Result::kNotSent, 0, now);
}

void PoolDecider::ReportOutcome(const std::string& sample, const std::string& host, Result result,
                                Millis latency, Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, Outcome{sample, 0, host, result, true, latency, {}}, actions);
  has_changes_ = has_changes_ || result != Result::kNotSent;
  ProcessActions(actions, now);
}

void PoolDecider::ProcessActions(std::vector<Action>& actions, Millis now) {
  for (const Action& action : actions) {
    if (const auto* const send = std::get_if<Send>(&action)) HandleSend(*send, now);
    if (const auto* const log = std::get_if<Log>(&action)) {
      if (log->text.starts_with("server ")) log_.push_back(log->text);  // its rate is of samples: no news
    }
    // Refusals end samples that were not sent, timers are the caller's ticks.
  }
}

void PoolDecider::SubmitSample(Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now,
                 Request{"s" + std::to_string(++sample_count_), "sample", "", "", kSampleDeadlineMs, false},
                 actions);
  ProcessActions(actions, now);
}

void PoolDecider::Tick(Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, TimerDue{"sweep"}, actions);
  ProcessActions(actions, now);
  while (!scheduled_outcomes_.empty() && scheduled_outcomes_.top().at <= now) {
    const ScheduledOutcome scheduled = scheduled_outcomes_.top();
    scheduled_outcomes_.pop();
    ReportOutcome(scheduled.request, scheduled.host, scheduled.result, scheduled.latency, now);
  }
  // Without news, reports or answers nobody becomes a suspect, and nothing is owed.
  if (!std::exchange(has_changes_, false) && ejected_.empty()) return;
  ejected_.clear();
  for (const ServerStatus& status : policy_.ServerStatuses()) {
    if (status.ejected) ejected_.insert(status.server);
  }
  double total_credit = 0;
  for (auto& [id, record] : hosts_) {
    if (!ejected_.contains(id)) {
      record.probing_since = -1;
      total_credit += std::floor(record.sample_credit);
      continue;
    }
    record.sample_credit = 0;
    if (record.probe_request.empty()) continue;
    Result result = Result::kNotSent;
    Millis latency = 0;
    // What was said before it was tried is what it was left out for. What is said since is good for many
    // samples: a host that is well again is soon back.
    const bool has_estimate = DrawOutcome(id, record, record.probing_since, now, result, latency);
    if (!has_estimate && now - record.probe_sent_at < kProbeTimeoutMs) continue;
    if (result == Result::kError) record.probing_since = -1;
    ReportOutcome(std::exchange(record.probe_request, ""), id, result, latency, now);
  }
  int samples = std::min<int>(kMaxSamplesPerTick, static_cast<int>(total_credit));
  if (samples == 0 && !ejected_.empty()) samples = 1;  // so that a trial comes about without other traffic
  for (int i = 0; i < samples; ++i) SubmitSample(now);
  has_changes_ = has_changes_ || total_credit >= 1;
}

std::vector<EndpointAssignment> PoolDecider::Endpoints() const {
  std::map<std::string, ServerStatus> statuses;
  double total_weight = 0;
  std::size_t candidates = 0, ejected = 0;
  for (const ServerStatus& status : policy_.ServerStatuses()) {
    ++candidates;
    ejected += status.ejected;
    if (!status.ejected) total_weight += status.weight;
    statuses[status.server] = status;
  }
  const double mean =
      candidates > ejected && total_weight > 0 ? total_weight / static_cast<double>(candidates - ejected) : 1;
  // Whatever proxies say, half of a pool stays: beyond that the suspects are left in with a small share, for
  // their failures are more likely to be somebody else's.
  const bool too_many_ejected = ejected * kMinHostsPerEjectedHost > candidates;
  const double probe_weight =
      std::max(1.0, kProbeWeightFraction * kMeanWeight * static_cast<double>(candidates));
  std::vector<EndpointAssignment> endpoints;
  for (const auto& [id, record] : hosts_) {
    EndpointAssignment endpoint;
    endpoint.id = id;
    endpoint.zone = record.host.server.zone;
    endpoint.address = record.host.address.address().to_string();
    endpoint.port = record.host.address.port();
    const auto found = statuses.find(id);
    if (record.host.server.state == ServerState::kDraining || found == statuses.end()) {
      endpoint.health = EndpointHealth::kDraining;
      endpoint.weight = 1;
    } else if (found->second.ejected) {
      endpoint.health =
          too_many_ejected || record.probing_since >= 0 ? EndpointHealth::kHealthy : EndpointHealth::kEjected;
      endpoint.weight = static_cast<std::uint32_t>(std::lround(probe_weight));
    } else {
      endpoint.weight = static_cast<std::uint32_t>(
          std::clamp(kMeanWeight * found->second.weight / mean, 1.0, 1000 * kMeanWeight));
    }
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

std::vector<PoolDecider::HostStatus> PoolDecider::Status(Millis now) const {
  std::vector<HostStatus> statuses;
  for (const EndpointAssignment& endpoint : Endpoints()) {
    const HostRecord& record = hosts_.at(endpoint.id);
    const auto estimate = load_aggregator_.Estimate(endpoint.id, 0, now);
    statuses.push_back({endpoint.id, gateway::FormatEndpoint(record.host.address), endpoint.health,
                        endpoint.weight, record.probing_since >= 0, estimate ? estimate->failure_fraction : 0,
                        estimate ? estimate->reporter_count : 0});
  }
  return statuses;
}

}  // namespace opalswitch::xds
