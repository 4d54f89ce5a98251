#include "gateway/stop_sequence.hpp"

#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

constexpr Millis kFlush = 200;  // for the last answers to leave

}  // namespace

StopSequence::StopSequence(boost::asio::io_context& io, ClientServer& clients,
                           std::function<void()> fail_rest)
    : clients_(clients), fail_rest_(std::move(fail_rest)), timer_(io) {}

template <typename Next>
void StopSequence::After(Millis wait, Next next) {
  timer_.expires_after(Span(wait));
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
