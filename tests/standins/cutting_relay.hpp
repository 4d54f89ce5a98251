// A TCP relay on loopback between one client and a server. Cuts the connection in the middle of the server's
// response.
#ifndef OPALSWITCH_TESTS_STANDINS_CUTTING_RELAY_HPP_
#define OPALSWITCH_TESTS_STANDINS_CUTTING_RELAY_HPP_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <thread>

namespace opalswitch::testing {

class CuttingRelay {
 public:
  // Cuts the connection after `cut_after` bytes from the server. Accepts no second connection.
  CuttingRelay(int server_port, std::size_t cut_after) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(listener_, 1) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::abort();
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, server_port, cut_after] { Run(server_port, cut_after); });
  }
  ~CuttingRelay() {
    shutdown(listener_, SHUT_RDWR);  // ends accept() if no client has connected
    thread_.join();
    close(listener_);
  }
  CuttingRelay(const CuttingRelay&) = delete;
  CuttingRelay& operator=(const CuttingRelay&) = delete;

  int port() const { return port_; }

 private:
  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
  }
  // Relays the bytes available for reading, at most `max_bytes`. Returns their number; 0 at the end or on an
  // error.
  static std::size_t Pass(int from, int to, std::size_t max_bytes) {
    std::array<char, 4096> bytes;
    const ssize_t got = recv(from, bytes.data(), std::min(bytes.size(), max_bytes), 0);
    if (got <= 0) return 0;
    for (ssize_t sent = 0; sent < got;) {
      const ssize_t n = send(to, bytes.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
      if (n <= 0) return 0;
      sent += n;
    }
    return static_cast<std::size_t>(got);
  }
  void Run(int server_port, std::size_t remaining) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) return;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(server_port);
    if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      std::array<pollfd, 2> poll_fds = {pollfd{client, POLLIN, 0}, pollfd{server, POLLIN, 0}};
      while (remaining > 0 && poll(poll_fds.data(), poll_fds.size(), 30000) > 0) {
        if (poll_fds[0].revents != 0 && Pass(client, server, 4096) == 0) break;
        if (poll_fds[1].revents == 0) continue;
        const std::size_t passed = Pass(server, client, remaining);
        if (passed == 0) break;
        remaining -= passed;
      }
    }
    close(server);
    close(client);
  }

  int listener_ = -1, port_ = 0;
  std::thread thread_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_CUTTING_RELAY_HPP_
