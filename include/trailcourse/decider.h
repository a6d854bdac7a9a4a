// The interface of the decision module: it decides which cache serves a request, which source fills a miss,
// and when a request is retried or rejected. It takes settings and events, and returns actions. It does no
// I/O and reads no clock: its caller (a router or the bench adapter) passes each event with the current time
// and executes the returned actions in order.
//
// Sizes are in kilobytes. A field that a deployment does not report is 0 unless its comment states otherwise.
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
// Identifies a request. Chosen by the caller: less than 2^63, and never reused with the same decider.
using RequestId = std::uint64_t;
// Identifies an object; the same for all routers.
using ObjectId = std::uint64_t;
// Identifies a timer; chosen by the decider.
using TimerToken = std::uint64_t;

// Whether a request may be executed more than once.
enum class Idempotency {
  kSafe,   // any number of times
  kKeyed,  // within the idempotency window, since nodes recognise its idempotency key
  kUnsafe  // at most once
};

// The nodes that recognise an idempotency key from an earlier attempt.
enum class RetryScope {
  kAll,
  kZone,  // the nodes in the zone of the earlier attempt's target
  kCell   // the nodes in the cell of the earlier attempt's target
};

// Which notes the answers of a deployment carry.
enum class NoteLevel {
  kNone,
  kHit,  // notes on successful answers only; a fill is not distinguished by its origin
  kAll
};

// Which other caches may be the source of a fill.
enum class SiblingSources {
  kNone,
  kLocation,  // caches of the same location
  kAny
};

// The tier of a node. A miss at a cache is filled from a parent or the origin; a miss at a parent is filled
// from the origin.
enum class Role { kCache, kParent, kOrigin };

// The state of a node in an endpoint list. Only a ready node gets new attempts.
enum class NodeState { kReady, kDraining, kGone };

// What an endpoint list contains.
enum class ListKind {
  kChanges,   // the entries that changed; all others stay as they are
  kFull,      // all entries; a node without an entry is gone
  kRestored,  // all entries, as stored before a restart
  kLost       // no entries: the subscription was lost, and the current list stays in use
};

// How an attempt ended.
enum class Status {
  kOk,
  kError,          // the node answered with an error
  kFull,           // the node rejected the attempt for lack of capacity
  kTimeout,        // no answer arrived within the timeout of the attempt
  kConnectFailed,  // no connection could be established
  kReset,          // the connection broke before the answer was complete
  kCancelled,      // a Cancel action ended the attempt
  kNotSent,        // no byte of the attempt was sent
  kNotCached       // only a cached copy was accepted, and there is none
};

// What an answer reports about the copy or the fill. kNotAtSource: the origin does not have the object, the
// source was asked for a cached copy only and has none, or its copy is too old, purged or of another version.
enum class Note {
  kNone,               // the deployment reports nothing
  kHit,                // the cache had a fresh copy
  kFilled,             // a parent filled the miss from its cache; under NoteLevel::kHit any source filled it
  kFilledFromOrigin,   // the miss was filled from the origin, directly or through a parent
  kJoined,             // a fill that was already in progress filled the miss
  kStale,              // the cache answered with a copy past its lifetime
  kSourceRejected,     // the source rejected the fill
  kSourceUnreachable,  // the cache could not connect to the source
  kNotAtSource,        // the source has no copy that may answer the request, see above
  kNoFillCapacity,     // the cache has no capacity for another fill
  kOriginFailed        // the source could not get the object from the origin
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
// Returns whether the answer came from a fill.
inline bool indicates_fill(Note note) {
  return note == Note::kFilled || note == Note::kFilledFromOrigin || note == Note::kJoined;
}

// The rules for a class of requests. "Not read by this module" marks a field that the decider ignores.
struct ClassSettings {
  Idempotency idempotency = Idempotency::kSafe;
  RetryScope retry_scope = RetryScope::kAll;  // for kKeyed only
  Micros idempotency_window{0};  // for kKeyed only: time from the first send in which a retry is recognised
  Micros latency_objective{0};   // time from arrival in which a request should be answered
  double latency_objective_stretch = 0.0;  // seconds added to the objective for each second of sending
  Micros give_up_after{0};       // time after which a client abandons the request; not read by this module
  double priority_weight = 1.0;  // value of an answer relative to other classes; not read by this module
  double late_priority_share = 0.0;  // of the weight, for a late answer, 0 to 1; not read by this module
  bool streaming = false;            // answers are streamed and have no deadline once they have begun
  Micros lifetime{0};                // age up to which a copy is fresh; 0: until it is purged
  Micros grace{0};                   // how long past its lifetime a copy may be accepted
  bool segmented = false;            // objects are requested and cached in parts; not read by this module
  bool uncached = false;             // caches do not store the answers
};

// The settings of a deployment, as one router sees it.
struct Settings {
  int self_index = -1;                 // index of this router among all routers, from 0; negative: not known
  int routers = 1;                     // number of routers in all zones
  std::string zone;                    // zone of this router; only caches of this zone get its attempts
  int routers_in_zone = 1;             // number of routers in this router's zone
  double zone_link_kb_per_s = 0.0;     // capacity of the zone's link; 0: not known; not read by this module
  std::vector<ClassSettings> classes;  // indexed by RequestArrived::request_class

  bool must_subscribe = false;  // endpoint lists arrive only after a Subscribe action
  bool direct = false;          // requests may be sent to a parent or the origin without a cache in between
  bool can_join_fills = false;  // a request may wait for a fill that is already in progress
  SiblingSources siblings = SiblingSources::kNone;  // not read by this module
  NoteLevel notes = NoteLevel::kNone;
  bool weights_are_sizes = false;  // endpoint weights are the numbers of transfers sent at full rate at once
  double stream_kb_per_s = 0.0;    // full rate of one transfer to a client, in kilobytes per second

  int max_attempts = 1;            // maximum number of attempts per request
  bool may_cancel = false;         // attempts in flight can be cancelled
  bool parallel_attempts = false;  // two attempts of one request may be in flight at the same time
  Micros max_retry_after{0};       // longest Retry-After that clients follow; 0: a Reject carries none
  Micros answer_slack{0};  // time after the deadline in which an answer still counts; not read by this module

  // Time within which attempts at a draining or gone node must end. Not read by this module.
  Micros drain_grace{0};
  // Time after a purge from which no attempt may be answered from a purged copy. Not read by this module; the
  // router derives from it how old an endpoint list may be.
  Micros purge_grace{0};
  Micros purge_done{0};  // time after a purge within which all nodes have dropped the purged copies

  // Slow start of caches, then of parents. The share of its capacity that a node has reached rises linearly
  // from `slow_start_from` (0 to 1) at its start to 1 after `slow_start_span`. In each overload span all
  // routers together may send it `overload_factor` times its capacity at that time; 0: no limit.
  double slow_start_from = 1.0;
  Micros slow_start_span{0};
  double overload_factor = 1.0;
  Micros overload_span{0};  // for caches and parents
  double parent_slow_start_from = 1.0;
  Micros parent_slow_start_span{0};
  double parent_overload_factor = 1.0;
};

// An entry of an endpoint list.
struct Endpoint {
  std::string address;  // host and port; identifies the node
  std::string zone;
  Role role = Role::kCache;
  int cell = 0;  // group of nodes that share their idempotency keys (RetryScope::kCell)
  NodeState state = NodeState::kReady;
  double weight = 1.0;  // transfers at full rate at once if Settings::weights_are_sizes; otherwise not used
  Micros started{0};    // when its process started, by the clock of the events; 0: long ago
};

// A load report of a node. A field that the deployment does not report is negative.
struct LoadReport {
  double utilisation = -1.0;  // share of the node's cores in use, 0 to 1
  double concurrent = -1.0;   // number of requests in progress at the node, from all routers
  double hit_share = -1.0;    // share of the node's requests that are hits, 0 to 1; not read by this module
  double link_or_fetches = -1.0;  // caches: share of the zone's link in use; ignored for other nodes
};

// ---- Events ----

// The discovery service sent an endpoint list, or the subscription to it was lost.
struct EndpointListReceived {
  ListKind kind = ListKind::kFull;
  std::vector<Endpoint> entries;
};

// A client's request. It gets exactly one final answer (a successful attempt, a Reject or a Fail) unless the
// client leaves first.
struct RequestArrived {
  RequestId id = 0;
  int request_class = 0;  // index into Settings::classes
  ObjectId object = 0;
  std::uint32_t part = 0;         // part of a segmented object, from 0
  std::uint64_t purge_group = 0;  // group of objects that are purged together
  double size_kb = 0.0;           // size of the answer; 0: not known
  Micros deadline{0};             // when the final answer is due, by the clock of the events
  bool is_retry = false;          // the client repeats an earlier request
  bool write = false;             // the request changes the object; caches do not store its answer
};

// The client closed its connection or gave up. The request needs no final answer any more.
struct ClientLeft {
  RequestId id = 0;
};

// An attempt ended. The caller reports this exactly once for each SendAttempt action.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // number of the SendAttempt action among those of the request, from 0
  Status status = Status::kOk;
  Micros latency{0};      // time from the send to the end of the attempt
  bool finished = false;  // the client has received its final answer
  Note note = Note::kNone;
  Micros source_first_byte_time{0};  // time from the start of the fill to the source's first byte or failure
  LoadReport load;                   // of the node that answered
};

// The answer of a streaming class has begun. From now on the request has no deadline.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};

// An object or a purge group was purged at the origin.
struct Purged {
  bool whole_group = false;  // all objects of `group` were purged; otherwise only `object`
  ObjectId object = 0;
  std::uint64_t group = 0;
  Micros age{0};  // time since the purge
  // False: no purge was reported, but one may have been missed. It applies for Settings::purge_done only.
  bool reported = true;
};

// The result of another router's health check of a cache or parent. It supplements this router's own
// observations and does not replace them.
struct HealthCheckResult {
  std::string address;
  bool healthy = false;
  Micros valid_for{0};  // time until the next result is due
};

// The timer of a SetTimer action expired.
struct TimerFired {
  TimerToken token = 0;
};

// Adds classes, or replaces their rules: classes[i] gets the index `first` + i and starts with the sending
// times of the class at the index `based_on` + i, which has to exist. Requests keep the index of their class.
struct ClassesUpdated {
  std::size_t first = 0;
  std::size_t based_on = 0;
  std::vector<ClassSettings> classes;
};

using Event = std::variant<EndpointListReceived, RequestArrived, ClientLeft, AttemptEnded, StreamStarted,
                           Purged, TimerFired, HealthCheckResult, ClassesUpdated>;

// ---- Actions ----

// Sends an attempt to a cache, or directly to the origin (see Settings::direct).
struct SendAttempt {
  RequestId id = 0;
  std::string cache;            // address of the target
  std::string source;           // address that a miss is filled from; the same as `cache`: no fill
  Micros timeout{0};            // time from now until the deadline of the request
  int keep_rank = 0;            // 0: the answer is not stored; 1 (evicted first) to 3 (evicted last)
  Micros max_age{0};            // greatest age of a copy that may answer; 0: the class's lifetime
  bool join_fill = false;       // the attempt may wait for a fill that is already in progress
  bool only_if_cached = false;  // the source may answer a fill only with a cached copy
};
// Cancels an attempt in flight.
struct Cancel {
  RequestId id = 0;
  int attempt = 0;  // numbered as in AttemptEnded
};
// Gives the final answer that the request was rejected. It guarantees that the client may retry safely.
struct Reject {
  RequestId id = 0;
  Micros retry_after{0};  // time after which the client should retry; 0: none is given
};
// Gives the final answer that the request failed. The request may have had an effect.
struct Fail {
  RequestId id = 0;
};
// Requests a TimerFired event with the same token after the delay. The caller may omit the event once
// `request` has its final answer or its client has left: timers need memory for open requests only.
struct SetTimer {
  TimerToken token = 0;
  Micros delay{0};
  RequestId request = 0;  // the request that the timer belongs to; 0: none
};
// Subscribes to endpoint lists again.
struct Subscribe {};

using Action = std::variant<SendAttempt, Cancel, Reject, Fail, SetTimer, Subscribe>;

// Makes the decisions of one router. Not thread-safe.
class Decider {
 public:
  // `seed` initialises the random numbers. The same settings, seed and events give the same actions.
  Decider(Settings settings, std::uint64_t seed);
  ~Decider();
  Decider(const Decider&) = delete;
  Decider& operator=(const Decider&) = delete;

  // Handles one event and appends the actions to `out` in the order in which they have to be executed. `now`
  // is the time of the caller's steady clock.
  void handle(Micros now, const Event& event, std::vector<Action>& out);

  // Returns whether the attempt of an earlier SendAttempt action may still be sent. The caller has to check
  // this just before it sends the first byte, since the conditions may have changed while the attempt waited,
  // for example for a connection. If it returns false, the caller must send no byte and report the attempt as
  // ended with kNotSent. Throws std::out_of_range if the request is open and has no such attempt.
  bool may_begin(Micros now, RequestId id, int attempt);

  // Returns the memory of the tables that grow with what requests name, in bytes. Their size is bounded.
  std::size_t table_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace trailcourse
