// Divides the process's file descriptors between connections to clients and connections to hosts.
#ifndef OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_
#define OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_

#include <cstddef>

#include "http/http_server.hpp"

namespace opalswitch::gateway {

// Returns the number of descriptors for connections to hosts. `configured` is capped by the system's
// RLIMIT_NOFILE.
std::size_t HostDescriptorLimit(std::size_t configured);

// Returns the HTTP server's limits: the remaining descriptors for client connections, and the memory for
// request bodies out of `memory_mb` (MiB).
HttpServerLimits HttpServerLimitsFor(std::size_t configured, double memory_mb);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_DESCRIPTORS_HPP_
