// forkwick: one gateway on real sockets. Runs in the foreground until SIGTERM.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "config.hpp"
#include "gateway.hpp"

int main() {
  namespace gw = opalswitch::gateway;
  try {
    const gw::Config config = gw::LoadConfig([](const char* name) { return std::getenv(name); });
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    gw::Gateway gateway(io, config);
    signals.async_wait([&](const boost::system::error_code& ec, int) {
      if (!ec) gateway.Stop([&] { io.stop(); });
    });
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "forkwick: %s\n", error.what());
    return 1;
  }
}
