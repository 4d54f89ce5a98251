// Environment variables of tests that run a program under failing system calls.
#ifndef OPALSWITCH_TESTS_STANDINS_FAULTY_ENVIRONMENT_HPP_
#define OPALSWITCH_TESTS_STANDINS_FAULTY_ENVIRONMENT_HPP_

#include <string>

#include "process.hpp"
#include "standins/test_seed.hpp"

namespace opalswitch::testing {

// Returns the environment of a program whose calls fail at these rates (see faulty_calls.cpp).
inline Process::Variables FaultyCallsVariables(unsigned seed, const std::string& rates) {
  return {{"LD_PRELOAD", FAULTY_CALLS_LIBRARY},
          {"FAULTY_CALLS", "seed=" + std::to_string(seed) + " " + rates},
          {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_FAULTY_ENVIRONMENT_HPP_
