// The gateway for the platform: one listener, one pool, and the platform's discovery service.
#ifndef OPALSWITCH_GATEWAY_GATEWAY_HPP_
#define OPALSWITCH_GATEWAY_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "config/platform_config.hpp"
#include "gateway/pool.hpp"
#include "gateway/stop_sequence.hpp"
#include "http/http_server.hpp"
#include "membership/discovery.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// Runs on one event loop; not thread-safe.
class Gateway {
 public:
  // Opens the listener and starts discovery. Throws std::exception if the settings are invalid or the address
  // can't be bound.
  Gateway(boost::asio::io_context& io, const Config& config);

  boost::asio::ip::tcp::endpoint address() const { return http_server_.address(""); }

  // Applies the part of a changed configuration that can change at run time: the address of discovery.
  void Reload(const Config& config);

  // Shuts down gracefully as `times` say, then calls `done`.
  void Stop(std::function<void()> done, StopTimes times);
  void Stop(std::function<void()> done) { Stop(std::move(done), StopTimes::ForSettings(settings_)); }

 private:
  // Passes a failed watch on to the pool, and retries it unless the module requests its watches itself.
  void OnMembershipUpdateFailed(const RetryWindow& retry);

  const Settings settings_;
  const std::shared_ptr<Pool> pool_;
  Discovery discovery_;
  HttpServer http_server_;
  StopSequence stop_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_GATEWAY_HPP_
