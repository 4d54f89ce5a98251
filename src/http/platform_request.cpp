#include "http/platform_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace opalswitch::gateway {
namespace {

namespace http = boost::beast::http;

constexpr Millis kMostAllowed = 600000;

std::string Field(const HttpRequest& http, const char* name) {
  const auto value = http[name];
  return {value.data(), value.size()};
}

}  // namespace

// "480m" or "480000u": milliseconds.
std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const last = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (unit == 0 || error != std::errc() || end != last) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * unit, kMostAllowed);
}

// A guess that can't be read is no fault: it decides nothing that a request would have to be turned away for.
Millis ParseCost(std::string_view text) {
  double value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  const bool good = error == std::errc() && end == last && std::isfinite(value) && value > 0;
  return good ? std::min(value / 1000, kMostAllowed) : 0;
}

ClassEffects PlatformClasses(const Settings& settings) {
  ClassEffects classes;
  for (const ClassSettings& c : settings.classes) classes[c.name] = c.effect;
  return classes;
}

std::optional<LocalReply> ReadPlatformRequest(const ClassEffects& classes, const HttpRequest& http,
                                              const routing::Target& target, ClientRequest& call) {
  const auto fault = [](http::status status, std::string text) {
    return LocalReply{status, std::move(text)};
  };
  if (target.path != "/api" && !target.path.starts_with("/api/")) {
    return fault(http::status::not_found, "no such path");
  }
  // Paths go on unchanged here: one that has a second form could be another path to the host.
  if (!target.is_normalized) return fault(http::status::bad_request, "the path is not in its normal form");
  // Of two fields with one name, this gateway and a host might each believe another.
  for (const char* const name : {"Req-Id", "Req-Kind", "Req-Owner", "Req-Key", "Req-Deadline", "Req-Retry",
                                 "Req-Cost", "Req-Extra", "Idempotency-Key"}) {
    if (http.count(name) > 1) return fault(http::status::bad_request, std::string(name) + " is repeated");
  }
  call.id = Field(http, "Req-Id");
  if (call.id.empty() || call.id.size() > kMaxRequestIdLength) {
    return fault(http::status::bad_request, "Req-Id is missing or too long");
  }
  call.class_name = Field(http, "Req-Kind");
  const auto found = classes.find(call.class_name);
  if (found == classes.end()) return fault(http::status::bad_request, "Req-Kind names no class");
  const auto allowed = ParseDeadline(Field(http, "Req-Deadline"));
  if (!allowed) return fault(http::status::bad_request, "Req-Deadline is missing or malformed");
  call.client_timeout = *allowed;
  // A repeat of a request that is not safe must be possible to tell from its class and method alike.
  if (http.method() != (found->second == Effect::kSafe ? http::verb::get : http::verb::post)) {
    return LocalReply{http::status::method_not_allowed, "the class takes another method", 0, "GET, POST"};
  }
  if (found->second == Effect::kKeyed && http["Idempotency-Key"].empty()) {
    return fault(http::status::bad_request, "Idempotency-Key is missing");
  }
  call.tenant = Field(http, "Req-Owner");
  call.is_retry = http["Req-Retry"] == "1";
  call.key = Field(http, "Req-Key");
  call.cost = ParseCost(Field(http, "Req-Cost"));
  return std::nullopt;
}

}  // namespace opalswitch::gateway
