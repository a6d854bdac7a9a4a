// The fleet's counters in one report: what each router counts, and the sum that the owner of the work writes.
//
// Package `tasks`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trailcourse::tasks {

// By name. What one router counted since its start; a new start begins at 0.
struct Counters {
  std::string incarnation;
  std::map<std::string, std::uint64_t> values;

  friend bool operator==(const Counters&, const Counters&) = default;
};
std::string write_counters(const Counters& counters);
std::optional<Counters> read_counters(const std::string& value);

// Adds up what routers counted: over restarts, and without losing what one counted that is gone. What is kept
// between two reports is the checkpoint, so that a successor goes on where the last owner was.
class FleetReport {
 public:
  // A checkpoint that cannot be read counts as none.
  explicit FleetReport(const std::string& checkpoint);

  // What the routers that are there say now, by name.
  void take(const std::map<std::string, Counters>& routers);
  const std::map<std::string, std::uint64_t>& sums() const { return sums_; }
  std::size_t routers() const { return present_; }
  std::string checkpoint() const;

 private:
  std::map<std::string, std::uint64_t> sums_;
  std::map<std::string, Counters> last_;
  std::size_t present_ = 0;
};

}  // namespace trailcourse::tasks
