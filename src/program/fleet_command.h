// `trailcourse fleet`: a fleet of this program on one machine, started all at once or one after the other,
// with faults played against it; for trying things out, for the demo and for measurements.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace trailcourse::program {

struct FleetCommand {
  std::string action;  // start, status, stop, fault
  std::string fault;   // one line of a script, without its time
  std::string folder;
  std::string program;         // of all processes
  std::string router_program;  // of the routers, where it is another; empty: the same
  int routers = 4;
  int caches = 2;
  int parents = 1;
  std::vector<std::string> zones{"edge"};
  std::int64_t stagger_ms = 0;  // between two routers; 0: all at once
  bool spread = false;
  double board_calls_per_s = 100.0;
  double node_opens_per_s = 0.0;
  int relay_degree = 0;  // 0: no relays
  bool snapshots = false;
  bool without_list = false;  // routers are started without a list
  std::string faults;         // a file
  int draw = 0;               // so many faults
  std::uint64_t seed = 1;
  double seconds = 0.0;  // 0: until it is told to end
  double load_per_s = 0.0;
  int aggregators = 0;      // between the routers and a store, whose policy they follow; 0: none
  bool registry = false;    // a store, and routers that do the fleet's work
  bool cold = false;        // caches and parents are listed as just started
  bool disk = false;        // caches and parents have a disk tier
  int object_kb = 20;       // of the origin's objects
  int origin_delay_ms = 0;  // before each of its answers
  bool proxies = false;     // on all links, also without faults: what passes is counted
  bool json = false;
  bool quiet = false;
};

constexpr int kFleetMissing = 4;    // a process ended without being told to
constexpr int kFleetNotUp = 5;      // not all came up
constexpr int kFleetNoneThere = 6;  // status and stop: none runs there

// Returns the exit status.
int run_fleet_command(const FleetCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
