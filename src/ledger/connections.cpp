#include "ledger/connections.hpp"

#include <cstdio>

namespace opalswitch::ledger {
namespace {

bool IsOrdinary(ConnectionEnd end) {
  return end == ConnectionEnd::kClientClosed || end == ConnectionEnd::kResponded ||
         end == ConnectionEnd::kIdleTimeout || end == ConnectionEnd::kDrained;
}

}  // namespace

const char* ConnectionEndName(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kClientClosed: return "client";
    case ConnectionEnd::kReadFailed: return "read_failed";
    case ConnectionEnd::kWriteFailed: return "write_failed";
    case ConnectionEnd::kResponded: return "responded";
    case ConnectionEnd::kIdleTimeout: return "idle";
    case ConnectionEnd::kWriteTimeout: return "write_timeout";
    case ConnectionEnd::kEvicted: return "evicted";
    case ConnectionEnd::kDrained: return "drained";
    case ConnectionEnd::kSetupFailed: return "setup_failed";
  }
  return "unknown";
}

void ConnectionRecorder::RecordAcceptFailure(const std::string& error) {
  ++accept_failures_[error];
  is_notable_ = true;
}

void ConnectionRecorder::RecordEnd(ConnectionEnd end, std::string_view error, bool loses_request) {
  std::string reason = ConnectionEndName(end);
  if (!error.empty()) reason.append(".").append(error);
  ++ends_[reason];
  requests_lost_ += loses_request ? 1 : 0;
  is_notable_ = is_notable_ || loses_request || !IsOrdinary(end);
}

void ConnectionRecorder::RecordWakeupWithoutInput() {
  ++wakeups_without_input_;
  is_notable_ = true;
}

std::optional<std::string> ConnectionRecorder::TakeLogLine(Millis now, std::size_t open_connections) {
  if (!is_notable_ || now < line_taken_at_ + kLogIntervalMs) return std::nullopt;
  char at[32];
  std::snprintf(at, sizeof at, "%.1f", now / 1000);
  std::string line = std::string("connections at=") + at + " open=" + std::to_string(open_connections) +
                     " accepted=" + std::to_string(accepted_);
  for (const auto& [reason, count] : ends_) line += " closed." + reason + "=" + std::to_string(count);
  if (requests_lost_ > 0) line += " requests_lost=" + std::to_string(requests_lost_);
  if (wakeups_without_input_ > 0) line += " wakeups_without_input=" + std::to_string(wakeups_without_input_);
  for (const auto& [error, count] : accept_failures_)
    line += " accept." + error + "=" + std::to_string(count);
  *this = ConnectionRecorder();
  line_taken_at_ = now;
  return line;
}

}  // namespace opalswitch::ledger
