#include "base/endpoint.hpp"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace opalswitch::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

std::optional<tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code ec;
  const bool is_bracketed = colon > 2 && text[0] == '[' && text[colon - 1] == ']';
  const auto address =
      asio::ip::make_address(is_bracketed ? text.substr(1, colon - 2) : text.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* const text_end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, text_end, port);
  if (ec || error != std::errc() || parsed_end != text_end) return std::nullopt;
  return tcp::endpoint(address, port);
}

std::string FormatEndpoint(const tcp::endpoint& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

}  // namespace opalswitch::gateway
