// The platform's gateway: one listener, one pool, and discovery as the platform gives it.
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

class Gateway {
 public:
  // Listens and watches at once. Throws std::exception if the settings or the address can't work.
  Gateway(boost::asio::io_context& io, const Config& config);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(""); }

  // Takes over what a changed configuration may change while the gateway runs: where discovery is.
  void Reload(const Config& config);

  // Takes, serves and answers as `times` say, then calls `done`.
  void Stop(std::function<void()> done, StopTimes times);
  void Stop(std::function<void()> done) { Stop(std::move(done), StopTimes::Within(settings_)); }

 private:
  void ListFailed();

  const Settings settings_;
  const std::shared_ptr<Pool> pool_;
  Discovery discovery_;
  HttpServer clients_;
  StopSequence stop_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_GATEWAY_HPP_
