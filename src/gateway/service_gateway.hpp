// The gateway for several services, configured by the operators' file: listeners, routes, pools, and the
// budgets that the pools share. A reload replaces the configuration as a whole; a request keeps the pool that
// it was routed to.
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

  // Opens the listeners and starts the host sources. Throws std::runtime_error with the reason if the
  // configuration can't be applied.
  ServiceGateway(boost::asio::io_context& io, Services services, std::uint64_t seed);
  ~ServiceGateway();

  // Applies a new configuration atomically. Pools with an unchanged definition keep running with all that
  // they have learned; others are created, and the pools that they replace drain. Returns the reason if the
  // configuration can't be applied, in which case nothing changes; std::nullopt on success.
  std::optional<std::string> Reload(Services services);

  boost::asio::ip::tcp::endpoint address(const std::string& listener) const {
    return http_server_.address(listener);
  }

  // Shuts down gracefully as `times` say, then calls `done`.
  void Stop(std::function<void()> done, const StopTimes& times = StopTimes());

  // Accessors for tests and logs.
  std::shared_ptr<const Pool> pool(const std::string& id) const;
  std::size_t draining_pools() const { return draining_.size(); }
  const NodeRegistry& nodes() const { return nodes_; }
  std::size_t connections() const { return http_server_.connections(); }

 private:
  struct PoolEntry;
  struct Admission;
  // One applied configuration. Immutable; replaced as a whole.
  struct Snapshot {
    Services services;
    std::vector<std::shared_ptr<PoolEntry>> pools;  // in the order of services->pools
  };

  // Routes a request by its head, reads its class and limits into `request`, and admits it to the pool.
  // Returns the reply if the request is rejected.
  std::optional<LocalReply> HandleRequestHead(const HttpRequest& head, const routing::Target& target,
                                              const RequestOrigin& origin, ClientRequest& request);
  // Determines the class and reads the request headers named in the configuration.
  std::optional<LocalReply> ClassifyRequest(const HttpRequest& head, const config::RouteRule& rule,
                                            const config::Pool& pool, ClientRequest& request);
  // Admits the request under the pool's limits, or returns the refusal.
  std::optional<LocalReply> ApplyLimits(const std::shared_ptr<PoolEntry>& entry, ClientRequest& request);

  // Throws std::exception if the pool's settings are invalid.
  std::shared_ptr<PoolEntry> MakePool(const config::Pool& pool);
  // Creates the pool's host source and starts it.
  void StartHostSource(PoolEntry& entry, const config::Pool& pool);
  // Sets each pool's guarantee and maximum in the shared budgets. Guarantees stated in the file are granted.
  // What they leave of half the budget (kDefaultGuaranteeFraction) is divided equally among the pools that
  // state none; the rest of the budget is available to any pool that needs it.
  void DistributeBudgets(const Snapshot& snapshot);
  // Applies a pool's list, and passes drains that it reports on to the other pools that list the node.
  void OnMembershipUpdate(PoolEntry& entry, const HostList& list);
  // Starts draining a pool that the configuration no longer contains: it gets no new requests, finishes those
  // it has, and follows its hosts until then.
  void BeginDrain(const std::shared_ptr<PoolEntry>& entry);
  // Removes draining pools that are idle. Deferred to the event loop, because the caller may be one of them.
  void RemoveDrainedPools();

  boost::asio::io_context& io_;
  const std::uint64_t seed_;
  std::uint64_t pools_created_ = 0;
  std::uint64_t request_ids_created_ = 0;
  limits::SharedBudget descriptors_, client_connections_, body_memory_;
  NodeRegistry nodes_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::list<std::shared_ptr<PoolEntry>> draining_;
  bool removal_scheduled_ = false;
  HttpServer http_server_;
  StopSequence stop_;
  // Expires with this object: callbacks hold a weak_ptr and do nothing once it has.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_SERVICE_GATEWAY_HPP_
