// `trailcourse work` and `trailcourse members`: show and control the fleet's owned work. They connect to the
// coordination store only, so they work while routers are down.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "coordination/options.h"

namespace trailcourse::program {

// Exit statuses besides 0, 1 (the store is unavailable) and 2 (usage error).
constexpr int kNoSuchWork = 3;
constexpr int kConflict = 4;  // the work was changed concurrently, or exists already

struct WorkCommand {
  coordination::CoordinationOptions store;
  std::string action;  // list, show, add, remove, pause, resume, hand-over, report or members
  std::string name;    // of the work
  int shard = -1;      // of hand-over; -1: all
  bool json = false;
  // The following are of add.
  std::string kind;  // fill, probe or report
  std::string zone;  // empty: all zones
  int shards = 1;
  std::string request_class;
  std::string at;                    // seconds from now, or Unix time in ms with a leading '@'
  double objects_per_s = 0.0;        // of each shard; 0: no limit
  std::vector<std::string> objects;  // ITEM or ITEM/PART
};

// Runs the action and returns the exit status. Throws std::invalid_argument if an option is invalid.
int run_work_command(const WorkCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
