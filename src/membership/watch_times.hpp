// Times of the calls of the discovery service, and the ways in which a call fails.
#ifndef OPALSWITCH_MEMBERSHIP_WATCH_TIMES_HPP_
#define OPALSWITCH_MEMBERSHIP_WATCH_TIMES_HPP_

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// All in milliseconds. A gateway is held to know of a drain at the latest 2 s after the wait of a watch that
// has fallen silent, and 6 s after discovery has the drain and can be reached, whatever calls fail meanwhile.
// It may send the host no request 0.5 s after that. A failed call does not show whether discovery can be
// reached, so the time spans whole series of them: FailureSeries.
struct WatchTimes {
  // Mean time that a watch asks discovery to wait for changes. A watch whose connection is lost silently is
  // noticed only after this time.
  Millis mean_wait = 5000;
  // The same while the last call has failed: just long enough to be a watch. The call is to show soon whether
  // discovery answers.
  Millis mean_recovery_wait = 100;
  // Time-out for the response, in addition to the wait and to twice the queue delay.
  Millis response_timeout = 600;
  // The same after a failed call, and for a call that asks for the complete list without a wait. Doubles with
  // each further consecutive time-out.
  Millis recovery_response_timeout = 2200;
  // The same for the first call after a watch that has fallen silent, whose changes count as known soon.
  Millis overdue_response_timeout = 1100;
  // Bound on these and twice the queue delay together.
  Millis max_response_timeout = 3250;
  // A watch is given up this long after its wait, or since its start if that is later, however long the queue
  // delay was: its change counts as known 2 s after the wait, or 6 s after the watch has fallen silent.
  Millis max_silence_after_wait = 1200;
  Millis max_silence = 5200;
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
  // The same after the first call that discovery has refused from its queue.
  Millis crowded_retry_interval = 4750;
  // From the end of a call to the start of the next one, after several such refusals.
  Millis crowded_retry_delay = 5400;

  // For lists that are pushed to an agent on the gateway's own machine, which answers at once and at no cost.
  // A change counts as known as soon as the agent has it, so an agent that was silent must be noticed within
  // the grace of 500 ms, less 150 ms for which the gateway may be held up.
  static WatchTimes ForPushedLists() {
    WatchTimes times;
    times.mean_wait = 150;
    times.mean_recovery_wait = 50;
    times.response_timeout = times.recovery_response_timeout = times.overdue_response_timeout = 75;
    times.max_response_timeout = 150;
    times.connect_timeout = 200;
    times.initial_retry_delay = times.max_retry_delay = 50;
    times.max_retry_interval = times.crowded_retry_interval = times.crowded_retry_delay = 250;
    return times;
  }
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

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_WATCH_TIMES_HPP_
