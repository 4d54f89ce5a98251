// Log lines about the calls of the discovery service.
#ifndef OPALSWITCH_MEMBERSHIP_WATCH_LOG_HPP_
#define OPALSWITCH_MEMBERSHIP_WATCH_LOG_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "membership/watch_schedule.hpp"

namespace opalswitch::gateway {

// A call of the discovery service that has ended.
struct EndedCall {
  std::uint64_t number = 0;   // counted from 1 since the start of the process
  Millis ended_at = 0;        // Unix time
  Millis since_previous = 0;  // from the end of the previous call to the start of this one; 0 if they overlap
  Millis elapsed = 0;         // from its start to its end
  Millis wait = 0;            // how long it asked discovery to wait for news
  std::optional<WatchFailure> failure;   // unset if its list was accepted
  std::string detail;                    // an HTTP status or an error text; may be empty
  int consecutive_failures = 0;          // up to and including this call
  std::optional<std::int64_t> revision;  // of the list in effect afterwards
  std::size_t hosts = 0;                 // entries of the accepted list
  Millis unconfirmed_for = 0;            // time before its end for which the list may have been outdated
};

// Returns whether a line about the call is worth writing. True for accepted lists that name hosts or follow a
// failure, for the first failures in a row, and for ever fewer of the later ones.
bool IsNotable(const EndedCall& call);

// Returns the line, such as
//   discovery call=7 at=17.041 ended=timeout gap_ms=100.2 after_ms=3100.4 wait_ms=2500 failures=2
//   revision=40 unconfirmed_ms=8200.5
std::string FormatEndedCall(const EndedCall& call);

// Returns the line about a reloaded configuration, such as
//   discovery address at=15.000 reloaded=10.2.0.1:8500 moved=yes superseded_call_ms=210.4
//   unconfirmed_ms=6500.1
// `superseded_call_for` is the age of the call that the change has superseded, if any.
std::string FormatReloadedAddress(Millis now, const std::string& address, bool has_moved,
                                  std::optional<Millis> superseded_call_for, Millis unconfirmed_for);

// Returns a handler that passes the lines of notable calls to `write_line`.
std::function<void(const EndedCall&)> NotableCallLogger(std::function<void(const std::string&)> write_line);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_WATCH_LOG_HPP_
