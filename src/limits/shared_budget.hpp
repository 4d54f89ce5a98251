// A budget (descriptors, client connections, bytes) shared by several participants, each with a guaranteed
// minimum.
//
// A participant can always use its guarantee. Beyond it, it can use what others neither use nor are
// guaranteed, up to its own maximum. No I/O, no clock; not thread-safe.
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

  // Adds a participant. The guarantees may exceed the total for a while (a draining pool beside its
  // replacement); the amount in use never does.
  ParticipantId AddParticipant(Amount guaranteed, Amount max = kUnlimited);
  // Ends the participant's guarantee. What it still uses counts until it is released.
  void RemoveParticipant(ParticipantId id);
  // Changes the guarantee and the maximum. What is in use stays, even above the new maximum.
  void SetLimits(ParticipantId id, Amount guaranteed, Amount max = kUnlimited);
  // Changes the total. What is in use stays, even above the new total.
  void Resize(Amount total) { total_ = total; }

  // Acquires `amount` or nothing; returns false if not all of it is available.
  bool TryAcquire(ParticipantId id, Amount amount = 1);
  // Releases `amount`, at most what the participant uses.
  void Release(ParticipantId id, Amount amount = 1);

  Amount total() const { return total_; }
  Amount used() const { return used_; }
  Amount used(ParticipantId id) const;
  std::size_t participants() const { return participants_.size(); }

 private:
  struct Participant {
    Amount guaranteed = 0, max = 0, used = 0;
    bool is_removed = false;
    // What others can't use: the larger of `used` and `guaranteed`.
    Amount Reserved() const { return used > guaranteed ? used : guaranteed; }
  };
  Amount total_;
  Amount used_ = 0;
  Amount reserved_ = 0;  // sum of Reserved() over all participants
  ParticipantId next_id_ = 1;
  std::map<ParticipantId, Participant> participants_;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_SHARED_BUDGET_HPP_
