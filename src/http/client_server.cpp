#include "http/client_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kSweepEvery = 200;
constexpr std::size_t kMostBuffer = 24 * 1024;      // holds a whole head; bodies pass through it
constexpr std::size_t kKeptBuffer = 4096;           // what a connection between requests may hold on to
constexpr std::size_t kMostDiscarded = 256 * 1024;  // read from a client that was told of the close
constexpr Millis kAcceptAgain = 50;                 // after an accept that failed, out of descriptors perhaps
constexpr Millis kMostAllowed = 600000;  // longer deadlines are cut to this: timers must not overflow
constexpr std::size_t kMostId = 256;

std::string Field(const HttpRequest& http, const char* name) {
  const auto value = http[name];
  return {value.data(), value.size()};
}

// "480m" or "480000u": milliseconds.
std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const last = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (unit == 0 || error != std::errc() || end != last) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * unit, kMostAllowed);
}

// A message that breaks HTTP, as opposed to a connection that ended.
bool IsMalformed(error_code ec) {
  return ec.category() == http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

struct ClientServer::Fault {
  http::status status;
  std::string text;
};

// One connection of a client, one request at a time: what comes before the last one is answered stays in the
// socket, or in the head's buffer, and waits its turn. A client that leaves while it waits is noticed.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& server, tcp::socket socket) : server_(server), socket_(std::move(socket)) {}

  void Begin() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    ReadHead();
  }

  // Between requests, with nothing unread: may be closed without losing anything that was taken.
  bool Idle() {
    error_code ec;
    return phase_ == Phase::kReading && !Begun() && socket_.available(ec) == 0;
  }
  Millis since() const { return since_; }

  // Which to close first where places have run out; kKept may not be closed. One that has just connected gets
  // a moment for its first request to arrive: closed at once, it would only connect again.
  Standing standing(Millis now) const {
    if (phase_ == Phase::kLingering) return Standing::kTold;
    if (phase_ != Phase::kReading || (Begun() && answered_ > 0)) return Standing::kKept;
    if (answered_ > 0) return Standing::kBetween;
    if (now - since_ < server_.limits_.arrival) return Standing::kNew;
    return Begun() ? Standing::kHalfRequest : Standing::kSilent;
  }
  // Nothing that the client has sent whole may lie unread in the socket.
  bool MayEvict() {
    error_code ec;
    return phase_ == Phase::kLingering || (phase_ == Phase::kReading && socket_.available(ec) == 0);
  }

  void Close() {
    if (std::exchange(phase_, Phase::kClosed) == Phase::kClosed) return;
    error_code ignored;
    socket_.close(ignored);
    Release();
    server_.Closed(shared_from_this());
  }

  // Ends what has stood still for too long.
  void Sweep(Millis now) {
    const ClientLimits& limits = server_.limits_;
    if (phase_ == Phase::kReading) {
      if (Begun() && begun_at_ == 0) begun_at_ = answered_ == 0 ? since_ : now;
      if (begun_at_ > 0 && now - begun_at_ > limits.whole_request) {
        return Refuse({http::status::request_timeout, "the request is not whole"});
      }
      if (now - since_ > (answered_ == 0 ? limits.first_request : limits.idle) && Idle()) Close();
    } else if ((phase_ == Phase::kWriting && now - since_ > limits.answer_read) ||
               (phase_ == Phase::kLingering && now - since_ > limits.linger)) {
      Close();
    }
  }

 private:
  enum class Phase { kReading, kWaiting, kWriting, kLingering, kClosed };

  void Enter(Phase phase) {
    phase_ = phase;
    since_ = Now();
    begun_at_ = 0;
  }

  bool Begun() const { return buffer_.size() > 0 || parser_->got_some(); }

  void ReadHead() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->phase_ == Phase::kReading) self->HeadRead(ec);
                            });
  }

  void HeadRead(error_code ec) {
    if (ec) return Unreadable(ec);
    if (FramingOf(parser_->get()) == Framing::kAmbiguous) {
      return Refuse({http::status::bad_request, "where the body ends is not clear"});
    }
    if (parser_->is_done()) return Take();
    const auto length = parser_->content_length();
    if (!server_.Reserve(length ? *length : kMostBody, reserved_)) {
      return Refuse({http::status::service_unavailable, "no memory for the body"});
    }
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code body_ec, std::size_t) {
                       if (self->phase_ != Phase::kReading) return;
                       body_ec ? self->Unreadable(body_ec) : self->Take();
                     });
  }

  void Unreadable(error_code ec) {
    if (!IsMalformed(ec)) return Close();
    const bool large = ec == http::error::body_limit;
    const bool header = ec == http::error::header_limit || ec == http::error::buffer_overflow;
    Refuse({large    ? http::status::payload_too_large
            : header ? http::status::request_header_fields_too_large
                     : http::status::bad_request,
            ec.message()});
  }

  void Take() {
    HttpRequest http = parser_->release();
    keep_alive_ = http.keep_alive();
    version_ = http.version();
    const Millis at = std::exchange(came_at_, 0);
    const std::string_view target(http.target().data(), http.target().size());
    if (target == "/up" && http.method() == http::verb::get) {
      const bool ready = server_.handlers_.ready();
      return Answer(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11));
    }
    ClientRequest request;
    if (const auto fault = server_.Check(http, request)) return Refuse(*fault);
    request.http = std::move(http);
    request.received = at > 0 ? at : Now();
    request.answer = [weak = weak_from_this(), turn = ++turn_](HttpResponse response) {
      const auto self = weak.lock();
      if (self && self->turn_ == turn && self->phase_ == Phase::kWaiting) self->Answer(std::move(response));
    };
    id_ = request.id;
    Enter(Phase::kWaiting);
    if (buffer_.size() > 0) {
      came_at_ = request.received;  // with the one before it
    } else {
      WatchForLeaving();
    }
    server_.handlers_.taken(std::move(request));
  }

  // Nothing is read while a request is out: whoever sends on waits in its own socket, and takes no memory
  // here.
  void WatchForLeaving() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), turn = turn_](error_code ec) {
      if (self->phase_ != Phase::kWaiting || self->turn_ != turn) return;
      if (!ec && self->socket_.available(ec) > 0 && !ec) {
        self->came_at_ = Now();
        return;
      }
      self->Close();  // its request is told off after the connection is forgotten
      self->server_.handlers_.gone(self->id_);
    });
  }

  // Whoever broke the protocol once has no place to go on from: what follows could be anything.
  void Refuse(const Fault& fault) {
    HttpResponse response(fault.status, 11);
    response.set(http::field::content_type, "text/plain");
    if (fault.status == http::status::method_not_allowed) response.set(http::field::allow, "GET, POST");
    response.body() = fault.text + "\n";
    response.keep_alive(false);
    Answer(std::move(response));
  }

  void Answer(HttpResponse response) {
    Enter(Phase::kWriting);
    Release();
    response_ = std::move(response);
    const bool may_stay = response_.keep_alive();
    response_.version(version_);
    // In a drain, or with clients waiting for a place, the connection ends here: but not on a request that
    // has been taken in already.
    error_code ec;
    const bool more = buffer_.size() > 0 || socket_.available(ec) > 0;
    keep_alive_ = keep_alive_ && may_stay && (more || !(server_.draining_ || server_.Waiting()));
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](error_code write_ec, std::size_t) {
      if (self->phase_ == Phase::kWriting) self->Written(write_ec);
    });
  }

  void Written(error_code ec) {
    response_ = {};
    if (ec) return Close();
    if (!keep_alive_) return Linger();
    ++answered_;
    Enter(Phase::kReading);
    if (buffer_.size() == 0 && buffer_.capacity() > kKeptBuffer) buffer_.shrink_to_fit();
    ReadHead();
    if (server_.stopped_ && Idle()) return Close();
    while (server_.Crowded() && server_.Evict(/*idle_only=*/true)) {
    }
  }

  // Closing with bytes unread would reset the connection, and could take the answer from the client. But one
  // that goes on sending for long is not worth the reading.
  void Linger() {
    Enter(Phase::kLingering);
    parser_.reset();
    buffer_ = boost::beast::flat_buffer();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (!ec) socket_.non_blocking(true, ec);
    if (ec) return Close();
    Discard(0);
  }

  void Discard(std::size_t so_far) {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), so_far](error_code ec) {
      if (self->phase_ != Phase::kLingering) return;
      char sink[16384];
      const std::size_t got = ec ? 0 : self->socket_.read_some(asio::buffer(sink), ec);
      const bool ended = got == 0 && ec != asio::error::would_block;
      if (ended || so_far + got > kMostDiscarded) return self->Close();
      self->Discard(so_far + got);
    });
  }

  void Release() { server_.reserved_ -= std::exchange(reserved_, 0); }

  ClientServer& server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMostBuffer};
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
  std::string id_;
  std::uint64_t turn_ = 0;
  std::uint64_t answered_ = 0;
  std::size_t reserved_ = 0;  // bytes of body that count against the server's
  Phase phase_ = Phase::kReading;
  Millis since_ = Now();
  Millis begun_at_ = 0;  // when a part of a request was first seen
  Millis came_at_ = 0;   // when the next request was seen behind the one being served
  unsigned version_ = 11;
  bool keep_alive_ = true;
};

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& address, const ClientLimits& limits,
                           const Settings& settings, Handlers handlers)
    : io_(io), acceptor_(io), limits_(limits), handlers_(std::move(handlers)), sweep_(io), accept_again_(io) {
  for (const ClassSettings& c : settings.classes) classes_[c.name] = c.effect;
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.non_blocking(true);
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
  Sweep();
}

ClientServer::~ClientServer() = default;

void ClientServer::Accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    accepting_ = false;
    if (!acceptor_.is_open()) return;
    if (!ec) {
      Accepted(std::move(socket));
      // With all places taken by requests under way, further clients wait in the kernel's queue.
      if (!Full() || Evict()) Accept();
      return;
    }
    if (ec == asio::error::no_descriptors) Evict();
    accept_again_.expires_after(Span(kAcceptAgain));  // at once would spin
    accept_again_.async_wait([this](error_code wait_ec) {
      if (!wait_ec) Accept();
    });
  });
}

void ClientServer::Accepted(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->Begin();
}

void ClientServer::Closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
  if (!Full()) Accept();
}

bool ClientServer::Waiting() const { return !accepting_ && acceptor_.is_open() && Full(); }

// Connections that clients keep after a request and don't use again count against what they may open: past
// `usual` they shut further clients out, long before places run out here. In a stop the kept ones are all
// that clients have left.
bool ClientServer::Crowded() const { return sessions_.size() > limits_.usual && handlers_.ready(); }

// Makes room: the least worth keeping goes first, and among its like the one that stood for longest. Where
// there is still room none is closed that has begun a request, or is about to.
bool ClientServer::Evict(bool idle_only) {
  const Millis now = Now();
  std::shared_ptr<Session> worst;
  std::pair<Standing, Millis> least;
  for (const auto& session : sessions_) {
    const std::pair rank(session->standing(now), session->since());
    if (rank.first == Standing::kKept || (worst && least <= rank) || !session->MayEvict()) continue;
    if (idle_only && (rank.first == Standing::kHalfRequest || rank.first == Standing::kNew)) continue;
    worst = session;
    least = rank;
  }
  if (worst) worst->Close();
  return worst != nullptr;
}

bool ClientServer::Reserve(std::uint64_t bytes, std::size_t& held) {
  if (reserved_ + bytes > limits_.body_bytes) return false;
  held += bytes;
  reserved_ += bytes;
  return true;
}

void ClientServer::Sweep() {
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->Sweep(Now());
  sweep_.expires_after(Span(kSweepEvery));
  sweep_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
}

void ClientServer::StopListening() {
  // Whoever stands in the queue has connected, and may have sent a request: to close on it would lose that.
  for (error_code ec; !Full();) {
    tcp::socket socket = acceptor_.accept(ec);
    if (ec) break;
    Accepted(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_again_.cancel();
}

void ClientServer::Drain(std::function<void()> done) {
  draining_ = true;
  stopped_ = std::move(done);
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (session->Idle()) session->Close();
  }
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
}

std::unique_ptr<ClientServer::Fault> ClientServer::Check(const HttpRequest& http,
                                                         ClientRequest& request) const {
  const auto fault = [](http::status status, std::string text) {
    return std::make_unique<Fault>(Fault{status, std::move(text)});
  };
  const std::string_view target(http.target().data(), http.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != "/api" && !path.starts_with("/api/")) return fault(http::status::not_found, "no such path");
  // Of two fields with one name, this gateway and a host might each believe another.
  for (const char* const name : {"Req-Id", "Req-Kind", "Req-Owner", "Req-Key", "Req-Deadline", "Req-Retry",
                                 "Req-Cost", "Req-Extra", "Idempotency-Key", "Host"}) {
    if (http.count(name) > 1) return fault(http::status::bad_request, std::string(name) + " is repeated");
  }
  request.id = Field(http, "Req-Id");
  if (request.id.empty() || request.id.size() > kMostId) {
    return fault(http::status::bad_request, "Req-Id is missing or too long");
  }
  request.class_name = Field(http, "Req-Kind");
  const auto found = classes_.find(request.class_name);
  if (found == classes_.end()) return fault(http::status::bad_request, "Req-Kind names no class");
  const auto allowed = ParseDeadline(Field(http, "Req-Deadline"));
  if (!allowed) return fault(http::status::bad_request, "Req-Deadline is missing or malformed");
  request.allowed = *allowed;
  // A repeat of a request that is not safe must be possible to tell from its class and method alike.
  if (http.method() != (found->second == Effect::kSafe ? http::verb::get : http::verb::post)) {
    return fault(http::status::method_not_allowed, "the class takes another method");
  }
  if (found->second == Effect::kKeyed && http["Idempotency-Key"].empty()) {
    return fault(http::status::bad_request, "Idempotency-Key is missing");
  }
  request.tenant = Field(http, "Req-Owner");
  request.retry = http["Req-Retry"] == "1";
  request.key = Field(http, "Req-Key");
  return nullptr;
}

}  // namespace opalswitch::gateway
