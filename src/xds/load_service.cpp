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

// A proxy's stream: it says who it is, is told what to report, and reports. It reads the next report only
// when the last was decided on.
class LoadService::Reactor
    : public grpc::ServerBidiReactor<stats::LoadStatsRequest, stats::LoadStatsResponse> {
 public:
  Reactor(LoadService& owner, const grpc::CallbackServerContext& context) : owner_(owner) {
    if (NameAllowed(context, owner.options_.client_names)) {
      Next();
    } else {
      End({grpc::StatusCode::PERMISSION_DENIED, "no name of the certificate is allowed"});
    }
  }

  void OnReadDone(bool good) override {
    if (!good) return End(grpc::Status::OK);
    owner_.loop_.Post([this](Millis now) { Take(now); });
  }
  void OnCancel() override { End(grpc::Status::CANCELLED); }
  // What is posted for it still comes before this.
  void OnDone() override {
    owner_.loop_.Post([this](Millis) { delete this; });
  }

 private:
  void Next() {
    const std::lock_guard lock(mutex_);
    if (!ended_) StartRead(&request_);
  }
  void End(grpc::Status status) {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(ended_, true)) Finish(std::move(status));
  }

  // On the loop's thread.
  void Take(Millis now) {
    const auto reports = ParseLoadReports(request_);
    if (!std::exchange(known_, true)) {
      const auto& node = request_.node();
      node_ = {node.id(), node.cluster(), node.locality().zone()};
      answer_.set_send_all_clusters(true);
      answer_.set_report_endpoint_granularity(true);
      const auto nanos = static_cast<std::int64_t>(owner_.options_.every * 1e6);
      answer_.mutable_load_reporting_interval()->set_seconds(nanos / 1000000000);
      answer_.mutable_load_reporting_interval()->set_nanos(static_cast<std::int32_t>(nanos % 1000000000));
      const std::lock_guard lock(mutex_);
      if (!ended_) StartWrite(&answer_);
    }
    const bool paced = !heard_at_ || now - *heard_at_ >= owner_.options_.every / 2;
    if (!reports.empty() && paced && owner_.Room(now) && owner_.options_.heard) {
      heard_at_ = now;
      owner_.options_.heard(node_, reports, now);
    }
    Next();
  }

  LoadService& owner_;
  stats::LoadStatsRequest request_;
  stats::LoadStatsResponse answer_;
  std::mutex mutex_;
  bool ended_ = false;
  bool known_ = false;
  ProxyNode node_;
  std::optional<Millis> heard_at_;
};

bool LoadService::Room(Millis now) {
  room_ = std::min(options_.per_second,
                   room_ + (now - std::exchange(room_at_, now)) * options_.per_second / 1000);
  if (room_ < 1) return false;
  room_ -= 1;
  return true;
}

grpc::ServerBidiReactor<stats::LoadStatsRequest, stats::LoadStatsResponse>* LoadService::StreamLoadStats(
    grpc::CallbackServerContext* context) {
  return new Reactor(*this, *context);
}

}  // namespace opalswitch::xds
