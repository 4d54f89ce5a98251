// What the platform tells a gateway: the NODE_* variables and the JSON file that they name.
#ifndef OPALSWITCH_CONFIG_PLATFORM_CONFIG_HPP_
#define OPALSWITCH_CONFIG_PLATFORM_CONFIG_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// One line that names the variable or field that is missing or wrong.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;  // file descriptors that the process may hold
  double memory_mb = 128;      // beyond it the process is killed
  Settings settings;
  Millis dial_timeout = 250;
  Millis idle_timeout = 15000;  // a host closes a connection that stood idle for this long
  HostList known;               // may be old
};

// `variable` looks up an environment variable: null if it is not set. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_CONFIG_PLATFORM_CONFIG_HPP_
