#include "membership/discovery.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <string>
#include <utility>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "base/socket_writer.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxListBytes = 8 << 20;  // of the body of a response
// Calls to former addresses at a time, each with a descriptor of its own.
constexpr std::size_t kMaxSupersededCalls = 8;

}  // namespace

// One call, with everything that its handlers use: handlers of an abandoned call cannot touch the next one.
struct Discovery::Call {
  explicit Call(asio::io_context& io) : timer(io) { parser.body_limit(kMaxListBytes); }
  Millis started_at = Now();
  Millis sent_at = started_at;           // of the request, once the connection is up
  Millis wait = 0;                       // how long it asks discovery to wait for news
  Millis response_timeout = 0;           // from sending the request to the response's header
  std::optional<std::int64_t> revision;  // known from the same service when it began
  std::shared_ptr<tcp::socket> socket;   // never null once the call has begun; shared with the next call
  asio::steady_timer timer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint address, std::optional<std::int64_t> revision,
                     Handlers handlers, std::uint64_t seed, const WatchTimes& times)
    : io_(io),
      address_(address),
      schedule_(revision, times),
      random_(seed),
      handlers_(std::move(handlers)),
      last_call_ended_at_(Now()),
      confirmed_at_(last_call_ended_at_),
      next_call_timer_(io) {}

void Discovery::Watch() {
  // A second call at a time would only add load to the service, which all gateways share.
  if (std::exchange(is_watching_, true)) return;
  StartCall();
}

void Discovery::WatchAfterDelay() {
  next_call_timer_.expires_after(ToDuration(schedule_.RetryDelay(Uniform())));
  next_call_timer_.async_wait([this, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired()) Watch();
  });
}

// The current call goes on until the new address has delivered a list: in a series of moves that come faster
// than responses, each call would otherwise be discarded by the next move.
void Discovery::SetAddress(const tcp::endpoint& address) {
  const bool has_moved = address != address_;
  const Millis now = Now();
  const std::optional<Millis> superseded_call_for =
      has_moved && call_ ? std::optional(now - call_->started_at) : std::nullopt;
  Log(FormatReloadedAddress(now, FormatEndpoint(address), has_moved, superseded_call_for,
                            now - confirmed_at_));
  if (!has_moved) return;
  address_ = address;
  schedule_.Reset();
  ++address_changes_;
  SupersedeCall();
  is_watching_ = true;
  StartCall();
}

void Discovery::SupersedeCall() {
  if (!call_) return Disconnect();
  superseded_calls_.push_back(std::exchange(call_, nullptr));
  socket_.reset();
  if (superseded_calls_.size() <= kMaxSupersededCalls) return;
  const auto oldest = superseded_calls_.front();
  RemoveSupersededCall(oldest);
}

// Ends the calls to former addresses up to `last`, which has delivered a list; all of them if it is null.
void Discovery::EndSupersededCalls(const std::shared_ptr<Call>& last) {
  while (!superseded_calls_.empty()) {
    const auto ended = superseded_calls_.front();
    superseded_calls_.pop_front();
    Close(*ended);
    if (ended == last) return;
  }
}

bool Discovery::IsSuperseded(const std::shared_ptr<Call>& call) const {
  return std::find(superseded_calls_.begin(), superseded_calls_.end(), call) != superseded_calls_.end();
}

bool Discovery::IsPending(const std::shared_ptr<Call>& call) const {
  return call == call_ || IsSuperseded(call);
}

// The list of a former address is newer than the one in effect, as long as no later call has delivered one.
// The schedule concerns the new address alone.
void Discovery::HandleSupersededResponse(const std::shared_ptr<Call>& call) {
  const auto& response = call->parser.get();
  auto list = response.result() == http::status::ok ? ParseHostList(response.body()) : std::nullopt;
  const bool is_newer = list && (call->revision ? list->revision >= *call->revision : list->complete);
  if (!is_newer) return RemoveSupersededCall(call);
  EndSupersededCalls(call);
  ReportEnd(*call, std::nullopt, "former address", schedule_.consecutive_failures(), &*list);
  handlers_.on_update(std::move(*list));
}

void Discovery::RemoveSupersededCall(const std::shared_ptr<Call>& call) {
  Close(*call);
  std::erase(superseded_calls_, call);
}

void Discovery::Close(Call& call) {
  call.timer.cancel();
  error_code ignored;
  call.socket->close(ignored);
}

// Fails the call with `failure` after `timeout`, unless the timer is set again or cancelled before.
void Discovery::SetTimeout(const std::shared_ptr<Call>& call, Millis timeout, WatchFailure failure) {
  call->timer.expires_after(ToDuration(timeout));
  call->timer.async_wait([this, call, failure, alive = std::weak_ptr(alive_)](error_code ec) {
    if (!ec && !alive.expired()) HandleFailure(call, failure);
  });
}

void Discovery::StartCall() {
  const auto call = call_ = std::make_shared<Call>(io_);
  call->revision = schedule_.revision();
  call->request.method(http::verb::get);
  call->request.target(schedule_.BeginCall(Uniform()));
  call->request.set(http::field::host, address_.address().to_string());
  call->wait = schedule_.wait();
  call->response_timeout = schedule_.ResponseTimeout();
  call->socket = socket_;
  if (socket_ != nullptr) return SendRequest(call);
  SetTimeout(call, schedule_.times().connect_timeout, WatchFailure::kConnectFailed);
  socket_ = call->socket = std::make_shared<tcp::socket>(io_);
  socket_->async_connect(address_, [this, call, alive = std::weak_ptr(alive_)](error_code ec) {
    if (alive.expired() || !IsPending(call)) return;
    if (ec) return HandleFailure(call, WatchFailure::kConnectFailed, ec.message());
    SendRequest(call);
  });
}

void Discovery::SendRequest(const std::shared_ptr<Call>& call) {
  call->sent_at = Now();
  SetTimeout(call, call->response_timeout, WatchFailure::kTimeout);
  error_code ec;
  call->socket->non_blocking(true, ec);
  if (ec) return HandleFailure(call, WatchFailure::kClosed, ec.message());
  std::ostringstream text;
  text << call->request;
  WriteAll(*call->socket, std::make_shared<SocketWriter>(text.str()),
           [this, call, alive = std::weak_ptr(alive_)](error_code write_ec) {
             if (alive.expired() || !IsPending(call)) return;
             if (write_ec) return HandleFailure(call, WatchFailure::kClosed, write_ec.message());
             ReadResponse(call);
           });
}

// A watch may wait for its response header for a long time; the body must follow within a short one.
void Discovery::ReadResponse(const std::shared_ptr<Call>& call) {
  http::async_read_header(
      *call->socket, call->buffer, call->parser,
      [this, call, alive = std::weak_ptr(alive_)](error_code ec, std::size_t) {
        if (alive.expired() || !IsPending(call)) return;
        const bool has_response_bytes = call->parser.got_some() || call->buffer.size() > 0;
        if (ec)
          return HandleFailure(call, has_response_bytes ? WatchFailure::kTruncated : WatchFailure::kClosed,
                               ec.message());
        if (call->parser.is_done()) return HandleResponse(call);
        SetTimeout(call, schedule_.times().body_timeout, WatchFailure::kTruncated);
        http::async_read(*call->socket, call->buffer, call->parser,
                         [this, call, alive](error_code body_ec, std::size_t) {
                           if (alive.expired() || !IsPending(call)) return;
                           if (body_ec) {
                             return HandleFailure(call, WatchFailure::kTruncated, body_ec.message());
                           }
                           HandleResponse(call);
                         });
      });
}

void Discovery::HandleResponse(const std::shared_ptr<Call>& call) {
  if (call != call_) return HandleSupersededResponse(call);
  const auto& response = call->parser.get();
  if (response.result() != http::status::ok) {
    return HandleFailure(call, WatchFailure::kErrorStatus, std::to_string(response.result_int()));
  }
  auto list = ParseHostList(response.body());
  if (!list) return HandleFailure(call, WatchFailure::kMalformed);
  if (!schedule_.AcceptList(*list))
    return HandleFailure(call, WatchFailure::kStaleRevision, std::to_string(list->revision));
  call->timer.cancel();
  call_.reset();
  EndSupersededCalls(nullptr);
  if (!response.keep_alive()) socket_.reset();
  const int failures = schedule_.consecutive_failures();
  Log(schedule_.RecordSuccess(Now() - call->sent_at, !list->hosts.empty()));
  ReportEnd(*call, std::nullopt, "", failures, &*list);
  const std::weak_ptr alive(alive_);
  handlers_.on_update(std::move(*list));
  if (alive.expired()) return;
  // The minimum interval prevents a tight loop on a discovery service that responds at once, such as a local
  // agent that has its lists pushed to it.
  next_call_timer_.expires_after(ToDuration(std::max(
      schedule_.NextCallDelay(Uniform()), schedule_.times().min_call_interval - (Now() - call->started_at))));
  next_call_timer_.async_wait(
      [this, address_changes = address_changes_, alive = std::weak_ptr(alive_)](error_code ec) {
        if (!ec && !alive.expired() && address_changes == address_changes_) StartCall();
      });
}

void Discovery::HandleFailure(const std::shared_ptr<Call>& call, WatchFailure failure,
                              const std::string& detail) {
  if (IsSuperseded(call)) return RemoveSupersededCall(call);
  if (call != call_) return;
  Disconnect();
  Log(schedule_.RecordFailure(failure, Now() - call->sent_at, detail));
  ReportEnd(*call, failure, detail, schedule_.consecutive_failures(), nullptr);
  if (schedule_.ShouldRetryImmediately(failure)) return StartCall();
  is_watching_ = false;
  handlers_.on_failure(schedule_.Retry());
}

void Discovery::Log(const std::optional<std::string>& line) const {
  if (line && handlers_.on_log) handlers_.on_log(*line);
}

void Discovery::ReportEnd(const Call& call, std::optional<WatchFailure> failure, const std::string& detail,
                          int failures, const HostList* list) {
  const Millis now = Now();
  EndedCall ended;
  ended.number = ++calls_ended_;
  ended.ended_at = now;
  // A call to a former address may end after the next one has begun.
  ended.since_previous = std::max(0.0, call.started_at - std::exchange(last_call_ended_at_, now));
  ended.elapsed = now - call.started_at;
  ended.wait = call.wait;
  ended.failure = failure;
  ended.detail = detail;
  ended.consecutive_failures = failures;
  ended.revision = schedule_.revision();
  ended.hosts = list == nullptr ? 0 : list->hosts.size();
  ended.unconfirmed_for = now - confirmed_at_;
  // A watch that discovery itself ends has delivered everything up to then.
  if (!failure || (failure == WatchFailure::kClosed && failures == 1)) confirmed_at_ = now;
  if (handlers_.on_call_ended) handlers_.on_call_ended(ended);
}

// Abandons the call and closes the connection. Handlers still pending see that their call is not the current
// one.
void Discovery::Disconnect() {
  if (call_) call_->timer.cancel();
  call_.reset();
  if (!socket_) return;
  error_code ignored;
  socket_->close(ignored);
  socket_.reset();
}

}  // namespace opalswitch::gateway
