// The counters of the entire fleet in one report: the record of what each router counts, and their sum.
//
// Package `tasks`: knows JSON; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace trailcourse::tasks {

using CounterValues = std::map<std::string, std::uint64_t>;  // by name of the counter

// What one router counted since its start; each start (incarnation) begins at 0.
struct Counters {
  std::string incarnation;
  CounterValues values;

  friend bool operator==(const Counters&, const Counters&) = default;
};

// Writes the record as JSON.
std::string write_counters(const Counters& counters);

// Returns nothing if the record is malformed.
std::optional<Counters> read_counters(const std::string& value);

// Adds up the counters of all routers, across their restarts, and keeps what routers counted that are gone.
// The checkpoint holds all state between two reports, so that a successor goes on from there.
class FleetReport {
 public:
  // A checkpoint that is malformed counts as none.
  explicit FleetReport(const std::string& checkpoint);

  // Takes in the counters of the routers that are present, by name of the router. Sums never decrease.
  void update(const std::map<std::string, Counters>& routers);

  const CounterValues& sums() const { return sums_; }

  // Returns the number of routers in the last update.
  std::size_t router_count() const { return router_count_; }

  // Returns the state as JSON.
  std::string checkpoint() const;

 private:
  void add_increase(const Counters& previous, const Counters& current);

  CounterValues sums_;
  std::map<std::string, Counters> last_counters_;  // by name of the router
  std::size_t router_count_ = 0;
};

}  // namespace trailcourse::tasks
