// Protocol state of one proxy's ADS stream, in the state-of-the-world or the delta variant: what the proxy
// has subscribed to, been sent, accepted and rejected, and what it is sent next. No I/O and no clock; the
// caller moves the messages.
//
// Implements the published xDS protocol ("xDS REST and gRPC protocol"): versions, nonces, ACK and NACK,
// wildcards, subscriptions and make-before-break order.
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

// Bounds on the state that one proxy can make the service keep.
struct SessionLimits {
  std::size_t max_subscriptions = 10000;      // names of one type; a collection counts as one
  std::size_t max_initial_versions = 200000;  // resources that a proxy reports as already held
  std::size_t max_name_bytes = 512;
  std::size_t max_unacknowledged_responses = 8;  // of one type; no further ones are sent until an ACK or NACK
  std::size_t max_response_bytes = 1 << 20;      // of the resources in a response that may be split
};

// A DiscoveryRequest or a DeltaDiscoveryRequest.
struct XdsRequest {
  ResourceType type = ResourceType::kCluster;
  std::string nonce;                                // of the response being acknowledged; empty if none
  std::optional<std::string> error_detail;          // set in a NACK: the proxy's reason
  std::string version;                              // state of the world: the last version accepted
  std::vector<std::string> names;                   // state of the world: all subscribed names
  std::vector<std::string> subscribe, unsubscribe;  // delta
  // Delta, first request of a stream: versions of the resources that the proxy already has, by name.
  std::map<std::string, std::string> initial_versions;
};

// A DiscoveryResponse or a DeltaDiscoveryResponse.
struct XdsResponse {
  ResourceType type = ResourceType::kCluster;
  std::string version;
  std::string nonce;
  std::vector<ResourcePtr> resources;
  std::vector<std::string> removed;  // delta: names
};

// A NACK of a proxy.
struct Rejection {
  ResourceType type;
  std::vector<std::string> names;  // changed resources in the rejected response
  std::string reason;              // the proxy's error message, truncated
};

class Session {
 public:
  enum class Variant { kStateOfTheWorld, kDelta };
  explicit Session(Variant variant, const SessionLimits& limits = SessionLimits());

  // Processes a request. Returns an error message if the proxy exceeds a limit; the caller then closes its
  // stream.
  std::optional<std::string> HandleRequest(const XdsRequest& request, const Snapshot& snapshot);

  // Returns the next response that can be sent now, or nullopt if there is none. The caller calls it after
  // each request and with each new snapshot, until it returns nullopt.
  std::optional<XdsResponse> NextResponse(const Snapshot& snapshot);

  // Returns a response without resources, which renews leases; nullopt if the proxy has not requested the
  // type, or if half of the allowed number of responses are unacknowledged.
  std::optional<XdsResponse> MakeHeartbeat(ResourceType type);

  // Returns the version of a resource that the proxy last accepted; null if none. A version that the proxy
  // has reported in initial_versions and that the snapshot does not contain has serial 0.
  ResourcePtr AcceptedResource(ResourceType type, const std::string& name) const {
    return StateOf(type).accepted.Find(name);
  }
  // Returns the oldest version that the proxy may be using: the accepted one, or else the first
  // unacknowledged one; null if it was sent none.
  ResourcePtr OldestUsable(ResourceType type, const std::string& name) const;
  HeldResources AllOldestUsable(ResourceType type) const;
  // Whether the proxy has accepted the latest version of the resource that it was sent.
  bool HasAcceptedLatest(ResourceType type, const std::string& name) const;
  // Whether the proxy has acknowledged or rejected every response of the type.
  bool HasAnsweredAll(ResourceType type) const { return StateOf(type).unacknowledged.empty(); }
  // Forgets that the resource was sent, because the proxy has dropped it since; it is sent again.
  void MarkForResend(ResourceType type, const std::string& name);
  bool IsSubscribed(ResourceType type, const std::string& name) const;
  // Whether the last call of NextResponse held a response back because of too many unacknowledged ones.
  bool is_blocked() const { return is_blocked_; }

  std::uint64_t acks() const { return acks_; }
  std::uint64_t nacks() const { return nacks_; }
  std::uint64_t stale_nonces() const { return stale_nonces_; }
  const std::optional<Rejection>& last_rejection() const { return last_rejection_; }

 private:
  // The changes in a response that was sent.
  struct SentResponse {
    std::string nonce;
    ResourceMap changed;
    std::set<std::string> removed;
  };
  // Subscriptions and resources of one type.
  struct TypeState {
    bool has_requested = false;
    bool is_wildcard = false;
    bool must_respond = false;  // the next response is sent even if nothing has changed
    std::set<std::string> names;
    std::set<std::string> collections;        // subscribed LEDS collections; each name ends in "/"
    HeldResources accepted;                   // what the proxy has acknowledged
    HeldResources latest;                     // `accepted` with all unacknowledged responses applied
    std::set<std::string> reported_missing;   // delta: nonexistent names that were reported as removed
    std::deque<SentResponse> unacknowledged;  // oldest first
    std::string latest_nonce;
    std::map<std::string, std::string> rejected_versions;  // by name; not sent again
    std::set<std::string> retry_individually;  // resources of a rejected response, to be sent one at a time
    std::set<std::string> route_clusters;      // clusters that the accepted route configurations refer to
    std::uint64_t compared_serial = 0;         // snapshot that the state was last compared with
    bool needs_full_comparison = true;         // the snapshot's list of changed names does not suffice
  };

  TypeState& StateOf(ResourceType type) { return states_[static_cast<std::size_t>(type)]; }
  const TypeState& StateOf(ResourceType type) const { return states_[static_cast<std::size_t>(type)]; }
  std::optional<std::string> HandleStateOfTheWorld(TypeState& state, const XdsRequest& request,
                                                   const Snapshot& snapshot);
  std::optional<std::string> HandleDelta(TypeState& state, const XdsRequest& request,
                                         const Snapshot& snapshot);
  void HandleAcknowledgement(TypeState& state, const XdsRequest& request, const Snapshot& snapshot);
  static void ForgetResource(TypeState& state, const std::string& name);
  // Forgets all resources that the proxy is not subscribed to any more.
  void ForgetUnwanted(TypeState& state);
  static void ForgetCollection(TypeState& state, const std::string& collection);
  // Applies a response that was sent to `state.latest`.
  static void ApplyToLatest(TypeState& state, const SentResponse& sent);
  bool IsWanted(const TypeState& state, const std::string& name) const;
  // Returns the resource that the proxy should have under a name now; null if none. For a rejected version or
  // a placeholder, that is the one that it was last sent.
  ResourcePtr DesiredResource(ResourceType type, const std::string& name, const Snapshot& snapshot) const;
  // The same for all subscribed names.
  ResourceMap AllDesired(ResourceType type, const Snapshot& snapshot) const;
  // Adds the difference between the desired and the latest version of one name to `sent`.
  void CompareResource(ResourceType type, const std::string& name, const ResourcePtr& desired,
                       SentResponse& sent);
  // Returns all changes of a type to be sent: of `names`, or of all names if it is nullopt. `all_desired`
  // receives the desired resources if they had to be computed.
  SentResponse ComputeChanges(ResourceType type, const Snapshot& snapshot,
                              const std::optional<std::set<std::string>>& names,
                              std::optional<ResourceMap>& all_desired);
  // Truncates a response to max_response_bytes; the remaining changes are found by the next comparison.
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
