// Requests in the platform's protocol, in which headers (Req-Kind, Req-Owner, Req-Deadline, ...) give the
// class, tenant and deadline of a request.
#ifndef OPALSWITCH_HTTP_PLATFORM_REQUEST_HPP_
#define OPALSWITCH_HTTP_PLATFORM_REQUEST_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/http_types.hpp"
#include "gateway/client_request.hpp"
#include "opalswitch/policy.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

// The effect of requests by class name.
using ClassEffects = std::unordered_map<std::string, Effect>;
ClassEffects ClassEffectsOf(const Settings& settings);

// Validates a request and fills in `request` from its headers. Returns the reply to send if the request
// violates the protocol.
std::optional<LocalReply> ReadPlatformRequest(const ClassEffects& classes, const HttpRequest& head,
                                              const routing::Target& target, ClientRequest& request);

// Parses "480m" (milliseconds) or "480000u" (microseconds). Returns milliseconds, at most ten minutes so that
// timers do not overflow, or nothing if the text is malformed.
std::optional<Millis> ParseDeadline(std::string_view text);

// Parses a client's estimate of a request's work, in microseconds ("12500"). Returns milliseconds, or 0 if
// there is no estimate or it is malformed.
Millis ParseCost(std::string_view text);

constexpr std::size_t kMaxRequestIdLength = 256;  // characters

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_PLATFORM_REQUEST_HPP_
