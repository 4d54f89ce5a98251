// Clients that send requests in pieces and leave early, and hosts that fail some of them, for runs of a
// gateway process under faults. They record what the gateway owes: a final answer to each request, one
// execution at most of an unsafe one, and no attempt for a client that has left.
#ifndef OPALSWITCH_TESTS_STANDINS_FAULTY_TRAFFIC_HPP_
#define OPALSWITCH_TESTS_STANDINS_FAULTY_TRAFFIC_HPP_

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/socket_input.hpp"
#include "peers.hpp"

namespace opalswitch::testing {

// What happened to one request.
struct RequestRecord {
  bool is_unsafe = false;
  bool is_first_on_connection = false;
  bool is_written = false;   // its last byte
  bool is_answered = false;  // by a whole response
  bool is_ended = false;     // its connection has ended without one
  SteadyTime written_at, ended_at;
  std::optional<SteadyTime> left_at;  // when the client closed
  int attempts = 0, executions = 0;
  SteadyTime last_attempt_at;
};

using RequestLog = std::map<std::string, RequestRecord>;

// A host that answers after some milliseconds, and declines, fails, resets or leaves hanging some requests.
class FaultyHost {
 public:
  FaultyHost(asio::io_context& io, unsigned seed, RequestLog& log)
      : peer(io), io_(io), random_(seed), log_(log) {
    peer.keeps_requests = false;
    peer.serve = [this](const Peer::ReceivedRequest& request) { Serve(request); };
  }

  Peer peer;
  std::optional<SteadyTime> last_attempt_at;

 private:
  void Serve(const Peer::ReceivedRequest& request) {
    RequestRecord& record = log_[std::string(request.http["Req-Id"])];
    ++record.attempts;
    record.last_attempt_at = std::chrono::steady_clock::now();
    last_attempt_at = record.last_attempt_at;
    const unsigned outcome = random_() % 100;
    if (outcome < 4) return request.connection->Reset();
    if (outcome < 10) return AnswerLater(request, 503, "Srv-Declined", "1");
    ++record.executions;
    if (outcome < 13) return AnswerLater(request, 500, "", "");
    if (outcome < 15) return;  // hangs
    AnswerLater(request, 200, "", "");
  }
  void AnswerLater(const Peer::ReceivedRequest& request, int status, const std::string& field,
                   const std::string& value) {
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(2 + random_() % 40));
    timer->async_wait([=](error_code) {
      request.Answer(status, "response to " + std::string(request.http["Req-Id"]), field, value);
    });
  }

  asio::io_context& io_;
  std::mt19937 random_;
  RequestLog& log_;
};

// A client that sends one request after the other, on one connection as long as that stays open.
class FaultyClient : public std::enable_shared_from_this<FaultyClient> {
 public:
  static constexpr int kDeadlineMs = 600;

  FaultyClient(asio::io_context& io, const tcp::endpoint& address, std::string name, unsigned seed,
               RequestLog& log)
      : io_(io),
        address_(address),
        name_(std::move(name)),
        random_(seed),
        log_(log),
        socket_(io),
        timer_(io) {}

  void Start() { Connect(); }
  // Opens no further connections; the one that it has is used until it ends.
  void StopConnecting() { connects_ = false; }

 private:
  void Connect() {
    if (!connects_) return;
    error_code ignored;
    socket_.close(ignored);
    socket_ = tcp::socket(io_);
    buffer_.consume(buffer_.size());
    responses_ = 0;
    socket_.async_connect(address_, [self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->socket_.set_option(tcp::no_delay(true), ec);
        return self->SendRequest();
      }
      self->After(std::chrono::milliseconds(20), [self] { self->Connect(); });
    });
  }

  // A request that is sent on a connection that the gateway has closed was never taken, so the connection is
  // looked at first, as clients do that reuse connections.
  void SendRequest() {
    if (gateway::HasPeerClosed(socket_)) return Connect();
    id_ = name_ + "-" + std::to_string(++requests_);
    static constexpr const char* kClasses[] = {"view", "key", "pay"};
    const std::string class_name = kClasses[random_() % 3];
    RequestRecord& record = log_[id_];
    record.is_unsafe = class_name == "pay";
    record.is_first_on_connection = responses_ == 0;
    text_ = ApiRequest(id_, class_name, std::to_string(kDeadlineMs) + "m", "",
                       class_name == "key" ? "Idempotency-Key: " + id_ + "\r\n" : "");
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), id = id_](error_code ec, std::size_t) {
                       if (self->id_ == id) self->OnResponse(ec);
                     });
    if (random_() % 10 == 0) {
      After(std::chrono::microseconds(random_() % 60000), [self = shared_from_this(), id = id_] {
        if (self->id_ == id) self->Leave();
      });
    }
    SendNextPiece();
  }

  void SendNextPiece() {
    const std::size_t size = random_() % 2 == 0 ? text_.size() : 1 + random_() % text_.size();
    error_code ec;
    asio::write(socket_, asio::buffer(text_.data(), size), ec);
    text_.erase(0, size);
    if (ec) return;  // the pending read ends the request
    if (text_.empty()) {
      log_[id_].is_written = true;
      log_[id_].written_at = std::chrono::steady_clock::now();
      return;
    }
    const auto send = [self = shared_from_this(), id = id_] {
      if (self->id_ == id) self->SendNextPiece();
    };
    const auto pause = std::chrono::microseconds(random_() % 4 == 0 ? random_() % 3000 : random_() % 40);
    const auto timer = std::make_shared<asio::steady_timer>(io_, pause);
    timer->async_wait([send, timer](error_code) { send(); });
  }

  void Leave() {
    log_[id_].left_at = std::chrono::steady_clock::now();
    id_.clear();
    Connect();
  }

  void OnResponse(error_code ec) {
    RequestRecord& record = log_[id_];
    const bool is_whole =
        !ec && (parser_->get().result() != http::status::ok || parser_->get().body() == "response to " + id_);
    record.is_answered = is_whole;
    record.is_ended = !is_whole;
    record.ended_at = std::chrono::steady_clock::now();
    id_.clear();
    ++responses_;
    if (ec || !parser_->get().keep_alive()) return Connect();
    After(std::chrono::milliseconds(random_() % 10), [self = shared_from_this()] { self->SendRequest(); });
  }

  template <typename Duration, typename Next>
  void After(Duration delay, Next next) {
    timer_.expires_after(delay);
    timer_.async_wait([next](error_code ec) {
      if (!ec) next();
    });
  }

  asio::io_context& io_;
  const tcp::endpoint address_;
  const std::string name_;
  std::mt19937 random_;
  RequestLog& log_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string id_;    // of the current request; empty between requests
  std::string text_;  // what is left to send of it
  int requests_ = 0, responses_ = 0;
  bool connects_ = true;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_FAULTY_TRAFFIC_HPP_
