// The decisions of opalswitch, put together. Their interface (settings, events, actions) is
// include/opalswitch/policy.hpp. Each mechanism is told where it stands, with when it acts.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kSweepEvery = 10;  // ms between sweeps: queue expiry
constexpr double kMostSpread = 4;   // times by which latency alone raises or lowers a server's share

Policy::Impl::Impl(Settings settings, std::uint64_t seed) {
  set_ = std::move(settings);
  random_.seed(seed);
  const double worth = Validate(set_);
  const auto& fields = set_.load_report_fields;
  place_ = set_.index < 0 ? Uniform() : std::fmod(set_.index * 0.6180339887498949, 1.0);
  busy_at_ = std::find(fields.begin(), fields.end(), "util") - fields.begin();
  for (const ClassSettings& c : set_.classes) {
    class_index_[c.name] = static_cast<int>(classes_.size());
    classes_.emplace_back().set = c;
    classes_.back().weight = worth > 0 ? c.worth / worth : 1.0 / static_cast<double>(set_.classes.size());
  }
  for (const TenantSettings& t : set_.tenants) {
    tenants_[t.name].per_ms = t.quota_per_s / set_.gateways / 1000;
  }
}

void Policy::Impl::Handle(Millis now, const Event& event, std::vector<Action>& out) {
  out_ = &out;
  Refill(now);
  const bool first = !std::exchange(started_, true);
  std::visit([this](const auto& e) { On(e); }, event);
  if (first) {  // who knows hosts waits for a turn: many gateways may start together
    if (set_.requires_watch && up_ > 0) ask_at_ = now_ + AskSpread() * Uniform();
    swept_at_ = now_;
    Sweep();
  }
  Release();
}

// The same preference as shares, for proxies that are told them now and then; it starves nobody either.
std::vector<ServerStatus> Policy::Impl::ServerStatuses() const {
  std::vector<double> known;
  for (const auto& [id, b] : servers_) {
    if (b.up && !b.suspect && b.latency > 0) known.push_back(b.latency);
  }
  const double middle = MiddleOf(known);
  std::vector<ServerStatus> all;
  for (const auto& [id, b] : servers_) {
    if (!b.up) continue;
    const double faster = b.latency > 0 && middle > 0 ? middle / b.latency : 1;
    all.push_back(
        {id, b.info.weight * Warmth(b) * std::clamp(faster, 1 / kMostSpread, kMostSpread), b.suspect});
  }
  return all;
}

void Policy::Impl::On(const ClientGone& gone) {
  Flow* const known = Find(gone.request);
  if (known == nullptr) return;
  Flow& flow = *known;
  Unqueue(flow);
  flow.answered = true;
  for (std::size_t i = 0; set_.can_cancel && i < flow.attempts.size(); ++i) {
    if (flow.attempts[i].out) Emit(Cancel{flow.id, static_cast<int>(i)});
  }
  Settle(flow);
}

void Policy::Impl::On(const StreamStarted& s) {  // the client owns it now; its outcome is still awaited
  if (Flow* const flow = Find(s.request)) flow->answered = true;
}

void Policy::Impl::Sweep() {
  Emit(SetTimer{kSweepEvery, "sweep"});
  if (set_.requires_watch && now_ >= ask_at_) {
    Emit(Watch{});
    ask_at_ = std::numeric_limits<Millis>::infinity();
  }
  if (subset_due_ && now_ >= subset_at_) ChooseSubset();
  const Millis passed = std::min(kLongMemory, now_ - std::exchange(swept_at_, now_));
  LearnReference(passed);
  Weigh(passed);
  ExpireQueued();
}

// A log line, at most a few a second: trouble must not flood the gateway's log.
void Policy::Impl::Say(std::string text) {
  if (now_ < quiet_until_) return;
  quiet_until_ = now_ + 200;
  Emit(Log{std::move(text)});
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
