#include "gateway/gateway.hpp"

#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

#include "base/clock.hpp"
#include "gateway/descriptors.hpp"
#include "gateway/log_line.hpp"
#include "http/platform_request.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;

// Limits the attempts in flight to the descriptors available for connections to hosts.
Settings WithDescriptorLimit(const Config& config) {
  Settings settings = config.settings;
  settings.max_in_flight = static_cast<int>(HostDescriptorLimit(config.sockets));
  return settings;
}

}  // namespace

// Connections to hosts and to clients have separate shares of the descriptors, which together stay below the
// limit.
Gateway::Gateway(asio::io_context& io, const Config& config)
    : settings_(WithDescriptorLimit(config)),
      pool_(std::make_shared<Pool>(
          io, Pool::Options{{},
                            settings_,
                            config.seed,
                            {config.dial_timeout, config.idle_timeout, HostDescriptorLimit(config.sockets)},
                            false,
                            [this] { discovery_.Watch(); }})),
      discovery_(io, config.discovery, config.known.revision,
                 {[this](const HostList& list) { pool_->UpdateMembership(list); },
                  [this](const RetryWindow& retry) { OnMembershipUpdateFailed(retry); }, WriteLogLine,
                  NotableCallLogger(WriteLogLine)},
                 config.seed, settings_.requires_watch ? WatchTimes() : WatchTimes::ForPushedLists()),
      http_server_(io, HttpServerLimitsFor(config.sockets, config.memory_mb),
                   {[this] { return pool_->has_hosts() && !stop_.has_begun(); },
                    [this, classes = ClassEffectsOf(config.settings)](
                        const HttpRequest& head, const routing::Target& target, const RequestOrigin&,
                        ClientRequest& request) {
                      request.pool = pool_;
                      return ReadPlatformRequest(classes, head, target, request);
                    },
                    nullptr, [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); }},
                   "/up"),
      stop_(io, http_server_, [this] { pool_->FailPending(); }) {
  http_server_.Listen("", config.listen);
  pool_->UpdateMembership(config.known);
  if (!settings_.requires_watch) discovery_.Watch();
}

void Gateway::Reload(const Config& config) { discovery_.SetAddress(config.discovery); }

void Gateway::OnMembershipUpdateFailed(const RetryWindow& retry) {
  pool_->MembershipUpdateFailed(retry);
  if (settings_.requires_watch) return;  // the module requests the next watch itself
  discovery_.WatchAfterDelay();
}

void Gateway::Stop(std::function<void()> done, StopTimes times) { stop_.Begin(std::move(done), times); }

}  // namespace opalswitch::gateway
