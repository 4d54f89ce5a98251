// The decisions of opalswitch, put together. Their interface (settings, events, actions) is
// include/opalswitch/policy.hpp. Each mechanism is told where it stands, with when it acts.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kSweepIntervalMs = 10;  // ms between sweeps: queue expiry
constexpr double kMaxLatencyWeightRatio =
    4;  // times by which latency alone raises or lowers a server's share

Policy::Impl::Impl(Settings settings, std::uint64_t seed) {
  settings_ = std::move(settings);
  random_.seed(seed);
  const double worth = ValidateSettings(settings_);
  const auto& report_fields = settings_.load_report_fields;
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
  if (is_first_event) {  // who knows hosts waits for a turn: many gateways may start together
    if (settings_.requires_watch && servers_up_ > 0) next_watch_at_ = now_ + WatchSpread() * Uniform();
    last_sweep_at_ = now_;
    Sweep();
  }
  ReleaseQueuedRequests();
}

// The same preference as shares, for proxies that are told them now and then; it starves nobody either.
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

void Policy::Impl::HandleEvent(
    const StreamStarted& event) {  // the client owns it now; its outcome is still awaited
  if (ActiveRequest* const request = FindRequest(event.request)) request->is_answered = true;
}

void Policy::Impl::Sweep() {
  EmitAction(SetTimer{kSweepIntervalMs, "sweep"});
  if (settings_.requires_watch && now_ >= next_watch_at_) {
    EmitAction(Watch{});
    next_watch_at_ = std::numeric_limits<Millis>::infinity();
  }
  if (subset_update_pending_ && now_ >= next_subset_update_at_) UpdateSubset();
  const Millis elapsed = std::min(kLongRateWindowMs, now_ - std::exchange(last_sweep_at_, now_));
  UpdateReferenceRate(elapsed);
  UpdateClassWeights(elapsed);
  ExpireQueuedRequests();
}

// A log line, at most a few a second: trouble must not flood the gateway's log.
void Policy::Impl::LogRateLimited(std::string text) {
  if (now_ < next_log_at_) return;
  next_log_at_ = now_ + 200;
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
