// The gateway: turns what sockets and timers report into the policy's events, and carries out its actions.
#ifndef OPALSWITCH_GATEWAY_GATEWAY_HPP_
#define OPALSWITCH_GATEWAY_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/platform_config.hpp"
#include "http/client_server.hpp"
#include "membership/discovery.hpp"
#include "opalswitch/policy.hpp"
#include "upstream/host_pool.hpp"

namespace opalswitch::gateway {

class Gateway {
 public:
  // Listens and watches at once. Throws std::exception if the settings or the address can't work.
  Gateway(boost::asio::io_context& io, const Config& config);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }

  // Takes over what a changed configuration may change while the gateway runs: where discovery is.
  void Reload(const Config& config);

  // A planned end, in times from its beginning. SIGKILL comes at 3,700 ms or later.
  struct StopTimes {
    Millis accept = 500;  // until then connections are taken: they go on coming for up to 400
    Millis serve =
        2200;  // until then those that are open are served as ever: their clients have nowhere better
    Millis answer = 3300;  // by then all is answered: the rest is failed
  };
  // Takes, serves and answers as `times` say, then calls `done`.
  void Stop(std::function<void()> done, StopTimes times);
  void Stop(std::function<void()> done) { Stop(std::move(done), StopTimes()); }

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
    Millis leaves_at = 0;  // by then the policy's answer must be under way
    bool answered = false;
    std::vector<Attempt> attempts;
    boost::asio::steady_timer overdue;
  };

  void Take(ClientRequest request);
  void Told(const HostList& list);
  void ListFailed();
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
  void Settle(const std::string& id);

  boost::asio::io_context& io_;
  const Settings settings_;
  Policy policy_;
  HostPool hosts_;
  Discovery discovery_;
  std::unordered_map<std::string, Flow> flows_;
  std::deque<Event> events_;
  bool reporting_ = false;
  bool listed_ = false;  // some list of hosts is known
  bool stopping_ = false;
  boost::asio::steady_timer stop_;
  boost::asio::steady_timer ask_again_;
  ClientServer clients_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_GATEWAY_HPP_
