#include "membership/host_list.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "base/endpoint.hpp"

namespace opalswitch::gateway {
namespace {

using nlohmann::json;

ServerState ParseState(const std::string& phase) {
  if (phase == "up") return ServerState::kUp;
  if (phase == "draining") return ServerState::kDraining;
  if (phase == "removed") return ServerState::kGone;
  throw std::invalid_argument("phase");
}

// Throws json::exception or std::invalid_argument; the latter names the field.
Host ParseEntry(const json& entry) {
  Host host;
  Server& server = host.server;
  server.id = entry.at("id").get<std::string>();
  if (server.id.empty()) throw std::invalid_argument("id");
  server.state = ParseState(entry.at("phase").get<std::string>());
  server.zone = entry.value("locality", "");
  server.kind = entry.value("flavor", "");
  if (entry.contains("cell")) server.cell = entry["cell"].dump();
  server.weight = entry.value("size", 1.0);
  server.started_at = entry.value("up_since_ms", 0.0);
  const auto address = ParseEndpoint(entry.value("host_port", ""));
  if (!address && server.state != ServerState::kGone) throw std::invalid_argument("host_port");
  if (address) host.address = *address;
  return host;
}

}  // namespace

std::optional<Host> ParseHost(const json& entry, std::string& error) {
  try {
    return ParseEntry(entry);
  } catch (const json::exception& exception) {
    error = exception.what();
  } catch (const std::invalid_argument& exception) {
    error = exception.what() + std::string(": missing or malformed");
  }
  return std::nullopt;
}

std::optional<HostList> ParseHostList(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    HostList list;
    list.revision = parsed.at("revision").get<std::int64_t>();
    list.complete = parsed.at("complete").get<bool>();
    for (const json& entry : parsed.at("members")) list.hosts.push_back(ParseEntry(entry));
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace opalswitch::gateway
