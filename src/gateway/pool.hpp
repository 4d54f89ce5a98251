// One pool of hosts: its module, its connections, and the life of each request that was routed to it.
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
#include "ledger/losses.hpp"
#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"
#include "upstream/host_pool.hpp"

namespace opalswitch::gateway {

class Pool : public std::enable_shared_from_this<Pool> {
 public:
  struct Options {
    std::string name;   // before its lines in the log; empty where there is one pool
    Settings settings;  // of its module
    std::uint64_t seed = 0;
    HostPool::Limits upstream;
    bool plain = false;                   // answers for HTTP's usual clients: see docs/operators/services.md
    std::function<void()> request_watch;  // the module asks for the list of hosts; may be empty
  };

  // Throws std::invalid_argument if the settings can't work. Held by a shared_ptr.
  Pool(boost::asio::io_context& io, Options options);

  // Takes a request; its answer follows, perhaps before Submit returns.
  void Submit(ClientRequest&& request);
  // The client of an unanswered request has left.
  void ClientDisconnected(const std::string& id);

  // What the membership says. Takes effect at once.
  void UpdateMembership(const HostList& list);
  void MembershipUpdateFailed();
  bool has_hosts() const { return has_hosts_; }  // some host was told of

  // Fails all that is not answered yet.
  void FailPending();
  // Lets go of all requests without an answer: for the end of the process, when nobody is left to take one.
  void DropPending();
  // Requests that are not answered, or have attempts out.
  std::size_t active_requests() const { return requests_.size(); }
  // `idle` is called, from the loop, each time that no request is open any more, and now if none is.
  void WhenIdle(std::function<void()> on_idle);
  std::size_t connections() const { return host_pool_.connections(); }

 private:
  struct Attempt {
    std::string host;
    Millis sent_at = 0;
    std::uint64_t upstream_id = 0;  // the pool's
    bool in_flight = true;
  };
  // A client's request, until it is answered and all its attempts have ended.
  struct PendingRequest {
    explicit PendingRequest(boost::asio::io_context& io) : deadline_timer(io) {}
    std::shared_ptr<const HttpRequest> http;
    std::function<void(HttpResponse)> respond;
    std::shared_ptr<void> admission;
    std::shared_ptr<HttpResponse> last_error;  // the last that a host answered; for plain pools
    std::string class_name;
    Millis received_at = 0, aim_deadline = 0;  // an answer after aim_at is late
    Millis response_deadline = 0;              // by then the policy's answer must be under way
    bool is_answered = false;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer deadline_timer;
  };

  void OnAttemptEnded(const std::string& id, std::size_t attempt, Result result, HttpResponse response);
  void OnDeadline(const std::string& id);

  // Hands an event to the policy and carries out what it says, one event after the other: what an action
  // causes at once waits in the queue.
  void HandleEvent(Event event);
  void Execute(const Send& send);
  void Execute(const Refuse& refuse);
  void Execute(const Fail& fail);
  void Execute(const Cancel& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const Watch& watch);
  void Execute(const Log& log);

  PendingRequest* FindRequest(const std::string& id);
  void Respond(PendingRequest& pending, HttpResponse response);
  // An answer of the gateway's own, with its cause in a word.
  void RespondWithCause(PendingRequest& pending, ledger::RequestOutcome outcome, HttpResponse response,
                        std::string_view cause);
  void RecordOutcome(const PendingRequest& pending, ledger::RequestOutcome outcome, std::string_view cause);
  void LogLosses();
  void EraseIfFinished(const std::string& id);

  boost::asio::io_context& io_;
  const Options options_;
  Policy policy_;
  HostPool host_pool_;
  std::unordered_map<std::string, PendingRequest> requests_;
  std::deque<Event> events_;
  ledger::LossRecorder loss_recorder_;
  std::unordered_map<std::string, Millis> aim_by_class_;  // by class
  bool handling_events_ = false;
  bool has_hosts_ = false;
  std::function<void()> on_idle_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_POOL_HPP_
