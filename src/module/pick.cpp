// Which of the ready servers a request goes to: the better of two.
#include "module/impl.hpp"

namespace opalswitch {

constexpr std::size_t kMedianUpdateDivisor =
    16;  // of the servers one in so many: measurements by which it may lag
constexpr double kCrossZoneCostFactor =
    1.3;  // cost of a server in another zone, times its own: crossing is priced
constexpr double kKindPriorSamples = 2;      // samples that the latency of a server's kind counts for
constexpr std::size_t kMaxScanLength = 256;  // of more, that are gone through at the most
constexpr int kMaxDraws = 32;  // draws in vain before that; also trials, and rests that end, at once
constexpr Millis kMaxCreditWaitMs = 100;  // ms until a cold server's credit is looked at again

// Of all latencies. Of many servers it is found anew only after a part of them has been measured again.
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
  // A few samples of a server tell little: where many share it they are shrunk toward those of its kind.
  const double prior_samples =
      IsHighlyShared() && server.kind_stats->latency_ewma > 0 ? kKindPriorSamples : 0;
  const double own_samples = std::min(1.0 * server.latency_samples, 1 / kLatencySmoothingFactor),
               total_samples = own_samples + prior_samples;
  const double latency =
      (own_samples * server.latency_ewma + prior_samples * server.kind_stats->latency_ewma) /
      std::max(1.0, total_samples);
  const double zone_cost = server.info.zone == settings_.zone ? 1 : kCrossZoneCostFactor;
  return zone_cost * (server.in_flight + 1) * (total_samples > 0 ? latency : std::max(1.0, MedianLatency()));
}

// Rule 2: a keyed request that may have run stays with the servers that drop its repeats.
bool Policy::Impl::IsWithinDeduplicationScope(const ActiveRequest& request,
                                              const TrackedServer& server) const {
  const ClassSettings& class_settings = classes_[request.class_index].settings;
  const Attempt* first_run =
      class_settings.effect == Effect::kKeyed ? request.FirstAttemptThatMayHaveRun() : nullptr;
  if (first_run == nullptr) return true;
  if (now_ - first_run->sent_at >= class_settings.repeat_window) return false;
  const Server& first_server = first_run->server->info;
  if (class_settings.group == DeduplicationScope::kZone) return first_server.zone == server.info.zone;
  return class_settings.group == DeduplicationScope::kAll || first_server.cell == server.info.cell;
}

// Whether it is ready for nobody now. Then it is kept apart until its time, or an event, may change that.
bool Policy::Impl::DeactivateIfNotReady(TrackedServer& server) {
  if (!IsHighlyShared()) {
    if (now_ < server.backoff_until)
      return server_index_.MarkNotReadyUntil(server, server.backoff_until), true;
    if (server.in_flight >= server.concurrency_slots) return server_index_.MarkNotReady(server), true;
  }
  if (RefillSendCredit(server)) return false;
  const Millis wait = (1 - server.send_credit) / std::max(SendBudgetPerMs(server), 1e-9);
  return server_index_.MarkNotReadyUntil(server, now_ + std::clamp(wait, 1.0, kMaxCreditWaitMs)), true;
}

template <typename Predicate>
TrackedServer* Policy::Impl::SampleServer(const ActiveRequest& request, Predicate is_allowed,
                                          const TrackedServer* excluded) {
  const auto matches = [&](TrackedServer& server) {
    return &server != excluded && is_allowed(server) && CanTakeRequest(server, request.within_quota);
  };
  for (int draws = 0; draws < kMaxDraws && server_index_.ready_count() > 0;) {
    TrackedServer& server = server_index_.ready_server(random_() % server_index_.ready_count());
    if (DeactivateIfNotReady(server)) continue;  // paid for by what opened it
    if (matches(server)) return &server;
    ++draws;
  }
  const std::size_t all = server_index_.ready_count(), first = all > 0 ? random_() % all : 0;
  for (std::size_t i = 0; i < std::min(all, kMaxScanLength); ++i) {
    TrackedServer& server = server_index_.ready_server((first + i) % all);
    if (matches(server)) return &server;
  }
  return nullptr;
}

// The better of two ready servers by (own in-flight + 1) x smoothed latency, or null.
TrackedServer* Policy::Impl::SelectServer(const ActiveRequest& request) {
  const bool repeatable =
      classes_[request.class_index].settings.effect == Effect::kSafe && request.attempts.empty();
  const TrackedServer* last_server = request.attempts.empty() ? nullptr : request.attempts.back().server;
  const auto is_allowed = [&](const TrackedServer& server) {
    return &server != last_server && IsWithinDeduplicationScope(request, server);
  };
  // A suspect returns by one trial at a time, with a request that may run again.
  if (repeatable) {
    const auto matches = [&](TrackedServer& server) {
      return is_allowed(server) && RefillSendCredit(server);
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
    if (DeactivateIfNotReady(server)) continue;  // another is in its place now
    if (is_allowed(server) && CanTakeRequest(server, request.within_quota))
      candidates_.push_back({0, &server});
    ++i;
  }
  if (candidates_.empty()) return nullptr;
  if (candidates_.size() > 2) {
    if (by_key) {
      // Weighted rendezvous: lowest first; a server's coming or going moves only its own keys.
      for (auto& [rank, server] : candidates_)
        rank = -std::log(HashToUnitInterval(request.key_hash ^ server->hash)) / server->info.weight;
      std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                        [](const auto& x, const auto& y) { return x.first < y.first; });
    } else {
      const std::size_t n = candidates_.size();
      std::swap(candidates_[0], candidates_[random_() % n]);
      std::swap(candidates_[1], candidates_[1 + random_() % (n - 1)]);
    }
  }
  TrackedServer* const first_choice = candidates_.front().second;
  TrackedServer* const second_choice = candidates_.size() > 1 ? candidates_[1].second : first_choice;
  return SelectionCost(*second_choice) < SelectionCost(*first_choice) ? second_choice : first_choice;
}

}  // namespace opalswitch
