#include "apps/run_loop.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <random>

namespace opalswitch::apps {

void RunLoop(boost::asio::io_context& io, const std::function<void(std::function<void()>)>& stop,
             const std::function<void()>& reload) {
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT), reload_signals(io, SIGHUP);
  stop_signals.async_wait([&](const boost::system::error_code& ec, int) {
    if (!ec) stop([&] { io.stop(); });
  });
  std::function<void()> await_reload = [&] {
    reload_signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      reload();
      await_reload();
    });
  };
  await_reload();
  io.run();
}

void PrintIssues(const std::vector<config::Issue>& issues, std::FILE* to) {
  for (const config::Issue& issue : issues) std::fprintf(to, "%s\n", issue.ToString().c_str());
}

std::uint64_t RandomSeed() {
  std::random_device random;
  return (std::uint64_t{random()} << 32) | random();
}

}  // namespace opalswitch::apps
