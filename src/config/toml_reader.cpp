#include "config/toml_reader.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "base/endpoint.hpp"
#include "config/units.hpp"

namespace opalswitch::config {
namespace {

constexpr std::size_t kMaxShownValueLength = 60;
constexpr std::size_t kMaxNameLength = 64;
constexpr Millis kMaxDurationMs = 24 * 3600000.0;

// Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}

}  // namespace

std::string FormatValue(const toml::node& node) {
  std::ostringstream out;
  if (const auto* const written = node.as_string()) {
    out << '"' << written->get() << '"';
  } else {
    node.visit([&](const auto& value) { out << value; });
  }
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxShownValueLength) text = text.substr(0, kMaxShownValueLength - 3) + "...";
  return text;
}

TableReader::TableReader(const toml::table& table, std::string path, Issues& issues)
    : table_(table), path_(std::move(path)), issues_(issues) {}

TableReader::~TableReader() {
  for (const auto& [key, node] : table_) {
    const std::string_view name = key.str();
    if (known_keys_.contains(name)) continue;
    std::string best;
    for (const std::string& known : known_keys_) {
      const std::size_t distance = EditDistance(name, known);
      if (distance <= std::max<std::size_t>(1, known.size() / 3) &&
          (best.empty() || distance < EditDistance(name, best))) {
        best = known;
      }
    }
    std::string text = "unknown key";
    if (!best.empty()) {
      text += "; did you mean '" + best + "'?";
    } else {
      text += "; expected one of";
      for (const std::string& known : known_keys_) text += " " + known;
    }
    issues_.Add(key.source(), PathOf(name), text);
  }
}

std::string TableReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

const toml::node* TableReader::Find(std::string_view key) {
  known_keys_.emplace(key);
  return table_.get(key);
}

void TableReader::AddInvalid(std::string_view key, const std::string& expected) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return AddMissing(key, expected);
  issues_.Add(node->source(), PathOf(key), "found " + FormatValue(*node) + ", expected " + expected);
}

void TableReader::AddIssue(std::string_view key, const std::string& text) {
  const toml::node* const node = Find(key);
  issues_.Add(node == nullptr ? table_.source() : node->source(), PathOf(key), text);
}

void TableReader::AddMissing(std::string_view key, const std::string& expected) {
  known_keys_.emplace(key);
  issues_.Add(table_.source(), PathOf(key), "missing, expected " + expected);
}

std::optional<std::string> TableReader::String(std::string_view key) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* const text = node->as_string();
  if (text == nullptr) return AddInvalid(key, "a string in quotes"), std::nullopt;
  return text->get();
}

std::optional<std::string> TableReader::Name(std::string_view key) {
  auto text = String(key);
  if (!text) return std::nullopt;
  const bool is_valid =
      !text->empty() && text->size() <= kMaxNameLength && std::all_of(text->begin(), text->end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
      });
  if (!is_valid) return AddInvalid(key, "a name of up to 64 letters, digits, '.', '_' or '-'"), std::nullopt;
  return text;
}

std::optional<double> TableReader::Number(std::string_view key, double min, double max) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  std::optional<double> value;
  if (const auto* const integer = node->as_integer()) value = static_cast<double>(integer->get());
  if (const auto* const real = node->as_floating_point()) value = real->get();
  if (!value || !std::isfinite(*value) || *value < min || *value > max) {
    return AddInvalid(key, "a number from " + FormatNumber(min) + " to " + FormatNumber(max)), std::nullopt;
  }
  return value;
}

std::optional<std::int64_t> TableReader::Integer(std::string_view key, std::int64_t min, std::int64_t max) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* const integer = node->as_integer();
  if (integer == nullptr || integer->get() < min || integer->get() > max) {
    return AddInvalid(key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max)),
           std::nullopt;
  }
  return integer->get();
}

std::optional<bool> TableReader::Flag(std::string_view key) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* const flag = node->as_boolean();
  if (flag == nullptr) return AddInvalid(key, "true or false"), std::nullopt;
  return flag->get();
}

std::optional<Millis> TableReader::Duration(std::string_view key, bool allow_zero) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* const text = node->as_string();
  const auto value = text == nullptr ? std::nullopt : ParseDuration(text->get());
  if (!value || (*value <= 0 && !allow_zero) || *value > kMaxDurationMs) {
    return AddInvalid(key, std::string("a duration with its unit, such as \"250ms\" or \"1.5s\", ") +
                               (allow_zero ? "up to a day" : "above 0 and up to a day")),
           std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> TableReader::Size(std::string_view key) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* const text = node->as_string();
  const auto value = text == nullptr ? std::nullopt : ParseSize(text->get());
  if (!value || *value == 0)
    return AddInvalid(key, "a size with its unit, such as \"64KiB\" or \"128MiB\""), std::nullopt;
  return value;
}

std::optional<boost::asio::ip::tcp::endpoint> TableReader::Address(std::string_view key) {
  const auto text = String(key);
  if (!text) return std::nullopt;
  const auto address = gateway::ParseEndpoint(*text);
  if (!address)
    return AddInvalid(key, "an IP address and port, such as \"127.0.0.1:8080\" or \"[::1]:8080\""),
           std::nullopt;
  return address;
}

std::optional<std::size_t> TableReader::Choice(std::string_view key,
                                               const std::vector<std::string_view>& choices) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return std::nullopt;
  if (const auto* const text = node->as_string()) {
    const auto found = std::find(choices.begin(), choices.end(), std::string_view(text->get()));
    if (found != choices.end()) return static_cast<std::size_t>(found - choices.begin());
  }
  std::string expected;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    expected += (i == 0                    ? ""
                 : i + 1 == choices.size() ? " or "
                                           : ", ") +
                ("\"" + std::string(choices[i]) + "\"");
  }
  return AddInvalid(key, expected), std::nullopt;
}

std::vector<std::string> TableReader::Strings(std::string_view key) {
  const toml::node* const node = Find(key);
  std::vector<std::string> texts;
  if (node == nullptr) return texts;
  if (const auto* const text = node->as_string()) return {text->get()};
  const auto* const array = node->as_array();
  const bool is_valid =
      array != nullptr && !array->empty() &&
      std::all_of(array->begin(), array->end(), [](const toml::node& item) { return item.is_string(); });
  if (!is_valid) return AddInvalid(key, "a string or a non-empty list of strings"), texts;
  for (const toml::node& item : *array) texts.push_back(item.as_string()->get());
  return texts;
}

const toml::table* TableReader::Table(std::string_view key) {
  const toml::node* const node = Find(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) AddInvalid(key, "a table, [" + PathOf(key) + "]");
  return node->as_table();
}

std::vector<const toml::table*> TableReader::Tables(std::string_view key) {
  const toml::node* const node = Find(key);
  std::vector<const toml::table*> tables;
  if (node == nullptr) return tables;
  const auto* const array = node->as_array();
  const bool is_valid =
      array != nullptr &&
      std::all_of(array->begin(), array->end(), [](const toml::node& item) { return item.is_table(); });
  if (!is_valid) return AddInvalid(key, "an array of tables, [[" + PathOf(key) + "]]"), tables;
  for (const toml::node& item : *array) tables.push_back(item.as_table());
  return tables;
}

std::vector<std::string> TableReader::Keys() {
  std::vector<std::string> keys;
  for (const auto& [key, node] : table_) {
    keys.emplace_back(key.str());
    known_keys_.emplace(key.str());
  }
  return keys;
}

}  // namespace opalswitch::config
