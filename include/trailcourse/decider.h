// The interface of the decision module: settings in, events in, actions out. It knows no wire and no clock of
// its own; a router, the bench adapter or another protocol feeds it events and carries out the actions in
// order.
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

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class RepeatGroup { kAll, kZone, kCell };
enum class NoteLevel { kNone, kHit, kAll };
enum class SiblingSources { kNone, kLocation, kAny };
enum class Role { kCache, kParent, kOrigin };
enum class NodeState { kReady, kDraining, kGone };
enum class ListKind { kChanges, kFull, kRemembered, kLost };
enum class Status { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot, kMiss };

// What an answer tells of the copy or of the fill; kNone where the deployment tells nothing.
enum class Note {
  kNone,
  kHit,
  kFilled,
  kFilledFromOrigin,
  kJoined,
  kStale,
  kSourceRefused,
  kSourceUnreachable,
  kSourceLacks,
  kNoFillPlace,
  kOriginFailed
};

// Whether the outcome proves that the attempt never had an effect.
inline bool proves_unrun(Status status) {
  return status == Status::kFull || status == Status::kConnectFailed || status == Status::kMoot ||
         status == Status::kMiss;
}
inline bool tells_of_source(Note note) {
  return note == Note::kSourceRefused || note == Note::kSourceUnreachable || note == Note::kSourceLacks ||
         note == Note::kOriginFailed;
}
inline bool shows_hit(Note note) { return note == Note::kHit || note == Note::kStale; }
inline bool shows_fill(Note note) {
  return note == Note::kFilled || note == Note::kFilledFromOrigin || note == Note::kJoined;
}

struct ClassSettings {
  Effect effect = Effect::kSafe;
  RepeatGroup group = RepeatGroup::kAll;
  Micros memory_span{0};
  Micros objective{0};
  double objective_stretch = 0.0;
  Micros give_up{0};
  double worth = 1.0;
  double late_share = 0.0;
  bool streaming = false;
  Micros lifetime{0};  // 0: a copy is good until purged
  Micros grace{0};
  bool segmented = false;
  bool uncached = false;
};

struct Settings {
  int self_index = -1;  // among all routers; negative: not told
  int routers = 1;
  std::string zone;
  int routers_in_zone = 1;
  double zone_link_kb_per_s = 0.0;  // 0: not told
  std::vector<ClassSettings> classes;

  bool must_ask_for_list = false;
  bool direct = false;
  bool joins = false;
  SiblingSources siblings = SiblingSources::kNone;
  NoteLevel notes = NoteLevel::kNone;
  bool weights_are_sizes = false;  // weights count the transfers that a node sends at full pace
  double stream_kb_per_s = 0.0;    // one transfer to a client

  int attempts_cap = 1;
  bool may_cancel = false;
  bool parallel_tries = false;
  Micros max_retry_after{0};  // the longest wait that clients heed; 0: none is told them
  Micros answer_slack{0};

  Micros drain_grace{0};
  Micros purge_grace{0};
  Micros purge_done{0};
  double cold_from = 1.0;
  Micros cold_span{0};
  double overload_factor = 1.0;
  Micros overload_span{0};
  double parent_cold_from = 1.0;
  Micros parent_cold_span{0};
  double parent_overload_factor = 1.0;
};

struct NodeEntry {
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

struct ListReceived {
  ListKind kind = ListKind::kFull;
  std::vector<NodeEntry> entries;
};
struct RequestArrived {
  RequestId id = 0;
  int request_class = 0;
  ObjectId object = 0;
  std::uint32_t part = 0;
  std::uint64_t purge_group = 0;
  double size_kb = 0.0;  // 0: not told
  Micros due{0};
  bool is_retry = false;
  bool write = false;
};
struct ClientLeft {
  RequestId id = 0;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  Status status = Status::kOk;
  Micros latency{0};
  bool finished = false;
  Note note = Note::kNone;
  Micros waited{0};
  LoadReport load;
};
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};
struct Purged {
  bool whole_group = false;
  ObjectId object = 0;
  std::uint64_t group = 0;
  Micros age{0};
};
// What another router's probe of a cache or parent showed; one observation more, which never replaces this
// router's own.
struct Observed {
  std::string address;
  bool sound = false;
  Micros holds{0};  // until the next one is due
};
struct TimerFired {
  TimerToken token = 0;
};
// Further classes, from the place `first` on: of the same kinds as those from `like` on, under other rules.
// Requests keep the class that they came with.
struct ClassesSet {
  std::size_t first = 0;
  std::size_t like = 0;
  std::vector<ClassSettings> classes;
};
using Event = std::variant<ListReceived, RequestArrived, ClientLeft, AttemptEnded, StreamStarted, Purged,
                           TimerFired, Observed, ClassesSet>;

// An attempt. `source` names where a miss is filled from: a parent, the origin, a sibling, or the cache
// itself.
struct Send {
  RequestId id = 0;
  std::string cache;
  std::string source;
  Micros limit{0};
  int keep = 0;   // 0: pass through; 1 lowest to 3 top
  Micros age{0};  // oldest copy that will do; 0: the class's fresh time
  bool join = false;
  bool held_only = false;  // the source gives only what it holds
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct Refuse {
  RequestId id = 0;
  Micros retry_after{0};
};
struct Fail {
  RequestId id = 0;
};
struct SetTimer {
  TimerToken token = 0;
  Micros delay{0};
};
struct Subscribe {};
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer, Subscribe>;

class Decider {
 public:
  Decider(Settings settings, std::uint64_t seed);
  ~Decider();
  Decider(const Decider&) = delete;
  Decider& operator=(const Decider&) = delete;

  // Handles one event at `now` (the caller's clock, never going back) and appends what is to be done, in
  // order.
  void handle(Micros now, const Event& event, std::vector<Action>& out);

  // Whether an attempt ordered before may go out: asked by whoever holds it, just before its first byte. What
  // was decided on may have changed while it waited, as for a connection that comes up late. Where the answer
  // is no, not a byte goes out, and the attempt ends as kMoot.
  bool may_begin(Micros now, RequestId id, int attempt);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace trailcourse
