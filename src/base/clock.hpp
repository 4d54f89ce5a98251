// The gateway's one clock: the monotonic one, shifted once at the start so that it reads Unix time.
#ifndef OPALSWITCH_BASE_CLOCK_HPP_
#define OPALSWITCH_BASE_CLOCK_HPP_

#include <chrono>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// Never runs backwards, as the policy demands, and a host's up_since_ms needs no further conversion: the
// shift stays the same, for a start that moved a little between two lists would look like a restart.
inline Millis Now() {
  const auto since = [](auto time) {
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
  };
  static const Millis shift =
      since(std::chrono::system_clock::now()) - since(std::chrono::steady_clock::now());
  return since(std::chrono::steady_clock::now()) + shift;
}

// A span for asio's timers, which take no fractions.
inline std::chrono::microseconds ToDuration(Millis ms) {
  return std::chrono::microseconds(ms > 0 ? static_cast<std::int64_t>(ms * 1000) : 0);
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_CLOCK_HPP_
