// Errors of system calls on sockets.
#ifndef OPALSWITCH_BASE_SOCKET_ERROR_HPP_
#define OPALSWITCH_BASE_SOCKET_ERROR_HPP_

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace opalswitch::gateway {

// Whether a system call on a socket has failed without an effect on the connection, so that it can be
// repeated: it would have blocked, was interrupted by a signal, or the kernel had no memory for it.
bool IsTransient(const boost::system::error_code& error);

// Returns one word for an error, as used in log lines: "ECONNRESET", "EOF".
std::string ErrorName(const boost::system::error_code& error);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_SOCKET_ERROR_HPP_
