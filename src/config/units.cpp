#include "config/units.hpp"

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace opalswitch::config {
namespace {

using Unit = std::pair<std::string_view, double>;

// Parses a non-negative decimal number followed by one of the units.
std::optional<double> ParseWithUnit(std::string_view text, std::initializer_list<Unit> units) {
  double value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(value) || value < 0 || text[0] == '-') return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(last - end));
  for (const auto& [name, factor] : units) {
    if (unit == name) return value * factor;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Millis> ParseDuration(std::string_view text) {
  return ParseWithUnit(text, {{"us", 0.001}, {"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}});
}

std::optional<std::uint64_t> ParseSize(std::string_view text) {
  const auto bytes = ParseWithUnit(text, {{"B", 1},
                                          {"KiB", 1024},
                                          {"MiB", 1048576},
                                          {"GiB", 1073741824},
                                          {"kB", 1e3},
                                          {"MB", 1e6},
                                          {"GB", 1e9}});
  if (!bytes || *bytes > 1e15 || *bytes != std::floor(*bytes)) return std::nullopt;
  return static_cast<std::uint64_t>(*bytes);
}

}  // namespace opalswitch::config
