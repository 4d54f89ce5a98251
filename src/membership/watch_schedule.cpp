#include "membership/watch_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace opalswitch::gateway {
namespace {

constexpr int kBegunAnew = 3;        // whole lists in turn after which an older count is believed
constexpr int kAtOnce = 4;           // failed calls in turn up to which a broken answer is asked for at once
constexpr double kTurnWeight = 0.3;  // of one call in how long a turn takes
constexpr int kMostDoubled = 16;     // times that anything is doubled: beyond that all bounds are reached

Millis Doubled(Millis first, int times, Millis most) {
  return std::min(most, std::ldexp(first, std::clamp(times, 0, kMostDoubled)));
}

const char* Words(WatchFailure fault) {
  switch (fault) {
    case WatchFailure::kDial: return "can't be reached";
    case WatchFailure::kSilent: return "doesn't answer in time";
    case WatchFailure::kEnded: return "ends the watch";
    case WatchFailure::kBroken: return "breaks its answer off";
    case WatchFailure::kStatus: return "refuses";
    case WatchFailure::kUnreadable: return "sends a list that can't be read";
    case WatchFailure::kOlder: return "sends a list older than the one known";
  }
  return "";
}

}  // namespace

WatchSchedule::WatchSchedule(std::optional<std::int64_t> revision, const WatchTimes& times)
    : times_(times), revision_(revision) {}

std::string WatchSchedule::Begin(double uniform) {
  // While it sends older lists only a whole one can tell whether it has begun anew.
  wait_ = 0;
  if (!revision_ || older_ > 0) return "/discovery/hosts";
  wait_ = std::floor((failures_ > 0 ? times_.recovery_wait : times_.wait) * (0.5 + uniform));
  return "/discovery/hosts?after=" + std::to_string(*revision_) +
         "&wait_ms=" + std::to_string(static_cast<int>(wait_));
}

Millis WatchSchedule::Patience() const {
  if (wait_ <= 0) return times_.most_silence;
  return wait_ + std::min(times_.most_silence,
                          2 * turn_ + Doubled(times_.silence, unanswered_ - 1, times_.most_silence));
}

Millis WatchSchedule::Pause(double uniform) const { return std::min(times_.most_pause, 2 * turn_) * uniform; }

bool WatchSchedule::AgainAtOnce(WatchFailure fault) const {
  if (fault == WatchFailure::kSilent) return failures_ == 1;
  return failures_ <= kAtOnce && (fault == WatchFailure::kBroken || fault == WatchFailure::kUnreadable);
}

Millis WatchSchedule::RetryGap(double uniform) const {
  return Doubled(times_.first_retry, failures_ - 1, times_.most_retry) * (0.5 + uniform);
}

bool WatchSchedule::Takes(const HostList& list) {
  if (revision_ && list.revision < *revision_) {
    if (!list.complete) return false;
    older_ = older_ > 0 && list.revision >= older_revision_ ? older_ + 1 : 1;
    older_revision_ = list.revision;
    if (older_ < kBegunAnew) return false;
  }
  older_ = 0;
  revision_ = list.revision;
  return true;
}

void WatchSchedule::LearnTurn(Millis took) { turn_ += kTurnWeight * (std::max(0.0, took) - turn_); }

std::optional<std::string> WatchSchedule::Failed(WatchFailure fault, Millis took, const std::string& detail) {
  unanswered_ = fault == WatchFailure::kSilent ? unanswered_ + 1 : 0;
  if (fault == WatchFailure::kStatus)
    LearnTurn(std::max(turn_, took));  // quick: it is down, no matter of turns
  if (failures_++ > 0) return std::nullopt;
  std::string line = std::string("discovery ") + Words(fault);
  if (!detail.empty()) line += " (" + detail + ")";
  return line + (revision_ ? "; the last good list, revision " + std::to_string(*revision_) + ", stays"
                           : "; no list of its is known yet");
}

std::optional<std::string> WatchSchedule::Succeeded(Millis took, bool news) {
  // Without news the answer came when the wait was over. With news, that were there already or came in the
  // meantime, the turn took that long at the most.
  if (!news && wait_ > 0) LearnTurn(took - wait_);
  if (news) LearnTurn(failures_ > 0 ? took : std::min(took, turn_));
  const int failed = failures_;
  failures_ = unanswered_ = 0;
  if (failed == 0) return std::nullopt;
  return "discovery answers again after " + std::to_string(failed) +
         (failed == 1 ? " failed call" : " failed calls") + "; revision " +
         (revision_ ? std::to_string(*revision_) : "unknown");
}

void WatchSchedule::Moved() {
  revision_.reset();
  failures_ = unanswered_ = older_ = 0;
  turn_ = 0;
}

}  // namespace opalswitch::gateway
