// Parses and normalizes request targets and authorities, and refuses those that two servers could interpret
// differently.
//
// Sources: RFC 9112 section 3.2 (the four forms of a request-target, Host); RFC 3986 sections
// 2, 3.2, 3.3, 5.2.4 and 6.2.2 (characters, authority, dot segments, normalization). No I/O, no state.
//
// On failure each function returns nothing and sets `error` to one line that says what is wrong.
#ifndef OPALSWITCH_ROUTING_TARGET_HPP_
#define OPALSWITCH_ROUTING_TARGET_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace opalswitch::routing {

// A host and port, as in Host or an absolute URI.
struct Authority {
  // In lower case, without a trailing dot; an IPv6 address is in brackets and in its shortest form.
  std::string host;
  std::optional<int> port;  // 0 to 65535; nothing if it is absent or empty
};

// The four forms of a request-target.
enum class Form { kOrigin, kAbsolute, kAuthority, kAsterisk };

struct Target {
  Form form = Form::kOrigin;
  Authority authority;        // in absolute and authority form
  std::string path;           // normalized; "*" in asterisk form, empty in authority form
  std::string query;          // unchanged, with its question mark; empty if there is none
  bool is_normalized = true;  // the path was normalized already
};

// Parses the request-target of a request with this method.
std::optional<Target> ParseTarget(std::string_view method, std::string_view text, std::string& error);
// Parses "host", "host:port" or "[IPv6]:port"; an empty text is an empty authority. Userinfo is refused, and
// so are percent-encoded names, as some servers decode them and others don't.
std::optional<Authority> ParseAuthority(std::string_view text, std::string& error);

// Normalizes an absolute path: decodes unreserved characters, writes other percent-encodings in upper case,
// and removes repeated slashes and dot segments. The result is unchanged if it is normalized again. Refuses
// characters that RFC 3986 does not allow, incomplete percent-encodings, encoded control characters, and
// encodings that are not UTF-8 (overlong forms included).
std::optional<std::string> NormalizePath(std::string_view path, std::string& error);

// Returns the other paths that a host may take a normalized path for if it decodes the path itself: with
// encoded slashes and dots decoded, and also with backslashes read as slashes and parameters (";x") removed,
// before or after decoding. Dot segments and repeated slashes are removed again. Only results that differ
// from `path`; most paths have none. A caller can refuse a path that would be routed differently.
std::vector<std::string> AlternativeReadings(std::string_view path);

}  // namespace opalswitch::routing

#endif  // OPALSWITCH_ROUTING_TARGET_HPP_
