// Server selection: the better of two ready servers, which are chosen at random ("power of two choices") or,
// with key affinity, by weighted rendezvous hashing.
#include "module/impl.hpp"

namespace opalswitch {

// The median latency is recomputed after this fraction (1/16) of the servers has new latency samples.
constexpr std::size_t kMedianUpdateDivisor = 16;
// Cost of a server in another zone relative to one in the gateway's zone: traffic between zones has a price.
constexpr double kCrossZoneCostFactor = 1.3;
// The mean latency of a server's kind counts as this many samples of the server.
constexpr double kKindPriorSamples = 2;
// Random draws of a server that may fail before a linear scan; also the maximum number of probes and of
// servers with an ended backoff that are considered at once.
constexpr int kMaxDraws = 32;
// Maximum number of servers that the linear scan considers.
constexpr std::size_t kMaxScanLength = 256;
// Kept before the end of a repeat window: a gateway may be held up for this time between reading its clock
// and writing.
constexpr Millis kRepeatWindowMarginMs = 150;
// Maximum time until the send credit of a server is checked again.
constexpr Millis kMaxCreditWaitMs = 100;

double Policy::Impl::MedianLatency() {
  if (latency_updates_ * kMedianUpdateDivisor < servers_.size() && std::exchange(has_median_, true))
    return median_latency_;
  latency_updates_ = 0;
  median_scratch_.clear();
  for (auto& [id, server] : servers_) {
    if (server.is_up && server.latency_ewma > 0) median_scratch_.push_back(server.latency_ewma);
  }
  return median_latency_ = MedianOf(median_scratch_);
}

double Policy::Impl::SelectionCost(const TrackedServer& server) {
  // Where many gateways share a server, each has few samples of it: these are shrunk towards the mean of its
  // kind.
  const double prior_samples =
      IsHighlyShared() && server.kind_stats->latency_ewma > 0 ? kKindPriorSamples : 0;
  const double own_samples = std::min(1.0 * server.latency_samples, 1 / kLatencySmoothingFactor);
  const double total_samples = own_samples + prior_samples;
  const double latency =
      (own_samples * server.latency_ewma + prior_samples * server.kind_stats->latency_ewma) /
      std::max(1.0, total_samples);
  const double zone_cost = server.info.zone == settings_.zone ? 1 : kCrossZoneCostFactor;
  return zone_cost * (server.in_flight + 1) * (total_samples > 0 ? latency : std::max(1.0, MedianLatency()));
}

// The time from which a request must not be sent again because servers may no longer drop its repeats;
// infinite if no attempt may have run or the class is not keyed.
Millis Policy::Impl::RepeatDeadline(const ActiveRequest& request) const {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const Attempt* const first_run =
      class_settings.effect == Effect::kKeyed ? request.FirstAttemptThatMayHaveRun() : nullptr;
  if (first_run == nullptr) return std::numeric_limits<Millis>::infinity();
  return first_run->sent_at + class_settings.repeat_window - kRepeatWindowMarginMs;
}

// A keyed request that may have run must stay with the servers that drop its repeats, and within the window
// in which they do. Other effects are checked before a retry is queued.
bool Policy::Impl::IsWithinDeduplicationScope(const ActiveRequest& request,
                                              const TrackedServer& server) const {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const Attempt* first_run =
      class_settings.effect == Effect::kKeyed ? request.FirstAttemptThatMayHaveRun() : nullptr;
  if (first_run == nullptr) return true;
  if (now_ >= RepeatDeadline(request)) return false;
  const Server& first_server = first_run->server->info;
  if (class_settings.group == DeduplicationScope::kZone) return first_server.zone == server.info.zone;
  return class_settings.group == DeduplicationScope::kAll || first_server.cell == server.info.cell;
}

bool Policy::Impl::DeactivateIfNotReady(TrackedServer& server) {
  if (!IsHighlyShared()) {
    if (now_ < server.backoff_until) {
      server_index_.MarkNotReadyUntil(server, server.backoff_until);
      return true;
    }
    if (server.in_flight >= server.concurrency_slots) {
      server_index_.MarkNotReady(server);
      return true;
    }
  }
  if (RefillAndCheckSendCredit(server)) return false;
  const Millis wait = (1 - server.send_credit) / std::max(SendBudgetPerMs(server), 1e-9);
  server_index_.MarkNotReadyUntil(server, now_ + std::clamp(wait, 1.0, kMaxCreditWaitMs));
  return true;
}

template <typename Predicate>
TrackedServer* Policy::Impl::SampleServer(const ActiveRequest& request, Predicate is_allowed,
                                          const TrackedServer* excluded) {
  const auto matches = [&](TrackedServer& server) {
    return &server != excluded && is_allowed(server) && CanTakeRequest(server, request.within_quota);
  };
  for (int draws = 0; draws < kMaxDraws && server_index_.ready_count() > 0;) {
    TrackedServer& server = server_index_.ready_server(random_() % server_index_.ready_count());
    // Not counted as a draw: it removes the server from the ready ones, so its cost is that of adding the
    // server.
    if (DeactivateIfNotReady(server)) continue;
    if (matches(server)) return &server;
    ++draws;
  }
  // None found at random: scan from a random position.
  const std::size_t ready = server_index_.ready_count();
  const std::size_t first = ready > 0 ? random_() % ready : 0;
  for (std::size_t i = 0; i < std::min(ready, kMaxScanLength); ++i) {
    TrackedServer& server = server_index_.ready_server((first + i) % ready);
    if (matches(server)) return &server;
  }
  return nullptr;
}

// Of two candidates, takes the one with the lower (own requests in flight + 1) x latency.
TrackedServer* Policy::Impl::SelectServer(const ActiveRequest& request) {
  const bool can_probe =
      classes_[request.class_index].settings.effect == Effect::kSafe && request.attempts.empty();
  const TrackedServer* last_server = request.attempts.empty() ? nullptr : request.attempts.back().server;
  const auto is_allowed = [&](const TrackedServer& server) {
    return &server != last_server && IsWithinDeduplicationScope(request, server);
  };
  // Ejected servers are probed with requests that may run again, one probe at a time.
  if (can_probe) {
    const auto matches = [&](TrackedServer& server) {
      return is_allowed(server) && RefillAndCheckSendCredit(server);
    };
    if (TrackedServer* const server = server_index_.FindDueProbe(now_, kMaxDraws, matches)) return server;
  }
  server_index_.ReactivateDueServers(now_, kMaxDraws);
  const bool by_key = settings_.has_key_affinity && request.key_hash != 0;
  if (!by_key && server_index_.ready_count() > kMaxServersForFullScan) {
    TrackedServer* const first_choice = SampleServer(request, is_allowed, nullptr);
    TrackedServer* const second_choice =
        first_choice == nullptr ? nullptr : SampleServer(request, is_allowed, first_choice);
    return second_choice != nullptr && SelectionCost(*second_choice) < SelectionCost(*first_choice)
               ? second_choice
               : first_choice;
  }
  candidates_.clear();
  for (std::size_t i = 0; i < server_index_.ready_count();) {
    TrackedServer& server = server_index_.ready_server(i);
    if (DeactivateIfNotReady(server)) continue;  // another server has taken position i
    if (is_allowed(server) && CanTakeRequest(server, request.within_quota))
      candidates_.push_back({0, &server});
    ++i;
  }
  if (candidates_.empty()) return nullptr;
  if (candidates_.size() > 2) {
    if (by_key) {
      // Weighted rendezvous hashing, lowest rank first. Adding or removing a server moves only its own keys.
      for (auto& [rank, server] : candidates_)
        rank = -std::log(HashToUnitInterval(request.key_hash ^ server->hash)) / server->info.weight;
      std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                        [](const auto& x, const auto& y) { return x.first < y.first; });
    } else {
      const std::size_t count = candidates_.size();
      std::swap(candidates_[0], candidates_[random_() % count]);
      std::swap(candidates_[1], candidates_[1 + random_() % (count - 1)]);
    }
  }
  TrackedServer* const first_choice = candidates_.front().second;
  TrackedServer* const second_choice = candidates_.size() > 1 ? candidates_[1].second : first_choice;
  return SelectionCost(*second_choice) < SelectionCost(*first_choice) ? second_choice : first_choice;
}

}  // namespace opalswitch
