// Which servers are left out for failing, and how they come back.
#include "module/impl.hpp"

namespace opalswitch {

constexpr double kMaxLatencyStep = 3;  // times the usual latency, that one late answer counts for
constexpr double kMaxLatencyStepWithCost =
    10;  // the same where it is set right by a guess, which may be wrong itself
constexpr double kMinAimFraction = 0.5;  // part of the aim that an attempt is given at the least, usually
constexpr double kEjectionFailureRate = 0.3;  // failing share above which a server is suspect
constexpr double kFleetFailureSmoothingFactor =
    0.02;  // weight of a new outcome in the failing share of all trusted servers
constexpr double kRecoveryFailureRate =
    0.1;  // failing share below which, after trials, a suspect is trusted again
constexpr double kSevereFailureRate = 0.7;  // the same where too few would be left: these hardly serve at all
constexpr double kMinAvailableFraction = 0.5;  // part of all servers, by weight, below which too few are left
constexpr double kFailureRateDeviations = 3;   // standard deviations from that which chance is granted
constexpr Millis kMaxProbeIntervalMs = 4000;   // ms; longest gap between trials
constexpr Millis kRestartSilenceMs = 1000;     // ms of silence after which failed connections mean a death

void Policy::Impl::EjectServer(TrackedServer& server) {
  const bool was_ejected = std::exchange(server.is_ejected, true);
  server.failure_rate = std::min(server.failure_rate,
                                 kSevereFailureRate);  // out for longer is no worse: the way back is as short
  server.next_probe_at = now_ + server.probe_interval * (0.75 + 0.5 * Uniform());
  server.probe_interval = TooFewOthersAvailable(server)
                              ? kInitialProbeIntervalMs
                              : std::min(server.probe_interval * 2, kMaxProbeIntervalMs);
  if (was_ejected) return;
  LogRateLimited("server " + server.info.id + " not ready: failing");
  UpdateSubset(&server);
}

// Outlier detection: failures that all servers have alike (a network that resets connections, errors of a
// release) say little of one of them, and leaving servers out for those leaves nowhere to send. So a server
// is held against what the trusted ones fail: out beyond chance's spread round that, back under it and a
// little more. It could hurt where nearly all fail and a few do not, by less than the spread. And where half
// of them are out, the others bear twice their load: then only those that serve next to nothing are left out.
double Policy::Impl::EjectionThreshold(const TrackedServer& server) const {
  const double deviation = std::sqrt(server_failure_rate_ * (1 - server_failure_rate_) *
                                     kFailureSmoothingFactor / (2 - kFailureSmoothingFactor));
  return std::max(TooFewOthersAvailable(server) ? kSevereFailureRate : kEjectionFailureRate,
                  server_failure_rate_ + kFailureRateDeviations * deviation);
}
double Policy::Impl::RecoveryThreshold(const TrackedServer& server) const {
  return TooFewOthersAvailable(server) ? kSevereFailureRate : kRecoveryFailureRate + server_failure_rate_;
}
bool Policy::Impl::TooFewOthersAvailable(const TrackedServer& server) const {
  const double others_weight =
      server_index_.available_weight() - (server.is_ejected ? 0 : server.counted_available_weight);
  return others_weight < kMinAvailableFraction * server_index_.up_weight();
}

// A request's work over the mean of all: by what the client guesses, else by its class's latency. 1 until
// something was learned.
double Policy::Impl::RelativeWork(const ActiveRequest& request) const {
  if (request.estimated_cost > 0) return request.estimated_cost / mean_estimated_cost_;
  const double latency = classes_[request.class_index].latency_ewma;
  return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
}

// One answer that is many times later than usual was held up on its way, and one in a hundred of these would
// halve a limit for good. It counts for a step upwards; the next one as late, as in a jam, for all it is.
double Policy::Impl::ClampLatencyOutlier(TrackedServer& server, double sample) {
  const double previous_sample = std::exchange(server.last_latency_sample, sample);
  const bool has_cost_estimates = mean_estimated_cost_ > 0;
  const double usual_latency = server.latency_samples >= kMinLatencySamples ? server.latency_ewma
                               : has_cost_estimates || server.kind_stats->latency_samples < kMinLatencySamples
                                   ? sample
                                   : server.kind_stats->latency_ewma;
  return std::min(sample,
                  std::max((has_cost_estimates ? kMaxLatencyStepWithCost : kMaxLatencyStep) * usual_latency,
                           previous_sample));
}

// A time-out of an attempt that had little of the usual time tells of a client that leaves early, not of the
// server.
bool Policy::Impl::HadTooLittleTime(const ActiveRequest& request, const Outcome& outcome) const {
  const Millis time_given = request.client_deadline - request.attempts[outcome.attempt].sent_at;
  return outcome.result == Result::kTimedOut &&
         time_given < kMinAimFraction * classes_[request.class_index].settings.aim;
}

void Policy::Impl::RecordServerOutcome(TrackedServer& server, const ActiveRequest& request,
                                       const Outcome& outcome) {
  const bool is_served = outcome.result == Result::kServed;
  if (outcome.result == Result::kRejected) {  // full is not ill; its latency shows the crowding
    // Resting it keeps its quick refusals, which leave it idle, from drawing ever more to it.
    server.backoff_until = std::max(server.backoff_until, now_ + server.latency_ewma);
    UpdateSendBudget(server, kMaxUtilization);
    if (server.is_ejected)
      EjectServer(server);  // but one that hangs fills up: a trial that it turns away has failed
    return;
  }
  // A crowded server fails connections too: only one that long served nothing may be a new process.
  const bool connection_failed = outcome.result == Result::kConnectFailed || outcome.result == Result::kReset;
  if (connection_failed && server.failure_rate >= kFailureSmoothingFactor &&
      now_ - server.last_success_at > kRestartSilenceMs)
    server.may_have_restarted = true;
  // One slow request among others that were answered meanwhile says nothing about the server.
  const bool is_slow_request =
      outcome.result == Result::kTimedOut &&
      (server.last_success_at > now_ - outcome.latency || HadTooLittleTime(request, outcome));
  if (is_served) server.last_success_at = now_;
  if (outcome.result == Result::kTimedOut && !HadTooLittleTime(request, outcome))
    UpdateSendBudget(server, kMaxUtilization);
  if (is_served && CapacityFraction(server) >= 1) warm_responses_ += 1;
  if (!is_slow_request)
    server.failure_rate += kFailureSmoothingFactor * ((is_served ? 0.0 : 1.0) - server.failure_rate);
  if (!is_slow_request && !server.is_ejected)
    server_failure_rate_ += kFleetFailureSmoothingFactor * ((is_served ? 0.0 : 1.0) - server_failure_rate_);
  if (is_served && server.is_ejected) {
    server.next_probe_at = now_;
    server.probe_interval = kInitialProbeIntervalMs;
    server.is_ejected = server.failure_rate >= RecoveryThreshold(server);
    if (server.may_have_restarted) ResetServer(server, now_);
    if (!server.is_ejected) {
      LogRateLimited("server " + server.info.id + " ready again");
      UpdateSubset(&server);
    }
  } else if (!is_served && !is_slow_request &&
             (server.failure_rate > EjectionThreshold(server) || server.is_ejected)) {
    EjectServer(server);
  }
  const double work = RelativeWork(request);
  const double sample = ClampLatencyOutlier(server, outcome.latency / work);
  // A failure never lowers the latency: fast errors would look like a fast server. And what never came,
  // though others did, or a connection that broke, took no time of the server's: it was lost on the way.
  if (is_served || (!is_slow_request && !connection_failed && sample > server.latency_ewma))
    UpdateConcurrencyLimit(server, sample,
                           std::min(request.estimated_cost > 0 ? work : 1.0, kMaxRelativeWork), is_served);
  // A few gateways may have to share a server that takes fewer requests than there are gateways.
  if (server.concurrency_limit < 1)
    server.backoff_until = now_ + outcome.latency * (1 / server.concurrency_limit - 1);
  // Drawn anew each time: rounding up would crowd a server by a request for each gateway.
  server.concurrency_slots = std::max(1.0, std::floor(server.concurrency_limit + Uniform()));
}

}  // namespace opalswitch
