// Validation of a Policy's settings, and the names of causes.
#include <cmath>
#include <stdexcept>

#include "module/state.hpp"

namespace opalswitch {
namespace {

void Check(bool is_valid, const char* error) {
  if (!is_valid) throw std::invalid_argument(error);
}

bool IsNonNegative(double value) { return std::isfinite(value) && value >= 0; }
bool IsPositive(double value) { return std::isfinite(value) && value > 0; }

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

double ValidateSettings(const Settings& settings) {
  Check(!settings.classes.empty(), "classes: must not be empty");
  Check(settings.classes.size() <= 64, "classes: must have at most 64 entries");
  Check(settings.gateways >= 1, "gateways: must be at least 1");
  Check(settings.max_attempts >= 1, "max_attempts: must be at least 1");
  Check(IsPositive(settings.cold_capacity_fraction) && settings.cold_capacity_fraction <= 1,
        "cold_capacity_fraction: must be in (0, 1]");
  Check(IsNonNegative(settings.warm_up_time), "warm_up_time: must not be negative");
  Check(IsPositive(settings.overload_multiple), "overload_multiple: must be above 0");
  Check(settings.streams_per_connection >= 1, "streams_per_connection: must be at least 1");
  Check(IsPositive(settings.max_watch_interval), "max_watch_interval: must be above 0");
  Check(IsNonNegative(settings.total_worth_weight), "total_worth_weight: must not be negative");
  Check(IsNonNegative(settings.worst_class_weight), "worst_class_weight: must not be negative");
  Check(IsNonNegative(settings.max_retry_after), "max_retry_after: must not be negative");
  double worth = 0;
  for (const ClassSettings& class_settings : settings.classes) {
    Check(IsPositive(class_settings.deadline), "classes.deadline: must be above 0");
    Check(IsPositive(class_settings.aim), "classes.aim: must be above 0");
    Check(IsNonNegative(class_settings.worth), "classes.worth: must not be negative");
    Check(IsNonNegative(class_settings.late_worth), "classes.late_worth: must not be negative");
    Check(IsNonNegative(class_settings.repeat_window), "classes.repeat_window: must not be negative");
    worth += class_settings.worth;
  }
  for (const TenantSettings& tenant : settings.tenants) {
    Check(IsNonNegative(tenant.quota_per_s), "tenants.quota_per_s: must not be negative");
  }
  return worth;
}

}  // namespace opalswitch
