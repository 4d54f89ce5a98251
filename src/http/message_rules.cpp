#include "http/message_rules.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace opalswitch::gateway {
namespace {

namespace http = boost::beast::http;

// RFC 9110 section 5.5: no control characters other than tab. The parser accepts some.
bool IsFieldValue(std::string_view value) {
  bool has_control_character = false;  // no early exit, so that the loop can be vectorized
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    has_control_character |= (byte < 0x20 && byte != '\t') || byte == 0x7F;
  }
  return !has_control_character;
}

std::string FormatAuthority(const routing::Authority& authority) {
  return authority.host + (authority.port ? ":" + std::to_string(*authority.port) : "");
}

}  // namespace

std::optional<LocalReply> ValidateMessage(const HttpRequest& head, routing::Target& target) {
  const auto reject = [](std::string text) { return LocalReply{http::status::bad_request, std::move(text)}; };
  if (FramingOf(head) == Framing::kAmbiguous) return reject("where the body ends is not clear");
  // RFC 9112 section 6.1: HTTP/1.0 has no transfer codings, so an HTTP/1.0 recipient would find another end
  // of the body.
  if (head.version() < 11 && head.count(http::field::transfer_encoding) > 0) {
    return reject("HTTP/1.0 has no transfer coding");
  }
  for (const auto& field : head) {
    if (!IsFieldValue(ToStringView(field.value()))) return reject("a field holds a control character");
  }
  const std::string_view method = ToStringView(head.method_string());
  if (method == "CONNECT" || method == "TRACE") {
    return LocalReply{http::status::not_implemented, std::string(method) + " is not served"};
  }
  const auto hosts = head.count(http::field::host);
  if (hosts > 1) return reject("Host is repeated");
  if (hosts == 0 && head.version() >= 11) return reject("Host is missing");
  std::string error;
  auto parsed_target = routing::ParseTarget(method, ToStringView(head.target()), error);
  if (!parsed_target) return reject(error);
  const auto host = routing::ParseAuthority(hosts > 0 ? ToStringView(head[http::field::host]) : "", error);
  if (!host) return reject("Host: " + error);
  // RFC 9112 section 3.2.2: the authority of an absolute target replaces that of Host.
  if (parsed_target->form != routing::Form::kAbsolute) parsed_target->authority = *host;
  target = std::move(*parsed_target);
  return std::nullopt;
}

void NormalizeRequest(HttpRequest& http, const routing::Target& target) {
  if (target.form == routing::Form::kAbsolute || http.count(http::field::host) == 0) {
    // HTTP/1.0 requests may lack Host, which hosts require.
    http.set(http::field::host, FormatAuthority(target.authority));
  }
  if (target.form == routing::Form::kAbsolute || !target.is_normalized)
    http.target(target.path + target.query);
}

}  // namespace opalswitch::gateway
