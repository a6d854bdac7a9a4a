// The counters of all routers of the fleet: the record of each router's counters, and their sums.
//
// Library `tasks`: knows JSON; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace trailcourse::tasks {

using CounterValues = std::map<std::string, std::uint64_t>;  // by name of the counter

// The counters of one router since its start. They begin at 0 in each incarnation.
struct Counters {
  std::string incarnation;
  CounterValues values;

  friend bool operator==(const Counters&, const Counters&) = default;
};

// Writes the record as JSON.
std::string write_counters(const Counters& counters);

// Reads the record. Returns nothing if it is malformed.
std::optional<Counters> read_counters(const std::string& value);

// Adds up the counters of all routers across their restarts. The sums include the counts of routers that have
// left. The checkpoint contains all state between two reports, so that a successor continues from there.
class FleetReport {
 public:
  // Continues from a checkpoint. A malformed one is ignored.
  explicit FleetReport(const std::string& checkpoint);

  // Adds the counters of the routers that are present, by name of the router. Sums never decrease.
  void update(const std::map<std::string, Counters>& routers);

  const CounterValues& sums() const { return sums_; }

  // Returns the number of routers in the last update.
  std::size_t router_count() const { return router_count_; }

  // Returns the state as JSON, for the constructor of a successor.
  std::string checkpoint() const;

 private:
  void add_increase(const Counters& previous, const Counters& current);

  CounterValues sums_;
  std::map<std::string, Counters> last_counters_;  // by name of the router
  std::size_t router_count_ = 0;
};

}  // namespace trailcourse::tasks
