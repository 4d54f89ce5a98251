// The nodes behind all pools of one process. A node that stands in several pools is one node: what one pool's
// source says of its drain holds for all of them, from that moment on, however far the others' sources are
// behind.
//
// Nodes are known by their id. A drain ends when a source that told of it says that the node is up, or when
// any source lists it as a newer process. A node that leaves one pool's list is gone from that pool alone;
// its drain goes on in the others. Pure: no I/O, no clock; times come from the caller.
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
  struct PoolUpdate {
    PoolId pool;
    HostList list;
  };
  struct Drain {
    Millis since = 0;              // when the first source told of it
    PoolId first = 0;              // and whose that was
    std::set<PoolId> reported_by;  // all that have
    Millis started_at = 0;         // of the process that drains
  };

  // Takes what a pool's source says, and gives what pools are to be told now: that one, and each other that a
  // drain, or the end of one, reaches through it. The pool's own news comes last: the drains of others first.
  std::vector<PoolUpdate> ApplyUpdate(PoolId pool, const HostList& list, Millis now);
  // The pool is no more: its view counts for nothing.
  void RemovePool(PoolId pool);

  const std::map<std::string, Drain>& drains() const { return drains_; }
  // The pool's hosts as its source has them, with the drains of all; a complete list.
  HostList HostsOf(PoolId pool) const;
  // One of them; nothing if the pool's source does not list it.
  std::optional<Host> FindHost(PoolId pool, const std::string& id) const;
  // Pools whose sources list the node.
  std::vector<PoolId> PoolsOf(const std::string& id) const;

 private:
  ServerState StateOf(const Host& host) const;
  // Notes what one entry says of a drain; true if that changes the node's state in other pools.
  bool Note(PoolId pool, const Host& host, Millis now);
  void DropUnlisted();

  std::map<PoolId, std::map<std::string, Host>> views_;  // as the sources say
  std::map<std::string, Drain> drains_;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_NODE_REGISTRY_HPP_
