#include "ledger/losses.hpp"

#include <cmath>
#include <cstdio>
#include <utility>

namespace opalswitch::ledger {

const char* ResultName(Result result) {
  switch (result) {
    case Result::kServed: return "served";
    case Result::kError: return "error";
    case Result::kRejected: return "rejected";
    case Result::kTimedOut: return "timeout";
    case Result::kConnectFailed: return "connect";
    case Result::kReset: return "reset";
    case Result::kCancelled: return "cancelled";
    case Result::kNotSent: return "unsent";
  }
  return "unknown";
}

LossRecorder::LossRecorder(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes) {
    names_.push_back(c.name);
    accounts_[c.name].worth = c.worth;
  }
}

void LossRecorder::RecordRequest(const std::string& class_name, RequestOutcome fate, std::string_view cause,
                                 Millis took) {
  const auto found = accounts_.find(class_name);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  ++account.ended;
  if (fate == RequestOutcome::kInTime) {
    ++account.in_time;
    return;
  }
  lost_ = true;
  if (fate == RequestOutcome::kLate) ++account.late;
  if (fate == RequestOutcome::kGone) ++account.gone;
  if (fate == RequestOutcome::kRefused || fate == RequestOutcome::kFailed) {
    ++account.causes[(fate == RequestOutcome::kRefused ? "refused." : "failed.") + std::string(cause)];
    account.waited += took;
  }
}

void LossRecorder::RecordWastedAttempt(const std::string& class_name, Result result, Millis spent) {
  const auto found = accounts_.find(class_name);
  if (found == accounts_.end()) return;
  lost_ = true;
  ++found->second.causes[std::string("wasted.") + ResultName(result)];
  found->second.wasted += spent;
}

std::vector<std::string> LossRecorder::TakeLogLines(Millis now) {
  if (now < told_at_ + kLineEvery) return {};
  told_at_ = now;
  std::vector<std::string> lines;
  if (!std::exchange(lost_, false)) return lines;  // what was served meanwhile counts in the next line
  for (const std::string& name : names_) {
    Account& account = accounts_[name];
    const Account was = std::exchange(account, Account{account.worth, 0, 0, 0, 0, 0, 0, {}});
    if (was.ended == 0 && was.causes.empty()) continue;
    char text[256];
    std::snprintf(text, sizeof text, " at=%.1f worth=%g ended=%llu in_time=%llu", now / 1000, was.worth,
                  static_cast<unsigned long long>(was.ended), static_cast<unsigned long long>(was.in_time));
    std::string line = "losses class=" + name + text;
    if (was.late > 0) line += " late=" + std::to_string(was.late);
    for (const auto& [cause, count] : was.causes) line += " " + cause + "=" + std::to_string(count);
    if (was.gone > 0) line += " gone=" + std::to_string(was.gone);
    if (was.waited >= 1) line += " waited_ms=" + std::to_string(std::lround(was.waited));
    if (was.wasted >= 1) line += " wasted_ms=" + std::to_string(std::lround(was.wasted));
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace opalswitch::ledger
