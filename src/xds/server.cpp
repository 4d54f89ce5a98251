#include "xds/server.hpp"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

#include "envoy/service/discovery/v3/ads.grpc.pb.h"

namespace opalswitch::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;
using Clock = std::chrono::steady_clock;

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr int kMostMessage = 4 << 20;  // bytes of a proxy's request

Millis Now() { return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count(); }

ProxyNode ToNode(const envoy::config::core::v3::Node& node) {
  return {node.id(), node.cluster(), node.locality().zone()};
}

std::vector<std::string> Texts(const google::protobuf::RepeatedPtrField<std::string>& from) {
  return {from.begin(), from.end()};
}

// Nothing if the type is none that this service has.
std::optional<Request> ToRequest(const discovery::DiscoveryRequest& from) {
  const auto type = TypeOf(from.type_url());
  if (!type) return std::nullopt;
  Request request;
  request.type = *type;
  request.nonce = from.response_nonce();
  request.version = from.version_info();
  request.names = Texts(from.resource_names());
  if (from.has_error_detail()) request.error = from.error_detail().message();
  return request;
}

std::optional<Request> ToRequest(const discovery::DeltaDiscoveryRequest& from) {
  const auto type = TypeOf(from.type_url());
  if (!type) return std::nullopt;
  Request request;
  request.type = *type;
  request.nonce = from.response_nonce();
  request.subscribe = Texts(from.resource_names_subscribe());
  request.unsubscribe = Texts(from.resource_names_unsubscribe());
  for (const auto& [name, version] : from.initial_resource_versions())
    request.initial_versions[name] = version;
  if (from.has_error_detail()) request.error = from.error_detail().message();
  return request;
}

void SetTtl(discovery::Resource* resource, Millis lease) {
  const auto nanos = static_cast<std::int64_t>(lease * 1e6);
  resource->mutable_ttl()->set_seconds(nanos / 1000000000);
  resource->mutable_ttl()->set_nanos(static_cast<std::int32_t>(nanos % 1000000000));
}

void SetAny(google::protobuf::Any* any, const Resource& resource, Type type) {
  any->set_type_url(std::string(TypeUrl(type)));
  any->set_value(resource.bytes);
}

bool IsLeased(const Hub::Out& out, const std::string& name) {
  return std::find(out.leased.begin(), out.leased.end(), name) != out.leased.end();
}

// A resource with its lease; one that a heartbeat renews has no content.
discovery::Resource Wrapped(const Hub::Out& out, const std::string& name, const Resource* resource,
                            Millis lease) {
  discovery::Resource wrapped;
  wrapped.set_name(name);
  if (resource != nullptr) {
    wrapped.set_version(resource->version);
    SetAny(wrapped.mutable_resource(), *resource, out.response.type);
  }
  if (IsLeased(out, name)) SetTtl(&wrapped, lease);
  return wrapped;
}

void Fill(discovery::DiscoveryResponse& to, const Hub::Out& out, const ServerOptions& options) {
  to.set_version_info(out.response.version);
  to.mutable_control_plane()->set_identifier(options.identifier);
  const auto add = [&](const std::string& name, const Resource* resource) {
    to.add_resources()->PackFrom(Wrapped(out, name, resource, options.hub.lease));
  };
  for (const ResourcePtr& resource : out.response.resources) {
    if (IsLeased(out, resource->name)) {
      add(resource->name, resource.get());
    } else {
      SetAny(to.add_resources(), *resource, out.response.type);
    }
  }
  if (!out.heartbeat) return;
  for (const std::string& name : out.leased) add(name, nullptr);
}

void Fill(discovery::DeltaDiscoveryResponse& to, const Hub::Out& out, const ServerOptions& options) {
  to.set_system_version_info(out.response.version);
  to.mutable_control_plane()->set_identifier(options.identifier);
  for (const ResourcePtr& resource : out.response.resources) {
    *to.add_resources() = Wrapped(out, resource->name, resource.get(), options.hub.lease);
  }
  for (const std::string& name : out.response.removed) to.add_removed_resources(name);
  if (!out.heartbeat) return;
  for (const std::string& name : out.leased)
    *to.add_resources() = Wrapped(out, name, nullptr, options.hub.lease);
}

}  // namespace

class Server::Impl {
 public:
  // One stream, whatever its form, as the deciding thread sees it.
  class Stream {
   public:
    virtual ~Stream() = default;
    virtual void Send(const Hub::Out& out) = 0;
    virtual void ReadNext() = 0;
    virtual void End(grpc::Status status) = 0;
  };

  explicit Impl(ServerOptions options) : options_(std::move(options)), hub_(options_.hub), service_(*this) {
    auto credentials = options_.credentials;
    if (!credentials) {
      if (!options_.address.starts_with("127.") && !options_.address.starts_with("[::1]") &&
          !options_.address.starts_with("unix:")) {
        throw std::runtime_error(options_.address + ": plaintext is for loopback addresses alone");
      }
      credentials = grpc::InsecureServerCredentials();
    }
    grpc::ServerBuilder builder;
    builder.AddListeningPort(options_.address, credentials, &port_);
    builder.SetMaxReceiveMessageSize(kMostMessage);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) throw std::runtime_error(options_.address + ": can't listen");
    decider_ = std::thread([this] { Decide(); });
  }

  ~Impl() {
    server_->Shutdown(std::chrono::system_clock::now());  // streams are cancelled at once
    {
      const std::lock_guard lock(mutex_);
      ending_ = true;
    }
    wake_.notify_one();
    decider_.join();
  }

  int port() const { return port_; }

  void Post(std::function<void(Millis)> work) {
    {
      const std::lock_guard lock(mutex_);
      queue_.push_back(std::move(work));
    }
    wake_.notify_one();
  }

  void With(const std::function<std::vector<Hub::Out>(Hub&, Millis)>& work) {
    std::mutex mutex;
    std::condition_variable done;
    bool finished = false;
    Post([&](Millis now) {
      Send(work(hub_, now));
      const std::lock_guard lock(mutex);
      finished = true;
      done.notify_one();
    });
    std::unique_lock lock(mutex);
    done.wait(lock, [&] { return finished; });
  }

 private:
  // A reactor of gRPC: its calls come on gRPC's threads, those of Stream on the deciding one.
  template <typename In, typename Reply, Session::Form form>
  class Reactor : public grpc::ServerBidiReactor<In, Reply>, public Stream {
   public:
    explicit Reactor(Impl& owner) : owner_(owner), id_(++owner.ids_) {
      owner_.Post([this](Millis now) {
        if (!owner_.hub_.Open(id_, form, now))
          return End({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many proxies"});
        owner_.streams_[id_] = this;
        ReadNext();
      });
    }

    void ReadNext() override {
      const std::lock_guard lock(mutex_);
      if (!ended_) this->StartRead(&in_);
    }

    void OnReadDone(bool good) override {
      if (!good) return owner_.Post([this](Millis) { End(grpc::Status::OK); });
      owner_.Post([this](Millis now) {
        const auto request = ToRequest(in_);
        // Types that this service has not are asked for in vain, and hold nothing else up.
        if (request) owner_.Send(owner_.hub_.Take(id_, ToNode(in_.node()), *request, now));
        ReadNext();
      });
    }

    void Send(const Hub::Out& out) override {
      auto reply = std::make_unique<Reply>();
      reply->set_type_url(std::string(TypeUrl(out.response.type)));
      reply->set_nonce(out.response.nonce);
      Fill(*reply, out, owner_.options_);
      const std::size_t bytes = reply->ByteSizeLong();
      std::unique_lock lock(mutex_);
      if (ended_) return;
      if (replies_.size() >= owner_.options_.queued_messages ||
          bytes_ + bytes > owner_.options_.queued_bytes) {
        lock.unlock();
        return End({grpc::StatusCode::RESOURCE_EXHAUSTED, "reads too slowly"});
      }
      bytes_ += bytes;
      replies_.push_back(std::move(reply));
      if (replies_.size() == 1) this->StartWrite(replies_.front().get());
    }

    void OnWriteDone(bool good) override {
      const std::lock_guard lock(mutex_);
      bytes_ -= std::min<std::size_t>(bytes_, replies_.front()->ByteSizeLong());
      replies_.pop_front();
      if (good && !ended_ && !replies_.empty()) this->StartWrite(replies_.front().get());
    }

    void End(grpc::Status status) override {
      const std::lock_guard lock(mutex_);
      if (!std::exchange(ended_, true)) this->Finish(std::move(status));
    }

    void OnCancel() override {
      owner_.Post([this](Millis) { End(grpc::Status::CANCELLED); });
    }

    void OnDone() override {
      owner_.Post([this](Millis now) {
        owner_.streams_.erase(id_);
        owner_.hub_.Closed(id_, now);
        delete this;
      });
    }

   private:
    Impl& owner_;
    const Hub::StreamId id_;
    In in_;
    std::mutex mutex_;
    std::deque<std::unique_ptr<Reply>> replies_;  // the first is being written
    std::size_t bytes_ = 0;
    bool ended_ = false;
  };

  class Service : public discovery::AggregatedDiscoveryService::CallbackService {
   public:
    explicit Service(Impl& owner) : owner_(owner) {}
    grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
    StreamAggregatedResources(grpc::CallbackServerContext*) override {
      return new Reactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse,
                         Session::Form::kStateOfTheWorld>(owner_);
    }
    grpc::ServerBidiReactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse>*
    DeltaAggregatedResources(grpc::CallbackServerContext*) override {
      return new Reactor<discovery::DeltaDiscoveryRequest, discovery::DeltaDiscoveryResponse,
                         Session::Form::kDelta>(owner_);
    }

   private:
    Impl& owner_;
  };

  void Send(const std::vector<Hub::Out>& all) {
    for (const Hub::Out& out : all) {
      const auto found = streams_.find(out.stream);
      if (found == streams_.end()) continue;
      if (out.close) {
        found->second->End({grpc::StatusCode::RESOURCE_EXHAUSTED, *out.close});
      } else {
        found->second->Send(out);
      }
    }
  }

  void Decide() {
    auto next = Clock::now() + kTick;
    std::unique_lock lock(mutex_);
    for (;;) {
      wake_.wait_until(lock, next, [this] { return ending_ || !queue_.empty(); });
      std::deque<std::function<void(Millis)>> work;
      work.swap(queue_);
      const bool last = ending_ && work.empty();
      lock.unlock();
      for (const auto& item : work) item(Now());
      if (Clock::now() >= next) {
        Send(hub_.Tick(Now()));
        next = Clock::now() + kTick;
      }
      lock.lock();
      if (last && queue_.empty()) return;
    }
  }

  const ServerOptions options_;
  Hub hub_;  // of the deciding thread, as the streams
  std::map<Hub::StreamId, Stream*> streams_;
  std::atomic<Hub::StreamId> ids_{0};
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void(Millis)>> queue_;
  bool ending_ = false;
  int port_ = 0;
  Service service_;
  std::unique_ptr<grpc::Server> server_;
  std::thread decider_;
};

Server::Server(ServerOptions options) : impl_(std::make_unique<Impl>(std::move(options))) {}
Server::~Server() = default;
int Server::port() const { return impl_->port(); }
void Server::With(const std::function<std::vector<Hub::Out>(Hub&, Millis)>& work) { impl_->With(work); }

}  // namespace opalswitch::xds
