// The platform's configuration of a gateway: the NODE_* environment variables, and the JSON file that
// NODE_CONFIG names.
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

// A variable or field is missing or not valid; what() names it in one line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  boost::asio::ip::tcp::endpoint listen;     // address that clients connect to
  boost::asio::ip::tcp::endpoint discovery;  // address of the discovery service
  std::uint64_t seed = 0;                    // of the decision module's random numbers
  std::size_t sockets = 1024;                // file descriptors that the process may use
  double memory_mb = 128;                    // the platform kills a process that uses more
  Settings settings;
  Millis dial_timeout = 250;
  Millis idle_timeout = 15000;  // hosts close connections that have been idle for this long
  HostList known;               // hosts known at the start; the list may be outdated
};

// Reads the configuration. `variable` looks up an environment variable and returns null if it is not set.
// Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_CONFIG_PLATFORM_CONFIG_HPP_
