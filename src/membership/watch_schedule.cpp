#include "membership/watch_schedule.hpp"

#include <algorithm>
#include <cmath>

#include "membership/exponential_delay.hpp"

namespace opalswitch::gateway {
namespace {

// Consecutive complete lists with a lower revision after which discovery is taken to have restarted its
// revisions.
constexpr int kResetConfirmations = 3;
constexpr double kQueueDelaySmoothingFactor = 0.3;
constexpr Millis kMinRetryDelayMs = 20;  // keeps failed calls from following one another without a pause

const char* DescribeFailure(WatchFailure failure) {
  switch (failure) {
    case WatchFailure::kConnectFailed: return "can't be reached";
    case WatchFailure::kTimeout: return "doesn't answer in time";
    case WatchFailure::kClosed: return "ends the watch";
    case WatchFailure::kTruncated: return "breaks its answer off";
    case WatchFailure::kErrorStatus: return "refuses";
    case WatchFailure::kMalformed: return "sends a list that can't be read";
    case WatchFailure::kStaleRevision: return "sends a list older than the one known";
  }
  return "";
}

}  // namespace

WatchSchedule::WatchSchedule(std::optional<std::int64_t> revision, const WatchTimes& times)
    : times_(times), revision_(revision), failures_(times) {}

std::string WatchSchedule::BeginCall(double uniform) {
  // After a list with a lower revision, only a complete list can show whether discovery has restarted its
  // revisions.
  wait_ = 0;
  if (!revision_ || stale_lists_ > 0) return "/discovery/hosts";
  const Millis mean_wait = failures_.calls() > 0
                               ? times_.mean_recovery_wait
                               : ExponentialDelay(times_.mean_wait, lists_without_news_,
                                                  std::max(times_.mean_wait, WatchTimes().mean_wait));
  wait_ = std::floor(mean_wait * (0.5 + uniform));
  return "/discovery/hosts?after=" + std::to_string(*revision_) +
         "&wait_ms=" + std::to_string(static_cast<int>(wait_));
}

Millis WatchSchedule::ResponseTimeout() const {
  const bool is_recovering = failures_.calls() > 0;
  const bool is_watch = wait_ > 0;
  const Millis allowance =
      is_recovering || !is_watch ? failures_.ResponseAllowance() : times_.response_timeout;
  const Millis timeout = wait_ + std::min(times_.max_response_timeout, 2 * queue_delay_ + allowance);
  if (is_recovering) return std::min(timeout, times_.max_retry_interval);
  if (!is_watch) return timeout;
  return std::min(timeout, std::max(wait_ + times_.max_silence_after_wait, times_.max_silence));
}

Millis WatchSchedule::NextCallDelay(double uniform) const {
  return std::min(times_.max_call_delay, 2 * queue_delay_) * uniform;
}

Millis WatchSchedule::RetryDelay(double uniform) const {
  const Millis delay =
      ExponentialDelay(times_.initial_retry_delay, failures_.calls() - 1, times_.max_retry_delay) *
      (0.5 + uniform);
  const Millis longest = std::min(1.5 * times_.max_retry_delay, Retry().latest);
  return std::max(kMinRetryDelayMs, std::min(longest, std::max(delay, Retry().earliest)));
}

bool WatchSchedule::AcceptList(const HostList& list) {
  if (revision_ && list.revision < *revision_) {
    if (!list.complete) return false;
    stale_lists_ = stale_lists_ > 0 && list.revision >= stale_revision_ ? stale_lists_ + 1 : 1;
    stale_revision_ = list.revision;
    if (stale_lists_ < kResetConfirmations) return false;
  }
  stale_lists_ = 0;
  lists_without_news_ = list.complete && revision_ == list.revision ? lists_without_news_ + 1 : 0;
  revision_ = list.revision;
  return true;
}

void WatchSchedule::UpdateQueueDelay(Millis sample) {
  queue_delay_ += kQueueDelaySmoothingFactor * (std::max(0.0, sample) - queue_delay_);
}

std::optional<std::string> WatchSchedule::RecordFailure(WatchFailure failure, Millis elapsed,
                                                        const std::string& detail) {
  // An error that comes quickly means that discovery is down, and says nothing about its queue.
  if (failure == WatchFailure::kErrorStatus) UpdateQueueDelay(std::max(queue_delay_, elapsed));
  failures_.Add(failure, elapsed);
  if (failures_.calls() > 1) return std::nullopt;
  std::string line = std::string("discovery ") + DescribeFailure(failure);
  if (!detail.empty()) line += " (" + detail + ")";
  return line + (revision_ ? "; the last good list, revision " + std::to_string(*revision_) + ", stays"
                           : "; no list has been received from it yet");
}

std::optional<std::string> WatchSchedule::RecordSuccess(Millis elapsed, bool has_hosts) {
  // A response without hosts was sent when the wait was over, so the rest of the time was queueing. Changes
  // may have arrived at any time during the wait, so a response with hosts gives only an upper bound of the
  // queue delay.
  if (!has_hosts && wait_ > 0) UpdateQueueDelay(elapsed - wait_);
  if (has_hosts) UpdateQueueDelay(failures_.calls() > 0 ? elapsed : std::min(elapsed, queue_delay_));
  const int failures = failures_.calls();
  failures_.Clear(/*follows_watch=*/true);
  if (failures == 0) return std::nullopt;
  return "discovery answers again after " + std::to_string(failures) +
         (failures == 1 ? " failed call" : " failed calls") + "; revision " +
         (revision_ ? std::to_string(*revision_) : "unknown");
}

void WatchSchedule::Reset() {
  revision_.reset();
  failures_.Clear(/*follows_watch=*/false);
  stale_lists_ = lists_without_news_ = 0;
  queue_delay_ = 0;
}

}  // namespace opalswitch::gateway
