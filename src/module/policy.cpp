// Event dispatch, the periodic sweep and server statuses. The interface (settings, events and actions) is
// include/opalswitch/policy.hpp; the mechanisms are in the other files of this directory.
#include "module/impl.hpp"

namespace opalswitch {

// Interval of the periodic sweep.
constexpr Millis kSweepIntervalMs = 10;
// Minimum time between log lines.
constexpr Millis kLogIntervalMs = 200;
// A server's latency raises or lowers its weight in ServerStatus at most by this factor.
constexpr double kMaxLatencyWeightRatio = 4;

Policy::Impl::Impl(Settings settings, std::uint64_t seed) {
  settings_ = std::move(settings);
  random_.seed(seed);
  const double worth = ValidateSettings(settings_);
  const auto& report_fields = settings_.load_report_fields;
  // Multiples of the golden ratio spread the gateways evenly over the ring, whatever their number.
  ring_position_ = settings_.index < 0 ? Uniform() : std::fmod(settings_.index * 0.6180339887498949, 1.0);
  utilization_index_ = std::find(report_fields.begin(), report_fields.end(), "util") - report_fields.begin();
  for (const ClassSettings& class_settings : settings_.classes) {
    class_indices_[class_settings.name] = static_cast<int>(classes_.size());
    classes_.emplace_back().settings = class_settings;
    classes_.back().weight =
        worth > 0 ? class_settings.worth / worth : 1.0 / static_cast<double>(settings_.classes.size());
  }
  for (const TenantSettings& tenant : settings_.tenants) {
    tenants_[tenant.name].quota_per_ms = tenant.quota_per_s / settings_.gateways / 1000;
  }
}

void Policy::Impl::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  actions_ = &actions;
  AdvanceClock(now);
  const bool is_first_event = !std::exchange(started_, true);
  std::visit([this](const auto& value) { HandleEvent(value); }, event);
  if (is_first_event) {
    // A gateway that already has a server list delays its first Watch at random: many gateways may start at
    // the same time.
    if (settings_.requires_watch && servers_up_ > 0) next_watch_at_ = now_ + WatchSpread() * Uniform();
    last_sweep_at_ = now_;
    Sweep();
  }
  ReleaseQueuedRequests();
}

// The weights express the same preference for fast servers as SelectServer. They are clamped because proxies
// receive them only from time to time, and no server must be starved.
std::vector<ServerStatus> Policy::Impl::ServerStatuses() const {
  std::vector<double> latencies;
  for (const auto& [id, server] : servers_) {
    if (server.is_up && !server.is_ejected && server.latency_ewma > 0)
      latencies.push_back(server.latency_ewma);
  }
  const double median_latency = MedianOf(latencies);
  std::vector<ServerStatus> statuses;
  for (const auto& [id, server] : servers_) {
    if (!server.is_up) continue;
    const double relative_speed =
        server.latency_ewma > 0 && median_latency > 0 ? median_latency / server.latency_ewma : 1;
    statuses.push_back({id,
                        server.info.weight * CapacityFraction(server) *
                            std::clamp(relative_speed, 1 / kMaxLatencyWeightRatio, kMaxLatencyWeightRatio),
                        server.is_ejected});
  }
  return statuses;
}

void Policy::Impl::HandleEvent(const ClientGone& event) {
  ActiveRequest* const found = FindRequest(event.request);
  if (found == nullptr) return;
  ActiveRequest& request = *found;
  RemoveFromQueue(request);
  request.is_answered = true;
  for (std::size_t i = 0; settings_.can_cancel && i < request.attempts.size(); ++i) {
    if (request.attempts[i].in_flight) EmitAction(Cancel{request.id, static_cast<int>(i)});
  }
  RemoveIfFinished(request);
}

// The response goes to the client already, so the request needs no final answer. Its outcome is still
// expected.
void Policy::Impl::HandleEvent(const StreamStarted& event) {
  if (ActiveRequest* const request = FindRequest(event.request)) request->is_answered = true;
}

void Policy::Impl::Sweep() {
  EmitAction(SetTimer{kSweepIntervalMs, "sweep"});
  if (settings_.requires_watch && now_ >= next_watch_at_) {
    EmitAction(Watch{});
    is_watch_established_ = false;
    next_watch_at_ = std::numeric_limits<Millis>::infinity();
  }
  if (subset_update_pending_ && now_ >= next_subset_update_at_) UpdateSubset();
  const Millis elapsed = std::min(kLongRateWindowMs, now_ - std::exchange(last_sweep_at_, now_));
  UpdateReferenceRate(elapsed);
  UpdateClassWeights(elapsed);
  ExpireQueuedRequests();
}

// Failures of many servers or requests at once must not flood the gateway's log.
void Policy::Impl::LogRateLimited(std::string text) {
  if (now_ < next_log_at_) return;
  next_log_at_ = now_ + kLogIntervalMs;
  EmitAction(Log{std::move(text)});
}

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::vector<ServerStatus> Policy::ServerStatuses() const { return impl_->ServerStatuses(); }

}  // namespace opalswitch
