// How the process's file descriptors are dealt out between clients and hosts.
#ifndef OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_
#define OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_

#include <cstddef>

#include "http/http_server.hpp"

namespace opalswitch::gateway {

// Descriptors for connections to hosts, of those configured and those that the system allows.
std::size_t HostSockets(std::size_t configured);

// What is left for clients, and the memory for their bodies.
HttpServerLimits LimitsFor(std::size_t configured, double memory_mb);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_
