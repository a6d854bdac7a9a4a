// The writes of one shard's progress. One write is in flight at a time, and only the newest further one is
// queued. A write without a response is sent again unchanged, so that it can be recognised if it was executed
// before.
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

// State machine of the writes of one shard's progress. on_response() or on_no_response() has to be called for
// each write that step() returns.
class ProgressWriter {
 public:
  // The progress that was last read from the store or written to it.
  const StoredProgress& stored() const { return stored_; }
  void set_stored(const StoredProgress& stored) { stored_ = stored; }

  // Returns the successor of the last progress: the same content with the next write number.
  Progress next_progress(Term term, const std::string& member) const;

  // Queues a write; it replaces a queued one.
  void enqueue(Progress progress) { queued_ = std::move(progress); }
  void clear_queue() { queued_.reset(); }
  bool has_queued() const { return queued_.has_value(); }

  // Returns whether a write was sent whose result is unknown.
  bool has_unconfirmed() const { return unconfirmed_.has_value(); }

  // Returns whether no write is queued or unconfirmed.
  bool idle() const { return !unconfirmed_ && !queued_; }

  // Returns the write to send now, if any.
  std::optional<WriteProgressAction> step(Micros now, const ShardId& id, Term term);

  // Returns when step() has to be called for the next write, if one can be sent.
  std::optional<Micros> next_step_at() const;

  // The store responded to the write. Returns the progress of the write; nothing if `call_id` is not in
  // flight.
  std::optional<Progress> on_response(std::uint64_t call_id);

  // The write timed out. It is sent again after the backoff.
  void on_no_response(Micros now, std::uint64_t call_id, Micros backoff);

  // Drops all writes. The stored progress stays, and call ids continue to grow.
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
