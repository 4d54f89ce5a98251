// Lists of hosts, and the JSON form in which discovery and host files give them.
#ifndef OPALSWITCH_MEMBERSHIP_HOST_LIST_HPP_
#define OPALSWITCH_MEMBERSHIP_HOST_LIST_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// A server with the address to connect to. The address is unset for removed hosts listed without one.
struct Host {
  Server server;
  boost::asio::ip::tcp::endpoint address;
};

struct HostList {
  std::int64_t revision = 0;
  bool complete = true;  // false: only the hosts that changed
  std::vector<Host> hosts;
};

// Parses one entry of "members". Returns nothing if any field is malformed; `error` then names the field.
std::optional<Host> ParseHost(const nlohmann::json& entry, std::string& error);

// Parses a response of discovery. Returns nothing if any part is malformed, since a partly read list would
// pass for a complete one.
std::optional<HostList> ParseHostList(std::string_view text);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_HOST_LIST_HPP_
