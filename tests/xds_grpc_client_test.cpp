// Test with an independent xDS client: gRPC C++'s own (xds:///) finds stand-in servers through the control
// service, follows their weights and stops using one that drains.
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "config/services.hpp"
#include "xds/control_server.hpp"
#include "xds/resources.hpp"

namespace opalswitch::testing {
namespace {

using xds::EndpointHealth;
using xds::StreamHub;

// A server that answers every call with its name.
class NamedServer : public grpc::CallbackGenericService {
 public:
  explicit NamedServer(std::string name) : name_(std::move(name)) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterCallbackGenericService(this);
    server_ = builder.BuildAndStart();
  }
  ~NamedServer() override { server_->Shutdown(std::chrono::system_clock::now()); }
  int port() const { return port_; }

  grpc::ServerGenericBidiReactor* CreateReactor(grpc::GenericCallbackServerContext*) override {
    class Reactor : public grpc::ServerGenericBidiReactor {
     public:
      explicit Reactor(const std::string& name) {
        const grpc::Slice slice(name);
        reply_ = grpc::ByteBuffer(&slice, 1);
        StartRead(&request_);
      }
      void OnReadDone(bool) override { StartWriteAndFinish(&reply_, {}, grpc::Status::OK); }
      void OnDone() override { delete this; }

     private:
      grpc::ByteBuffer request_, reply_;
    };
    return new Reactor(name_);
  }

 private:
  const std::string name_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

// Returns the name of the server that answers one call; empty if the call fails.
std::string Call(const std::shared_ptr<grpc::Channel>& channel) {
  grpc::GenericStub stub(channel);
  grpc::ClientContext context;
  context.set_wait_for_ready(true);
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(20));
  grpc::CompletionQueue queue;
  const grpc::Slice slice(std::string("?"));
  const grpc::ByteBuffer request(&slice, 1);
  const auto call = stub.PrepareUnaryCall(&context, "/shop.Baskets/View", request, &queue);
  call->StartCall();
  grpc::ByteBuffer reply;
  grpc::Status status;
  call->Finish(&reply, &status, &queue);
  void* tag = nullptr;
  bool ok = false;
  queue.Next(&tag, &ok);
  queue.Shutdown();
  std::vector<grpc::Slice> slices;
  if (!status.ok() || !reply.Dump(&slices).ok()) return "";
  std::string text;
  for (const grpc::Slice& part : slices)
    text.append(reinterpret_cast<const char*>(part.begin()), part.size());
  return text;
}

TEST(XdsGrpcClient, FollowsWeightsAndADrain) {
  const auto parsed = config::ParseServices(
      "[[listener]]\nid = \"baskets\"\naddress = \"127.0.0.1:1\"\n[[class]]\nid = \"view\"\neffect = "
      "\"safe\"\n"
      "aim = \"1s\"\ndeadline = \"2s\"\n[[pool]]\nid = \"one\"\nhost = [{ address = \"127.0.0.1:1\" }]\n"
      "[[route]]\npool = \"one\"\nclass = \"view\"\n",
      "f", "");
  ASSERT_TRUE(parsed.services);
  NamedServer a("a"), b("b");
  xds::ControlServer control{xds::ControlServerOptions()};
  const auto publish = [&](EndpointHealth health_of_a) {
    const xds::EndpointAssignments nodes = {
        {"one",
         {{"a", "", "127.0.0.1", static_cast<std::uint16_t>(a.port()), 300, health_of_a},
          {"b", "", "127.0.0.1", static_cast<std::uint16_t>(b.port()), 100, EndpointHealth::kHealthy}}}};
    xds::ResourceOptions options;
    options.for_grpc_clients = true;
    options.requests_load_reports = false;
    control.RunOnDecisionThread([&](StreamHub& hub, Millis now) {
      return hub.Publish("", xds::BuildSnapshot(*parsed.services, nodes, options), true, now);
    });
  };
  publish(EndpointHealth::kHealthy);
  const std::string bootstrap =
      "{\"xds_servers\":[{\"server_uri\":\"127.0.0.1:" + std::to_string(control.port()) +
      "\",\"channel_creds\":[{\"type\":\"insecure\"}],\"server_features\":[\"xds_v3\"]}],"
      "\"node\":{\"id\":\"client\",\"cluster\":\"edge\"}}";
  ASSERT_EQ(setenv("GRPC_XDS_BOOTSTRAP_CONFIG", bootstrap.c_str(), 1), 0);
  const auto channel = grpc::CreateChannel("xds:///baskets", grpc::InsecureChannelCredentials());
  int from_a = 0, from_b = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string server = Call(channel);
    from_a += server == "a";
    from_b += server == "b";
  }
  EXPECT_EQ(from_a + from_b, 400);
  // Weights are three to one; the hash ring and 400 random picks deviate from that somewhat.
  EXPECT_GT(from_a, 220);
  EXPECT_GT(from_b, 40);
  publish(EndpointHealth::kDraining);
  // The client applies the drain with some delay, and then permanently.
  int consecutive_from_b = 0;
  for (int i = 0; i < 20000 && consecutive_from_b < 60; ++i)
    consecutive_from_b = Call(channel) == "b" ? consecutive_from_b + 1 : 0;
  ASSERT_EQ(consecutive_from_b, 60);
  for (int i = 0; i < 200; ++i) ASSERT_EQ(Call(channel), "b");
}

}  // namespace
}  // namespace opalswitch::testing
