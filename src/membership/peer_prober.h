// Probing of peers: which members this one probes, and which of them it suspects. A member that the store
// hears but its peers cannot reach is of little use. Each member probes its successors on a ring of hashes,
// so that each is probed by as many as it probes.
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

class PeerProber {
 public:
  // `target_count` members are probed; `failure_threshold` failures in a row make a suspicion.
  PeerProber(std::string self, std::size_t target_count, int failure_threshold)
      : self_(std::move(self)), target_count_(target_count), failure_threshold_(failure_threshold) {}

  // Returns which of these members to probe.
  std::vector<std::string> select_targets(const std::vector<std::string>& members) const;

  // Sets the members that are probed from now on. Results of others are forgotten.
  void set_targets(const std::vector<std::string>& members);

  // Reports the result of a probe. That of a member that is not a target is ignored.
  void on_probe_result(const std::string& member, bool reached);

  // Returns the suspicions that this member should have in the store, by the suspected member.
  std::map<std::string, Suspicion> suspicions() const;

 private:
  std::string self_;
  std::size_t target_count_;
  int failure_threshold_;
  std::map<std::string, int> failures_in_a_row_;  // by target
};

}  // namespace trailcourse::membership
