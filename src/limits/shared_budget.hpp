// A budget (descriptors, bytes, places) that several parties share, each with a part that no other can take.
//
// A party may use its guaranteed part at any time, and beyond it what neither others use nor is guaranteed to
// them, up to its own most. No I/O, no clock; one thread.
#ifndef OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_
#define OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_

#include <cstdint>
#include <limits>
#include <map>

namespace opalswitch::limits {

class SharedBudget {
 public:
  using Amount = std::uint64_t;
  using Party = std::uint32_t;
  static constexpr Amount kNoMost = std::numeric_limits<Amount>::max();

  explicit SharedBudget(Amount total) : total_(total) {}

  // Guarantees may add up to more than the total for a while (a pool that drains beside the one that replaces
  // it): what is in use never exceeds the total all the same.
  Party Join(Amount guaranteed, Amount most = kNoMost);
  // Its guarantee ends; what it still holds stays counted until it is given back.
  void Leave(Party party);
  void Change(Party party, Amount guaranteed, Amount most = kNoMost);
  void Resize(Amount total) { total_ = total; }

  // False, and nothing taken, if there is no room for all of it.
  bool Take(Party party, Amount amount = 1);
  // At most what the party holds.
  void Give(Party party, Amount amount = 1);

  Amount total() const { return total_; }
  Amount used() const { return used_; }
  Amount used(Party party) const;
  std::size_t parties() const { return parties_.size(); }

 private:
  struct Share {
    Amount guaranteed = 0, most = 0, used = 0;
    bool left = false;
    Amount Booked() const { return used > guaranteed ? used : guaranteed; }
  };
  Amount total_;
  Amount used_ = 0;
  Amount booked_ = 0;  // the greater of used and guaranteed, summed
  Party next_ = 1;
  std::map<Party, Share> parties_;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_
