// A relay on loopback that passes bytes between one client and a server, and cuts the connection inside what
// the server sends.
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
  // Cuts after so many bytes of the server's, for good: it takes no second connection.
  CuttingRelay(int server_port, std::size_t cut_after) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = Loopback(0);
    socklen_t size = sizeof at;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(listener_, 1) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
      std::abort();
    }
    port_ = ntohs(at.sin_port);
    thread_ = std::thread([this, server_port, cut_after] { Run(server_port, cut_after); });
  }
  ~CuttingRelay() {
    shutdown(listener_, SHUT_RDWR);  // ends a wait for a client that never came
    thread_.join();
    close(listener_);
  }
  CuttingRelay(const CuttingRelay&) = delete;
  CuttingRelay& operator=(const CuttingRelay&) = delete;

  int port() const { return port_; }

 private:
  static sockaddr_in Loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
  }
  // Passes on what can be read, `most` bytes at the most. Gives how many; 0 at the end.
  static std::size_t Pass(int from, int to, std::size_t most) {
    std::array<char, 4096> bytes;
    const ssize_t got = recv(from, bytes.data(), std::min(bytes.size(), most), 0);
    if (got <= 0) return 0;
    for (ssize_t sent = 0; sent < got;) {
      const ssize_t n = send(to, bytes.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
      if (n <= 0) return 0;
      sent += n;
    }
    return static_cast<std::size_t>(got);
  }
  void Run(int server_port, std::size_t left) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) return;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = Loopback(server_port);
    if (connect(server, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
      std::array<pollfd, 2> both = {pollfd{client, POLLIN, 0}, pollfd{server, POLLIN, 0}};
      while (left > 0 && poll(both.data(), both.size(), 30000) > 0) {
        if (both[0].revents != 0 && Pass(client, server, 4096) == 0) break;
        if (both[1].revents == 0) continue;
        const std::size_t passed = Pass(server, client, left);
        if (passed == 0) break;
        left -= passed;
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
