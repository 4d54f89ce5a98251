// A library for LD_PRELOAD that makes system calls fail for a moment, in ways that Linux documents, so that a
// test can run a program under them. FAULTY_CALLS gives a seed and how many calls in a thousand are affected:
//
//   FAULTY_CALLS="seed=7 interrupted=20 short=100 wakeup=20 accept=50 open=20 connect=20 clock=1"
//
// interrupted: receives, sends and waits return EINTR. short: receives and sends move fewer bytes. wakeup: a
// wait reports a descriptor as readable that has no input. accept, open, connect: these calls fail; with
// accept_error always with this error number. clock (a
// switch): the wall clock is stepped back and forth; the monotonic clock runs on. For programs with one
// thread.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr unsigned kPerMille = 1000;

// What FAULTY_CALLS says.
class Settings {
 public:
  Settings() {
    const char* const text = std::getenv("FAULTY_CALLS");
    std::istringstream words(text != nullptr ? text : "");
    for (std::string word; words >> word;) {
      const std::size_t equals = word.find('=');
      if (equals == std::string::npos) std::abort();
      values_[word.substr(0, equals)] =
          static_cast<unsigned>(std::strtoul(word.c_str() + equals + 1, nullptr, 10));
    }
    random_.seed(Value("seed"));
  }

  unsigned Value(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
  }
  bool Happens(const std::string& fault) {
    const unsigned rate = Value(fault);
    return rate > 0 && random_() % kPerMille < rate;
  }
  std::size_t Below(std::size_t bound) { return random_() % bound; }

 private:
  std::map<std::string, unsigned> values_;
  std::mt19937 random_;
};

Settings& Faults() {
  static auto& settings = *new Settings;  // used until the process ends
  return settings;
}

// Whether the program listens. Its start is not disturbed.
bool is_listening = false;

// Returns the function that this library replaces.
template <typename Function>
Function* Replaced(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// Fails a call with one of the errors.
template <std::size_t count>
int FailWithOneOf(const std::array<int, count>& errors) {
  errno = errors[Faults().Below(count)];
  return -1;
}

bool IsInterrupted() {
  if (!Faults().Happens("interrupted")) return false;
  errno = EINTR;
  return true;
}

// Returns the number of bytes that a transfer of `size` may move.
std::size_t TransferLimit(std::size_t size) {
  return size > 1 && Faults().Happens("short") ? 1 + Faults().Below(size) : size;
}

// Shortens the message's buffers to `limit` bytes together; `parts` holds them.
msghdr Shortened(const msghdr& message, std::size_t limit, std::vector<iovec>& parts) {
  for (std::size_t i = 0; i < message.msg_iovlen && limit > 0; ++i) {
    parts.push_back(message.msg_iov[i]);
    parts.back().iov_len = std::min(parts.back().iov_len, limit);
    limit -= parts.back().iov_len;
  }
  msghdr shortened = message;
  shortened.msg_iov = parts.data();
  shortened.msg_iovlen = parts.size();
  return shortened;
}

std::size_t SizeOf(const msghdr& message) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < message.msg_iovlen; ++i) size += message.msg_iov[i].iov_len;
  return size;
}

// What is registered with epoll, by descriptor.
std::map<int, epoll_event>& Registered() {
  static auto& registered = *new std::map<int, epoll_event>;  // used until the process ends
  return registered;
}

// Adds a descriptor that waits for input to the events, unless it is among them.
int AddWakeup(epoll_event* events, int count) {
  auto candidate =
      std::next(Registered().begin(), static_cast<std::ptrdiff_t>(Faults().Below(Registered().size())));
  epoll_event event = candidate->second;
  if ((event.events & EPOLLIN) == 0) return count;
  const bool is_reported = std::any_of(events, events + count, [&](const epoll_event& reported) {
    return reported.data.u64 == event.data.u64;
  });
  if (is_reported) return count;
  event.events = EPOLLIN;
  events[count] = event;
  return count + 1;
}

// Returns how far the wall clock is off now.
std::time_t WallClockOffset(const timespec& monotonic) {
  constexpr std::array<std::time_t, 6> kOffsets = {0, 3600, 5, -3600, -5, 0};  // seconds
  static const std::time_t kStart = monotonic.tv_sec;
  return kOffsets[static_cast<std::size_t>(monotonic.tv_sec - kStart + Faults().Value("seed")) %
                  kOffsets.size()];
}

}  // namespace

extern "C" {

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static auto* const kReplaced = Replaced<ssize_t(int, void*, std::size_t, int)>("recv");
  if (IsInterrupted()) return -1;
  return kReplaced(fd, buffer, TransferLimit(size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static auto* const kReplaced = Replaced<ssize_t(int, msghdr*, int)>("recvmsg");
  if (IsInterrupted()) return -1;
  std::vector<iovec> parts;
  msghdr shortened = Shortened(*message, TransferLimit(SizeOf(*message)), parts);
  return kReplaced(fd, &shortened, flags);
}

ssize_t send(int fd, const void* buffer, std::size_t size, int flags) {
  static auto* const kReplaced = Replaced<ssize_t(int, const void*, std::size_t, int)>("send");
  if (IsInterrupted()) return -1;
  return kReplaced(fd, buffer, TransferLimit(size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* const kReplaced = Replaced<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (IsInterrupted()) return -1;
  std::vector<iovec> parts;
  const msghdr shortened = Shortened(*message, TransferLimit(SizeOf(*message)), parts);
  return kReplaced(fd, &shortened, flags);
}

int listen(int fd, int backlog) {
  static auto* const kReplaced = Replaced<int(int, int)>("listen");
  is_listening = true;
  return kReplaced(fd, backlog);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
  static auto* const kReplaced = Replaced<int(int, sockaddr*, socklen_t*)>("accept");
  if (Faults().Happens("accept")) {
    errno = static_cast<int>(Faults().Value("accept_error"));
    if (errno != 0) return -1;
    return FailWithOneOf(std::array{ECONNABORTED, EINTR, EPROTO, ENFILE, EMFILE, ENOBUFS, ENOMEM});
  }
  return kReplaced(fd, address, size);
}

int socket(int domain, int type, int protocol) {
  static auto* const kReplaced = Replaced<int(int, int, int)>("socket");
  if (is_listening && Faults().Happens("open")) return FailWithOneOf(std::array{ENFILE, EMFILE, ENOBUFS});
  return kReplaced(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* const kReplaced = Replaced<int(int, const sockaddr*, socklen_t)>("connect");
  if (is_listening && Faults().Happens("connect"))
    return FailWithOneOf(std::array{EADDRNOTAVAIL, ENETUNREACH});
  return kReplaced(fd, address, size);
}

int close(int fd) {
  static auto* const kReplaced = Replaced<int(int)>("close");
  Registered().erase(fd);
  return kReplaced(fd);
}

int epoll_ctl(int epoll_fd, int operation, int fd, epoll_event* event) {
  static auto* const kReplaced = Replaced<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_DEL) {
    Registered().erase(fd);
  } else {
    Registered()[fd] = *event;
  }
  return kReplaced(epoll_fd, operation, fd, event);
}

int epoll_wait(int epoll_fd, epoll_event* events, int max_events, int timeout) {
  static auto* const kReplaced = Replaced<int(int, epoll_event*, int, int)>("epoll_wait");
  if (IsInterrupted()) return -1;
  const int count = kReplaced(epoll_fd, events, max_events, timeout);
  const bool adds_wakeup =
      count >= 0 && count < max_events && !Registered().empty() && Faults().Happens("wakeup");
  return adds_wakeup ? AddWakeup(events, count) : count;
}

int clock_gettime(clockid_t clock, timespec* time) {
  static auto* const kReplaced = Replaced<int(clockid_t, timespec*)>("clock_gettime");
  const int result = kReplaced(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME || Faults().Value("clock") == 0) return result;
  timespec monotonic{};
  kReplaced(CLOCK_MONOTONIC, &monotonic);
  time->tv_sec += WallClockOffset(monotonic);
  return result;
}

}  // extern "C"
