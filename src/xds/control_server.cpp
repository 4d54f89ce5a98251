#include "xds/control_server.hpp"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <utility>

#include "envoy/service/discovery/v3/ads.grpc.pb.h"
#include "xds/decision_loop.hpp"
#include "xds/load_service.hpp"
#include "xds/proto_conversion.hpp"
#include "xds/tls.hpp"

namespace opalswitch::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;
constexpr int kMaxRequestBytes = 4 << 20;

}  // namespace

class ControlServer::Impl {
 public:
  // A stream of either variant, as used by the decision thread.
  class Stream {
   public:
    virtual ~Stream() = default;
    virtual void Send(const StreamHub::OutgoingMessage& message) = 0;
    virtual void ReadNext() = 0;
    virtual void Close(grpc::Status status) = 0;
  };

  explicit Impl(ControlServerOptions options)
      : options_(std::move(options)),
        hub_(options_.hub, options_.started_at),
        service_(*this),
        load_service_(loop_, {options_.load_report_interval, options_.max_load_reports_per_second,
                              options_.client_names, options_.on_load_report}),
        loop_([this](Millis now) {
          if (options_.on_tick) Send(options_.on_tick(hub_, now));
          Send(hub_.Tick(now));
        }) {
    auto credentials = options_.credentials;
    if (!credentials) {
      const bool is_loopback = options_.address.starts_with("127.") ||
                               options_.address.starts_with("[::1]") || options_.address.starts_with("unix:");
      if (!is_loopback && !options_.plaintext_anywhere)
        throw std::runtime_error(
            options_.address +
            ": plaintext is allowed on loopback addresses only; configure TLS, or plaintext_anywhere");
      credentials = grpc::InsecureServerCredentials();
    }
    grpc::ServerBuilder builder;
    builder.AddListeningPort(options_.address, credentials, &port_);
    builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&service_);
    builder.RegisterService(&load_service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) throw std::runtime_error(options_.address + ": can't listen");
  }

  ~Impl() { server_->Shutdown(std::chrono::system_clock::now()); }  // cancels all streams immediately

  int port() const { return port_; }

  void RunOnDecisionThread(
      const std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis)>& work) {
    loop_.RunAndWait([&](Millis now) { Send(work(hub_, now)); });
  }

 private:
  // gRPC calls the reactor's methods on its own threads; those of Stream run on the decision thread.
  template <typename RequestMessage, typename ResponseMessage, Session::Variant variant>
  class Reactor : public grpc::ServerBidiReactor<RequestMessage, ResponseMessage>, public Stream {
   public:
    Reactor(Impl& owner, const grpc::CallbackServerContext& context)
        : owner_(owner), id_(++owner.last_stream_id_) {
      owner_.loop_.Post([this, allowed = IsCallerAllowed(context, owner.options_.client_names)](Millis now) {
        if (!allowed)
          return Close({grpc::StatusCode::PERMISSION_DENIED, "no name of the certificate is allowed"});
        if (!owner_.hub_.OpenStream(id_, variant, now))
          return Close({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many proxies"});
        owner_.streams_[id_] = this;
        ReadNext();
      });
    }

    void ReadNext() override {
      const std::lock_guard lock(mutex_);
      if (!is_closed_) this->StartRead(&request_);
    }

    void OnReadDone(bool ok) override {
      if (!ok) return owner_.loop_.Post([this](Millis) { Close(grpc::Status::OK); });
      owner_.loop_.Post([this](Millis now) {
        const auto request = ToRequest(request_);
        // Requests for types that this service does not serve are ignored.
        if (request) owner_.Send(owner_.hub_.HandleRequest(id_, ToProxyNode(request_.node()), *request, now));
        ReadNext();
      });
    }

    void Send(const StreamHub::OutgoingMessage& message) override {
      auto response = std::make_unique<ResponseMessage>();
      response->set_type_url(std::string(TypeUrl(message.response.type)));
      response->set_nonce(message.response.nonce);
      FillResponse(*response, message, owner_.options_.hub.lease_duration, owner_.options_.identifier);
      const std::size_t bytes = response->ByteSizeLong();
      std::unique_lock lock(mutex_);
      if (is_closed_) return;
      if (queued_responses_.size() >= owner_.options_.max_queued_messages ||
          queued_bytes_ + bytes > owner_.options_.max_queued_bytes) {
        lock.unlock();
        return Close({grpc::StatusCode::RESOURCE_EXHAUSTED, "reads too slowly"});
      }
      queued_bytes_ += bytes;
      queued_responses_.push_back(std::move(response));
      if (queued_responses_.size() == 1) this->StartWrite(queued_responses_.front().get());
    }

    void OnWriteDone(bool ok) override {
      const std::lock_guard lock(mutex_);
      queued_bytes_ -= std::min<std::size_t>(queued_bytes_, queued_responses_.front()->ByteSizeLong());
      queued_responses_.pop_front();
      if (ok && !is_closed_ && !queued_responses_.empty()) this->StartWrite(queued_responses_.front().get());
    }

    void Close(grpc::Status status) override {
      const std::lock_guard lock(mutex_);
      if (!std::exchange(is_closed_, true)) this->Finish(std::move(status));
    }

    void OnCancel() override {
      owner_.loop_.Post([this](Millis) { Close(grpc::Status::CANCELLED); });
    }

    void OnDone() override {
      owner_.loop_.Post([this](Millis now) {
        owner_.streams_.erase(id_);
        owner_.hub_.OnStreamClosed(id_, now);
        delete this;
      });
    }

   private:
    Impl& owner_;
    const StreamHub::StreamId id_;
    RequestMessage request_;
    std::mutex mutex_;
    std::deque<std::unique_ptr<ResponseMessage>> queued_responses_;  // the first one is being written
    std::size_t queued_bytes_ = 0;
    bool is_closed_ = false;
  };

  class Service : public discovery::AggregatedDiscoveryService::CallbackService {
   public:
    explicit Service(Impl& owner) : owner_(owner) {}
    grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
    StreamAggregatedResources(grpc::CallbackServerContext* context) override {
      return new Reactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse,
                         Session::Variant::kStateOfTheWorld>(owner_, *context);
    }
    grpc::ServerBidiReactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>*
    DeltaAggregatedResources(grpc::CallbackServerContext* context) override {
      return new Reactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse,
                         Session::Variant::kDelta>(owner_, *context);
    }

   private:
    Impl& owner_;
  };

  void Send(const std::vector<StreamHub::OutgoingMessage>& messages) {
    for (const StreamHub::OutgoingMessage& message : messages) {
      const auto found = streams_.find(message.stream);
      if (found == streams_.end()) continue;
      if (message.close_reason) {
        found->second->Close({grpc::StatusCode::RESOURCE_EXHAUSTED, *message.close_reason});
      } else {
        found->second->Send(message);
      }
    }
  }

  const ControlServerOptions options_;
  StreamHub hub_;  // used on the decision thread only, like streams_
  std::map<StreamHub::StreamId, Stream*> streams_;
  std::atomic<StreamHub::StreamId> last_stream_id_{0};
  int port_ = 0;
  Service service_;
  LoadService load_service_;
  DecisionLoop loop_;  // destroyed before the members above, which its queued work uses
  std::unique_ptr<grpc::Server> server_;
};

ControlServer::ControlServer(ControlServerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
ControlServer::~ControlServer() = default;
int ControlServer::port() const { return impl_->port(); }
void ControlServer::RunOnDecisionThread(
    const std::function<std::vector<StreamHub::OutgoingMessage>(StreamHub&, Millis)>& work) {
  impl_->RunOnDecisionThread(work);
}

}  // namespace opalswitch::xds
