// What a Policy remembers: plain data without decisions, and the check of its settings.
#ifndef OPALSWITCH_STATE_HPP_
#define OPALSWITCH_STATE_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch {

constexpr Millis kNever = -1e15;

// Throws std::invalid_argument naming the field that can't work. Returns the classes' summed worth.
double Validate(const Settings& settings);

// FNV-1a with a final mix: all gateways must rank servers alike, so std::hash will not do.
inline std::uint64_t Hash(std::string_view text, std::uint64_t h = 1469598103934665603ULL) {
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
  return h ^ (h >> 33);
}

// A hash as a fraction strictly between 0 and 1.
inline double Fraction(std::uint64_t h) {
  h *= 0x9e3779b97f4a7c15ULL;
  h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93ULL;
  return (static_cast<double>((h ^ (h >> 32)) >> 11) + 0.5) / 9007199254740992.0;
}

// The middle one, or 0 if there is none. Reorders them.
inline double MiddleOf(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

struct Kind {  // what servers of one kind have in common
  double latency = 0, steady = 0, base = 0;
  double busy = 0;  // reported utilisation, smoothed
  int samples = 0;
};

struct Backend {
  Server info;
  Kind* kind = nullptr;
  std::uint64_t hash = 0;
  bool up = false;
  bool mine = false;   // in this gateway's subset
  int refs = 0;        // attempts of living requests that name it
  int in_flight = 0;   // own attempts out
  double latency = 0;  // smoothed, relative to the class; 0 = unmeasured
  double steady = 0;   // the same, smoothed over more samples
  double base = 0;     // the lowest of that: what it is when uncrowded
  double last_sample = 0;
  int samples = 0;
  double busy = 0;    // reported utilisation, smoothed
  double limit = 1;   // own requests it takes uncrowded; below 1 it rests between them
  double places = 1;  // the limit rounded by chance to whole requests
  Millis rests_until = kNever;
  double failing = 0;  // smoothed share of failures
  bool suspect = false;
  bool lost = false;  // a connection failed: it may come back as a new, cold process
  Millis next_trial = 0;
  Millis trial_gap = 0;
  Millis last_served = kNever;
  Millis cold_since = kNever;
  double allowed = 0;   // requests per ms that it may be sent, as its reports have it; 0 = not known
  Millis heard_at = 0;  // when that was learned
  double credit = 0;    // requests that it may be sent now, while cold or where allowed counts
  Millis credit_at = 0;
  // Where the index of all has it (fleet.hpp).
  static constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);
  static constexpr Millis kNoTime = 1e300;
  std::uint64_t order = 0;  // in which it was first told
  std::size_t open_at = kNowhere;
  Millis wakes_at = kNoTime, tried_at = kNoTime, warms_at = kNoTime;
  double counted_all = 0, counted_weight = 0, counted_warm = 0, counted_limit = 0;
};

struct Attempt {
  Backend* server;
  Millis sent;
  bool out = true;
  bool may_have_run = true;
};

// A request that the gateway has taken, until it is answered and all its attempts have ended.
struct Flow {
  std::string id;
  int cls = 0;
  std::uint64_t key = 0;  // 0 = none
  Millis arrived = 0, aim_at = 0, leaves_at = 0;
  Millis cost = 0;  // its work as the client guesses it; 0 = not told
  bool in_share = true;
  bool answered = false;
  bool queued = false;
  std::vector<Attempt> attempts;

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  // The first attempt that may have run decides where a keyed request may still go.
  const Attempt* FirstRun() const {
    for (const Attempt& a : attempts) {
      if (a.may_have_run) return &a;
    }
    return nullptr;
  }
  bool NeverRan() const { return FirstRun() == nullptr; }
};

struct Tier {  // one class: its settings, learned latency, credit and queues
  ClassSettings set;
  double weight = 0;  // in Most Credit First
  double credit = 0;
  double asked = 0, in_time = 0;  // requests, and those answered within their aim: both fading
  Millis most_left = 0;           // what a first try still has
  double latency = 0;
  int samples = 0;
  std::deque<Flow*> retries, in_share, over_share;

  double Fares() const { return in_time / std::max(1.0, asked); }  // part that is answered in time
  std::size_t Size() const { return retries.size() + in_share.size() + over_share.size(); }
  std::deque<Flow*>& Line() { return !retries.empty() ? retries : !in_share.empty() ? in_share : over_share; }
};

struct Tenant {
  double per_ms = 0;
  double tokens = 0;
  Millis at = 0;
  double within = 1;  // part of its first tries that was within its share, smoothed
};

// All that one Policy remembers.
struct State {
  Settings set_;
  std::mt19937_64 random_;
  std::vector<Tier> classes_;
  std::unordered_map<std::string, int> class_index_;  // looked up, never iterated
  std::unordered_map<std::string, Tenant> tenants_;   // the same
  std::unordered_map<std::string, Flow> flows_;       // the same
  std::map<std::string, Kind> kinds_;
  std::map<std::string, Backend> servers_;  // ordered: iteration must be repeatable
  std::vector<std::pair<double, Backend*>> candidates_;
  std::vector<double> scratch_;
  std::vector<Flow*> due_;
  std::vector<Action>* out_ = nullptr;
  bool started_ = false;
  std::size_t busy_at_ = 0;  // place of the utilisation in a load report; past its end if not reported
  Millis now_ = 0;
  Millis ask_at_ = kNever, ask_gap_ = 0;
  Millis cut_after_ = kNever, quiet_until_ = kNever;
  Millis since_ = 0;  // when the first server was told of
  double tokens_ = 1, rate_ = 0, spent_rate_ = 0, failing_ = 0;
  double unserved_ = 0;                     // failing share of all servers that are not suspect
  double arriving_ = 0;                     // requests per ms, smoothed
  double warm_served_ = 0, warm_time_ = 0;  // answers of warm servers, and their time, both fading
  Millis swept_at_ = 0;
  Millis mean_cost_ = 0;  // of the requests that tell one
  double mean_latency_ = 0, reference_ = 0, retry_budget_ = 1;
  int samples_ = 0, up_ = 0;
  int out_now_ = 0;  // attempts out
  std::size_t queued_ = 0;
  std::vector<std::pair<double, Backend*>> ring_;
  double place_ = 0;    // of this gateway on the ring of servers
  bool whole_ = false;  // it uses all servers
  bool subset_due_ = false;
  Millis subset_at_ = kNever;   // not chosen anew before
  std::set<std::string> gone_;  // servers that are not up, and are remembered still
  std::uint64_t ordered_ = 0;   // servers told of so far
  std::size_t measured_ = 0;    // latencies that changed since the median was found
  double median_ = 0;
  bool median_found_ = false;
  double sharers_ = 1;  // gateways that use each server

  Flow* Find(const std::string& id) {
    const auto found = flows_.find(id);
    return found == flows_.end() ? nullptr : &found->second;
  }

  void Hold(Flow& flow, std::deque<Flow*>& line) {
    flow.queued = true;
    ++queued_;
    line.push_back(&flow);
  }

  void Unqueue(Flow& flow) {
    if (!flow.queued) return;
    Tier& c = classes_[flow.cls];
    for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
      if (const auto it = std::find(line->begin(), line->end(), &flow); it != line->end()) {
        line->erase(it);
        break;
      }
    }
    flow.queued = false;
    --queued_;
  }

  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
};

}  // namespace opalswitch

#endif  // OPALSWITCH_STATE_HPP_
