// Load generator for tests (closed-loop clients) and hosts that fail in a given way. Runs on the test's event
// loop and ends after a given number of requests.
#ifndef OPALSWITCH_TESTS_STANDINS_LOAD_HPP_
#define OPALSWITCH_TESTS_STANDINS_LOAD_HPP_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peers.hpp"

namespace opalswitch::testing {

// `connections` clients, each with one connection and one request in flight at a time. A closed connection is
// reopened; a request without a response counts as lost.
class Load {
 public:
  // `make_request` returns the text of the n-th request. The total is limited to `requests`.
  Load(asio::io_context& io, const tcp::endpoint& address, std::size_t connections, std::size_t requests,
       std::function<std::string(std::size_t)> make_request)
      : io_(io), address_(address), remaining_(requests), make_request_(std::move(make_request)) {
    for (std::size_t i = 0; i < connections; ++i) {
      clients_.push_back(std::make_shared<LoadClient>(*this));
      clients_.back()->Connect();
    }
  }
  ~Load() {
    for (const auto& client : clients_) client->Stop();
  }

  bool Done() const { return remaining_ == 0 && in_flight_ == 0; }
  std::size_t served() const { return Count(200); }
  std::size_t Count(unsigned status) const {
    const auto found = answers.find(status);
    return found == answers.end() ? 0 : found->second;
  }
  std::size_t Total() const {
    std::size_t n = lost;
    for (const auto& [status, count] : answers) n += count;
    return n;
  }
  double ServedShare() const {
    return Total() == 0 ? 0 : static_cast<double>(served()) / static_cast<double>(Total());
  }
  // Returns the latency quantile of the served requests in ms; 0 if there are none.
  double Quantile(double fraction) {
    if (times.empty()) return 0;
    std::sort(times.begin(), times.end());
    return times[std::min(times.size() - 1,
                          static_cast<std::size_t>(fraction * static_cast<double>(times.size())))];
  }

  std::map<unsigned, std::size_t> answers;    // responses by status
  std::map<std::string, std::size_t> causes;  // the gateway's own replies by cause
  std::size_t lost = 0;                       // connections closed without a response
  std::vector<double> times;                  // latencies of served requests in ms

 private:
  using Clock = std::chrono::steady_clock;
  struct LoadClient : std::enable_shared_from_this<LoadClient> {
    explicit LoadClient(Load& owner) : load(&owner), socket(owner.io_) {}

    void Connect() {
      if (load == nullptr || load->remaining_ == 0) return;
      socket = tcp::socket(load->io_);
      buffer.consume(buffer.size());
      socket.async_connect(load->address_, [self = shared_from_this()](error_code ec) {
        if (self->load == nullptr) return;
        ec ? self->OnConnectionLost() : self->SendNext();
      });
    }
    void SendNext() {
      if (load == nullptr || load->remaining_ == 0) return;
      --load->remaining_;
      ++load->in_flight_;
      sent_at = Clock::now();
      text = load->make_request_(load->sent_++);
      asio::async_write(socket, asio::buffer(text), [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->load == nullptr) return;
        if (ec) return self->OnConnectionLost();
        self->parser.emplace();
        http::async_read(self->socket, self->buffer, *self->parser,
                         [self](error_code read_ec, std::size_t) { self->OnResponse(read_ec); });
      });
    }
    void OnResponse(error_code ec) {
      if (load == nullptr) return;
      if (ec) return OnConnectionLost();
      --load->in_flight_;
      const auto& response = parser->get();
      ++load->answers[response.result_int()];
      if (response.count(gateway::kCauseHeader) > 0)
        ++load->causes[std::string(response[gateway::kCauseHeader])];
      if (response.result_int() == 200) {
        load->times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - sent_at).count());
      }
      response.keep_alive() ? SendNext() : Connect();
    }
    void OnConnectionLost() {
      if (load->in_flight_ > 0) {
        --load->in_flight_;
        ++load->lost;
      }
      Connect();
    }
    void Stop() {
      load = nullptr;
      error_code ignored;
      socket.close(ignored);
    }

    Load* load;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::string text;
    Clock::time_point sent_at;
  };

  asio::io_context& io_;
  const tcp::endpoint address_;
  std::size_t remaining_, in_flight_ = 0, sent_ = 0;
  const std::function<std::string(std::size_t)> make_request_;
  std::vector<std::shared_ptr<LoadClient>> clients_;
};

// How a host fails completely.
enum class HostFailure { kNone, kHang, kRefuseConnections, kRespond500, kEndlessResponse };

// Makes the peer respond 200 with its name, or fail as given.
inline void ScriptHost(Peer& peer, HostFailure failure, const std::string& name) {
  if (failure == HostFailure::kRefuseConnections) return peer.StopListening();
  peer.serve = [failure, name](const Peer::ReceivedRequest& request) {
    if (failure == HostFailure::kNone) request.Answer(200, name);
    if (failure == HostFailure::kRespond500) request.Answer(500, "no");
    if (failure != HostFailure::kEndlessResponse) return;
    // Announces 3 GB and sends them as long as the gateway reads.
    request.connection->Raw("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
    const auto block = std::make_shared<std::string>(64 * 1024, 'x');
    const auto send = std::make_shared<std::function<void(error_code, std::size_t)>>();
    *send = [on = request.connection, block, weak = std::weak_ptr(send)](error_code ec, std::size_t) {
      const auto again = weak.lock();
      if (ec || !again) return;
      asio::async_write(on->socket, asio::buffer(*block),
                        [again](error_code sent, std::size_t n) { (*again)(sent, n); });
    };
    (*send)({}, 0);
  };
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_LOAD_HPP_
