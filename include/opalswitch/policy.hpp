// opalswitch: the decisions of one gateway that spreads requests over HTTP servers.
//
// A Policy is a state machine without I/O. The gateway reports what happens as Events and carries
// out, in order, the Actions that it gets back. A Policy reads no clock, opens nothing and starts
// no thread: the same settings, seed and events always give the same actions. One Policy serves
// one gateway and is called from one thread at a time; several Policies share nothing.
//
// Times are milliseconds on the gateway's own monotonic clock, from any origin. Ids are opaque.
#ifndef OPALSWITCH_POLICY_HPP_
#define OPALSWITCH_POLICY_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace opalswitch {

using Millis = double;

// Whether a request may run again. Safe: freely. Keyed: a group of servers drops repeats for a
// while. Unsafe: never, unless every earlier attempt is known not to have run.
enum class Effect { kSafe, kKeyed, kUnsafe };
// For keyed classes: which servers drop each other's repeats.
enum class DeduplicationScope { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Millis aim = 0;       // an answer within this earns the full worth
  Millis deadline = 0;  // a client's whole patience, over all its tries
  double worth = 1;
  double late_worth = 0;  // share of the worth earned between aim and deadline
  Effect effect = Effect::kUnsafe;
  DeduplicationScope group = DeduplicationScope::kAll;
  Millis repeat_window = 0;  // keyed: how long repeats are dropped, from the first sending on
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // requests a second within its share, over all gateways; 0 = unmetered
};

struct Settings {
  std::vector<ClassSettings> classes;  // at least one
  std::vector<TenantSettings> tenants;
  std::string zone;                   // where this gateway stands
  int gateways = 1;                   // gateways in front of the same servers, this one included
  int index = -1;                     // which of them this one is, from 0; -1 = unknown
  bool requires_watch = false;        // the server list answers only when asked (Watch)
  Millis max_watch_interval = 10000;  // ask mode: longest time without asking
  int max_attempts = 3;
  int max_in_flight =
      0;  // attempts out at once that the gateway has room for, over all servers; 0 = any number
  int streams_per_connection = 1;  // attempts that one connection to a server carries together
  bool can_cancel = false;
  double cold_capacity_fraction = 1;  // a started server can do at least this share of its work ...
  Millis warm_up_time = 0;            // ... and all of it after this long
  double overload_multiple = 3;       // a cold server falls over when sent this multiple of what it can do
  bool has_key_affinity = false;      // a server that met a key lately does less work for it
  bool clients_mark_retries = false;  // clients say of a request that it is a further try
  bool sends_retry_after = false;     // clients are told a Refuse's retry_after
  Millis max_retry_after = 0;         // and heed at most this
  // How the service is judged, in parts of any sum: by the worth of all that is answered within its aim, and
  // by the share so answered of the class that fares worst.
  double total_worth_weight = 1;
  double worst_class_weight = 0;
  std::vector<std::string> load_report_fields;  // names of the values in Outcome::load
};

// ---- Events: what the gateway tells its Policy -------------------------------------------------

// A client's request has arrived. It will get exactly one final answer: the first kServed
// outcome (which the gateway hands to the client itself), a Refuse or a Fail.
struct Request {
  std::string id;          // never used again, not even for the client's next try
  std::string class_name;  // a name from Settings::classes
  std::string tenant;      // empty where there are none
  std::string key;         // what the request is about; empty if unknown
  Millis time_left = 0;    // until the client gives this try up
  bool retry = false;      // a client's further try at what it was refused before; only where clients say so
  Millis cost = 0;         // a guess at the work, as time on a server of size 1; 0 = none
};

// The answer of a streamed class has begun; the attempt now belongs to the client.
struct StreamStarted {
  std::string request;
  int attempt = 0;
};

enum class Result {
  kServed,
  kError,          // answered with an error; may have run
  kRejected,       // turned away unseen; never ran
  kTimedOut,       // no answer in time; may have run
  kConnectFailed,  // no connection; never ran
  kReset,          // connection lost on the way; may have run
  kCancelled,      // withdrawn by a Cancel; may have run
  kNotSent,        // the gateway could not send it at all; never ran
};

// How an attempt ended. Every Send gets exactly one, also after the request is finished.
struct Outcome {
  std::string request;
  int attempt = 0;  // 0, 1, 2 ... in the order of the request's Sends
  std::string server;
  Result result = Result::kServed;
  bool finished = false;     // the request is over: by this outcome or before it
  Millis latency = 0;        // since the Send
  std::vector<double> load;  // the server's load report, as in Settings::load_report_fields; may be empty
};

// The client has left; nothing is owed for the request any more.
struct ClientGone {
  std::string request;
};

// A timer set by SetTimer is due.
struct TimerDue {
  std::string name;
};

enum class ServerState { kUp, kDraining, kGone };

struct Server {
  std::string id;  // survives restarts of the same machine
  std::string zone;
  std::string kind;
  std::string cell;
  ServerState state = ServerState::kUp;
  double weight = 1;      // relative size
  Millis started_at = 0;  // when its process last started; 0 = long ago
};

// News of the servers. A full list replaces what was known; a delta changes only what it names.
// A failed call carries no servers: the last list stays valid.
struct MembershipUpdate {
  enum class Kind { kFull, kDelta, kFailed };
  Kind kind = Kind::kFull;
  std::vector<Server> servers;
};

using Event = std::variant<Request, StreamStarted, Outcome, ClientGone, TimerDue, MembershipUpdate>;

// ---- Actions: what the gateway is to do, in this order -----------------------------------------

// Why a request is refused or failed, for people: nothing may be decided by it.
enum class Cause {
  kUnknownClass,
  kInsufficientTime,      // it came with too little time left to be answered, or to be worth anything
  kQueueFull,             // its class's queue is full
  kOverQuota,             // it gave way to requests within their share
  kRateLimited,           // it waited for a token as long as it may
  kConcurrencyLimited,    // the same, for a server that takes more
  kNoHealthyServer,       // the same, and none is trusted
  kNoConnection,          // the same, for a connection of the gateway's own
  kMayHaveRun,            // an attempt broke that may have run, and must not run twice
  kSlowResponse,          // its server answers others, but not it
  kNoTimeForRetry,        // an attempt broke, and another could not be in time
  kAttemptsExhausted,     // all attempts that it may have broke
  kRetryBudgetExhausted,  // an attempt broke, and servers are too busy for more resends
};
// In one word, "queue", by which logs and clients are told of it.
const char* CauseName(Cause cause);

// Start an attempt. After `timeout` it ends with kTimedOut.
struct Send {
  std::string request;
  std::string server;
  Millis timeout = 0;
};
// Final answer: turned away, trying again is harmless. retry_after 0 = no advice.
struct Refuse {
  std::string request;
  Millis retry_after = 0;
  Cause cause = Cause::kUnknownClass;
};
// Final answer: failed; it may or may not have run.
struct Fail {
  std::string request;
  Cause cause = Cause::kMayHaveRun;
};
// Stop waiting for one attempt. Its Outcome still comes.
struct Cancel {
  std::string request;
  int attempt = 0;
};
struct SetTimer {
  Millis delay = 0;
  std::string name;
};
// Subscribe to changes of the server list; answered by MembershipUpdate. Only in ask mode.
struct Watch {};
// A line for the gateway's log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Watch, Log>;

// What a Policy makes of a server, for those who hand its decisions on to proxies instead of sending.
struct ServerStatus {
  std::string server;
  double weight = 0;     // part of the requests that it should get, relative to the others': its size, times
                         // its warmth, times how much faster than the usual server it answers
  bool ejected = false;  // left out for failing
};

class Policy {
 public:
  // Throws std::invalid_argument naming the field when the settings cannot work.
  Policy(Settings settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles one event at time `now`, which never runs backwards, and appends what is to be done
  // to `actions` (which is not cleared). Give it the server list first: nothing is sent before.
  void Handle(Millis now, const Event& event, std::vector<Action>& actions);

  // Of the servers that are up, in the order of their ids, as of the last event.
  std::vector<ServerStatus> ServerStatuses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalswitch

#endif  // OPALSWITCH_POLICY_HPP_
