// All that one Policy does: its jobs are cut over the files of this folder, one each.
#ifndef OPALSWITCH_MODULE_IMPL_HPP_
#define OPALSWITCH_MODULE_IMPL_HPP_

#include <cmath>

#include "module/fleet.hpp"
#include "module/state.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch {

// General choices of the mechanism that several jobs share, tied to no deployment.
constexpr double kFast = 0.1;       // weight of a new sample in a server's latency
constexpr double kSlack = 1.1;      // uncrowded latency times this is no crowding yet
constexpr double kWarmSlack = 2;    // the same where latency moves with the keys too
constexpr double kManySharers = 8;  // gateways sharing a server beyond which none keeps a limit for it
constexpr double kLeastLimit = 1;   // requests, over all gateways, that a crowded server keeps at the least
constexpr double kErrWeight = 0.2;  // weight of a new outcome in a server's failing share
constexpr Millis kTrialGap = 300;   // ms to the first trial of a suspect; doubles
constexpr double kColdShare = 0.4;  // part of the multiple that fells a cold server which it is sent
constexpr double kMostBusy = 1.1;   // utilisation that counts: noise may show more than all
constexpr Millis kSpentMemory = 1000;    // ms over which the spent rate is smoothed
constexpr Millis kLongMemory = 10000;    // ms, the same where a few requests a second must give a rate
constexpr std::size_t kFewServers = 64;  // that are gone through one by one
constexpr int kKnown = 10;               // samples from which there is a usual one
constexpr double kMostWork = 4;          // times the mean, that a sample counts for at the most

class Policy::Impl : private State {
 public:
  Impl(Settings settings, std::uint64_t seed);
  void Handle(Millis now, const Event& event, std::vector<Action>& out);
  std::vector<ServerStatus> ServerStatuses() const;

 private:
  // policy.cpp
  void On(const ClientGone& gone);
  void On(const StreamStarted& s);
  void On(const TimerDue&) { Sweep(); }
  void Sweep();
  void Emit(Action action) { out_->push_back(std::move(action)); }
  void Say(std::string text);
  // membership.cpp
  void On(const MembershipUpdate& news);
  Millis AskSpread() const;
  void Place(Backend& b) { fleet_.Place(b, now_, b.cold_since + set_.warm_up_time); }
  void OrderRing();
  void ChooseSubset(Backend* only = nullptr);
  Backend& Learn(const Server& s);
  void Renew(Backend& b, Millis since);
  // warm_up.cpp
  double Warmth(const Backend& b) const;
  double ColdRate(const Backend& b) const;
  bool Many() const { return sharers_ > kManySharers; }
  // Where many share servers that report, each gateway keeps to a rate for each server that the reports set.
  bool Metered() const { return Many() && busy_at_ < set_.load_report_fields.size(); }
  bool Budgeted(const Backend& b) const { return Metered() || Warmth(b) < 1; }
  double Budget(const Backend& b) const;
  void Adjust(Backend& b, double busy);
  bool WithinBudget(Backend& b);
  void LearnReference(Millis passed);
  // limits.cpp
  double Slack() const { return set_.has_key_affinity ? kWarmSlack : kSlack; }
  bool Ready(Backend& b, bool in_share);
  double Overuse(const Backend& b) const;
  void Hear(Backend& b, const std::vector<double>& load);
  void Measure(Backend& b, double sample, double work, bool served);
  static double Gain(double least, int samples, double work) {
    return std::min(1.0, work * std::max(least, 1.0 / samples));
  }
  void LearnBase(Backend& b, double sample, double work);
  double StartLimit() const;
  double LeastLimit() const { return kLeastLimit / sharers_; }
  // outliers.cpp
  void Suspect(Backend& b);
  double OutAbove(const Backend& b) const;
  double BackBelow(const Backend& b) const;
  bool Scarce(const Backend& b) const;
  double Relative(const Flow& flow) const;
  double Believed(Backend& b, double sample);
  bool Impatient(const Flow& flow, const Outcome& outcome) const;
  void Judge(Backend& b, const Flow& flow, const Outcome& outcome);
  // pick.cpp
  double Median();
  double Cost(const Backend& b);
  bool Allowed(const Flow& flow, const Backend& b) const;
  bool Shut(Backend& b);
  template <typename May>
  Backend* Sample(const Flow& flow, May may, const Backend* except);
  Backend* Pick(const Flow& flow);
  // bucket.cpp
  void Refill(Millis now);
  double StartRate() const;
  Millis SpentMemory() const { return kSpentMemory * (Many() ? 4 : 1); }
  double Spent() const;
  bool Crowded() const;
  void MoveRate(const Backend& b, const Flow& flow, const Outcome& outcome);
  // queues.cpp
  void Weigh(Millis passed);
  bool InShare(const std::string& tenant, bool retry);
  void On(const Request& r);
  void Enqueue(Flow& flow);
  Millis HoldUntil(const Flow& flow) const;
  void ExpireQueued();
  // A gateway out of connections could only fail to send, which would cost a token and an attempt.
  bool Room() const { return set_.max_in_flight <= 0 || out_now_ < set_.max_in_flight; }
  void Release();
  // attempts.cpp
  void Dispatch(Flow& flow, Backend& b);
  void On(Outcome o);
  void LearnCost(Millis cost);
  void LearnClass(Tier& c, Millis latency);
  void TryAgain(Flow& flow, Result result);
  void Answer(Flow& flow, Cause cause);
  Millis RetryAfter() const;
  void Settle(Flow& flow);

  Fleet fleet_;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_MODULE_IMPL_HPP_
