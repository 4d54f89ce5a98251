// How the watch on discovery is kept: how long a call may wait, when it counts as failed, when the next one
// is made, which answers are believed, and what of it the operators read. Does no I/O and reads no clock;
// whoever makes the calls (discovery.hpp) tells what came of them. Not thread-safe.
#ifndef OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_
#define OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// All in milliseconds. A drain counts as told 2 s after the end of a watch's wait at the latest, and no
// request may go 0.5 s after that: a watch that fell silent has to be given up early enough for another.
struct WatchTimes {
  Millis wait = 5000;  // how long a watch may wait, in the mean: one that is cut off shows only after it
  Millis recovery_wait = 2000;  // the same after a failure
  Millis silence = 600;         // beyond the wait and twice what a turn takes; doubles with each call in turn
  Millis most_silence = 4000;   // that was not answered, to this
  Millis dial = 1000;           // for a connection to come up
  Millis rest = 1000;           // from an answer's head to its end
  Millis least_gap = 100;       // from the start of a call to the start of the next; a watch lapses after 200
  Millis most_pause = 100;      // from an answer to the next call: a watch that goes on keeps its turn
  Millis first_retry = 200;     // from a failed call to the next, before it is spread; doubles ...
  Millis most_retry = 3000;     // ... to this
};

// What came of a call that was not answered as it should be. kEnded: not a byte of an answer came, as when
// discovery goes down; kBroken: the answer began.
enum class WatchFailure { kDial, kSilent, kEnded, kBroken, kStatus, kUnreadable, kOlder };

class WatchSchedule {
 public:
  // `revision`: of the last list known, if it came from this discovery.
  explicit WatchSchedule(std::optional<std::int64_t> revision = std::nullopt, const WatchTimes& times = {});

  // The path and query of the next call. `uniform`, in [0, 1) as everywhere here, draws how long it may wait,
  // from half to one and a half of the mean: gateways that started together soon ask at different times.
  std::string Begin(double uniform);
  // From the request's last byte to the answer's head.
  Millis Patience() const;
  // From an answer to the next call: a little, as far as turns took long lately. A watch goes on if the next
  // call comes within 200 ms, and was never made to stand in line; one that lapses has to.
  Millis Pause(double uniform) const;
  // Whether the call that has just failed is made again at once, without asking anybody. That is so once, and
  // for faults of this gateway's own call: news that were sent and could not be read count as told, and so do
  // those that a silent watch missed. Silence is noticed at a time that was drawn, so that it spreads by
  // itself.
  bool AgainAtOnce(WatchFailure fault) const;
  // From a failed call to the next, for those who are not told when to call.
  Millis RetryGap(double uniform) const;

  // Whether the list is to be taken over. One that is older than what is known is a lagging copy's: it would
  // bring back hosts that drain. Only when several whole lists in turn say so, each no older than the one
  // before it, has discovery itself begun to count anew, and is believed.
  bool Takes(const HostList& list);

  // These give a line for the operators' log: when the first of several calls fails, when calls succeed
  // again, and never in between. `took`: ms from the request to the answer. `detail` is a status or an error,
  // may be empty; `news`: whether the list named any host.
  std::optional<std::string> Failed(WatchFailure fault, Millis took, const std::string& detail);
  std::optional<std::string> Succeeded(Millis took, bool news);

  // Discovery is elsewhere: revisions are each discovery's own.
  void Moved();

  const WatchTimes& times() const { return times_; }
  std::optional<std::int64_t> revision() const { return revision_; }

 private:
  void LearnTurn(Millis took);

  const WatchTimes times_;
  std::optional<std::int64_t> revision_;
  Millis wait_ = 0;  // of the call that is on; 0: asks for the whole list at once
  Millis turn_ = 0;  // that a call waited lately until discovery came to it
  int failures_ = 0, unanswered_ = 0;
  int older_ = 0;  // whole lists in turn that were older than revision_
  std::int64_t older_revision_ = 0;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_WATCH_SCHEDULE_HPP_
