// Which servers are left out for failing, and how they come back.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kMostStep = 3;      // times the usual latency, that one late answer counts for
constexpr double kGuessedStep = 10;  // the same where it is set right by a guess, which may be wrong itself
constexpr double kEarly = 0.5;       // part of the aim that an attempt is given at the least, usually
constexpr double kErrOut = 0.3;      // failing share above which a server is suspect
constexpr double kErrAll = 0.02;     // weight of a new outcome in the failing share of all trusted servers
constexpr double kErrBack = 0.1;     // failing share below which, after trials, a suspect is trusted again
constexpr double kErrGone = 0.7;     // the same where too few would be left: these hardly serve at all
constexpr double kTrusted = 0.5;     // part of all servers, by weight, below which too few are left
constexpr double kErrSpread = 3;     // standard deviations from that which chance is granted
constexpr Millis kTrialGapMost = 4000;  // ms; longest gap between trials
constexpr Millis kLostAfter = 1000;     // ms of silence after which failed connections mean a death

void Policy::Impl::Suspect(Backend& b) {
  const bool was = std::exchange(b.suspect, true);
  b.failing = std::min(b.failing, kErrGone);  // out for longer is no worse: the way back is as short
  b.next_trial = now_ + b.trial_gap * (0.75 + 0.5 * Uniform());
  b.trial_gap = Scarce(b) ? kTrialGap : std::min(b.trial_gap * 2, kTrialGapMost);
  if (was) return;
  Say("server " + b.info.id + " not ready: failing");
  ChooseSubset(&b);
}

// Outlier detection: failures that all servers have alike (a network that resets connections, errors of a
// release) say little of one of them, and leaving servers out for those leaves nowhere to send. So a server
// is held against what the trusted ones fail: out beyond chance's spread round that, back under it and a
// little more. It could hurt where nearly all fail and a few do not, by less than the spread. And where half
// of them are out, the others bear twice their load: then only those that serve next to nothing are left out.
double Policy::Impl::OutAbove(const Backend& b) const {
  const double deviation = std::sqrt(unserved_ * (1 - unserved_) * kErrWeight / (2 - kErrWeight));
  return std::max(Scarce(b) ? kErrGone : kErrOut, unserved_ + kErrSpread * deviation);
}
double Policy::Impl::BackBelow(const Backend& b) const { return Scarce(b) ? kErrGone : kErrBack + unserved_; }
bool Policy::Impl::Scarce(const Backend& b) const {
  const double others = fleet_.weight() - (b.suspect ? 0 : b.counted_weight);
  return others < kTrusted * fleet_.all_weight();
}

// A request's work over the mean of all: by what the client guesses, else by its class's latency. 1 until
// something was learned.
double Policy::Impl::Relative(const Flow& flow) const {
  if (flow.cost > 0) return flow.cost / mean_cost_;
  const double latency = classes_[flow.cls].latency;
  return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
}

// One answer that is many times later than usual was held up on its way, and one in a hundred of these would
// halve a limit for good. It counts for a step upwards; the next one as late, as in a jam, for all it is.
double Policy::Impl::Believed(Backend& b, double sample) {
  const double before = std::exchange(b.last_sample, sample);
  const bool guesses = mean_cost_ > 0;
  const double usual = b.samples >= kKnown                   ? b.latency
                       : guesses || b.kind->samples < kKnown ? sample
                                                             : b.kind->latency;
  return std::min(sample, std::max((guesses ? kGuessedStep : kMostStep) * usual, before));
}

// A time-out of an attempt that had little of the usual time tells of a client that leaves early, not of the
// server.
bool Policy::Impl::Impatient(const Flow& flow, const Outcome& outcome) const {
  const Millis given = flow.leaves_at - flow.attempts[outcome.attempt].sent;
  return outcome.result == Result::kTimedOut && given < kEarly * classes_[flow.cls].set.aim;
}

void Policy::Impl::Judge(Backend& b, const Flow& flow, const Outcome& outcome) {
  const bool served = outcome.result == Result::kServed;
  if (outcome.result == Result::kRejected) {  // full is not ill; its latency shows the crowding
    // Resting it keeps its quick refusals, which leave it idle, from drawing ever more to it.
    b.rests_until = std::max(b.rests_until, now_ + b.latency);
    Adjust(b, kMostBusy);
    if (b.suspect) Suspect(b);  // but one that hangs fills up: a trial that it turns away has failed
    return;
  }
  // A crowded server fails connections too: only one that long served nothing may be a new process.
  const bool dropped = outcome.result == Result::kConnectFailed || outcome.result == Result::kReset;
  if (dropped && b.failing >= kErrWeight && now_ - b.last_served > kLostAfter) b.lost = true;
  // One slow request among others that were answered meanwhile says nothing about the server.
  const bool heavy = outcome.result == Result::kTimedOut &&
                     (b.last_served > now_ - outcome.latency || Impatient(flow, outcome));
  if (served) b.last_served = now_;
  if (outcome.result == Result::kTimedOut && !Impatient(flow, outcome)) Adjust(b, kMostBusy);
  if (served && Warmth(b) >= 1) warm_served_ += 1;
  if (!heavy) b.failing += kErrWeight * ((served ? 0.0 : 1.0) - b.failing);
  if (!heavy && !b.suspect) unserved_ += kErrAll * ((served ? 0.0 : 1.0) - unserved_);
  if (served && b.suspect) {
    b.next_trial = now_;
    b.trial_gap = kTrialGap;
    b.suspect = b.failing >= BackBelow(b);
    if (b.lost) Renew(b, now_);
    if (!b.suspect) {
      Say("server " + b.info.id + " ready again");
      ChooseSubset(&b);
    }
  } else if (!served && !heavy && (b.failing > OutAbove(b) || b.suspect)) {
    Suspect(b);
  }
  const double work = Relative(flow);
  const double sample = Believed(b, outcome.latency / work);
  // A failure never lowers the latency: fast errors would look like a fast server. And what never came,
  // though others did, or a connection that broke, took no time of the server's: it was lost on the way.
  if (served || (!heavy && !dropped && sample > b.latency))
    Measure(b, sample, std::min(flow.cost > 0 ? work : 1.0, kMostWork), served);
  // A few gateways may have to share a server that takes fewer requests than there are gateways.
  if (b.limit < 1) b.rests_until = now_ + outcome.latency * (1 / b.limit - 1);
  // Drawn anew each time: rounding up would crowd a server by a request for each gateway.
  b.places = std::max(1.0, std::floor(b.limit + Uniform()));
}

}  // namespace opalswitch
