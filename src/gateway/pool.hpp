// A pool of hosts with a decision module and upstream connections of its own. The pool feeds events
// (requests, outcomes, timers, membership updates) to the module, executes the actions it returns, and tracks
// each request until it is answered and all its attempts have ended. Runs on one event loop; not thread-safe.
#ifndef OPALSWITCH_GATEWAY_POOL_HPP_
#define OPALSWITCH_GATEWAY_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/client_request.hpp"
#include "ledger/executed_requests.hpp"
#include "ledger/losses.hpp"
#include "limits/log_throttle.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "upstream/host_pool.hpp"

namespace opalswitch::gateway {

class Pool : public std::enable_shared_from_this<Pool> {
 public:
  struct Options {
    std::string name;   // prefix of log lines; empty if there is only one pool
    Settings settings;  // of the decision module
    std::uint64_t seed = 0;
    HostPool::Limits upstream;
    // Serve ordinary HTTP clients instead of the platform's: hosts' own error responses are forwarded,
    // forwarding headers are added, and Retry-After is in whole seconds. See docs/operators/services.md.
    bool plain = false;
    std::function<void()> request_watch;  // requests a discovery watch for the module; may be empty
  };

  // Throws std::invalid_argument if the settings are invalid. Must be owned by a std::shared_ptr.
  Pool(boost::asio::io_context& io, Options options);

  // Starts a request. `request.respond` is called once, possibly before Submit returns.
  void Submit(ClientRequest&& request);
  // Reports that the client of an unanswered request closed its connection.
  void ClientDisconnected(const std::string& id);

  // Applies a full or partial host list. Takes effect immediately: a host that is no longer up gets no
  // further requests.
  void UpdateMembership(const HostList& list);
  // Reports that the source could not deliver a list, and when to ask it again; the last list
  // stays in use.
  void MembershipUpdateFailed(const RetryWindow& retry = {});
  bool has_hosts() const { return has_hosts_; }  // a list with at least one host has been received

  // Answers all unanswered requests with a failure.
  void FailPending();
  // Discards all requests without answering them. For process shutdown, when no client is left to answer.
  void DropPending();
  // Requests that are unanswered or still have attempts in flight.
  std::size_t active_requests() const { return requests_.size(); }
  // Posts `on_idle` to the event loop each time the last active request ends, and immediately if there is
  // none.
  void WhenIdle(std::function<void()> on_idle);
  // Open upstream connections.
  std::size_t connections() const { return host_pool_.connections(); }

 private:
  struct Attempt {
    std::string host;
    Millis sent_at = 0;
    std::uint64_t upstream_id = 0;  // id of the attempt in HostPool, for Cancel
    bool in_flight = true;
    Result result = Result::kNotSent;  // once it has ended
    Millis duration = 0;               // the same
  };
  // State of a request until it is answered and all its attempts have ended.
  struct PendingRequest {
    explicit PendingRequest(boost::asio::io_context& io) : deadline_timer(io) {}
    std::shared_ptr<const HttpRequest> http;
    std::function<void(HttpResponse)> respond;
    std::shared_ptr<void> admission;
    std::shared_ptr<HttpResponse> last_error;  // last error response of a host; plain pools only
    std::string class_name;
    Millis received_at = 0, aim_deadline = 0;  // a response after aim_deadline is late
    Millis response_deadline = 0;              // the module must have answered by then
    bool is_answered = false;
    bool has_client_left = false;
    // How it ended, once it has, and why if it was refused or has failed.
    ledger::RequestOutcome outcome = ledger::RequestOutcome::kInTime;
    std::string cause;
    Millis ended_at = 0;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer deadline_timer;
  };

  // Forwards a served response, and reports the outcome to the decision module.
  void OnAttemptEnded(const std::string& id, std::size_t attempt, Result result, HttpResponse response);
  // Fails the request if it is still unanswered shortly before its client gives up.
  void OnDeadline(const std::string& id);

  // Ends the attempts of an answered or abandoned request, except those that a host may have received.
  void CancelUnsentAttempts(const std::string& id);

  // Passes an event to the decision module and executes the returned actions. Not reentrant: events that an
  // action raises synchronously are queued and handled after it.
  void HandleEvent(Event event);
  void Execute(const Send& send);
  void Execute(const Refuse& refuse);
  void Execute(const Fail& fail);
  void Execute(const Cancel& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const Watch& watch);
  void Execute(const Log& log);

  // Returns null if there is no such request.
  PendingRequest* FindRequest(const std::string& id);
  // Sends the response unless the request is already answered, and releases its admission.
  void Respond(PendingRequest& pending, HttpResponse response);
  // Sends a refusal or failure of the gateway itself, with `cause` as Forkwick-Cause header, and records the
  // outcome.
  void RespondWithCause(PendingRequest& pending, ledger::RequestOutcome outcome, HttpResponse response,
                        std::string_view cause);
  void RecordOutcome(PendingRequest& pending, ledger::RequestOutcome outcome, std::string_view cause);
  // Writes a line about a finished request that was sent to a host and not answered by it.
  void LogUnservedRequest(const std::string& id, const PendingRequest& pending);
  // Writes the log lines "losses ..." and "hosts ..." if they are due.
  void LogLosses();
  // Whether a request with this id must not be sent: one is in progress, or has ended lately and may have
  // run.
  bool IsIdInUse(const std::string& id);
  // Remembers the id of an ended request if the same request, sent again, might run a second time.
  void RememberIfExecuted(const std::string& id, const PendingRequest& pending);
  // Forgets the request if it is answered and no attempt is in flight.
  void EraseIfFinished(const std::string& id);

  boost::asio::io_context& io_;
  const Options options_;
  Policy policy_;
  Millis decided_at_ = 0;  // the time that the module was given with the current event
  HostPool host_pool_;
  std::unordered_map<std::string, PendingRequest> requests_;
  std::deque<Event> events_;
  ledger::LossRecorder loss_recorder_;
  limits::LogThrottle request_log_throttle_;
  std::unordered_map<std::string, const ClassSettings*> classes_;  // of options_, by name
  ledger::ExecutedRequests executed_requests_;
  bool handling_events_ = false;
  bool has_hosts_ = false;
  std::function<void()> on_idle_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_POOL_HPP_
