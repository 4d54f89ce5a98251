#include "http/message_rules.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace opalswitch::gateway {
namespace {

namespace http = boost::beast::http;

// RFC 9110 5.5: no control characters but the tab. The parser lets some pass.
bool IsFieldValue(std::string_view value) {
  bool bad = false;  // without a way out in between: the compiler takes many at once
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    bad |= (byte < 0x20 && byte != '\t') || byte == 0x7F;
  }
  return !bad;
}

std::string ToText(const routing::Authority& authority) {
  return authority.host + (authority.port ? ":" + std::to_string(*authority.port) : "");
}

}  // namespace

std::optional<LocalReply> ValidateMessage(const HttpRequest& head, routing::Target& target) {
  const auto bad = [](std::string text) { return LocalReply{http::status::bad_request, std::move(text)}; };
  if (FramingOf(head) == Framing::kAmbiguous) return bad("where the body ends is not clear");
  // RFC 9112 6.1: HTTP/1.0 knows no transfer codings, and a recipient of that version would read on by
  // another rule.
  if (head.version() < 11 && head.count(http::field::transfer_encoding) > 0) {
    return bad("HTTP/1.0 has no transfer coding");
  }
  for (const auto& field : head) {
    if (!IsFieldValue(ToStringView(field.value()))) return bad("a field holds a control character");
  }
  const std::string_view method = ToStringView(head.method_string());
  if (method == "CONNECT" || method == "TRACE") {
    return LocalReply{http::status::not_implemented, std::string(method) + " is not served"};
  }
  const auto hosts = head.count(http::field::host);
  if (hosts > 1) return bad("Host is repeated");
  if (hosts == 0 && head.version() >= 11) return bad("Host is missing");
  std::string error;
  auto read = routing::ParseTarget(method, ToStringView(head.target()), error);
  if (!read) return bad(error);
  const auto host = routing::ParseAuthority(hosts > 0 ? ToStringView(head[http::field::host]) : "", error);
  if (!host) return bad("Host: " + error);
  // RFC 9112 3.2.2: the authority of an absolute target counts, and Host is ignored.
  if (read->form != routing::Form::kAbsolute) read->authority = *host;
  target = std::move(*read);
  return std::nullopt;
}

void NormalizeRequest(HttpRequest& http, const routing::Target& target) {
  if (target.form == routing::Form::kAbsolute || http.count(http::field::host) == 0) {
    http.set(http::field::host, ToText(target.authority));  // HTTP/1.0 needs none, and a host does
  }
  if (target.form == routing::Form::kAbsolute || !target.is_normalized)
    http.target(target.path + target.query);
}

}  // namespace opalswitch::gateway
