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
  ParticipantId AddParticipant(Amount guaranteed, Amount max = kUnlimited);
  // Its guarantee ends; what it still holds stays counted until it is given back.
  void RemoveParticipant(ParticipantId id);
  void SetLimits(ParticipantId id, Amount guaranteed, Amount max = kUnlimited);
  void Resize(Amount total) { total_ = total; }

  // False, and nothing taken, if there is no room for all of it.
  bool TryAcquire(ParticipantId id, Amount amount = 1);
  // At most what the party holds.
  void Release(ParticipantId id, Amount amount = 1);

  Amount total() const { return total_; }
  Amount used() const { return used_; }
  Amount used(ParticipantId id) const;
  std::size_t participants() const { return participants_.size(); }

 private:
  struct Participant {
    Amount guaranteed = 0, max = 0, used = 0;
    bool is_removed = false;
    Amount Reserved() const { return used > guaranteed ? used : guaranteed; }
  };
  Amount total_;
  Amount used_ = 0;
  Amount reserved_ = 0;  // the greater of used and guaranteed, summed
  ParticipantId next_id_ = 1;
  std::map<ParticipantId, Participant> participants_;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_
