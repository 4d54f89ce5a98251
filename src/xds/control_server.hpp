// The gRPC server of the control service: ADS in both variants, and load reports. gRPC uses threads of its
// own; each message is queued for the decision thread, which also sends the responses.
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
  std::shared_ptr<grpc::ServerCredentials> credentials;  // null: plaintext
  StreamHubOptions hub;
  std::string identifier = "forkwick-control";
  std::vector<std::string> client_names;      // names allowed in proxies' certificates; empty = any
  bool plaintext_anywhere = false;            // else plaintext is refused on addresses other than loopback
  Millis started_at = 0;                      // start of the process; see StreamHub
  Millis load_report_interval = 1000;         // that proxies are asked for
  double max_load_reports_per_second = 2000;  // over all proxies; further ones are dropped
  // Both are called on the decision thread and may be empty: on_tick about every 10 ms, on_load_report with
  // each report.
  std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis now)> on_tick;
  std::function<void(const ProxyNode&, const std::vector<LoadReport>&, Millis now)> on_load_report;
  std::size_t max_queued_messages = 64;     // per stream; a proxy that reads too slowly is disconnected
  std::size_t max_queued_bytes = 64 << 20;  // per stream, likewise
};

class ControlServer {
 public:
  // Starts to listen. Throws std::runtime_error on failure.
  explicit ControlServer(ControlServerOptions options);
  // Closes all streams and stops the threads.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  int port() const;

  // Runs `work` on the decision thread, sends the messages that it returns, and waits for it. Must not be
  // called on the decision thread.
  void RunOnDecisionThread(
      const std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis now)>& work);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_CONTROL_SERVER_HPP_
