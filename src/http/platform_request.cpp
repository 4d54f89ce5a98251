#include "http/platform_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace opalswitch::gateway {
namespace {

namespace http = boost::beast::http;

constexpr Millis kMaxDeadlineMs = 600000;

std::string FieldValue(const HttpRequest& http, const char* name) {
  const auto value = http[name];
  return {value.data(), value.size()};
}

}  // namespace

std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const text_end = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), text_end, value, std::chars_format::fixed);
  if (unit == 0 || error != std::errc() || end != text_end) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * unit, kMaxDeadlineMs);
}

// A malformed estimate is ignored rather than rejected, as no request is refused because of its estimate.
Millis ParseCost(std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value, std::chars_format::fixed);
  const bool is_valid = error == std::errc() && end == text_end && std::isfinite(value) && value > 0;
  return is_valid ? std::min(value / 1000, kMaxDeadlineMs) : 0;
}

ClassEffects ClassEffectsOf(const Settings& settings) {
  ClassEffects classes;
  for (const ClassSettings& class_settings : settings.classes) {
    classes[class_settings.name] = class_settings.effect;
  }
  return classes;
}

std::optional<LocalReply> ReadPlatformRequest(const ClassEffects& classes, const HttpRequest& http,
                                              const routing::Target& target, ClientRequest& request) {
  const auto reply = [](http::status status, std::string text) {
    return LocalReply{status, std::move(text)};
  };
  if (target.path != "/api" && !target.path.starts_with("/api/")) {
    return reply(http::status::not_found, "no such path");
  }
  // Paths are forwarded unchanged in this protocol, and a host might normalize one to a different path.
  if (!target.is_normalized) return reply(http::status::bad_request, "the path is not in its normal form");
  // This gateway and a host might each use a different one of two headers of the same name.
  for (const char* const name : {"Req-Id", "Req-Kind", "Req-Owner", "Req-Key", "Req-Deadline", "Req-Retry",
                                 "Req-Cost", "Req-Extra", "Idempotency-Key"}) {
    if (http.count(name) > 1) return reply(http::status::bad_request, std::string(name) + " is repeated");
  }
  request.id = FieldValue(http, "Req-Id");
  if (request.id.empty() || request.id.size() > kMaxRequestIdLength) {
    return reply(http::status::bad_request, "Req-Id is missing or too long");
  }
  request.class_name = FieldValue(http, "Req-Kind");
  const auto found = classes.find(request.class_name);
  if (found == classes.end()) return reply(http::status::bad_request, "Req-Kind names no class");
  const auto client_timeout = ParseDeadline(FieldValue(http, "Req-Deadline"));
  if (!client_timeout) return reply(http::status::bad_request, "Req-Deadline is missing or malformed");
  request.client_timeout = *client_timeout;
  // Both the class and the method have to show whether a request is safe to repeat.
  if (http.method() != (found->second == Effect::kSafe ? http::verb::get : http::verb::post)) {
    return LocalReply{http::status::method_not_allowed, "the class takes another method", 0, "GET, POST"};
  }
  if (found->second == Effect::kKeyed && http["Idempotency-Key"].empty()) {
    return reply(http::status::bad_request, "Idempotency-Key is missing");
  }
  request.tenant = FieldValue(http, "Req-Owner");
  request.is_retry = http["Req-Retry"] == "1";
  request.key = FieldValue(http, "Req-Key");
  request.cost = ParseCost(FieldValue(http, "Req-Cost"));
  return std::nullopt;
}

}  // namespace opalswitch::gateway
