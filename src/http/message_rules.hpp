// What a client's HTTP/1.1 message must be before anything is decided about it: one meaning for each message,
// the same for this gateway and for every host behind it.
//
// Sources: RFC 9112 sections 2.3, 3.2, 5, 6; RFC 9110 sections 5.3 and 7.2.
#ifndef OPALSWITCH_HTTP_MESSAGE_RULES_HPP_
#define OPALSWITCH_HTTP_MESSAGE_RULES_HPP_

#include <optional>

#include "base/http_types.hpp"
#include "gateway/client_request.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

// Reads the target and the authority: that of an absolute target, else Host's. A message that breaks a rule,
// or that two readers could take for two, gives the answer to it instead.
std::optional<LocalReply> ValidateMessage(const HttpRequest& head, routing::Target& target);

// Puts the message into the one form that goes on: origin form, normal path, and Host as `target` has it.
void NormalizeRequest(HttpRequest& http, const routing::Target& target);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_MESSAGE_RULES_HPP_
