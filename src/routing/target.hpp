// What a request is for: its target and its authority, each read in one way only.
//
// Sources: RFC 9112 section 3.2 (the four forms of a request-target, Host), RFC 3986 sections
// 2, 3.2, 3.3, 5.2.4 and 6.2.2 (characters, authority, dot segments, normal form). No I/O, no state.
#ifndef OPALSWITCH_ROUTING_TARGET_HPP_
#define OPALSWITCH_ROUTING_TARGET_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace opalswitch::routing {

struct Authority {
  std::string host;         // lower case, without a last dot; an IPv6 address in brackets, in its short form
  std::optional<int> port;  // 0 to 65535; nothing if none is told
};

enum class Form { kOrigin, kAbsolute, kAuthority, kAsterisk };

struct Target {
  Form form = Form::kOrigin;
  Authority authority;        // of the absolute and the authority form
  std::string path;           // in normal form; "*" in the asterisk form, empty in the authority form
  std::string query;          // with its question mark, as it came; empty if there is none
  bool is_normalized = true;  // the path came in its normal form
};

// Each gives nothing and says in `error`, in one line, what is wrong.
std::optional<Target> ParseTarget(std::string_view method, std::string_view text, std::string& error);
// "host", "host:port" or "[v6]:port"; an empty text is an empty authority. Userinfo is refused, and so are
// percent-coded names: one server would decode them and the next would not.
std::optional<Authority> ParseAuthority(std::string_view text, std::string& error);

// The normal form of an absolute path: unreserved characters decoded, other codes in upper case, repeated
// slashes and dot segments taken out. Normalising twice changes nothing. Refused: characters that RFC 3986
// does not allow, broken codes, coded control characters, and codes that are no UTF-8 (overlong forms among
// them).
std::optional<std::string> NormalizePath(std::string_view path, std::string& error);

// What a host may take a path in normal form for, once it has decoded it itself: with coded slashes and dots
// as real ones, and besides with backslashes as slashes and without parameters (";x"). Those that differ from
// `path`; most paths have none. In normal form, as far as decoding leaves it.
std::vector<std::string> AlternativeReadings(std::string_view path);

}  // namespace opalswitch::routing

#endif  // OPALSWITCH_ROUTING_TARGET_HPP_
