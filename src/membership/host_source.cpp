#include "membership/host_source.hpp"

#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

constexpr std::size_t kMaxFileBytes = 8 << 20;

}  // namespace

std::unique_ptr<HostSource> MakeHostSource(boost::asio::io_context& io, const config::Membership& membership,
                                           HostSource::Handlers handlers) {
  switch (membership.source) {
    case config::Membership::Source::kFile:
      return std::make_unique<FileSource>(io, membership.file, std::move(handlers));
    case config::Membership::Source::kDiscovery:
      return std::make_unique<DiscoverySource>(io, membership.discovery, std::move(handlers));
    case config::Membership::Source::kStatic: break;
  }
  return std::make_unique<StaticSource>(membership.hosts, std::move(handlers));
}

StaticSource::StaticSource(std::vector<Host> hosts, Handlers handlers)
    : hosts_(std::move(hosts)), handlers_(std::move(handlers)) {}

void StaticSource::Start() { handlers_.on_update({0, true, hosts_}); }

void StaticSource::SetStaticHosts(std::vector<Host> hosts) {
  hosts_ = std::move(hosts);
  Start();
}

std::optional<HostList> ReadHostFile(const std::string& text, std::string& error) {
  const auto fail = [&error](std::string reason) {
    error = std::move(reason);
    return std::nullopt;
  };
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) return fail("is empty");
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return fail("is not a complete JSON object");
  const auto members = parsed.find("members");
  if (members == parsed.end() || !members->is_array()) return fail("members: missing, or not a list");
  const auto empty = parsed.find("empty");
  if (members->empty() && (empty == parsed.end() || *empty != true)) {
    return fail("members: none listed; add \"empty\": true if the pool is to have no hosts");
  }
  HostList list;
  std::set<std::string> ids;
  for (std::size_t i = 0; i < members->size(); ++i) {
    const auto host = ParseHost((*members)[i], error);
    if (!host) return fail("members[" + std::to_string(i) + "]." + error);
    if (!ids.insert(host->server.id).second) {
      return fail("members[" + std::to_string(i) + "].id: '" + host->server.id + "' is listed twice");
    }
    if (host->server.state != ServerState::kGone) list.hosts.push_back(*host);
  }
  return list;
}

FileSource::FileSource(boost::asio::io_context& io, std::string path, Handlers handlers)
    : io_(io), path_(std::move(path)), handlers_(std::move(handlers)) {}

void FileSource::Start() {
  watcher_ = std::make_unique<FileWatcher>(io_, path_, [this] { Reload(); });
  Reload();
}

void FileSource::Reload() {
  std::string text, error;
  std::optional<HostList> list;
  if (!ReadFile(path_, kMaxFileBytes, text)) {
    error = "can't be read, or is larger than 8 MiB";
  } else if (text == accepted_text_) {
    return;
  } else {
    list = ReadHostFile(text, error);
  }
  if (!list) {
    handlers_.on_log(path_ + ": " + error +
                     (accepted_text_.empty() ? "; no hosts are known yet" : "; the last good list stays"));
    return handlers_.on_failure();
  }
  accepted_text_ = std::move(text);
  handlers_.on_update(*list);
}

DiscoverySource::DiscoverySource(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                                 Handlers handlers)
    : handlers_(std::move(handlers)),
      discovery_(io, address, std::nullopt,
                 {[this](const HostList& list) { handlers_.on_update(list); },
                  [this](const RetryWindow&) {
                    discovery_.WatchAfterDelay();
                    handlers_.on_failure();
                  },
                  handlers_.on_log, NotableCallLogger(handlers_.on_log)},
                 std::random_device{}()) {}

void DiscoverySource::Start() { discovery_.Watch(); }

}  // namespace opalswitch::gateway
