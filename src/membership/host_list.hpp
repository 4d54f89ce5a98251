// The list of hosts, and the form in which discovery writes it.
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

struct Host {
  Server server;
  boost::asio::ip::tcp::endpoint address;
};

struct HostList {
  std::int64_t revision = 0;
  bool complete = true;  // else only what changed
  std::vector<Host> hosts;
};

// One entry of a list. Nothing if it is broken in any part; `error` names the field.
std::optional<Host> ParseHost(const nlohmann::json& entry, std::string& error);

// Nothing if the text is broken in any part: half a list must not pass for a whole one.
std::optional<HostList> ParseHostList(std::string_view text);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_HOST_LIST_HPP_
