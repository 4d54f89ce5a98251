// The clock of the process: the monotonic clock, offset once at start-up so that it reads Unix time.
#ifndef OPALSWITCH_BASE_CLOCK_HPP_
#define OPALSWITCH_BASE_CLOCK_HPP_

#include <chrono>
#include <cstdio>
#include <string>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// Unix time in milliseconds. Never runs backwards, which the policy requires, and is comparable with a host's
// up_since_ms. The offset stays fixed for the life of the process: if it followed the system clock, start
// times converted by it could change between two host lists and look like restarts.
inline Millis Now() {
  const auto to_ms = [](auto time) {
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
  };
  static const Millis kUnixTimeOffset =
      to_ms(std::chrono::system_clock::now()) - to_ms(std::chrono::steady_clock::now());
  return to_ms(std::chrono::steady_clock::now()) + kUnixTimeOffset;
}

// Converts to a duration for asio's timers, which take whole units. Negative times become 0.
inline std::chrono::microseconds ToDuration(Millis ms) {
  return std::chrono::microseconds(ms > 0 ? static_cast<std::int64_t>(ms * 1000) : 0);
}

// Returns a time or duration as seconds with three decimals.
inline std::string FormatSeconds(Millis ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_CLOCK_HPP_
