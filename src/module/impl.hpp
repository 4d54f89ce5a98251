// All that one Policy does: its jobs are cut over the files of this folder, one each.
#ifndef OPALSWITCH_MODULE_IMPL_HPP_
#define OPALSWITCH_MODULE_IMPL_HPP_

#include <cmath>

#include "module/fleet.hpp"
#include "module/state.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch {

// General choices of the mechanism that several jobs share, tied to no deployment.
constexpr double kLatencySmoothingFactor = 0.1;     // weight of a new sample in a server's latency
constexpr double kLatencyTolerance = 1.1;           // uncrowded latency times this is no crowding yet
constexpr double kKeyAffinityLatencyTolerance = 2;  // the same where latency moves with the keys too
constexpr double kMaxGatewaysWithLimits =
    8;  // gateways sharing a server beyond which none keeps a limit for it
constexpr double kMinConcurrencyLimit =
    1;  // requests, over all gateways, that a crowded server keeps at the least
constexpr double kFailureSmoothingFactor = 0.2;  // weight of a new outcome in a server's failing share
constexpr Millis kInitialProbeIntervalMs = 300;  // ms to the first trial of a suspect; doubles
constexpr double kColdLoadFraction = 0.4;    // part of the multiple that fells a cold server which it is sent
constexpr double kMaxUtilization = 1.1;      // utilisation that counts: noise may show more than all
constexpr Millis kSpentRateWindowMs = 1000;  // ms over which the spent rate is smoothed
constexpr Millis kLongRateWindowMs = 10000;  // ms, the same where a few requests a second must give a rate
constexpr std::size_t kMaxServersForFullScan = 64;  // that are gone through one by one
constexpr int kMinLatencySamples = 10;              // samples from which there is a usual one
constexpr double kMaxRelativeWork = 4;              // times the mean, that a sample counts for at the most

class Policy::Impl : private State {
 public:
  Impl(Settings settings, std::uint64_t seed);
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);
  std::vector<ServerStatus> ServerStatuses() const;

 private:
  // policy.cpp
  void HandleEvent(const ClientGone& event);
  void HandleEvent(const StreamStarted& event);
  void HandleEvent(const TimerDue&) { Sweep(); }
  void Sweep();
  void EmitAction(Action action) { actions_->push_back(std::move(action)); }
  void LogRateLimited(std::string text);
  // membership.cpp
  void HandleEvent(const MembershipUpdate& update);
  Millis WatchSpread() const;
  void UpdateServerIndex(TrackedServer& server) {
    server_index_.UpdateServer(server, now_, server.warm_up_started_at + settings_.warm_up_time);
  }
  void BuildRing();
  void UpdateSubset(TrackedServer* changed = nullptr);
  TrackedServer& ApplyServerUpdate(const Server& info);
  void ResetServer(TrackedServer& server, Millis since);
  // warm_up.cpp
  double CapacityFraction(const TrackedServer& server) const;
  double ColdServerRatePerMs(const TrackedServer& server) const;
  bool IsHighlyShared() const { return gateways_per_server_ > kMaxGatewaysWithLimits; }
  // Where many share servers that report, each gateway keeps to a rate for each server that the reports set.
  bool UsesReportedBudget() const {
    return IsHighlyShared() && utilization_index_ < settings_.load_report_fields.size();
  }
  bool HasSendBudget(const TrackedServer& server) const {
    return UsesReportedBudget() || CapacityFraction(server) < 1;
  }
  double SendBudgetPerMs(const TrackedServer& server) const;
  void UpdateSendBudget(TrackedServer& server, double utilization);
  bool RefillSendCredit(TrackedServer& server);
  void UpdateReferenceRate(Millis elapsed);
  // limits.cpp
  double LatencyTolerance() const {
    return settings_.has_key_affinity ? kKeyAffinityLatencyTolerance : kLatencyTolerance;
  }
  bool CanTakeRequest(TrackedServer& server, bool within_quota);
  double ExcessUtilization(const TrackedServer& server) const;
  void RecordLoadReport(TrackedServer& server, const std::vector<double>& load);
  void UpdateConcurrencyLimit(TrackedServer& server, double sample, double work, bool is_served);
  static double SmoothingFactor(double min_factor, int samples, double work) {
    return std::min(1.0, work * std::max(min_factor, 1.0 / samples));
  }
  void UpdateBaselineLatency(TrackedServer& server, double sample, double work);
  double InitialConcurrencyLimit() const;
  double MinConcurrencyLimit() const { return kMinConcurrencyLimit / gateways_per_server_; }
  // outliers.cpp
  void EjectServer(TrackedServer& server);
  double EjectionThreshold(const TrackedServer& server) const;
  double RecoveryThreshold(const TrackedServer& server) const;
  bool TooFewOthersAvailable(const TrackedServer& server) const;
  double RelativeWork(const ActiveRequest& request) const;
  double ClampLatencyOutlier(TrackedServer& server, double sample);
  bool HadTooLittleTime(const ActiveRequest& request, const Outcome& outcome) const;
  void RecordServerOutcome(TrackedServer& server, const ActiveRequest& request, const Outcome& outcome);
  // pick.cpp
  double MedianLatency();
  double SelectionCost(const TrackedServer& server);
  bool IsWithinDeduplicationScope(const ActiveRequest& request, const TrackedServer& server) const;
  bool DeactivateIfNotReady(TrackedServer& server);
  template <typename Predicate>
  TrackedServer* SampleServer(const ActiveRequest& request, Predicate is_allowed,
                              const TrackedServer* excluded);
  TrackedServer* SelectServer(const ActiveRequest& request);
  // bucket.cpp
  void AdvanceClock(Millis now);
  double InitialRefillRate() const;
  Millis SpentRateWindow() const { return kSpentRateWindowMs * (IsHighlyShared() ? 4 : 1); }
  double SpentRate() const;
  bool AreServersLoaded() const;
  void UpdateRefillRate(const TrackedServer& server, const ActiveRequest& request, const Outcome& outcome);
  // queues.cpp
  void UpdateClassWeights(Millis elapsed);
  bool TakeTenantQuota(const std::string& tenant, bool is_client_retry);
  void HandleEvent(const Request& event);
  void EnqueueOrRefuse(ActiveRequest& request);
  Millis QueueDeadline(const ActiveRequest& request) const;
  void ExpireQueuedRequests();
  // A gateway out of connections could only fail to send, which would cost a token and an attempt.
  bool HasFreeConnection() const {
    return settings_.max_in_flight <= 0 || attempts_in_flight_ < settings_.max_in_flight;
  }
  void ReleaseQueuedRequests();
  // attempts.cpp
  void SendAttempt(ActiveRequest& request, TrackedServer& server);
  void HandleEvent(Outcome outcome);
  void RecordEstimatedCost(Millis cost);
  void RecordClassLatency(ClassState& class_state, Millis latency);
  void RetryOrAnswer(ActiveRequest& request, Result result);
  void SendFinalAnswer(ActiveRequest& request, Cause cause);
  Millis RetryAfterAdvice() const;
  void RemoveIfFinished(ActiveRequest& request);

  ServerIndex server_index_;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_MODULE_IMPL_HPP_
