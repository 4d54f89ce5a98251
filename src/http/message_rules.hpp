// Validation and normalization of clients' HTTP/1.x requests. Requests that this gateway and a host behind it
// might interpret differently are rejected before any routing or admission decision.
//
// See RFC 9112 sections 2.3, 3.2, 5 and 6, and RFC 9110 sections 5.3 and 7.2.
#ifndef OPALSWITCH_HTTP_MESSAGE_RULES_HPP_
#define OPALSWITCH_HTTP_MESSAGE_RULES_HPP_

#include <optional>

#include "base/http_types.hpp"
#include "gateway/client_request.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

// Validates the header of a request and sets `target` to its path and authority: that of an absolute target,
// else that of Host. Returns the reply to send if the request is invalid or ambiguous; `target` is then
// unchanged.
std::optional<LocalReply> ValidateMessage(const HttpRequest& head, routing::Target& target);

// Rewrites the request into the form that is sent to hosts: a target in origin form with a normalized path,
// and the authority of `target` in Host.
void NormalizeRequest(HttpRequest& http, const routing::Target& target);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_MESSAGE_RULES_HPP_
