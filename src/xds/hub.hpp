// All proxies of one control service: which snapshot each sees, when it is told, and until when it may go by
// what it was told. Pure: no I/O, no clock; the caller moves messages and says what time it is (milliseconds,
// monotonic).
//
// A list of endpoints is a lease where a pool is strict: it is sent with a time to live and renewed by
// heartbeats, so that a proxy which can't be told of a drain stops using the list before the drain's time is
// over.
#ifndef OPALSWITCH_XDS_HUB_HPP_
#define OPALSWITCH_XDS_HUB_HPP_

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

struct HubOptions {
  std::size_t proxies = 5000;    // streams at once; more are refused
  Millis coalesce = 200;         // changes that are not urgent wait for so long at the most, to go together
  Millis lease = 400;            // of a strict pool's endpoints
  Millis heartbeat = 100;        // a lease is renewed so often
  Millis unacknowledged = 5000;  // a stream that acknowledges nothing for so long is ended
  SessionLimits bounds;
};

class Hub {
 public:
  using StreamId = std::uint64_t;
  // One message to one stream, or its end.
  struct Out {
    StreamId stream = 0;
    XdsResponse response;
    bool heartbeat = false;            // renews the leases of the resources named, which are not sent again
    std::vector<std::string> leased;   // resources of the response that carry the lease
    std::optional<std::string> close;  // the stream is to be ended, and why
  };
  // A proxy that may still go by an older list.
  struct Waiting {
    std::string proxy;  // its node id
    Millis until = 0;   // its lease runs out then; infinite for a pool that is not strict
  };
  // What a proxy of a group must hold, at that serial or a later one, or not at all.
  struct Need {
    std::string group;
    ResourceType type = ResourceType::kEndpoint;
    std::string name;
    std::uint64_t serial = 0;
  };

  // `begun`: leases that an earlier process has given may run for one lease from then on.
  explicit Hub(const HubOptions& options, Millis begun = 0) : options_(options), begun_(begun) {}

  // Chooses what a proxy sees: the name of one of the groups. Asked once a stream.
  void SetGrouping(std::function<std::string(const ProxyNode&)> grouping) { grouping_ = std::move(grouping); }
  // Proxies are told again, with the next snapshot, of pools that become strict or cease to be.
  void SetStrict(std::set<std::string> pools);
  // Asks again of which group each proxy is; other groups than `ids` are no more. Proxies are told with what
  // is published next.
  void Regroup(const std::set<std::string>& ids);
  // Replaces a group's snapshot. Urgent: proxies are told at once (drains and removals, and anything before
  // the first).
  std::vector<Out> Publish(const std::string& group, std::shared_ptr<const Snapshot> snapshot, bool urgent,
                           Millis now);

  // False if there are too many streams.
  bool Open(StreamId stream, Session::Variant variant, Millis now);
  // The first request of a stream says who asks. A proxy that says it has a strict pool's list already is
  // sent it again all the same: whether its lease still runs when the answer arrives, nobody knows.
  std::vector<Out> Take(StreamId stream, const ProxyNode& node, const XdsRequest& request, Millis now);
  void Closed(StreamId stream, Millis now);

  // What is due by now: heartbeats, and changes that have waited for their like.
  std::vector<Out> Tick(Millis now);

  // Proxies that may still go by an older list of this pool than they need to: not acknowledged, or lost with
  // a lease that runs. Needs of groups that a proxy is not of do not matter.
  std::vector<Waiting> WaitingFor(const std::string& pool, const std::vector<Need>& needs, Millis now) const;

  struct Figures {
    std::uint64_t streams = 0, acks = 0, nacks = 0, stale = 0, pushes = 0, refused = 0;
  };
  Figures figures() const;
  struct ProxyStatus {
    ProxyNode node;
    std::string group;
    bool settled = true;  // it has answered all that it was sent
    std::optional<Rejection> rejection;
    std::uint64_t nacks = 0;
  };
  std::vector<ProxyStatus> proxies() const;

 private:
  struct Group {
    std::shared_ptr<const Snapshot> told;     // what its proxies are told now
    std::shared_ptr<const Snapshot> waiting;  // what they will be, with changes that are not urgent
    Millis since = 0;                         // the oldest of these
  };
  struct Stream {
    explicit Stream(Session::Variant variant, const SessionLimits& limits) : session(variant, limits) {}
    Session session;
    bool known = false;
    ProxyNode node;
    std::string group;
    std::map<std::string, Millis> leases;  // by pool: until when its endpoints may be used
    Millis renewed = 0;
    std::optional<Millis> owing_since;  // it owes acknowledgements, and has given none since
  };
  // A proxy whose stream broke: it may use what it has for a while.
  struct Lost {
    std::string proxy;
    std::string group;
    std::map<std::string, Millis> leases;  // by pool
    HeldResources endpoints, members;      // that it may go by
  };

  void Push(StreamId id, Stream& stream, Millis now, std::vector<Out>& out);
  void Lease(Stream& stream, Out& out, Millis now) const;
  void End(StreamId id, std::string why, Millis now, std::vector<Out>& out);

  const HubOptions options_;
  const Millis begun_;
  std::function<std::string(const ProxyNode&)> grouping_;
  std::set<std::string> strict_;
  std::map<std::string, Group> groups_;
  std::map<StreamId, Stream> streams_;
  std::vector<Lost> lost_;
  Figures past_;  // of streams that have ended
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_HUB_HPP_
