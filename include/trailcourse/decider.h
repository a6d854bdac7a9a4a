// The interface of the decision module: settings in, events in, actions out. It knows no wire and no clock of
// its own; a router, the bench adapter or another protocol feeds it events and executes the actions in order.
//
// Unless stated otherwise, sizes are in kilobytes and a field that a deployment does not report is 0.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trailcourse {

using Micros = std::chrono::microseconds;
using RequestId = std::uint64_t;
using ObjectId = std::uint64_t;
using TimerToken = std::uint64_t;

// Whether a request may be executed more than once: any number of times, with an idempotency key, or never.
enum class Idempotency { kSafe, kKeyed, kUnsafe };

// The nodes among which an idempotency key is recognised: all, those of one zone, or those of one cell.
enum class RetryScope { kAll, kZone, kCell };

// Which notes the answers of a deployment carry.
enum class NoteLevel { kNone, kHit, kAll };

// Which other caches may be the source of a fill: none, those of the own location, or any.
enum class SiblingSources { kNone, kLocation, kAny };

enum class Role { kCache, kParent, kOrigin };
enum class NodeState { kReady, kDraining, kGone };

// What an endpoint list holds: changes to the current one, the whole list, the whole list as it was stored
// before a restart, or nothing because the subscription was lost.
enum class ListKind { kChanges, kFull, kRestored, kLost };

// How an attempt ended. kFull: rejected for want of capacity; kNotSent: not a byte of it was sent;
// kNotCached: the copy asked for is not cached.
enum class Status { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent, kNotCached };

// What an answer reports of the copy or of the fill; kNone where the deployment reports nothing.
enum class Note {
  kNone,
  kHit,
  kFilled,            // by a parent that had it cached, or by any source where notes do not tell them apart
  kFilledFromOrigin,  // by way of the origin
  kJoined,            // by a fill that was under way
  kStale,             // from a copy past its lifetime
  kSourceRejected,
  kSourceUnreachable,
  kNotAtSource,
  kNoFillCapacity,  // the cache cannot take one more fill
  kOriginFailed
};

// Returns whether the status proves that the attempt never had an effect.
inline bool proves_not_executed(Status status) {
  return status == Status::kFull || status == Status::kConnectFailed || status == Status::kNotSent ||
         status == Status::kNotCached;
}
// Returns whether the note reports a failure of the source or of the origin behind it.
inline bool implicates_source(Note note) {
  return note == Note::kSourceRejected || note == Note::kSourceUnreachable || note == Note::kNotAtSource ||
         note == Note::kOriginFailed;
}
// Returns whether the answer came from a cached copy.
inline bool indicates_hit(Note note) { return note == Note::kHit || note == Note::kStale; }
// Returns whether the answer came by way of a fill.
inline bool indicates_fill(Note note) {
  return note == Note::kFilled || note == Note::kFilledFromOrigin || note == Note::kJoined;
}

// The rules of a class of requests.
struct ClassSettings {
  Idempotency idempotency = Idempotency::kSafe;
  RetryScope retry_scope = RetryScope::kAll;  // of a keyed class
  Micros idempotency_window{0};               // from the first send; in it a keyed request may be repeated
  Micros latency_objective{0};
  double latency_objective_stretch = 0.0;  // added to the objective for each second of sending
  Micros give_up_after{0};                 // the client's patience
  double priority_weight = 1.0;
  double late_priority_share = 0.0;  // of the priority weight that a late answer earns
  bool streaming = false;
  Micros lifetime{0};  // 0: a copy is good until purged
  Micros grace{0};     // how far past its lifetime a copy may be accepted
  bool segmented = false;
  bool uncached = false;
};

// The settings of a deployment.
struct Settings {
  int self_index = -1;  // among all routers; negative: not known
  int routers = 1;
  std::string zone;
  int routers_in_zone = 1;
  double zone_link_kb_per_s = 0.0;  // 0: not known
  std::vector<ClassSettings> classes;

  bool must_subscribe = false;  // endpoint lists come only after a Subscribe action
  bool direct = false;          // requests may go straight to a parent or the origin
  bool can_join_fills = false;
  SiblingSources siblings = SiblingSources::kNone;
  NoteLevel notes = NoteLevel::kNone;
  bool weights_are_sizes = false;  // weights count the transfers that a node sends at full pace
  double stream_kb_per_s = 0.0;    // of one transfer to a client, at most

  int max_attempts = 1;  // of one request
  bool may_cancel = false;
  bool parallel_attempts = false;  // two attempts of one request may be in flight together
  Micros max_retry_after{0};       // the longest that clients heed; 0: they are given none
  Micros answer_slack{0};          // past the deadline in which a final answer still counts

  Micros drain_grace{0};  // within which attempts at a draining or gone node must end
  Micros purge_grace{0};  // after which an attempt must not be answered from a purged copy
  Micros purge_done{0};   // within which all nodes have dropped the purged copies
  // The share of its capacity that a cache has at its start, the time until it has all of it, and the
  // multiple of its present capacity that it bears over the overload span; then the same of parents.
  double slow_start_from = 1.0;
  Micros slow_start_span{0};
  double overload_factor = 1.0;
  Micros overload_span{0};
  double parent_slow_start_from = 1.0;
  Micros parent_slow_start_span{0};
  double parent_overload_factor = 1.0;
};

// An entry of an endpoint list.
struct Endpoint {
  std::string address;
  std::string zone;
  Role role = Role::kCache;
  int cell = 0;
  NodeState state = NodeState::kReady;
  double weight = 1.0;
  Micros started{0};  // 0: long ago
};

// A load report; a field that the deployment does not report is negative.
struct LoadReport {
  double utilisation = -1.0;
  double concurrent = -1.0;
  double hit_share = -1.0;
  double link_or_fetches = -1.0;
};

// ---- Events ----

struct EndpointListReceived {
  ListKind kind = ListKind::kFull;
  std::vector<Endpoint> entries;
};

// A client's request, which is owed one final answer: a success, a Reject or a Fail.
struct RequestArrived {
  RequestId id = 0;
  int request_class = 0;
  ObjectId object = 0;
  std::uint32_t part = 0;
  std::uint64_t purge_group = 0;
  double size_kb = 0.0;  // 0: not known
  Micros deadline{0};    // by the caller's clock
  bool is_retry = false;
  bool write = false;
};

struct ClientLeft {
  RequestId id = 0;
};

// The end of an attempt; each attempt has exactly one.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // from 0, in the order of the SendAttempt actions of the request
  Status status = Status::kOk;
  Micros latency{0};
  bool finished = false;  // the request has its final answer
  Note note = Note::kNone;
  Micros source_first_byte_time{0};  // from the start of the fill to the source's first byte or failure
  LoadReport load;
};

// The answer of a streamed class has begun; from now on it has no deadline.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

// An object or a whole purge group was purged at the origin, `age` ago.
struct Purged {
  bool whole_group = false;
  ObjectId object = 0;
  std::uint64_t group = 0;
  Micros age{0};
};

// The result of another router's health check of a cache or parent. It adds to this router's own observations
// and replaces none of them.
struct HealthCheckResult {
  std::string address;
  bool healthy = false;
  Micros valid_for{0};  // until the next one is due
};

struct TimerFired {
  TimerToken token = 0;
};

// New rules for the classes from `first` on. They start with the statistics of the classes from `based_on`
// on. Requests keep the class that they came with.
struct ClassesUpdated {
  std::size_t first = 0;
  std::size_t based_on = 0;
  std::vector<ClassSettings> classes;
};

using Event = std::variant<EndpointListReceived, RequestArrived, ClientLeft, AttemptEnded, StreamStarted,
                           Purged, TimerFired, HealthCheckResult, ClassesUpdated>;

// ---- Actions ----

// Sends an attempt. `source` names where a miss is filled from: a parent, the origin, a sibling, or the cache
// itself for no fill.
struct SendAttempt {
  RequestId id = 0;
  std::string cache;
  std::string source;
  Micros timeout{0};
  int keep_rank = 0;            // 0: the cache keeps nothing; 1: dropped first, to 3: dropped last
  Micros max_age{0};            // oldest copy that is accepted; 0: the class's lifetime
  bool join_fill = false;       // it may join a fill that is under way
  bool only_if_cached = false;  // the source gives only what it has cached
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
// A final answer that promises the client that a retry does no harm.
struct Reject {
  RequestId id = 0;
  Micros retry_after{0};
};
// A final answer without a promise about effects.
struct Fail {
  RequestId id = 0;
};
struct SetTimer {
  TimerToken token = 0;
  Micros delay{0};
};
// Subscribes to endpoint lists anew.
struct Subscribe {};

using Action = std::variant<SendAttempt, Cancel, Reject, Fail, SetTimer, Subscribe>;

// The decisions of one router. Not thread-safe.
class Decider {
 public:
  // `seed` sets all random draws: the same events give the same actions.
  Decider(Settings settings, std::uint64_t seed);
  ~Decider();
  Decider(const Decider&) = delete;
  Decider& operator=(const Decider&) = delete;

  // Handles one event at `now`, by the caller's clock, which never goes back, and appends the actions to
  // `out` in the order in which they are to be executed.
  void handle(Micros now, const Event& event, std::vector<Action>& out);

  // Returns whether an attempt ordered before may be sent now. The caller asks just before the first byte,
  // since what the attempt was decided on may have changed while it waited, as for a connection. If not, not
  // a byte may be sent, and the attempt ends as kNotSent.
  bool may_begin(Micros now, RequestId id, int attempt);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace trailcourse
