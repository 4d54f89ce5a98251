#include "config/platform_config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/endpoint.hpp"
#include "wire.hpp"

namespace opalswitch::gateway {
namespace {

using nlohmann::json;

std::string FormatScalar(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Turns the settings into path=value pairs as in the simulator's CREATE message. Names and units are the
// same, so one parser serves both sources, and a setting means the same in both.
void Flatten(const json& node, const std::string& path, std::vector<std::string>& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (node.is_object()) {
    for (const auto& [key, value] : node.items()) Flatten(value, prefix + key, pairs);
  } else if (node.is_array() && !node.empty() && node.front().is_object()) {
    for (std::size_t i = 0; i < node.size(); ++i) Flatten(node[i], prefix + std::to_string(i), pairs);
  } else if (node.is_array()) {
    std::string joined;
    for (const json& item : node) joined += (joined.empty() ? "" : ",") + FormatScalar(item);
    pairs.push_back(path + "=" + joined);
  } else if (!node.is_null()) {
    pairs.push_back(path + "=" + FormatScalar(node));
  }
}

Settings ReadSettings(const json& file) {
  if (!file.contains("settings") || !file["settings"].is_object()) {
    throw ConfigError("settings: missing, or not a JSON object");
  }
  std::vector<std::string> pairs;
  Flatten(file["settings"], "", pairs);
  try {
    return wire::ParseSettings({pairs.begin(), pairs.end()});
  } catch (const std::exception& error) {  // what() names the field
    throw ConfigError(std::string("settings: ") + error.what());
  }
}

// Reads a number above 0 at a JSON pointer. Returns `default_value` if it is absent or null.
double PositiveOr(const json& file, const std::string& path, double default_value) {
  const json::json_pointer at(path);
  if (!file.contains(at) || file[at].is_null()) return default_value;
  if (!file[at].is_number() || !(file[at].get<double>() > 0)) {
    throw ConfigError(path.substr(1) + ": must be a number above 0");
  }
  return file[at].get<double>();
}

// The environment variable takes precedence over the file's field.
boost::asio::ip::tcp::endpoint ReadAddress(const char* variable, const std::string& name, const json& file,
                                           const std::string& field) {
  std::string text;
  if (variable != nullptr) {
    text = variable;
  } else if (file.contains(field) && file[field].is_string()) {
    text = file[field].get<std::string>();
  } else {
    throw ConfigError(name + ": not set");
  }
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) throw ConfigError(name + ": '" + text + "' is not an IP address and port");
  return *endpoint;
}

}  // namespace

Config LoadConfig(const std::function<const char*(const char*)>& variable) {
  const char* const path = variable("NODE_CONFIG");
  if (path == nullptr) throw ConfigError("NODE_CONFIG: not set");
  std::ifstream stream(path);
  if (!stream) throw ConfigError(std::string("NODE_CONFIG: can't read '") + path + "'");
  const json file = json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!file.is_object()) throw ConfigError(std::string("NODE_CONFIG: '") + path + "' is not a JSON object");

  Config config;
  config.listen = ReadAddress(variable("NODE_LISTEN"), "NODE_LISTEN", file, "listen");
  config.discovery = ReadAddress(variable("NODE_DISCOVERY"), "NODE_DISCOVERY", file, "discovery");
  if (file.contains("seed")) {
    const std::string text = FormatScalar(file["seed"]);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), config.seed, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
      throw ConfigError("seed: '" + text + "' is not a number of up to 16 hex digits");
    }
  }
  config.sockets = static_cast<std::size_t>(PositiveOr(file, "/limits/sockets", 1024));
  config.memory_mb = PositiveOr(file, "/limits/memory_mb", config.memory_mb);
  config.settings = ReadSettings(file);
  config.dial_timeout = PositiveOr(file, "/settings/limits/dialTimeoutMs", config.dial_timeout);
  config.idle_timeout = PositiveOr(file, "/settings/limits/connIdleMs", config.idle_timeout);
  if (file.contains("known") && !file["known"].is_null()) {
    const auto known = ParseHostList(file["known"].dump());
    if (!known) throw ConfigError("known: not a list of hosts in the format of discovery");
    config.known = *known;
  }
  return config;
}

}  // namespace opalswitch::gateway
