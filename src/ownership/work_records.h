// Records of owned work as they are stored, and the transactions that change them.
//
// | key                      | value                                    | written by                    |
// | ------------------------ | ---------------------------------------- | ----------------------------- |
// | fleet/work/NAME          | definition: kind, zone, shards, paused   | staff, or who requests it     |
// | fleet/own/NAME/SHARD     | owner; the creation revision is the term | the owner, with its lease     |
// | progress/NAME/SHARD      | progress, and the term of its writing    | the owner, by compare-and-set |
// | fleet/done/NAME/SHARD    | exists where the entire shard is done    | the owner                     |
// | fleet/release/NAME/SHARD | member that has to release the shard     | staff                         |
//
// Every router watches the keys under fleet/. Progress is read only by the router that acquires a shard.
//
// Library `ownership`: depends on JSON; no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/types.h"
#include "ownership/lease.h"

namespace trailcourse::ownership {

// Definition of a piece of work.
struct Work {
  std::string name;
  std::string kind;  // task that executes it
  std::string zone;  // zone whose members may own it; empty: all zones
  std::uint64_t shards = 1;
  bool paused = false;
  std::uint64_t resumed = 0;  // how often staff resumed it; each time parked shards are tried again
  std::string params;         // parameters of the kind, JSON as text

  friend bool operator==(const Work&, const Work&) = default;
};

struct Owner {
  std::string member;
  std::string incarnation;  // of the member's process
  Term term = 0;

  friend bool operator==(const Owner&, const Owner&) = default;
};

// Progress of one shard.
struct Progress {
  Term term = 0;              // term under which it was written
  std::uint64_t writes = 0;   // number of the write within the term: identifies a write whose answer was lost
  std::uint64_t starts = 0;   // owners that started since the last checkpoint
  bool parked = false;        // not tried any more until staff resume the work
  std::uint64_t resumed = 0;  // Work::resumed when it was parked or started
  std::string by;             // member that wrote it
  std::string checkpoint;     // of the task
  bool done = false;

  friend bool operator==(const Progress&, const Progress&) = default;
};

// Progress as it stands in the store.
struct StoredProgress {
  Progress progress;
  coordination::Revision modified = 0;  // 0: there is no record
};

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

// Parses PREFIX NAME/SHARD. Returns nothing where the key is not of this form.
std::optional<ShardId> read_shard_key(const std::string& key, const std::string& prefix);

// The field of a work definition that is not valid.
enum class WorkError { kName, kKind, kZone, kShards, kParams };

// Returns the field and what is allowed for it, for staff.
const char* to_string(WorkError error);

// Returns the first field that is not valid, if any.
std::optional<WorkError> find_error(const Work& work);

// Throws std::invalid_argument with the text of the error where a field is not valid.
void check_work(const Work& work);

// Values as they are stored. The read functions return nothing where the value is not a record, and for a
// work definition also where a field is not valid.
std::string write_work(const Work& work);
std::optional<Work> read_work(const std::string& key, const std::string& value);
std::string write_owner(const Owner& owner);
std::optional<Owner> read_owner(const std::string& value, Term term);
std::string write_progress(const Progress& progress);
std::optional<Progress> read_progress(const std::string& value);

// Result of acquire_transaction().
struct AcquireResult {
  Term term = 0;        // of the new owner; 0: another router owns the shard
  Owner current_owner;  // where another router owns it
  StoredProgress stored;
  bool done = false;
};

// Returns the transaction that makes `owner` the owner of the shard where nobody owns it, and otherwise reads
// the current owner. It also deletes a pending release request. `prefix` stands before all keys.
coordination::Transaction acquire_transaction(const std::string& prefix, const ShardId& id,
                                              const Owner& owner, coordination::LeaseId lease);
AcquireResult read_acquire_result(const coordination::TransactionResult& outcome);

// Result of write_progress_transaction().
struct ProgressWriteResult {
  bool written = false;
  bool owned = false;     // the shard is still owned under the term
  StoredProgress stored;  // what stands in the store now
};

// Returns the transaction that writes progress where the shard is owned under the term and nobody wrote
// progress since revision `modified`, and otherwise reads what stands.
coordination::Transaction write_progress_transaction(const std::string& prefix, const ShardId& id, Term term,
                                                     coordination::Revision modified,
                                                     const Progress& progress);
// `attempted` is the progress that the transaction was to write: a retry of a write whose answer was lost is
// recognised by it.
ProgressWriteResult read_progress_write_result(const coordination::TransactionResult& outcome, Term term,
                                               const Progress& attempted);

}  // namespace trailcourse::ownership
