#include "limits/shared_budget.hpp"

#include <algorithm>

namespace opalswitch::limits {

SharedBudget::Party SharedBudget::Join(Amount guaranteed, Amount most) {
  const Party party = next_++;
  parties_[party] = {std::min(guaranteed, most), most, 0, false};
  booked_ += parties_[party].Booked();
  return party;
}

void SharedBudget::Leave(Party party) {
  Change(party, 0, 0);
  const auto found = parties_.find(party);
  if (found == parties_.end()) return;
  found->second.left = true;
  if (found->second.used == 0) parties_.erase(found);
}

void SharedBudget::Change(Party party, Amount guaranteed, Amount most) {
  const auto found = parties_.find(party);
  if (found == parties_.end()) return;
  Share& share = found->second;
  booked_ -= share.Booked();
  share.guaranteed = std::min(guaranteed, most);
  share.most = most;
  booked_ += share.Booked();
}

bool SharedBudget::Take(Party party, Amount amount) {
  const auto found = parties_.find(party);
  if (found == parties_.end()) return false;
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

void SharedBudget::Give(Party party, Amount amount) {
  const auto found = parties_.find(party);
  if (found == parties_.end()) return;
  Share& share = found->second;
  amount = std::min(amount, share.used);
  booked_ -= share.Booked();
  share.used -= amount;
  used_ -= amount;
  booked_ += share.Booked();
  if (share.left && share.used == 0) parties_.erase(found);
}

SharedBudget::Amount SharedBudget::used(Party party) const {
  const auto found = parties_.find(party);
  return found == parties_.end() ? 0 : found->second.used;
}

}  // namespace opalswitch::limits
