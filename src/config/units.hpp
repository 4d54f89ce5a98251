// Parses durations and sizes with units, as the operators' file has them.
#ifndef OPALSWITCH_CONFIG_UNITS_HPP_
#define OPALSWITCH_CONFIG_UNITS_HPP_

#include <cstdint>
#include <optional>
#include <string_view>

#include "opalswitch/policy.hpp"

namespace opalswitch::config {

// Parses a duration such as "250ms", "1.5s", "500us", "2m" or "1h" to milliseconds. Nothing if the text is
// not valid; a number without a unit is not.
std::optional<Millis> ParseDuration(std::string_view text);

// Parses a size such as "512B", "64KiB", "1.5MiB" or "2GiB" (powers of 1024), or "64kB", "2MB" or "1GB"
// (powers of 1000), to bytes. Nothing if the text is not valid, or is not a whole number of bytes.
std::optional<std::uint64_t> ParseSize(std::string_view text);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_UNITS_HPP_
