#include "http/http_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "gateway/pool.hpp"
#include "http/message_rules.hpp"

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
constexpr Millis kNoMemoryWait = 1000;              // advice where no memory is left for a body
constexpr Millis kAcceptAgain = 50;                 // after an accept that failed, out of descriptors perhaps

// A message that breaks HTTP, as opposed to a connection that ended.
bool IsMalformed(error_code ec) {
  return ec.category() == http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

// One connection of a client, one request at a time: what comes before the last one is answered stays in the
// socket, or in the head's buffer, and waits its turn. A client that leaves while it waits is noticed.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& server, std::string listener, tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    origin_.listener = std::move(listener);
    error_code ec;
    const auto peer = socket_.remote_endpoint(ec);
    if (!ec) origin_.client = peer.address();
  }

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
    const HttpServerLimits& limits = server_.limits_;
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
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // its head decides
    parser_->header_limit(kMaxHeaderBytes);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->phase_ == Phase::kReading) self->HeadRead(ec);
                            });
  }

  // Meanwhile what the client sends waits in its socket.
  void ReadAfter(Millis pause) {
    const auto timer = std::make_shared<asio::steady_timer>(server_.io_, ToDuration(pause));
    timer->async_wait([self = shared_from_this(), timer, turn = turn_](error_code) {
      if (self->phase_ == Phase::kReading && self->turn_ == turn) self->ReadHead();
    });
  }

  // All that the head can decide is decided before the body is read: what is turned away takes no memory.
  void HeadRead(error_code ec) {
    if (ec) return Unreadable(ec);
    const HttpRequest& head = parser_->get();
    if (const auto fault = ValidateMessage(head, target_)) return Refuse(*fault);
    ClientRequest& call = call_.emplace();
    health_ = !server_.health_.empty() && target_.path == server_.health_ && head.method() == http::verb::get;
    if (!health_) {
      const auto fault = server_.handlers_.admit(head, target_, origin_, call);
      pacer_ = call.read_throttle;
      if (fault) {
        if (!fault->keep_connection || !parser_->is_done()) return Refuse(*fault);
        keep_alive_ = head.keep_alive();
        version_ = head.version();
        return Answer(ToAnswer(*fault));
      }
    }
    if (parser_->is_done()) return Take();
    const auto length = parser_->content_length();
    if (length && *length > call.max_body_bytes) return Unreadable(http::error::body_limit);
    const std::uint64_t room = length ? *length : call.max_body_bytes;
    if (!server_.Reserve(room, reserved_) || (call.reserve_body && !call.reserve_body(room))) {
      return Refuse(
          {http::status::service_unavailable, "no memory for the body", kNoMemoryWait, {}, "memory"});
    }
    parser_->body_limit(call.max_body_bytes);
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
    if (health_) {
      const bool ready = server_.handlers_.ready();
      return Answer(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11));
    }
    NormalizeRequest(http, target_);
    head_ = http.method() == http::verb::head;
    ClientRequest& call = *call_;
    call.http = std::move(http);
    call.received = at > 0 ? at : Now();
    call.respond = [weak = weak_from_this(), turn = ++turn_](HttpResponse response) {
      const auto self = weak.lock();
      if (self && self->turn_ == turn && self->phase_ == Phase::kWaiting) self->Answer(std::move(response));
    };
    id_ = call.id;
    pool_ = call.pool;
    Enter(Phase::kWaiting);
    if (buffer_.size() > 0) {
      came_at_ = call.received;  // with the one before it
    } else {
      WatchForLeaving();
    }
    const auto pool = pool_;  // the answer may come at once, and the pool be let go with it
    ClientRequest taken = std::move(*call_);
    call_.reset();
    pool->Submit(std::move(taken));
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
      const auto pool = self->pool_;
      self->Close();  // its request is told off after the connection is forgotten
      pool->ClientDisconnected(self->id_);
    });
  }

  // Whoever broke the protocol once has no place to go on from: what follows could be anything.
  void Refuse(const LocalReply& fault) {
    HttpResponse response = ToAnswer(fault);
    response.keep_alive(false);
    Answer(std::move(response));
  }

  static HttpResponse ToAnswer(const LocalReply& fault) {
    HttpResponse response(fault.status, 11);
    response.set(http::field::content_type, "text/plain");
    if (!fault.allow.empty()) response.set(http::field::allow, fault.allow);
    if (fault.retry_after > 0) {
      response.set(http::field::retry_after, FormatRetryAfterSeconds(fault.retry_after));
    }
    if (!fault.cause.empty()) response.set(kCauseHeader, fault.cause);
    response.body() = fault.text + "\n";
    return response;
  }

  void Answer(HttpResponse response) {
    Enter(Phase::kWriting);
    Release();
    pool_.reset();
    response_ = std::move(response);
    turned_away_ = response_.result_int() == 429 || response_.result_int() >= 500;
    if (turned_away_ && server_.handlers_.reports_cause && !server_.handlers_.reports_cause()) {
      response_.erase(kCauseHeader);
    }
    const bool may_stay = response_.keep_alive();
    response_.version(version_);
    // In a drain, or with clients waiting for a place, the connection ends here: but not on a request that
    // has been taken in already.
    error_code ec;
    const bool more = buffer_.size() > 0 || socket_.available(ec) > 0;
    keep_alive_ = keep_alive_ && may_stay && (more || !(server_.draining_ || server_.Waiting()));
    response_.keep_alive(keep_alive_);
    Frame();
    http::async_write(socket_, response_, [self = shared_from_this()](error_code write_ec, std::size_t) {
      if (self->phase_ == Phase::kWriting) self->Written(write_ec);
    });
  }

  // RFC 9110 8.6 and 9.3.2: an answer to HEAD may tell the length of what GET would have got, and has no
  // body; 204 and 304 have none either, and 204 tells no length.
  void Frame() {
    const http::status status = response_.result();
    if (!std::exchange(head_, false) && status != http::status::no_content &&
        status != http::status::not_modified) {
      return response_.prepare_payload();
    }
    response_.body().clear();
    response_.erase(http::field::transfer_encoding);
    if (status == http::status::no_content) response_.erase(http::field::content_length);
  }

  void Written(error_code ec) {
    response_ = {};
    if (ec) return Close();
    if (!keep_alive_) return Linger();
    ++answered_;
    Enter(Phase::kReading);
    if (buffer_.size() == 0 && buffer_.capacity() > kKeptBuffer) buffer_.shrink_to_fit();
    parser_.emplace();  // Begun() asks it
    const auto pacer = std::exchange(pacer_, nullptr);
    const Millis pause = turned_away_ && pacer ? pacer->NextDelay(Now()) : 0;
    if (pause > 0 && !server_.draining_) {
      ReadAfter(pause);
    } else {
      ReadHead();
    }
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

  // What its request holds of the memory and of its pool's limits, as far as that is not the pool's by now.
  void Release() {
    server_.reserved_ -= std::exchange(reserved_, 0);
    call_.reset();
  }

  HttpServer& server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMostBuffer};
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
  RequestOrigin origin_;
  routing::Target target_;                       // of the request that is being read
  std::optional<ClientRequest> call_;            // the same, from its head until it is taken
  bool health_ = false;                          // it asks for this gateway's own health
  bool head_ = false;                            // it is a HEAD request
  std::shared_ptr<limits::ReadThrottle> pacer_;  // of the pool that it is for
  bool turned_away_ = false;                     // by the last answer
  std::string id_;
  std::shared_ptr<Pool> pool_;  // that has its request
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

// One address that clients connect to.
struct HttpServer::Door {
  Door(asio::io_context& io, std::string name, const tcp::endpoint& address)
      : id(std::move(name)), asked(address), acceptor(io), again(io) {}
  std::string id;
  const tcp::endpoint asked;  // its port may be 0
  tcp::acceptor acceptor;
  asio::steady_timer again;
  bool accepting = false;
};

HttpServer::HttpServer(asio::io_context& io, const HttpServerLimits& limits, Handlers handlers,
                       std::string health)
    : io_(io), limits_(limits), handlers_(std::move(handlers)), health_(std::move(health)), sweep_(io) {
  Sweep();
}

HttpServer::~HttpServer() = default;

tcp::endpoint HttpServer::Listen(const std::string& id, const tcp::endpoint& address) {
  const auto door = std::make_shared<Door>(io_, id, address);
  door->acceptor.open(address.protocol());
  door->acceptor.set_option(tcp::acceptor::reuse_address(true));
  door->acceptor.non_blocking(true);
  door->acceptor.bind(address);
  door->acceptor.listen();
  doors_.push_back(door);
  Accept(door);
  return door->acceptor.local_endpoint();
}

tcp::endpoint HttpServer::address(const std::string& id) const {
  for (const auto& door : doors_) {
    if (door->id == id) return door->acceptor.local_endpoint();
  }
  return {};
}

void HttpServer::Accept(const std::shared_ptr<Door>& door) {
  if (door->accepting || !door->acceptor.is_open()) return;
  door->accepting = true;
  door->acceptor.async_accept([this, door](error_code ec, tcp::socket socket) {
    if (!door->acceptor.is_open()) return;  // closed, perhaps with this server
    door->accepting = false;
    if (!ec) {
      Accepted(*door, std::move(socket));
      // With all places taken by requests under way, further clients wait in the kernel's queue.
      if (!Full() || Evict()) Accept(door);
      return;
    }
    if (ec == asio::error::no_descriptors) Evict();
    door->again.expires_after(ToDuration(kAcceptAgain));  // at once would spin
    door->again.async_wait([this, door](error_code wait_ec) {
      if (!wait_ec && door->acceptor.is_open()) Accept(door);
    });
  });
}

void HttpServer::Accepted(const Door& door, tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, door.id, std::move(socket));
  sessions_.insert(session);
  session->Begin();
}

void HttpServer::Closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
  if (Full()) return;
  for (const auto& door : doors_) Accept(door);
}

bool HttpServer::Waiting() const {
  return Full() && std::any_of(doors_.begin(), doors_.end(),
                               [](const auto& door) { return !door->accepting && door->acceptor.is_open(); });
}

// Connections that clients keep after a request and don't use again count against what they may open: past
// `usual` they shut further clients out, long before places run out here. In a stop the kept ones are all
// that clients have left.
bool HttpServer::Crowded() const { return sessions_.size() > limits_.usual && handlers_.ready(); }

// Makes room: the least worth keeping goes first, and among its like the one that stood for longest. Where
// there is still room none is closed that has begun a request, or is about to.
bool HttpServer::Evict(bool idle_only) {
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

bool HttpServer::Reserve(std::uint64_t bytes, std::size_t& held) {
  if (reserved_ + bytes > limits_.body_bytes) return false;
  held += bytes;
  reserved_ += bytes;
  return true;
}

void HttpServer::Sweep() {
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->Sweep(Now());
  sweep_.expires_after(ToDuration(kSweepEvery));
  sweep_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
}

void HttpServer::Close(Door& door) {
  // Whoever stands in the queue has connected, and may have sent a request: to close on it would lose that.
  for (error_code ec; !Full();) {
    tcp::socket socket = door.acceptor.accept(ec);
    if (ec) break;
    Accepted(door, std::move(socket));
  }
  error_code ignored;
  door.acceptor.close(ignored);
  door.again.cancel();
}

void HttpServer::Unlisten(const std::string& id, const tcp::endpoint& asked) {
  std::erase_if(doors_, [&](const auto& door) {
    if (door->id != id || door->asked != asked) return false;
    Close(*door);
    return true;
  });
}

void HttpServer::StopListening() {
  for (const auto& door : doors_) Close(*door);
}

void HttpServer::Drain(std::function<void()> done) {
  draining_ = true;
  stopped_ = std::move(done);
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (session->Idle()) session->Close();
  }
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
}

}  // namespace opalswitch::gateway
