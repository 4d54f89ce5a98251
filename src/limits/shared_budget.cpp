#include "limits/shared_budget.hpp"

#include <algorithm>

namespace opalswitch::limits {

SharedBudget::ParticipantId SharedBudget::AddParticipant(Amount guaranteed, Amount most) {
  const ParticipantId party = next_++;
  participants_[party] = {std::min(guaranteed, most), most, 0, false};
  booked_ += participants_[party].Booked();
  return party;
}

void SharedBudget::RemoveParticipant(ParticipantId party) {
  SetLimits(party, 0, 0);
  const auto found = participants_.find(party);
  if (found == participants_.end()) return;
  found->second.left = true;
  if (found->second.used == 0) participants_.erase(found);
}

void SharedBudget::SetLimits(ParticipantId party, Amount guaranteed, Amount most) {
  const auto found = participants_.find(party);
  if (found == participants_.end()) return;
  Share& share = found->second;
  booked_ -= share.Booked();
  share.guaranteed = std::min(guaranteed, most);
  share.most = most;
  booked_ += share.Booked();
}

bool SharedBudget::TryAcquire(ParticipantId party, Amount amount) {
  const auto found = participants_.find(party);
  if (found == participants_.end()) return false;
  Share& share = found->second;
  if (share.most < share.used || amount > share.most - share.used) return false;
  if (total_ < used_ || amount > total_ - used_) return false;
  const Amount before = share.Booked();
  const Amount after = std::max(share.guaranteed, share.used + amount);
  if (after > before && (total_ < booked_ || after - before > total_ - booked_)) return false;
  share.used += amount;
  used_ += amount;
  booked_ += after - before;
  return true;
}

void SharedBudget::Release(ParticipantId party, Amount amount) {
  const auto found = participants_.find(party);
  if (found == participants_.end()) return;
  Share& share = found->second;
  amount = std::min(amount, share.used);
  booked_ -= share.Booked();
  share.used -= amount;
  used_ -= amount;
  booked_ += share.Booked();
  if (share.left && share.used == 0) participants_.erase(found);
}

SharedBudget::Amount SharedBudget::used(ParticipantId party) const {
  const auto found = participants_.find(party);
  return found == participants_.end() ? 0 : found->second.used;
}

}  // namespace opalswitch::limits
