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
  using ParticipantId = std::uint32_t;
  static constexpr Amount kUnlimited = std::numeric_limits<Amount>::max();

  explicit SharedBudget(Amount total) : total_(total) {}

  // Guarantees may add up to more than the total for a while (a pool that drains beside the one that replaces
  // it): what is in use never exceeds the total all the same.
  ParticipantId AddParticipant(Amount guaranteed, Amount most = kUnlimited);
  // Its guarantee ends; what it still holds stays counted until it is given back.
  void RemoveParticipant(ParticipantId party);
  void SetLimits(ParticipantId party, Amount guaranteed, Amount most = kUnlimited);
  void Resize(Amount total) { total_ = total; }

  // False, and nothing taken, if there is no room for all of it.
  bool TryAcquire(ParticipantId party, Amount amount = 1);
  // At most what the party holds.
  void Release(ParticipantId party, Amount amount = 1);

  Amount total() const { return total_; }
  Amount used() const { return used_; }
  Amount used(ParticipantId party) const;
  std::size_t participants() const { return participants_.size(); }

 private:
  struct Share {
    Amount guaranteed = 0, most = 0, used = 0;
    bool left = false;
    Amount Booked() const { return used > guaranteed ? used : guaranteed; }
  };
  Amount total_;
  Amount used_ = 0;
  Amount booked_ = 0;  // the greater of used and guaranteed, summed
  ParticipantId next_ = 1;
  std::map<ParticipantId, Share> participants_;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_
