// A discovery service under faults, for one gateway: outages, calls that fail by themselves, watches that
// fall silent, and series of moves to new addresses, while hosts begin to drain. It records when the gateway
// counts as knowing of each drain.
#ifndef OPALSWITCH_TESTS_STANDINS_FAULTY_DISCOVERY_HPP_
#define OPALSWITCH_TESTS_STANDINS_FAULTY_DISCOVERY_HPP_

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway_process.hpp"
#include "standins/discovery_service.hpp"

namespace opalswitch::testing {

class FaultyDiscovery {
 public:
  using Duration = std::chrono::milliseconds;
  using Reaction = DiscoveryService::Reaction;

  struct Drain {
    std::size_t host = 0;
    std::optional<SteadyTime> written_at;  // when a list with it was first written to the gateway
    SteadyTime known_at;                   // when it counts as known at the latest, by the pages' rules
    bool is_cut_by_outage = false;         // discovery went down before known_at, and stayed down until then
  };

  FaultyDiscovery(asio::io_context& io, unsigned seed, const std::vector<tcp::endpoint>& hosts)
      : io_(io), random_(seed), hosts_(hosts), phases_(hosts.size(), "up") {
    AddService();
  }

  tcp::endpoint address() const { return services_.back()->address(); }

  // Begins the faults; `gateway` is moved to new addresses.
  void Start(GatewayProcess& gateway) {
    gateway_ = &gateway;
    ScheduleOutage();
    ScheduleDrain();
    ScheduleMoves();
  }
  // Ends all further faults. Calls are still answered.
  void Stop() { is_stopped_ = true; }

  // Moves the gateway `count` times, `interval` apart.
  void Move(int count, Duration interval) {
    AddService();
    gateway_->MoveDiscovery(address());
    if (count > 1) After(interval, [=, this] { Move(count - 1, interval); });
  }

  const std::vector<Drain>& drains() const { return drains_; }

 private:
  // Calls that fail by themselves between two lists, weighted: what the gateway is to cope with.
  static constexpr int kMaxFailures = 3, kMaxFailuresAfterSilentWatch = 4;
  static constexpr int kQuickFailure = 1, kSilentCall = 2;
  static constexpr Duration kLongWait{500};  // of a watch, rather than a call after a failure
  static constexpr Duration kKnownAfterReachable{6000}, kKnownAfterWait{2000};

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }
  Duration Between(int min, int max) { return Duration(min + static_cast<int>(random_() % (max - min + 1))); }
  bool Happens(unsigned percent) { return random_() % 100 < percent; }

  template <typename Function>
  void After(Duration delay, Function function) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, timer, function](error_code) {
      if (!is_stopped_) function();
    });
  }

  void AddService() {
    DiscoveryService& service = *services_.emplace_back(std::make_unique<DiscoveryService>(io_));
    service.Publish(Members());
    service.react = [this, &service](int) { return React(service); };
    // Lists of former addresses may be dropped by the gateway, so they count for nothing here.
    service.on_written = [this, &service] {
      if (&service != services_.back().get()) return;
      failures_ = 0;
      for (Drain& drain : drains_) {
        if (!drain.written_at) drain.written_at = Now();
        drain.known_at = std::min(drain.known_at, *drain.written_at);
      }
    };
  }

  std::vector<nlohmann::json> Members() const {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      members.push_back(Member("h" + std::to_string(i), hosts_[i], phases_[i]));
    return members;
  }

  Reaction React(DiscoveryService& service) {
    service.delay = Between(10, 300);
    if (is_stopped_) return Reaction::kServe;
    if (is_down_) {
      service.delay = Duration(2);
      return Reaction::kReset;
    }
    const bool is_watch = service.last_wait() > kLongWait;
    if (failures_ == 0) begins_with_silent_watch_ = false;
    const int limit = begins_with_silent_watch_ ? kMaxFailuresAfterSilentWatch : kMaxFailures;
    if (is_watch && failures_ == 0 && Happens(15)) {
      begins_with_silent_watch_ = true;
      failures_ = kSilentCall;
      silent_until_ = Now() + service.last_wait() + kKnownAfterWait;
      return Reaction::kStaySilent;
    }
    if (!is_watch && failures_ + kSilentCall <= limit && Happens(15)) {
      failures_ += kSilentCall;
      return Reaction::kStaySilent;
    }
    if (failures_ + kQuickFailure <= limit && Happens(30)) {
      failures_ += kQuickFailure;
      service.delay = Duration(5);
      return Happens(50) ? Reaction::kReset : Reaction::kErrorStatus;
    }
    return Reaction::kServe;
  }

  void ScheduleOutage() {
    After(Between(500, 8000), [this] {
      is_down_ = true;
      for (const auto& service : services_) service->EndWatches();
      for (Drain& drain : drains_) {
        if (!drain.written_at && drain.known_at > Now()) drain.is_cut_by_outage = true;
      }
      After(Between(100, 6000), [this] {
        is_down_ = false;
        failures_ = 0;
        // Changes that the gateway does not know yet count from the moment at which discovery is back.
        for (Drain& drain : drains_) {
          if (drain.written_at || drain.known_at <= Now()) continue;
          drain.known_at = KnownAt(Now());
          drain.is_cut_by_outage = false;
        }
        ScheduleOutage();
      });
    });
  }

  SteadyTime KnownAt(SteadyTime reachable_at) const {
    return std::max(reachable_at + kKnownAfterReachable, silent_until_);
  }

  // Two hosts never drain, so that there is always one to send to.
  void ScheduleDrain() {
    After(Between(300, 3500), [this] {
      const std::size_t host = drains_.size();
      if (host + 2 >= hosts_.size()) return;
      phases_[host] = Happens(50) ? "draining" : "removed";
      // What an outage adds is known at its end.
      drains_.push_back({host, std::nullopt, is_down_ ? SteadyTime::max() : KnownAt(Now())});
      const auto change = Member("h" + std::to_string(host), hosts_[host], phases_[host]);
      for (const auto& service : services_) service->Publish({change});
      ScheduleDrain();
    });
  }

  void ScheduleMoves() {
    After(Between(2000, 9000), [this] {
      Move(static_cast<int>(1 + random_() % 12), Between(50, 400));
      ScheduleMoves();
    });
  }

  asio::io_context& io_;
  std::mt19937 random_;
  const std::vector<tcp::endpoint> hosts_;
  std::vector<std::string> phases_;
  GatewayProcess* gateway_ = nullptr;
  std::vector<std::unique_ptr<DiscoveryService>> services_;
  std::vector<Drain> drains_;
  SteadyTime silent_until_ = SteadyTime::min();  // when changes during the last silent watch count as known
  int failures_ = 0;
  bool begins_with_silent_watch_ = false;
  bool is_down_ = false;
  bool is_stopped_ = false;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_FAULTY_DISCOVERY_HPP_
