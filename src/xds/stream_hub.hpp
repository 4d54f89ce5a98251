// State of all proxies of one control service: which snapshot each proxy sees, when it is sent, and how long
// the proxy may use what it was sent. No I/O and no clock; the caller moves the messages and passes the time
// (monotonic, in ms).
//
// The endpoints of a strict pool are sent with a time to live (a lease) that heartbeats renew. A proxy that
// can't be reached with a drain thus stops using its endpoints before the drain's time limit.
#ifndef OPALSWITCH_XDS_STREAM_HUB_HPP_
#define OPALSWITCH_XDS_STREAM_HUB_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"
#include "xds/held_resources.hpp"
#include "xds/session.hpp"
#include "xds/snapshot.hpp"

namespace opalswitch::xds {

// A proxy's identity, as in the Node message of its first request.
struct ProxyNode {
  std::string id, cluster, zone;
};

struct StreamHubOptions {
  std::size_t max_streams = 5000;   // further ones are refused
  Millis coalescing_delay = 200;    // longest delay of a change that is not urgent, to combine it with others
  Millis lease_duration = 400;      // of a strict pool's endpoints
  Millis heartbeat_interval = 100;  // between renewals of a stream's leases
  Millis ack_timeout = 5000;        // a stream that acknowledges nothing for this long is closed
  SessionLimits session_limits;
};

class StreamHub {
 public:
  using StreamId = std::uint64_t;
  // A message to a stream, or its closing.
  struct OutgoingMessage {
    StreamId stream = 0;
    XdsResponse response;
    bool is_heartbeat = false;                // renews the leases of leased_names, without their content
    std::vector<std::string> leased_names;    // resources that are sent with a time to live
    std::optional<std::string> close_reason;  // set: close the stream with this error message
  };
  // A proxy that may still use outdated endpoints.
  struct PendingProxy {
    std::string proxy;        // node id
    Millis lease_expiry = 0;  // infinite for a pool that is not strict
  };
  // Proxies of `group` must have accepted this resource with at least this serial, or not hold it at all.
  struct RequiredResource {
    std::string group;
    ResourceType type = ResourceType::kEndpoint;
    std::string name;
    std::uint64_t serial = 0;
  };

  // `started_at`: start of this process. Leases of an earlier process may be valid for one lease duration
  // after it.
  explicit StreamHub(const StreamHubOptions& options, Millis started_at = 0)
      : options_(options), started_at_(started_at) {}

  // Sets the function that returns the name of a proxy's group. It is called at a stream's first request and
  // in ReassignGroups.
  void SetGroupSelector(std::function<std::string(const ProxyNode&)> group_selector) {
    group_selector_ = std::move(group_selector);
  }
  // The endpoints of pools that become strict, or cease to be, are sent again with the next snapshot.
  void SetStrictPools(std::set<std::string> pools);
  // Selects each proxy's group anew and removes the groups that are not in `ids`. Proxies receive their
  // group's resources with the next Publish.
  void ReassignGroups(const std::set<std::string>& ids);
  // Replaces a group's snapshot and returns the messages to its proxies. An urgent one (drains, removals),
  // and a group's first one, is sent at once; others are combined for up to coalescing_delay (see Tick).
  std::vector<OutgoingMessage> Publish(const std::string& group, std::shared_ptr<const Snapshot> snapshot,
                                       bool urgent, Millis now);

  // Returns false if there are too many streams.
  bool OpenStream(StreamId stream, Session::Variant variant, Millis now);
  // Processes a request; the first one of a stream identifies the proxy. A strict pool's endpoints are sent
  // even to a proxy that already has that version, since its lease may expire before the response arrives.
  std::vector<OutgoingMessage> HandleRequest(StreamId stream, const ProxyNode& node,
                                             const XdsRequest& request, Millis now);
  void OnStreamClosed(StreamId stream, Millis now);

  // Returns the messages that are due: heartbeats, combined changes, and closings of streams that do not
  // acknowledge.
  std::vector<OutgoingMessage> Tick(Millis now);

  // Returns the proxies that may still use older endpoints of the pool than `requirements` demand: connected
  // ones that have not acknowledged, and disconnected ones whose lease has not expired. A requirement applies
  // only to proxies of its group.
  std::vector<PendingProxy> PendingProxies(const std::string& pool,
                                           const std::vector<RequiredResource>& requirements,
                                           Millis now) const;

  struct Statistics {
    std::uint64_t streams = 0, acks = 0, nacks = 0, stale_nonces = 0, pushes = 0, refused_streams = 0;
  };
  Statistics statistics() const;
  struct ProxyStatus {
    ProxyNode node;
    std::string group;
    bool settled = true;  // the proxy has answered every response
    std::optional<Rejection> last_rejection;
    std::uint64_t nacks = 0;
  };
  std::vector<ProxyStatus> ProxyStatuses() const;

 private:
  struct Group {
    std::shared_ptr<const Snapshot> published;  // what its proxies are sent now
    std::shared_ptr<const Snapshot> pending;    // the next one; null if no change is delayed
    Millis pending_since = 0;                   // time of the oldest delayed change
  };
  struct Stream {
    explicit Stream(Session::Variant variant, const SessionLimits& limits) : session(variant, limits) {}
    Session session;
    bool is_identified = false;  // its first request has arrived
    ProxyNode node;
    std::string group;
    std::map<std::string, Millis> leases;  // by pool: when its endpoints expire
    Millis last_heartbeat = 0;
    std::optional<Millis> unacknowledged_since;  // set while responses wait for an ACK or NACK
  };
  // A proxy whose stream has closed and which may go on using its endpoints until the leases expire.
  struct DisconnectedProxy {
    std::string proxy;
    std::string group;
    std::map<std::string, Millis> leases;   // by pool
    HeldResources endpoints, lb_endpoints;  // the oldest versions that it may be using
  };

  void SendPending(StreamId id, Stream& stream, Millis now, std::vector<OutgoingMessage>& out);
  void RecordLeases(Stream& stream, OutgoingMessage& message, Millis now) const;
  void CloseStream(StreamId id, std::string reason, Millis now, std::vector<OutgoingMessage>& out);

  const StreamHubOptions options_;
  const Millis started_at_;
  std::function<std::string(const ProxyNode&)> group_selector_;
  std::set<std::string> strict_pools_;
  std::map<std::string, Group> groups_;
  std::map<StreamId, Stream> streams_;
  std::vector<DisconnectedProxy> disconnected_;
  Statistics totals_;  // pushes and refused streams of all streams; the other counts of closed streams alone
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_STREAM_HUB_HPP_
