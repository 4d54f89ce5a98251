// The check of a Policy's settings: what can't work is said at once, by the field's name.
#include <cmath>
#include <stdexcept>

#include "module/state.hpp"

namespace opalswitch {
namespace {

void Check(bool good, const char* what) {
  if (!good) throw std::invalid_argument(what);
}

bool NotNegative(double value) { return std::isfinite(value) && value >= 0; }
bool Positive(double value) { return std::isfinite(value) && value > 0; }

}  // namespace

const char* CauseName(Cause cause) {
  switch (cause) {
    case Cause::kUnknownClass: return "class";
    case Cause::kInsufficientTime: return "late";
    case Cause::kQueueFull: return "queue";
    case Cause::kOverQuota: return "share";
    case Cause::kRateLimited: return "rate";
    case Cause::kConcurrencyLimited: return "limits";
    case Cause::kNoHealthyServer: return "hosts";
    case Cause::kNoConnection: return "room";
    case Cause::kMayHaveRun: return "ran";
    case Cause::kSlowResponse: return "slow";
    case Cause::kNoTimeForRetry: return "time";
    case Cause::kAttemptsExhausted: return "attempts";
    case Cause::kRetryBudgetExhausted: return "resends";
  }
  return "unknown";
}

double Validate(const Settings& s) {
  Check(!s.classes.empty(), "classes: there is none");
  Check(s.classes.size() <= 64, "classes: more than 64");
  Check(s.gateways >= 1, "gateways: must be at least 1");
  Check(s.max_attempts >= 1, "max_attempts: must be at least 1");
  Check(Positive(s.cold_capacity_fraction) && s.cold_capacity_fraction <= 1,
        "cold_capacity_fraction: must be in (0, 1]");
  Check(NotNegative(s.warm_up_time), "warm_up_time: must not be negative");
  Check(Positive(s.overload_multiple), "overload_multiple: must be above 0");
  Check(s.streams_per_connection >= 1, "streams_per_connection: must be at least 1");
  Check(Positive(s.max_watch_interval), "max_watch_interval: must be above 0");
  Check(NotNegative(s.total_worth_weight), "total_worth_weight: must not be negative");
  Check(NotNegative(s.worst_class_weight), "worst_class_weight: must not be negative");
  Check(NotNegative(s.max_retry_after), "max_retry_after: must not be negative");
  double worth = 0;
  for (const ClassSettings& c : s.classes) {
    Check(Positive(c.deadline), "classes.deadline: must be above 0");
    Check(Positive(c.aim), "classes.aim: must be above 0");
    Check(NotNegative(c.worth), "classes.worth: must not be negative");
    Check(NotNegative(c.late_worth), "classes.late_worth: must not be negative");
    Check(NotNegative(c.repeat_window), "classes.repeat_window: must not be negative");
    worth += c.worth;
  }
  for (const TenantSettings& t : s.tenants) {
    Check(NotNegative(t.quota_per_s), "tenants.quota_per_s: must not be negative");
  }
  return worth;
}

}  // namespace opalswitch
