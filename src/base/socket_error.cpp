#include "base/socket_error.hpp"

#include <cstring>

namespace opalswitch::gateway {

std::string ErrorName(const boost::system::error_code& error) {
  if (error == boost::asio::error::eof) return "EOF";
  const bool is_system_error = error.category() == boost::system::system_category();
  const char* const name = is_system_error ? strerrorname_np(error.value()) : nullptr;
  return name != nullptr ? name : "error-" + std::to_string(error.value());
}

}  // namespace opalswitch::gateway
