// A gateway's calls of the discovery service, simulated: the decision module and the watch schedule are the
// real ones; clock, service and network are simulated.
#ifndef OPALSWITCH_TESTS_STANDINS_SIMULATED_CALLER_HPP_
#define OPALSWITCH_TESTS_STANDINS_SIMULATED_CALLER_HPP_

#include <algorithm>
#include <limits>
#include <optional>
#include <random>

#include "gateway.hpp"
#include "membership/watch_schedule.hpp"

namespace opalswitch::testing {

constexpr Millis kTickMs = 10;
constexpr Millis kLongestStart = 5000;  // until the first watch of a gateway

// How a call ends, and when on the caller's clock.
struct SimulatedResponse {
  Millis at = 0;
  std::optional<gateway::WatchFailure> failure;  // unset: the newest list

  static SimulatedResponse Never() {
    return {std::numeric_limits<Millis>::infinity(), gateway::WatchFailure::kTimeout};
  }
};

// A gateway that calls a simulated service. The service is any type with
//   SimulatedResponse Call(Millis now)
class SimulatedCaller {
 public:
  // How the first watch ends: by discovery, or by falling silent with its first moment.
  enum class FirstEnd { kEndedByDiscovery, kSilent };

  SimulatedCaller(int gateways, int index, FirstEnd first_end = FirstEnd::kEndedByDiscovery)
      : random_(static_cast<unsigned>(index) + 1), schedule_(41) {
    Settings settings = MakeSettings();
    settings.requires_watch = true;
    settings.gateways = gateways;
    settings.index = index;
    gateway_.emplace(settings, static_cast<std::uint64_t>(index) + 1);
    gateway_->SetServerCount(3);
    gateway_->AdvanceTime(kLongestStart);  // the first watch begins
    gateway_->HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kDelta, {}});
    start_ = gateway_->now;
    schedule_.BeginCall(Uniform());
    if (first_end == FirstEnd::kSilent) {
      response_ = SimulatedResponse::Never();
    } else {
      Fail(gateway::WatchFailure::kClosed, 3000);
    }
  }

  // Of the first watch, in ms.
  Millis wait() const { return schedule_.wait(); }

  // Runs to `now` ms after the end of the first watch, or its beginning if it falls silent.
  template <typename Service>
  void AdvanceTo(Millis now, Service& service) {
    const auto actions = gateway_->AdvanceTime(start_ + now - gateway_->now);
    if (FakeGateway::CountActions<Watch>(actions) > 0) StartCall(now, service);
    if (!response_) return;
    const Millis times_out_at = called_at_ + schedule_.ResponseTimeout();
    if (now < std::min(response_->at, times_out_at)) return;
    const bool is_timeout = times_out_at < response_->at;
    const auto failure = is_timeout ? gateway::WatchFailure::kTimeout : response_->failure;
    response_.reset();
    if (!failure) {
      known_at = now;
    } else if (Fail(*failure, now - called_at_)) {
      StartCall(now, service);
    }
  }

  std::optional<Millis> known_at;

 private:
  double Uniform() { return std::uniform_real_distribution(0.0, 1.0)(random_); }
  template <typename Service>
  void StartCall(Millis now, Service& service) {
    schedule_.BeginCall(Uniform());
    called_at_ = now;
    response_ = service.Call(now);
  }
  // Returns whether the call is to be repeated at once.
  bool Fail(gateway::WatchFailure failure, Millis elapsed) {
    schedule_.RecordFailure(failure, elapsed, "");
    if (schedule_.ShouldRetryImmediately(failure)) return true;
    gateway_->HandleEvent(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}, schedule_.Retry()});
    return false;
  }

  std::mt19937 random_;
  gateway::WatchSchedule schedule_;
  std::optional<FakeGateway> gateway_;
  Millis start_ = 0, called_at_ = 0;
  std::optional<SimulatedResponse> response_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_SIMULATED_CALLER_HPP_
