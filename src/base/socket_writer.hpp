// Writes to non-blocking sockets, in as many parts as the kernel takes.
#ifndef OPALSWITCH_BASE_SOCKET_WRITER_HPP_
#define OPALSWITCH_BASE_SOCKET_WRITER_HPP_

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "base/socket_error.hpp"

namespace opalswitch::gateway {

// A message on its way. Knows at any time how much of it the kernel has accepted, unlike an asynchronous
// write, which reports that later.
class SocketWriter {
 public:
  SocketWriter() = default;
  explicit SocketWriter(std::string data) : data_(std::move(data)) {}

  // Writes as much as the kernel takes. Returns false if the connection has failed.
  bool Write(boost::asio::ip::tcp::socket& socket) {
    error_.clear();
    while (!IsDone() && !error_) written_ += socket.write_some(boost::asio::buffer(data_) + written_, error_);
    return !error_ || IsTransient(error_);
  }
  // Whether there was a message and the kernel has accepted all of it.
  bool IsDone() const { return !data_.empty() && written_ == data_.size(); }
  const boost::system::error_code& error() const { return error_; }

 private:
  std::string data_;
  std::size_t written_ = 0;
  boost::system::error_code error_;  // of the last call
};

// Writes the message and calls `handler` with the error, if any, never from within this function. The socket
// must be non-blocking and outlive the handler. Each wait registers with the reactor anew: after a short
// write into a buffer that has room, asio's own writes wait for an event that does not come.
template <typename Handler>
void WriteAll(boost::asio::ip::tcp::socket& socket, const std::shared_ptr<SocketWriter>& writer,
              Handler handler) {
  if (!writer->Write(socket) || writer->IsDone()) {
    const auto error = writer->IsDone() ? boost::system::error_code() : writer->error();
    boost::asio::post(socket.get_executor(), [handler = std::move(handler), error] { handler(error); });
    return;
  }
  socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                    [&socket, writer, handler = std::move(handler)](boost::system::error_code ec) {
                      if (ec) return handler(ec);
                      WriteAll(socket, writer, handler);
                    });
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_SOCKET_WRITER_HPP_
