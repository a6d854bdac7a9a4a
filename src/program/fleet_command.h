// `trailcourse fleet`: runs a fleet of this program on one machine, started at once or with a delay between
// routers, with fault injection. Used for tests, the demo and measurements.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace trailcourse::program {

struct FleetCommand {
  std::string action;          // start, status, stop or fault
  std::string fault;           // of fault: one line of a fault script, without its time
  std::string folder;          // working folder of the fleet
  std::string program;         // path of the program of all processes
  std::string router_program;  // of the routers; empty: `program`
  int routers = 4;
  int caches = 2;
  int parents = 1;
  std::vector<std::string> zones{"edge"};
  std::int64_t stagger_ms = 0;  // between the starts of two routers; 0: all start at once
  bool spread = false;          // startup.spread of the routers
  double board_calls_per_s = 100.0;
  double node_opens_per_s = 0.0;
  int relay_degree = 0;  // 0: no relays
  bool snapshots = false;
  bool without_list = false;  // start routers without an endpoint list
  std::string faults;         // path of a fault script
  int random_faults = 0;      // number of random faults to inject
  std::uint64_t seed = 1;
  double run_time_s = 0.0;  // 0: until a signal
  double load_per_s = 0.0;
  int aggregators = 0;      // between the store and the routers, which follow a policy
  bool registry = false;    // run a coordination store, and let the routers own work
  bool cold = false;        // list caches and parents as just started
  bool disk = false;        // run caches and parents with a disk tier
  int object_kb = 20;       // size of the origin's objects
  int origin_delay_ms = 0;  // before each response of the origin
  bool proxies = false;     // run a proxy on each link, also without faults, to count its traffic
  bool json = false;
  bool quiet = false;
};

// Exit statuses besides 0, 1 (failure) and 2 (usage error).
constexpr int kProcessDied = 4;      // a process ended unexpectedly
constexpr int kStartFailed = 5;      // a process did not start, or a router did not become ready
constexpr int kFleetNotRunning = 6;  // status, stop and fault: no fleet runs in the folder

// Runs the action and returns the exit status. Throws ConfigurationError if the fault script is invalid.
int run_fleet_command(const FleetCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
