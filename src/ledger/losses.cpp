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

const char* OutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kInTime: return "in_time";
    case RequestOutcome::kLate: return "late";
    case RequestOutcome::kRefused: return "refused";
    case RequestOutcome::kFailed: return "failed";
    case RequestOutcome::kGone: return "gone";
  }
  return "unknown";
}

LossRecorder::LossRecorder(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes) {
    class_names_.push_back(c.name);
    counts_by_class_[c.name].worth = c.worth;
  }
}

void LossRecorder::RecordRequest(const std::string& class_name, RequestOutcome outcome,
                                 std::string_view cause, Millis elapsed) {
  const auto found = counts_by_class_.find(class_name);
  if (found == counts_by_class_.end()) return;
  ClassCounts& counts = found->second;
  ++counts.ended;
  if (outcome == RequestOutcome::kInTime) {
    ++counts.in_time;
    return;
  }
  has_losses_ = true;
  if (outcome == RequestOutcome::kLate) ++counts.late;
  if (outcome == RequestOutcome::kGone) ++counts.gone;
  if (outcome == RequestOutcome::kRefused || outcome == RequestOutcome::kFailed) {
    ++counts.causes[(outcome == RequestOutcome::kRefused ? "refused." : "failed.") + std::string(cause)];
    counts.waited += elapsed;
  }
}

void LossRecorder::RecordWastedAttempt(const std::string& class_name, Result result, Millis spent) {
  const auto found = counts_by_class_.find(class_name);
  if (found == counts_by_class_.end()) return;
  has_losses_ = true;
  ++found->second.causes[std::string("wasted.") + ResultName(result)];
  found->second.wasted += spent;
}

void LossRecorder::RecordRetry(const std::string& class_name) {
  const auto found = counts_by_class_.find(class_name);
  if (found != counts_by_class_.end()) ++found->second.causes["retried"];
}

std::vector<std::string> LossRecorder::TakeLogLines(Millis now) {
  if (now < lines_taken_at_ + kLogIntervalMs) return {};
  lines_taken_at_ = now;
  std::vector<std::string> lines;
  if (!std::exchange(has_losses_, false)) return lines;  // served requests stay counted for the next line
  for (const std::string& name : class_names_) {
    ClassCounts& counts = counts_by_class_[name];
    const ClassCounts taken = std::exchange(counts, ClassCounts{counts.worth, 0, 0, 0, 0, 0, 0, {}});
    if (taken.ended == 0 && taken.causes.empty()) continue;
    char text[256];
    std::snprintf(text, sizeof text, " at=%.1f worth=%g ended=%llu in_time=%llu", now / 1000, taken.worth,
                  static_cast<unsigned long long>(taken.ended),
                  static_cast<unsigned long long>(taken.in_time));
    std::string line = "losses class=" + name + text;
    if (taken.late > 0) line += " late=" + std::to_string(taken.late);
    for (const auto& [cause, count] : taken.causes) line += " " + cause + "=" + std::to_string(count);
    if (taken.gone > 0) line += " gone=" + std::to_string(taken.gone);
    if (taken.waited >= 1) line += " waited_ms=" + std::to_string(std::lround(taken.waited));
    if (taken.wasted >= 1) line += " wasted_ms=" + std::to_string(std::lround(taken.wasted));
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace opalswitch::ledger
