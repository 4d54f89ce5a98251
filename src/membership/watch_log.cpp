#include "membership/watch_log.hpp"

#include <bit>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

// Failures in a row of which each one is logged; then only the 16th, 32nd and so on.
constexpr int kMaxFailuresLoggedEach = 8;

const char* FailureName(WatchFailure failure) {
  switch (failure) {
    case WatchFailure::kConnectFailed: return "connect_failed";
    case WatchFailure::kTimeout: return "timeout";
    case WatchFailure::kClosed: return "closed";
    case WatchFailure::kTruncated: return "truncated";
    case WatchFailure::kErrorStatus: return "error_status";
    case WatchFailure::kMalformed: return "malformed";
    case WatchFailure::kStaleRevision: return "stale_revision";
  }
  return "unknown";
}

}  // namespace

bool IsNotable(const EndedCall& call) {
  if (!call.failure) return call.hosts > 0 || call.consecutive_failures > 0;
  const auto failures = static_cast<unsigned>(call.consecutive_failures);
  return call.consecutive_failures <= kMaxFailuresLoggedEach || std::has_single_bit(failures);
}

std::string FormatEndedCall(const EndedCall& call) {
  std::ostringstream line;
  line << "discovery call=" << call.number << " at=" << FormatSeconds(call.ended_at) << std::fixed
       << std::setprecision(1) << " ended=" << (call.failure ? FailureName(*call.failure) : "list")
       << " gap_ms=" << call.since_previous << " after_ms=" << call.elapsed
       << " wait_ms=" << std::llround(call.wait) << " failures=" << call.consecutive_failures;
  if (call.revision) line << " revision=" << *call.revision;
  if (!call.failure) line << " hosts=" << call.hosts;
  line << " unconfirmed_ms=" << call.unconfirmed_for;
  if (!call.detail.empty()) line << " detail=\"" << call.detail << '"';
  return line.str();
}

std::string FormatReloadedAddress(Millis now, const std::string& address, bool has_moved,
                                  std::optional<Millis> superseded_call_for, Millis unconfirmed_for) {
  std::ostringstream line;
  line << "discovery address at=" << FormatSeconds(now) << " reloaded=" << address
       << " moved=" << (has_moved ? "yes" : "no") << std::fixed << std::setprecision(1);
  if (superseded_call_for) line << " superseded_call_ms=" << *superseded_call_for;
  line << " unconfirmed_ms=" << unconfirmed_for;
  return line.str();
}

std::function<void(const EndedCall&)> NotableCallLogger(std::function<void(const std::string&)> write_line) {
  return [write_line = std::move(write_line)](const EndedCall& call) {
    if (IsNotable(call)) write_line(FormatEndedCall(call));
  };
}

}  // namespace opalswitch::gateway
