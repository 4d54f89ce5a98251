// The control service's sockets: ADS over gRPC, both forms, and load reports. gRPC has threads of its own;
// each message is handed to the one thread that decides, through one queue, and the answers go back the same
// way.
#ifndef OPALSWITCH_XDS_CONTROL_SERVER_HPP_
#define OPALSWITCH_XDS_CONTROL_SERVER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "xds/load_report.hpp"
#include "xds/stream_hub.hpp"

namespace grpc {
class ServerCredentials;
}

namespace opalswitch::xds {

struct ControlServerOptions {
  std::string address = "127.0.0.1:0";
  std::shared_ptr<grpc::ServerCredentials> credentials;  // null: plaintext, on loopback addresses alone
  StreamHubOptions hub;
  std::string identifier = "forkwick-control";
  std::vector<std::string> client_names;  // that a proxy's certificate must hold one of; empty = any
  bool plaintext_anywhere = false;
  Millis started_at = 0;                      // when the process began; see StreamHub
  Millis load_report_interval = 1000;         // proxies are asked for load reports so often
  double max_load_reports_per_second = 2000;  // over all proxies; more are dropped
  // Called on the thread that decides, every 10 ms and with each load report. May be empty.
  std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis now)> on_tick;
  std::function<void(const ProxyNode&, const std::vector<LoadReport>&, Millis now)> on_load_report;
  std::size_t max_queued_messages = 64;  // to one stream; a proxy that reads nothing is dropped beyond them
  std::size_t max_queued_bytes = 64 << 20;  // the same
};

class ControlServer {
 public:
  // Listens at once. Throws std::runtime_error if it can't.
  explicit ControlServer(ControlServerOptions options);
  // Ends all streams and threads.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  int port() const;

  // Runs `work` on the thread that decides, and waits for it. What it gives is sent.
  void RunOnDecisionThread(
      const std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis now)>& work);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_CONTROL_SERVER_HPP_
