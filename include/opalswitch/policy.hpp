// opalswitch: the load-balancing decisions of one gateway in front of a set of HTTP servers.
//
// Policy is a state machine without I/O. The gateway reports what happens as Events and executes the returned
// Actions in order. A Policy reads no clock, opens no files or sockets and starts no threads: the same
// settings, seed and events always produce the same actions. A Policy serves one gateway and must not be
// called from several threads at once. Policy objects share no state.
//
// Times are in milliseconds on the gateway's monotonic clock, with an arbitrary origin. Ids are opaque.
#ifndef OPALSWITCH_POLICY_HPP_
#define OPALSWITCH_POLICY_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace opalswitch {

// A point in time or a duration, in milliseconds.
using Millis = double;

// Whether a request may be executed more than once.
//   kSafe:   always.
//   kKeyed:  repeats are dropped by the servers of the deduplication scope for ClassSettings::repeat_window,
//            so a retry must stay within both.
//   kUnsafe: only if every earlier attempt is known not to have run.
enum class Effect { kSafe, kKeyed, kUnsafe };
// The servers among which repeats of a keyed request are dropped: all of them, or those that are in the same
// zone or cell as the server that the request was first sent to.
enum class DeduplicationScope { kAll, kZone, kCell };

// A class of requests with a common latency target.
struct ClassSettings {
  std::string name;
  Millis aim = 0;         // latency target: a response within this time earns the full worth
  Millis deadline = 0;    // the time after which clients give up, including their own retries
  double worth = 1;       // value of a response within the aim
  double late_worth = 0;  // fraction of the worth that a response between aim and deadline earns
  Effect effect = Effect::kUnsafe;
  DeduplicationScope group = DeduplicationScope::kAll;  // kKeyed only
  Millis repeat_window = 0;  // kKeyed only: how long repeats are dropped, counted from the first attempt
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // quota in requests per second over all gateways; 0 = unlimited
};

struct Settings {
  std::vector<ClassSettings> classes;  // 1 to 64
  std::vector<TenantSettings> tenants;
  std::string zone;                   // the gateway's zone
  int gateways = 1;                   // number of gateways that use the same servers, including this one
  int index = -1;                     // index of this gateway among them, from 0; -1 = unknown
  bool requires_watch = false;        // membership updates only arrive in response to a Watch action
  Millis max_watch_interval = 10000;  // with requires_watch: the longest time without a Watch
  int max_attempts = 3;               // per request, including the first one
  int max_in_flight = 0;              // attempts in flight over all servers; 0 = unlimited
  int streams_per_connection = 1;     // concurrent attempts that one connection to a server carries
  bool can_cancel = false;            // the gateway supports Cancel
  double cold_capacity_fraction = 1;  // minimum fraction of its capacity that a server has after its start;
  Millis warm_up_time = 0;            // it grows linearly to 1 during this time
  double overload_multiple = 3;   // a cold server fails when it gets this multiple of its current capacity
  bool has_key_affinity = false;  // a server does less work for a key that it has handled recently
  bool clients_mark_retries = false;  // Request::retry is set for clients' retries
  bool sends_retry_after = false;     // clients receive Refuse::retry_after
  Millis max_retry_after = 0;         // clients honor retry_after up to this value
  // Service quality is a weighted sum of two terms; only the ratio of the weights matters. The first is the
  // worth of all responses within their aim, the second is the fraction of such responses in the class where
  // it is lowest.
  double total_worth_weight = 1;
  double worst_class_weight = 0;
  std::vector<std::string> load_report_fields;  // names of the values in Outcome::load
};

// ---- Events: reported by the gateway to its Policy ---------------------------------------------

// A client's request has arrived. Unless the client disconnects, it gets exactly one final answer: the first
// kServed outcome (which the gateway forwards to the client itself), a Refuse or a Fail.
struct Request {
  std::string id;          // unique; a client's retry has a new id
  std::string class_name;  // a name from Settings::classes
  std::string tenant;      // a name from Settings::tenants; empty without tenants
  std::string key;         // key for key affinity; empty if unknown
  Millis time_left = 0;    // until the client gives up on this request
  bool retry = false;      // the client was refused before; only with Settings::clients_mark_retries
  Millis cost = 0;         // the client's estimate of the service time on a server of weight 1; 0 = none
};

// The gateway has begun to stream a response to the client. The request gets no other final answer, but the
// attempt's Outcome is still reported.
struct StreamStarted {
  std::string request;
  int attempt = 0;
};

// How an attempt ended.
enum class Result {
  kServed,         // successful response
  kError,          // error response; may have run
  kRejected,       // rejected by the server before execution; never ran
  kTimedOut,       // no response within Send::timeout; may have run
  kConnectFailed,  // connection not established; never ran
  kReset,          // connection lost after sending; may have run
  kCancelled,      // ended by a Cancel; may have run
  kNotSent,        // the gateway could not send it; never ran
};

// Whether a request whose attempt ended so may have been executed.
constexpr bool MayHaveRun(Result result) {
  return result != Result::kRejected && result != Result::kConnectFailed && result != Result::kNotSent;
}

// The end of an attempt. Each Send gets exactly one Outcome, even if the request already has its final
// answer.
struct Outcome {
  std::string request;
  int attempt = 0;  // index of the Send among those of the request, from 0
  std::string server;
  Result result = Result::kServed;
  bool finished = false;     // the request has its final answer, through this outcome or earlier
  Millis latency = 0;        // time since the Send
  std::vector<double> load;  // the server's load report: Settings::load_report_fields in order, or empty
};

// The client has disconnected; the request needs no final answer any more.
struct ClientGone {
  std::string request;
};

// A timer that was set by SetTimer has expired.
struct TimerDue {
  std::string name;
};

// kDraining: gets no new requests; those in flight finish. kGone: removed.
enum class ServerState { kUp, kDraining, kGone };

struct Server {
  std::string id;    // stays the same when the server process restarts
  std::string zone;  // availability zone
  std::string kind;  // servers of the same kind share latency statistics
  std::string cell;  // unit of deduplication, see DeduplicationScope
  ServerState state = ServerState::kUp;
  double weight = 1;      // relative capacity; a value that is not finite and above 0 counts as 1
  Millis started_at = 0;  // start time of the server process; 0 = long ago
};

// Longest time from a membership request that fails to the next one. A change of the list counts as known to
// the gateway 6 s after the source has it and can be reached; the rest of that time is for the next request,
// and for another one if that fails, too.
inline constexpr Millis kMaxWatchRetryDelayMs = 3000;

// When the next membership request after a failed one may start, counted from the failure.
struct RetryWindow {
  Millis earliest = 0;
  Millis latest = kMaxWatchRetryDelayMs;
};

// A change of the server list. kFull replaces the list; kDelta adds or updates only the servers it contains.
// kFailed reports that the membership source failed: it carries no servers and the last list stays in effect.
struct MembershipUpdate {
  enum class Kind { kFull, kDelta, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Server> servers;
  RetryWindow retry = {};  // of the next Watch; kFailed only
};

using Event = std::variant<Request, StreamStarted, Outcome, ClientGone, TimerDue, MembershipUpdate>;

// ---- Actions: to be executed by the gateway, in order ------------------------------------------

// The cause of a refusal or failure. Informational: programs must not base decisions on it.
enum class Cause {
  kUnknownClass,          // Request::class_name is not in Settings::classes
  kInsufficientTime,      // on arrival, too little time was left to answer it, or to answer it with any worth
  kQueueFull,             // the queue of its class is full
  kOverQuota,             // beyond its tenant's quota, and refused in favor of requests within quota
  kRateLimited,           // no token became available within the maximum queueing time
  kConcurrencyLimited,    // no server below its concurrency limit became available within that time
  kNoHealthyServer,       // as kConcurrencyLimited, but there is no server that may be sent requests
  kNoConnection,          // no connection became free within that time (Settings::max_in_flight)
  kMayHaveRun,            // an attempt that may have run failed, and the class must not run twice
  kSlowResponse,          // an attempt timed out on a server that still answers other requests
  kNoTimeForRetry,        // an attempt failed, and a retry could not be answered in time
  kAttemptsExhausted,     // Settings::max_attempts attempts failed
  kRetryBudgetExhausted,  // an attempt failed, and the retry budget is used up
};
// The cause as one lowercase word, for logs and clients. The words are part of the external interface.
const char* CauseName(Cause cause);

// Start an attempt. It ends with kTimedOut if there is no response after `timeout`. If the last byte of the
// request has not been written `write_within` ms from now, it must not be written any more, and the attempt
// ends with kNotSent: the servers drop a repeat only until then. 0 means that there is no such limit.
struct Send {
  std::string request;
  std::string server;
  Millis timeout = 0;
  Millis write_within = 0;
};
// Final answer: the request is refused, and a retry by the client is harmless.
struct Refuse {
  std::string request;
  Millis retry_after = 0;  // when the client should retry; 0 = no advice
  Cause cause = Cause::kUnknownClass;
};
// Final answer: the request failed and may have run.
struct Fail {
  std::string request;
  Cause cause = Cause::kMayHaveRun;
};
// Abort one attempt. Its Outcome must still be reported.
struct Cancel {
  std::string request;
  int attempt = 0;
};
// Report a TimerDue with this name after `delay`.
struct SetTimer {
  Millis delay = 0;
  std::string name;
};
// Request the server list from the membership source; the response is a MembershipUpdate. Only with
// Settings::requires_watch.
struct Watch {};
// Write a line to the gateway's log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Watch, Log>;

// The Policy's assessment of a server, for callers that pass it on to proxies instead of sending requests.
struct ServerStatus {
  std::string server;
  // Load-balancing weight relative to the other servers: Server::weight, times the fraction of its capacity
  // that the server has while it warms up, times the clamped ratio of the median latency to the server's
  // latency.
  double weight = 0;
  bool ejected = false;  // excluded by outlier detection because of failures
};

// The state machine; see the head of this file.
class Policy {
 public:
  // Throws std::invalid_argument, whose text starts with the field's name, if the settings are invalid.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles one event at time `now` and appends the resulting actions to `actions`, which is not cleared.
  // Times must not go backwards; an earlier one is treated as the latest one so far. No request is sent
  // before the first MembershipUpdate.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  // The servers that are up, ordered by id, as of the last event.
  std::vector<ServerStatus> ServerStatuses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_POLICY_HPP_
