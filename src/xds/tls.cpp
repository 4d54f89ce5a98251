#include "xds/tls.hpp"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

#include <algorithm>
#include <stdexcept>

#include "base/file_watcher.hpp"

namespace opalswitch::xds {
namespace {

constexpr unsigned kFileCheckIntervalSeconds = 1;
constexpr std::size_t kMaxFileBytes = 1 << 20;

// Throws std::runtime_error if the file does not contain `marker`.
void RequirePem(const std::string& path, const char* marker) {
  std::string text;
  if (!gateway::ReadFile(path, kMaxFileBytes, text))
    throw std::runtime_error(path + ": can't be read, or is larger than 1 MiB");
  if (text.find(marker) == std::string::npos)
    throw std::runtime_error(path + ": holds no \"" + marker + "\", expected PEM");
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> MakeCredentials(const config::ControlTls& tls) {
  RequirePem(tls.certificate, "-----BEGIN CERTIFICATE-----");
  RequirePem(tls.key, "PRIVATE KEY-----");
  if (!tls.client_authority.empty()) RequirePem(tls.client_authority, "-----BEGIN CERTIFICATE-----");
  const auto provider = std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
      tls.key, tls.certificate, tls.client_authority, kFileCheckIntervalSeconds);
  grpc::experimental::TlsServerCredentialsOptions options(provider);
  options.watch_identity_key_cert_pairs();
  if (!tls.client_authority.empty()) {
    options.watch_root_certs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  }
  return grpc::experimental::TlsServerCredentials(options);
}

bool IsCallerAllowed(const grpc::CallbackServerContext& context, const std::vector<std::string>& names) {
  if (names.empty()) return true;
  const auto caller = context.auth_context();
  if (!caller || !caller->IsPeerAuthenticated()) return false;
  auto caller_names = caller->FindPropertyValues("x509_subject_alternative_name");
  if (caller_names.empty()) caller_names = caller->FindPropertyValues("x509_common_name");
  return std::any_of(caller_names.begin(), caller_names.end(), [&](const grpc::string_ref& name) {
    return std::find(names.begin(), names.end(), std::string(name.data(), name.size())) != names.end();
  });
}

}  // namespace opalswitch::xds
