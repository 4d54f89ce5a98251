#include "membership/discovery.hpp"

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

constexpr Millis kWait = 5000;  // how long one call of the watch may wait: a cut-off shows only after it
constexpr Millis kSilence =
    4000;                       // beyond that (a new watch waits its turn): a call unanswered by then failed
constexpr Millis kDial = 1000;  // a discovery that is cut off never answers a dial
constexpr Millis kCallGap = 100;  // least time from call to call; the watch lapses after 200
constexpr std::size_t kMostList = 8 << 20;

}  // namespace

// One call and all that its handlers use, so that those of a call given up touch nothing of the next.
struct Discovery::Call {
  explicit Call(asio::io_context& io) : timer(io) { parser.body_limit(kMostList); }
  Millis begun = Now();
  asio::steady_timer timer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint address, std::optional<std::int64_t> revision,
                     Handlers handlers)
    : io_(io), address_(address), revision_(revision), handlers_(std::move(handlers)), pause_(io) {}

void Discovery::Watch() {
  if (std::exchange(watching_, true)) return;  // asking again would be one more call on a shared service
  Ask();
}

void Discovery::Move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  revision_.reset();
  ++moves_;
  Drop();
  watching_ = true;
  Ask();
}

void Discovery::Ask() {
  const auto call = call_ = std::make_shared<Call>(io_);
  const bool fresh = socket_ == nullptr;
  call->timer.expires_after(Span(fresh ? kDial : kWait + kSilence));
  call->timer.async_wait([this, call, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired()) Fail(call);
  });
  if (!fresh) return Connected(call);
  socket_ = std::make_shared<tcp::socket>(io_);
  socket_->async_connect(address_,
                         [this, call, socket = socket_, alive = std::weak_ptr(alive_)](error_code ec) {
                           if (alive.expired() || call != call_) return;
                           if (ec) return Fail(call);
                           call->timer.expires_after(Span(kWait + kSilence));
                           call->timer.async_wait([this, call, alive](error_code timer_ec) {
                             if (!timer_ec && !alive.expired()) Fail(call);
                           });
                           Connected(call);
                         });
}

void Discovery::Connected(const std::shared_ptr<Call>& call) {
  call->request.method(http::verb::get);
  std::string target = "/discovery/hosts";
  if (revision_) {
    target += "?after=" + std::to_string(*revision_) + "&wait_ms=" + std::to_string(static_cast<int>(kWait));
  }
  call->request.target(target);
  call->request.set(http::field::host, address_.address().to_string());
  const auto read = [this, call, socket = socket_, alive = std::weak_ptr(alive_)](error_code ec,
                                                                                  std::size_t) {
    if (alive.expired() || call != call_) return;
    ec ? Fail(call) : Answered(call);
  };
  http::async_write(
      *socket_, call->request,
      [this, call, socket = socket_, alive = std::weak_ptr(alive_), read](error_code ec, std::size_t) {
        if (alive.expired() || call != call_) return;
        if (ec) return Fail(call);
        http::async_read(*socket, call->buffer, call->parser, read);
      });
}

void Discovery::Answered(const std::shared_ptr<Call>& call) {
  const auto& answer = call->parser.get();
  auto list = answer.result() == http::status::ok ? ParseHostList(answer.body()) : std::nullopt;
  if (!list) return Fail(call);
  call->timer.cancel();
  call_.reset();
  if (!answer.keep_alive()) socket_.reset();
  revision_ = list->revision;
  const std::weak_ptr alive(alive_);
  handlers_.told(std::move(*list));
  if (alive.expired()) return;
  // A discovery that answers at once, as an agent with pushed lists does, must not be asked in a tight loop.
  pause_.expires_after(Span(kCallGap - (Now() - call->begun)));
  pause_.async_wait([this, moves = moves_, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired() && moves == moves_) Ask();
  });
}

void Discovery::Fail(const std::shared_ptr<Call>& call) {
  if (call != call_) return;
  Drop();
  watching_ = false;
  handlers_.failed();
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
