#include "upstream/host_pool.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.hpp"
#include "base/socket_input.hpp"
#include "base/socket_writer.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Idle connections are closed after this fraction of the hosts' idle timeout, well before the host may close
// them.
constexpr double kIdleTimeoutFraction = 1.0 / 3;
constexpr int kMaxInterimResponses = 8;             // 1xx responses before the final one
constexpr int kReceiveBufferBytes = 64 * 1024;      // the kernel doubles it
constexpr std::size_t kMaxReadBufferBytes = 32768;  // holds a whole response header; bodies pass through it

// Maps a response to a result. Only 503 and 504 with Srv-Declined prove that the request never ran.
Result ToResult(const HttpResponse& response, bool plain) {
  const http::status status = response.result();
  if (plain ? response.result_int() < 500 : status == http::status::ok) return Result::kServed;
  const bool may_decline =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  return may_decline && response["Srv-Declined"] == "1" ? Result::kRejected : Result::kError;
}

// Whether a response ends with its header section whatever its Content-Length says (RFC 9112 6.3).
bool HasNoBody(http::verb method, unsigned status) {
  return method == http::verb::head || status == 204 || status == 304;
}

// Serializes the request as sent to a host, with the remaining time as Req-Deadline. Not done with Beast's
// serializer: that copies the message and uses a stream, which costs more than all of the module's decisions
// for the request.
std::string Serialize(const HttpRequest& request, std::int64_t remaining_ms) {
  const auto connection_options = NamedByConnection(request);
  const http::verb method = request.method();
  std::string out;
  out.reserve(512 + request.body().size());
  const auto add = [&out](auto... parts) { (out.append(parts.data(), parts.size()), ...); };
  using std::literals::operator""sv;
  add(request.method_string(), " "sv, request.target(), " HTTP/1.1\r\n"sv);
  for (const auto& field : request) {
    const auto name = field.name_string();
    if (IsHopByHop(field.name()) || field.name() == http::field::content_length ||
        boost::beast::iequals(name, "Req-Deadline") ||
        std::any_of(connection_options.begin(), connection_options.end(),
                    [&](const auto& n) { return boost::beast::iequals(n, name); })) {
      continue;
    }
    add(name, ": "sv, field.value(), "\r\n"sv);
  }
  const std::size_t size = request.body().size();
  if (size > 0 || method == http::verb::post || method == http::verb::put || method == http::verb::options) {
    add("Content-Length: "sv, std::to_string(size),
        "\r\n"sv);  // RFC 9110 8.6: for methods that anticipate content
  }
  add("Req-Deadline: "sv, std::to_string(std::max<std::int64_t>(1, remaining_ms)), "m\r\n\r\n"sv,
      request.body());
  return out;
}

}  // namespace

// One connection, from connect to close. While it is idle, any readable event (a close, or bytes that no
// request asked for) closes it. Owned by its pending asynchronous operations, HostPool::in_flight_ and the
// idle lists.
class HostPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  // One request and its response on this connection.
  struct Exchange {
    std::uint64_t attempt;
    std::shared_ptr<const HttpRequest> request;
    AttemptTimes times;
    Completion done;
  };

  Connection(HostPool& pool, std::string host, tcp::endpoint address)
      : pool_(pool), host_(std::move(host)), address_(address), socket_(pool.io_), timer_(pool.io_) {}

  // Returns false if the system has no descriptor left.
  bool Open() {
    error_code ec;
    socket_.open(address_.protocol(), ec);
    if (ec) return false;
    socket_.set_option(tcp::no_delay(true), ec);
    // Bounds the kernel memory and time that a host sending an endless response can take.
    if (pool_.limits_.plain)
      socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
    ++pool_.connections_;
    is_open_ = true;
    return true;
  }

  // Connects within the dial timeout, then sends the request.
  void ConnectAndSend(Exchange exchange) {
    Assign(std::move(exchange));
    SetTimer(std::min(exchange_->times.SendDeadline(), Now() + pool_.limits_.dial_timeout));
    socket_.async_connect(address_, [self = shared_from_this()](error_code ec) {
      if (self->is_open_) self->OnConnected(ec);
    });
  }

  // Sends the request on an idle connection.
  void SendOnIdle(Exchange exchange) {
    Assign(std::move(exchange));
    SetTimer(exchange_->times.SendDeadline());
    StartWrite();
  }

  // Whether the host has neither closed the connection nor sent unsolicited bytes. Looks at the socket
  // itself, because a pending wait may not have been notified yet.
  bool IsReusable() {
    return is_open_ && buffer_.size() == 0 && PeekInput(socket_).state == SocketInput::State::kNone;
  }

  // Closes an idle connection on which input or its end has been noticed.
  void CloseAfterInput() {
    if (PeekInput(socket_).state == SocketInput::State::kBytes)
      pool_.OnUnsolicitedBytes(host_, Now() - idle_since_);
    Close();
  }
  Millis idle_since() const { return idle_since_; }

  bool HasWrittenRequest() const { return writer_.IsDone(); }

  // Closes the connection and completes the current exchange, if any, with `result`.
  void Fail(Result result) {
    Close();
    Complete(result, {});
  }

  void Close() {
    if (!std::exchange(is_open_, false)) return;
    --pool_.connections_;
    if (pool_.limits_.release_socket) pool_.limits_.release_socket();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Assign(Exchange exchange) {
    exchange_ = std::move(exchange);
    writer_ = {};
    interim_responses_ = 0;
    ++generation_;  // invalidates the pending wait of the idle connection
    pool_.in_flight_[exchange_->attempt] = shared_from_this();
  }

  void Complete(Result result, HttpResponse response) {
    if (!exchange_) return;
    const Exchange exchange = *std::exchange(exchange_, std::nullopt);
    pool_.in_flight_.erase(exchange.attempt);
    exchange.done(result, std::move(response));
  }

  void SetTimer(Millis deadline) {
    timer_deadline_ = deadline;
    timer_.expires_after(ToDuration(deadline - Now()));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->is_open_) self->OnTimeout();
    });
  }

  void OnTimeout() {
    if (Now() < timer_deadline_ - 1) return;  // the timer was reset after this wait had expired
    if (!exchange_) {
      pool_.RemoveIdle(host_, this);
      return Close();
    }
    if (writer_.IsDone()) return Fail(Result::kTimedOut);
    Fail(Now() >= exchange_->times.write_by ? Result::kNotSent : Result::kConnectFailed);
  }

  void OnConnected(error_code ec) {
    if (ec) return Fail(Result::kConnectFailed);
    // The host may have started draining, or changed its address, during the connect.
    if (!pool_.IsUsable(host_, address_)) return Fail(Result::kNotSent);
    SetTimer(exchange_->times.SendDeadline());
    StartWrite();
  }

  void StartWrite() {
    writer_ = SocketWriter(
        Serialize(*exchange_->request, static_cast<std::int64_t>(exchange_->times.deadline - Now())));
    method_ = exchange_->request->method();
    exchange_->request.reset();
    error_code ec;
    socket_.non_blocking(true, ec);
    if (ec) return Fail(Result::kConnectFailed);
    ContinueWrite();
  }

  // A timeout at any moment must know whether the host can have received the request. The time is checked
  // before each write: a host begins a request with its last byte, which may follow long after the first.
  void ContinueWrite() {
    if (Now() >= exchange_->times.SendDeadline()) return Fail(Result::kNotSent);
    if (!writer_.Write(socket_)) return Fail(Result::kConnectFailed);  // the request was not sent completely
    if (writer_.IsDone()) {
      if (exchange_->times.write_by < exchange_->times.deadline) SetTimer(exchange_->times.deadline);
      return ReadHeader();
    }
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this(), generation = generation_](error_code) {
                         if (self->is_open_ && self->generation_ == generation) self->ContinueWrite();
                       });
  }

  void ReadHeader() {
    parser_.emplace();
    parser_->body_limit(pool_.limits_.max_response_bytes);
    parser_->header_limit(kMaxHeaderBytes);
    if (method_ == http::verb::head) parser_->skip(true);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->is_open_) self->OnHeaderRead(ec);
                            });
  }

  // A response that can't be parsed, or whose end can't be determined, is a reset: the request may have run.
  void OnHeaderRead(error_code ec) {
    if (ec) return Fail(Result::kReset);
    const auto& head = parser_->get();
    if (HasTooManyFields(head)) return Fail(Result::kReset);
    if (head.result_int() / 100 == 1) {  // by number: Beast's enum does not contain all of them
      if (++interim_responses_ > kMaxInterimResponses || head.result() == http::status::switching_protocols) {
        return Fail(Result::kReset);
      }
      return ReadHeader();
    }
    const auto length = parser_->content_length();
    const Framing framing = FramingOf(head);
    if (pool_.limits_.plain && HasNoBody(method_, head.result_int())) {
      if (framing == Framing::kAmbiguous || !parser_->is_done()) return Fail(Result::kReset);
      return OnResponseRead({});
    }
    if (framing != Framing::kDelimited || (length && *length > pool_.limits_.max_response_bytes)) {
      return Fail(Result::kReset);
    }
    if (parser_->is_done()) return OnResponseRead({});
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->is_open_) self->OnResponseRead(ec);
    });
  }

  void OnResponseRead(error_code ec) {
    // Boost 1.74's parser lets a body through that is one byte over its limit.
    if (ec || parser_->get().body().size() > pool_.limits_.max_response_bytes) return Fail(Result::kReset);
    HttpResponse response = parser_->release();
    const bool reusable = response.keep_alive() && IsReusable() && pool_.IsUsable(host_, address_);
    // Return the connection before completing: the completion may start the next request.
    if (reusable) {
      ReturnToPool();
    } else {
      Close();
    }
    const Result result = ToResult(response, pool_.limits_.plain);
    Complete(result, std::move(response));
  }

  // Makes the connection available for the next request.
  void ReturnToPool() {
    parser_.reset();
    writer_ = {};
    if (buffer_.capacity() > 4096) buffer_.shrink_to_fit();
    idle_since_ = Now();
    SetTimer(idle_since_ + pool_.limits_.idle_timeout * kIdleTimeoutFraction);
    ++generation_;
    WaitWhileIdle();
    pool_.hosts_.at(host_).idle.push_back(shared_from_this());
  }

  // Closes the idle connection once it has input or its end.
  void WaitWhileIdle() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), generation = generation_](error_code) {
                         if (!self->is_open_ || self->generation_ != generation) return;
                         if (self->IsReusable()) return self->WaitWhileIdle();  // woken without input
                         self->pool_.RemoveIdle(self->host_, self.get());
                         self->CloseAfterInput();
                       });
  }

  HostPool& pool_;
  const std::string host_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Millis timer_deadline_ = 0;
  Millis idle_since_ = 0;
  boost::beast::flat_buffer buffer_{kMaxReadBufferBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  SocketWriter writer_;  // of the current request
  int interim_responses_ = 0;
  http::verb method_ = http::verb::unknown;  // of the current request
  std::uint64_t generation_ = 0;             // incremented to invalidate pending waits
  std::optional<Exchange> exchange_;
  bool is_open_ = false;
};

HostPool::HostPool(asio::io_context& io, Limits limits, LogWriter write_log)
    : io_(io), limits_(std::move(limits)), write_log_(std::move(write_log)) {}

HostPool::~HostPool() {
  for (auto& [id, host] : hosts_) CloseIdleConnections(host);
  for (const auto& [attempt, connection] : std::exchange(in_flight_, {})) connection->Close();
}

HostChanges HostPool::Update(const HostList& list) {
  HostChanges changes;
  if (!list.complete && list.hosts.empty()) return changes;
  if (list.complete) {
    for (auto& [id, host] : hosts_) host.is_up = false;
  }
  for (const Host& entry : list.hosts) {
    HostState& host = hosts_.try_emplace(entry.server.id, QuietPeriod(limits_.quiet_period)).first->second;
    host.is_up = entry.server.state == ServerState::kUp;
    // A new process knows nothing of the connections of the one before it, which may have vanished silently.
    const bool is_other_process = host.address != entry.address || host.started_at != entry.server.started_at;
    if (is_other_process) CloseIdleConnections(host);
    host.address = entry.address;
    host.started_at = entry.server.started_at;
  }
  for (auto& [id, host] : hosts_) {
    if (!host.is_up) CloseIdleConnections(host);
    if (host.is_up == host.is_new) (host.is_up ? changes.added : changes.removed).push_back(id);
    host.is_new = false;
  }
  std::erase_if(hosts_, [](const auto& entry) { return !entry.second.is_up; });
  return changes;
}

std::uint64_t HostPool::Start(const std::string& host, std::shared_ptr<const HttpRequest> request,
                              const AttemptTimes& times, Completion done) {
  const std::uint64_t attempt = next_attempt_++;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || Now() >= times.SendDeadline()) {
    done(Result::kNotSent, {});
    return attempt;
  }
  Connection::Exchange exchange{attempt, std::move(request), times, std::move(done)};
  if (const auto connection = TakeIdleConnection(found->second)) {
    connection->SendOnIdle(std::move(exchange));
    return attempt;
  }
  if (!ReserveConnection()) {
    exchange.done(Result::kNotSent, {});
    return attempt;
  }
  const auto connection = std::make_shared<Connection>(*this, host, found->second.address);
  if (connection->Open()) {
    connection->ConnectAndSend(std::move(exchange));
  } else {
    if (limits_.release_socket) limits_.release_socket();
    exchange.done(Result::kNotSent, {});
  }
  return attempt;
}

std::shared_ptr<HostPool::Connection> HostPool::TakeIdleConnection(HostState& host) {
  auto& idle = host.idle;
  const Millis quiet_since = Now() - host.quiet_period.duration();
  // The connections are in the order of idle_since().
  auto end = idle.end();
  while (end != idle.begin() && (*std::prev(end))->idle_since() > quiet_since) --end;
  while (end != idle.begin()) {
    const auto connection = *--end;
    end = idle.erase(end);
    if (connection->IsReusable()) return connection;
    connection->CloseAfterInput();
  }
  return nullptr;
}

void HostPool::OnUnsolicitedBytes(const std::string& host, Millis delay) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || !found->second.quiet_period.RecordUnsolicitedBytes(delay)) return;
  if (!write_log_) return;
  std::ostringstream line;
  line << "host " << host << " sent bytes that belong to no request " << delay
       << " ms after a response; its connections now rest " << found->second.quiet_period.duration()
       << " ms between requests";
  write_log_(line.str());
}

void HostPool::Cancel(std::uint64_t attempt) {
  const auto found = in_flight_.find(attempt);
  if (found == in_flight_.end()) return;
  const auto connection = found->second;  // Fail removes it from the map
  connection->Fail(connection->HasWrittenRequest() ? Result::kCancelled : Result::kNotSent);
}

void HostPool::CancelUnsent(std::uint64_t attempt) {
  const auto found = in_flight_.find(attempt);
  if (found != in_flight_.end() && !found->second->HasWrittenRequest()) Cancel(attempt);
}

void HostPool::CloseIdleConnections(HostState& host) {
  for (const auto& connection : std::exchange(host.idle, {})) connection->Close();
}

// If a limit is reached, closes an idle connection of this pool, never one of another pool.
bool HostPool::ReserveConnection() {
  if (connections_ >= limits_.max_connections && !CloseLongestIdle()) return false;
  if (!limits_.acquire_socket) return true;
  return limits_.acquire_socket() || (CloseLongestIdle() && limits_.acquire_socket());
}

// Each host's idle connections are ordered by idle_since().
bool HostPool::CloseLongestIdle() {
  HostState* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    if (oldest == nullptr || host.idle.front()->idle_since() < oldest->idle.front()->idle_since())
      oldest = &host;
  }
  if (oldest == nullptr) return false;
  oldest->idle.front()->Close();
  oldest->idle.erase(oldest->idle.begin());
  return true;
}

bool HostPool::IsUsable(const std::string& host, const tcp::endpoint& address) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.address == address;
}

void HostPool::RemoveIdle(const std::string& host, const Connection* connection) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace opalswitch::gateway
