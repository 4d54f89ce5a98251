// A host to which connects hang, as through a lost SYN.
#ifndef OPALSWITCH_TESTS_STANDINS_HANGING_HOST_HPP_
#define OPALSWITCH_TESTS_STANDINS_HANGING_HOST_HPP_

#include <utility>
#include <vector>

#include "peers.hpp"

namespace opalswitch::testing {

// A listener whose queue is full, so that a connect to it hangs until Accept is called.
struct HangingHost {
  explicit HangingHost(asio::io_context& io) : listener(io, tcp::v4()), fill(io) {
    listener.bind(Loopback());
    listener.listen(0);
    listener.non_blocking(true);
    fill.connect(address());
  }
  tcp::endpoint address() const { return listener.local_endpoint(); }
  void Accept() {
    error_code ec;
    tcp::socket socket = listener.accept(ec);
    if (!ec) accepted.push_back(std::move(socket));
  }
  std::size_t ReceivedBytes() {
    std::size_t bytes = 0;
    error_code ec;
    for (auto& socket : accepted) bytes += socket.available(ec);
    return bytes;
  }

  tcp::acceptor listener;
  tcp::socket fill;  // takes the only place in the queue
  std::vector<tcp::socket> accepted;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_HANGING_HOST_HPP_
