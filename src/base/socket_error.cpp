#include "base/socket_error.hpp"

#include <cstring>

namespace opalswitch::gateway {

bool IsTransient(const boost::system::error_code& error) {
  namespace errors = boost::asio::error;
  return error == errors::would_block || error == errors::try_again || error == errors::interrupted ||
         error == errors::no_memory || error == errors::no_buffer_space;
}

std::string ErrorName(const boost::system::error_code& error) {
  if (error == boost::asio::error::eof) return "EOF";
  const bool is_system_error = error.category() == boost::system::system_category();
  const char* const name = is_system_error ? strerrorname_np(error.value()) : nullptr;
  return name != nullptr ? name : "error-" + std::to_string(error.value());
}

}  // namespace opalswitch::gateway
