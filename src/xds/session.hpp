// One proxy's ADS stream, in either variant of the protocol: what it has asked for, been sent, accepted and
// rejected, and what it is to be sent next. Pure: no I/O, no clock; the caller moves the messages.
//
// Source: the published xDS protocol ("xDS REST and gRPC protocol"): versions, nonces, ACK and NACK,
// wildcards, subscriptions, make-before-break order.
#ifndef OPALSWITCH_XDS_SESSION_HPP_
#define OPALSWITCH_XDS_SESSION_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "xds/held_resources.hpp"
#include "xds/snapshot.hpp"

namespace opalswitch::xds {

// What a proxy may make grow.
struct SessionLimits {
  std::size_t max_subscriptions = 10000;      // subscriptions of one type; a collection counts for one
  std::size_t max_initial_versions = 200000;  // versions that a proxy says it has
  std::size_t max_name_bytes = 512;
  std::size_t max_unacknowledged_responses =
      8;  // answers of one type without ACK or NACK: beyond them it is not told more
  std::size_t max_response_bytes = 1 << 20;  // of resources in an answer that may be told in parts
};

// A DiscoveryRequest, or a DeltaDiscoveryRequest.
struct XdsRequest {
  ResourceType type = ResourceType::kCluster;
  std::string nonce;                                // of the answer that it acknowledges; empty if none
  std::optional<std::string> error_detail;          // a NACK, with the proxy's reason
  std::string version;                              // state of the world: the last that the proxy accepted
  std::vector<std::string> names;                   // state of the world: all that it wants
  std::vector<std::string> subscribe, unsubscribe;  // delta
  std::map<std::string, std::string> initial_versions;  // delta, first of a stream: what it has already
};

struct XdsResponse {
  ResourceType type = ResourceType::kCluster;
  std::string version;
  std::string nonce;
  std::vector<ResourcePtr> resources;
  std::vector<std::string> removed;  // delta
};

struct Rejection {
  ResourceType type;
  std::vector<std::string> names;  // of the changes in the rejected answer
  std::string reason;              // as the proxy words it, shortened
};

class Session {
 public:
  enum class Variant { kStateOfTheWorld, kDelta };
  explicit Session(Variant variant, const SessionLimits& limits = SessionLimits());

  // Takes a request. Gives one line if the proxy goes beyond its limits: its stream is to be ended.
  std::optional<std::string> HandleRequest(const XdsRequest& request, const Snapshot& snapshot);

  // The next answer that is due now; nothing if there is none. To be called until then, after each request
  // and with each new snapshot.
  std::optional<XdsResponse> NextResponse(const Snapshot& snapshot);

  // An answer that changes nothing, to renew leases; nothing if the proxy owes too many acknowledgements
  // already.
  std::optional<XdsResponse> MakeHeartbeat(ResourceType type);

  // What the proxy is known to hold of a resource, as last accepted; null if nothing. One that it said it has
  // from elsewhere has serial 0.
  ResourcePtr AcceptedResource(ResourceType type, const std::string& name) const {
    return StateOf(type).accepted.Find(name);
  }
  // The oldest that the proxy may go by: what it has accepted, else the first that is on its way.
  ResourcePtr OldestUsable(ResourceType type, const std::string& name) const;
  HeldResources AllOldestUsable(ResourceType type) const;
  // Whether the proxy has accepted the newest version that it was sent.
  bool HasAcceptedLatest(ResourceType type, const std::string& name) const;
  // Whether it has answered all that it was sent.
  bool HasAnsweredAll(ResourceType type) const { return StateOf(type).unacknowledged.empty(); }
  // The proxy does not have the resource any more, though it was told: it is told again.
  void MarkForResend(ResourceType type, const std::string& name);
  bool IsSubscribed(ResourceType type, const std::string& name) const;
  // Whether it is to be told of something and can't be, since it acknowledges nothing.
  bool is_blocked() const { return is_blocked_; }

  std::uint64_t acks() const { return acks_; }
  std::uint64_t nacks() const { return nacks_; }
  std::uint64_t stale_nonces() const { return stale_nonces_; }
  const std::optional<Rejection>& last_rejection() const { return last_rejection_; }

 private:
  struct SentResponse {
    std::string nonce;
    ResourceMap changed;
    std::set<std::string> removed;
  };
  struct TypeState {
    bool has_requested = false;  // it has asked for this type
    bool is_wildcard = false;
    bool must_respond = false;  // an answer is owed even if nothing has changed
    std::set<std::string> names;
    std::set<std::string> collections;        // of members, asked for whole
    HeldResources accepted;                   // accepted
    HeldResources latest;                     // the same, once all answers on their way are accepted
    std::set<std::string> reported_missing;   // delta: asked for, not there, and told so
    std::deque<SentResponse> unacknowledged;  // not acknowledged, oldest first
    std::string latest_nonce;                 // nonce of the newest answer
    std::map<std::string, std::string> rejected_versions;  // versions that are not sent again, by name
    std::set<std::string> retry_individually;              // changes of a rejected answer, to be tried alone
    std::set<std::string> route_clusters;                  // that accepted routes lead to, by any of them
    std::uint64_t compared_serial = 0;                     // the snapshot that it was last held against
    bool needs_full_comparison = true;                     // and more than that has changed since
  };

  TypeState& StateOf(ResourceType type) { return states_[static_cast<std::size_t>(type)]; }
  const TypeState& StateOf(ResourceType type) const { return states_[static_cast<std::size_t>(type)]; }
  std::optional<std::string> HandleStateOfTheWorld(TypeState& state, const XdsRequest& request,
                                                   const Snapshot& snapshot);
  std::optional<std::string> HandleDelta(TypeState& state, const XdsRequest& request,
                                         const Snapshot& snapshot);
  void HandleAcknowledgement(TypeState& state, const XdsRequest& request, const Snapshot& snapshot);
  static void ForgetResource(TypeState& state, const std::string& name);
  // All that the proxy does not want any more.
  void ForgetUnwanted(TypeState& state);
  static void ForgetCollection(TypeState& state, const std::string& collection);
  // What the proxy will hold once it accepts an answer.
  static void ApplyToLatest(TypeState& state, const SentResponse& sent);
  bool IsWanted(const TypeState& state, const std::string& name) const;
  // What the proxy should hold of a name now, rejected versions left aside; null if nothing.
  ResourcePtr DesiredResource(ResourceType type, const std::string& name, const Snapshot& snapshot) const;
  // The same of all names.
  ResourceMap AllDesired(ResourceType type, const Snapshot& snapshot) const;
  // What one name adds to the next answer.
  void CompareResource(ResourceType type, const std::string& name, const ResourcePtr& desired,
                       SentResponse& sent);
  // All that is to be told of a type: of these names, or of all if there are none to go by. `whole` gets what
  // the proxy should hold, where that had to be found.
  SentResponse ComputeChanges(ResourceType type, const Snapshot& snapshot,
                              const std::optional<std::set<std::string>>& names,
                              std::optional<ResourceMap>& whole);
  // Cuts an answer to what may be sent at once; the rest stays to be told.
  void LimitResponseSize(TypeState& state, SentResponse& sent) const;
  bool WaitsForClusters(ResourceType type) const;

  const Variant variant_;
  const SessionLimits limits_;
  std::array<TypeState, kResourceTypeCount> states_;
  std::uint64_t nonces_ = 0, acks_ = 0, nacks_ = 0, stale_nonces_ = 0;
  bool is_blocked_ = false;
  std::optional<Rejection> last_rejection_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_SESSION_HPP_
