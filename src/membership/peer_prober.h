// Selection of the peers that this member probes, and suspicion of those that it cannot reach. A member that
// has a session but that its peers cannot reach should get no work. Each member probes its successors on a
// hash ring, so that as many members probe it as it probes.
//
// Library `membership`: no I/O and no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_records.h"

namespace trailcourse::membership {

// Counts consecutive failed probes of each target.
class PeerProber {
 public:
  // `self` probes up to `target_count` members and suspects one after `failure_threshold` failures in a row.
  PeerProber(std::string self, std::size_t target_count, int failure_threshold)
      : self_(std::move(self)), target_count_(target_count), failure_threshold_(failure_threshold) {}

  // Returns the members to probe out of `members`.
  std::vector<std::string> select_targets(const std::vector<std::string>& members) const;

  // Sets the members to probe from now on. Failure counts of all other members are discarded.
  void set_targets(const std::vector<std::string>& members);

  // Records the result of a probe. Ignored if the member is not probed any more.
  void on_probe_result(const std::string& member, bool reached);

  // Returns the suspicions that this member should report to the store, by suspected member.
  std::map<std::string, Suspicion> suspicions() const;

 private:
  std::string self_;
  std::size_t target_count_;
  int failure_threshold_;
  std::map<std::string, int> failures_in_a_row_;  // by target
};

}  // namespace trailcourse::membership
