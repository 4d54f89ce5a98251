// Counts the outcomes of a pool's requests by class and cause, and formats them as log lines, from which
// tools/loss_budget adds up the losses of a day. No I/O, no clock.
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

// How a request ended for its client: answered within the class's aim or later, refused, failed, or the
// client disconnected before the response.
enum class RequestOutcome { kInTime, kLate, kRefused, kFailed, kGone };

class LossRecorder {
 public:
  // Minimum interval between two log lines of a class. Nothing is logged while nothing is lost.
  static constexpr Millis kLogIntervalMs = 1000;

  explicit LossRecorder(const std::vector<ClassSettings>& classes);

  // Records a request that ended `elapsed` ms after it was received. `cause` is its Forkwick-Cause; used only
  // for refused and failed requests.
  void RecordRequest(const std::string& class_name, RequestOutcome outcome, std::string_view cause,
                     Millis elapsed);
  // Records an attempt that ended without a served response. `spent` (ms) is the upper bound of the server
  // time that it took.
  void RecordWastedAttempt(const std::string& class_name, Result result, Millis spent);
  // Records an attempt after a request's first one.
  void RecordRetry(const std::string& class_name);

  // Returns and resets the counts since the last lines, one line a class, if kLogIntervalMs has passed and
  // something was lost; otherwise nothing:
  //   losses class=view at=17.0 worth=5 ended=41 in_time=30 late=3 refused.rate=6 failed.ran=1 gone=1
  //   wasted.reset=2 wasted_ms=80
  // `at` is `now` in seconds; waited_ms is the total time of refused and failed requests, wasted_ms that of
  // wasted attempts.
  std::vector<std::string> TakeLogLines(Millis now);

 private:
  struct ClassCounts {
    double worth = 0;
    std::uint64_t ended = 0, in_time = 0, late = 0, gone = 0;
    Millis waited = 0, wasted = 0;
    std::map<std::string, std::uint64_t> causes;  // by key, such as "refused.rate" or "retried"; a closed set
  };

  // Configured classes only: clients choose the names, so counting others would use unbounded memory.
  std::unordered_map<std::string, ClassCounts> counts_by_class_;
  std::vector<std::string> class_names_;  // in the order of the settings
  Millis lines_taken_at_ = 0;
  bool has_losses_ = false;
};

// Returns the name of an outcome as used in log lines.
const char* OutcomeName(RequestOutcome outcome);
// Returns the name of a result as used in log lines.
const char* ResultName(Result result);

}  // namespace opalswitch::ledger

#endif  // OPALSWITCH_LEDGER_LOSSES_HPP_
