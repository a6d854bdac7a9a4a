#include "startup/sequence_tracker.h"

namespace trailcourse::startup {

PageVerdict SequenceTracker::check(Micros now, std::uint64_t applied_sequence, std::uint64_t page_sequence,
                                   const std::string& page_source_id) {
  if (!page_source_id.empty() && !source_id_.empty() && page_source_id != source_id_) {
    source_id_ = page_source_id;
    lower_since_.reset();
    return applied_sequence > 0 ? PageVerdict::kReset : PageVerdict::kApply;
  }
  if (!page_source_id.empty()) {
    source_id_ = page_source_id;
  }
  if (page_sequence >= applied_sequence) {
    lower_since_.reset();
    return PageVerdict::kApply;
  }
  if (!lower_since_) {
    lower_since_ = now;
  }
  if (now - *lower_since_ < reset_after_) {
    return PageVerdict::kStale;
  }
  lower_since_.reset();
  return PageVerdict::kReset;
}

}  // namespace trailcourse::startup
