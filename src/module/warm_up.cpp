// Send budgets: the request rate to servers that are warming up, and to all servers where many gateways share
// them.
#include "module/impl.hpp"

namespace opalswitch {

// Added to the observed time of each server in the reference rate, so that the first few responses do not
// give a high rate.
constexpr Millis kReferencePriorMs = 500;
// A cold server is never sent more than this fraction of the load that makes it fail, whatever it reports.
constexpr double kMaxColdLoadFraction = 0.7;
// Target for the unused utilization of a server, divided by the square root of its weight.
constexpr double kFreeUtilization = 0.35;
// Until a warm server has reported, its send budget is this fraction of its part of the refill rate.
constexpr double kInitialBudgetFraction = 0.6;
// Time in which the send budget grows by a factor of e, per unit of utilization below the target.
constexpr Millis kBudgetGrowthTimeMs = 500;
// The same for decreases, per unit of utilization above the target.
constexpr Millis kBudgetShrinkTimeMs = 300;
// A report is applied to at most this time since the last one.
constexpr Millis kMaxReportGapMs = 1000;
// Lower bound of the send budget of a server over all gateways.
constexpr double kMinSendBudgetPerMs = 0.0005;
// Where send budgets follow reports: time constant with which the reference rate falls while there are fewer
// responses.
constexpr Millis kReferenceHoldTimeMs = 60000;

// A lower bound: the fraction that the server is certain to have by now.
double Policy::Impl::CapacityFraction(const TrackedServer& server) const {
  const Millis age = now_ - server.warm_up_started_at;
  if (age >= settings_.warm_up_time) return 1;
  return settings_.cold_capacity_fraction +
         (1 - settings_.cold_capacity_fraction) * std::max(0.0, age) / settings_.warm_up_time;
}

// The reference rate is per server of the whole membership, but a server's load is shared only by the
// gateways that have it in their subset.
double Policy::Impl::ColdServerRatePerMs(const TrackedServer& server) const {
  const double gateways_ratio = settings_.gateways / gateways_per_server_;
  return kColdLoadFraction * settings_.overload_multiple * CapacityFraction(server) * server.info.weight *
         reference_rate_per_ms_ * gateways_ratio;
}

double Policy::Impl::SendBudgetPerMs(const TrackedServer& server) const {
  const bool is_warm = CapacityFraction(server) >= 1;
  const bool has_reported_budget = UsesReportedBudget() && server.send_budget_per_ms > 0;
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

// Only the server knows the load that all gateways together cause.
void Policy::Impl::UpdateSendBudget(TrackedServer& server, double utilization) {
  if (!UsesReportedBudget()) return;
  const double previous_budget = SendBudgetPerMs(server);
  const Millis elapsed = std::min(kMaxReportGapMs, now_ - std::exchange(server.send_budget_updated_at, now_));
  const double spare_utilization =
      1 - kFreeUtilization / std::sqrt(std::max(1.0, server.info.weight)) - utilization;
  // An unused budget is no evidence for a higher one.
  const bool used_budget = server.send_credit < 1;
  const double log_change = spare_utilization < 0 ? spare_utilization * elapsed / kBudgetShrinkTimeMs
                            : used_budget         ? spare_utilization * elapsed / kBudgetGrowthTimeMs
                                                  : 0;
  server.send_budget_per_ms =
      std::max(kMinSendBudgetPerMs / gateways_per_server_, previous_budget * std::exp(log_change));
}

// A cold server earns credit in proportion to the responses of warm servers. ResetServer starts it with a
// random fraction of a request: one request from each of hundreds of gateways at once would overload it.
bool Policy::Impl::RefillAndCheckSendCredit(TrackedServer& server) {
  if (!HasSendBudget(server)) return true;
  const double max_credit = CapacityFraction(server) < 1 ? 1 : 2;
  server.send_credit = std::min(
      max_credit, server.send_credit + SendBudgetPerMs(server) * (now_ - server.send_credit_updated_at));
  server.send_credit_updated_at = now_;
  return server.send_credit >= 1;
}

// Responses per ms to this gateway from a warm server of weight 1. Responses are counted instead of attempts,
// because in an overload more is sent than servers can handle. If no server has been warm yet, arrivals are
// used.
void Policy::Impl::UpdateReferenceRate(Millis elapsed) {
  const double decay = std::exp(-elapsed / kLongRateWindowMs);
  const double available_weight = server_index_.available_weight();
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
