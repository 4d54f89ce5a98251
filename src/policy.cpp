// The decisions of opalswitch. Their interface (settings, events, actions) is
// include/opalswitch/policy.hpp. Each mechanism is told where it stands, with when it acts.
#include "opalswitch/policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet.hpp"
#include "state.hpp"

namespace opalswitch {
namespace {

// ---- Constants. General choices of the mechanism, tied to no deployment. ------------------------

constexpr Millis kSweepEvery = 10;      // ms between sweeps: queue expiry
constexpr Millis kAnswerBefore = 20;    // ms before the client leaves: two sweeps, timers may come late
constexpr double kStartRate = 1000;     // tokens/s a server: "starting high", far above any use
constexpr double kRaise = 0.3;          // tokens/s gained by each timely answer
constexpr double kRaiseShare = 0.05;    // part of the rate gained by it at the most
constexpr double kUsedUp = 0.8;         // part of the rate that must be spent for it to grow beyond its start
constexpr double kSink = 0.999;         // part kept at each answer while less is spent there
constexpr double kCut = 0.85;           // the rate keeps this much at a cut
constexpr double kTolerated = 0.3;      // failing share of recent outcomes that cuts the rate
constexpr double kToleratedMany = 0.1;  // the same where many share a server: none sees much, all add up
constexpr double kShareBurst = 3;       // requests of its share that a tenant may send at once, at the least
constexpr double kInUse = 0.5;          // part of the servers' places, that must be in use for a cut
constexpr Millis kBurst = 50;           // ms of refill that the bucket holds
constexpr double kCreditCap = 4;        // MCF credit stays within +-this many requests
constexpr Millis kFareMemory = 20000;   // ms over which it is counted how each class fares
constexpr double kFareStep = 0.05;      // difference in how two classes fare that shifts e times the weight
constexpr double kFast = 0.1;           // weight of a new sample in a server's latency
constexpr double kSteady = 0.02;        // the same in the average whose floor is the uncrowded latency
constexpr double kHintBase = 1.25;      // times the guessed work, that an uncrowded answer takes at the most
constexpr double kMostWork = 4;         // times the mean, that a sample counts for at the most
constexpr double kSlow = 0.01;          // weight of a new sample in a class's latency
constexpr double kBaseDrift = 0.001;    // how fast the uncrowded latency follows upwards
constexpr double kSlack = 1.1;          // uncrowded latency times this is no crowding yet
constexpr double kWarmSlack = 2;        // the same where latency moves with the keys too
constexpr double kBusySpare = 0.07;     // utilisation kept free of growth, times the root of the gateways
constexpr double kBusyGain = 4;         // how hard limits shrink beyond that
constexpr double kBusyWeight = 0.3;     // weight of a new report in a server's utilisation
constexpr double kSpareBusy = 0.6;      // utilisation above which spare traffic is held back
constexpr double kSpareShare = 0.3;     // part of a limit open to traffic beyond its share
constexpr double kManySharers = 8;      // gateways sharing a server beyond which none keeps a limit for it
constexpr double kHeadroom = 1.0;       // growth of a limit, times its root: small servers grow little
constexpr double kStartLimit = 8;       // requests, over all gateways, that an unmeasured server is given
constexpr double kGuessStart = 2.5;     // the same where clients guess the work: growth follows as it fits
constexpr double kReportStart = 2;      // the same where servers report: growth follows as they show room
constexpr double kLeastLimit = 1;       // the same, least that a crowded server keeps
constexpr double kErrWeight = 0.2;      // weight of a new outcome in a server's failing share
constexpr double kErrOut = 0.3;         // failing share above which a server is suspect
constexpr double kErrBack = 0.1;        // and below which, after trials, it is trusted again
constexpr double kErrAll = 0.02;        // weight of a new outcome in the failing share of all trusted servers
constexpr double kErrSpread = 3;        // standard deviations from that which chance is granted
constexpr Millis kTrialGap = 300;       // ms to the first trial of a suspect; doubles
constexpr Millis kTrialGapMost = 4000;  // ms; longest gap between trials
constexpr Millis kLostAfter = 1000;     // ms of silence after which failed connections mean a death
constexpr double kRetryShare = 0.1;     // further attempts earned by each first one
constexpr double kRetryBurst = 20;      // further attempts that may be saved up
constexpr double kFirstLeft = 0.05;     // weight of a first try in the time that first tries have left
constexpr double kFirstTry = 0.95;      // part of the most time left below which it is a further try
constexpr double kWaitShare = 0.15;     // part of its time that a request waits for a token at most
constexpr double kSpareWait = 0.05;     // the same beyond a share: it holds a client's connection for little
constexpr double kWithin = 0.9;  // tenants with this part of their first tries in share: so are further tries
constexpr double kWithinMemory = 0.02;  // weight of a first try in that part
constexpr double kSharers = 40;         // gateways that use a server, where there are more than that
constexpr double kLeastServers = 6;     // servers that a gateway uses at the least: some may fail together
constexpr double kHeldPart = 0.5;       // part of both where connections stay open: full tables cost capacity
constexpr double kCrossing = 1.3;       // cost of a server in another zone, times its own: crossing is priced
constexpr double kPooled = 2;           // samples that the latency of a server's kind counts for
constexpr double kMostSpread = 4;       // times by which latency alone raises or lowers a server's share
constexpr double kColdShare = 0.4;      // part of the multiple that fells a cold server which it is sent
constexpr Millis kLeastRetryAfter = 10;  // ms; "at once" would be no advice
constexpr Millis kAskGap = 100;          // ms before a failed list call is made again; doubles
constexpr Millis kDoubt = 500;           // ms of each server's time that a first few answers are spread over
constexpr Millis kSpentMemory = 1000;    // ms over which the spent rate is smoothed
constexpr Millis kLongMemory = 10000;    // ms, the same where a few requests a second must give a rate
constexpr std::size_t kFewServers = 64;  // that are gone through one by one
constexpr std::size_t kStretch = 256;    // of more, that are gone through at the most
constexpr int kMostLooks = 32;     // draws in vain before that; also trials, and rests that end, at once
constexpr Millis kMostRest = 100;  // ms until a cold server's credit is looked at again
constexpr Millis kSubsetPerServer = 0.02;  // ms for each server between two choices of a large fleet's subset
constexpr double kFailMemory =
    0.05;  // least weight of an outcome in the fleet's failing share; else about a second's

}  // namespace

class Policy::Impl : private State {
 public:
  Impl(Settings settings, std::uint64_t seed) {
    set_ = std::move(settings);
    random_.seed(seed);
    const double worth = Validate(set_);
    const auto& fields = set_.report_fields;
    place_ = set_.index < 0 ? Uniform() : std::fmod(set_.index * 0.6180339887498949, 1.0);
    busy_at_ = std::find(fields.begin(), fields.end(), "util") - fields.begin();
    for (const ClassSettings& c : set_.classes) {
      class_index_[c.name] = static_cast<int>(classes_.size());
      classes_.emplace_back().set = c;
      classes_.back().weight = worth > 0 ? c.worth / worth : 1.0 / static_cast<double>(set_.classes.size());
    }
    for (const TenantSettings& t : set_.tenants) {
      tenants_[t.name].per_ms = t.quota_per_s / set_.gateways / 1000;
    }
  }

  void Handle(Millis now, const Event& event, std::vector<Action>& out) {
    out_ = &out;
    Refill(now);
    if (!std::exchange(started_, true)) Sweep();
    std::visit([this](const auto& e) { On(e); }, event);
    Release();
  }

  // The same preference as shares, for proxies that are told them now and then: within kMostSpread, as two
  // samples would not leave a slow server without any either.
  std::vector<Verdict> Verdicts() const {
    std::vector<double> known;
    for (const auto& [id, b] : servers_) {
      if (b.up && !b.suspect && b.latency > 0) known.push_back(b.latency);
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    if (!known.empty()) std::nth_element(known.begin(), middle, known.end());
    std::vector<Verdict> all;
    for (const auto& [id, b] : servers_) {
      if (!b.up) continue;
      const double faster = b.latency > 0 && !known.empty() ? *middle / b.latency : 1;
      all.push_back(
          {id, b.info.weight * Warmth(b) * std::clamp(faster, 1 / kMostSpread, kMostSpread), b.suspect});
    }
    return all;
  }

 private:
  // ---- Membership ------------------------------------------------------------------------------

  void On(const ServerNews& news) {
    if (news.kind == ServerNews::Kind::kFailed) {
      // The list service may be swamped: ask again later each time, never all gateways at once.
      ask_gap_ = std::min(std::max(kAskGap, ask_gap_ * 2), set_.ask_within / 4);
      ask_at_ = now_ + ask_gap_ * (0.5 + Uniform());
      return;
    }
    ask_gap_ = 0;
    const bool full = news.kind == ServerNews::Kind::kFull;
    if (full) {
      for (auto& [id, b] : servers_) b.up = false, gone_.insert(id);
      up_ = 0;
    }
    for (const Server& s : news.servers) {
      Backend& b = Learn(s);
      if (!full) ChooseSubset(&b);
    }
    if (full) ChooseSubset();
    for (auto it = gone_.begin(); it != gone_.end();) {
      const auto found = servers_.find(*it);
      const bool up = found != servers_.end() && found->second.up;
      const bool forget = found != servers_.end() && !up && found->second.refs == 0;
      if (forget) {
        fleet_.Remove(found->second);
        servers_.erase(found);
      }
      it = up || forget || found == servers_.end() ? gone_.erase(it) : std::next(it);
    }
  }

  void Place(Backend& b) { fleet_.Place(b, now_, b.cold_since + set_.cold_for); }

  // Subsetting: where many gateways share the servers each keeps to a few, for a few requests a second over
  // all tell nothing of any, and connections fill the servers' tables. Gateways start by the golden ratio of
  // their index: any run of them covers the ring, on which kinds lie evenly. The next comes in for one that
  // is ejected. `only`: nothing but this server has changed.
  void ChooseSubset(Backend* only = nullptr) {
    const double all = up_;
    const double part = set_.streams > 1 ? kHeldPart : 1;
    const double wanted = part * std::max(kLeastServers, kSharers * all / set_.gateways);
    const bool whole = wanted >= all;
    if (!whole && only != nullptr && all > kFewServers && now_ < subset_at_) {
      subset_due_ = true;  // of a large fleet the subset follows in a while; whoever is not up is out at once
      return Place(*only);
    }
    const bool many = sharers_ > kManySharers;
    sharers_ = std::max(1.0, set_.gateways * std::min(1.0, wanted / std::max(1.0, all)));
    if (whole && whole_ && only != nullptr && many == (sharers_ > kManySharers)) {
      only->mine = only->up;
      return Place(*only);
    }
    whole_ = whole;
    subset_due_ = false;
    subset_at_ = now_ + kSubsetPerServer * all;
    OrderRing();
    double chosen = 0;
    for (std::size_t i = 0; i < ring_.size() && chosen < wanted; ++i) {
      Backend& b = *ring_[(i + static_cast<std::size_t>(place_ * all)) % ring_.size()].second;
      b.mine = true;
      chosen += !b.suspect;
    }
    for (auto& [id, b] : servers_) Place(b);
  }

  Backend& Learn(const Server& s) {
    const auto [entry, added] = servers_.try_emplace(s.id);
    Backend& b = entry->second;
    const bool restarted = added || s.started_at > b.info.started_at;
    if (added) b.order = ++ordered_;
    b.info = s;
    b.kind = &kinds_[s.kind];
    b.hash = Hash(s.id);
    up_ -= b.up;
    b.up = s.state == ServerState::kUp;
    up_ += b.up;
    if (!b.up) gone_.insert(s.id);
    if (!(b.info.weight > 0) || !std::isfinite(b.info.weight)) b.info.weight = 1;
    if (restarted) Renew(b, s.started_at > 0 ? s.started_at : kNever);  // 0: up for long
    ++measured_;
    return b;
  }

  // A new process: cold, and nothing known of the old one holds for it.
  void Renew(Backend& b, Millis since) {
    b.cold_since = std::max(b.cold_since, since);
    b.cold_credit = Uniform();
    b.credit_at = now_;
    b.latency = b.steady = b.base = b.failing = b.busy = b.samples = 0;
    b.limit = b.places = StartLimit();
    b.suspect = b.lost = false;
    b.trial_gap = kTrialGap;
  }

  // ---- Server readiness ------------------------------------------------------------------------

  // The share of its capacity that a started server surely has by now.
  double Warmth(const Backend& b) const {
    const Millis age = now_ - b.cold_since;
    if (age >= set_.cold_for) return 1;
    return set_.cold_from + (1 - set_.cold_from) * std::max(0.0, age) / set_.cold_for;
  }

  // Rule 4: a cold server earns credit by what warm ones answer here. It starts with a chance part of a
  // request: one request each from hundreds of gateways at once would push it over.
  bool WithinBudget(Backend& b) {
    const double warmth = Warmth(b);
    if (warmth >= 1) return true;
    const double earned =
        kColdShare * set_.fall_multiple * warmth * b.info.weight * reference_ * (now_ - b.credit_at);
    b.cold_credit = std::min(1.0, b.cold_credit + earned);
    b.credit_at = now_;
    return b.cold_credit >= 1;
  }

  // What a warm server of size 1 answers to this gateway, per ms: answers, not sends, for in a jam more is
  // sent than any server can do. Where none was warm yet: its part of what arrives.
  void LearnReference(Millis passed) {
    const double keep = std::exp(-passed / kLongMemory), all = fleet_.weight();
    fleet_.Warm(now_);
    warm_time_ = warm_time_ * keep + passed * fleet_.warm_weight();
    warm_served_ *= keep;
    reference_ = warm_time_ > 0 ? warm_served_ / (warm_time_ + kDoubt * all) : arriving_ / std::max(1.0, all);
  }

  double Slack() const { return set_.warm_keys ? kWarmSlack : kSlack; }
  bool Ready(Backend& b, bool in_share) {
    // Where many share a server, a limit each is a fraction of a request learned from next to nothing. There
    // the rate alone admits, and what is beyond a share goes only while all goes well: it took tokens like
    // any.
    if (sharers_ > kManySharers) return (in_share || failing_ < kToleratedMany) && WithinBudget(b);
    if (now_ < b.rests_until) return false;
    const double part = in_share || b.kind->busy < kSpareBusy ? 1 : kSpareShare;
    return b.in_flight < b.places * part && WithinBudget(b);
  }

  void Suspect(Backend& b) {
    const bool was = std::exchange(b.suspect, true);
    b.next_trial = now_ + b.trial_gap * (0.75 + 0.5 * Uniform());
    b.trial_gap = std::min(b.trial_gap * 2, kTrialGapMost);
    if (was) return;
    Say("server " + b.info.id + " not ready: failing");
    ChooseSubset(&b);
  }

  // How far a server's report says that it is too busy for many gateways, none knowing what the others send
  // next.
  double Overuse(const Backend& b) const {
    return (b.busy + b.kind->busy) / 2 - (1 - kBusySpare * std::sqrt(set_.gateways));
  }

  void Hear(Backend& b, const std::vector<double>& load) {
    if (busy_at_ >= load.size() || !(load[busy_at_] >= 0)) return;
    const double busy = std::min(load[busy_at_], 1.1);  // noise may show more than all
    b.busy += kBusyWeight * (busy - b.busy);
    b.kind->busy += kBusyWeight / 3 * (busy - b.kind->busy);
  }

  // Outlier detection: failures that all servers have alike (a network that resets connections, peers that
  // spoil answers) say little of one of them, and leaving servers out for those leaves nowhere to send. So a
  // server is held against what the trusted ones fail: out beyond chance's spread round that, back under it
  // and a little more. With failures at one server alone both are the plain bounds. It also covers errors
  // that a release brings to all hosts. It could hurt where nearly all fail and a few do not: these are not
  // told apart until their failures differ by more than the spread.
  double OutAbove() const {
    const double deviation = std::sqrt(unserved_ * (1 - unserved_) * kErrWeight / (2 - kErrWeight));
    return std::max(kErrOut, unserved_ + kErrSpread * deviation);
  }
  double BackBelow() const { return kErrBack + unserved_; }

  void Judge(Backend& b, const Flow& flow, const Outcome& outcome) {
    const bool served = outcome.result == Result::kServed;
    if (outcome.result == Result::kRejected) {  // full is not ill; its latency shows the crowding
      // Resting it keeps its quick refusals, which leave it idle, from drawing ever more to it.
      b.rests_until = std::max(b.rests_until, now_ + b.latency);
      if (b.suspect) Suspect(b);  // but one that hangs fills up: a trial that it turns away has failed
      return;
    }
    // A crowded server fails connections too: only one that long served nothing may be a new process.
    const bool dropped = outcome.result == Result::kConnectFailed || outcome.result == Result::kReset;
    if (dropped && b.failing >= kErrWeight && now_ - b.last_served > kLostAfter) b.lost = true;
    // One slow request among others that were answered meanwhile says nothing about the server.
    const bool heavy = outcome.result == Result::kTimedOut && b.last_served > now_ - outcome.latency;
    if (served) b.last_served = now_;
    if (served && Warmth(b) >= 1) warm_served_ += 1;
    if (!heavy) b.failing += kErrWeight * ((served ? 0.0 : 1.0) - b.failing);
    if (!heavy && !b.suspect) unserved_ += kErrAll * ((served ? 0.0 : 1.0) - unserved_);
    if (served && b.suspect) {
      b.next_trial = now_;
      b.trial_gap = kTrialGap;
      b.suspect = b.failing >= BackBelow();
      if (b.lost) Renew(b, now_);
      if (!b.suspect) {
        Say("server " + b.info.id + " ready again");
        ChooseSubset(&b);
      }
    } else if (!served && !heavy && (b.failing > OutAbove() || b.suspect)) {
      Suspect(b);
    }
    const double work = Relative(flow);
    const double sample = outcome.latency / work;
    // A failure never lowers the latency: fast errors would look like a fast server. And an answer that never
    // came, though others did, or a connection that broke, took no time of the server's: it was lost on the
    // way. It could hurt at a server that answers few so late that most run out of time; these few show it.
    if (served || (!heavy && !dropped && sample > b.latency))
      Measure(b, sample, std::min(flow.cost > 0 ? work : 1.0, kMostWork), served);
    // A few gateways may have to share a server that takes fewer requests than there are gateways.
    if (b.limit < 1) b.rests_until = now_ + outcome.latency * (1 / b.limit - 1);
    // Drawn anew each time: rounding up would crowd a server by a request for each gateway.
    b.places = std::max(1.0, std::floor(b.limit + Uniform()));
  }

  // Learns the limit of own requests that a server takes uncrowded, from how its latency grows.
  // Where clients guess the work, a sample counts by it: small requests' times say little, and a mean of
  // their ratios less than the ratio of the means.
  void Measure(Backend& b, double sample, double work, bool served) {
    ++b.samples;
    ++measured_;
    b.latency += Gain(kFast, b.samples, work) * (sample - b.latency);
    Kind& k = *b.kind;
    ++k.samples;
    k.latency += Gain(kFast / 2, k.samples, work) * (sample - k.latency);
    if (served) LearnBase(b, sample, work);
    if (b.base <= 0) return;
    const double ratio = std::sqrt(b.latency / b.base * k.latency / k.base);
    const double overuse = Overuse(b);
    const double gradient = std::clamp(std::min(Slack() / ratio, 1 - kBusyGain * overuse), 0.2, 1.0);
    const double growth = overuse > 0 || !served ? 0 : kHeadroom * std::sqrt(b.limit / sharers_);
    const double target = b.limit * gradient + growth;
    if (target > b.limit && 2.0 * (b.in_flight + 1) < b.limit) return;  // not in use: no evidence
    b.limit = std::max(LeastLimit(), b.limit + (target - b.limit) / std::max(2.0, b.limit));
  }

  static double Gain(double least, int samples, double work) {
    return std::min(1.0, work * std::max(least, 1.0 / samples));
  }

  void LearnBase(Backend& b, double sample, double work) {
    Kind& k = *b.kind;
    k.steady += Gain(kSteady, k.samples, work) * (sample - k.steady);
    if (k.samples < 20 || k.steady < k.base) k.base = k.steady;
    k.base += kBaseDrift / 4 * (k.steady - k.base);
    b.steady += Gain(kSteady, b.samples, work) * (sample - b.steady);
    const double known = std::min(1.0, b.samples * kSteady);
    b.base = known < 1 ? known * b.steady + (1 - known) * k.base : std::min(b.base, b.steady);
    b.base += kBaseDrift * (b.latency - b.base);
    // Who starts in a jam has met no uncrowded answer. Where clients guess the work that is known all the
    // same: it counts until enough was measured, for all may guess too little.
    if (known < 1 && mean_cost_ > 0) {
      const Millis most = kHintBase * mean_cost_ / b.info.weight;
      b.base = std::min(b.base, most);
      k.base = std::min(k.base, most);
    }
  }

  // A server that keeps warm for its keys holds more before it is crowded, from the start on.
  double StartLimit() const {
    const double most = mean_cost_ > 0 ? kGuessStart : kStartLimit;
    return (busy_at_ < set_.report_fields.size() ? kReportStart : most * Slack() / kSlack) / sharers_;
  }
  double LeastLimit() const { return kLeastLimit / sharers_; }

  // ---- Pick ------------------------------------------------------------------------------------

  double Cost(const Backend& b) {
    // A few samples of a server tell little: where many share it they are shrunk toward those of its kind.
    const double pooled = sharers_ > kManySharers && b.kind->latency > 0 ? kPooled : 0;
    const double own = std::min(1.0 * b.samples, 1 / kFast), all = own + pooled;
    const double latency = (own * b.latency + pooled * b.kind->latency) / std::max(1.0, all);
    const double crossing = b.info.zone == set_.zone ? 1 : kCrossing;
    return crossing * (b.in_flight + 1) * (all > 0 ? latency : std::max(1.0, Median()));
  }

  // Rule 2: a keyed request that may have run stays with the servers that drop its repeats.
  bool Allowed(const Flow& flow, const Backend& b) const {
    const ClassSettings& c = classes_[flow.cls].set;
    const Attempt* first = c.effect == Effect::kKeyed ? flow.FirstRun() : nullptr;
    if (first == nullptr) return true;
    if (now_ - first->sent >= c.repeat_window) return false;
    const Server& at = first->server->info;
    if (c.group == Group::kZone) return at.zone == b.info.zone;
    return c.group == Group::kAll || at.cell == b.info.cell;
  }

  // Whether the server is ready for nobody now. Then it is kept apart until its time, or an event, may change
  // that: so a choice meets few that are not ready, however many there are.
  bool Shut(Backend& b) {
    if (sharers_ <= kManySharers) {
      if (now_ < b.rests_until) return fleet_.Rest(b, b.rests_until), true;
      if (b.in_flight >= b.places) return fleet_.Close(b), true;
    }
    if (WithinBudget(b)) return false;
    const double per_ms = kColdShare * set_.fall_multiple * Warmth(b) * b.info.weight * reference_;
    const Millis wait = (1 - b.cold_credit) / std::max(per_ms, 1e-9);
    return fleet_.Rest(b, now_ + std::clamp(wait, 1.0, kMostRest)), true;
  }

  // A chance one of the ready servers, each as likely as any other: whoever is not ready is drawn in vain.
  // Where few of the many fit, a stretch of them is gone through.
  template <typename May>
  Backend* Sample(const Flow& flow, May may, const Backend* except) {
    const auto fits = [&](Backend& b) { return &b != except && may(b) && Ready(b, flow.in_share); };
    for (int tries = 0; tries < kMostLooks && fleet_.open() > 0;) {
      Backend& b = fleet_.At(random_() % fleet_.open());
      if (Shut(b)) continue;  // paid for by what opened it
      if (fits(b)) return &b;
      ++tries;
    }
    const std::size_t all = fleet_.open(), first = all > 0 ? random_() % all : 0;
    for (std::size_t i = 0; i < std::min(all, kStretch); ++i) {
      Backend& b = fleet_.At((first + i) % all);
      if (fits(b)) return &b;
    }
    return nullptr;
  }

  // The better of two ready servers by (own in-flight + 1) x smoothed latency, or null.
  Backend* Pick(const Flow& flow) {
    const bool repeatable = classes_[flow.cls].set.effect == Effect::kSafe && flow.attempts.empty();
    const Backend* last = flow.attempts.empty() ? nullptr : flow.attempts.back().server;
    const auto may = [&](const Backend& b) { return &b != last && Allowed(flow, b); };
    // A suspect returns by one trial at a time, with a request that may run again.
    if (repeatable) {
      const auto fits = [&](Backend& b) { return may(b) && WithinBudget(b); };
      if (Backend* const b = fleet_.Trial(now_, kMostLooks, fits)) return b;
    }
    fleet_.Wake(now_, kMostLooks);
    const bool by_key = set_.warm_keys && flow.key != 0;
    if (!by_key && fleet_.open() > kFewServers) {
      Backend* const one = Sample(flow, may, nullptr);
      Backend* const two = one == nullptr ? nullptr : Sample(flow, may, one);
      return two != nullptr && Cost(*two) < Cost(*one) ? two : one;
    }
    candidates_.clear();
    for (std::size_t i = 0; i < fleet_.open();) {
      Backend& b = fleet_.At(i);
      if (Shut(b)) continue;  // another is in its place now
      if (may(b) && Ready(b, flow.in_share)) candidates_.push_back({0, &b});
      ++i;
    }
    if (candidates_.empty()) return nullptr;
    if (candidates_.size() > 2) {
      if (by_key) {
        // Weighted rendezvous: lowest first; a server's coming or going moves only its own keys.
        for (auto& [rank, b] : candidates_) rank = -std::log(Fraction(flow.key ^ b->hash)) / b->info.weight;
        std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                          [](const auto& x, const auto& y) { return x.first < y.first; });
      } else {
        const std::size_t n = candidates_.size();
        std::swap(candidates_[0], candidates_[random_() % n]);
        std::swap(candidates_[1], candidates_[1 + random_() % (n - 1)]);
      }
    }
    Backend* const one = candidates_.front().second;
    Backend* const two = candidates_.size() > 1 ? candidates_[1].second : one;
    return Cost(*two) < Cost(*one) ? two : one;
  }

  // ---- Bucket and rate -------------------------------------------------------------------------

  void Refill(Millis now) {
    const Millis passed = started_ ? std::max(0.0, now - now_) : 0;
    now_ = started_ ? std::max(now_, now) : std::isfinite(now) ? now : 0;  // this order also outlives NaN
    const bool first = rate_ <= 0 && up_ > 0;
    if (first) rate_ = kStartRate * up_, since_ = now_;
    const double full = std::max(2.0, rate_ * kBurst / 1000);
    tokens_ = first ? full : std::min(tokens_ + rate_ * passed / 1000, full);
    spent_rate_ *= std::exp(-passed / (kSpentMemory * (sharers_ > kManySharers ? 4 : 1)));
    arriving_ *= std::exp(-passed / kLongMemory);
  }

  // The spent rate of the time that has passed: at the start, of less than its memory.
  double Spent() const {
    const Millis memory = kSpentMemory * (sharers_ > kManySharers ? 4 : 1);
    return spent_rate_ / -std::expm1(-std::max(1.0, now_ - since_) / memory);
  }

  // Whether what is out could crowd the servers. A jam shows in what is in flight, however it came about, so
  // with most of the measured places empty failures have another cause, and sending less mends none of them:
  // a server that turns away beyond a rate of its own, a few heavy requests, an errand that fails everywhere.
  // It could hurt where limits are too high for what servers can do, until their latency has taught better.
  bool Crowded() const {
    if (sharers_ > kManySharers) return true;  // there no limit is kept
    return out_now_ >= kInUse * fleet_.limits();
  }

  // Failures that one server explains eject it; only those of servers held ready move the rate.
  void MoveRate(const Backend& b, const Flow& flow, const Outcome& outcome) {
    // A connection that breaks says nothing of crowding. Cutting for it feeds on itself: the fewer are sent,
    // the longer connections idle, and the more of them are gone at the next request.
    if (b.suspect || outcome.result == Result::kReset) return;
    // A server that is full rests, which is all that one server's fullness asks for where limits are kept.
    if (outcome.result == Result::kRejected && sharers_ <= kManySharers) return;
    const bool served = outcome.result == Result::kServed;
    const bool timely = served && now_ <= flow.aim_at;
    failing_ += std::clamp(1 / (1 + rate_), kFailMemory, kErrWeight) * ((timely ? 0.0 : 1.0) - failing_);
    if (timely) {
      // Beyond where it started it grows only while it is used up, and sinks
      // back there while it is not.
      const double start = kStartRate * std::max(1, up_);
      const double raised = rate_ + std::min(kRaise, kRaiseShare * rate_);
      rate_ = raised <= start || Spent() >= kUsedUp * rate_ ? raised : std::max(start, rate_ * kSink);
    } else if (failing_ > (sharers_ > kManySharers ? kToleratedMany : kTolerated) && now_ >= cut_after_ &&
               Crowded()) {
      rate_ = std::max(1.0 * up_ / set_.gateways, std::min(rate_, Spent()) * kCut);
      cut_after_ = now_ + std::max(100.0, Median());  // one cut a round trip
      Say("rate cut to " + std::to_string(static_cast<int>(rate_)) + "/s");
    }
  }

  // ---- Queues and Most Credit First ------------------------------------------------------------

  // A class's weight is what a token is worth there: to the whole by its requests' own worth, and to the
  // class that fares worst as far as that counts by itself. By how many there are of each: then weights that
  // are alike leave all classes the same share unserved.
  void Weigh(Millis passed) {
    if (set_.worst_class_part <= 0) return;
    const double keep = std::exp(-passed / kFareMemory);
    double least = 1, asked = 0, worth = 0, behind = 0, sum = 0;
    for (Tier& c : classes_) {
      c.asked *= keep;
      c.in_time *= keep;
      asked += c.asked;
      worth += c.asked * c.set.worth;
      if (c.asked > 1) least = std::min(least, c.Fares());
    }
    if (worth <= 0) return;
    const auto lag = [&](const Tier& c) { return std::exp((least - c.Fares()) / kFareStep); };
    for (const Tier& c : classes_) behind += c.asked * lag(c);
    for (Tier& c : classes_) {
      c.weight =
          c.asked * asked * (set_.whole_part * c.set.worth / worth + set_.worst_class_part * lag(c) / behind);
      sum += c.weight;
    }
    for (Tier& c : classes_) c.weight /= sum;
  }

  // A share is of what is asked for once. Further tries take nothing of it: a tenant within its share that
  // was refused would seem to be beyond it, and be refused the more.
  bool InShare(const std::string& tenant, bool retry) {
    if (tenants_.empty()) return true;
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end()) return false;  // an unknown tenant has no share
    Tenant& t = it->second;
    if (t.per_ms <= 0) return true;
    if (retry) return t.within >= kWithin;
    t.tokens = std::min(t.tokens + (now_ - t.at) * t.per_ms, std::max(kShareBurst, t.per_ms * 1000));
    t.at = now_;
    const bool in_share = t.tokens >= 1;
    if (in_share) t.tokens -= 1;
    t.within += kWithinMemory * ((in_share ? 1.0 : 0.0) - t.within);
    return in_share;
  }

  void On(const Request& r) {
    const auto found = class_index_.find(r.class_name);
    if (flows_.contains(r.id)) return;
    if (found == class_index_.end()) return Emit(Refuse{r.id, 0});  // no such class: never sent
    Flow& flow = flows_[r.id];
    Tier& c = classes_[found->second];
    flow.id = r.id;
    flow.cls = found->second;
    flow.key = r.key.empty() ? 0 : Hash(r.key) | 1;
    flow.arrived = now_;
    flow.cost = std::isfinite(r.cost) ? std::clamp(r.cost, 0.0, c.set.deadline) : 0.0;
    if (flow.cost > 0) LearnCost(flow.cost);
    arriving_ += 1 / kLongMemory;
    c.asked += 1;
    const Millis left = std::isfinite(r.time_left) ? std::max(0.0, r.time_left) : 0.0;
    flow.leaves_at = now_ + left;
    // A further try has less time left than a first one. If its aim is long past, it is worth as little
    // as what a tenant sends beyond its share: a jam would feed on answers that come too late.
    // Where clients mark further tries none else is one, and what first tries have left is their mean: a
    // single client with more time than is usual must not make all others look late.
    if (!set_.marks_retry) {
      c.most_left = std::max(c.most_left, left);
    } else if (!r.retry) {
      c.most_left += (c.most_left > 0 ? kFirstLeft : 1) * (std::min(left, c.set.deadline) - c.most_left);
    }
    const bool further = set_.marks_retry ? r.retry : true;
    const Millis spent = further && left < kFirstTry * c.most_left ? std::max(0.0, c.set.deadline - left) : 0;
    const bool late = spent >= c.set.aim;
    flow.aim_at = std::min(now_ + c.set.aim, flow.leaves_at);
    flow.in_share = !late && InShare(r.tenant, r.retry);
    retry_budget_ = std::min(retry_budget_ + kRetryShare, kRetryBurst);
    if (late && c.set.late_worth <= 0) return Answer(flow);           // worth nothing any more
    if (now_ >= flow.leaves_at - kAnswerBefore) return Answer(flow);  // no sweep may come in time
    if (queued_ == 0 && tokens_ > 0 && Room()) {
      if (Backend* b = Pick(flow)) return Dispatch(flow, *b);
    }
    Enqueue(flow);
  }

  void Enqueue(Flow& flow) {
    Tier& c = classes_[flow.cls];
    const double most = spent_rate_ * c.set.aim / 1000 + 32;  // more can't be served in time
    if (static_cast<double>(c.Size()) >= most) {
      if (!flow.in_share || c.over_share.empty()) return Answer(flow);
      Flow* evicted = c.over_share.back();
      Unqueue(*evicted);
      Answer(*evicted);
    }
    Hold(flow, flow.in_share ? c.in_share : c.over_share);
  }

  // A token must come soon: what waits longer is sent with too little time left, fails, and has the rate cut
  // again. And the answer must come before the client leaves.
  Millis HoldUntil(const Flow& flow) const {
    const double share = flow.in_share ? kWaitShare : kSpareWait;
    return std::min(flow.arrived + share * (flow.aim_at - flow.arrived), flow.leaves_at - kAnswerBefore);
  }

  // All, not the heads alone: one with less time than those before it must not run out of it behind them.
  void ExpireQueued() {
    due_.clear();
    for (Tier& c : classes_) {
      for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
        for (Flow* flow : *line) {
          if (now_ >= HoldUntil(*flow)) due_.push_back(flow);
        }
      }
    }
    for (Flow* flow : due_) {
      Unqueue(*flow);
      Answer(*flow);
    }
  }

  // A gateway out of connections could only fail to send, which would cost a token and an attempt.
  bool Room() const { return set_.most_out <= 0 || out_now_ < set_.most_out; }

  // Spends tokens on the queues: each token goes to the backlogged class with the most credit.
  void Release() {
    std::uint64_t stuck = 0;  // classes whose head no server can take now
    while (queued_ > 0 && tokens_ > 0 && Room()) {
      Tier* best = nullptr;
      for (Tier& c : classes_) {
        if (c.Size() == 0 || (stuck >> (&c - classes_.data()) & 1)) continue;
        if (best == nullptr || c.credit + c.weight > best->credit + best->weight) best = &c;
      }
      if (best == nullptr) return;
      Flow& flow = *best->Line().front();
      Backend* b = Pick(flow);
      if (b == nullptr) {
        stuck |= std::uint64_t{1} << (best - classes_.data());
        continue;
      }
      // Where all backlogged classes are in debt the least indebted goes: a token never idles.
      for (Tier& c : classes_) c.credit = std::min(kCreditCap, c.credit + (c.Size() > 0 ? c.weight : 0));
      best->credit = std::max(-kCreditCap, best->credit - 1);
      Unqueue(flow);
      Dispatch(flow, *b);
    }
  }

  // ---- Attempts and answers --------------------------------------------------------------------

  void Dispatch(Flow& flow, Backend& b) {
    const Millis until = classes_[flow.cls].set.late_worth > 0 ? flow.leaves_at : flow.aim_at;
    tokens_ -= 1;
    spent_rate_ += 1000 / kSpentMemory / (sharers_ > kManySharers ? 4 : 1);
    if (Warmth(b) < 1) b.cold_credit -= 1;
    ++b.in_flight;
    if (b.suspect) Place(b);  // one trial at a time
    ++out_now_;
    ++b.refs;
    flow.attempts.push_back({&b, now_});
    Emit(Send{flow.id, b.info.id, std::max(1.0, until - now_)});
  }

  void On(Outcome o) {
    Flow* const known = Find(o.request);
    if (!known || o.attempt < 0 || o.attempt >= static_cast<int>(known->attempts.size())) return;
    Flow& flow = *known;
    Attempt& attempt = flow.attempts[o.attempt];
    if (!std::exchange(attempt.out, false)) return;
    if (!std::isfinite(o.latency) || o.latency < 0)
      o.latency = now_ - attempt.sent;  // never into an estimate
    attempt.may_have_run =
        o.result != Result::kRejected && o.result != Result::kConnectFailed && o.result != Result::kNotSent;
    Backend& b = *attempt.server;
    --b.in_flight;
    --out_now_;
    if (o.result == Result::kServed) {
      LearnClass(classes_[flow.cls], o.latency);
      if (now_ <= flow.aim_at) classes_[flow.cls].in_time += 1;
    }
    if (o.result != Result::kCancelled && o.result != Result::kNotSent) {  // these tell nothing of the server
      MoveRate(b, flow,
               o);  // first: by whether the server was held ready until now
      Hear(b, o.load);
      Judge(b, flow, o);
    }
    Place(b);
    if (o.finished || o.result == Result::kServed) flow.answered = true;
    if (!flow.answered && !flow.AnyOut() && !flow.queued) return TryAgain(flow, o.result);
    Settle(flow);
  }

  void LearnCost(Millis cost) {
    const bool first = mean_cost_ <= 0;
    mean_cost_ += (first ? 1 : kSlow) * (cost - mean_cost_);
    if (!first) return;
    for (auto& [id, b] : servers_) {
      if (b.samples > 0) continue;
      b.limit = b.places = std::min(b.limit, StartLimit());
      Place(b);
    }
  }

  void LearnClass(Tier& c, Millis latency) {
    c.latency += std::max(kSlow, 1.0 / ++c.samples) * (latency - c.latency);
    mean_latency_ += std::max(kSlow, 1.0 / ++samples_) * (latency - mean_latency_);
  }

  // Another attempt only where it is legal, can still be in time, and the server was to blame.
  void TryAgain(Flow& flow, Result result) {
    const ClassSettings& c = classes_[flow.cls].set;
    const bool legal = flow.NeverRan() || c.effect != Effect::kUnsafe;
    const bool heavy = result == Result::kTimedOut && !flow.attempts.back().server->suspect;
    const bool in_time = now_ + classes_[flow.cls].latency < flow.aim_at;
    const bool more = static_cast<int>(flow.attempts.size()) < set_.max_attempts;
    if (!legal || heavy || !in_time || !more || retry_budget_ < 1) return Answer(flow);
    retry_budget_ -= 1;
    Hold(flow, classes_[flow.cls].retries);
  }

  // The final answer to a request with no attempt out. A refusal says that trying again is harmless.
  void Answer(Flow& flow) {
    const ClassSettings& c = classes_[flow.cls].set;
    const bool harmless = flow.NeverRan() || c.effect == Effect::kSafe ||
                          (c.effect == Effect::kKeyed && c.group == Group::kAll);
    Emit(harmless ? Action(Refuse{flow.id, RetryAfter()}) : Action(Fail{flow.id}));
    flow.answered = true;
    Settle(flow);
  }

  Millis RetryAfter() const {
    if (!set_.retry_after) return 0;
    // With no queue a place comes free, on average, within half of the time that an answer takes.
    const Millis queue = 1000 * static_cast<double>(queued_) / std::max(spent_rate_, 1.0);
    return std::min(set_.max_retry_after, std::max({queue, mean_latency_ / 2, kLeastRetryAfter}));
  }

  // Forgets a request that is answered and has nothing out. `flow` may be gone afterwards.
  void Settle(Flow& flow) {
    if (!flow.answered || flow.queued || flow.AnyOut()) return;
    for (const Attempt& a : flow.attempts) --a.server->refs;
    flows_.erase(flow.id);
  }

  void On(const ClientGone& gone) {
    Flow* const known = Find(gone.request);
    if (known == nullptr) return;
    Flow& flow = *known;
    Unqueue(flow);
    flow.answered = true;
    for (std::size_t i = 0; set_.may_cancel && i < flow.attempts.size(); ++i) {
      if (flow.attempts[i].out) Emit(Cancel{flow.id, static_cast<int>(i)});
    }
    Settle(flow);
  }

  void On(const StreamStarted& s) {  // the client owns it now; its outcome is still awaited
    if (Flow* const flow = Find(s.request)) flow->answered = true;
  }

  void On(const TimerDue&) { Sweep(); }

  void Sweep() {
    Emit(SetTimer{kSweepEvery, "sweep"});
    if (set_.ask_for_list && now_ >= ask_at_) {
      Emit(Watch{});
      ask_at_ = std::numeric_limits<Millis>::infinity();
    }
    if (subset_due_ && now_ >= subset_at_) ChooseSubset();
    const Millis passed = std::min(kLongMemory, now_ - std::exchange(swept_at_, now_));
    LearnReference(passed);
    Weigh(passed);
    ExpireQueued();
  }

  Fleet fleet_;

  void Emit(Action action) { out_->push_back(std::move(action)); }

  // A log line, at most a few a second: trouble must not flood the gateway's log.
  void Say(std::string text) {
    if (now_ < quiet_until_) return;
    quiet_until_ = now_ + 200;
    Emit(Log{std::move(text)});
  }
};

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::vector<Verdict> Policy::Verdicts() const { return impl_->Verdicts(); }

}  // namespace opalswitch
