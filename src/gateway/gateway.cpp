#include "gateway/gateway.hpp"

#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

#include "base/clock.hpp"
#include "gateway/descriptors.hpp"
#include "http/platform_request.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;

// The module is told how many attempts there are descriptors for.
Settings Fitted(const Config& config) {
  Settings settings = config.settings;
  settings.max_in_flight = static_cast<int>(HostSockets(config.sockets));
  return settings;
}

}  // namespace

// Hosts and clients have descriptors of their own: both sides together stay under the limit.
Gateway::Gateway(asio::io_context& io, const Config& config)
    : settings_(Fitted(config)),
      pool_(std::make_shared<Pool>(
          io, Pool::Options{{},
                            settings_,
                            config.seed,
                            {config.dial_timeout, config.idle_timeout, HostSockets(config.sockets)},
                            false,
                            [this] { discovery_.Watch(); }})),
      discovery_(io, config.discovery, config.known.revision,
                 {[this](const HostList& list) { pool_->UpdateMembership(list); }, [this] { ListFailed(); },
                  [](const std::string& line) { std::fprintf(stderr, "forkwick: %s\n", line.c_str()); }},
                 config.seed),
      clients_(io, LimitsFor(config.sockets, config.memory_mb),
               {[this] { return pool_->has_hosts() && !stop_.begun(); },
                [this, classes = PlatformClasses(config.settings)](
                    const HttpRequest& head, const routing::Target& target, const RequestOrigin&,
                    ClientRequest& call) {
                  call.pool = pool_;
                  return ReadPlatformRequest(classes, head, target, call);
                }},
               "/up"),
      stop_(io, clients_, [this] { pool_->FailPending(); }) {
  clients_.Listen("", config.listen);
  pool_->UpdateMembership(config.known);
  if (!settings_.requires_watch) discovery_.Watch();
}

void Gateway::Reload(const Config& config) { discovery_.SetAddress(config.discovery); }

void Gateway::ListFailed() {
  pool_->MembershipUpdateFailed();
  if (settings_.requires_watch) return;  // the policy says when to ask again
  discovery_.WatchLater();
}

void Gateway::Stop(std::function<void()> done, StopTimes times) { stop_.Begin(std::move(done), times); }

}  // namespace opalswitch::gateway
