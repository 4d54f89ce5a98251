#include "membership/failure_series.hpp"

#include <algorithm>
#include <utility>

#include "membership/exponential_delay.hpp"

namespace opalswitch::gateway {
namespace {

// Consecutive failures up to which truncated and malformed responses are retried without delay.
constexpr int kMaxImmediateRetries = 4;
// Retries between two pauses, and the first of their intervals, which doubles. They are few, so that a
// discovery service that is down for all gateways gets few of them.
constexpr int kMaxShortRetries = 3;
constexpr Millis kInitialShortRetryDelayMs = 100;
// A call that is refused after this time was queued at discovery, which has more calls than it can answer. It
// works through calls that have timed out, too.
constexpr Millis kSlowFailureMs = 500;
constexpr Millis kCrowdedRepeatDelayMs = 400;

}  // namespace

void FailureSeries::Add(WatchFailure failure, Millis elapsed) {
  ++calls_;
  timeouts_ = failure == WatchFailure::kTimeout ? timeouts_ + 1 : 0;
  retry_ = RetryAfter(failure, elapsed);
}

void FailureSeries::Clear(bool follows_watch) {
  calls_ = timeouts_ = slow_refusals_ = short_retries_ = 0;
  has_repeated_in_crowd_ = false;
  follows_watch_ = follows_watch;
  retry_ = {};
}

bool FailureSeries::ShouldRetryImmediately(WatchFailure failure) const {
  if (failure == WatchFailure::kTimeout) return calls_ == 1;
  return calls_ <= kMaxImmediateRetries &&
         (failure == WatchFailure::kTruncated || failure == WatchFailure::kMalformed);
}

bool FailureSeries::IsSilentWatchAnd(int silent_calls) const {
  return follows_watch_ && calls_ == timeouts_ && calls_ == silent_calls + 1;
}

Millis FailureSeries::ResponseAllowance() const {
  if (IsSilentWatchAnd(0)) return times_.overdue_response_timeout;
  return ExponentialDelay(times_.recovery_response_timeout, timeouts_ - 1, times_.max_response_timeout);
}

RetryWindow FailureSeries::RetryAfter(WatchFailure failure, Millis elapsed) {
  const bool is_refusal = failure == WatchFailure::kErrorStatus;
  const bool is_quick = elapsed < kSlowFailureMs;
  // The first failure may be a watch that discovery has ended after most of its wait.
  if (is_refusal && !is_quick && calls_ > 1) ++slow_refusals_;
  if (slow_refusals_ > 0) return CrowdedRetry(elapsed, is_quick && !is_refusal);
  // The end of a watch may be that of all gateways' watches, so it is followed by a pause.
  const bool is_ended_watch =
      follows_watch_ && calls_ == 1 && (failure == WatchFailure::kClosed || is_refusal);
  if (is_ended_watch) return {0, times_.max_retry_interval};
  const Millis latest = std::max(0.0, times_.max_retry_interval - elapsed);
  // A slow call has taken the time of a pause.
  if (!is_quick) short_retries_ = 0;
  if (short_retries_ >= kMaxShortRetries) {
    short_retries_ = 0;
    return {0, latest};
  }
  const Millis delay = ExponentialDelay(kInitialShortRetryDelayMs, short_retries_++, latest);
  // A single call without a response is taken for lost. Behind more of them discovery may be working through
  // a queue, so that calls that follow one another quickly would leave it time for none.
  const bool may_be_queued = is_refusal || (timeouts_ > 1 && !IsSilentWatchAnd(1));
  return {0, std::min(latest, may_be_queued ? std::max(delay, elapsed) : delay)};
}

// As late as the list may be asked for: the first slow refusal leaves what remains since that call was sent.
// Once discovery has refused several, it could not be reached before the last refusal. The delay is not
// random, so that calls keep the distance at which they were made: a queue that has been worked through is
// not filled again at once. A call behind such a delay that fails quickly without being refused is repeated
// once.
RetryWindow FailureSeries::CrowdedRetry(Millis elapsed, bool may_repeat) {
  if (may_repeat && !std::exchange(has_repeated_in_crowd_, true))
    return {kCrowdedRepeatDelayMs, kCrowdedRepeatDelayMs};
  has_repeated_in_crowd_ = false;
  const Millis delay = slow_refusals_ > 1 ? times_.crowded_retry_delay
                                          : std::max(0.0, times_.crowded_retry_interval - elapsed);
  return {delay, delay};
}

}  // namespace opalswitch::gateway
