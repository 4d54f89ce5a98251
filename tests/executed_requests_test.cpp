// Tests of the memory of requests that may have run, without I/O.
#include "ledger/executed_requests.hpp"

#include <gtest/gtest.h>

#include <string>

namespace opalswitch::testing {
namespace {

using ledger::ExecutedRequests;

// Guards unsafe requests that come again against being forgotten too soon, and memory against ids without
// end.
TEST(ExecutedRequests, RemembersEachIdForItsTimeAndABoundedNumberOfThem) {
  ExecutedRequests requests;
  requests.Add("a", 1000);
  requests.Add("a", 2000);
  EXPECT_EQ(requests.size(), 1u);
  EXPECT_TRUE(requests.Contains("a", 1000 + ExecutedRequests::kRememberedMs));
  EXPECT_FALSE(requests.Contains("a", 1001 + ExecutedRequests::kRememberedMs));
  EXPECT_EQ(requests.size(), 0u);
  const std::string long_suffix(200, 'x');
  for (std::size_t i = 0; i < 3 * ExecutedRequests::kMaxRequests; ++i)
    requests.Add(std::to_string(i) + long_suffix, 20000);
  EXPECT_EQ(requests.size(), ExecutedRequests::kMaxRequests);
  EXPECT_FALSE(requests.Contains("0" + long_suffix, 20000));
  EXPECT_TRUE(requests.Contains(std::to_string(3 * ExecutedRequests::kMaxRequests - 1) + long_suffix, 20000));
}

}  // namespace
}  // namespace opalswitch::testing
