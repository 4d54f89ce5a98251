// forkwick: one gateway on real sockets. Runs in the foreground until SIGTERM; SIGHUP has it read its
// configuration again.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>

#include "config/platform_config.hpp"
#include "gateway/gateway.hpp"

namespace {

namespace gw = opalswitch::gateway;

const char* Variable(const char* name) { return std::getenv(name); }

// The environment still tells where discovery was at the start: a changed file knows better.
const char* VariableAtReload(const char* name) {
  return std::strcmp(name, "NODE_DISCOVERY") == 0 ? nullptr : Variable(name);
}

void Reload(gw::Gateway& gateway) {
  try {
    gateway.Reload(gw::LoadConfig(VariableAtReload));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "forkwick: configuration not reloaded: %s\n", error.what());
  }
}

}  // namespace

int main() {
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    gw::Gateway gateway(io, gw::LoadConfig(Variable));
    ends.async_wait([&](const boost::system::error_code& ec, int) {
      if (!ec) gateway.Stop([&] { io.stop(); });
    });
    std::function<void()> await_reload = [&] {
      reloads.async_wait([&](const boost::system::error_code& ec, int) {
        if (ec) return;
        Reload(gateway);
        await_reload();
      });
    };
    await_reload();
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "forkwick: %s\n", error.what());
    return 1;
  }
}
