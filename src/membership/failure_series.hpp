// The failed calls of the discovery service since the last accepted list, and when to call it again. Performs
// no I/O and reads no clock.
//
// A failed call does not show whether discovery can be reached: it may be down for all gateways, or may have
// failed this call alone. So calls come in cycles: a pause, in which the calls of many gateways spread, then
// a few retries at short, growing intervals. The pause, a call that is never answered and a retry fit
// together into the time after which a change counts as known (watch_times.hpp), and so do the pause and
// several calls that fail quickly, wherever in the cycle discovery comes back.
#ifndef OPALSWITCH_MEMBERSHIP_FAILURE_SERIES_HPP_
#define OPALSWITCH_MEMBERSHIP_FAILURE_SERIES_HPP_

#include "membership/watch_times.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class FailureSeries {
 public:
  explicit FailureSeries(const WatchTimes& times) : times_(times) {}

  // Adds a call that failed `elapsed` ms after it was sent.
  void Add(WatchFailure failure, Millis elapsed);

  // Begins a new series. `follows_watch`: whether a failure of the next call ends a watch, which has
  // delivered all changes up to then. False for the first call at another address.
  void Clear(bool follows_watch);

  // Whether a call that has just failed should be repeated at once. True for a time-out that is the first of
  // consecutive failures, and for a bounded number of truncated or malformed responses: discovery counts
  // changes that it has sent as known to the gateway, so a lost drain cannot wait for a delay. Time-outs
  // happen at random times, so these retries do not come from all gateways at once.
  bool ShouldRetryImmediately(WatchFailure failure) const;

  // When the next call after the last failure may start.
  const RetryWindow& Retry() const { return retry_; }

  // Time that the next call has for its response, in addition to its wait.
  Millis ResponseAllowance() const;

  int calls() const { return calls_; }

 private:
  RetryWindow RetryAfter(WatchFailure failure, Millis elapsed);
  RetryWindow CrowdedRetry(Millis elapsed, bool may_repeat);

  // Whether the series consists of a watch that has fallen silent and `silent_calls` calls without a
  // response.
  bool IsSilentWatchAnd(int silent_calls) const;

  const WatchTimes times_;
  int calls_ = 0;
  int timeouts_ = 0;                    // the last calls, in a row, that were not answered in time
  int slow_refusals_ = 0;               // from discovery's queue
  int short_retries_ = 0;               // since the last pause
  bool has_repeated_in_crowd_ = false;  // since the last delay of a crowd
  bool follows_watch_ = true;
  RetryWindow retry_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_FAILURE_SERIES_HPP_
