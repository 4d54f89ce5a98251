// Scripted servers and clients on loopback for end-to-end tests. They share the gateway's event loop; tests
// wait for expected conditions instead of fixed times.
#ifndef OPALSWITCH_TESTS_PEERS_HPP_
#define OPALSWITCH_TESTS_PEERS_HPP_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/http_types.hpp"

namespace opalswitch::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using gateway::HttpRequest;
using gateway::HttpResponse;
using tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

inline tcp::endpoint Loopback(unsigned short port = 0) { return {asio::ip::address_v4::loopback(), port}; }

inline std::string ToText(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

// Runs the event loop until `done()`; returns false after 30 s, far more than any healthy run takes.
template <typename Done>
bool RunUntil(asio::io_context& io, Done done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

// An HTTP server that keeps each request until the test responds to it.
class Peer {
 public:
  struct ReceivedRequest;
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(Peer& owner, tcp::socket s) : peer(owner), socket(std::move(s)) {}

    void Read() {
      parser.emplace();
      parser->body_limit(1 << 20);
      http::async_read(socket, buffer, *parser, [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) {
          self->ended = true;
          return;
        }
        ReceivedRequest received{self->parser->release(), self};
        self->Read();
        if (self->peer.keeps_requests) self->peer.requests.push_back(received);
        if (self->peer.serve) self->peer.serve(received);
      });
    }
    // Sends `text` unchanged.
    void Raw(std::string text) {
      const auto kept = std::make_shared<std::string>(std::move(text));
      asio::async_write(socket, asio::buffer(*kept),
                        [kept, self = shared_from_this()](error_code, std::size_t) {});
    }
    void Close() {
      error_code ignored;
      socket.close(ignored);
    }
    // Closes the connection with a TCP RST.
    void Reset() {
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }

    Peer& peer;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    bool ended = false;  // closed by the gateway
  };

  // A request and the connection to answer it on.
  struct ReceivedRequest {
    HttpRequest http;
    std::shared_ptr<Connection> connection;

    void Answer(int status, std::string body, const std::string& field = "",
                const std::string& value = "") const {
      HttpResponse response(static_cast<http::status>(status), 11);
      response.body() = std::move(body);
      response.prepare_payload();
      if (!field.empty()) response.set(field, value);
      std::ostringstream text;
      text << response;
      connection->Raw(text.str());
    }
  };

  explicit Peer(asio::io_context& io) : io_(io), acceptor_(io, Loopback()) { Accept(); }
  ~Peer() {
    for (const auto& connection : connections) connection->Close();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void StopListening() { acceptor_.close(); }
  // Simulates a lost machine: resets all connections and accepts none until GoOnline.
  void GoOffline() {
    address_ = acceptor_.local_endpoint();
    acceptor_.close();
    for (const auto& connection : std::exchange(connections, {})) connection->Reset();
  }
  void GoOnline() {
    acceptor_ = tcp::acceptor(io_, address_);
    Accept();
  }

  bool keeps_requests = true;  // store requests in `requests`; disable for long runs
  std::vector<ReceivedRequest> requests;
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(const ReceivedRequest&)> serve;  // called for each request, if set

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
      connections.back()->Read();
      Accept();
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint address_;
};

// An HTTP client with one connection.
class Client {
 public:
  Client(asio::io_context& io, const tcp::endpoint& address) : io_(io), state_(std::make_shared<State>(io)) {
    state_->socket.connect(address);
    state_->socket.set_option(tcp::no_delay(true));  // each Send is on the way at once
    Read(state_);
  }
  ~Client() { Disconnect(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& text) {
    error_code ignored;  // the gateway may close before it has read everything
    asio::write(state_->socket, asio::buffer(text), ignored);
  }
  void Disconnect() {
    error_code ignored;
    state_->socket.close(ignored);
  }

  // Waits for the n-th response on this connection and returns it.
  const HttpResponse& Await(std::size_t n = 1) {
    static const HttpResponse kNone(http::status::unknown, 11);
    if (RunUntil(io_, [&] { return answers().size() >= n; })) return answers()[n - 1];
    ADD_FAILURE() << "no response " << n;
    return kNone;
  }
  bool AwaitEnd() {
    return RunUntil(io_, [&] { return ended(); });
  }
  const std::vector<HttpResponse>& answers() const { return state_->answers; }
  bool ended() const { return state_->ended; }  // closed by the gateway

 private:
  struct State {  // outlives the client until its last read has completed
    explicit State(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::vector<HttpResponse> answers;
    bool ended = false;
  };

  static void Read(const std::shared_ptr<State>& state) {
    state->parser.emplace();
    http::async_read(state->socket, state->buffer, *state->parser, [state](error_code ec, std::size_t) {
      if (ec == asio::error::operation_aborted) return;
      if (ec) {
        state->ended = true;
        return;
      }
      state->answers.push_back(state->parser->release());
      Read(state);
    });
  }

  asio::io_context& io_;
  const std::shared_ptr<State> state_;
};

// Returns a request in the platform's protocol. `extra_headers` are complete header lines with line ends.
inline std::string ApiRequest(const std::string& id, const std::string& class_name = "view",
                              const std::string& deadline = "5000m", const std::string& body = "",
                              const std::string& extra_headers = "") {
  const bool safe = class_name == "view";
  std::string text = std::string(safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\n";
  text += "Req-Id: " + id + "\r\nReq-Kind: " + class_name + "\r\nReq-Deadline: " + deadline + "\r\n" +
          extra_headers;
  if (!safe || !body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Returns a member of a discovery response.
inline nlohmann::json Member(const std::string& id, const tcp::endpoint& address,
                             const std::string& phase = "up") {
  return {{"id", id},        {"host_port", ToText(address)},
          {"locality", "a"}, {"flavor", "m"},
          {"cell", 0},       {"phase", phase},
          {"size", 1.0},     {"up_since_ms", 0}};
}

// Returns a discovery response.
inline nlohmann::json List(int revision, bool complete, std::vector<nlohmann::json> members) {
  return {{"revision", revision}, {"complete", complete}, {"members", std::move(members)}};
}

// Returns platform settings with a safe, a keyed and an unsafe class, whose aims are far above what a busy
// machine needs.
inline nlohmann::json TestSettings() {
  const auto cls = [](const char* name, const char* effect) {
    return nlohmann::json{{"name", name},      {"sloMs", 20000.0},      {"deadlineMs", 20000.0},
                          {"importance", 1.0}, {"idempotency", effect}, {"lateWorth", 0.0}};
  };
  return {{"categories", {cls("view", "pure"), cls("key", "token"), cls("pay", "side_effect")}},
          {"membershipMode", "ask"},
          {"limits",
           {{"maxAttempts", 4},
            {"dialTimeoutMs", 5000.0},
            {"connIdleMs", 60000.0},
            {"cancelling", true},
            {"retryAfter", true},
            {"maxRetryAfterMs", 2000.0}}},
          {"report", {{"fields", {"inflight", "util"}}, {"source", "answers"}}},
          {"zone", "a"},
          {"somethingNew", {{"never", "heard of"}}}};
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_PEERS_HPP_
