#include "coordination/watch_progress.h"

#include <algorithm>

namespace trailcourse::coordination {

void WatchProgress::on_snapshot(Revision revision) {
  delivered_ = revision;
  snapshot_required_ = false;
}

WatchProgress::Update WatchProgress::on_response(const etcd::WatchResponse& response) {
  Update update;
  if (response.compacted > 0) {
    snapshot_required_ = true;
    update.snapshot_required = true;
    return update;
  }
  update.ended = response.canceled;
  for (const KeyChange& change : response.changes) {
    // A store may also send changes from before the requested revision.
    if (change.entry.modified > delivered_) {
      update.changes.push_back(change);
    }
  }
  if (!response.changes.empty()) {
    delivered_ = std::max(delivered_, response.changes.back().entry.modified);
  }
  update.revision = std::max(delivered_, response.header.revision);
  return update;
}

}  // namespace trailcourse::coordination
