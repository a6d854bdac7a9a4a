// The records of owned work in the coordination store, and the transactions that change them.
//
// | key                      | value                                    | written by                    |
// | ------------------------ | ---------------------------------------- | ----------------------------- |
// | fleet/work/NAME          | definition: kind, zone, shards, paused   | an operator or a router       |
// | fleet/own/NAME/SHARD     | owner; the creation revision is the term | the owner, with its lease     |
// | progress/NAME/SHARD      | progress, and the term of its writing    | the owner, by compare-and-set |
// | fleet/done/NAME/SHARD    | exists if the entire shard is done       | the owner                     |
// | fleet/release/NAME/SHARD | member that has to release the shard     | an operator                   |
//
// Every router watches the keys under fleet/. A router reads the progress only of a shard that it acquires.
//
// Library `ownership`: depends on JSON; no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/types.h"
#include "ownership/lease.h"

namespace trailcourse::ownership {

// Definition of background work, which is divided into shards that routers own.
struct Work {
  std::string name;
  std::string kind;  // kind of the task that executes the work
  std::string zone;  // zone whose members may own the work; empty: all zones
  std::uint64_t shards = 1;
  bool paused = false;
  std::uint64_t resumed = 0;  // number of resumptions by operators; each one starts parked shards again
  std::string params;         // parameters of the task, as JSON

  friend bool operator==(const Work&, const Work&) = default;
};

// The owner of a shard.
struct Owner {
  std::string member;
  std::string incarnation;  // of the member's process
  Term term = 0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// Progress of one shard.
struct Progress {
  Term term = 0;              // term of the owner that wrote it
  std::uint64_t writes = 0;   // number of the write within the term; identifies a write without a response
  std::uint64_t starts = 0;   // number of starts since the last checkpoint
  bool parked = false;        // not started until an operator resumes the work
  std::uint64_t resumed = 0;  // Work::resumed when it was parked or started
  std::string by;             // name of the member that wrote it
  std::string checkpoint;     // of the task
  bool done = false;

  friend bool operator==(const Progress&, const Progress&) = default;
};

// Progress in the store, with the revision of its last write.
struct StoredProgress {
  Progress progress;
  coordination::Revision modified = 0;  // 0: there is no record
};

// Identifies a shard by the name of its work and its number.
struct ShardId {
  std::string work;
  std::uint64_t shard = 0;

  friend auto operator<=>(const ShardId&, const ShardId&) = default;
};

// Returns "NAME/SHARD".
std::string to_string(const ShardId& id);

constexpr const char* kWorkPrefix = "fleet/work/";
constexpr const char* kOwnerPrefix = "fleet/own/";
constexpr const char* kProgressPrefix = "progress/";
constexpr const char* kDonePrefix = "fleet/done/";
constexpr const char* kReleasePrefix = "fleet/release/";

// Parses a key of the form PREFIX NAME/SHARD. Returns nothing if it has another form.
std::optional<ShardId> read_shard_key(const std::string& key, const std::string& prefix);

// The field of a work definition that is invalid.
enum class WorkError { kName, kKind, kZone, kShards, kParams };

// Returns the name of the field and its valid values, for operators.
const char* to_string(WorkError error);

// Returns the first invalid field, if any.
std::optional<WorkError> find_error(const Work& work);

// Throws std::invalid_argument, with the text of the error, if a field is invalid.
void check_work(const Work& work);

// Serialize and parse the stored values. The read functions return nothing if the value is not a record;
// read_work() also if a field is invalid.
std::string write_work(const Work& work);
std::optional<Work> read_work(const std::string& key, const std::string& value);
std::string write_owner(const Owner& owner);
std::optional<Owner> read_owner(const std::string& value, Term term);
std::string write_progress(const Progress& progress);
std::optional<Progress> read_progress(const std::string& value);

// Result of acquire_transaction().
struct AcquireResult {
  Term term = 0;        // of the new owner; 0: another router owns the shard
  Owner current_owner;  // if another router owns the shard
  StoredProgress stored;
  bool done = false;
};

// Returns the transaction that makes `owner` the owner of a shard without an owner, and deletes a pending
// release request. If the shard already has an owner, the transaction changes nothing and only reads the
// owner.
// `prefix` precedes all keys.
coordination::Transaction acquire_transaction(const std::string& prefix, const ShardId& id,
                                              const Owner& owner, coordination::LeaseId lease);
// Reads the result of acquire_transaction().
AcquireResult read_acquire_result(const coordination::TransactionResult& outcome);

// Result of write_progress_transaction().
struct ProgressWriteResult {
  bool written = false;
  bool owned = false;     // whether the shard is still owned under the term
  StoredProgress stored;  // after the transaction
};

// Returns the transaction that writes progress if the shard is owned under the term and its progress was not
// written since revision `modified`. Otherwise the transaction reads the owner and the progress.
coordination::Transaction write_progress_transaction(const std::string& prefix, const ShardId& id, Term term,
                                                     coordination::Revision modified,
                                                     const Progress& progress);
// Reads the result of write_progress_transaction(). `attempted` is the progress to write: if the store
// contains it already, an earlier attempt without a response has written it.
ProgressWriteResult read_progress_write_result(const coordination::TransactionResult& outcome, Term term,
                                               const Progress& attempted);

}  // namespace trailcourse::ownership
