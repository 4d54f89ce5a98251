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
  void Submit(ClientRequest&& call);
  // The client of an unanswered request has left.
  void ClientDisconnected(const std::string& id);

  // What the membership says. Takes effect at once.
  void UpdateMembership(const HostList& list);
  void MembershipUpdateFailed();
  bool has_hosts() const { return listed_; }  // some host was told of

  // Fails all that is not answered yet.
  void FailPending();
  // Lets go of all requests without an answer: for the end of the process, when nobody is left to take one.
  void DropPending();
  // Requests that are not answered, or have attempts out.
  std::size_t active_requests() const { return flows_.size(); }
  // `idle` is called, from the loop, each time that no request is open any more, and now if none is.
  void WhenIdle(std::function<void()> idle);
  std::size_t connections() const { return hosts_.connections(); }

 private:
  struct Attempt {
    std::string host;
    Millis sent = 0;
    std::uint64_t number = 0;  // the pool's
    bool out = true;
  };
  // A client's request, until it is answered and all its attempts have ended.
  struct Flow {
    explicit Flow(boost::asio::io_context& io) : overdue(io) {}
    std::shared_ptr<const HttpRequest> http;
    std::function<void(HttpResponse)> answer;
    std::shared_ptr<void> hold;
    std::shared_ptr<HttpResponse> error;  // the last that a host answered; for plain pools
    std::string class_name;
    Millis received = 0, aim_at = 0;  // an answer after aim_at is late
    Millis leaves_at = 0;             // by then the policy's answer must be under way
    bool answered = false;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer overdue;
  };

  void Ended(const std::string& id, std::size_t attempt, Result result, HttpResponse response);
  void Overdue(const std::string& id);

  // Hands an event to the policy and carries out what it says, one event after the other: what an action
  // causes at once waits in the queue.
  void Report(Event event);
  void Do(const Send& send);
  void Do(const Refuse& refuse);
  void Do(const Fail& fail);
  void Do(const Cancel& cancel);
  void Do(const SetTimer& timer);
  void Do(const Watch& watch);
  void Do(const Log& log);

  Flow* Find(const std::string& id);
  void Answer(Flow& flow, HttpResponse response);
  // An answer of the gateway's own, with its cause in a word.
  void Decline(Flow& flow, ledger::RequestOutcome fate, HttpResponse response, std::string_view cause);
  void Ended(const Flow& flow, ledger::RequestOutcome fate, std::string_view cause);
  void TellLosses();
  void Settle(const std::string& id);

  boost::asio::io_context& io_;
  const Options options_;
  Policy policy_;
  HostPool hosts_;
  std::unordered_map<std::string, Flow> flows_;
  std::deque<Event> events_;
  ledger::LossRecorder losses_;
  std::unordered_map<std::string, Millis> aims_;  // by class
  bool reporting_ = false;
  bool listed_ = false;
  std::function<void()> idle_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_POOL_HPP_
