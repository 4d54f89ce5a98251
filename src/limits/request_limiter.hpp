// What a pool takes in at all, before its module decides: requests a second, and requests held at once.
//
// Who is turned away here is answered at once and told when to come back. Times are milliseconds on any
// monotonic clock, given by the caller. No I/O; one thread.
#ifndef OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_
#define OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_

#include <cstddef>

#include "opalswitch/policy.hpp"

namespace opalswitch::limits {

struct PoolLimits {
  double requests_per_s = 0;   // 0 = no limit
  double burst = 0;            // requests that may come at once within that rate; 0 = a second's worth
  std::size_t max_active = 0;  // taken and not answered, in flight and queued; 0 = no limit
  bool operator==(const PoolLimits&) const = default;
};

class RequestLimiter {
 public:
  enum class Decision { kAdmitted, kTooManyActive, kRateExceeded };
  struct Admission {
    Decision decision = Decision::kAdmitted;
    Millis retry_after = 0;  // of a refusal
  };

  explicit RequestLimiter(const PoolLimits& limits) : limits_(limits), tokens_(Burst()) {}

  // A request that enters is held until Release.
  Admission TryAdmit(Millis now);
  void Release() { active_ -= active_ > 0 ? 1 : 0; }

  std::size_t active() const { return active_; }

 private:
  double Burst() const;

  PoolLimits limits_;
  double tokens_;
  Millis at_ = 0;
  bool begun_ = false;
  std::size_t active_ = 0;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_
