#include "upstream/host_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr double kIdleShare = 1.0 / 3;     // part of the hosts' idle limit after which a connection is closed
constexpr int kMostInterim = 8;            // 1xx answers ahead of the final one
constexpr int kReceiveBuffer = 64 * 1024;  // before the system doubles it
constexpr std::size_t kMostBuffer = 32768;  // holds a whole head; bodies pass through it

// Only 503 and 504 with Srv-Declined prove that a request never ran.
Result ToResult(const HttpResponse& response, bool plain) {
  const http::status status = response.result();
  if (plain ? response.result_int() < 500 : status == http::status::ok) return Result::kServed;
  const bool declines =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  return declines && response["Srv-Declined"] == "1" ? Result::kRejected : Result::kError;
}

// Answers that end with their head, whatever it says of a length (RFC 9112 6.3).
bool EndsWithItsHead(http::verb method, unsigned status) {
  return method == http::verb::head || status == 204 || status == 304;
}

// The request as it goes to a host, with what is left of its time. Written by hand: the library's way copies
// the message and goes through a stream, which costs more than all decisions together.
std::string Serialize(const HttpRequest& request, std::int64_t left) {
  const auto named = NamedByConnection(request);
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
        std::any_of(named.begin(), named.end(),
                    [&](const auto& n) { return boost::beast::iequals(n, name); })) {
      continue;
    }
    add(name, ": "sv, field.value(), "\r\n"sv);
  }
  const std::size_t size = request.body().size();
  if (size > 0 || method == http::verb::post || method == http::verb::put || method == http::verb::options) {
    add("Content-Length: "sv, std::to_string(size), "\r\n"sv);  // RFC 9110 8.6: where a body may be expected
  }
  add("Req-Deadline: "sv, std::to_string(std::max<std::int64_t>(1, left)), "m\r\n\r\n"sv, request.body());
  return out;
}

}  // namespace

// A connection, from its dial to its close. Between requests nothing is read: whatever can be read then, a
// close or bytes that no request asked for, ends the connection.
class HostPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    std::uint64_t attempt;
    std::shared_ptr<const HttpRequest> request;
    Millis deadline;
    Done done;
  };

  Connection(HostPool& pool, std::string host, tcp::endpoint address)
      : pool_(pool), host_(std::move(host)), address_(address), socket_(pool.io_), timer_(pool.io_) {}

  // False if no descriptor is to be had.
  bool Open() {
    error_code ec;
    socket_.open(address_.protocol(), ec);
    if (ec) return false;
    socket_.set_option(tcp::no_delay(true), ec);
    // A host that sends without end fills no more than this of the kernel's memory, and of its time.
    if (pool_.limits_.plain) socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ec);
    ++pool_.connections_;
    open_ = true;
    return true;
  }

  void Dial(Job job) {
    Take(std::move(job));
    Arm(std::min(job_->deadline, Now() + pool_.limits_.dial_timeout));
    socket_.async_connect(address_, [self = shared_from_this()](error_code ec) {
      if (self->open_) self->Dialled(ec);
    });
  }

  void Run(Job job) {
    Take(std::move(job));
    Arm(job_->deadline);
    Write();
  }

  // Whether the host has neither closed an idle connection nor sent anything on it. The pending wait may not
  // have been told yet, so the socket itself is asked.
  bool Fresh() {
    char byte = 0;
    return open_ && buffer_.size() == 0 &&
           ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  Millis rested_at() const { return rested_at_; }

  // Ends the job, if there is one, and the connection with it.
  void End(Result result) {
    Close();
    Finish(result, {});
  }

  void Close() {
    if (!std::exchange(open_, false)) return;
    --pool_.connections_;
    if (pool_.limits_.release_socket) pool_.limits_.release_socket();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Take(Job job) {
    job_ = std::move(job);
    outgoing_.clear();
    written_ = 0;
    interim_ = 0;
    ++turn_;  // the wait of an idle connection means nothing any more
    pool_.active_[job_->attempt] = shared_from_this();
  }

  void Finish(Result result, HttpResponse response) {
    if (!job_) return;
    const Job job = *std::exchange(job_, std::nullopt);
    pool_.active_.erase(job.attempt);
    job.done(result, std::move(response));
  }

  void Arm(Millis until) {
    due_ = until;
    timer_.expires_after(ToDuration(until - Now()));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->open_) self->TimeUp();
    });
  }

  bool WrittenWhole() const { return !outgoing_.empty() && written_ == outgoing_.size(); }

  void TimeUp() {
    if (Now() < due_ - 1) return;  // set anew when this wait was already due
    if (!job_) {
      pool_.Forget(host_, this);
      return Close();
    }
    End(WrittenWhole() ? Result::kTimedOut : Result::kConnectFailed);
  }

  void Dialled(error_code ec) {
    if (ec) return End(Result::kConnectFailed);
    // The dial took time: the host may have begun to drain, or may have moved.
    if (!pool_.MayUse(host_, address_)) return End(Result::kNotSent);
    Arm(job_->deadline);
    Write();
  }

  void Write() {
    outgoing_ = Serialize(*job_->request, static_cast<std::int64_t>(job_->deadline - Now()));
    method_ = job_->request->method();
    job_->request.reset();
    error_code ec;
    socket_.non_blocking(true, ec);
    if (ec) return End(Result::kConnectFailed);
    WriteMore();
  }

  // Counts what the kernel took at the moment it takes it: an asynchronous write would tell later, and a
  // time-out in between would call a request never sent that its host has.
  void WriteMore() {
    error_code ec;
    while (written_ < outgoing_.size() && !ec) {
      written_ += socket_.write_some(asio::buffer(outgoing_) + written_, ec);
    }
    if (ec && ec != asio::error::would_block) return End(Result::kConnectFailed);  // its last byte never left
    if (WrittenWhole()) return ReadHead();
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), turn = turn_](error_code) {
      if (self->open_ && self->turn_ == turn) self->WriteMore();
    });
  }

  void ReadHead() {
    parser_.emplace();
    parser_->body_limit(pool_.limits_.max_response_bytes);
    parser_->header_limit(kMaxHeaderBytes);
    if (method_ == http::verb::head) parser_->skip(true);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->open_) self->HeadRead(ec);
                            });
  }

  // What can't be read, or can't be proved whole, is no answer: the request may have run.
  void HeadRead(error_code ec) {
    if (ec) return End(Result::kReset);
    const auto& head = parser_->get();
    if (head.result_int() / 100 == 1) {  // by number: the library has no name for all of them
      if (++interim_ > kMostInterim || head.result() == http::status::switching_protocols) {
        return End(Result::kReset);
      }
      return ReadHead();
    }
    const auto length = parser_->content_length();
    const Framing framing = FramingOf(head);
    if (pool_.limits_.plain && EndsWithItsHead(method_, head.result_int())) {
      if (framing == Framing::kAmbiguous || !parser_->is_done()) return End(Result::kReset);
      return Received({});
    }
    if (framing != Framing::kDelimited || (length && *length > pool_.limits_.max_response_bytes)) {
      return End(Result::kReset);
    }
    if (parser_->is_done()) return Received({});
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->open_) self->Received(ec);
    });
  }

  void Received(error_code ec) {
    // Seen with Boost 1.74: an answer one byte over the parser's own limit got through.
    if (ec || parser_->get().body().size() > pool_.limits_.max_response_bytes) return End(Result::kReset);
    HttpResponse response = parser_->release();
    const bool reusable = response.keep_alive() && Fresh() && pool_.MayUse(host_, address_);
    // Back to the pool before the outcome is told, for it may lead to the next send.
    if (reusable) {
      Rest();
    } else {
      Close();
    }
    const Result result = ToResult(response, pool_.limits_.plain);
    Finish(result, std::move(response));
  }

  void Rest() {
    parser_.reset();
    outgoing_ = {};
    if (buffer_.capacity() > 4096) buffer_.shrink_to_fit();
    rested_at_ = Now();
    Arm(rested_at_ + pool_.limits_.idle_timeout * kIdleShare);
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), turn = ++turn_](error_code) {
      if (!self->open_ || self->turn_ != turn) return;
      self->pool_.Forget(self->host_, self.get());
      self->Close();
    });
    pool_.hosts_[host_].idle.push_back(shared_from_this());
  }

  HostPool& pool_;
  const std::string host_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Millis due_ = 0;
  Millis rested_at_ = 0;
  boost::beast::flat_buffer buffer_{kMostBuffer};
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string outgoing_;
  std::size_t written_ = 0;  // bytes of it that the kernel has taken
  int interim_ = 0;
  http::verb method_ = http::verb::unknown;  // of the request that is answered
  std::uint64_t turn_ = 0;
  std::optional<Job> job_;
  bool open_ = false;
};

HostPool::HostPool(asio::io_context& io, Limits limits) : io_(io), limits_(std::move(limits)) {}

HostPool::~HostPool() {
  for (auto& [id, host] : hosts_) CloseIdle(host);
  for (const auto& [attempt, connection] : std::exchange(active_, {})) connection->Close();
}

void HostPool::Update(const HostList& list) {
  if (list.complete) {
    for (auto& [id, host] : hosts_) host.up = false;
  }
  for (const Host& entry : list.hosts) {
    HostState& host = hosts_[entry.server.id];
    host.up = entry.server.state == ServerState::kUp;
    if (host.address != entry.address) CloseIdle(host);
    host.address = entry.address;
  }
  for (auto& [id, host] : hosts_) {
    if (!host.up) CloseIdle(host);
  }
  std::erase_if(hosts_, [](const auto& entry) { return !entry.second.up; });
}

std::uint64_t HostPool::Start(const std::string& host, std::shared_ptr<const HttpRequest> request,
                              Millis deadline, Done done) {
  const std::uint64_t attempt = next_attempt_++;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || Now() >= deadline) {
    done(Result::kNotSent, {});
    return attempt;
  }
  Connection::Job job{attempt, std::move(request), deadline, std::move(done)};
  auto& idle = found->second.idle;
  while (!idle.empty()) {
    const auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Fresh()) {
      connection->Run(std::move(job));
      return attempt;
    }
    connection->Close();
  }
  if (!TakeSocket()) {
    job.done(Result::kNotSent, {});
    return attempt;
  }
  const auto connection = std::make_shared<Connection>(*this, host, found->second.address);
  if (connection->Open()) {
    connection->Dial(std::move(job));
  } else {
    if (limits_.release_socket) limits_.release_socket();
    job.done(Result::kNotSent, {});
  }
  return attempt;
}

void HostPool::Cancel(std::uint64_t attempt) {
  const auto found = active_.find(attempt);
  if (found == active_.end()) return;
  const auto connection = found->second;  // End takes it out of the map
  connection->End(Result::kCancelled);
}

void HostPool::CloseIdle(HostState& host) {
  for (const auto& connection : std::exchange(host.idle, {})) connection->Close();
}

// Room for one more connection: by the pool's own limit, and out of what all pools share. An idle connection
// of this pool gives way for it, never one of another.
bool HostPool::TakeSocket() {
  if (connections_ >= limits_.max_connections && !EvictIdle()) return false;
  if (!limits_.acquire_socket) return true;
  return limits_.acquire_socket() || (EvictIdle() && limits_.acquire_socket());
}

// Makes room by closing the connection that has been idle for longest. Each host's are in that order.
bool HostPool::EvictIdle() {
  HostState* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    if (oldest == nullptr || host.idle.front()->rested_at() < oldest->idle.front()->rested_at())
      oldest = &host;
  }
  if (oldest == nullptr) return false;
  oldest->idle.front()->Close();
  oldest->idle.erase(oldest->idle.begin());
  return true;
}

bool HostPool::MayUse(const std::string& host, const tcp::endpoint& address) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.address == address;
}

void HostPool::Forget(const std::string& host, const Connection* connection) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace opalswitch::gateway
