#include "xds/pool_decider.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "base/endpoint.hpp"

namespace opalswitch::xds {
namespace {

constexpr double kMaxSampleCredit = 20;  // samples that the reports on one host allow at once
constexpr int kMaxSamplesPerTick = 200;
constexpr Millis kMaxSampleLatencyMs = 5000;  // longer latencies are cut to it
constexpr Millis kProbeTimeoutMs = 5000;  // a probe without a report on its host ends as not sent after it
constexpr Millis kSampleDeadlineMs = 20000;
constexpr double kTypicalLatencySmoothingFactor = 0.05;
constexpr double kMeanWeight = 100;                 // mean weight of the endpoints that are not ejected
constexpr double kProbeWeightFraction = 0.01;       // of the pool's total weight, for a probed host
constexpr std::size_t kMinHostsPerEjectedHost = 2;  // at most one host in this many is ejected

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
  std::set<std::string> listed;
  for (const gateway::Host& host : list.hosts) {
    const std::string& id = host.server.id;
    listed.insert(id);
    if (host.server.state == ServerState::kGone) {
      RemoveHost(id);
      continue;
    }
    const auto [entry, added] = hosts_.try_emplace(id);
    HostRecord& record = entry->second;
    const bool is_new_process = added || host.server.started_at > record.host.server.started_at ||
                                host.address != record.host.address;
    if (!added && host.address != record.host.address) RemoveAddress(id, record);
    if (is_new_process) {  // earlier reports do not apply to it
      load_aggregator_.Forget(id);
      record = HostRecord();
      record.replaced_at = now;
    }
    record.host = host;
    // If two hosts have the same address, reports are matched to the one that is up: the other is draining or
    // gone.
    const auto [by_address, is_new] = by_address_.try_emplace(gateway::FormatEndpoint(host.address), id);
    if (!is_new && host.server.state == ServerState::kUp) by_address->second = id;
  }
  if (list.complete) {
    std::vector<std::string> removed;
    for (const auto& [id, record] : hosts_) {
      if (!listed.contains(id)) removed.push_back(id);
    }
    for (const std::string& id : removed) RemoveHost(id);
  }
  MembershipUpdate update;
  update.kind = list.complete ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kDelta;
  for (const gateway::Host& host : list.hosts) update.servers.push_back(host.server);
  std::vector<Action> actions;
  policy_.Handle(now, update, actions);
  ProcessActions(actions, now);
  has_changes_ = true;
}

void PoolDecider::RemoveAddress(const std::string& id, const HostRecord& record) {
  const auto by_address = by_address_.find(gateway::FormatEndpoint(record.host.address));
  if (by_address != by_address_.end() && by_address->second == id) by_address_.erase(by_address);
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
    std::string id = load.sub_zone;  // gRPC clients: each endpoint is a locality with the host id as sub-zone
    if (!load.address.empty()) {
      const auto found = by_address_.find(load.address);
      id = found == by_address_.end() ? std::string() : found->second;
    }
    const auto record = hosts_.find(id);
    if (record == hosts_.end()) {
      ++unmatched_reports_;
      continue;
    }
    // Skip a report that also covers the previous process.
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

void PoolDecider::ReportOutcome(const std::string& request, const std::string& host, Result result,
                                Millis latency, Millis now) {
  std::vector<Action> actions;
  policy_.Handle(now, Outcome{request, 0, host, result, true, latency, {}}, actions);
  has_changes_ = has_changes_ || result != Result::kNotSent;
  ProcessActions(actions, now);
}

void PoolDecider::ProcessActions(std::vector<Action>& actions, Millis now) {
  for (const Action& action : actions) {
    if (const auto* const send = std::get_if<Send>(&action)) HandleSend(*send, now);
    if (const auto* const log = std::get_if<Log>(&action)) {
      if (log->text.starts_with("server "))
        log_.push_back(log->text);  // its other lines concern the rate of samples
    }
    // Nothing to do for refusals (they end samples that were not sent) and timers (Tick replaces them).
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
  // Without any event, no host becomes ejected and no sample is due.
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
    // Only reports since the probing began count: earlier ones caused the ejection. One such report may serve
    // several samples, so that a recovered host returns quickly.
    const bool has_estimate = DrawOutcome(id, record, record.probing_since, now, result, latency);
    if (!has_estimate && now - record.probe_sent_at < kProbeTimeoutMs) continue;
    if (result == Result::kError) record.probing_since = -1;
    ReportOutcome(std::exchange(record.probe_request, ""), id, result, latency, now);
  }
  int samples = std::min<int>(kMaxSamplesPerTick, static_cast<int>(total_credit));
  if (samples == 0 && !ejected_.empty()) samples = 1;  // allows a probe in a pool without other traffic
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
  // At least half of a pool stays in use, whatever is reported. Beyond that, ejected hosts keep a small
  // weight, as their failures more likely have a common cause elsewhere.
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
