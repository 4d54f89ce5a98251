// Texts with units, as operators write them.
#ifndef OPALSWITCH_CONFIG_UNITS_HPP_
#define OPALSWITCH_CONFIG_UNITS_HPP_

#include <cstdint>
#include <optional>
#include <string_view>

#include "opalswitch/policy.hpp"

namespace opalswitch::config {

// "250ms", "1.5s", "500us", "2m", "1h": milliseconds. A number alone has no meaning and is refused.
std::optional<Millis> ParseDuration(std::string_view text);

// "512B", "64KiB", "1.5MiB", "2GiB" (powers of 1024) and "64kB", "2MB", "1GB" (of 1000): bytes, whole.
std::optional<std::uint64_t> ParseSize(std::string_view text);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_UNITS_HPP_
