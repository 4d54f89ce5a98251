// What the cases of review/ share: a record, stand-ins for hosts and discovery, a client, and the start and
// end of the project's programs. Blocking sockets and a thread a connection; loopback addresses alone.
#ifndef REVIEW_LAB_HPP_
#define REVIEW_LAB_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lab {

inline double NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record -------------------------------------------------------------------------------
inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
__attribute__((format(printf, 1, 2))) inline void Record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  va_list arguments;
  va_start(arguments, format);
  if (record_file) {
    std::fprintf(record_file, "%9.1f ", NowMs());
    std::vfprintf(record_file, format, arguments);
    std::fputc('\n', record_file);
  }
  va_end(arguments);
}
// Into the record and onto standard output.
__attribute__((format(printf, 1, 2))) inline void Say(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record("%s", text);
  std::printf("%s\n", text);
  std::fflush(stdout);
}
inline std::string Variable(const char* name, const char* otherwise = "") {
  const char* const value = std::getenv(name);
  return value ? value : otherwise;
}
inline bool Trouble() { return Variable("TROUBLE", "1") != "0"; }

// ---- sockets ----------------------------------------------------------------------------------
inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}
inline int Listen() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return fd;
}
// A port that nobody listens on now.
inline int FreePort() {
  const int fd = Listen();
  const int port = PortOf(fd);
  close(fd);
  return port;
}
inline void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    NoDelay(fd);
    return fd;
  }
  if (fd >= 0) close(fd);
  return -1;
}
inline bool WriteAll(int fd, const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t n = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// ---- HTTP/1.1 messages with plain lengths -----------------------------------------------------
struct Message {
  std::string start, body;                     // the first line, without its end
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Header(const char* name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};
enum class Got { kWhole, kEnd, kTimeout };  // kEnd: the connection ended, or the message made no sense
inline Got Read(int fd, std::string& buffer, Message& message, double until_ms) {
  message = {};
  std::size_t length = 0, head_end = std::string::npos;
  for (;;) {
    if (head_end == std::string::npos && (head_end = buffer.find("\r\n\r\n")) != std::string::npos) {
      std::size_t at = buffer.find("\r\n");
      message.start = buffer.substr(0, at);
      while (at < head_end) {
        const std::size_t begin = at + 2;
        at = std::min(buffer.find("\r\n", begin), head_end);
        const std::string line = buffer.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) return Got::kEnd;
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
      }
      length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
      head_end += 4;
    }
    if (head_end != std::string::npos && buffer.size() >= head_end + length) {
      message.body = buffer.substr(head_end, length);
      buffer.erase(0, head_end + length);
      return Got::kWhole;
    }
    pollfd wait{fd, POLLIN, 0};
    const double left = until_ms - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left) + 1) == 0) return Got::kTimeout;
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return Got::kEnd;
    buffer.append(bytes, static_cast<std::size_t>(n));
  }
}
inline std::string Answer(const std::string& status, const std::string& body,
                          const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// ---- a server with a thread a connection ------------------------------------------------------
class Server {
 public:
  using Serve = std::function<void(int fd)>;  // must not close fd
  explicit Server(Serve serve) : listener_(Listen()), port_(PortOf(listener_)) {
    std::thread([this, serve] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        NoDelay(fd);
        std::thread([serve, fd] {
          serve(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  const int listener_;
  const int port_;
};

// A network between two sides: passes on what comes, in its order, `one_way_ms` later in each direction.
inline void PassOn(int from, int to, double one_way_ms) {
  struct Pieces {
    std::mutex mutex;
    std::condition_variable more;
    std::deque<std::pair<double, std::string>> queue;
  } pieces;
  std::thread reader([&] {
    char bytes[65536];
    for (;;) {
      const ssize_t n = recv(from, bytes, sizeof bytes, 0);
      const std::lock_guard lock(pieces.mutex);
      pieces.queue.push_back(
          {NowMs() + one_way_ms, std::string(bytes, n > 0 ? static_cast<std::size_t>(n) : 0)});
      pieces.more.notify_one();
      if (n <= 0) return;
    }
  });
  for (;;) {
    std::unique_lock lock(pieces.mutex);
    pieces.more.wait(lock, [&] { return !pieces.queue.empty(); });
    const auto [at, text] = std::move(pieces.queue.front());
    pieces.queue.pop_front();
    lock.unlock();
    SleepMs(at - NowMs());
    if (text.empty() || !WriteAll(to, text)) break;
  }
  shutdown(to, SHUT_RDWR);
  shutdown(from, SHUT_RDWR);
  reader.join();
}
class Network {
 public:
  Network(int to_port, double one_way_ms)
      : server_([to_port, one_way_ms](int fd) {
          const int far = Connect(to_port);
          if (far < 0) return;
          std::thread back([&] { PassOn(far, fd, one_way_ms); });
          PassOn(fd, far, one_way_ms);
          back.join();
          close(far);
        }) {}
  int port() const { return server_.port(); }

 private:
  Server server_;
};

// ---- discovery: the whole list, and watches ---------------------------------------------------
class Discovery {
 public:
  explicit Discovery(std::string members)
      : members_(std::move(members)), server_([this](int fd) { Serve(fd); }) {}
  int port() const { return server_.port(); }

 private:
  void Serve(int fd) {
    std::string buffer;
    for (Message request; Read(fd, buffer, request, 1e12) == Got::kWhole;) {
      const std::size_t after = request.start.find("after="), wait = request.start.find("wait_ms=");
      const bool knows = after != std::string::npos && std::atoi(request.start.c_str() + after + 6) >= 1;
      if (knows && wait != std::string::npos) SleepMs(std::atoi(request.start.c_str() + wait + 8));
      Record("discovery: %s: %s", request.start.c_str(), knows ? "no news" : "the whole list");
      const std::string list = knows ? "{\"revision\":1,\"complete\":false,\"members\":[]}"
                                     : "{\"revision\":1,\"complete\":true,\"members\":[" + members_ + "]}";
      if (!WriteAll(fd, Answer("200 OK", list, "Content-Type: application/json\r\n"))) return;
    }
  }
  const std::string members_;
  Server server_;
};
inline std::string Member(const std::string& id, int port, const std::string& phase = "up") {
  return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"locality\":\"santiago-dc1\",\"flavor\":\"dual-mid\",\"cell\":0,\"phase\":\"" + phase +
         "\",\"size\":1.0,\"up_since_ms\":0}";
}

// The settings of the wire format's example for santiago-cambios, as the platform's JSON.
inline std::string Settings() {
  const auto category = [](const char* name, int deadline, int aim, const char* effect) {
    char text[400];
    std::snprintf(
        text, sizeof text,
        "{\"name\":\"%s\",\"deadlineMs\":%d.0,\"sloMs\":%d.0,\"idempotency\":\"%s\",\"group\":\"all\","
        "\"importance\":1.0,\"lateWorth\":0.0,\"repeatWindowMs\":5000.0,\"streamed\":false}",
        name, deadline, aim, effect);
    return std::string(text);
  };
  return "{\"azs\":[\"santiago-dc1\"],\"zone\":\"santiago-dc1\",\"categories\":[" +
         category("basket-view", 800, 400, "pure") + "," + category("pause-week", 6000, 1500, "side_effect") +
         "," + category("recipe-swap", 5000, 1000, "side_effect") +
         "],\"clientHabits\":{\"marksRetry\":true},\"family\":\"proxy\",\"membershipMode\":\"ask\","
         "\"limits\":{\"cancelling\":true,\"connIdleMs\":60000.0,\"dialTimeoutMs\":200.0,\"maxAttempts\":4,"
         "\"maxRetryAfterMs\":2000.0,\"mayProbe\":true,\"multiplex\":1,\"parallelTries\":true,\"retryAfter\":"
         "true},"
         "\"machineTypes\":[\"single-fast\",\"dual-mid\",\"single-slow\"],\"peersTotal\":1,\"selfIndex\":0,"
         "\"report\":{\"fields\":[\"inflight\",\"util\"],\"source\":\"answers\"},"
         "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.12,\"coldMs\":22000.0,\"drainGraceMs\":500.0,"
         "\"fallMs\":2000.0,\"fallMultiple\":3.0,\"graceToAnswerMs\":20.0},"
         "\"scoreParts\":{\"whole\":0.4,\"worstClass\":0.1,\"worstTenant\":0.4,\"worstWindow\":0.1},"
         "\"tickMs\":5.0}";
}

inline void WriteFile(const std::string& path, const std::string& text) {
  const std::string next = path + ".next";
  std::FILE* const file = std::fopen(next.c_str(), "w");
  if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size() || std::fclose(file) != 0 ||
      std::rename(next.c_str(), path.c_str()) != 0) {
    std::perror(path.c_str());
    std::_Exit(2);
  }
}

// ---- the project's program --------------------------------------------------------------------
// Runs a command by /bin/sh in the repository's root, as the platform does; `exec` in it makes the id the
// program's.
class Program {
 public:
  Program(const std::string& command, const std::map<std::string, std::string>& variables,
          const std::string& log) {
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    const std::string root = Variable("ROOT", ".");
    pid_ = fork();
    if (pid_ == 0) {
      const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (chdir(root.c_str()) != 0) _exit(126);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Record("started: %s (process %d)", command.c_str(), pid_);
  }
  ~Program() { End(); }
  pid_t pid() const { return pid_; }
  // Whether it still runs. Once it does not, status() says how it ended.
  bool Runs() {
    const std::lock_guard lock(mutex_);
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
      ended_at_ = NowMs();
    }
    return !ended_;
  }
  std::string status() const {
    if (WIFSIGNALED(status_)) return std::string("ended by signal ") + strsignal(WTERMSIG(status_));
    return "ended with " + std::to_string(WEXITSTATUS(status_));
  }
  double ended_at() const { return ended_at_; }
  void Signal(int signal) {
    if (Runs()) kill(pid_, signal);
  }
  void End() {
    Signal(SIGTERM);
    for (int i = 0; i < 500 && Runs(); ++i) SleepMs(10);
    Signal(SIGKILL);
    for (int i = 0; i < 100 && Runs(); ++i) SleepMs(10);
  }

 private:
  std::mutex mutex_;
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
  double ended_at_ = 0;
};

// Waits until GET /up says 200.
inline bool AwaitReady(int port) {
  for (const double until = NowMs() + 15000; NowMs() < until; SleepMs(50)) {
    const int fd = Connect(port);
    if (fd < 0) continue;
    std::string buffer;
    Message answer;
    const bool ready = WriteAll(fd, "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n") &&
                       Read(fd, buffer, answer, NowMs() + 1000) == Got::kWhole &&
                       answer.start.find(" 200 ") != std::string::npos;
    close(fd);
    if (ready) return true;
  }
  return false;
}

// ---- clients ----------------------------------------------------------------------------------
// A connection that is kept from request to request, as the platform's clients keep theirs.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { Close(); }
  struct Result {
    Got got = Got::kEnd;
    int status = 0;
    std::string body;
    bool unwritten = false;  // it could not be written whole: the gateway has not taken it
  };
  // Sends the request once more on a new connection if a kept one was closed before any answer, as the pages
  // say.
  Result Ask(const std::string& request, double patience_ms) {
    Result result;
    const double until = NowMs() + patience_ms;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const bool is_new = fd_ < 0;
      if (is_new) fd_ = Connect(port_);
      if (fd_ < 0) return result.unwritten = true, result;
      Message answer;
      buffer_.clear();
      result.unwritten = !WriteAll(fd_, request);
      result.got = result.unwritten ? Got::kEnd : Read(fd_, buffer_, answer, until);
      if (result.got == Got::kWhole) {
        result.status = std::atoi(answer.start.c_str() + 9);
        result.body = answer.body;
        if (answer.Header("connection") == "close") Close();
        return result;
      }
      Close();
      if (is_new || result.got == Got::kTimeout) return result;
    }
    return result;
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  const int port_;
  int fd_ = -1;
  std::string buffer_;
};

inline std::string RequestId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}
// A request in the platform's form; a body makes it a POST.
inline std::string PlatformRequest(const std::string& id, const std::string& kind, int patience_ms,
                                   const std::string& body = "") {
  std::string text = std::string(body.empty() ? "GET" : "POST") +
                     " /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
                     "\r\nReq-Owner: mesa-verde\r\nReq-Deadline: " + std::to_string(patience_ms) + "m\r\n";
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Opens the record.
inline void Begin() {
  signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(Variable("RECORD", "record.txt").c_str(), "w");
  if (!record_file) std::perror("record"), std::_Exit(2);
  std::setvbuf(record_file, nullptr, _IOLBF, 0);
}

}  // namespace lab

#endif  // REVIEW_LAB_HPP_
