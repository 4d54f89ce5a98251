// The messages that clients, gateway and hosts exchange, and what they have in common.
#ifndef OPALSWITCH_BASE_HTTP_TYPES_HPP_
#define OPALSWITCH_BASE_HTTP_TYPES_HPP_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace opalswitch::gateway {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Beast's own view as the standard's; valid for as long as the message.
inline std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// A Retry-After of whole seconds, rounded up: RFC 9110 10.2.3 knows no parts of them.
inline std::string FormatRetryAfterSeconds(double ms) {
  return std::to_string(static_cast<long>(std::ceil(ms / 1000)));
}

// In answers of the gateway's own, refusals and failures: why, in one word.
constexpr char kCauseHeader[] = "Forkwick-Cause";

constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

// Whether a field concerns one connection alone, and so must not be passed on. Framing is set anew.
inline bool IsHopByHop(boost::beast::http::field name) {
  using boost::beast::http::field;
  switch (name) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_connection:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
    case field::expect: return true;
    default: return false;
  }
}

// RFC 9110 7.6.1: so do the fields that Connection names, but for those that other parts of the message are
// understood by. Nearly all messages have none.
template <typename Message>
std::vector<std::string> NamedByConnection(const Message& message) {
  using boost::beast::iequals;
  std::vector<std::string> names;
  const auto value = message[boost::beast::http::field::connection];
  if (value.empty() || iequals(value, "keep-alive") || iequals(value, "close")) return names;
  for (const auto name : boost::beast::http::token_list(value)) {
    const bool kept = iequals(name, "Host") || iequals(name, "Content-Length") || iequals(name, "Req-Id") ||
                      iequals(name, "Idempotency-Key") || iequals(name, "Srv-Load");
    if (!kept) names.emplace_back(name);
  }
  return names;
}

template <typename Message>
void StripHopByHop(Message& message) {
  using boost::beast::http::field;
  for (const std::string& name : NamedByConnection(message)) message.erase(name);
  for (const field name : {field::connection, field::keep_alive, field::proxy_connection, field::te,
                           field::trailer, field::transfer_encoding, field::upgrade, field::expect}) {
    message.erase(name);
  }
}

// What a head says of where its body ends, beyond what the parser demands: it lets some codings and repeated
// lengths pass, by which two readers of one message may find different ends.
enum class Framing { kNone, kDelimited, kAmbiguous };

template <typename Head>
Framing FramingOf(const Head& head) {
  using boost::beast::http::field;
  const auto lengths = head.count(field::content_length);
  const auto codings = head.count(field::transfer_encoding);
  if (lengths + codings == 0) return Framing::kNone;
  // "5, 5" is a length to some, and none to others.
  for (const char c : head[field::content_length]) {
    if (c < '0' || c > '9') return Framing::kAmbiguous;
  }
  const bool plain = codings == 0 || boost::beast::iequals(head[field::transfer_encoding], "chunked");
  return lengths + codings == 1 && plain ? Framing::kDelimited : Framing::kAmbiguous;
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_HTTP_TYPES_HPP_
