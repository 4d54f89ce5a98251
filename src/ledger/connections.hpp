// Counts how client connections end and what failed on them, and formats the counts as log lines. No I/O, no
// clock.
#ifndef OPALSWITCH_LEDGER_CONNECTIONS_HPP_
#define OPALSWITCH_LEDGER_CONNECTIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "opalswitch/policy.hpp"

namespace opalswitch::ledger {

// Why a client connection was closed.
enum class ConnectionEnd {
  kClientClosed,  // the client shut down its sending side
  kReadFailed,    // reset by the client, or broken
  kWriteFailed,   // the same, while a response was written
  kResponded,     // after a response that announced the close
  kIdleTimeout,   // no request in time
  kWriteTimeout,  // the client did not receive a response in time
  kEvicted,       // to make room for another connection
  kDrained,       // idle when the gateway began to drain
  kSetupFailed,   // the socket could not be configured
};

// Returns the name of an end as used in log lines.
const char* ConnectionEndName(ConnectionEnd end);

class ConnectionRecorder {
 public:
  // Minimum interval between two log lines. Nothing is logged unless something unusual has happened.
  static constexpr Millis kLogIntervalMs = 1000;

  void RecordAccept() { ++accepted_; }
  // Records a failed accept() by the name of its error.
  void RecordAcceptFailure(const std::string& error);
  // Records the end of a connection. `error`: the name of the failure that ended it; empty if none did.
  // `loses_request`: a request on it was in progress, or its response was not written.
  void RecordEnd(ConnectionEnd end, std::string_view error, bool loses_request);
  // Records a wait for readability that ended although the socket had no input.
  void RecordWakeupWithoutInput();

  // Returns and resets the counts since the last line, if kLogIntervalMs has passed and something unusual
  // has happened: anything but connections that ended between requests in the ordinary way.
  //   connections at=17.0 open=12 accepted=5 closed.client=3 closed.read_failed.ECONNRESET=1
  //   requests_lost=2 wakeups_without_input=1 accept.EMFILE=1
  std::optional<std::string> TakeLogLine(Millis now, std::size_t open_connections);

 private:
  std::uint64_t accepted_ = 0, requests_lost_ = 0, wakeups_without_input_ = 0;
  std::map<std::string, std::uint64_t> ends_;             // by reason and error, a closed set
  std::map<std::string, std::uint64_t> accept_failures_;  // by error, a closed set
  Millis line_taken_at_ = 0;
  bool is_notable_ = false;
};

}  // namespace opalswitch::ledger

#endif  // OPALSWITCH_LEDGER_CONNECTIONS_HPP_
