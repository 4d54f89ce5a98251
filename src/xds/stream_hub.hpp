// All proxies of one control service: which snapshot each sees, when it is told, and until when it may go by
// what it was told. Pure: no I/O, no clock; the caller moves messages and says what time it is (milliseconds,
// monotonic).
//
// A list of endpoints is a lease where a pool is strict: it is sent with a time to live and renewed by
// heartbeats, so that a proxy which can't be told of a drain stops using the list before the drain's time is
// over.
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

struct ProxyNode {
  std::string id, cluster, zone;
};

struct StreamHubOptions {
  std::size_t max_streams = 5000;  // streams at once; more are refused
  Millis coalescing_delay = 200;   // changes that are not urgent wait for so long at the most, to go together
  Millis lease_duration = 400;     // of a strict pool's endpoints
  Millis heartbeat_interval = 100;  // a lease is renewed so often
  Millis ack_timeout = 5000;        // a stream that acknowledges nothing for so long is ended
  SessionLimits session_limits;
};

class StreamHub {
 public:
  using StreamId = std::uint64_t;
  // One message to one stream, or its end.
  struct OutgoingMessage {
    StreamId stream = 0;
    XdsResponse response;
    bool is_heartbeat = false;  // renews the leases of the resources named, which are not sent again
    std::vector<std::string> leased_names;    // resources of the response that carry the lease
    std::optional<std::string> close_reason;  // the stream is to be ended, and why
  };
  // A proxy that may still go by an older list.
  struct PendingProxy {
    std::string proxy;        // its node id
    Millis lease_expiry = 0;  // its lease runs out then; infinite for a pool that is not strict
  };
  // What a proxy of a group must hold, at that serial or a later one, or not at all.
  struct RequiredResource {
    std::string group;
    ResourceType type = ResourceType::kEndpoint;
    std::string name;
    std::uint64_t serial = 0;
  };

  // `started_at`: leases that an earlier process has given may run for one lease from then on.
  explicit StreamHub(const StreamHubOptions& options, Millis started_at = 0)
      : options_(options), started_at_(started_at) {}

  // Chooses what a proxy sees: the name of one of the groups. Asked once a stream.
  void SetGroupSelector(std::function<std::string(const ProxyNode&)> group_selector) {
    group_selector_ = std::move(group_selector);
  }
  // Proxies are told again, with the next snapshot, of pools that become strict or cease to be.
  void SetStrictPools(std::set<std::string> pools);
  // Asks again of which group each proxy is; other groups than `ids` are no more. Proxies are told with what
  // is published next.
  void ReassignGroups(const std::set<std::string>& ids);
  // Replaces a group's snapshot. Urgent: proxies are told at once (drains and removals, and anything before
  // the first).
  std::vector<OutgoingMessage> Publish(const std::string& group, std::shared_ptr<const Snapshot> snapshot,
                                       bool urgent, Millis now);

  // False if there are too many streams.
  bool OpenStream(StreamId stream, Session::Variant variant, Millis now);
  // The first request of a stream says who asks. A proxy that says it has a strict pool's list already is
  // sent it again all the same: whether its lease still runs when the answer arrives, nobody knows.
  std::vector<OutgoingMessage> HandleRequest(StreamId stream, const ProxyNode& node,
                                             const XdsRequest& request, Millis now);
  void OnStreamClosed(StreamId stream, Millis now);

  // What is due by now: heartbeats, and changes that have waited for their like.
  std::vector<OutgoingMessage> Tick(Millis now);

  // Proxies that may still go by an older list of this pool than they need to: not acknowledged, or lost with
  // a lease that runs. Needs of groups that a proxy is not of do not matter.
  std::vector<PendingProxy> PendingProxies(const std::string& pool,
                                           const std::vector<RequiredResource>& needs, Millis now) const;

  struct Statistics {
    std::uint64_t streams = 0, acks = 0, nacks = 0, stale_nonces = 0, pushes = 0, refused_streams = 0;
  };
  Statistics statistics() const;
  struct ProxyStatus {
    ProxyNode node;
    std::string group;
    bool settled = true;  // it has answered all that it was sent
    std::optional<Rejection> last_rejection;
    std::uint64_t nacks = 0;
  };
  std::vector<ProxyStatus> ProxyStatuses() const;

 private:
  struct Group {
    std::shared_ptr<const Snapshot> published;  // what its proxies are told now
    std::shared_ptr<const Snapshot> pending;    // what they will be, with changes that are not urgent
    Millis pending_since = 0;                   // the oldest of these
  };
  struct Stream {
    explicit Stream(Session::Variant variant, const SessionLimits& limits) : session(variant, limits) {}
    Session session;
    bool is_identified = false;
    ProxyNode node;
    std::string group;
    std::map<std::string, Millis> leases;  // by pool: until when its endpoints may be used
    Millis last_heartbeat = 0;
    std::optional<Millis> unacknowledged_since;  // it owes acknowledgements, and has given none since
  };
  // A proxy whose stream broke: it may use what it has for a while.
  struct DisconnectedProxy {
    std::string proxy;
    std::string group;
    std::map<std::string, Millis> leases;   // by pool
    HeldResources endpoints, lb_endpoints;  // that it may go by
  };

  void SendPending(StreamId id, Stream& stream, Millis now, std::vector<OutgoingMessage>& out);
  void RecordLeases(Stream& stream, OutgoingMessage& out, Millis now) const;
  void CloseStream(StreamId id, std::string why, Millis now, std::vector<OutgoingMessage>& out);

  const StreamHubOptions options_;
  const Millis started_at_;
  std::function<std::string(const ProxyNode&)> group_selector_;
  std::set<std::string> strict_pools_;
  std::map<std::string, Group> groups_;
  std::map<StreamId, Stream> streams_;
  std::vector<DisconnectedProxy> disconnected_;
  Statistics closed_stream_statistics_;  // of streams that have ended
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_STREAM_HUB_HPP_
