// Tests of the control service's TLS: which proxies may connect, and certificates that change while it runs.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "envoy/service/discovery/v3/ads.grpc.pb.h"
#include "standins/certificates.hpp"
#include "xds/control_server.hpp"
#include "xds/tls.hpp"

namespace opalswitch::testing {
namespace {

namespace discovery = envoy::service::discovery::v3;

struct TlsService {
  TlsService() {
    Save("server.pem", server.Pem());
    Save("server.key", server.KeyPem());
    Save("proxies.pem", authority.Pem());
  }
  ~TlsService() {
    for (const char* const name : {"server.pem", "server.key", "proxies.pem"})
      std::remove(Path(name).c_str());
  }
  static std::string Path(const std::string& name) {
    return ::testing::TempDir() + "forkwick-tls-" + std::to_string(getpid()) + "-" + name;
  }
  static void Save(const std::string& name, const std::string& text) {
    std::ofstream(Path(name) + ".new") << text;
    std::rename((Path(name) + ".new").c_str(), Path(name).c_str());
  }
  void Start(std::vector<std::string> names) {
    config::ControlTls tls{Path("server.pem"), Path("server.key"), Path("proxies.pem"), {}};
    xds::ControlServerOptions options;
    options.credentials = xds::MakeCredentials(tls);
    options.client_names = std::move(names);
    control.emplace(std::move(options));
    control->RunOnDecisionThread([](xds::StreamHub& hub, Millis now) {
      return hub.Publish(
          "", std::make_shared<xds::Snapshot>(std::array<xds::ResourceMap, xds::kResourceTypeCount>()), true,
          now);
    });
  }
  // Opens a stream as a proxy that trusts `trusted` and returns its status: OK if it gets a response.
  grpc::StatusCode RequestStatus(const Certificate& trusted, const Certificate* own) {
    grpc::SslCredentialsOptions ssl;
    ssl.pem_root_certs = trusted.Pem();
    if (own != nullptr) {
      ssl.pem_cert_chain = own->Pem();
      ssl.pem_private_key = own->KeyPem();
    }
    grpc::ChannelArguments arguments;
    arguments.SetSslTargetNameOverride("control.example.org");
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    const auto channel = grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(control->port()),
                                                   grpc::SslCredentials(ssl), arguments);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(20));
    const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel);
    const auto stream = stub->StreamAggregatedResources(&context);
    discovery::DiscoveryRequest request;
    request.set_type_url(std::string(xds::TypeUrl(xds::ResourceType::kCluster)));
    stream->Write(request);
    discovery::DiscoveryResponse response;
    if (stream->Read(&response)) return grpc::StatusCode::OK;
    return stream->Finish().error_code();
  }

  Certificate authority = MakeCertificate("authority");
  Certificate server = MakeCertificate("control.example.org", &authority);
  std::optional<xds::ControlServer> control;
};

TEST(XdsTls, AcceptsOnlySignedCertificatesWithAnAllowedName) {
  TlsService service;
  service.Start({"edge.example.org"});
  const auto edge = MakeCertificate("edge.example.org", &service.authority),
             other = MakeCertificate("other.example.org", &service.authority),
             stranger = MakeCertificate("edge.example.org");
  EXPECT_EQ(service.RequestStatus(service.authority, &edge), grpc::StatusCode::OK);
  EXPECT_EQ(service.RequestStatus(service.authority, &other), grpc::StatusCode::PERMISSION_DENIED);
  EXPECT_EQ(service.RequestStatus(service.authority, nullptr), grpc::StatusCode::UNAVAILABLE);
  EXPECT_EQ(service.RequestStatus(service.authority, &stranger), grpc::StatusCode::UNAVAILABLE);
}

TEST(XdsTls, ReloadsAChangedCertificateWithoutARestart) {
  TlsService service;
  service.Start({});
  const auto edge = MakeCertificate("edge", &service.authority);
  const auto next_authority = MakeCertificate("next authority");
  ASSERT_EQ(service.RequestStatus(service.authority, &edge), grpc::StatusCode::OK);
  EXPECT_EQ(service.RequestStatus(next_authority, &edge), grpc::StatusCode::UNAVAILABLE);
  const auto next = MakeCertificate("control.example.org", &next_authority);
  TlsService::Save("server.key", next.KeyPem());
  TlsService::Save("server.pem", next.Pem());
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  grpc::StatusCode code = grpc::StatusCode::UNKNOWN;
  while (code != grpc::StatusCode::OK && std::chrono::steady_clock::now() < end)
    code = service.RequestStatus(next_authority, &edge);
  EXPECT_EQ(code, grpc::StatusCode::OK);
}

TEST(XdsTls, ErrorNamesTheFileThatCannotBeRead) {
  TlsService service;
  config::ControlTls tls{TlsService::Path("server.pem"), TlsService::Path("none.key"), "", {}};
  try {
    xds::MakeCredentials(tls);
    ADD_FAILURE();
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("none.key: can't be read"), std::string::npos) << error.what();
  }
}

}  // namespace
}  // namespace opalswitch::testing
