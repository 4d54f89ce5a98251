// Outlier detection: ejects servers that fail more than the others, probes them, and uses them again once
// they have recovered. Also feeds latency samples to the concurrency limits.
#include "module/impl.hpp"

namespace opalswitch {

// A single latency sample counts for at most this multiple of the usual latency.
constexpr double kMaxLatencyStep = 3;
// The same with cost estimates, which normalize the samples but may be wrong themselves.
constexpr double kMaxLatencyStepWithCost = 10;
// A time-out after less than this fraction of the aim does not count as a failure of the server.
constexpr double kMinAimFraction = 0.5;
// Minimum failure rate above which a server is ejected.
constexpr double kEjectionFailureRate = 0.3;
// Smoothing factor of the failure rate over all servers that are not ejected.
constexpr double kFleetFailureSmoothingFactor = 0.02;
// An ejected server is used again below this failure rate, plus that of the other servers.
constexpr double kRecoveryFailureRate = 0.1;
// Replaces both rates where too few other servers are available: only servers that hardly serve at all are
// ejected.
constexpr double kSevereFailureRate = 0.7;
// Too few servers are available when they have less than this fraction of the weight of all servers.
constexpr double kMinAvailableFraction = 0.5;
// Standard deviations by which a server's failure rate may exceed that of the other servers by chance.
constexpr double kFailureRateDeviations = 3;
// Maximum time between probes.
constexpr Millis kMaxProbeIntervalMs = 4000;
// If connections fail after a server has served nothing for this long, it may have restarted.
constexpr Millis kRestartSilenceMs = 1000;

void Policy::Impl::EjectServer(TrackedServer& server) {
  const bool was_ejected = std::exchange(server.is_ejected, true);
  // Capped so that recovery does not take longer after a long ejection.
  server.failure_rate = std::min(server.failure_rate, kSevereFailureRate);
  // The probe interval has a jitter of 25%.
  server.next_probe_at = now_ + server.probe_interval * (0.75 + 0.5 * Uniform());
  server.probe_interval = TooFewOthersAvailable(server)
                              ? kInitialProbeIntervalMs
                              : std::min(server.probe_interval * 2, kMaxProbeIntervalMs);
  if (was_ejected) return;
  LogRateLimited("server " + server.info.id + " not ready: failing");
  UpdateSubset(&server);
}

// Failures that affect all servers alike, such as connection resets in the network or errors of a new
// release, say little about a single server, and ejecting servers for them leaves no server to send to. So a
// server's failure rate is compared with that of the servers that are not ejected: it is ejected above their
// rate plus a tolerance for random variation, and used again below their rate plus a smaller margin.
// Limitation: where nearly all servers fail, the few that do not are not told apart if the difference is
// within that tolerance. Where half of the servers are ejected, the others get twice their load, so only
// servers that serve almost nothing are ejected then.
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

// Based on the client's cost estimate, or else on the latency of the request's class.
double Policy::Impl::RelativeWork(const ActiveRequest& request) const {
  if (request.estimated_cost > 0) return request.estimated_cost / mean_estimated_cost_;
  const double latency = classes_[request.class_index].latency_ewma;
  return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
}

// A single response with many times the usual latency was probably delayed by the network; one such sample in
// a hundred would halve the concurrency limit permanently. It counts for a limited step. A second high sample
// in a row, as in an overload, counts in full, up to the value of the first.
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

// A time-out of an attempt with much less than the usual time is caused by the client's short deadline, not
// by the server.
bool Policy::Impl::HadTooLittleTime(const ActiveRequest& request, const Outcome& outcome) const {
  const Millis time_given = request.client_deadline - request.attempts[outcome.attempt].sent_at;
  return outcome.result == Result::kTimedOut &&
         time_given < kMinAimFraction * classes_[request.class_index].settings.aim;
}

void Policy::Impl::RecordServerOutcome(TrackedServer& server, const ActiveRequest& request,
                                       const Outcome& outcome) {
  const bool is_served = outcome.result == Result::kServed;
  if (outcome.result == Result::kRejected) {
    // A full server is not faulty; its load shows in its latency. The backoff keeps its fast rejections,
    // which leave it with few requests in flight, from attracting more and more requests.
    server.backoff_until = std::max(server.backoff_until, now_ + server.latency_ewma);
    UpdateSendBudget(server, kMaxUtilization);
    // A server that hangs fills up, so a rejected probe has failed.
    if (server.is_ejected) EjectServer(server);
    return;
  }
  // Overloaded servers fail connections, too. Only one that has served nothing for a while may have
  // restarted.
  const bool connection_failed = outcome.result == Result::kConnectFailed || outcome.result == Result::kReset;
  if (connection_failed && server.failure_rate >= kFailureSmoothingFactor &&
      now_ - server.last_success_at > kRestartSilenceMs)
    server.may_have_restarted = true;
  // A time-out while the server answered other requests is caused by the request, not by the server.
  const bool is_excused_timeout =
      outcome.result == Result::kTimedOut &&
      (server.last_success_at > now_ - outcome.latency || HadTooLittleTime(request, outcome));
  if (is_served) server.last_success_at = now_;
  if (outcome.result == Result::kTimedOut && !HadTooLittleTime(request, outcome))
    UpdateSendBudget(server, kMaxUtilization);
  if (is_served && CapacityFraction(server) >= 1) warm_responses_ += 1;
  if (!is_excused_timeout)
    server.failure_rate += kFailureSmoothingFactor * ((is_served ? 0.0 : 1.0) - server.failure_rate);
  if (!is_excused_timeout && !server.is_ejected)
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
  } else if (!is_served && !is_excused_timeout &&
             (server.failure_rate > EjectionThreshold(server) || server.is_ejected)) {
    EjectServer(server);
  }
  const double work = RelativeWork(request);
  const double sample = ClampLatencyOutlier(server, outcome.latency / work);
  // Failures must not lower the latency: a server with fast errors would look fast. Connection failures, and
  // time-outs while other requests were answered, are not samples at all: no server time was spent on them.
  if (is_served || (!is_excused_timeout && !connection_failed && sample > server.latency_ewma))
    UpdateConcurrencyLimit(server, sample,
                           std::min(request.estimated_cost > 0 ? work : 1.0, kMaxRelativeWork), is_served);
  // With a limit below 1, the server pauses between requests: it can take fewer requests than there are
  // gateways.
  if (server.concurrency_limit < 1)
    server.backoff_until = now_ + outcome.latency * (1 / server.concurrency_limit - 1);
  // Rounded at random each time: rounding up would overload the server by up to one request per gateway.
  server.concurrency_slots = std::max(1.0, std::floor(server.concurrency_limit + Uniform()));
}

}  // namespace opalswitch
