// Conversion of network addresses from and to text.
#ifndef OPALSWITCH_BASE_ENDPOINT_HPP_
#define OPALSWITCH_BASE_ENDPOINT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace opalswitch::gateway {

// Parses "10.1.0.18:3000" or "[::1]:3000". Returns nothing for any other text; host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);

// Formats an address in the form that ParseEndpoint() reads.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& address);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_ENDPOINT_HPP_
