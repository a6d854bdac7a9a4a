// Checks the invariant of policy rollouts: after a request was decided under a version, no later request in
// any zone is decided under an earlier version.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trailcourse::aggregation {

// Compares the decisions of all zones, in the order of true time, with the order of commits.
class VersionOrderCheck {
 public:
  // Records the version in force in a zone. `commit` increases with each commit of the store.
  void on_version_in_force(const std::string& zone, std::uint64_t version, std::uint64_t commit) {
    std::vector<Period>& periods = periods_[zone];
    if (periods.empty() || periods.back().version != version) {
      periods.push_back({version, commit});
    }
  }

  // Records that a request was decided under a version. Returns a description of the violation, if any.
  std::optional<std::string> on_decision(const std::string& zone, std::uint64_t version) {
    const std::vector<Period>& periods = periods_[zone];
    std::size_t& current = last_period_[zone];
    // A request was already decided under this commit or a later one, in this zone or in another.
    for (std::size_t i = current; i < periods.size() && periods[i].commit <= last_commit_; ++i) {
      current = i;
    }
    for (std::size_t i = current; i < periods.size(); ++i) {
      if (periods[i].version == version) {
        current = i;
        last_commit_ = std::max(last_commit_, periods[i].commit);
        return std::nullopt;
      }
    }
    const bool was_in_force = std::any_of(periods.begin(), periods.end(),
                                          [&](const Period& period) { return period.version == version; });
    return was_in_force ? "after a request was decided under " + std::to_string(periods[current].version)
                        : "which was never in force";
  }

 private:
  // A period during which a version was in force, from the commit on.
  struct Period {
    std::uint64_t version = 0;
    std::uint64_t commit = 0;
  };
  std::map<std::string, std::vector<Period>> periods_;  // by zone
  std::map<std::string, std::size_t> last_period_;      // by zone: the index of the last decision's period
  std::uint64_t last_commit_ = 0;                       // under which any request was decided
};

}  // namespace trailcourse::aggregation
