#include "ledger/executed_requests.hpp"

#include <utility>

namespace opalswitch::ledger {

void ExecutedRequests::Add(std::string id, Millis now) {
  RemoveExpired(now);
  if (ids_.contains(id)) return;
  if (requests_.size() >= kMaxRequests) RemoveOldest();
  requests_.push_back({std::move(id), now});
  ids_.insert(requests_.back().id);
}

bool ExecutedRequests::Contains(std::string_view id, Millis now) {
  RemoveExpired(now);
  return ids_.contains(id);
}

void ExecutedRequests::RemoveOldest() {
  ids_.erase(requests_.front().id);
  requests_.pop_front();
}

void ExecutedRequests::RemoveExpired(Millis now) {
  while (!requests_.empty() && now - requests_.front().added_at > kRememberedMs) RemoveOldest();
}

}  // namespace opalswitch::ledger
