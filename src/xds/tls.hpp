// TLS of the control service: server credentials from files, which are reloaded when they change, and checks
// of proxies' certificate names.
#ifndef OPALSWITCH_XDS_TLS_HPP_
#define OPALSWITCH_XDS_TLS_HPP_

#include <grpcpp/grpcpp.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>
#include <vector>

#include "config/control.hpp"

namespace opalswitch::xds {

// Throws std::runtime_error, with the file's name, if a file can't be read or has no PEM block of the
// expected kind. With a client authority, proxies must present a certificate signed by it (mutual TLS).
// The files are checked for changes once a second; a key that does not match its certificate is not used.
std::shared_ptr<grpc::ServerCredentials> MakeCredentials(const config::ControlTls& tls);

// Whether the caller's certificate has one of `names` as a subject alternative name or, if it has none of
// these, as its common name. With no names, every caller is allowed.
bool IsCallerAllowed(const grpc::CallbackServerContext& context, const std::vector<std::string>& names);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_TLS_HPP_
