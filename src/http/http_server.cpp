#include "http/http_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/socket_error.hpp"
#include "base/socket_input.hpp"
#include "base/socket_writer.hpp"
#include "gateway/pool.hpp"
#include "http/message_rules.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using ledger::ConnectionEnd;
using tcp = asio::ip::tcp;

constexpr Millis kTimeoutCheckIntervalMs = 200;
constexpr Millis kDisconnectPollMs = 25;                // no attempt may begin 100 ms after a disconnect
constexpr std::size_t kMaxReadBufferBytes = 24 * 1024;  // holds a whole header; bodies pass through in parts
constexpr std::size_t kMaxIdleBufferBytes = 4096;       // kept by a connection between requests
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // read and dropped from a client while lingering
constexpr Millis kNoMemoryRetryAfterMs = 1000;          // Retry-After if the memory for bodies is used up
constexpr Millis kMaxCloseListenerMs = 200;             // for emptying its queue
constexpr int kImmediateAcceptRetries = 3;              // after failed accepts in a row
constexpr Millis kFirstAcceptRetryDelayMs = 1;
constexpr Millis kMaxAcceptRetryDelayMs = 50;  // while accepts go on failing, for example without descriptors

}  // namespace

// One client connection. Serves one request at a time: pipelined input stays in the socket or the read buffer
// until the response to the current request is written. Detects clients that disconnect while a request is in
// progress.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& server, std::string listener, tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    origin_.listener = std::move(listener);
    error_code ec;
    const auto peer = socket_.remote_endpoint(ec);
    if (!ec) origin_.client = peer.address();
  }

  void Start() {
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    if (ec) return Close(ConnectionEnd::kSetupFailed, ec);
    PrepareParser();
    ContinueReading();
  }

  // Between requests and without unread input, so closing loses no request.
  bool IsIdle() {
    error_code ec;
    return phase_ == Phase::kReading && !HasPartialRequest() && socket_.available(ec) == 0;
  }
  Millis phase_started_at() const { return phase_started_at_; }

  // Ends the reading of requests: reads on as long as there is input, so that all whole requests are
  // answered, then refuses the request that has begun or closes the idle connection. A connection that has
  // had no request yet is kept: its first one may be on its way.
  void FinishReading() {
    if (phase_ != Phase::kReading) return;
    if (std::exchange(is_read_paused_, false) && buffer_.size() > 0) return ContinueReading();
    error_code ec;
    if (socket_.available(ec) > 0) return ReadInput();
    if (HasPartialRequest()) return RespondAndClose(StoppingReply());
    if (responses_sent_ > 0) Close(ConnectionEnd::kDrained);
  }

  // A new connection gets some time for its first request to arrive: a client whose connection is closed at
  // once would only connect again.
  EvictionPriority eviction_priority(Millis now) const {
    if (phase_ == Phase::kLingering) return EvictionPriority::kLingering;
    if (phase_ != Phase::kReading || (HasPartialRequest() && responses_sent_ > 0))
      return EvictionPriority::kNotEvictable;
    if (responses_sent_ > 0) return EvictionPriority::kIdle;
    if (now - phase_started_at_ < server_.limits_.new_connection_grace)
      return HasPartialRequest() ? EvictionPriority::kNewPartialRequest : EvictionPriority::kNew;
    return HasPartialRequest() ? EvictionPriority::kPartialRequest : EvictionPriority::kNoRequest;
  }
  // Whether closing loses no request: the socket must hold no unread input, which might be a whole request.
  bool IsEvictable() {
    error_code ec;
    return phase_ == Phase::kLingering || (phase_ == Phase::kReading && socket_.available(ec) == 0);
  }

  // `error`: the failure that ends the connection, if one does.
  void Close(ConnectionEnd end, const error_code& error = {}) {
    const Phase phase = std::exchange(phase_, Phase::kClosed);
    if (phase == Phase::kClosed) return;
    const bool loses_request = phase == Phase::kAwaitingResponse || phase == Phase::kWriting;
    server_.connection_recorder_.RecordEnd(end, error ? ErrorName(error) : "", loses_request);
    if (loses_request) server_.LogLostRequest(request_id_, end, error, Now() - phase_started_at_);
    error_code ignored;
    socket_.close(ignored);
    ReleaseReservations();
    server_.OnSessionClosed(shared_from_this());
  }

  void CheckTimeouts(Millis now) {
    const HttpServerLimits& limits = server_.limits_;
    if (phase_ == Phase::kReading) {
      if (HasPartialRequest() && request_started_at_ == 0)
        request_started_at_ = responses_sent_ == 0 ? phase_started_at_ : now;
      if (request_started_at_ > 0 && now - request_started_at_ > limits.request_timeout) {
        return RespondAndClose({http::status::request_timeout, "the request is not whole"});
      }
      if (now - phase_started_at_ >
              (responses_sent_ == 0 ? limits.first_request_timeout : limits.idle_timeout) &&
          IsIdle())
        Close(ConnectionEnd::kIdleTimeout);
    } else if (phase_ == Phase::kWriting && now - phase_started_at_ > limits.write_timeout) {
      Close(ConnectionEnd::kWriteTimeout);
    } else if (phase_ == Phase::kLingering && now - phase_started_at_ > limits.linger_timeout) {
      Close(ConnectionEnd::kResponded);
    }
  }

 private:
  enum class Phase { kReading, kAwaitingResponse, kWriting, kLingering, kClosed };

  void EnterPhase(Phase phase) {
    phase_ = phase;
    phase_started_at_ = Now();
    request_started_at_ = 0;
  }

  bool HasPartialRequest() const { return buffer_.size() > 0 || parser_->got_some(); }

  void PrepareParser() {
    request_id_.clear();
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // set once the header is read
    parser_->header_limit(kMaxHeaderBytes);
  }

  // Whether the header or, once that is validated, the whole request has been parsed.
  bool IsParsed() const { return parser_->eager() ? parser_->is_done() : parser_->is_header_done(); }

  error_code ParseBuffer() {
    error_code ec;
    while (!ec && !IsParsed()) {
      if (buffer_.size() == 0) return http::error::need_more;
      buffer_.consume(parser_->put(buffer_.data(), ec));
    }
    return ec;
  }

  // Parses the buffered input and, unless that suffices, waits for more. While a request is incomplete only
  // this wait is pending, which uses neither the parser nor the buffer: the request may be answered, and both
  // be destroyed, before the input arrives.
  void ContinueReading() {
    const error_code ec = ParseBuffer();
    if (!ec) return parser_->eager() ? OnBodyRead() : OnHeaderRead();
    if (ec != http::error::need_more) return HandleParseError(ec);
    if (buffer_.size() == buffer_.max_size()) return HandleParseError(http::error::buffer_overflow);
    const bool awaits_first_request = responses_sent_ == 0 && !HasPartialRequest();
    if (server_.is_refusing_ && !awaits_first_request) return FinishReading();
    WaitForInput();
  }

  void WaitForInput() {
    ResetArrivalIfNotWhole();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (self->phase_ != Phase::kReading) return;
      if (ec) return self->Close(ConnectionEnd::kReadFailed, ec);
      if (self->is_read_paused_) return self->OnInputDuringPause();
      self->ReadInput();
    });
  }

  // A request's time counts from its last byte, which is yet to come if all input has been read.
  void ResetArrivalIfNotWhole() {
    error_code ec;
    if (next_request_received_at_ > 0 && socket_.available(ec) == 0) next_request_received_at_ = 0;
  }

  void ReadInput() {
    error_code ec;
    const std::size_t size = boost::beast::read_size(buffer_, kMaxReadBufferBytes);
    const std::size_t bytes_read = socket_.read_some(buffer_.prepare(size), ec);
    if (ec == asio::error::would_block) server_.connection_recorder_.RecordWakeupWithoutInput();
    if (IsTransient(ec)) return WaitForInput();
    if (ec) return CloseAfterReadError(ec);
    buffer_.commit(bytes_read);
    ContinueReading();
  }

  void CloseAfterReadError(const error_code& ec) {
    if (ec == asio::error::eof) return Close(ConnectionEnd::kClientClosed);
    Close(ConnectionEnd::kReadFailed, ec);
  }

  // Puts the reading of the next request off. Input that comes meanwhile stays in the socket, but the time of
  // its arrival is noted, from which the request's time counts.
  void PauseReading(Millis pause) {
    is_read_paused_ = true;
    if (buffer_.size() == 0) {
      WaitForInput();
    } else if (next_request_received_at_ == 0) {
      next_request_received_at_ = Now();
    }
    const auto timer = std::make_shared<asio::steady_timer>(server_.io_, ToDuration(pause));
    timer->async_wait([self = shared_from_this(), timer](error_code) { self->ResumeReading(); });
  }

  void OnInputDuringPause() {
    if (HasPeerClosed(socket_)) return Close(ConnectionEnd::kClientClosed);
    if (PeekInput(socket_).state == SocketInput::State::kNone) return WaitForInput();
    if (next_request_received_at_ == 0) next_request_received_at_ = Now();
  }

  void ResumeReading() {
    if (phase_ != Phase::kReading || !std::exchange(is_read_paused_, false)) return;
    if (buffer_.size() > 0) return ContinueReading();
    if (next_request_received_at_ > 0) ReadInput();
    // Else a wait for input is pending.
  }

  // Validates, routes and admits the request before its body is read, so that refused requests use no memory
  // for bodies.
  void OnHeaderRead() {
    const HttpRequest& head = parser_->get();
    if (HasTooManyFields(head)) return HandleParseError(http::error::header_limit);
    if (const auto reply = ValidateMessage(head, target_)) return RespondAndClose(*reply);
    ClientRequest& request = request_.emplace();
    is_health_check_ = !server_.health_path_.empty() && target_.path == server_.health_path_ &&
                       head.method() == http::verb::get;
    if (!is_health_check_) {
      const auto reply = server_.handlers_.admit(head, target_, origin_, request);
      read_throttle_ = request.read_throttle;
      if (reply) {
        if (!reply->keep_connection || !parser_->is_done()) return RespondAndClose(*reply);
        keep_alive_ = head.keep_alive();
        http_version_ = head.version();
        return SendResponse(ToResponse(*reply));
      }
    }
    if (parser_->is_done()) return SubmitRequest();
    const auto length = parser_->content_length();
    if (length && *length > request.max_body_bytes) return HandleParseError(http::error::body_limit);
    const std::uint64_t body_bytes = length ? *length : request.max_body_bytes;
    if (!server_.ReserveBody(body_bytes, reserved_body_bytes_) ||
        (request.reserve_body && !request.reserve_body(body_bytes))) {
      return RespondAndClose(
          {http::status::service_unavailable, "no memory for the body", kNoMemoryRetryAfterMs, {}, "memory"});
    }
    parser_->body_limit(request.max_body_bytes);
    parser_->eager(true);
    ContinueReading();
  }

  void HandleParseError(error_code ec) {
    const bool is_body_too_large = ec == http::error::body_limit;
    const bool is_header_too_large = ec == http::error::header_limit || ec == http::error::buffer_overflow;
    RespondAndClose({is_body_too_large     ? http::status::payload_too_large
                     : is_header_too_large ? http::status::request_header_fields_too_large
                                           : http::status::bad_request,
                     ec.message()});
  }

  // A chunked body may have brought further fields, as trailers.
  void OnBodyRead() {
    if (HasTooManyFields(parser_->get())) return HandleParseError(http::error::header_limit);
    SubmitRequest();
  }

  void SubmitRequest() {
    HttpRequest http = parser_->release();
    keep_alive_ = http.keep_alive();
    http_version_ = http.version();
    const Millis buffered_at = std::exchange(next_request_received_at_, 0);
    if (is_health_check_) {
      const bool ready = server_.handlers_.is_ready();
      return SendResponse(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11));
    }
    is_head_request_ = http.method() == http::verb::head;
    if (server_.is_refusing_) return SendResponse(ToResponse(StoppingReply()));
    // Reading may have been put off, so the client may have left since it sent the request.
    if (HasPeerClosed(socket_)) return Close(ConnectionEnd::kClientClosed);
    NormalizeRequest(http, target_);
    ClientRequest& request = *request_;
    request.http = std::move(http);
    request.received = buffered_at > 0 ? buffered_at : Now();
    request.respond = [weak = weak_from_this(), request_number = ++request_number_](HttpResponse response) {
      const auto self = weak.lock();
      if (self && self->request_number_ == request_number && self->phase_ == Phase::kAwaitingResponse)
        self->SendResponse(std::move(response));
    };
    request_id_ = request.id;
    pool_ = request.pool;
    EnterPhase(Phase::kAwaitingResponse);
    if (buffer_.size() > 0)
      next_request_received_at_ = request.received;  // it was read together with this one
    WatchForDisconnect();
    const auto pool = pool_;  // the response may be sent during Submit(), which resets pool_
    ClientRequest submitted = std::move(*request_);
    request_.reset();
    pool->Submit(std::move(submitted));
  }

  // Waits for the client to disconnect or to send more while its request is in progress. Nothing is read:
  // further input stays in the socket and uses no memory here.
  void WatchForDisconnect() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), request_number = request_number_](error_code) {
                         if (self->IsInProgress(request_number)) self->OnReadable();
                       });
  }

  bool IsInProgress(std::uint64_t request_number) const {
    return phase_ == Phase::kAwaitingResponse && request_number_ == request_number;
  }

  // The end of a wait proves nothing: the input that ended it may have been read together with the request.
  void OnReadable() {
    const SocketInput input = PeekInput(socket_);
    switch (input.state) {
      case SocketInput::State::kNone:
        server_.connection_recorder_.RecordWakeupWithoutInput();
        return WatchForDisconnect();
      case SocketInput::State::kBytes:
        if (next_request_received_at_ == 0) next_request_received_at_ = Now();
        return PollForDisconnect();
      case SocketInput::State::kEnd:
      case SocketInput::State::kError: return OnClientDisconnected(input.error);
    }
  }

  // Notices a disconnect behind input that stays unread, of which a wait for readability does not tell.
  void PollForDisconnect() {
    const auto timer = std::make_shared<asio::steady_timer>(server_.io_, ToDuration(kDisconnectPollMs));
    timer->async_wait([self = shared_from_this(), timer, request_number = request_number_](error_code) {
      if (!self->IsInProgress(request_number)) return;
      if (HasPeerClosed(self->socket_)) return self->OnClientDisconnected(asio::error::eof);
      self->PollForDisconnect();
    });
  }

  void OnClientDisconnected(const error_code& error) {
    const auto pool = pool_;
    const std::string id = request_id_;
    CloseAfterReadError(error);  // first, so that the pool's response is dropped
    pool->ClientDisconnected(id);
  }

  // For a request that is invalid or not read to its end: the start of the next one is unknown, so the
  // connection can't be used further.
  void RespondAndClose(const LocalReply& reply) {
    HttpResponse response = ToResponse(reply);
    response.keep_alive(false);
    SendResponse(std::move(response));
  }

  static LocalReply StoppingReply() {
    return {http::status::service_unavailable, "the gateway is stopping", 0, {}, "stopping"};
  }

  static HttpResponse ToResponse(const LocalReply& reply) {
    HttpResponse response(reply.status, 11);
    response.set(http::field::content_type, "text/plain");
    if (!reply.allow.empty()) response.set(http::field::allow, reply.allow);
    if (reply.retry_after > 0) {
      response.set(http::field::retry_after, FormatRetryAfterSeconds(reply.retry_after));
    }
    if (!reply.cause.empty()) response.set(kCauseHeader, reply.cause);
    response.body() = reply.text + "\n";
    return response;
  }

  void SendResponse(HttpResponse response) {
    EnterPhase(Phase::kWriting);
    ReleaseReservations();
    pool_.reset();
    last_response_is_error_ = response.result_int() == 429 || response.result_int() >= 500;
    if (last_response_is_error_ && server_.handlers_.reports_cause && !server_.handlers_.reports_cause()) {
      response.erase(kCauseHeader);
    }
    const bool allows_keep_alive = response.keep_alive();
    response.version(http_version_);
    server_.EvictIdleConnections();
    // During a drain, or where connections are still to be closed, this one is closed after its response,
    // unless input that may be another request has arrived.
    error_code ec;
    const bool has_unread_input = buffer_.size() > 0 || socket_.available(ec) > 0;
    const bool is_to_close = server_.is_draining_ || server_.HasWaitingClients() || server_.ShouldEvictIdle();
    keep_alive_ = keep_alive_ && allows_keep_alive && (has_unread_input || !is_to_close);
    response.keep_alive(keep_alive_);
    PrepareBody(response);
    const auto writer = std::make_shared<SocketWriter>(ToText(response));
    WriteAll(socket_, writer, [self = shared_from_this()](error_code write_ec) {
      if (self->phase_ == Phase::kWriting) self->OnResponseWritten(write_ec);
    });
  }

  // Sets Content-Length and removes the body where there must be none. RFC 9110 sections 8.6 and 9.3.2:
  // responses to HEAD and responses 204 and 304 have no body. All of these but 204 may give the length that a
  // response to GET would have.
  void PrepareBody(HttpResponse& response) {
    const http::status status = response.result();
    if (!std::exchange(is_head_request_, false) && status != http::status::no_content &&
        status != http::status::not_modified) {
      return response.prepare_payload();
    }
    response.body().clear();
    response.erase(http::field::transfer_encoding);
    if (status == http::status::no_content) response.erase(http::field::content_length);
  }

  static std::string ToText(HttpResponse& response) {
    http::response_serializer<http::string_body> serializer(response);
    std::string text;
    error_code ec;
    while (!serializer.is_done() && !ec) {
      serializer.next(ec, [&](error_code&, const auto& buffers) {
        for (const asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
          text.append(static_cast<const char*>(buffer.data()), buffer.size());
        }
        serializer.consume(boost::beast::buffer_bytes(buffers));
      });
    }
    return text;
  }

  void OnResponseWritten(error_code ec) {
    if (ec) return Close(ConnectionEnd::kWriteFailed, ec);
    if (!keep_alive_) return LingerAndClose();
    ++responses_sent_;
    EnterPhase(Phase::kReading);
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
    PrepareParser();
    const auto read_throttle = std::exchange(read_throttle_, nullptr);
    const Millis pause = last_response_is_error_ && read_throttle ? read_throttle->NextDelay(Now()) : 0;
    if (pause > 0 && !server_.is_draining_) {
      PauseReading(pause);
    } else {
      ContinueReading();
    }
    if (server_.on_drained_ && IsIdle()) return Close(ConnectionEnd::kDrained);
  }

  // Shuts down the sending side and discards input until the client closes. Closing with input unread would
  // reset the connection, and the client might lose the response. Gives up after kMaxDiscardedBytes or
  // linger_timeout.
  void LingerAndClose() {
    EnterPhase(Phase::kLingering);
    parser_.reset();
    buffer_ = boost::beast::flat_buffer();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) return Close(ConnectionEnd::kResponded, ec);
    DiscardInput(0);
  }

  void DiscardInput(std::size_t discarded) {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), discarded](error_code ec) {
      if (self->phase_ != Phase::kLingering) return;
      char sink[16384];
      const std::size_t bytes_read = ec ? 0 : self->socket_.read_some(asio::buffer(sink), ec);
      const bool is_finished = bytes_read == 0 && !IsTransient(ec);
      if (is_finished || discarded + bytes_read > kMaxDiscardedBytes) {
        return self->Close(ConnectionEnd::kResponded);
      }
      self->DiscardInput(discarded + bytes_read);
    });
  }

  // Releases the memory reserved for the body, and the request's use of its pool's limits unless the pool has
  // taken the request over.
  void ReleaseReservations() {
    server_.reserved_body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
    request_.reset();
  }

  HttpServer& server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMaxReadBufferBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  RequestOrigin origin_;
  routing::Target target_;                // of the current request
  std::optional<ClientRequest> request_;  // the current request, from its header until Submit()
  bool is_health_check_ = false;          // the current request is one
  bool is_head_request_ = false;          // the current request is one
  std::shared_ptr<limits::ReadThrottle> read_throttle_;  // of the current request's pool
  bool last_response_is_error_ = false;                  // its status was 429 or 5xx
  bool is_read_paused_ = false;                          // by the throttle
  std::string request_id_;
  std::shared_ptr<Pool> pool_;  // that processes the current request
  std::uint64_t request_number_ = 0;
  std::uint64_t responses_sent_ = 0;
  std::size_t reserved_body_bytes_ = 0;  // part of the server's
  Phase phase_ = Phase::kReading;
  Millis phase_started_at_ = Now();
  Millis request_started_at_ = 0;        // when the first part of a request was noticed; 0: none
  Millis next_request_received_at_ = 0;  // when input behind the current request was noticed; 0: none
  unsigned http_version_ = 11;
  bool keep_alive_ = true;
};

// A socket that accepts connections.
struct HttpServer::Listener {
  Listener(asio::io_context& io, std::string name, const tcp::endpoint& address)
      : id(std::move(name)), requested_address(address), acceptor(io), retry_timer(io) {}
  // Handlers that are still pending do nothing from then on.
  void Close() {
    error_code ignored;
    acceptor.close(ignored);
    retry_timer.cancel();
  }

  std::string id;
  const tcp::endpoint requested_address;  // port 0 if any would do
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  bool is_accepting = false;
  bool is_closing = false;  // CloseListener takes what is left in the queue
  int failures = 0;         // accepts that have failed in a row

  // Records a failed accept. Returns whether to try again at once.
  bool RecordFailure() { return ++failures <= kImmediateAcceptRetries; }
  // Returns the delay before the next try, which doubles from failure to failure.
  Millis RetryDelay() const {
    const int doublings = std::max(0, failures - kImmediateAcceptRetries - 1);
    return std::min(kMaxAcceptRetryDelayMs, std::ldexp(kFirstAcceptRetryDelayMs, doublings));
  }
};

HttpServer::HttpServer(asio::io_context& io, const HttpServerLimits& limits, Handlers handlers,
                       std::string health_path)
    : io_(io),
      limits_(limits),
      handlers_(std::move(handlers)),
      health_path_(std::move(health_path)),
      timeout_timer_(io) {
  CheckTimeouts();
}

HttpServer::~HttpServer() {
  for (const auto* const list : {&listeners_, &removed_listeners_}) {
    for (const auto& listener : *list) listener->Close();
  }
}

tcp::endpoint HttpServer::Listen(const std::string& id, const tcp::endpoint& address) {
  const auto listener = std::make_shared<Listener>(io_, id, address);
  listener->acceptor.open(address.protocol());
  listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
  // Without this, a failure of one connection leaves those behind it in the queue until a further one
  // arrives.
  listener->acceptor.set_option(asio::socket_base::enable_connection_aborted(true));
  listener->acceptor.non_blocking(true);
  listener->acceptor.bind(address);
  listener->acceptor.listen();
  listeners_.push_back(listener);
  Accept(listener);
  return listener->acceptor.local_endpoint();
}

tcp::endpoint HttpServer::address(const std::string& id) const {
  for (const auto& listener : listeners_) {
    if (listener->id == id) return listener->acceptor.local_endpoint();
  }
  return {};
}

void HttpServer::Accept(const std::shared_ptr<Listener>& listener) {
  if (listener->is_accepting || listener->is_closing || !listener->acceptor.is_open()) return;
  listener->is_accepting = true;
  listener->acceptor.async_accept([this, listener](error_code ec, tcp::socket socket) {
    if (!listener->acceptor.is_open()) return;  // closed, maybe because this server was destroyed
    listener->is_accepting = false;
    if (!ec) {
      listener->failures = 0;
      StartSession(*listener, std::move(socket));
      // If no connection can be evicted, further clients wait in the kernel's accept queue.
      if (!IsFull() || EvictConnection()) Accept(listener);
      return;
    }
    connection_recorder_.RecordAcceptFailure(ErrorName(ec));
    if (listener->is_closing) return;  // the retry timer is CloseListener's
    if (listener->RecordFailure()) return Accept(listener);
    const Millis delay = listener->RetryDelay();
    // A failure that passes must cost no client its connection.
    if (ec == asio::error::no_descriptors && delay == kMaxAcceptRetryDelayMs) EvictConnection();
    listener->retry_timer.expires_after(ToDuration(delay));
    listener->retry_timer.async_wait([this, listener](error_code wait_ec) {
      if (!wait_ec && listener->acceptor.is_open()) Accept(listener);
    });
  });
}

void HttpServer::StartSession(const Listener& listener, tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, listener.id, std::move(socket));
  sessions_.insert(session);
  connection_recorder_.RecordAccept();
  session->Start();
}

void HttpServer::OnSessionClosed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  CheckDrained();
  if (IsFull()) return;
  for (const auto& listener : listeners_) Accept(listener);
}

bool HttpServer::HasWaitingClients() const {
  return IsFull() && std::any_of(listeners_.begin(), listeners_.end(), [](const auto& listener) {
           return !listener->is_accepting && listener->acceptor.is_open();
         });
}

// Idle connections count against the number that clients may open: beyond the threshold they keep other
// clients from connecting, long before max_connections is reached here. While the gateway is not ready, as
// during shutdown, idle connections stay open, because clients cannot open new ones.
bool HttpServer::ShouldEvictIdle() const {
  return sessions_.size() > limits_.idle_eviction_threshold && handlers_.is_ready();
}

void HttpServer::EvictIdleConnections() {
  while (ShouldEvictIdle() && EvictConnection(/*idle_only=*/true)) {
  }
}

bool HttpServer::EvictConnection(bool idle_only) {
  const Millis now = Now();
  std::shared_ptr<Session> candidate;
  std::pair<EvictionPriority, Millis> candidate_rank;
  for (const auto& session : sessions_) {
    const std::pair rank(session->eviction_priority(now), session->phase_started_at());
    if (rank.first == EvictionPriority::kNotEvictable || (candidate && candidate_rank <= rank) ||
        !session->IsEvictable())
      continue;
    if (idle_only && rank.first != EvictionPriority::kLingering &&
        rank.first != EvictionPriority::kNoRequest && rank.first != EvictionPriority::kIdle)
      continue;
    candidate = session;
    candidate_rank = rank;
  }
  if (candidate) candidate->Close(ConnectionEnd::kEvicted);
  return candidate != nullptr;
}

bool HttpServer::ReserveBody(std::uint64_t bytes, std::size_t& reserved) {
  if (reserved_body_bytes_ + bytes > limits_.max_body_bytes) return false;
  reserved += bytes;
  reserved_body_bytes_ += bytes;
  return true;
}

void HttpServer::CheckTimeouts() {
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->CheckTimeouts(Now());
  LogConnections();
  timeout_timer_.expires_after(ToDuration(kTimeoutCheckIntervalMs));
  timeout_timer_.async_wait([this](error_code ec) {
    if (!ec) CheckTimeouts();
  });
}

void HttpServer::LogConnections() {
  if (!handlers_.write_log) return;
  if (const auto line = connection_recorder_.TakeLogLine(Now(), sessions_.size())) handlers_.write_log(*line);
}

void HttpServer::LogLostRequest(const std::string& request_id, ConnectionEnd end, const error_code& error,
                                Millis elapsed) {
  if (!handlers_.write_log) return;
  const auto suppressed = lost_request_log_throttle_.Admit(Now());
  if (!suppressed) return;
  std::ostringstream line;
  line << "connection closed before the response: request=" << request_id
       << " reason=" << ledger::ConnectionEndName(end);
  if (error) line << " error=" << ErrorName(error);
  line << " after_ms=" << elapsed;
  if (*suppressed > 0) line << " suppressed=" << *suppressed;
  handlers_.write_log(line.str());
}

bool HttpServer::AcceptQueued(Listener& listener) {
  while (!IsFull()) {
    error_code ec;
    tcp::socket socket = listener.acceptor.accept(ec);
    if (!ec) {
      listener.failures = 0;
      StartSession(listener, std::move(socket));
      continue;
    }
    if (ec == asio::error::would_block) return true;
    connection_recorder_.RecordAcceptFailure(ErrorName(ec));
    if (!listener.RecordFailure()) return false;
  }
  return false;
}

// Clients in the accept queue are connected already and may have sent a request, which closing would lose.
void HttpServer::CloseListener(const std::shared_ptr<Listener>& listener, Millis deadline) {
  listener->is_closing = true;
  if (AcceptQueued(*listener) || Now() >= deadline) {
    listener->Close();
    return CheckDrained();
  }
  listener->retry_timer.expires_after(ToDuration(listener->RetryDelay()));
  listener->retry_timer.async_wait([this, listener, deadline](error_code ec) {
    if (!ec && listener->acceptor.is_open()) CloseListener(listener, deadline);
  });
}

bool HttpServer::IsClosingListeners() const {
  const auto is_closing = [](const auto& listener) {
    return listener->is_closing && listener->acceptor.is_open();
  };
  return std::any_of(listeners_.begin(), listeners_.end(), is_closing) ||
         std::any_of(removed_listeners_.begin(), removed_listeners_.end(), is_closing);
}

void HttpServer::CheckDrained() {
  if (on_drained_ && sessions_.empty() && !IsClosingListeners()) {
    asio::post(io_, std::exchange(on_drained_, nullptr));
  }
}

void HttpServer::Unlisten(const std::string& id, const tcp::endpoint& requested_address) {
  std::erase_if(removed_listeners_, [](const auto& listener) { return !listener->acceptor.is_open(); });
  std::erase_if(listeners_, [&](const auto& listener) {
    if (listener->id != id || listener->requested_address != requested_address) return false;
    removed_listeners_.push_back(listener);
    return true;
  });
  for (const auto& listener : removed_listeners_) {
    if (!listener->is_closing) CloseListener(listener, Now() + kMaxCloseListenerMs);
  }
}

void HttpServer::StopListening() {
  for (const auto& listener : listeners_) CloseListener(listener, Now() + kMaxCloseListenerMs);
}

void HttpServer::Drain(std::function<void()> done) {
  is_draining_ = true;
  on_drained_ = std::move(done);
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (session->IsIdle()) session->Close(ConnectionEnd::kDrained);
  }
  CheckDrained();
}

void HttpServer::RefuseRequests() {
  is_refusing_ = true;
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->FinishReading();
}

}  // namespace opalswitch::gateway
