// A sample backend and client for trying forkwick out. The backend answers every request with its name, the
// method and the target.
//   standin serve NAME ADDRESS:PORT [NAME ADDRESS:PORT ...]   serves until SIGTERM or SIGINT
//   standin ask ADDRESS:PORT METHOD HOST PATH [BODY]          sends one request; prints status and body
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

tcp::endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

asio::awaitable<void> ServeConnection(tcp::socket socket, std::string name) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request, asio::use_awaitable);
    http::response<http::string_body> response(http::status::ok, 11);
    response.keep_alive(request.keep_alive());
    response.body() =
        name + " got " + std::string(request.method_string()) + " " + std::string(request.target());
    if (request.method() != http::verb::head) {
      response.prepare_payload();
    } else {
      response.content_length(response.body().size());
      response.body().clear();
    }
    co_await http::async_write(socket, response, asio::use_awaitable);
    if (!request.keep_alive()) co_return;
  }
}

asio::awaitable<void> Listen(asio::io_context& io, std::string name, tcp::endpoint endpoint) {
  tcp::acceptor acceptor(io, endpoint);
  for (;;) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(io, ServeConnection(std::move(socket), name), asio::detached);
  }
}

int SendRequest(const tcp::endpoint& endpoint, const std::string& method, const std::string& host,
                const std::string& path, const std::string& body) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(endpoint);
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(path);
  request.version(11);
  request.set(http::field::host, host);
  request.set(http::field::connection, "close");
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> response;
  response.skip(method == "HEAD");
  http::read(socket, buffer, response);
  std::string text = response.get().body();
  while (!text.empty() && text.back() == '\n') text.pop_back();
  std::printf("%u  %s\n", response.get().result_int(), text.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "ask" && argc >= 6)
      return SendRequest(ParseEndpoint(argv[2]), argv[3], argv[4], argv[5], argc > 6 ? argv[6] : "");
    if (command != "serve" || argc < 4 || argc % 2 != 0) {
      std::fprintf(stderr,
                   "usage: standin serve NAME ADDRESS:PORT ... | ask ADDRESS:PORT METHOD HOST PATH [BODY]\n");
      return 2;
    }
    asio::io_context io(1);
    asio::signal_set stop_signals(io, SIGTERM, SIGINT);
    stop_signals.async_wait([&](auto, int) { io.stop(); });
    for (int i = 2; i + 1 < argc; i += 2) {
      asio::co_spawn(io, Listen(io, argv[i], ParseEndpoint(argv[i + 1])), [](std::exception_ptr failed) {
        if (failed) std::rethrow_exception(failed);
      });
    }
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin: %s\n", error.what());
    return 1;
  }
}
