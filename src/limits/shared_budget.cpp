#include "limits/shared_budget.hpp"

#include <algorithm>

namespace opalswitch::limits {

SharedBudget::ParticipantId SharedBudget::AddParticipant(Amount guaranteed, Amount max) {
  const ParticipantId id = next_id_++;
  participants_[id] = {std::min(guaranteed, max), max, 0, false};
  reserved_ += participants_[id].Reserved();
  return id;
}

void SharedBudget::RemoveParticipant(ParticipantId id) {
  SetLimits(id, 0, 0);
  const auto found = participants_.find(id);
  if (found == participants_.end()) return;
  found->second.is_removed = true;
  if (found->second.used == 0) participants_.erase(found);
}

void SharedBudget::SetLimits(ParticipantId id, Amount guaranteed, Amount max) {
  const auto found = participants_.find(id);
  if (found == participants_.end()) return;
  Participant& participant = found->second;
  reserved_ -= participant.Reserved();
  participant.guaranteed = std::min(guaranteed, max);
  participant.max = max;
  reserved_ += participant.Reserved();
}

bool SharedBudget::TryAcquire(ParticipantId id, Amount amount) {
  const auto found = participants_.find(id);
  if (found == participants_.end()) return false;
  Participant& participant = found->second;
  if (participant.max < participant.used || amount > participant.max - participant.used) return false;
  if (total_ < used_ || amount > total_ - used_) return false;
  const Amount before = participant.Reserved();
  const Amount after = std::max(participant.guaranteed, participant.used + amount);
  if (after > before && (total_ < reserved_ || after - before > total_ - reserved_)) return false;
  participant.used += amount;
  used_ += amount;
  reserved_ += after - before;
  return true;
}

void SharedBudget::Release(ParticipantId id, Amount amount) {
  const auto found = participants_.find(id);
  if (found == participants_.end()) return;
  Participant& participant = found->second;
  amount = std::min(amount, participant.used);
  reserved_ -= participant.Reserved();
  participant.used -= amount;
  used_ -= amount;
  reserved_ += participant.Reserved();
  if (participant.is_removed && participant.used == 0) participants_.erase(found);
}

SharedBudget::Amount SharedBudget::used(ParticipantId id) const {
  const auto found = participants_.find(id);
  return found == participants_.end() ? 0 : found->second.used;
}

}  // namespace opalswitch::limits
