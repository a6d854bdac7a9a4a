// Tracks the revision up to which a watch has delivered changes.
//
// Package `coordination`: no I/O, no clock.
#pragma once

#include <vector>

#include "coordination/etcd_responses.h"

namespace trailcourse::coordination {

// A watch reads a snapshot first, then follows the changes after it. After a disconnect it resumes behind the
// last change; if that revision was compacted, it reads a new snapshot.
class WatchProgress {
 public:
  enum class NextStep { kReadSnapshot, kFollowChanges };

  // What one watch response brings.
  struct Update {
    std::vector<KeyChange> changes;  // without those that were delivered before
    Revision revision = 0;
    bool snapshot_required = false;  // changes were compacted: a snapshot has to be read
    bool ended = false;              // the store ends the watch
  };

  NextStep next_step() const {
    return snapshot_required_ ? NextStep::kReadSnapshot : NextStep::kFollowChanges;
  }
  // Returns the first revision whose changes were not delivered.
  Revision next_revision() const { return delivered_ + 1; }

  // All entries as of this revision were read.
  void on_snapshot(Revision revision);
  // Takes one watch response.
  Update on_response(const etcd::WatchResponse& response);

 private:
  Revision delivered_ = 0;
  bool snapshot_required_ = true;
};

}  // namespace trailcourse::coordination
