// The timing and failure policy of the long polls ("watches") of the discovery service: how long each call
// may wait on the server, when it counts as timed out, when the next call is made, which host lists are
// accepted, and what is logged. Performs no I/O and reads no clock: the caller (discovery.hpp) makes the
// calls and reports their results. Not thread-safe.
//
// Discovery serves calls one after another, so calls queue there when many gateways call at once, for example
// after a change that ends all of their watches. The schedule estimates that queue delay and allows for it.
#ifndef OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_
#define OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "membership/failure_series.hpp"
#include "membership/host_list.hpp"
#include "membership/watch_times.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class WatchSchedule {
 public:
  // `revision` is that of the last list known, if that list came from the same discovery service.
  explicit WatchSchedule(std::optional<std::int64_t> revision = std::nullopt, const WatchTimes& times = {});

  // Starts a call and returns its path and query. `uniform` is a random number in [0, 1), here and in the
  // other functions. It sets the wait to between 0.5 and 1.5 times the mean, so that gateways that started
  // together soon call at different times. The mean doubles with each complete list that brings no news, up
  // to that of WatchTimes().
  std::string BeginCall(double uniform);

  // Time-out from sending the request to the response's header: the wait, plus an allowance for queueing and
  // for earlier time-outs in a row, in the bounds of WatchTimes.
  Millis ResponseTimeout() const;

  // Delay between a response and the next call: random, up to twice the recent queue delay. Discovery serves
  // a watch that continues within 200 ms without queueing it; a later call has to queue.
  Millis NextCallDelay(double uniform) const;

  // Whether a call that has just failed should be repeated at once, without consulting the policy.
  bool ShouldRetryImmediately(WatchFailure failure) const {
    return failures_.ShouldRetryImmediately(failure);
  }

  // When the next call after the last failure may start.
  const RetryWindow& Retry() const { return failures_.Retry(); }

  // Delay before the next call after a failure, for callers without a retry policy of their own.
  Millis RetryDelay(double uniform) const;

  // Whether `list` is to be applied. A list with a revision below the one known is rejected: it may come from
  // a replica of discovery that lags behind, and would bring back hosts that drain. Discovery is taken to
  // have restarted its revisions only after several consecutive complete lists with such revisions, none
  // lower than the one before.
  bool AcceptList(const HostList& list);

  // These return a line for the log for the first of several consecutive failures and for the first success
  // after a failure, else nothing. `elapsed` is the time from the request to the response or failure;
  // `detail` is an HTTP status or an error text, and may be empty; `has_hosts` says whether the list named
  // any host.
  std::optional<std::string> RecordFailure(WatchFailure failure, Millis elapsed, const std::string& detail);
  std::optional<std::string> RecordSuccess(Millis elapsed, bool has_hosts);

  // Forgets the revision and all failures; called when the address of discovery changes, as revisions of one
  // discovery service mean nothing to another.
  void Reset();

  const WatchTimes& times() const { return times_; }
  std::optional<std::int64_t> revision() const { return revision_; }
  // How long the current call asks discovery to wait for news; 0 if it asks for the complete list.
  Millis wait() const { return wait_; }
  // Failed calls since the last accepted list.
  int consecutive_failures() const { return failures_.calls(); }

 private:
  // Adds a sample to the EWMA; negative ones count as 0.
  void UpdateQueueDelay(Millis sample);

  const WatchTimes times_;
  std::optional<std::int64_t> revision_;
  Millis wait_ = 0;         // of the current call; 0 if it asks for the complete list without waiting
  Millis queue_delay_ = 0;  // EWMA of the time that calls were queued at discovery
  FailureSeries failures_;
  int stale_lists_ = 0;  // consecutive complete lists with a revision below revision_
  std::int64_t stale_revision_ = 0;
  int lists_without_news_ = 0;  // consecutive complete lists with the revision already known
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_
