// The load reporting service (LRS, load_stats.v3) over gRPC: requests load reports, limits their rate and
// passes them to the decision thread.
#ifndef OPALSWITCH_XDS_LOAD_SERVICE_HPP_
#define OPALSWITCH_XDS_LOAD_SERVICE_HPP_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <string>
#include <vector>

#include "envoy/service/load_stats/v3/lrs.grpc.pb.h"
#include "xds/decision_loop.hpp"
#include "xds/load_report.hpp"
#include "xds/stream_hub.hpp"

namespace opalswitch::xds {

class LoadService : public envoy::service::load_stats::v3::LoadReportingService::CallbackService {
 public:
  struct Options {
    // Proxies are asked to report this often. A report that follows the last processed one after less
    // than half of it is dropped.
    Millis report_interval = 1000;
    double max_reports_per_second = 2000;   // over all proxies; further ones are dropped
    std::vector<std::string> client_names;  // see IsCallerAllowed
    // Called on the loop's thread; may be empty.
    std::function<void(const ProxyNode&, const std::vector<LoadReport>&, Millis now)> on_report;
  };
  LoadService(DecisionLoop& loop, Options options) : loop_(loop), options_(std::move(options)) {}

  grpc::ServerBidiReactor<envoy::service::load_stats::v3::LoadStatsRequest,
                          envoy::service::load_stats::v3::LoadStatsResponse>*
  StreamLoadStats(grpc::CallbackServerContext* context) override;

 private:
  class Reactor;
  // Takes a token for one report, if there is one (token bucket over all proxies). On the loop's thread.
  bool TryAdmitReport(Millis now);

  DecisionLoop& loop_;
  const Options options_;
  double tokens_ = 0;
  Millis tokens_updated_at_ = 0;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_SERVICE_HPP_
