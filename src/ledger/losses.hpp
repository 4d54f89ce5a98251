// What a pool's requests came to, by class and cause, told as log lines: from these a day's losses can be
// added up by second (tools/loss_budget). Pure: no I/O, no clock.
#ifndef OPALSWITCH_LEDGER_LOSSES_HPP_
#define OPALSWITCH_LEDGER_LOSSES_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::ledger {

// How a request ended for its client.
enum class RequestOutcome { kInTime, kLate, kRefused, kFailed, kGone };

class LossRecorder {
 public:
  // Every so many ms at the most a class has a line; none where nothing was lost.
  static constexpr Millis kLineEvery = 1000;

  explicit LossRecorder(const std::vector<ClassSettings>& classes);

  // One request has ended, `took` ms after it came. `cause` is one word; empty for what was served.
  void RecordRequest(const std::string& class_name, RequestOutcome fate, std::string_view cause, Millis took);
  // An attempt ended without serving anybody; `spent` ms of a server's time at the most.
  void RecordWastedAttempt(const std::string& class_name, Result result, Millis spent);

  // The lines of what ended since the last ones, if it is time and something was lost:
  //   losses class=view at=17.0 worth=5 ended=41 in_time=30 late=3 refused.rate=6 failed.ran=1 gone=1
  //   wasted.reset=2 wasted_ms=80
  // `at` is `now` in seconds; waited_ms is the sum over what was refused or failed, wasted_ms that of
  // attempts.
  std::vector<std::string> TakeLogLines(Millis now);

 private:
  struct Account {
    double worth = 0;
    std::uint64_t ended = 0, in_time = 0, late = 0, gone = 0;
    Millis waited = 0, wasted = 0;
    std::map<std::string, std::uint64_t> causes;  // by "refused.rate" and the like: words of a closed list
  };

  std::unordered_map<std::string, Account>
      accounts_;                    // of classes alone: what names none is in one of its own
  std::vector<std::string> names_;  // in the settings' order
  Millis told_at_ = 0;
  bool lost_ = false;
};

// The word for how an attempt ended.
const char* ResultName(Result result);

}  // namespace opalswitch::ledger

#endif  // OPALSWITCH_LEDGER_LOSSES_HPP_
