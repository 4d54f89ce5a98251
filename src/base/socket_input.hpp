// Looks at a socket's input without reading it.
#ifndef OPALSWITCH_BASE_SOCKET_INPUT_HPP_
#define OPALSWITCH_BASE_SOCKET_INPUT_HPP_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace opalswitch::gateway {

// What the next read of a socket would find.
struct SocketInput {
  enum class State {
    kNone,   // nothing yet
    kBytes,  // at least one byte
    kEnd,    // the peer has shut down its sending side
    kError,  // the connection has failed
  };
  State state = State::kNone;
  boost::system::error_code error =
      boost::asio::error::would_block;  // what a read would return; none for kBytes
};

// Does not block. This is the only proof of a peer's disconnect: a wait for readability may also end without
// any input, for example when another handler has read the bytes that ended it.
SocketInput PeekInput(boost::asio::ip::tcp::socket& socket);

// Whether the peer has shut down its sending side or the connection has failed. Unlike PeekInput, sees this
// also behind unread bytes. Does not block.
bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_SOCKET_INPUT_HPP_
