// Errors of system calls on sockets.
#ifndef OPALSWITCH_BASE_SOCKET_ERROR_HPP_
#define OPALSWITCH_BASE_SOCKET_ERROR_HPP_

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace opalswitch::gateway {

// Returns one word for an error, as used in log lines: "ECONNRESET", "EOF".
std::string ErrorName(const boost::system::error_code& error);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_SOCKET_ERROR_HPP_
