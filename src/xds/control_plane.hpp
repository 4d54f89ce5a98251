// All that the control service decides: the operators' file, the membership, the reports of proxies and the
// drains of operators become snapshots for the hub. Pure: no I/O, no clock.
//
// Drains, removals and whatever makes a host unusable for good are published at once; weights, additions and
// hosts that are left out for failing go together, and small moves of weights not at all.
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
  // `hub` must outlive this. `say` takes lines for the log.
  ControlPlane(StreamHub& hub, std::uint64_t seed, std::function<void(const std::string&)> log);

  // Another file holds from now on. Pools that it defines as before keep what they have learned.
  OutgoingMessages Configure(std::shared_ptr<const config::Services> services, Millis now);
  // What a pool's membership says.
  OutgoingMessages UpdateMembership(const std::string& pool, const gateway::HostList& list, Millis now);
  void AddLoadReports(const ProxyNode& proxy, const std::vector<LoadReport>& reports, Millis now);
  OutgoingMessages Tick(Millis now);

  // An operator's drain: holds for the node's id, in all pools, until it is taken back.
  OutgoingMessages Drain(const std::string& node, Millis now);
  OutgoingMessages Undrain(const std::string& node, Millis now);
  const std::set<std::string>& drained_nodes() const { return drained_; }
  // Operators' drains of an earlier run; before Configure.
  void RestoreDrains(std::set<std::string> drained) { drained_ = std::move(drained); }
  bool HasNode(const std::string& node) const;
  // Proxies that may still send to a node that drains, each once, with the longest time.
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
    bool has_membership = false;                     // its membership has told of it
    bool is_published = false;                       // and proxies were told
    std::map<std::string, EndpointAssignment> told;  // as last published, by id
    std::map<std::string, std::size_t> zone_counts;  // of these, and how many each has
    Millis next_comparison = 0;  // when weights and failing hosts are next held against it
  };
  // How endpoints are worded for a group. Groups with the same format share all of them.
  enum EndpointFormat { kStandard, kGrpcClients, kLeds, kEndpointFormatCount };
  struct Group {
    std::string id;
    EndpointFormat format = kStandard;
    std::set<std::string> pools;  // empty = all
    std::shared_ptr<const Snapshot> snapshot;

    bool IncludesPool(const std::string& pool) const { return pools.empty() || pools.contains(pool); }
  };

  // The operators' drain of a node has begun or ended.
  OutgoingMessages ApplyDrainChange(const std::string& node, Millis now);
  void ApplyHostList(const std::string& id, Pool& pool, const gateway::HostList& list, Millis now);
  void ApplyUpdates(const std::vector<gateway::NodeRegistry::PoolUpdate>& news, Millis now);
  void WriteDecisionLog(const std::string& id, Pool& pool);
  // Tells of a pool's endpoints if they differ enough from what was told. Costs what the pool has.
  OutgoingMessages PublishChanges(const std::string& id, Pool& pool, Millis now);
  // Tells which of these hosts can't be sent to any more; additions wait for the next look. Costs what the
  // hosts cost, where proxies are told endpoint by endpoint.
  OutgoingMessages PublishUnusable(const std::string& id, Pool& pool, const std::set<std::string>& hosts,
                                   Millis now);
  // Whether a host that proxies know is at another address now.
  static bool HasMovedHost(const Pool& pool, const gateway::HostList& list);
  // A pool's endpoint becomes another, or none.
  static void SetPublishedEndpoint(Pool& pool, const std::string& host, const EndpointAssignment* to);
  // Has the hub tell of what has changed in `told`, by id; `was` has what these were.
  OutgoingMessages PublishEndpoints(const std::string& id, Pool& pool,
                                    const std::map<std::string, EndpointAssignment>& was,
                                    const std::set<std::string>& changed, bool urgent, Millis now);
  // Notes of these hosts which can't be sent to, from which resource on.
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
  std::vector<Group> groups_;  // in the file's order; the last, without a name, takes what the others don't
  std::array<std::map<std::string, EndpointResources>, kEndpointFormatCount>
      endpoint_resources_;  // by pool; of forms that are in use
  // Since which resource a node can't be sent to: by pool, by node, for each format's list or member.
  std::map<std::string, std::map<std::string, std::vector<StreamHub::RequiredResource>>> drain_requirements_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_CONTROL_PLANE_HPP_
