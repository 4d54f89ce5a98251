// The implementation of Policy. Its member functions are defined in the .cpp files of this directory, one
// file per mechanism; the declarations below are grouped by file.
#ifndef OPALSWITCH_MODULE_IMPL_HPP_
#define OPALSWITCH_MODULE_IMPL_HPP_

#include <cmath>

#include "module/server_index.hpp"
#include "module/state.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch {

// Constants that several mechanisms use. They depend on no particular deployment.

// Smoothing factor of a server's latency.
constexpr double kLatencySmoothingFactor = 0.1;
// A server counts as loaded when its latency exceeds the baseline latency times this.
constexpr double kLatencyTolerance = 1.1;
// The same with key affinity, where the latency also varies with the keys.
constexpr double kKeyAffinityLatencyTolerance = 2;
// Concurrency limits are not used where more gateways than this share a server: a limit per gateway would be
// a fraction of a request.
constexpr double kMaxGatewaysForConcurrencyLimits = 8;
// Lower bound of a server's concurrency limit, summed over all gateways.
constexpr double kMinConcurrencyLimit = 1;
// Smoothing factor of a server's failure rate.
constexpr double kFailureSmoothingFactor = 0.2;
// Time from the ejection of a server to the first probe. It doubles with each failed probe.
constexpr Millis kInitialProbeIntervalMs = 300;
// A cold server is sent this fraction of the load that makes it fail (Settings::overload_multiple).
constexpr double kColdLoadFraction = 0.4;
// Reported utilization is capped here: measurement noise may show more than 1. Also stands for the
// utilization of a server that rejects or times out.
constexpr double kMaxUtilization = 1.1;
// Time constant of the rate at which tokens are spent.
constexpr Millis kSpentRateWindowMs = 1000;
// Time constant of rates that must be meaningful at a few requests per second.
constexpr Millis kLongRateWindowMs = 10000;
// With up to this many ready servers, all of them are candidates for a request; with more, random samples
// are.
constexpr std::size_t kMaxServersForFullScan = 64;
// Number of latency samples from which a mean is used as the usual latency.
constexpr int kMinLatencySamples = 10;
// A latency sample is weighted by its work relative to the mean, up to this.
constexpr double kMaxRelativeWork = 4;

class Policy::Impl : private State {
 public:
  Impl(Settings settings, std::uint64_t seed);
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);
  std::vector<ServerStatus> ServerStatuses() const;

 private:
  // --- policy.cpp
  void HandleEvent(const ClientGone& event);
  void HandleEvent(const StreamStarted& event);
  void HandleEvent(const TimerDue&) { Sweep(); }
  // Periodic work: membership requests, subset updates, class weights and expiry of queued requests.
  void Sweep();
  void EmitAction(Action action) { actions_->push_back(std::move(action)); }
  // Emits a log line, or drops it if another one was emitted shortly before.
  void LogRateLimited(std::string text);

  // --- membership.cpp
  void HandleEvent(const MembershipUpdate& update);
  // The time over which the gateways spread their membership requests.
  Millis WatchSpread() const;
  // Counts a failed membership request and returns the delay before the next one.
  Millis NextWatchRetryDelay(const RetryWindow& window);
  // To be called after any change that ServerIndex::UpdateServer depends on.
  void UpdateServerIndex(TrackedServer& server) {
    server_index_.UpdateServer(server, now_, server.warm_up_started_at + settings_.warm_up_time);
  }
  // Orders the servers that are up for UpdateSubset, and clears in_subset.
  void BuildRing();
  // Updates the subset and the index. `changed`: the only server that has changed; null if any may have.
  void UpdateSubset(TrackedServer* changed = nullptr);
  // Adds or updates a server from a membership update.
  TrackedServer& ApplyServerUpdate(const Server& info);
  // Discards what was learned about a server because its process was started at `since`.
  void ResetServer(TrackedServer& server, Millis since);

  // --- warm_up.cpp
  // Fraction of its capacity that a server has in its warm-up; 1 if it is warm.
  double CapacityFraction(const TrackedServer& server) const;
  // Requests per ms that this gateway may send to a cold server.
  double ColdServerRatePerMs(const TrackedServer& server) const;
  // Whether too many gateways share each server for concurrency limits per gateway.
  bool IsHighlyShared() const { return gateways_per_server_ > kMaxGatewaysForConcurrencyLimits; }
  // Whether each gateway limits its rate to each server by the utilization that the server reports.
  bool UsesReportedBudget() const {
    return IsHighlyShared() && utilization_index_ < settings_.load_report_fields.size();
  }
  // Whether requests to the server are limited by send_credit.
  bool HasSendBudget(const TrackedServer& server) const {
    return UsesReportedBudget() || CapacityFraction(server) < 1;
  }
  // Requests per ms that this gateway may send to a server with a send budget.
  double SendBudgetPerMs(const TrackedServer& server) const;
  // Adjusts the server's send budget to its utilization, reported or inferred from an outcome.
  void UpdateSendBudget(TrackedServer& server, double utilization);
  // Refills the server's send credit. Returns whether it suffices for a request; true without a send budget.
  bool RefillAndCheckSendCredit(TrackedServer& server);
  // Updates the rate of responses per server that ColdServerRatePerMs is based on.
  void UpdateReferenceRate(Millis elapsed);

  // --- limits.cpp
  // Ratio of latency to baseline latency from which a server counts as loaded.
  double LatencyTolerance() const {
    return settings_.has_key_affinity ? kKeyAffinityLatencyTolerance : kLatencyTolerance;
  }
  // Whether the server is within its limits. Refills its send credit.
  bool CanTakeRequest(TrackedServer& server, bool within_quota);
  // The server's utilization above the target; negative below it.
  double ExcessUtilization(const TrackedServer& server) const;
  // Applies the load report of an outcome. Ignores missing, negative and NaN utilization.
  void RecordLoadReport(TrackedServer& server, const std::vector<double>& load);
  // Adds a latency sample of relative work `work`, and adjusts the concurrency limit.
  void UpdateConcurrencyLimit(TrackedServer& server, double sample, double work, bool is_served);
  // Smoothing factor of a sample of relative work `work`: the first samples are averaged with equal weights.
  static double SmoothingFactor(double min_factor, int samples, double work) {
    return std::min(1.0, work * std::max(min_factor, 1.0 / samples));
  }
  // Adds a latency sample to the baselines of the server and its kind.
  void UpdateBaselineLatency(TrackedServer& server, double sample, double work);
  // Limit of a server without latency samples, for this gateway.
  double InitialConcurrencyLimit() const;
  double MinConcurrencyLimit() const { return kMinConcurrencyLimit / gateways_per_server_; }

  // --- outliers.cpp
  // Ejects the server, or delays its next probe if it is ejected already.
  void EjectServer(TrackedServer& server);
  // Failure rate above which the server is ejected.
  double EjectionThreshold(const TrackedServer& server) const;
  // Failure rate below which the ejected server is used again.
  double RecoveryThreshold(const TrackedServer& server) const;
  // Whether the other servers that are not ejected have less than kMinAvailableFraction of the weight of all.
  bool TooFewOthersAvailable(const TrackedServer& server) const;
  // The request's work relative to the mean of all requests; 1 before anything was learned.
  double RelativeWork(const ActiveRequest& request) const;
  // Returns the latency sample, limited if it is a single high one. Stores it for the next call.
  double ClampLatencyOutlier(TrackedServer& server, double sample);
  // Whether the attempt timed out because its client gave it too little time.
  bool HadTooLittleTime(const ActiveRequest& request, const Outcome& outcome) const;
  // Updates outlier detection, latency and limits of the server from an attempt's outcome.
  void RecordServerOutcome(TrackedServer& server, const ActiveRequest& request, const Outcome& outcome);

  // --- server_selection.cpp
  // Median latency of the servers that are up; cached, see kMedianUpdateDivisor.
  double MedianLatency();
  // Expected latency of a further request to the server, for comparison; lower is better.
  double SelectionCost(const TrackedServer& server);
  // The time from which the request must not be sent again; infinite if there is none.
  Millis RepeatDeadline(const ActiveRequest& request) const;
  // Whether the server drops repeats of the request's earlier attempts, where that is necessary.
  bool IsWithinDeduplicationScope(const ActiveRequest& request, const TrackedServer& server) const;
  // If the server can't take any request now, excludes it in the index until that may have changed, and
  // returns true. Refills its send credit.
  bool DeactivateIfNotReady(TrackedServer& server);
  // Returns a random server that is ready and allowed and not `excluded`, or null.
  template <typename Predicate>
  TrackedServer* SampleServer(const ActiveRequest& request, Predicate is_allowed,
                              const TrackedServer* excluded);
  // Returns the server to send the request to, or null if none is ready.
  TrackedServer* SelectServer(const ActiveRequest& request);

  // --- token_bucket.cpp
  // Sets now_, refills the token bucket and decays rates. Time never goes backwards.
  void AdvanceClock(Millis now);
  // Refill rate in tokens per second to start with.
  double InitialRefillRate() const;
  // Longer where servers are highly shared, because each gateway sends little.
  Millis SpentRateWindow() const { return kSpentRateWindowMs * (IsHighlyShared() ? 4 : 1); }
  // Tokens spent per second.
  double SpentRate() const;
  // Whether enough requests are in flight to load the servers.
  bool AreServersLoaded() const;
  // Increases or decreases the refill rate after an outcome.
  void UpdateRefillRate(const TrackedServer& server, const ActiveRequest& request, const Outcome& outcome);

  // --- queues.cpp
  // Recomputes the classes' weights in most-credit-first scheduling.
  void UpdateClassWeights(Millis elapsed);
  // Returns whether the request is within its tenant's quota, and takes a token from it.
  bool TakeTenantQuota(const std::string& tenant, bool is_client_retry);
  void HandleEvent(const Request& event);
  // Adds the request to its class's queue, or refuses it or a surplus request if the queue is full.
  void EnqueueOrRefuse(ActiveRequest& request);
  // The time at which the request gets its final answer if it is still queued.
  Millis QueueDeadline(const ActiveRequest& request) const;
  // Sends the final answer to queued requests past their QueueDeadline.
  void ExpireQueuedRequests();
  // Without a free connection the gateway could not send, which would waste a token and an attempt.
  bool HasFreeConnection() const {
    return settings_.max_in_flight <= 0 || attempts_in_flight_ < settings_.max_in_flight;
  }
  // Sends queued requests while there are tokens, connections and servers for them.
  void ReleaseQueuedRequests();

  // --- attempts.cpp
  // Emits a Send for the request, and takes a token and send credit for it.
  void SendAttempt(ActiveRequest& request, TrackedServer& server);
  void HandleEvent(Outcome outcome);
  // Adds a client's cost estimate to the mean.
  void RecordEstimatedCost(Millis cost);
  // Adds a latency sample to the means of the class and of all classes.
  void RecordClassLatency(ClassState& class_state, Millis latency);
  // After a failed attempt: queues a retry, or sends the final answer.
  void RetryOrAnswer(ActiveRequest& request, Result result);
  // Refuses the request if a retry by the client is harmless, else fails it. `request` may be invalid
  // afterwards.
  void SendFinalAnswer(ActiveRequest& request, Cause cause);
  // Refuse::retry_after; 0 if clients do not receive it.
  Millis RetryAfterAdvice() const;
  // Removes the request if it has its final answer and no attempt in flight. `request` may be invalid
  // afterwards.
  void RemoveIfFinished(ActiveRequest& request);

  ServerIndex server_index_;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_MODULE_IMPL_HPP_
