// The HTTP message types, and the rules that apply to requests and responses alike: size limits, hop-by-hop
// headers and message framing.
#ifndef OPALSWITCH_BASE_HTTP_TYPES_HPP_
#define OPALSWITCH_BASE_HTTP_TYPES_HPP_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace opalswitch::gateway {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Converts Beast's string view to the standard one. Valid for as long as the message.
inline std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// The value of a Retry-After header: seconds, rounded up, as RFC 9110 section 10.2.3 allows no fractions.
inline std::string FormatRetryAfterSeconds(double ms) {
  return std::to_string(static_cast<long>(std::ceil(ms / 1000)));
}

// The header that gives the cause, in one word, in the gateway's own refusals and failures.
constexpr char kCauseHeader[] = "Forkwick-Cause";

// Default limit of a body, and limit of a header, of requests and responses.
constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
// Limit of the number of fields of a message, trailers included. A parsed field takes some ten times the
// memory of a short one's text.
constexpr std::ptrdiff_t kMaxFields = 100;

template <typename Fields>
bool HasTooManyFields(const Fields& fields) {
  return std::distance(fields.begin(), fields.end()) > kMaxFields;
}

// Whether a header applies to a single connection and must not be forwarded (RFC 9110 section 7.6.1).
// Transfer-Encoding is among them: the body is framed again for the next connection.
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

// The headers that Connection names, which are hop-by-hop too (RFC 9110 section 7.6.1), except for those that
// routing, framing, retries and load reports depend on. Nearly all messages have none.
template <typename Message>
std::vector<std::string> NamedByConnection(const Message& message) {
  using boost::beast::iequals;
  std::vector<std::string> names;
  const auto value = message[boost::beast::http::field::connection];
  if (value.empty() || iequals(value, "keep-alive") || iequals(value, "close")) return names;
  for (const auto name : boost::beast::http::token_list(value)) {
    const bool is_essential = iequals(name, "Host") || iequals(name, "Content-Length") ||
                              iequals(name, "Req-Id") || iequals(name, "Idempotency-Key") ||
                              iequals(name, "Srv-Load");
    if (!is_essential) names.emplace_back(name);
  }
  return names;
}

// Removes all hop-by-hop headers.
template <typename Message>
void StripHopByHop(Message& message) {
  using boost::beast::http::field;
  for (const std::string& name : NamedByConnection(message)) message.erase(name);
  for (const field name : {field::connection, field::keep_alive, field::proxy_connection, field::te,
                           field::trailer, field::transfer_encoding, field::upgrade, field::expect}) {
    message.erase(name);
  }
}

// How a header delimits the body. The parser accepts some transfer codings and repeated lengths for which two
// recipients of a message may find different ends of the body; these are kAmbiguous (RFC 9112 section 6.3).
enum class Framing {
  kNone,       // neither Content-Length nor Transfer-Encoding
  kDelimited,  // one valid length, or the coding "chunked"
  kAmbiguous
};

template <typename Head>
Framing FramingOf(const Head& head) {
  using boost::beast::http::field;
  const auto lengths = head.count(field::content_length);
  const auto codings = head.count(field::transfer_encoding);
  if (lengths + codings == 0) return Framing::kNone;
  // Some recipients read "5, 5" as a length, and others reject it.
  for (const char c : head[field::content_length]) {
    if (c < '0' || c > '9') return Framing::kAmbiguous;
  }
  const bool is_chunked_or_absent =
      codings == 0 || boost::beast::iequals(head[field::transfer_encoding], "chunked");
  return lengths + codings == 1 && is_chunked_or_absent ? Framing::kDelimited : Framing::kAmbiguous;
}

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_HTTP_TYPES_HPP_
