#include "routing/target.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace opalswitch::routing {
namespace {

bool IsAlpha(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// The character class of each byte in RFC 3986. A table, as every byte of every target and Host is checked.
enum CharClass : unsigned char { kUnreserved = 1, kSubDelim = 2, kPathOnly = 4 };  // kPathOnly: ":" and "@"
constexpr std::array<unsigned char, 256> MakeCharClasses() {
  std::array<unsigned char, 256> classes{};
  for (int c = 0; c < 256; ++c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    if (letter || c == '-' || c == '.' || c == '_' || c == '~')
      classes[static_cast<std::size_t>(c)] = kUnreserved;
  }
  for (const char c : std::string_view("!$&'()*+,;=")) classes[static_cast<unsigned char>(c)] = kSubDelim;
  classes[':'] = classes['@'] = kPathOnly;
  return classes;
}
constexpr std::array<unsigned char, 256> kCharClasses = MakeCharClasses();
unsigned CharClassOf(char c) { return kCharClasses[static_cast<unsigned char>(c)]; }
bool IsUnreserved(char c) { return CharClassOf(c) == kUnreserved; }
bool IsRegNameChar(char c) { return (CharClassOf(c) & (kUnreserved | kSubDelim)) != 0; }
// pchar of RFC 3986, except percent-encodings.
bool IsPathChar(char c) { return CharClassOf(c) != 0; }

int HexValue(char c) {
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes the percent-encoding at `i`; -1 if there is none or it is incomplete.
int DecodePercentAt(std::string_view text, std::size_t i) {
  if (text[i] != '%' || i + 2 >= text.size()) return -1;
  const int high = HexValue(text[i + 1]), low = HexValue(text[i + 2]);
  return high < 0 || low < 0 ? -1 : high * 16 + low;
}

void AppendPercentEncoded(std::string& out, unsigned char byte) {
  constexpr char kHex[] = "0123456789ABCDEF";
  out += '%';
  out += kHex[byte >> 4];
  out += kHex[byte & 15];
}

// A character for an error text; the code of its byte if it can't be printed.
std::string FormatChar(char c) {
  if (c >= ' ' && c <= '~') return std::string("'") + c + "'";
  std::string code = "byte ";
  AppendPercentEncoded(code, static_cast<unsigned char>(c));
  return code;
}

// RFC 3629: no overlong forms, no surrogates, nothing above U+10FFFF.
bool IsUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t length = lead < 0x80   ? 1
                               : lead < 0xC2 ? 0
                               : lead < 0xE0 ? 2
                               : lead < 0xF0 ? 3
                               : lead < 0xF5 ? 4
                                             : 0;
    if (length == 0 || i + length > text.size()) return false;
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      const unsigned char min = k > 1 ? 0x80 : lead == 0xE0 ? 0xA0 : lead == 0xF0 ? 0x90 : 0x80;
      const unsigned char max = k > 1 ? 0xBF : lead == 0xED ? 0x9F : lead == 0xF4 ? 0x8F : 0xBF;
      if (next < min || next > max) return false;
    }
    i += length;
  }
  return true;
}

// Decodes all complete percent-encodings, and leaves others as they are.
std::string PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const int code = DecodePercentAt(text, i);
    out += code < 0 ? text[i] : static_cast<char>(code);
    if (code >= 0) i += 2;
  }
  return out;
}

// Removes repeated slashes and dot segments (RFC 3986 section 5.2.4). Keeps a trailing slash, and leaves one
// for a trailing dot segment.
std::string RemoveDotSegments(std::string_view path) {
  std::string out;
  out.reserve(path.size());
  std::size_t at = 0;
  bool ends_in_slash = false;
  while (at < path.size()) {
    const std::size_t begin = at + 1;  // path[at] is a slash
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string_view segment = path.substr(begin, end - begin);
    ends_in_slash = segment.empty() || segment == "." || segment == "..";
    if (segment == "..") {
      out.erase(std::min(out.rfind('/'), out.size()));
    } else if (!ends_in_slash) {
      out += '/';
      out += segment;
    }
    at = end;
  }
  if (out.empty() || ends_in_slash) out += '/';
  return out;
}

// RFC 3986 section 3.4.
bool ValidateQuery(std::string_view query, std::string& error) {
  for (std::size_t i = 0; i < query.size(); ++i) {
    const char c = query[i];
    if (c == '%') {
      if (DecodePercentAt(query, i) < 0)
        return error = "a percent sign in the query is not followed by two hex digits", false;
      i += 2;
    } else if (!IsPathChar(c) && c != '/' && c != '?') {
      return error = FormatChar(c) + " does not belong in a query", false;
    }
  }
  return true;
}

// Sets the target's path and query from origin form ("/path?query").
bool ParsePathAndQuery(std::string_view text, Target& target, std::string& error) {
  const std::size_t query_begin = std::min(text.find('?'), text.size());
  target.query = text.substr(query_begin);
  if (!target.query.empty() && !ValidateQuery(text.substr(query_begin + 1), error)) return false;
  const std::string_view path = text.substr(0, query_begin);
  auto normal = NormalizePath(path, error);
  if (!normal) return false;
  target.is_normalized = *normal == path;
  target.path = std::move(*normal);
  return true;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return (IsAlpha(x) ? x | 0x20 : x) == (IsAlpha(y) ? y | 0x20 : y);
  });
}

}  // namespace

std::optional<std::string> NormalizePath(std::string_view path, std::string& error) {
  if (path.empty() || path[0] != '/') return error = "a path begins with a slash", std::nullopt;
  // Fast path: nearly all paths are normalized already.
  bool is_plainly_normal = true;
  for (std::size_t i = 0; i < path.size() && is_plainly_normal; ++i) {
    const char c = path[i];
    is_plainly_normal =
        c == '/' ? i + 1 == path.size() || (path[i + 1] != '/' && path[i + 1] != '.') : IsPathChar(c);
  }
  if (is_plainly_normal) return std::string(path);
  std::string normalized;
  normalized.reserve(path.size());
  bool has_percent_codes = false, has_dots_or_slashes = false;
  for (std::size_t i = 0; i < path.size(); ++i) {
    const char c = path[i];
    if (c != '%') {
      if (!IsPathChar(c) && c != '/')
        return error = FormatChar(c) + " does not belong in a path", std::nullopt;
      has_dots_or_slashes = has_dots_or_slashes || ((c == '.' || c == '/') && i > 0 && path[i - 1] == '/');
      normalized += c;
      continue;
    }
    const int code = DecodePercentAt(path, i);
    if (code < 0) return error = "a percent sign in the path is not followed by two hex digits", std::nullopt;
    if (code < 0x20 || code == 0x7F) return error = "the path holds a coded control character", std::nullopt;
    has_percent_codes = true;
    if (IsUnreserved(static_cast<char>(code))) {
      normalized += static_cast<char>(code);
    } else {
      AppendPercentEncoded(normalized, static_cast<unsigned char>(code));
    }
    i += 2;
  }
  if (has_percent_codes && !IsUtf8(PercentDecode(path)))
    return error = "the path's percent codes are no UTF-8", std::nullopt;
  return has_percent_codes || has_dots_or_slashes ? RemoveDotSegments(normalized) : std::move(normalized);
}

std::vector<std::string> AlternativeReadings(std::string_view path) {
  std::vector<std::string> readings;
  if (path.find_first_of("%;") == std::string_view::npos) return readings;
  const auto add = [&](std::string decoded) {
    std::string normalized;
    for (const char c : decoded) {
      if (IsPathChar(c) || c == '/') {
        normalized += c;
      } else {
        AppendPercentEncoded(normalized, static_cast<unsigned char>(c));
      }
    }
    std::string reading = RemoveDotSegments(normalized);
    if (reading != path && std::find(readings.begin(), readings.end(), reading) == readings.end()) {
      readings.push_back(std::move(reading));
    }
  };
  std::string decoded = PercentDecode(path);
  add(decoded);
  std::replace(decoded.begin(), decoded.end(), '\\', '/');
  std::string without_parameters;
  bool in_parameter = false;
  for (const char c : decoded) {
    in_parameter = c != '/' && (in_parameter || c == ';');
    if (!in_parameter) without_parameters += c;
  }
  add(without_parameters);
  // Some servers remove parameters before they decode.
  std::string decoded_last;
  in_parameter = false;
  for (const char c : path) {
    in_parameter = c != '/' && (in_parameter || c == ';');
    if (!in_parameter) decoded_last += c;
  }
  decoded_last = PercentDecode(decoded_last);
  std::replace(decoded_last.begin(), decoded_last.end(), '\\', '/');
  add(decoded_last);
  return readings;
}

std::optional<Authority> ParseAuthority(std::string_view text, std::string& error) {
  Authority authority;
  if (text.empty()) return authority;
  if (text.find('@') != std::string_view::npos)
    return error = "an authority holds no user here", std::nullopt;
  std::size_t end = 0;
  if (text[0] == '[') {
    end = text.find(']');
    if (end == std::string_view::npos) return error = "an address in brackets has no end", std::nullopt;
    const std::string inner(text.substr(1, end - 1));
    in6_addr address{};
    char buffer[INET6_ADDRSTRLEN];
    if (inet_pton(AF_INET6, inner.c_str(), &address) != 1 ||
        inner.size() != std::char_traits<char>::length(inner.c_str())) {
      return error = "what stands in brackets is no IPv6 address", std::nullopt;
    }
    authority.host = std::string("[") + inet_ntop(AF_INET6, &address, buffer, sizeof buffer) + "]";
    ++end;
  } else {
    end = std::min(text.find(':'), text.size());
    for (const char c : text.substr(0, end)) {
      if (!IsRegNameChar(c)) return error = FormatChar(c) + " does not belong in a host's name", std::nullopt;
      authority.host += IsAlpha(c) ? static_cast<char>(c | 0x20) : c;
    }
    if (authority.host.size() > 1 && authority.host.back() == '.') authority.host.pop_back();
    if (authority.host.empty()) return error = "a port needs a host before it", std::nullopt;
    if (authority.host.size() > 255)
      return error = "a host's name holds 255 characters at most", std::nullopt;
  }
  if (end == text.size()) return authority;
  if (text[end] != ':') return error = "after a host only a port may follow", std::nullopt;
  const std::string_view digits = text.substr(end + 1);
  if (digits.empty()) return authority;  // RFC 3986 section 3.2.3: a port may be empty
  int port = 0;
  const auto [last, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failed != std::errc() || last != digits.data() + digits.size() || !IsDigit(digits[0]) || port > 65535) {
    return error = "a port is a number up to 65535", std::nullopt;
  }
  authority.port = port;
  return authority;
}

std::optional<Target> ParseTarget(std::string_view method, std::string_view text, std::string& error) {
  Target target;
  if (method == "CONNECT") {
    target.form = Form::kAuthority;
    auto authority = ParseAuthority(text, error);
    if (!authority) return std::nullopt;
    if (!authority->port || authority->host.empty())
      return error = "CONNECT takes a host and a port", std::nullopt;
    target.authority = *authority;
    return target;
  }
  if (text == "*") {
    if (method != "OPTIONS") return error = "only OPTIONS may be for \"*\"", std::nullopt;
    target.form = Form::kAsterisk;
    target.path = "*";
    return target;
  }
  if (text.empty()) return error = "the request-target is empty", std::nullopt;
  if (text[0] == '/') {
    if (!ParsePathAndQuery(text, target, error)) return std::nullopt;
    return target;
  }
  const std::size_t colon = text.find("://");
  const bool is_http = colon != std::string_view::npos && EqualsIgnoreCase(text.substr(0, colon), "http");
  if (!is_http) return error = "the request-target is neither a path nor an http URI", std::nullopt;
  target.form = Form::kAbsolute;
  const std::string_view rest = text.substr(colon + 3);
  const std::size_t end = std::min(rest.find_first_of("/?#"), rest.size());
  auto authority = ParseAuthority(rest.substr(0, end), error);
  if (!authority) return std::nullopt;
  if (authority->host.empty())
    return error = "an http URI names a host", std::nullopt;  // RFC 9110 section 4.2.1
  target.authority = *authority;
  const std::string_view path = rest.substr(end);
  if (!ParsePathAndQuery(path.empty() || path[0] != '/' ? "/" + std::string(path) : std::string(path), target,
                         error)) {
    return std::nullopt;
  }
  return target;
}

}  // namespace opalswitch::routing
