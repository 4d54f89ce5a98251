// Load for tests: clients that ask again as soon as they are answered, and hosts that fail in a chosen way.
// All of it runs on the test's own event loop and ends when it has asked often enough.
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

// `connections` clients on one kind of request, each with one connection at a time and one request out on it.
// A closed connection is opened anew; a request that was lost on it counts as lost.
class Load {
 public:
  // `request` words the n-th request.
  Load(asio::io_context& io, const tcp::endpoint& at, std::size_t connections, std::size_t requests,
       std::function<std::string(std::size_t)> request)
      : io_(io), at_(at), left_(requests), request_(std::move(request)) {
    for (std::size_t i = 0; i < connections; ++i) {
      callers_.push_back(std::make_shared<Caller>(*this));
      callers_.back()->Connect();
    }
  }
  ~Load() {
    for (const auto& caller : callers_) caller->End();
  }

  bool Done() const { return left_ == 0 && out_ == 0; }
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
  // Milliseconds that a part of the served requests took at most; 0 if there are none.
  double Quantile(double part) {
    if (times.empty()) return 0;
    std::sort(times.begin(), times.end());
    return times[std::min(times.size() - 1,
                          static_cast<std::size_t>(part * static_cast<double>(times.size())))];
  }

  std::map<unsigned, std::size_t> answers;    // by status
  std::map<std::string, std::size_t> causes;  // the gateway's own answers, by cause
  std::size_t lost = 0;                       // connection closed without an answer
  std::vector<double> times;                  // of the served, in ms

 private:
  using Clock = std::chrono::steady_clock;
  struct Caller : std::enable_shared_from_this<Caller> {
    explicit Caller(Load& owner) : load(&owner), socket(owner.io_) {}

    void Connect() {
      if (load == nullptr || load->left_ == 0) return;
      socket = tcp::socket(load->io_);
      buffer.consume(buffer.size());
      socket.async_connect(load->at_, [self = shared_from_this()](error_code ec) {
        if (self->load == nullptr) return;
        ec ? self->Lost() : self->Ask();
      });
    }
    void Ask() {
      if (load == nullptr || load->left_ == 0) return;
      --load->left_;
      ++load->out_;
      begun = Clock::now();
      text = load->request_(load->asked_++);
      asio::async_write(socket, asio::buffer(text), [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->load == nullptr) return;
        if (ec) return self->Lost();
        self->parser.emplace();
        http::async_read(self->socket, self->buffer, *self->parser,
                         [self](error_code read_ec, std::size_t) { self->Answered(read_ec); });
      });
    }
    void Answered(error_code ec) {
      if (load == nullptr) return;
      if (ec) return Lost();
      --load->out_;
      const auto& answer = parser->get();
      ++load->answers[answer.result_int()];
      if (answer.count(gateway::kCauseHeader) > 0) ++load->causes[std::string(answer[gateway::kCauseHeader])];
      if (answer.result_int() == 200) {
        load->times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begun).count());
      }
      answer.keep_alive() ? Ask() : Connect();
    }
    void Lost() {
      if (load->out_ > 0) {
        --load->out_;
        ++load->lost;
      }
      Connect();
    }
    void End() {
      load = nullptr;
      error_code ignored;
      socket.close(ignored);
    }

    Load* load;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::string text;
    Clock::time_point begun;
  };

  asio::io_context& io_;
  const tcp::endpoint at_;
  std::size_t left_, out_ = 0, asked_ = 0;
  const std::function<std::string(std::size_t)> request_;
  std::vector<std::shared_ptr<Caller>> callers_;
};

// How a host fails whole.
enum class Broken { kNot, kHangs, kRefuses, kErrors, kEndless };

// Has the peer answer 200 with its name, or fail.
inline void Behave(Peer& peer, Broken how, const std::string& name) {
  if (how == Broken::kRefuses) return peer.StopListening();
  peer.serve = [how, name](const Peer::Taken& taken) {
    if (how == Broken::kNot) taken.Answer(200, name);
    if (how == Broken::kErrors) taken.Answer(500, "no");
    if (how != Broken::kEndless) return;
    // 3 GB are promised, and sent for as long as anybody reads.
    taken.on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
    const auto block = std::make_shared<std::string>(64 * 1024, 'x');
    const auto send = std::make_shared<std::function<void(error_code, std::size_t)>>();
    *send = [on = taken.on, block, weak = std::weak_ptr(send)](error_code ec, std::size_t) {
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
