// All that the control service decides: the operators' file, the membership, the reports of proxies and the
// drains of operators become snapshots for the hub. Pure: no I/O, no clock.
//
// Drains, removals and whatever makes a host unusable for good are published at once; weights, additions and
// hosts that are left out for failing go together, and small moves of weights not at all.
#ifndef OPALSWITCH_XDS_CONTROL_HPP_
#define OPALSWITCH_XDS_CONTROL_HPP_

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
#include "xds/decider.hpp"
#include "xds/hub.hpp"
#include "xds/resources.hpp"

namespace opalswitch::xds {

class Control {
 public:
  using Outs = std::vector<Hub::Out>;
  // `hub` must outlive this. `say` takes lines for the log.
  Control(Hub& hub, std::uint64_t seed, std::function<void(const std::string&)> say);

  // Another file holds from now on. Pools that it defines as before keep what they have learned.
  Outs Configure(std::shared_ptr<const config::Services> services, Millis now);
  // What a pool's membership says.
  Outs Told(const std::string& pool, const gateway::HostList& list, Millis now);
  void Heard(const ProxyNode& proxy, const std::vector<LoadReport>& reports, Millis now);
  Outs Tick(Millis now);

  // An operator's drain: holds for the node's id, in all pools, until it is taken back.
  Outs Drain(const std::string& node, Millis now);
  Outs Undrain(const std::string& node, Millis now);
  const std::set<std::string>& drained() const { return drained_; }
  // Operators' drains of an earlier run; before Configure.
  void Restore(std::set<std::string> drained) { drained_ = std::move(drained); }
  bool Knows(const std::string& node) const;
  // Proxies that may still send to a node that drains, each once, with the longest time.
  std::vector<Hub::Waiting> WaitingFor(const std::string& node, Millis now) const;

  struct PoolStatus {
    std::string id;
    bool strict;
    std::vector<Decider::HostStatus> hosts;
  };
  std::vector<PoolStatus> Status(Millis now) const;
  std::uint64_t reports() const { return reports_; }

 private:
  struct Pool {
    explicit Pool(const config::Pool& from, std::uint64_t seed)
        : definition(from.definition), decider(from.settings, seed) {}
    std::string definition;
    gateway::NodeRegistry::PoolId number = 0;
    Decider decider;
    bool listed = false;                       // its membership has told of it
    bool published = false;                    // and proxies were told
    std::map<std::string, Assigned> told;      // as last published, by id
    std::map<std::string, std::size_t> zones;  // of these, and how many each has
    Millis look_at = 0;                        // when weights and failing hosts are next held against it
  };
  // How endpoints are worded for a group. Groups with the same form share all of them.
  enum Form { kPlain, kGrpc, kEach, kForms };
  struct Group {
    std::string id;
    Form form = kPlain;
    std::set<std::string> pools;  // empty = all
    std::shared_ptr<const Snapshot> told;

    bool Sees(const std::string& pool) const { return pools.empty() || pools.contains(pool); }
  };

  // The operators' drain of a node has begun or ended.
  Outs Change(const std::string& node, Millis now);
  void Give(const std::string& id, Pool& pool, const gateway::HostList& list, Millis now);
  void Give(const std::vector<gateway::NodeRegistry::PoolUpdate>& news, Millis now);
  void SayLog(const std::string& id, Pool& pool);
  // Tells of a pool's endpoints if they differ enough from what was told. Costs what the pool has.
  Outs Publish(const std::string& id, Pool& pool, Millis now);
  // Tells which of these hosts can't be sent to any more; additions wait for the next look. Costs what the
  // hosts cost, where proxies are told endpoint by endpoint.
  Outs PublishOut(const std::string& id, Pool& pool, const std::set<std::string>& hosts, Millis now);
  // Whether a host that proxies know is at another address now.
  static bool Moves(const Pool& pool, const gateway::HostList& list);
  // A pool's endpoint becomes another, or none.
  static void SetTold(Pool& pool, const std::string& host, const Assigned* to);
  // Has the hub tell of what has changed in `told`, by id; `was` has what these were.
  Outs Tell(const std::string& id, Pool& pool, const std::map<std::string, Assigned>& was,
            const std::set<std::string>& changed, bool urgent, Millis now);
  // Notes of these hosts which can't be sent to, from which resource on.
  void NoteOut(const std::string& id, const Pool& pool, const std::set<std::string>& hosts);
  ResourceOptions OptionsOf(Form form) const;
  const std::string& GroupOf(const ProxyNode& node) const;

  Hub& hub_;
  const std::uint64_t seed_;
  const std::function<void(const std::string&)> say_;
  std::shared_ptr<const config::Services> services_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
  gateway::NodeRegistry nodes_;
  std::uint64_t made_ = 0, reports_ = 0;
  std::set<std::string> drained_;
  std::vector<Group> groups_;  // in the file's order; the last, without a name, takes what the others don't
  std::array<std::map<std::string, EndpointParts>, kForms> parts_;  // by pool; of forms that are in use
  // Since which resource a node can't be sent to: by pool, by node, for each form's list or member.
  std::map<std::string, std::map<std::string, std::vector<Hub::Need>>> out_since_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_CONTROL_HPP_
