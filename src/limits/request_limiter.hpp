// Limits the requests that a pool accepts before its decision module sees them: requests a second (token
// bucket) and requests active at once. Rejected requests are answered immediately, with advice when to retry.
//
// Times are milliseconds on any monotonic clock, given by the caller. No I/O; not thread-safe.
#ifndef OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_
#define OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_

#include <cstddef>

#include "opalswitch/policy.hpp"

namespace opalswitch::limits {

// Limits of one pool.
struct PoolLimits {
  double requests_per_s = 0;   // 0 = no limit
  double burst = 0;            // size of the token bucket; 0 = one second's worth, at least 1
  std::size_t max_active = 0;  // admitted and unanswered, in flight or queued; 0 = no limit
  bool operator==(const PoolLimits&) const = default;
};

class RequestLimiter {
 public:
  enum class Decision { kAdmitted, kTooManyActive, kRateExceeded };
  struct Admission {
    Decision decision = Decision::kAdmitted;
    Millis retry_after = 0;  // advice for the client if the request is refused
  };

  explicit RequestLimiter(const PoolLimits& limits) : limits_(limits), tokens_(MaxTokens()) {}

  // Decides on a request at time `now`. An admitted request counts as active until Release is called for it.
  Admission TryAdmit(Millis now);
  // Ends an active request.
  void Release() { active_ -= active_ > 0 ? 1 : 0; }

  std::size_t active() const { return active_; }

 private:
  double MaxTokens() const;

  PoolLimits limits_;
  double tokens_;
  Millis refilled_at_ = 0;
  bool has_refilled_ = false;
  std::size_t active_ = 0;
};

}  // namespace opalswitch::limits

#endif  // OPALSWITCH_LIMITS_REQUEST_LIMITER_HPP_
