// Stand-ins for hosts, clients, discovery and the operator, for the cases 6 to 10 of the review. Plain POSIX
// sockets and threads on the loopback address; no dependency besides the C++ library.
#ifndef FORKWICK_REVIEW_STANDINS_HPP_
#define FORKWICK_REVIEW_STANDINS_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCannotRun = 2;

using Clock = std::chrono::steady_clock;

// Milliseconds since the start of the case.
inline double NowMs() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntilMs(double time) { SleepMs(time - NowMs()); }

// Whether the case plays its disruption; TROUBLE=0 turns it off.
inline bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// The file record.txt: one line for each event, with its time.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc) {
    if (!out_) throw std::runtime_error("can't write " + path);
  }
  void Write(const std::string& text) {
    char at[32];
    std::snprintf(at, sizeof at, "%10.1f ms  ", NowMs());
    const std::lock_guard lock(mutex_);
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline std::string Fixed(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Opens a listening socket on a free port. Ports of closed sockets are not handed out again soon.
inline int ListenOnFreePort(int backlog, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof address;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(fd, backlog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw std::runtime_error("no free port");
  }
  port = ntohs(address.sin_port);
  return fd;
}

inline int FreePort() {
  int port = 0;
  close(ListenOnFreePort(1, port));
  return port;
}

inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

// An HTTP message: the start line, the header fields by lower-case name, and the body.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  // Of a response; 0 if there is none.
  int Status() const { return start_line.size() >= 12 ? std::atoi(start_line.c_str() + 9) : 0; }
  // Of a request: the part between the method and the version.
  std::string Target() const {
    const auto first = start_line.find(' ');
    const auto last = start_line.rfind(' ');
    return first < last ? start_line.substr(first + 1, last - first - 1) : "";
  }
};

// A connection that reads whole messages.
class Connection {
 public:
  enum class Read { kMessage, kTimeout, kEnd };

  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if the connection is refused.
  static std::unique_ptr<Connection> Open(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (fd < 0) return nullptr;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
      const ssize_t n = send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads one message with a Content-Length, or none, until `deadline`.
  Read ReadMessage(Message& message, double deadline) {
    for (;;) {
      if (TakeMessage(message)) return Read::kMessage;
      const double left = deadline - NowMs();
      if (left <= 0) return Read::kTimeout;
      pollfd descriptor{fd_, POLLIN, 0};
      const int ready = poll(&descriptor, 1, static_cast<int>(left) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) continue;
      char bytes[16384];
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return Read::kEnd;
      buffer_.append(bytes, static_cast<std::size_t>(n));
    }
  }

  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  // Ends the connection with a reset.
  void Reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    Close();
  }
  int fd() const { return fd_; }

 private:
  bool TakeMessage(Message& message) {
    const auto end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    Message parsed;
    std::istringstream head(buffer_.substr(0, end + 2));
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (parsed.start_line.empty()) {
        parsed.start_line = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const auto value = line.find_first_not_of(' ', colon + 1);
      parsed.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::string length = parsed.Field("content-length");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    if (buffer_.size() < end + 4 + body) return false;
    parsed.body = buffer_.substr(end + 4, body);
    buffer_.erase(0, end + 4 + body);
    message = std::move(parsed);
    return true;
  }

  int fd_;
  std::string buffer_;
};

// What a host does with a request.
struct Reply {
  double after_ms = 0;
  int status = 200;
  std::string body = "ok\n";
  bool reset = false;  // resets the connection instead of answering
  bool close = false;  // says Connection: close
};

// An HTTP/1.1 server with a thread for each connection.
class Host {
 public:
  using Handler = std::function<Reply(const Message&)>;

  Host(std::string name, Handler handler, int backlog = 128)
      : name_(std::move(name)), handler_(std::move(handler)), listener_(ListenOnFreePort(backlog, port_)) {
    acceptor_ = std::thread([this] { Accept(); });
  }
  // Connection threads are detached: a case ends with std::_Exit while its hosts still exist.
  ~Host() {
    is_stopped_ = true;
    acceptor_.join();
    close(listener_);
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  int port() const { return port_; }
  int connections_accepted() const { return connections_accepted_; }

  // Lets new connections come up late: none is accepted, and the accept queue (of a host with backlog 0) is
  // full, so that the kernel drops the first packet of a connection and the peer's kernel repeats it, 1 s
  // later on Linux.
  void HoldConnections() {
    const std::lock_guard lock(accept_mutex_);
    is_held_ = true;
    for (int i = 0; i < 2; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      const sockaddr_in address = Loopback(port_);
      (void)!connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      fillers_.push_back(fd);
    }
  }
  void ReleaseConnections() {
    const std::lock_guard lock(accept_mutex_);
    for (const int fd : std::exchange(fillers_, {})) close(fd);
    is_held_ = false;
  }

 private:
  void Accept() {
    while (!is_stopped_) {
      pollfd descriptor{listener_, POLLIN, 0};
      poll(&descriptor, 1, 5);
      if (is_held_) {
        SleepMs(5);
        continue;
      }
      const std::lock_guard lock(accept_mutex_);
      if (is_held_) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0) continue;
      fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
      ++connections_accepted_;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    Connection connection(fd);
    Message request;
    constexpr double kForeverMs = 1e9;
    while (connection.ReadMessage(request, kForeverMs) == Connection::Read::kMessage) {
      const Reply reply = handler_(request);
      SleepMs(reply.after_ms);
      if (reply.reset) return connection.Reset();
      const std::string text = "HTTP/1.1 " + std::to_string(reply.status) +
                               " Stand-in\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n" +
                               (reply.close ? "Connection: close\r\n" : "") + "\r\n" + reply.body;
      if (!connection.Write(text) || reply.close) return;
    }
  }

  const std::string name_;
  const Handler handler_;
  int port_ = 0;
  const int listener_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> connections_accepted_ = 0;
  std::mutex accept_mutex_;
  std::atomic<bool> is_held_ = false;
  std::vector<int> fillers_;
  std::thread acceptor_;
};

// The gateway as a process of its own, started from the repository's root by /bin/sh -c.
class Gateway {
 public:
  Gateway(const std::string& root, const std::string& command,
          const std::map<std::string, std::string>& variables, std::string log)
      : log_(std::move(log)) {
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ > 0) {
      Running().push_back(pid_);
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    if (chdir(root.c_str()) == 0) execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  ~Gateway() {
    if (!HasEnded()) Kill(pid_);
  }
  // Ends all gateways that still run.
  static void KillAll() {
    for (const pid_t pid : std::exchange(Running(), {})) Kill(pid);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Signal(int number) const { kill(pid_, number); }
  bool HasEnded() {
    if (!has_ended_ && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      has_ended_ = true;
      std::erase(Running(), pid_);
    }
    return has_ended_;
  }

  // Waits until GET /up answers 200.
  void AwaitReady(int port) {
    constexpr double kReadyWithinMs = 30000;
    for (const double end = NowMs() + kReadyWithinMs; NowMs() < end && !HasEnded(); SleepMs(20)) {
      const auto connection = Connection::Open(port);
      Message answer;
      if (connection && connection->Write("GET /up HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n") &&
          connection->ReadMessage(answer, NowMs() + 1000) == Connection::Read::kMessage &&
          answer.Status() == 200)
        return;
    }
    throw std::runtime_error("the gateway is not ready; its log: " + Log());
  }
  std::string Log() const {
    std::ifstream stream(log_);
    return {std::istreambuf_iterator<char>(stream), {}};
  }
  // Waits until the log holds `text` at least `times` times.
  void AwaitLog(const std::string& text, int times = 1) {
    constexpr double kLoggedWithinMs = 5000;
    for (const double end = NowMs() + kLoggedWithinMs; NowMs() < end; SleepMs(2)) {
      const std::string log = Log();
      int found = 0;
      for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) ++found;
      if (found >= times) return;
    }
    throw std::runtime_error("the gateway has not logged '" + text + "'; its log: " + Log());
  }

 private:
  static std::vector<pid_t>& Running() {
    static std::vector<pid_t> pids;
    return pids;
  }
  static void Kill(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    std::erase(Running(), pid);
  }

  const std::string log_;
  pid_t pid_ = -1;
  bool has_ended_ = false;
};

// What run.sh hands to a case: the repository's root, the command of deploy/balancer.toml, a temporary folder
// and the file to record to.
struct Arguments {
  std::string root, command, folder, record;
};

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0)
    throw std::runtime_error("can't write " + path);
}

// A discovery service in which all hosts stay up: GET /discovery/hosts gives them all, and a watch ends
// without news.
inline Host::Handler DiscoveryOf(std::string members) {
  return [members = std::move(members)](const Message& request) {
    Reply reply;
    const std::string target = request.Target();
    const auto wait = target.find("wait_ms=");
    if (wait == std::string::npos) {
      reply.body = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}";
    } else {
      reply.after_ms = std::atof(target.c_str() + wait + 8);
      reply.body = R"({"revision":1,"complete":false,"members":[]})";
    }
    return reply;
  };
}

inline std::string MemberJson(const std::string& id, int port, const std::string& phase = "up") {
  return "{\"id\":\"" + id + "\",\"host_port\":\"" + AddressOf(port) +
         "\",\"locality\":\"dc1\",\"flavor\":\"mid\"," + "\"cell\":0,\"phase\":\"" + phase +
         "\",\"size\":1.0,\"up_since_ms\":0}";
}

// Ends the case: ends the gateways, then the process at once, because threads of the stand-ins still run.
[[noreturn]] inline void End(Record& record, int code, const std::string& text) {
  Gateway::KillAll();
  record.Write(text);
  std::_Exit(code);
}

// Writes whether the rule held, and ends the case. A case calls it before its stand-ins are destroyed.
[[noreturn]] inline void EndWithVerdict(Record& record, bool held) {
  End(record, held ? kRuleHeld : kRuleBroken, held ? "the rule held" : "THE RULE WAS BROKEN");
}

// Ends the case without a verdict: the set-up did not work.
[[noreturn]] inline void EndWithoutVerdict(Record& record, const std::string& reason) {
  End(record, kCannotRun, "the case could not run: " + reason);
}

// Runs a case, which ends the process.
inline int Main(int argc, char** argv, const std::function<void(const Arguments&, Record&)>& play) {
  if (argc != 5) return std::fprintf(stderr, "usage: %s ROOT COMMAND FOLDER RECORD\n", argv[0]), kCannotRun;
  NowMs();
  try {
    const Arguments arguments{argv[1], argv[2], argv[3], argv[4]};
    Record record(arguments.record);
    record.Write(HasTrouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
    play(arguments, record);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
  }
  Gateway::KillAll();
  std::_Exit(kCannotRun);
}

}  // namespace review

#endif  // FORKWICK_REVIEW_STANDINS_HPP_
