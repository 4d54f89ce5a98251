#include "gateway/stop_sequence.hpp"

#include <algorithm>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

constexpr Millis kFlushMs = 200;                // for the last responses to be sent
constexpr Millis kMaxCountedDeadlineMs = 3000;  // longer deadlines don't extend the platform's grace period
// From the longest deadline to failing the pending requests: 400 ms before the platform kills the process.
constexpr Millis kFailPendingAfterDeadlineMs = 300;

}  // namespace

StopTimes StopTimes::ForSettings(const Settings& settings) {
  Millis longest_deadline = 0;
  for (const ClassSettings& c : settings.classes) longest_deadline = std::max(longest_deadline, c.deadline);
  longest_deadline = std::min(longest_deadline, kMaxCountedDeadlineMs);
  StopTimes times;
  const Millis drain_to_fail = times.fail_pending - times.drain;
  times.fail_pending = longest_deadline + kFailPendingAfterDeadlineMs;
  times.drain = times.fail_pending - drain_to_fail * longest_deadline / kMaxCountedDeadlineMs;
  times.stop_listening = std::min(times.stop_listening, times.drain);
  return times;
}

StopSequence::StopSequence(boost::asio::io_context& io, HttpServer& http_server,
                           std::function<void()> fail_pending)
    : http_server_(http_server), fail_pending_(std::move(fail_pending)), timer_(io) {}

template <typename Next>
void StopSequence::RunAfter(Millis wait, Next next) {
  timer_.expires_after(ToDuration(wait));
  timer_.async_wait([next = std::move(next)](boost::system::error_code ec) {
    if (!ec) next();
  });
}

void StopSequence::Begin(std::function<void()> done, const StopTimes& times) {
  if (std::exchange(has_begun_, true)) return;
  RunAfter(times.stop_listening, [this, times, done] {
    http_server_.StopListening();
    RunAfter(times.drain - times.stop_listening, [this, times, done] {
      http_server_.Drain(done);
      RunAfter(times.fail_pending - times.drain, [this, done] {
        http_server_.RefuseRequests();  // first: a request may follow one that is failed
        fail_pending_();
        RunAfter(kFlushMs, done);
      });
    });
  });
}

}  // namespace opalswitch::gateway
