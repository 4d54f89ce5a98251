// Tests of the connection recorder's log lines and of the limit on lines about single events.
#include "ledger/connections.hpp"

#include <gtest/gtest.h>

#include "limits/log_throttle.hpp"

namespace opalswitch::testing {
namespace {

using ledger::ConnectionEnd;

// Guards against ends of connections that are missing from the line or logged twice.
TEST(ConnectionRecorder, LogsEachEndOnceByReason) {
  ledger::ConnectionRecorder recorder;
  recorder.RecordAccept();
  recorder.RecordAccept();
  recorder.RecordEnd(ConnectionEnd::kClientClosed, "", /*loses_request=*/true);
  recorder.RecordEnd(ConnectionEnd::kReadFailed, "ECONNRESET", /*loses_request=*/false);
  recorder.RecordEnd(ConnectionEnd::kReadFailed, "ECONNRESET", /*loses_request=*/false);
  recorder.RecordWakeupWithoutInput();
  recorder.RecordAcceptFailure("EMFILE");
  EXPECT_FALSE(recorder.TakeLogLine(900, 3)) << "at most one line a second";
  EXPECT_EQ(recorder.TakeLogLine(2000, 3),
            "connections at=2.0 open=3 accepted=2 closed.client=1 closed.read_failed.ECONNRESET=2 "
            "requests_lost=1 wakeups_without_input=1 accept.EMFILE=1");
  EXPECT_FALSE(recorder.TakeLogLine(3000, 3)) << "logged twice";
}

// Guards against lines while connections only come and go, and against those missing from the next line.
TEST(ConnectionRecorder, LogsNothingWhileConnectionsEndInTheOrdinaryWay) {
  ledger::ConnectionRecorder recorder;
  for (const auto end : {ConnectionEnd::kClientClosed, ConnectionEnd::kResponded, ConnectionEnd::kIdleTimeout,
                         ConnectionEnd::kDrained}) {
    recorder.RecordEnd(end, "", /*loses_request=*/false);
  }
  EXPECT_FALSE(recorder.TakeLogLine(2000, 0));
  recorder.RecordEnd(ConnectionEnd::kWriteFailed, "EPIPE", /*loses_request=*/true);
  EXPECT_EQ(recorder.TakeLogLine(3000, 0),
            "connections at=3.0 open=0 accepted=0 closed.client=1 closed.drained=1 closed.idle=1 "
            "closed.responded=1 closed.write_failed.EPIPE=1 requests_lost=1");
}

// Guards against an end without a name.
TEST(ConnectionRecorder, EveryEndHasAName) {
  for (int end = 0; end <= static_cast<int>(ConnectionEnd::kSetupFailed); ++end) {
    EXPECT_STRNE(ledger::ConnectionEndName(static_cast<ConnectionEnd>(end)), "unknown") << end;
  }
}

// Guards the log's size against many events in a second, and their number against being forgotten.
TEST(LogThrottle, SuppressesLinesBeyondTheLimitAndCountsThem) {
  limits::LogThrottle throttle;
  for (int i = 0; i < limits::LogThrottle::kMaxLinesPerPeriod; ++i) EXPECT_EQ(throttle.Admit(5), 0u);
  EXPECT_EQ(throttle.Admit(5), std::nullopt);
  EXPECT_EQ(throttle.Admit(900), std::nullopt);
  EXPECT_EQ(throttle.Admit(5 + limits::LogThrottle::kPeriodMs), 2u);
  EXPECT_EQ(throttle.Admit(5 + limits::LogThrottle::kPeriodMs), 0u);
}

}  // namespace
}  // namespace opalswitch::testing
