#include "gateway/descriptors.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

namespace opalswitch::gateway {
namespace {

constexpr std::size_t kSpareSockets = 24;  // listener, discovery, standard streams, the loop's own, and room
constexpr double kHostShare = 0.45;  // of the descriptors left; an attempt out holds one, as its client does
constexpr double kUsualShare = 0.3;  // of all descriptors: clients hold a third of them at the most
constexpr double kBodyShare = 0.15;  // of the memory: bodies are held twice while they are passed on

// Descriptors that may be used, by the configuration and by the system.
std::size_t Usable(std::size_t configured) {
  rlimit limit{};
  std::size_t all = configured;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    all = std::min<std::size_t>(configured, limit.rlim_cur);
  }
  return all > 2 * kSpareSockets ? all - kSpareSockets : all / 2;
}

}  // namespace

std::size_t HostSockets(std::size_t configured) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(Usable(configured)) * kHostShare));
}

HttpServerLimits LimitsFor(std::size_t configured, double memory_mb) {
  HttpServerLimits limits;
  const std::size_t usable = Usable(configured), hosts = HostSockets(configured);
  limits.sessions = usable > hosts ? usable - hosts : 1;
  limits.usual = static_cast<std::size_t>(static_cast<double>(configured) * kUsualShare);
  limits.body_bytes = static_cast<std::uint64_t>(std::max(1.0, memory_mb * kBodyShare) * (1 << 20));
  return limits;
}

}  // namespace opalswitch::gateway
