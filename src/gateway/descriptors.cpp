#include "gateway/descriptors.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

namespace opalswitch::gateway {
namespace {

// For listeners, discovery, the standard streams and the event loop, with some to spare.
constexpr std::size_t kReservedDescriptors = 24;
// Of the usable descriptors. Below a half: each attempt in flight also has a client connection.
constexpr double kHostDescriptorFraction = 0.45;
// Of the configured descriptors: above it idle client connections are closed. Below the third of them that
// clients may hold at most.
constexpr double kIdleEvictionFraction = 0.3;
// Of the memory. Each body is held twice while it is forwarded.
constexpr double kBodyMemoryFraction = 0.15;

// Returns the descriptors available for connections under the configured and the system's limit.
std::size_t UsableDescriptors(std::size_t configured) {
  rlimit limit{};
  std::size_t available = configured;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    available = std::min<std::size_t>(configured, limit.rlim_cur);
  }
  return available > 2 * kReservedDescriptors ? available - kReservedDescriptors : available / 2;
}

}  // namespace

std::size_t HostDescriptorLimit(std::size_t configured) {
  return std::max<std::size_t>(
      1,
      static_cast<std::size_t>(static_cast<double>(UsableDescriptors(configured)) * kHostDescriptorFraction));
}

HttpServerLimits HttpServerLimitsFor(std::size_t configured, double memory_mb) {
  HttpServerLimits limits;
  const std::size_t usable = UsableDescriptors(configured), hosts = HostDescriptorLimit(configured);
  limits.max_connections = usable > hosts ? usable - hosts : 1;
  limits.idle_eviction_threshold =
      static_cast<std::size_t>(static_cast<double>(configured) * kIdleEvictionFraction);
  limits.max_body_bytes =
      static_cast<std::uint64_t>(std::max(1.0, memory_mb * kBodyMemoryFraction) * (1 << 20));
  return limits;
}

}  // namespace opalswitch::gateway
