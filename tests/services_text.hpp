// Building blocks of operators' files for tests: a listener, a safe and an unsafe class, and routes.
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

// Routes "/one" to pool "one", everything else to pool "two".
inline const std::string kRoutesToOneAndTwo = R"([[route]]
prefix = "/one"
pool = "one"
class = "view"
[[route]]
pool = "two"
class = "view"
)";

// Parses a file that must be valid; each issue fails the test.
inline std::shared_ptr<const config::Services> Parsed(const std::string& text) {
  const auto parsed = config::ParseServices(text, "f", "");
  for (const config::Issue& issue : parsed.issues) ADD_FAILURE() << issue.ToString();
  return parsed.services;
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_SERVICES_TEXT_HPP_
