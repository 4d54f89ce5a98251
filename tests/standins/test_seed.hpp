// Seeds and numbers of runs that a test reads from its environment.
#ifndef OPALSWITCH_TESTS_STANDINS_TEST_SEED_HPP_
#define OPALSWITCH_TESTS_STANDINS_TEST_SEED_HPP_

#include <cstdlib>

namespace opalswitch::testing {

// Returns the number in an environment variable of the test, or `otherwise` if it is not set.
inline unsigned EnvironmentNumber(const char* name, unsigned otherwise) {
  const char* const text = std::getenv(name);
  return text != nullptr ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : otherwise;
}

// Returns FORKWICK_TEST_SEED, which replays a run with other delays and faults.
inline unsigned TestSeed() { return EnvironmentNumber("FORKWICK_TEST_SEED", 1); }

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_TEST_SEED_HPP_
