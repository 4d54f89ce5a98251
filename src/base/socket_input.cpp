#include "base/socket_input.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace opalswitch::gateway {

SocketInput PeekInput(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  ssize_t bytes_read = 0;
  do {
    bytes_read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (bytes_read < 0 && errno == EINTR);
  if (bytes_read > 0) return {SocketInput::State::kBytes, {}};
  if (bytes_read == 0) return {SocketInput::State::kEnd, boost::asio::error::eof};
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {};
  return {SocketInput::State::kError, {errno, boost::system::system_category()}};
}

}  // namespace opalswitch::gateway
