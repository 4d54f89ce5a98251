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

#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// All in milliseconds. A gateway is held to know of a drain at the latest 2 s after the wait of a watch that
// has fallen silent, and 6 s after discovery has the drain and can be reached, whatever calls fail meanwhile.
// It may send the host no request 0.5 s after that. So the next call after one that fails must come early
// enough to be answered in that time.
struct WatchTimes {
  // Mean time that a watch asks discovery to wait for changes. A watch whose connection is lost silently is
  // noticed only after this time.
  Millis mean_wait = 5000;
  // The same while the last call has failed.
  Millis mean_recovery_wait = 2700;
  // Time-out for the response, in addition to the wait and to twice the queue delay. Doubles with each
  // further consecutive time-out.
  Millis response_timeout = 600;
  // Bound on response_timeout and twice the queue delay together. Also the whole time-out of a call that asks
  // for the complete list without a wait.
  Millis max_response_timeout = 3250;
  Millis connect_timeout = 1000;
  // From the response's header to the end of its body.
  Millis body_timeout = 1000;
  // Between the starts of two successive calls. Discovery ends a watch that is not continued within 200 ms.
  Millis min_call_interval = 100;
  // Bound on the delay between a response and the next call. It must be below 200 ms for discovery to treat
  // the call as a continued watch.
  Millis max_call_delay = 100;
  // Mean delay after the first failed call; doubles with each consecutive failure, up to max_retry_delay.
  Millis initial_retry_delay = 200;
  Millis max_retry_delay = 3000;
  // From the start of a call that fails to the start of the next one; from its end if it was a watch that
  // discovery ended. Also the longest time-out of a call after a failed one.
  Millis max_retry_interval = kMaxWatchRetryDelayMs;
  // From the end of a call to the start of the next one, after several calls that discovery has refused from
  // its queue.
  Millis crowded_retry_delay = 5400;

  // For lists that are pushed to an agent on the gateway's own machine, which answers at once and at no cost.
  // A change counts as known as soon as the agent has it, so an agent that was silent must be noticed within
  // the grace of 500 ms, less 150 ms for which the gateway may be held up.
  static WatchTimes ForPushedLists();
};

// Why a call failed.
enum class WatchFailure {
  kConnectFailed,  // no connection within connect_timeout, or it was refused
  kTimeout,        // no response header in time
  kClosed,         // the connection ended before the first byte of a response, as when discovery shuts down
  kTruncated,      // the connection ended, or the time ran out, within a response
  kErrorStatus,    // an HTTP status other than 200
  kMalformed,      // the body is not a valid host list
  kStaleRevision   // the list is older than the one known
};

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
  // for earlier time-outs in a row. After a failed call at most max_retry_interval.
  Millis ResponseTimeout() const;

  // Delay between a response and the next call: random, up to twice the recent queue delay. Discovery serves
  // a watch that continues within 200 ms without queueing it; a later call has to queue.
  Millis NextCallDelay(double uniform) const;

  // Whether a call that has just failed should be repeated at once, without consulting the policy. True for a
  // time-out that is the first of consecutive failures, and for a bounded number of truncated or malformed
  // responses: discovery counts changes that it has sent as known to the gateway, so a lost drain cannot wait
  // for the retry delay. Time-outs happen at random times, so these retries do not come from all gateways at
  // once.
  bool ShouldRetryImmediately(WatchFailure failure) const;

  // When the next call after the last failure may start.
  const RetryWindow& Retry() const { return retry_; }

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
  int consecutive_failures() const { return failed_.calls; }

 private:
  // The delay after a failure while discovery gets more calls than it can answer.
  Millis CrowdedRetryDelay(Millis elapsed) const;
  void CountFailure(WatchFailure failure, Millis elapsed);
  // Retry() after a counted call that failed `elapsed` ms after it was sent.
  RetryWindow RetryAfter(WatchFailure failure, Millis elapsed);
  // Adds a sample to the EWMA; negative ones count as 0.
  void UpdateQueueDelay(Millis sample);

  const WatchTimes times_;
  std::optional<std::int64_t> revision_;
  Millis wait_ = 0;         // of the current call; 0 if it asks for the complete list without waiting
  Millis queue_delay_ = 0;  // EWMA of the time that calls were queued at discovery
  // The failed calls since the last accepted list.
  struct FailedCalls {
    int calls = 0;
    int timeouts = 0;       // the last ones, in a row
    int slow_refusals = 0;  // from discovery's queue
    // Changes may have been missed, and count as known soon: a watch was silent, a response was broken off,
    // or the address has changed. The next calls after a failure are then made at short intervals.
    bool is_overdue = false;
    int overdue_retries = 0;
  };
  FailedCalls failed_;
  int stale_lists_ = 0;  // consecutive complete lists with a revision below revision_
  std::int64_t stale_revision_ = 0;
  RetryWindow retry_;
  int lists_without_news_ = 0;  // consecutive complete lists with the revision already known
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_
