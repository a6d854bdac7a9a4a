// Writes of one shard's progress: one is in flight at a time, the newest further one waits in a queue of one,
// and a write whose answer was lost is sent again unchanged, so that it is recognised where it was done.
//
// Library `ownership`: no I/O and no clock; times are Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "ownership/lease_manager_types.h"
#include "ownership/work_records.h"

namespace trailcourse::ownership {

// State machine of these writes. Each write that step() returns is followed by on_answer() or
// on_no_response().
class ProgressWriter {
 public:
  // Progress as last observed in the store.
  const StoredProgress& stored() const { return stored_; }
  void set_stored(const StoredProgress& stored) { stored_ = stored; }

  // Returns what follows on the progress that was written last: the same content, the next write number.
  Progress next_progress(Term term, const std::string& member) const;

  // Replaces what is queued.
  void enqueue(Progress progress) { queued_ = std::move(progress); }
  void clear_queue() { queued_.reset(); }
  bool has_queued() const { return queued_.has_value(); }

  // Returns whether a write was begun whose result is unknown.
  bool has_unconfirmed() const { return unconfirmed_.has_value(); }

  // Returns whether nothing is left to write.
  bool idle() const { return !unconfirmed_ && !queued_; }

  // Returns the write to send now, if any.
  std::optional<WriteProgressAction> step(Micros now, const ShardId& id, Term term);

  // Returns when step() may next return a write.
  std::optional<Micros> next_step_at() const;

  // The write was answered. Returns what it was to write; nothing where another call is in flight.
  std::optional<Progress> on_answer(std::uint64_t call_id);

  // No answer arrived in time: the same is sent again after the backoff.
  void on_no_response(Micros now, std::uint64_t call_id, Micros backoff);

  // Forgets all writes; the stored progress stays, and call ids go on.
  void cancel();

 private:
  StoredProgress stored_;
  std::optional<Progress> unconfirmed_;
  std::optional<Progress> queued_;
  bool in_flight_ = false;
  std::uint64_t last_call_id_ = 0;
  Micros not_before_{0};
};

}  // namespace trailcourse::ownership
