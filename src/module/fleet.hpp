// The servers of one Policy, indexed so that choosing one, and what is summed over all, costs the same
// however many there are. Plain bookkeeping: what is ready, and when, the Policy says.
#ifndef OPALSWITCH_FLEET_HPP_
#define OPALSWITCH_FLEET_HPP_

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "module/state.hpp"

namespace opalswitch {

// Ordered by time; of one time by the order in which the servers were first told, so that it is repeatable.
struct Sooner {
  bool operator()(const std::pair<Millis, Backend*>& a, const std::pair<Millis, Backend*>& b) const {
    return a.first != b.first ? a.first < b.first : a.second->order < b.second->order;
  }
};

class Fleet {
 public:
  // Puts a server where it belongs by its up, mine, suspect, weight, limit and next trial; `warm_at` is when
  // it has warmed up. To be called after any of these changed, and whenever it may have become ready.
  void Place(Backend& b, Millis now, Millis warm_at) {
    const bool counts = b.up && !b.suspect, sent_to = counts && b.mine;
    Count(weight_, b.counted_weight, counts ? b.info.weight : 0);
    Count(all_weight_, b.counted_all, b.up ? b.info.weight : 0);
    Count(limits_, b.counted_limit, sent_to ? b.limit : 0);
    const bool warm = now >= warm_at;
    Count(warm_weight_, b.counted_warm, counts && warm ? b.info.weight : 0);
    Key(warming_, b, b.warms_at, counts && !warm, warm_at);
    Key(resting_, b, b.wakes_at, false, 0);
    Key(trials_, b, b.tried_at, b.up && b.mine && b.suspect && b.in_flight == 0, b.next_trial);
    sent_to ? Open(b) : Close(b);
  }

  // Servers that may be ready, in no order.
  std::size_t open() const { return open_.size(); }
  Backend& At(std::size_t i) const { return *open_[i]; }
  // It can't be ready before it is placed again ...
  void Close(Backend& b) {
    if (b.open_at == Backend::kNowhere) return;
    open_[b.open_at] = open_.back();
    open_[b.open_at]->open_at = b.open_at;
    open_.pop_back();
    b.open_at = Backend::kNowhere;
  }
  // ... or this time has come.
  void Rest(Backend& b, Millis until) {
    Close(b);
    Key(resting_, b, b.wakes_at, true, until);
  }
  // At most `most` of those whose time has come.
  void Wake(Millis now, int most) {
    while (most-- > 0 && !resting_.empty() && resting_.begin()->first <= now) {
      Backend& b = *resting_.begin()->second;
      Key(resting_, b, b.wakes_at, false, 0);
      Open(b);
    }
  }
  // The suspect whose trial is due first and that `fits`; of the first few that are due.
  template <typename Fits>
  Backend* Trial(Millis now, int most, Fits fits) const {
    for (auto at = trials_.begin(); at != trials_.end() && at->first <= now && most-- > 0; ++at) {
      if (fits(*at->second)) return at->second;
    }
    return nullptr;
  }
  // Takes note of servers that have warmed up.
  void Warm(Millis now) {
    while (!warming_.empty() && warming_.begin()->first <= now) {
      Backend& b = *warming_.begin()->second;
      Key(warming_, b, b.warms_at, false, 0);
      Count(warm_weight_, b.counted_warm, b.info.weight);
    }
  }

  double all_weight() const { return all_weight_; }    // of those that are up
  double weight() const { return weight_; }            // of those that are up and no suspects
  double warm_weight() const { return warm_weight_; }  // of the warm ones of these
  double limits() const { return limits_; }            // of those that are sent to

 private:
  using ByTime = std::set<std::pair<Millis, Backend*>, Sooner>;

  static void Count(double& sum, double& counted, double now) {
    if (counted == now) return;
    sum += now - counted;
    counted = now;
  }
  static void Key(ByTime& set, Backend& b, Millis& key, bool in, Millis at) {
    const Millis wanted = in ? at : Backend::kNoTime;
    if (key == wanted) return;
    if (key != Backend::kNoTime) set.erase({key, &b});
    key = wanted;
    if (in) set.insert({at, &b});
  }
  void Open(Backend& b) {
    if (b.open_at != Backend::kNowhere) return;
    b.open_at = open_.size();
    open_.push_back(&b);
  }

  std::vector<Backend*> open_;
  ByTime resting_, trials_, warming_;
  double all_weight_ = 0, weight_ = 0, warm_weight_ = 0, limits_ = 0;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_FLEET_HPP_
