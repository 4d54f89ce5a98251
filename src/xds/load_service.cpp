#include "xds/load_service.hpp"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

#include "xds/tls.hpp"

namespace opalswitch::xds {
namespace {

namespace stats = envoy::service::load_stats::v3;

}  // namespace

// A proxy's stream: the first message identifies the proxy and is answered with the reporting interval; the
// others are reports. The next report is read only after the last one has been processed.
class LoadService::Reactor
    : public grpc::ServerBidiReactor<stats::LoadStatsRequest, stats::LoadStatsResponse> {
 public:
  Reactor(LoadService& owner, const grpc::CallbackServerContext& context) : owner_(owner) {
    if (IsCallerAllowed(context, owner.options_.client_names)) {
      ReadNext();
    } else {
      Close({grpc::StatusCode::PERMISSION_DENIED, "no name of the certificate is allowed"});
    }
  }

  void OnReadDone(bool ok) override {
    if (!ok) return Close(grpc::Status::OK);
    owner_.loop_.Post([this](Millis now) { HandleReport(now); });
  }
  void OnCancel() override { Close(grpc::Status::CANCELLED); }
  // Deletes itself on the loop, after the work that is still queued for it.
  void OnDone() override {
    owner_.loop_.Post([this](Millis) { delete this; });
  }

 private:
  void ReadNext() {
    const std::lock_guard lock(mutex_);
    if (!is_closed_) StartRead(&request_);
  }
  void Close(grpc::Status status) {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(is_closed_, true)) Finish(std::move(status));
  }

  // On the loop's thread.
  void HandleReport(Millis now) {
    const auto reports = ParseLoadReports(request_);
    if (!std::exchange(is_identified_, true)) {
      const auto& node = request_.node();
      node_ = {node.id(), node.cluster(), node.locality().zone()};
      response_.set_send_all_clusters(true);
      response_.set_report_endpoint_granularity(true);
      const auto nanos = static_cast<std::int64_t>(owner_.options_.report_interval * 1e6);
      response_.mutable_load_reporting_interval()->set_seconds(nanos / 1000000000);
      response_.mutable_load_reporting_interval()->set_nanos(static_cast<std::int32_t>(nanos % 1000000000));
      const std::lock_guard lock(mutex_);
      if (!is_closed_) StartWrite(&response_);
    }
    const bool is_within_rate =
        !last_report_at_ || now - *last_report_at_ >= owner_.options_.report_interval / 2;
    if (!reports.empty() && is_within_rate && owner_.TryAdmitReport(now) && owner_.options_.on_report) {
      last_report_at_ = now;
      owner_.options_.on_report(node_, reports, now);
    }
    ReadNext();
  }

  LoadService& owner_;
  stats::LoadStatsRequest request_;
  stats::LoadStatsResponse response_;
  std::mutex mutex_;
  bool is_closed_ = false;
  bool is_identified_ = false;
  ProxyNode node_;
  std::optional<Millis> last_report_at_;
};

bool LoadService::TryAdmitReport(Millis now) {
  tokens_ =
      std::min(options_.max_reports_per_second, tokens_ + (now - std::exchange(tokens_updated_at_, now)) *
                                                              options_.max_reports_per_second / 1000);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

grpc::ServerBidiReactor<stats::LoadStatsRequest, stats::LoadStatsResponse>* LoadService::StreamLoadStats(
    grpc::CallbackServerContext* context) {
  return new Reactor(*this, *context);
}

}  // namespace opalswitch::xds
