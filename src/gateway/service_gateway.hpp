// The gateway for several services: the operators' file come to life. Listeners, routes and pools are swapped
// whole at a reload; a request keeps the pool that it was routed to.
#ifndef OPALSWITCH_GATEWAY_SERVICE_GATEWAY_HPP_
#define OPALSWITCH_GATEWAY_SERVICE_GATEWAY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/services.hpp"
#include "gateway/client_request.hpp"
#include "gateway/pool.hpp"
#include "gateway/stop_sequence.hpp"
#include "http/http_server.hpp"
#include "limits/request_limiter.hpp"
#include "limits/shared_budget.hpp"
#include "membership/host_source.hpp"
#include "membership/node_registry.hpp"
#include "routing/target.hpp"

namespace opalswitch::gateway {

class ServiceGateway {
 public:
  using Services = std::shared_ptr<const config::Services>;

  // Listens, and has the sources tell of hosts. Throws std::runtime_error that names what can't work.
  ServiceGateway(boost::asio::io_context& io, Services services, std::uint64_t seed);
  ~ServiceGateway();

  // Takes over another file, whole or not at all. Pools whose definition is unchanged go on with all that
  // they have learned; others start anew, and those that they replace finish what they have. Gives what stood
  // in the way; nothing if the new file holds.
  std::optional<std::string> Reload(Services services);

  boost::asio::ip::tcp::endpoint address(const std::string& listener) const {
    return clients_.address(listener);
  }

  // As the platform's: see StopTimes.
  void Stop(std::function<void()> done, const StopTimes& times = StopTimes());

  // What stands where, for tests and logs.
  std::shared_ptr<const Pool> pool(const std::string& id) const;
  std::size_t draining_pools() const { return retiring_.size(); }
  const NodeRegistry& nodes() const { return nodes_; }
  std::size_t connections() const { return clients_.connections(); }

 private:
  struct Member;
  struct Ticket;
  // What one file came to. Never changed; replaced.
  struct Snapshot {
    Services services;
    std::vector<std::shared_ptr<Member>> members;  // as services->pools
  };

  std::optional<LocalReply> Admit(const HttpRequest& head, const routing::Target& target,
                                  const RequestOrigin& origin, ClientRequest& call);
  std::optional<LocalReply> Describe(const HttpRequest& head, const config::RouteRule& rule,
                                     const config::Pool& pool, ClientRequest& call);
  std::optional<LocalReply> Enter(const std::shared_ptr<Member>& member, ClientRequest& call);

  // Throws std::exception if the pool can't work.
  std::shared_ptr<Member> MakeMember(const config::Pool& pool);
  void Begin(Member& member, const config::Pool& pool);
  void Share(const Snapshot& snapshot);
  void Told(Member& member, const HostList& list);
  void Retire(const std::shared_ptr<Member>& member);
  void Sweep();

  boost::asio::io_context& io_;
  const std::uint64_t seed_;
  std::uint64_t made_ = 0;  // pools and ids so far
  std::uint64_t ids_ = 0;
  limits::SharedBudget descriptors_, places_, bodies_;
  NodeRegistry nodes_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::list<std::shared_ptr<Member>> retiring_;
  bool sweeping_ = false;
  HttpServer clients_;
  StopSequence stop_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_SERVICE_GATEWAY_HPP_
