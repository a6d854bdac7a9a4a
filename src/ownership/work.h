// The records of owned work as they stand in the store, and the transactions that change them.
//
// | key                          | holds                                              | written by | |
// ---------------------------- | -------------------------------------------------- |
// ------------------------- | | work/NAME                    | what the work is, in how many shards, whether
// paused | staff, or who asks for it | | own/NAME/SHARD               | who owns it; its creation is the
// term; ends with the lease | the owner         | | progress/NAME/SHARD          | what was done of it, under
// which term              | the owner, by compare-and-set | | done/NAME/SHARD              | that all of it
// is done                             | the owner                 | | release/NAME/SHARD           | whom
// staff ask to let it go                        | staff                     |
//
// What stands under fleet/ is watched by every router; progress is read by who takes a shard on.
//
// Package `ownership`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/types.h"
#include "ownership/lease.h"

namespace trailcourse::ownership {

struct Work {
  std::string name;
  std::string kind;  // which task carries it out
  std::string zone;  // whose members may own it; empty: all
  std::uint64_t shards = 1;
  bool paused = false;
  std::uint64_t resumed = 0;  // how often staff resumed it: a parked shard is tried again
  std::string params;         // of its kind, JSON as text

  friend bool operator==(const Work&, const Work&) = default;
};

struct Owner {
  std::string member;
  std::string incarnation;
  Term term = 0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

struct Progress {
  Term term = 0;              // under which it was written
  std::uint64_t writes = 0;   // of that term: tells one write from another whose answer was lost
  std::uint64_t starts = 0;   // owners that began since the last checkpoint: those that died of it
  bool parked = false;        // not tried any more until staff resume it
  std::uint64_t resumed = 0;  // the work's count when it was parked
  std::string by;
  std::string checkpoint;  // of the task
  bool done = false;

  friend bool operator==(const Progress&, const Progress&) = default;
};
// As it stands in the store; `modified` 0: there is none.
struct Kept {
  Progress progress;
  coordination::Revision modified = 0;
};

struct ShardId {
  std::string work;
  std::uint64_t shard = 0;

  friend auto operator<=>(const ShardId&, const ShardId&) = default;
};
std::string to_string(const ShardId& id);  // "NAME/SHARD"

constexpr const char* kWork = "fleet/work/";
constexpr const char* kOwn = "fleet/own/";
constexpr const char* kProgress = "progress/";
constexpr const char* kDone = "fleet/done/";
constexpr const char* kRelease = "fleet/release/";
// Nothing where the key is none of these, without the stem.
std::optional<ShardId> read_shard_key(const std::string& key, const std::string& stem);

// Throws std::invalid_argument that names the field.
void check_work(const Work& work);
std::string write_work(const Work& work);
std::optional<Work> read_work(const std::string& key, const std::string& value);
std::string write_owner(const Owner& owner);
std::optional<Owner> read_owner(const std::string& value, Term term);
std::string write_progress(const Progress& progress);
std::optional<Progress> read_progress(const std::string& value);

// The transactions, under a prefix for all keys. The answers are read by the functions beside them.

// Owns the shard where nobody does; else tells who does. A release that was asked for is over with it.
coordination::Transaction acquire(const std::string& prefix, const ShardId& id, const Owner& owner,
                                  coordination::LeaseId lease);
struct Acquired {
  Term term = 0;  // 0: another owns it
  Owner other;
  Kept kept;
  bool done = false;
};
Acquired read_acquired(const coordination::TransactionResult& outcome);

// Writes progress where the shard is owned under that term and nobody wrote since; else tells what stands.
coordination::Transaction record(const std::string& prefix, const ShardId& id, Term term,
                                 coordination::Revision modified, const Progress& progress);
struct Recorded {
  bool written = false;
  bool owned = false;  // under this term, still
  Kept kept;
};
// `wrote`: what the transaction was to write, so that one whose answer was lost is known again.
Recorded read_recorded(const coordination::TransactionResult& outcome, Term term, const Progress& wrote);

}  // namespace trailcourse::ownership
