// Decision logic of the control service: turns the operators' file, the membership, proxies' load reports and
// operators' drains into snapshots for the stream hub. No I/O and no clock.
//
// Drains, removals, moved addresses and a pool's first endpoints are published at once. Changed weights,
// added hosts and ejections are combined by the hub. Weight changes below the configured threshold are not
// published.
#ifndef OPALSWITCH_XDS_CONTROL_PLANE_HPP_
#define OPALSWITCH_XDS_CONTROL_PLANE_HPP_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/services.hpp"
#include "membership/host_list.hpp"
#include "membership/node_registry.hpp"
#include "xds/pool_decider.hpp"
#include "xds/resources.hpp"
#include "xds/stream_hub.hpp"

namespace opalswitch::xds {

class ControlPlane {
 public:
  using OutgoingMessages = std::vector<StreamHub::OutgoingMessage>;
  // `hub` must outlive this. `log` is called with lines for the log.
  ControlPlane(StreamHub& hub, std::uint64_t seed, std::function<void(const std::string&)> log);

  // Replaces the configuration. Pools whose definition is unchanged keep their learned state.
  OutgoingMessages Configure(std::shared_ptr<const config::Services> services, Millis now);
  // Applies an update of a pool's membership.
  OutgoingMessages UpdateMembership(const std::string& pool, const gateway::HostList& list, Millis now);
  void AddLoadReports(const ProxyNode& proxy, const std::vector<LoadReport>& reports, Millis now);
  OutgoingMessages Tick(Millis now);

  // Drains a node on behalf of an operator: in all pools, by its id, until Undrain.
  OutgoingMessages Drain(const std::string& node, Millis now);
  OutgoingMessages Undrain(const std::string& node, Millis now);
  const std::set<std::string>& drained_nodes() const { return drained_; }
  // Restores the operators' drains of an earlier run; to be called before Configure.
  void RestoreDrains(std::set<std::string> drained) { drained_ = std::move(drained); }
  bool HasNode(const std::string& node) const;
  // Returns the proxies that may still send to a draining node: each one once, with its latest lease expiry.
  std::vector<StreamHub::PendingProxy> PendingProxies(const std::string& node, Millis now) const;

  struct PoolStatus {
    std::string id;
    bool strict;
    std::vector<PoolDecider::HostStatus> hosts;
  };
  std::vector<PoolStatus> Status(Millis now) const;
  std::uint64_t load_report_count() const { return load_report_count_; }

 private:
  struct Pool {
    explicit Pool(const config::Pool& from, std::uint64_t seed)
        : definition(from.definition), decider(from.settings, seed) {}
    std::string definition;
    gateway::NodeRegistry::PoolId registry_id = 0;
    PoolDecider decider;
    bool has_membership = false;                          // a membership update has arrived
    bool is_published = false;                            // endpoints have been published since
    std::map<std::string, EndpointAssignment> published;  // endpoints as last published, by host id
    std::map<std::string, std::size_t> zone_counts;       // number of published endpoints by zone
    Millis next_comparison = 0;  // when the endpoints are next compared with `published`
  };
  // Form of a group's endpoint resources. Groups with the same format share them.
  enum EndpointFormat { kStandard, kGrpcClients, kLeds, kEndpointFormatCount };
  struct Group {
    std::string id;
    EndpointFormat format = kStandard;
    std::set<std::string> pools;  // empty = all
    std::shared_ptr<const Snapshot> snapshot;

    bool IncludesPool(const std::string& pool) const { return pools.empty() || pools.contains(pool); }
  };

  // Publishes the start or end of an operator's drain of a node.
  OutgoingMessages ApplyDrainChange(const std::string& node, Millis now);
  void ApplyHostList(const std::string& id, Pool& pool, const gateway::HostList& list, Millis now);
  void ApplyUpdates(const std::vector<gateway::NodeRegistry::PoolUpdate>& updates, Millis now);
  void WriteDecisionLog(const std::string& id, Pool& pool);
  // Publishes a pool's endpoints if they differ enough from the published ones. The cost grows with the
  // number of the pool's hosts.
  OutgoingMessages PublishChanges(const std::string& id, Pool& pool, Millis now);
  // Publishes which of these hosts are draining or gone; other changes wait for the next comparison. For LEDS
  // the cost grows with the number of these hosts only.
  OutgoingMessages PublishUnusable(const std::string& id, Pool& pool, const std::set<std::string>& hosts,
                                   Millis now);
  // Whether a published host has changed its address.
  static bool HasMovedHost(const Pool& pool, const gateway::HostList& list);
  // Replaces a published endpoint; a null one removes it.
  static void SetPublishedEndpoint(Pool& pool, const std::string& host, const EndpointAssignment* endpoint);
  // Publishes the endpoints with the ids in `changed`; `previous` has their previous versions.
  OutgoingMessages PublishEndpoints(const std::string& id, Pool& pool,
                                    const std::map<std::string, EndpointAssignment>& previous,
                                    const std::set<std::string>& changed, bool urgent, Millis now);
  // Records, for those of these hosts that drain, which resources proxies must have accepted.
  void RecordDrainRequirements(const std::string& id, const Pool& pool, const std::set<std::string>& hosts);
  ResourceOptions OptionsFor(EndpointFormat format) const;
  const std::string& SelectGroup(const ProxyNode& node) const;

  StreamHub& hub_;
  const std::uint64_t seed_;
  const std::function<void(const std::string&)> log_;
  std::shared_ptr<const config::Services> services_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  gateway::NodeRegistry nodes_;
  std::uint64_t pools_created_ = 0, load_report_count_ = 0;
  std::set<std::string> drained_;
  std::vector<Group> groups_;  // in the file's order; the last one, without a name, is for all other proxies
  std::array<std::map<std::string, EndpointResources>, kEndpointFormatCount>
      endpoint_resources_;  // by pool; for formats in use
  // Resources that proxies must have accepted to have stopped using a node: by pool and node id.
  std::map<std::string, std::map<std::string, std::vector<StreamHub::RequiredResource>>> drain_requirements_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_CONTROL_PLANE_HPP_
