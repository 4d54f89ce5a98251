// Addresses as texts.
#ifndef OPALSWITCH_BASE_ENDPOINT_HPP_
#define OPALSWITCH_BASE_ENDPOINT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace opalswitch::gateway {

// "10.1.0.18:3000" or "[::1]:3000"; nothing if it is anything else.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);

// The same form.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& address);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_ENDPOINT_HPP_
