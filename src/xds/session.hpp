// One proxy's ADS stream, in either form of the protocol: what it has asked for, been sent, accepted and
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
struct SessionBounds {
  std::size_t names = 10000;     // subscriptions of one type; a collection counts for one
  std::size_t initial = 200000;  // versions that a proxy says it has
  std::size_t name_bytes = 512;
  std::size_t unacknowledged = 8;  // answers of one type without ACK or NACK: beyond them it is not told more
  std::size_t answer_bytes = 1 << 20;  // of resources in an answer that may be told in parts
};

// A DiscoveryRequest, or a DeltaDiscoveryRequest.
struct Request {
  ResourceType type = ResourceType::kCluster;
  std::string nonce;                                // of the answer that it acknowledges; empty if none
  std::optional<std::string> error;                 // a NACK, with the proxy's reason
  std::string version;                              // state of the world: the last that the proxy accepted
  std::vector<std::string> names;                   // state of the world: all that it wants
  std::vector<std::string> subscribe, unsubscribe;  // delta
  std::map<std::string, std::string> initial_versions;  // delta, first of a stream: what it has already
};

struct Response {
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
  enum class Form { kStateOfTheWorld, kDelta };
  explicit Session(Form form, const SessionBounds& bounds = SessionBounds());

  // Takes a request. Gives one line if the proxy goes beyond its bounds: its stream is to be ended.
  std::optional<std::string> Take(const Request& request, const Snapshot& snapshot);

  // The next answer that is due now; nothing if there is none. To be called until then, after each request
  // and with each new snapshot.
  std::optional<Response> Next(const Snapshot& snapshot);

  // An answer that changes nothing, to renew leases; nothing if the proxy owes too many acknowledgements
  // already.
  std::optional<Response> Heartbeat(ResourceType type);

  // What the proxy is known to hold of a resource, as last accepted; null if nothing. One that it said it has
  // from elsewhere has serial 0.
  ResourcePtr Accepted(ResourceType type, const std::string& name) const { return Of(type).held.Find(name); }
  // The oldest that the proxy may go by: what it has accepted, else the first that is on its way.
  ResourcePtr Oldest(ResourceType type, const std::string& name) const;
  HeldResources OldestOfAll(ResourceType type) const;
  // Whether the proxy has accepted the newest version that it was sent.
  bool Settled(ResourceType type, const std::string& name) const;
  // Whether it has answered all that it was sent.
  bool Answered(ResourceType type) const { return Of(type).out.empty(); }
  // The proxy does not have the resource any more, though it was told: it is told again.
  void Again(ResourceType type, const std::string& name);
  bool Subscribed(ResourceType type, const std::string& name) const;
  // Whether it is to be told of something and can't be, since it acknowledges nothing.
  bool stuck() const { return stuck_; }

  std::uint64_t acks() const { return acks_; }
  std::uint64_t nacks() const { return nacks_; }
  std::uint64_t stale() const { return stale_; }
  const std::optional<Rejection>& last_rejection() const { return last_rejection_; }

 private:
  struct Sent {
    std::string nonce;
    ResourceMap changed;
    std::set<std::string> removed;
  };
  struct State {
    bool begun = false;  // it has asked for this type
    bool wildcard = false;
    bool due = false;  // an answer is owed even if nothing has changed
    std::set<std::string> names;
    std::set<std::string> collections;            // of members, asked for whole
    HeldResources held;                           // accepted
    HeldResources latest;                         // the same, once all answers on their way are accepted
    std::set<std::string> missing;                // delta: asked for, not there, and told so
    std::deque<Sent> out;                         // not acknowledged, oldest first
    std::string newest;                           // nonce of the newest answer
    std::map<std::string, std::string> rejected;  // versions that are not sent again, by name
    std::set<std::string> one_by_one;             // changes of a rejected answer, to be tried alone
    std::set<std::string> clusters;               // that accepted routes lead to, by any of them
    std::uint64_t seen = 0;                       // the snapshot that it was last held against
    bool dirty = true;                            // and more than that has changed since
  };

  State& Of(ResourceType type) { return states_[static_cast<std::size_t>(type)]; }
  const State& Of(ResourceType type) const { return states_[static_cast<std::size_t>(type)]; }
  std::optional<std::string> TakeNames(State& state, const Request& request, const Snapshot& snapshot);
  std::optional<std::string> TakeDelta(State& state, const Request& request, const Snapshot& snapshot);
  void Acknowledge(State& state, const Request& request, const Snapshot& snapshot);
  static void Forget(State& state, const std::string& name);
  // All that the proxy does not want any more.
  void ForgetRest(State& state);
  static void ForgetCollection(State& state, const std::string& collection);
  // What the proxy will hold once it accepts an answer.
  static void Note(State& state, const Sent& sent);
  bool Wants(const State& state, const std::string& name) const;
  // What the proxy should hold of a name now, rejected versions left aside; null if nothing.
  ResourcePtr Desired(ResourceType type, const std::string& name, const Snapshot& snapshot) const;
  // The same of all names.
  ResourceMap DesiredAll(ResourceType type, const Snapshot& snapshot) const;
  // What one name adds to the next answer.
  void Look(ResourceType type, const std::string& name, const ResourcePtr& desired, Sent& sent);
  // All that is to be told of a type: of these names, or of all if there are none to go by. `whole` gets what
  // the proxy should hold, where that had to be found.
  Sent Compare(ResourceType type, const Snapshot& snapshot, const std::optional<std::set<std::string>>& names,
               std::optional<ResourceMap>& whole);
  // Cuts an answer to what may be sent at once; the rest stays to be told.
  void Cut(State& state, Sent& sent) const;
  bool Waits(ResourceType type) const;

  const Form form_;
  const SessionBounds bounds_;
  std::array<State, kResourceTypeCount> states_;
  std::uint64_t nonces_ = 0, acks_ = 0, nacks_ = 0, stale_ = 0;
  bool stuck_ = false;
  std::optional<Rejection> last_rejection_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_SESSION_HPP_
