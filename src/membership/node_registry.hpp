// The nodes of all pools of one process, identified by their ids. A drain of a node that one pool's host
// source reports applies at once to every pool that lists the node, even while the other pools' sources still
// list it as up.
//
// A drain ends when a source that reported it lists the node as up, or when any source lists the node as a
// newer process (by its start time). A node removed from one pool's list leaves that pool only; its drain
// continues in the others. Performs no I/O and reads no clock; times come from the caller. Not thread-safe.
#ifndef OPALSWITCH_MEMBERSHIP_NODE_REGISTRY_HPP_
#define OPALSWITCH_MEMBERSHIP_NODE_REGISTRY_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/host_list.hpp"
#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class NodeRegistry {
 public:
  using PoolId = std::uint64_t;
  // A host list to apply to a pool.
  struct PoolUpdate {
    PoolId pool;
    HostList list;
  };
  struct Drain {
    Millis since = 0;              // when the first source reported it, Unix time in ms
    PoolId first_reported_by = 0;  // the pool of that source
    std::set<PoolId> reported_by;  // the pools of all sources that reported it
    Millis started_at = 0;         // start time of the draining process
  };

  // Applies a list from the source of `pool`. Returns the updates to deliver, in order: deltas for the other
  // pools in which a drain began or ended through it, then the list for `pool` itself, with the state of
  // drained nodes set to draining.
  std::vector<PoolUpdate> ApplyUpdate(PoolId pool, const HostList& list, Millis now);
  // Removes the pool with its hosts, and its reports of drains.
  void RemovePool(PoolId pool);

  const std::map<std::string, Drain>& drains() const { return drains_; }
  // The hosts that the pool's source lists, as a complete list with the drains of all pools applied.
  HostList HostsOf(PoolId pool) const;
  // One host of that list; nothing if the pool's source does not list it.
  std::optional<Host> FindHost(PoolId pool, const std::string& id) const;
  // The pools whose sources list the node.
  std::vector<PoolId> PoolsOf(const std::string& id) const;

 private:
  // The state of a host as its source lists it, with the drains of all pools applied.
  ServerState EffectiveState(const Host& host) const;
  // Starts, extends or ends the drain of the node according to one list entry. Returns whether the node's
  // state in other pools changes.
  bool UpdateDrain(PoolId pool, const Host& host, Millis now);
  void RemoveUnlistedDrains();

  std::map<PoolId, std::map<std::string, Host>> hosts_by_pool_;  // as the sources list them
  std::map<std::string, Drain> drains_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_NODE_REGISTRY_HPP_
