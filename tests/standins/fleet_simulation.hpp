// A small fleet in simulated time, for tests of incidents: gateways that run a Policy each, hosts with a
// processor and a queue that can hang, slow down or degrade, and clients that retry. The same seed gives the
// same course of events.
#ifndef OPALSWITCH_TESTS_STANDINS_FLEET_SIMULATION_HPP_
#define OPALSWITCH_TESTS_STANDINS_FLEET_SIMULATION_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::testing {

class FleetSimulation {
 public:
  // A class and the load of its requests.
  struct ClassLoad {
    ClassSettings settings;
    double share = 1;               // relative number of requests
    Millis mean_work = 10;          // service time on a host of speed 1; exponentially distributed
    double expensive_fraction = 0;  // this fraction of the requests has
    double expensive_factor = 1;    // this multiple of the work
  };
  // A host with one processor, which the running requests share evenly.
  struct Host {
    std::string id, zone = "a";
    double speed = 1;
    std::size_t concurrency = 6;  // maximum number of running requests
    std::size_t queue = 16;       // maximum number of waiting requests; further ones are rejected
    bool is_hung = false;         // accepts requests and never responds
    double slowdown = 1;          // factor of the service time
    bool is_degraded = false;     // slowed down after an overload, see MonitorHosts
    // Internal state.
    struct Job;
    std::deque<std::shared_ptr<Job>> waiting;
    std::vector<std::shared_ptr<Job>> running;
    Millis progress_at = 0;               // time up to which the work done is accounted for
    std::uint64_t version = 0;            // invalidates the scheduled end of a job when it changes
    double held_ewma = 0, busy_ewma = 0;  // number of requests held, and fraction of time busy
    Millis degraded_at = 0;
  };
  struct RequestCount {
    double arrived = 0, timely = 0;
    double TimelyFraction() const { return arrived > 0 ? timely / arrived : 1; }
  };

  static constexpr Millis kNetworkDelayMs = 1;  // one way
  // A host degrades when it holds more requests than this on average ...
  static constexpr double kDegradeHeldRequests = 7;
  static constexpr Millis kDegradeWindowMs = 2000;
  static constexpr double kDegradedSlowdown = 2.5;
  // ... and recovers when it is busy for less than this fraction of the time, or after this time.
  static constexpr double kRecoveryBusyFraction = 0.4;
  static constexpr Millis kMaxDegradedMs = 20000;

  std::vector<ClassLoad> classes;
  std::vector<Host> hosts;
  std::map<std::string, double> client_zones = {
      {"a", 1}};  // share of the clients by zone, with a gateway each
  double requests_per_s = 100;
  bool has_cost_estimates = true;  // clients send cost estimates that are correct within a factor of two
  Millis membership_delay = 0;     // of updates after the restart of a host
  bool hosts_degrade = false;
  // First tries, and those answered within the aim, by class and second.
  std::map<int, std::map<int, RequestCount>> counts;
  // Refusals and failures, by class and cause.
  std::map<std::string, std::map<std::string, int>> causes;
  int unsafe_reruns = 0;  // unsafe requests that ran more than once
  int unanswered = 0;     // requests without a final answer

  explicit FleetSimulation(std::uint64_t seed) : random_(seed) {}

  // Calls `callback` at the time `when`.
  void Schedule(Millis when, std::function<void()> callback) {
    events_.push({when, ++last_order_, std::move(callback)});
  }
  Millis now() const { return now_; }

  // Starts the gateways, which know all hosts, and the arrival of requests.
  void Start() {
    for (const auto& [zone, share] : client_zones) {
      gateways_.push_back({});
      gateways_.back().zone = zone;
      RestartGateway(gateways_.size() - 1);
    }
    ScheduleArrival();
    if (hosts_degrade) MonitorHosts();
  }
  void RunUntil(Millis until) {
    while (!events_.empty() && events_.top().at <= until) {
      const ScheduledCall next = events_.top();
      events_.pop();
      now_ = next.at;
      next.callback();
    }
    now_ = until;
  }
  // Stops arrivals, lets the remaining requests end, and counts those without a final answer.
  void Finish(Millis after = 10000) {
    ending_ = true;
    RunUntil(now_ + after);
    for (const GatewayProcess& gateway : gateways_)
      unanswered += static_cast<int>(gateway.open_requests.size());
  }
  // Starts a new gateway process with only the server list. Open requests of the old one are not counted.
  void RestartGateway(std::size_t i) {
    GatewayProcess& gateway = gateways_[i];
    ++gateway.process_id;
    for (const auto& [id, request] : gateway.open_requests) {
      RequestCount& count = counts[request.class_index][request.second];
      if (request.is_first_try) count.arrived -= 1;
    }
    gateway.open_requests.clear();
    Settings s;
    for (const ClassLoad& c : classes) s.classes.push_back(c.settings);
    s.zone = gateway.zone;
    s.gateways = static_cast<int>(client_zones.size());
    s.index = static_cast<int>(i);
    s.max_attempts = 3;
    s.can_cancel = true;
    s.sends_retry_after = true;
    s.max_retry_after = 2000;
    s.total_worth_weight = 0.6;
    s.worst_class_weight = 0.4;
    gateway.policy = std::make_unique<Policy>(s, 17 + i);
    MembershipUpdate update;
    for (const Host& host : hosts) update.servers.push_back(ToServer(host, ServerState::kUp));
    DeliverEvent(i, update);
  }
  // Starts a new process on the host. Gateways learn of it after membership_delay.
  void RestartHost(Host& host) {
    host.waiting.clear();
    host.running.clear();
    ++host.version;
    host.is_hung = false;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      MembershipUpdate update{MembershipUpdate::Kind::kDelta, {ToServer(host, ServerState::kUp)}};
      update.servers[0].started_at = now_;
      Schedule(now_ + membership_delay, [this, i, update] { DeliverEvent(i, update); });
    }
  }

  // Fraction of the worth of the first tries in [from, to) that was answered within the aim; of one class or
  // all (-1).
  double TimelyWorthFraction(Millis from, Millis to, int class_index = -1) const {
    RequestCount sum;
    for (const auto& [c, seconds] : counts) {
      if (class_index >= 0 && c != class_index) continue;
      for (const auto& [second, count] : seconds) {
        if (second * 1000 < from || second * 1000 >= to) continue;
        sum.arrived += count.arrived * classes[static_cast<std::size_t>(c)].settings.worth;
        sum.timely += count.timely * classes[static_cast<std::size_t>(c)].settings.worth;
      }
    }
    return sum.TimelyFraction();
  }
  // For messages of failed tests.
  std::string DescribeCauses() const {
    std::string text;
    for (const auto& [name, counts_by_cause] : causes) {
      text += name + ":";
      for (const auto& [cause, count] : counts_by_cause) text += " " + cause + " " + std::to_string(count);
      text += "; ";
    }
    return text;
  }
  int DegradedHosts() const {
    return static_cast<int>(
        std::count_if(hosts.begin(), hosts.end(), [](const Host& h) { return h.is_degraded; }));
  }

 private:
  struct ScheduledCall {
    Millis at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const ScheduledCall& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct ClientRequest {
    int class_index = 0, second = 0;
    bool is_first_try = true;
    Millis arrived_at = 0, client_deadline = 0, work = 0;
    double estimate_factor = 1;
    std::vector<std::shared_ptr<Host::Job>> attempts;
  };
  struct GatewayProcess {
    std::string zone;
    std::unique_ptr<Policy> policy;
    std::map<std::string, ClientRequest> open_requests;
    int process_id = 0;
  };

  double Uniform() { return (static_cast<double>(random_() >> 11) + 0.5) / 9007199254740992.0; }
  double Exponential() { return -std::log(Uniform()); }

  static Server ToServer(const Host& host, ServerState state) {
    Server s;
    s.id = host.id;
    s.zone = host.zone;
    s.kind = "k";
    s.cell = "0";
    s.state = state;
    return s;
  }

  void ScheduleArrival() {
    Schedule(now_ + Exponential() * 1000 / requests_per_s, [this] {
      if (ending_) return;
      double draw = Uniform(), zone = Uniform();
      int class_index = 0;
      double all = 0;
      for (const ClassLoad& c : classes) all += c.share;
      for (draw *= all;
           class_index + 1 < static_cast<int>(classes.size()) && draw >= ClassOf(class_index).share;
           ++class_index)
        draw -= ClassOf(class_index).share;
      std::size_t gateway = 0;
      for (const auto& [name, share] : client_zones) {
        if (zone < share || gateway + 1 == client_zones.size()) break;
        zone -= share;
        ++gateway;
      }
      ClientRequest request;
      request.class_index = class_index;
      request.second = static_cast<int>(now_ / 1000);
      request.work = ClassOf(class_index).mean_work * Exponential();
      if (ClassOf(class_index).expensive_fraction > 0 && Uniform() < ClassOf(class_index).expensive_fraction)
        request.work *= ClassOf(class_index).expensive_factor;
      request.estimate_factor = std::exp((Uniform() - 0.5) * 1.4);
      request.client_deadline = now_ + ClassOf(class_index).settings.deadline;
      counts[class_index][request.second].arrived += 1;
      SendRequest(gateway, std::move(request));
      ScheduleArrival();
    });
  }
  const ClassLoad& ClassOf(int class_index) const { return classes[static_cast<std::size_t>(class_index)]; }

  void SendRequest(std::size_t i, ClientRequest request) {
    const std::string id = "r" + std::to_string(++last_id_);
    request.arrived_at = now_;
    request.attempts.clear();
    Request r;
    r.id = id;
    r.class_name = ClassOf(request.class_index).settings.name;
    r.time_left = request.client_deadline - now_;
    if (has_cost_estimates) r.cost = request.work * request.estimate_factor;
    gateways_[i].open_requests[id] = std::move(request);
    DeliverEvent(i, r);
  }

  void DeliverEvent(std::size_t i, const Event& event) {
    std::vector<Action> actions;
    gateways_[i].policy->Handle(now_, event, actions);
    for (const Action& action : actions) std::visit([&](const auto& a) { Execute(i, a); }, action);
  }
  void ScheduleEvent(std::size_t i, Millis delay, Event event) {
    Schedule(now_ + delay, [this, i, process_id = gateways_[i].process_id, event = std::move(event)] {
      if (gateways_[i].process_id == process_id) DeliverEvent(i, event);
    });
  }

  void Execute(std::size_t i, const Send& send);
  void Execute(std::size_t i, const Refuse& refuse) {
    const auto found = gateways_[i].open_requests.find(refuse.request);
    if (found == gateways_[i].open_requests.end()) return;
    ClientRequest request = std::move(found->second);
    ++causes[ClassOf(request.class_index).settings.name][CauseName(refuse.cause)];
    gateways_[i].open_requests.erase(found);
    if (!request.is_first_try) return;
    request.is_first_try = false;  // a client retries once, if there is time
    const Millis at = now_ + std::max(refuse.retry_after, 30.0) * (1 + Uniform());
    if (at + 50 < request.client_deadline) {
      Schedule(at, [this, i, request]() mutable { SendRequest(i, std::move(request)); });
    }
  }
  void Execute(std::size_t i, const Fail& fail) {
    const auto found = gateways_[i].open_requests.find(fail.request);
    if (found == gateways_[i].open_requests.end()) return;
    ++causes[ClassOf(found->second.class_index).settings.name][CauseName(fail.cause)];
    gateways_[i].open_requests.erase(found);
  }
  void Execute(std::size_t i, const Cancel& cancel);
  void Execute(std::size_t i, const SetTimer& timer) { ScheduleEvent(i, timer.delay, TimerDue{timer.name}); }
  void Execute(std::size_t, const Watch&) {}
  void Execute(std::size_t, const Log&) {}

  void ReportOutcome(const std::shared_ptr<Host::Job>& job, Result result);
  void UpdateHost(Host& host);
  void AbortJob(const std::shared_ptr<Host::Job>& job);

  // Degrades hosts that have held too many requests for a while, and ends the degradation.
  void MonitorHosts() {
    constexpr Millis kIntervalMs = 50;
    Schedule(now_ + kIntervalMs, [this] {
      for (Host& host : hosts) {
        const double part = kIntervalMs / kDegradeWindowMs;
        host.held_ewma +=
            part * (static_cast<double>(host.waiting.size() + host.running.size()) - host.held_ewma);
        host.busy_ewma += part * ((host.running.empty() ? 0 : 1) - host.busy_ewma);
        if (!host.is_degraded && host.held_ewma > kDegradeHeldRequests) {
          host.is_degraded = true;
          host.degraded_at = now_;
          ++degradations;
        }
        if (host.is_degraded &&
            (host.busy_ewma < kRecoveryBusyFraction || now_ - host.degraded_at > kMaxDegradedMs))
          host.is_degraded = false;
      }
      MonitorHosts();
    });
  }

  std::mt19937_64 random_;
  std::priority_queue<ScheduledCall> events_;
  std::uint64_t last_order_ = 0, last_id_ = 0;
  std::deque<GatewayProcess> gateways_;
  std::set<std::string> started_unsafe_;  // unsafe requests that a host has started to execute
  Millis now_ = 0;
  bool ending_ = false;

 public:
  int degradations = 0;  // number of times that a host degraded
};

// An attempt, from its Send to its Outcome.
struct FleetSimulation::Host::Job {
  std::string request;
  std::size_t gateway = 0;
  int attempt = 0, process_id = 0, class_index = 0;
  Host* host = nullptr;
  Millis remaining_work = 0, sent_at = 0;
  bool has_ended = false;  // its outcome is determined, but may not have been reported yet
};

inline void FleetSimulation::Execute(std::size_t i, const Send& send) {
  ClientRequest& request = gateways_[i].open_requests.at(send.request);
  auto job = std::make_shared<Host::Job>();
  job->request = send.request;
  job->gateway = i;
  job->process_id = gateways_[i].process_id;
  job->attempt = static_cast<int>(request.attempts.size());
  job->class_index = request.class_index;
  job->remaining_work = request.work;
  job->sent_at = now_;
  for (Host& host : hosts) {
    if (host.id == send.server) job->host = &host;
  }
  request.attempts.push_back(job);
  Schedule(now_ + kNetworkDelayMs, [this, job] {
    Host& host = *job->host;
    if (job->has_ended || host.is_hung) return;
    if (host.waiting.size() >= host.queue) return ReportOutcome(job, Result::kRejected);
    host.waiting.push_back(job);
    UpdateHost(host);
  });
  Schedule(now_ + send.timeout, [this, job] {
    if (job->has_ended) return;
    AbortJob(job);
    ReportOutcome(job, Result::kTimedOut);
  });
}

inline void FleetSimulation::Execute(std::size_t i, const Cancel& cancel) {
  const auto found = gateways_[i].open_requests.find(cancel.request);
  if (found == gateways_[i].open_requests.end()) return;
  const auto job = found->second.attempts[static_cast<std::size_t>(cancel.attempt)];
  if (job->has_ended) return;
  AbortJob(job);
  ReportOutcome(job, Result::kCancelled);
}

// Accounts for the work since the last call, ends finished jobs, starts waiting ones and schedules the next
// end.
inline void FleetSimulation::UpdateHost(Host& host) {
  const double rate = host.speed / (host.slowdown * (host.is_degraded ? kDegradedSlowdown : 1));
  const double each = host.running.empty() ? 0 : rate / static_cast<double>(host.running.size());
  for (const auto& job : host.running) job->remaining_work -= (now_ - host.progress_at) * each;
  host.progress_at = now_;
  std::erase_if(host.running, [&](const std::shared_ptr<Host::Job>& job) {
    if (!job->has_ended && job->remaining_work > 1e-9) return false;
    if (!job->has_ended && !host.is_hung) ReportOutcome(job, Result::kServed);
    return true;
  });
  while (!host.waiting.empty() && host.running.size() < host.concurrency) {
    const auto job = host.waiting.front();
    host.waiting.pop_front();
    if (ClassOf(job->class_index).settings.effect == Effect::kUnsafe &&
        !started_unsafe_.insert(job->request).second)
      ++unsafe_reruns;
    host.running.push_back(job);
  }
  const std::uint64_t version = ++host.version;
  if (host.running.empty()) return;
  Millis min_remaining_work = host.running.front()->remaining_work;
  for (const auto& job : host.running) min_remaining_work = std::min(min_remaining_work, job->remaining_work);
  Schedule(now_ + std::max(0.0, min_remaining_work) * static_cast<double>(host.running.size()) / rate + 1e-6,
           [this, &host, version] {
             if (host.version == version) UpdateHost(host);
           });
}

inline void FleetSimulation::AbortJob(const std::shared_ptr<Host::Job>& job) {
  job->has_ended = true;
  std::erase(job->host->waiting, job);
  UpdateHost(*job->host);
}

inline void FleetSimulation::ReportOutcome(const std::shared_ptr<Host::Job>& job, Result result) {
  job->has_ended = true;
  const Millis back = result == Result::kServed || result == Result::kRejected ? kNetworkDelayMs : 0;
  Schedule(now_ + back, [this, job, result] {
    GatewayProcess& gateway = gateways_[job->gateway];
    if (gateway.process_id != job->process_id) return;
    const auto found = gateway.open_requests.find(job->request);
    const bool open = found != gateway.open_requests.end();
    if (open && result == Result::kServed) {
      const ClientRequest& request = found->second;
      if (now_ - request.arrived_at <= ClassOf(request.class_index).settings.aim)
        counts[request.class_index][request.second].timely += 1;
      gateway.open_requests.erase(found);
    }
    DeliverEvent(job->gateway,
                 Outcome{job->request, job->attempt, job->host->id, result, !open, now_ - job->sent_at, {}});
  });
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_FLEET_SIMULATION_HPP_
