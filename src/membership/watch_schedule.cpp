#include "membership/watch_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalswitch::gateway {
namespace {

// Consecutive complete lists with a lower revision after which discovery is taken to have restarted its
// revisions.
constexpr int kResetConfirmations = 3;
// Consecutive failures up to which truncated and malformed responses are retried without delay.
constexpr int kMaxImmediateRetries = 4;
constexpr double kQueueDelaySmoothingFactor = 0.3;
// Calls that are repeated at short intervals while a list is overdue, and the first of these intervals, which
// doubles. They are few, so that a discovery service that is down for all gateways gets few of them.
constexpr int kMaxOverdueRetries = 4;
constexpr Millis kInitialOverdueRetryDelayMs = 100;
// A call that is refused after this time was queued at discovery, which has more calls than it can answer. It
// works through calls that have timed out, too, so calls that follow one another quickly would leave it time
// for none.
constexpr Millis kSlowRefusalMs = 500;
constexpr Millis kMinRetryDelayMs = 20;  // keeps failed calls from following one another without a pause
// Keeps the exponent in range; every delay has reached its bound by then.
constexpr int kMaxDoublings = 16;

// `initial` doubled `doublings` times, at most `max`.
Millis ExponentialDelay(Millis initial, int doublings, Millis max) {
  return std::min(max, std::ldexp(initial, std::clamp(doublings, 0, kMaxDoublings)));
}

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

WatchTimes WatchTimes::ForPushedLists() {
  WatchTimes times;
  times.mean_wait = 150;
  times.mean_recovery_wait = 50;
  times.response_timeout = 75;
  times.max_response_timeout = 150;
  times.connect_timeout = 200;
  times.initial_retry_delay = times.max_retry_delay = 50;
  times.max_retry_interval = times.crowded_retry_delay = 250;
  return times;
}

WatchSchedule::WatchSchedule(std::optional<std::int64_t> revision, const WatchTimes& times)
    : times_(times), revision_(revision) {}

std::string WatchSchedule::BeginCall(double uniform) {
  // After a list with a lower revision, only a complete list can show whether discovery has restarted its
  // revisions.
  wait_ = 0;
  if (!revision_ || stale_lists_ > 0) return "/discovery/hosts";
  const Millis mean_wait = failed_.calls > 0
                               ? times_.mean_recovery_wait
                               : ExponentialDelay(times_.mean_wait, lists_without_news_,
                                                  std::max(times_.mean_wait, WatchTimes().mean_wait));
  wait_ = std::floor(mean_wait * (0.5 + uniform));
  return "/discovery/hosts?after=" + std::to_string(*revision_) +
         "&wait_ms=" + std::to_string(static_cast<int>(wait_));
}

Millis WatchSchedule::ResponseTimeout() const {
  if (wait_ <= 0) return times_.max_response_timeout;
  const Millis timeout =
      wait_ + std::min(times_.max_response_timeout,
                       2 * queue_delay_ + ExponentialDelay(times_.response_timeout, failed_.timeouts - 1,
                                                           times_.max_response_timeout));
  return failed_.calls > 0 ? std::min(timeout, times_.max_retry_interval) : timeout;
}

Millis WatchSchedule::NextCallDelay(double uniform) const {
  return std::min(times_.max_call_delay, 2 * queue_delay_) * uniform;
}

bool WatchSchedule::ShouldRetryImmediately(WatchFailure failure) const {
  if (failure == WatchFailure::kTimeout) return failed_.calls == 1;
  return failed_.calls <= kMaxImmediateRetries &&
         (failure == WatchFailure::kTruncated || failure == WatchFailure::kMalformed);
}

Millis WatchSchedule::RetryDelay(double uniform) const {
  const Millis delay =
      ExponentialDelay(times_.initial_retry_delay, failed_.calls - 1, times_.max_retry_delay) *
      (0.5 + uniform);
  const Millis longest = std::min(1.5 * times_.max_retry_delay, retry_.latest);
  return std::max(kMinRetryDelayMs, std::min(longest, std::max(delay, retry_.earliest)));
}

void WatchSchedule::CountFailure(WatchFailure failure, Millis elapsed) {
  ++failed_.calls;
  failed_.timeouts = failure == WatchFailure::kTimeout ? failed_.timeouts + 1 : 0;
  // The first failure may be a watch that discovery has ended after most of its wait.
  const bool is_slow_refusal =
      failure == WatchFailure::kErrorStatus && elapsed >= kSlowRefusalMs && failed_.calls > 1;
  if (is_slow_refusal) ++failed_.slow_refusals;
  const bool is_silent_watch = failed_.calls == 1 && failure == WatchFailure::kTimeout;
  const bool is_broken_response = failure == WatchFailure::kTruncated || failure == WatchFailure::kMalformed;
  failed_.is_overdue = failed_.is_overdue || is_silent_watch || is_broken_response;
}

// As late as the list may be asked for: the first slow refusal leaves what remains since that call was sent.
// Once discovery has refused several in a row, it could not be reached before the last refusal. The delay is
// not random, so that calls keep the distance at which they were made: a queue that has been worked through
// is not filled again at once.
Millis WatchSchedule::CrowdedRetryDelay(Millis elapsed) const {
  if (failed_.slow_refusals > 1) return times_.crowded_retry_delay;
  return std::max(0.0, times_.max_retry_interval - elapsed);
}

RetryWindow WatchSchedule::RetryAfter(WatchFailure failure, Millis elapsed) {
  if (failed_.slow_refusals > 0) {
    const Millis delay = CrowdedRetryDelay(elapsed);
    return {delay, delay};
  }
  // A watch that discovery ends has delivered all changes up to then. Any other call has missed those that
  // came while it was out.
  const bool is_ended_watch =
      failed_.calls == 1 && (failure == WatchFailure::kClosed || failure == WatchFailure::kErrorStatus);
  const Millis missed = is_ended_watch ? 0 : elapsed;
  const Millis latest = std::max(0.0, times_.max_retry_interval - missed);
  if (!failed_.is_overdue || ShouldRetryImmediately(failure) || failed_.overdue_retries >= kMaxOverdueRetries)
    return {0, latest};
  // A call that took long to fail may have been queued, and is not followed at once by another.
  const Millis delay = ExponentialDelay(kInitialOverdueRetryDelayMs, failed_.overdue_retries++, latest);
  return {0, std::min(latest, std::max(delay, elapsed))};
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
  CountFailure(failure, elapsed);
  retry_ = RetryAfter(failure, elapsed);
  if (failed_.calls > 1) return std::nullopt;
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
  if (has_hosts) UpdateQueueDelay(failed_.calls > 0 ? elapsed : std::min(elapsed, queue_delay_));
  const int failures = std::exchange(failed_, {}).calls;
  if (failures == 0) return std::nullopt;
  return "discovery answers again after " + std::to_string(failures) +
         (failures == 1 ? " failed call" : " failed calls") + "; revision " +
         (revision_ ? std::to_string(*revision_) : "unknown");
}

void WatchSchedule::Reset() {
  revision_.reset();
  failed_ = {};
  failed_.is_overdue = true;
  stale_lists_ = lists_without_news_ = 0;
  queue_delay_ = 0;
}

}  // namespace opalswitch::gateway
