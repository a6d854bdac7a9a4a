// One router's part in all owned work: which shards it may try to own and when, what it has to ask the store,
// when a task begins and ends, and whether an effect may be begun now. The lease of each shard (lease.h) says
// for how long; the manager says whether at all.
//
// A shard's life at one router:
//
//     away ──(nobody owns it, my time slot)──> asking ──(granted)──> recording ──(kept)──> delayed ──>
//     running
//      ^                                                            │                               │
//      └──(lost, refused, let go)── yielding <──(drain, hand-over, paused, better owner)────────────┘
//                                                                   └──> parked (too many died of it)
//
// Who begins is written before it begins, under its term, and taken back by the first checkpoint: work whose
// owners die is tried by fewer and fewer, with growing pauses, and then parked for staff. So a poisoned piece
// of work takes down `most_starts` routers, and not one after the other.
//
// Package `ownership`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "ownership/shards.h"
#include "ownership/work.h"

namespace trailcourse::ownership {

struct LeaseManagerRules {
  LeaseRules lease;
  Micros slot{200'000};            // a candidate waits so long for each one before it
  Micros longest_slot{2'000'000};  // and no longer than that in all
  Micros settle{10'000'000};   // a better owner has to be there for so long before the shard is handed to it
  Micros yield_most{500'000};  // for the last checkpoint, when a shard is let go
  Micros stand_back{5'000'000};    // who let go on request does not ask again for so long
  std::uint64_t most_starts = 3;   // owners in a row that died of it; then it is parked
  Micros poison_pause{1'000'000};  // before the second owner begins; doubles
  Micros longest_poison_pause{60'000'000};
  std::size_t most_owned = 64;  // shards of one router
};

enum class ShardPhase { kAway, kAsking, kRecording, kDelayed, kRunning, kYielding, kParked };
const char* to_string(ShardPhase phase);

// What is to be done now, in order.
struct AskLease {  // acquire, renew or release, as in lease.h
  ShardId id;
  Order order;
};
struct Write {  // progress, under the term
  ShardId id;
  std::uint64_t number = 0;
  Term term = 0;
  coordination::Revision modified = 0;
  Progress progress;
};
struct Begin {  // the task, from this checkpoint
  ShardId id;
  Term term = 0;
  std::string checkpoint;
};
struct Finish {  // the task is to come to an end, and to say its last checkpoint
  ShardId id;
  Term term = 0;
};
struct Abandon {  // the task stops at once: it does not own the shard any more, or cannot know
  ShardId id;
  Term term = 0;
};
using LeaseManagerOrder = std::variant<AskLease, Write, Begin, Finish, Abandon>;

// What staff see of a shard.
struct ShardSeen {
  ShardId id;
  ShardPhase phase = ShardPhase::kAway;
  Phase lease = Phase::kCandidate;
  Owner owner;  // as the store told last
  bool done = false;
  std::uint64_t starts = 0;
};

struct LeaseManagerCounts {
  std::uint64_t acquired = 0, lost = 0, yielded = 0, parked = 0, checkpoints = 0, refused_writes = 0;
};

class LeaseManager {
 public:
  // The kinds of work that this router can do.
  LeaseManager(std::string self, std::string incarnation, std::string zone, std::set<std::string> kinds,
               const LeaseManagerRules& rules);

  // What the store told. `members`: those that may be given work, with their zones.
  void members(Micros now, std::map<std::string, std::string> members);
  void work(Micros now, const std::string& name, std::optional<Work> work);
  // `revision`: of the change that told it.
  void owner(Micros now, const ShardId& id, std::optional<Owner> owner, coordination::Revision revision);
  void done(Micros now, const ShardId& id, bool done);
  // `from`: whom staff ask to let it go; empty: nobody.
  void release_asked(Micros now, const ShardId& id, const std::string& from);
  // Another start has this router's name: it does no owned work.
  void shadowed(Micros now, bool shadowed);
  // The kinds that may be owned by the policy in force; those of other kinds are let go. None said: all.
  void allow(Micros now, std::optional<std::set<std::string>> kinds);
  // Whether what the store tells is heard: nothing is asked for where it is not.
  void heard(Micros now, bool heard);
  // Lets all go; nothing is taken on again.
  void drain(Micros now);
  bool drained() const;

  // The store's answers.
  void acquired(Micros now, const ShardId& id, std::uint64_t number, const Acquired& acquired);
  void renewed(Micros now, const ShardId& id, std::uint64_t number, bool alive);
  void released(Micros now, const ShardId& id, std::uint64_t number);
  void lost(Micros now, const ShardId& id, std::uint64_t number);  // no answer to one of these
  void recorded(Micros now, const ShardId& id, std::uint64_t number, const Recorded& recorded);
  void record_lost(Micros now, const ShardId& id, std::uint64_t number);

  // The task's words. A checkpoint is kept as soon as the one before is; `done`: nothing is left to do.
  void checkpoint(Micros now, const ShardId& id, Term term, std::string checkpoint, bool done);
  // It has come to its end after Finish; its last checkpoint was said before.
  void finished(Micros now, const ShardId& id, Term term);
  // Whether an effect under this term may be begun now: to be asked before each.
  bool may_act(Micros now, const ShardId& id, Term term) const;

  std::vector<LeaseManagerOrder> due(Micros now);
  std::optional<Micros> next(Micros now) const;

  std::vector<ShardSeen> all(Micros now) const;
  const LeaseManagerCounts& counts() const { return counts_; }

 private:
  struct Shard {
    explicit Shard(const LeaseRules& rules) : lease(rules) {}

    Lease lease;
    Micros vacant_since{0};
    ShardPhase phase = ShardPhase::kAway;
    Term term = 0;
    Kept kept;                        // progress as it stands, as far as is known
    std::optional<Progress> writing;  // until it is known to be kept
    bool write_out = false;           // a call of it is out
    std::uint64_t write_number = 0;
    Micros write_after{0};
    std::optional<Progress> waiting;  // to be written next
    Micros begin_at{0};
    bool begun = false;  // the task was told to begin
    bool ended = false;  // and said that it has come to its end
    Micros yield_since{-1};
    Micros better_since{-1};  // since when another should own it
    Micros not_before{0};
  };

  Shard* find(const ShardId& id);
  const Work* work_of(const ShardId& id) const;
  std::vector<std::string> candidates(const Work& work) const;
  // When it may be asked for; nothing where this router is not to.
  std::optional<Micros> ask_at(const ShardId& id, const Shard& shard) const;
  std::size_t held() const;
  void leave(Micros now, const ShardId& id, Shard& shard);
  void begin_yield(Micros now, const ShardId& id, Shard& shard);
  void step(Micros now, const ShardId& id, Shard& shard);
  void step_owned(Micros now, const ShardId& id, Shard& shard);
  void record_start(Micros now, const Work& work, Shard& shard);
  void write_next(Micros now, const ShardId& id, Shard& shard);
  void judge_place(Micros now, const ShardId& id, Shard& shard, const Work* work);
  Progress next_progress(const Shard& shard) const;
  Micros pause_after(std::uint64_t starts) const;

  std::string self_;
  std::string incarnation_;
  std::string zone_;
  std::set<std::string> kinds_;
  std::optional<std::set<std::string>> allowed_;
  LeaseManagerRules rules_;
  std::map<std::string, std::string> members_;
  std::map<std::string, Work> works_;
  std::map<ShardId, Shard> shards_;
  std::map<ShardId, Owner> owners_;  // as told, also of work that is not known yet
  std::set<ShardId> done_;
  std::map<ShardId, std::string> releases_;
  std::vector<LeaseManagerOrder> out_;
  bool shadowed_ = false;
  bool heard_ = false;
  bool draining_ = false;
  LeaseManagerCounts counts_;
};

}  // namespace trailcourse::ownership
