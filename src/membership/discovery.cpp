#include "membership/discovery.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostList = 8 << 20;

}  // namespace

// One call and all that its handlers use, so that those of a call given up touch nothing of the next.
struct Discovery::Call {
  explicit Call(asio::io_context& io) : timer(io) { parser.body_limit(kMostList); }
  Millis begun = Now(), asked = begun;  // the call, and its request on a connection that is up
  asio::steady_timer timer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint address, std::optional<std::int64_t> revision,
                     Handlers handlers, std::uint64_t seed, const WatchTimes& times)
    : io_(io),
      address_(address),
      pace_(revision, times),
      random_(seed),
      handlers_(std::move(handlers)),
      pause_(io) {}

void Discovery::Watch() {
  if (std::exchange(watching_, true)) return;  // asking again would be one more call on a shared service
  Ask();
}

void Discovery::WatchLater() {
  pause_.expires_after(ToDuration(pace_.RetryGap(Uniform())));
  pause_.async_wait([this, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired()) Watch();
  });
}

void Discovery::SetAddress(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  pace_.Moved();
  ++moves_;
  Drop();
  watching_ = true;
  Ask();
}

// The call has failed unless its next step comes within `time`.
void Discovery::Allow(const std::shared_ptr<Call>& call, Millis time, WatchFailure fault) {
  call->timer.expires_after(ToDuration(time));
  call->timer.async_wait([this, call, fault, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired()) Fail(call, fault);
  });
}

void Discovery::Ask() {
  const auto call = call_ = std::make_shared<Call>(io_);
  if (socket_ != nullptr) return Connected(call);
  Allow(call, pace_.times().dial, WatchFailure::kDial);
  socket_ = std::make_shared<tcp::socket>(io_);
  socket_->async_connect(address_,
                         [this, call, socket = socket_, alive = std::weak_ptr(alive_)](error_code ec) {
                           if (alive.expired() || call != call_) return;
                           if (ec) return Fail(call, WatchFailure::kDial, ec.message());
                           Connected(call);
                         });
}

void Discovery::Connected(const std::shared_ptr<Call>& call) {
  call->asked = Now();
  call->request.method(http::verb::get);
  call->request.target(pace_.Begin(Uniform()));
  Allow(call, pace_.Patience(), WatchFailure::kSilent);
  call->request.set(http::field::host, address_.address().to_string());
  http::async_write(
      *socket_, call->request,
      [this, call, socket = socket_, alive = std::weak_ptr(alive_)](error_code ec, std::size_t) {
        if (alive.expired() || call != call_) return;
        if (ec) return Fail(call, WatchFailure::kEnded, ec.message());
        Read(call);
      });
}

// A watch may be silent for long, but an answer that has begun comes whole at once or never.
void Discovery::Read(const std::shared_ptr<Call>& call) {
  http::async_read_header(
      *socket_, call->buffer, call->parser,
      [this, call, socket = socket_, alive = std::weak_ptr(alive_)](error_code ec, std::size_t) {
        if (alive.expired() || call != call_) return;
        const bool begun = call->parser.got_some() || call->buffer.size() > 0;
        if (ec) return Fail(call, begun ? WatchFailure::kBroken : WatchFailure::kEnded, ec.message());
        if (call->parser.is_done()) return Answered(call);
        Allow(call, pace_.times().rest, WatchFailure::kBroken);
        http::async_read(*socket, call->buffer, call->parser,
                         [this, call, socket, alive](error_code body_ec, std::size_t) {
                           if (alive.expired() || call != call_) return;
                           body_ec ? Fail(call, WatchFailure::kBroken, body_ec.message()) : Answered(call);
                         });
      });
}

void Discovery::Answered(const std::shared_ptr<Call>& call) {
  const auto& answer = call->parser.get();
  if (answer.result() != http::status::ok) {
    return Fail(call, WatchFailure::kStatus, std::to_string(answer.result_int()));
  }
  auto list = ParseHostList(answer.body());
  if (!list) return Fail(call, WatchFailure::kUnreadable);
  if (!pace_.Takes(*list)) return Fail(call, WatchFailure::kOlder, std::to_string(list->revision));
  call->timer.cancel();
  call_.reset();
  if (!answer.keep_alive()) socket_.reset();
  Note(pace_.Succeeded(Now() - call->asked, !list->hosts.empty()));
  const std::weak_ptr alive(alive_);
  handlers_.on_update(std::move(*list));
  if (alive.expired()) return;
  // A discovery that answers at once, as an agent with pushed lists does, must not be asked in a tight loop.
  pause_.expires_after(
      ToDuration(std::max(pace_.Pause(Uniform()), pace_.times().least_gap - (Now() - call->begun))));
  pause_.async_wait([this, moves = moves_, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired() && moves == moves_) Ask();
  });
}

void Discovery::Fail(const std::shared_ptr<Call>& call, WatchFailure fault, const std::string& detail) {
  if (call != call_) return;
  Drop();
  Note(pace_.Failed(fault, Now() - call->asked, detail));
  if (pace_.AgainAtOnce(fault)) return Ask();
  watching_ = false;
  handlers_.on_failure();
}

void Discovery::Note(const std::optional<std::string>& line) const {
  if (line && handlers_.on_log) handlers_.on_log(*line);
}

// Ends the call and the connection; whatever of them is still on its way finds that it is not the current
// one.
void Discovery::Drop() {
  if (call_) call_->timer.cancel();
  call_.reset();
  if (!socket_) return;
  error_code ignored;
  socket_->close(ignored);
  socket_.reset();
}

}  // namespace opalswitch::gateway
