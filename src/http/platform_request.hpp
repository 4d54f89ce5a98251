// A client's request as the platform's protocol words it: its fields say what class, tenant and deadline it
// has.
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

using ClassEffects = std::unordered_map<std::string, Effect>;
ClassEffects PlatformClasses(const Settings& settings);

// Fills in the call, or gives the answer to a request that breaks the protocol.
std::optional<LocalReply> ReadPlatformRequest(const ClassEffects& classes, const HttpRequest& head,
                                              const routing::Target& target, ClientRequest& call);

// "480m" or "480000u": milliseconds. Longer ones are cut to ten minutes: timers must not overflow.
std::optional<Millis> ParseDeadline(std::string_view text);

// "12500", in microseconds, as milliseconds; 0 = no guess, or one that can't be read.
Millis ParseCost(std::string_view text);

constexpr std::size_t kMaxRequestIdLength = 256;  // characters of a request's id

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_HTTP_PLATFORM_REQUEST_HPP_
