// The beginning of an operators' file, for tests: a listener, a safe class and an unsafe one.
#ifndef OPALSWITCH_TESTS_SERVICES_TEXT_HPP_
#define OPALSWITCH_TESTS_SERVICES_TEXT_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "config/services.hpp"

namespace opalswitch::testing {

inline const std::string kListenerAndClasses = R"([[listener]]
id = "in"
address = "127.0.0.1:0"
[[class]]
id = "view"
effect = "safe"
aim = "400ms"
deadline = "800ms"
[[class]]
id = "change"
effect = "unsafe"
aim = "1s"
deadline = "5s"
)";

// Routes "/one" and all else.
inline const std::string kRoutesToOneAndTwo = R"([[route]]
prefix = "/one"
pool = "one"
class = "view"
[[route]]
pool = "two"
class = "view"
)";

// A file that must be good.
inline std::shared_ptr<const config::Services> Parsed(const std::string& text) {
  const auto parsed = config::ParseServices(text, "f", "");
  for (const config::Issue& issue : parsed.issues) ADD_FAILURE() << issue.ToString();
  return parsed.services;
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_SERVICES_TEXT_HPP_
