#include "gateway/stop_sequence.hpp"

#include <algorithm>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

constexpr Millis kFlush = 200;     // for the last answers to leave
constexpr Millis kLongest = 3000;  // of a deadline, as the platform's grace counts it
constexpr Millis kBeyond = 300;    // from the longest deadline to the last answer: 400 ms before the end

}  // namespace

StopTimes StopTimes::Within(const Settings& settings) {
  Millis longest = 0;
  for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
  longest = std::min(longest, kLongest);
  StopTimes times;
  const Millis answered_last = times.answer - times.serve;
  times.answer = longest + kBeyond;
  times.serve = times.answer - answered_last * longest / kLongest;
  times.accept = std::min(times.accept, times.serve);
  return times;
}

StopSequence::StopSequence(boost::asio::io_context& io, HttpServer& clients, std::function<void()> fail_rest)
    : clients_(clients), fail_rest_(std::move(fail_rest)), timer_(io) {}

template <typename Next>
void StopSequence::After(Millis wait, Next next) {
  timer_.expires_after(ToDuration(wait));
  timer_.async_wait([next = std::move(next)](boost::system::error_code ec) {
    if (!ec) next();
  });
}

void StopSequence::Begin(std::function<void()> done, const StopTimes& times) {
  if (std::exchange(begun_, true)) return;
  After(times.accept, [this, times, done] {
    clients_.StopListening();
    After(times.serve - times.accept, [this, times, done] {
      clients_.Drain(done);
      After(times.answer - times.serve, [this, done] {
        fail_rest_();
        After(kFlush, done);
      });
    });
  });
}

}  // namespace opalswitch::gateway
