// TLS of the control service: certificates out of files, read again when they change, and the names of
// proxies.
#ifndef OPALSWITCH_XDS_TLS_HPP_
#define OPALSWITCH_XDS_TLS_HPP_

#include <grpcpp/grpcpp.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>
#include <vector>

#include "config/control.hpp"

namespace opalswitch::xds {

// Throws std::runtime_error, naming the file, if one can't be read or holds nothing to be used. With a client
// authority proxies must show a certificate that it has signed (mutual TLS). The files are looked at once a
// second; a pair that does not fit together is not taken.
std::shared_ptr<grpc::ServerCredentials> MakeCredentials(const config::ControlTls& tls);

// Whether the caller's certificate has one of the names (its subject alternative names, or else its common
// name); any caller if there are none to ask for.
bool IsCallerAllowed(const grpc::CallbackServerContext& context, const std::vector<std::string>& names);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_TLS_HPP_
