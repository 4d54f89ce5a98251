// Remembers the ids of requests that a host may have run, for some time after they have ended. A client that
// has lost its connection may send such a request again under the same id; it must not run twice. No I/O, no
// clock.
#ifndef OPALSWITCH_LEDGER_EXECUTED_REQUESTS_HPP_
#define OPALSWITCH_LEDGER_EXECUTED_REQUESTS_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

#include "opalswitch/policy.hpp"

namespace opalswitch::ledger {

class ExecutedRequests {
 public:
  static constexpr Millis kRememberedMs = 10000;
  // Bound on the memory: with more requests in that time the oldest are forgotten.
  static constexpr std::size_t kMaxRequests = 16384;

  void Add(std::string id, Millis now);
  bool Contains(std::string_view id, Millis now);
  std::size_t size() const { return requests_.size(); }

 private:
  struct Entry {
    std::string id;
    Millis added_at;
  };
  void RemoveOldest();
  void RemoveExpired(Millis now);

  std::deque<Entry> requests_;                // in the order of added_at
  std::unordered_set<std::string_view> ids_;  // of requests_
};

}  // namespace opalswitch::ledger

#endif  // OPALSWITCH_LEDGER_EXECUTED_REQUESTS_HPP_
