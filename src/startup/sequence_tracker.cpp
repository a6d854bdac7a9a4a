#include "startup/sequence_tracker.h"

#include <utility>

namespace trailcourse::startup {

PageVerdict Numbering::judge(Micros now, std::uint64_t last, std::uint64_t page_last,
                             const std::string& page_id) {
  if (!page_id.empty() && !id_.empty() && page_id != id_) {
    id_ = page_id;
    lower_since_.reset();
    return last > 0 ? PageVerdict::kAnew : PageVerdict::kTake;
  }
  if (!page_id.empty()) {
    id_ = page_id;
  }
  if (page_last >= last) {
    lower_since_.reset();
    return PageVerdict::kTake;
  }
  if (!lower_since_) {
    lower_since_ = now;
  }
  if (now - *lower_since_ < anew_after_) {
    return PageVerdict::kStale;
  }
  lower_since_.reset();
  return PageVerdict::kAnew;
}

}  // namespace trailcourse::startup
