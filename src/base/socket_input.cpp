#include "base/socket_input.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/socket_error.hpp"

namespace opalswitch::gateway {

SocketInput PeekInput(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  ssize_t bytes_read = 0;
  do {
    bytes_read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (bytes_read < 0 && errno == EINTR);
  if (bytes_read > 0) return {SocketInput::State::kBytes, {}};
  if (bytes_read == 0) return {SocketInput::State::kEnd, boost::asio::error::eof};
  const boost::system::error_code error(errno, boost::system::system_category());
  return {IsTransient(error) ? SocketInput::State::kNone : SocketInput::State::kError, error};
}

bool HasPeerClosed(boost::asio::ip::tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace opalswitch::gateway
