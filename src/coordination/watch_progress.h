// The revision up to which a watch has delivered changes.
//
// Library `coordination`: no I/O, no clock.
#pragma once

#include <vector>

#include "coordination/etcd_responses.h"

namespace trailcourse::coordination {

// A watch reads a snapshot first and then follows the changes after it. After a disconnect it continues after
// the last delivered change, or reads a new snapshot if changes since then were compacted.
class WatchProgress {
 public:
  enum class NextStep { kReadSnapshot, kFollowChanges };

  // The new content of a watch response.
  struct Update {
    std::vector<KeyChange> changes;  // changes that were not delivered before
    Revision revision = 0;           // of the store after the changes
    bool snapshot_required = false;  // missing changes were compacted: a snapshot has to be read
    bool ended = false;              // whether the store canceled the watch
  };

  NextStep next_step() const {
    return snapshot_required_ ? NextStep::kReadSnapshot : NextStep::kFollowChanges;
  }
  // Returns the first revision whose changes were not delivered yet.
  Revision next_revision() const { return delivered_ + 1; }

  // Records that a snapshot of this revision was delivered.
  void on_snapshot(Revision revision);
  // Processes a watch response and returns what has to be delivered.
  Update on_response(const etcd::WatchResponse& response);

 private:
  Revision delivered_ = 0;
  bool snapshot_required_ = true;
};

}  // namespace trailcourse::coordination
