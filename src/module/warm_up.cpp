// What each server may be sent a second: one that has just started (rule 4), and any that many share.
#include "module/impl.hpp"

namespace opalswitch {

constexpr Millis kReferencePriorMs =
    500;  // ms of each server's time that a first few answers are spread over
constexpr double kMaxColdLoadFraction =
    0.7;                                   // part of that multiple that a cold server is never sent more than
constexpr double kFreeUtilization = 0.35;  // utilisation left free, over the root of the size
constexpr double kInitialBudgetFraction =
    0.6;  // part of a server's part of the rate that it is sent at the start
constexpr Millis kBudgetGrowthTimeMs =
    500;  // ms in which a server that reports itself idle is allowed e times
constexpr Millis kBudgetShrinkTimeMs = 300;  // the same for one that is busy by as much too much
constexpr Millis kMaxReportGapMs = 1000;     // ms that one report speaks for at the most
constexpr double kMinSendBudgetPerMs =
    0.0005;  // requests per ms over all gateways, that is sent at the least
constexpr Millis kReferenceHoldTimeMs = 60000;  // ms for which the reference is held while less is answered

// The share of its capacity that a started server surely has by now.
double Policy::Impl::CapacityFraction(const TrackedServer& server) const {
  const Millis age = now_ - server.warm_up_started_at;
  if (age >= settings_.warm_up_time) return 1;
  return settings_.cold_capacity_fraction +
         (1 - settings_.cold_capacity_fraction) * std::max(0.0, age) / settings_.warm_up_time;
}

// What this gateway may send it, per ms. The reference is over all servers: those few that use one share it.
double Policy::Impl::ColdServerRatePerMs(const TrackedServer& server) const {
  const double gateways_ratio = settings_.gateways / gateways_per_server_;
  return kColdLoadFraction * settings_.overload_multiple * CapacityFraction(server) * server.info.weight *
         reference_rate_per_ms_ * gateways_ratio;
}

// Requests per ms that this gateway may send one that is budgeted.
double Policy::Impl::SendBudgetPerMs(const TrackedServer& server) const {
  const bool is_warm = CapacityFraction(server) >= 1,
             has_reported_budget = UsesReportedBudget() && server.send_budget_per_ms > 0;
  const double relative_size = server.info.weight * settings_.gateways / gateways_per_server_;
  if (is_warm)
    return has_reported_budget
               ? server.send_budget_per_ms
               : kInitialBudgetFraction * refill_rate_ / 1000 * relative_size / server_index_.up_weight();
  const double cold_rate = ColdServerRatePerMs(server);
  return has_reported_budget
             ? std::min(server.send_budget_per_ms, kMaxColdLoadFraction / kColdLoadFraction * cold_rate)
             : cold_rate;
}

// What many send it together only the server can tell. `busy`: its utilisation, reported, or as an outcome
// has it.
void Policy::Impl::UpdateSendBudget(TrackedServer& server, double utilization) {
  if (!UsesReportedBudget()) return;
  const double previous_budget = SendBudgetPerMs(server);
  const Millis elapsed = std::min(kMaxReportGapMs, now_ - std::exchange(server.send_budget_updated_at, now_));
  const double spare_utilization =
      1 - kFreeUtilization / std::sqrt(std::max(1.0, server.info.weight)) - utilization;
  const bool used_budget =
      server.send_credit < 1;  // what was not used up shows nothing of what more would do
  const double log_change = spare_utilization < 0 ? spare_utilization * elapsed / kBudgetShrinkTimeMs
                            : used_budget         ? spare_utilization * elapsed / kBudgetGrowthTimeMs
                                                  : 0;
  server.send_budget_per_ms =
      std::max(kMinSendBudgetPerMs / gateways_per_server_, previous_budget * std::exp(log_change));
}

// Rule 4: a cold server earns credit by what warm ones answer here. It starts with a chance part of a
// request: one request each from hundreds of gateways at once would push it over.
bool Policy::Impl::RefillSendCredit(TrackedServer& server) {
  if (!HasSendBudget(server)) return true;
  const double max_credit = CapacityFraction(server) < 1 ? 1 : 2;
  server.send_credit = std::min(
      max_credit, server.send_credit + SendBudgetPerMs(server) * (now_ - server.send_credit_updated_at));
  server.send_credit_updated_at = now_;
  return server.send_credit >= 1;
}

// What a warm server of size 1 answers to this gateway, per ms: answers, not sends, for in a jam more is
// sent than any server can do. Where none was warm yet: its part of what arrives.
void Policy::Impl::UpdateReferenceRate(Millis elapsed) {
  const double decay = std::exp(-elapsed / kLongRateWindowMs),
               available_weight = server_index_.available_weight();
  server_index_.CountWarmedUpServers(now_);
  warm_weight_ms_ = warm_weight_ms_ * decay + elapsed * server_index_.warm_weight();
  warm_responses_ *= decay;
  const double held_rate =
      UsesReportedBudget() ? reference_rate_per_ms_ * std::exp(-elapsed / kReferenceHoldTimeMs) : 0;
  reference_rate_per_ms_ = warm_weight_ms_ > 0
                               ? warm_responses_ / (warm_weight_ms_ + kReferencePriorMs * available_weight)
                               : arrivals_per_ms_ / std::max(1.0, available_weight);
  reference_rate_per_ms_ = std::max(reference_rate_per_ms_, held_rate);
}

}  // namespace opalswitch
