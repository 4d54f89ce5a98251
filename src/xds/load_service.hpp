// Load reports of proxies over gRPC (load_stats.v3): asked for, paced and handed to the thread that decides.
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
    Millis report_interval =
        1000;  // a proxy is asked to report so often; one that does it twice as often is not heard
    double max_reports_per_second = 2000;  // of all proxies together; what is beyond is not heard
    std::vector<std::string> client_names;
    std::function<void(const ProxyNode&, const std::vector<LoadReport>&, Millis now)>
        on_report;  // on the loop
  };
  LoadService(DecisionLoop& loop, Options options) : loop_(loop), options_(std::move(options)) {}

  grpc::ServerBidiReactor<envoy::service::load_stats::v3::LoadStatsRequest,
                          envoy::service::load_stats::v3::LoadStatsResponse>*
  StreamLoadStats(grpc::CallbackServerContext* context) override;

 private:
  class Reactor;
  // On the loop. Whether there is room for one report more of all proxies.
  bool TryAdmitReport(Millis now);

  DecisionLoop& loop_;
  const Options options_;
  double tokens_ = 0;
  Millis tokens_updated_at_ = 0;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_LOAD_SERVICE_HPP_
