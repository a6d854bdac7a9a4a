// `trailcourse work` and `trailcourse members`: what staff see of the fleet's work, and do to it. They speak
// to the store alone; no router is asked, so they work while routers are down.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "coordination/options.h"

namespace trailcourse::program {

// Exit status beside 0, 1 (the store is not to be had) and 2 (wrong use).
constexpr int kNoSuchWork = 3;
constexpr int kChangedMeanwhile = 4;

struct WorkCommand {
  coordination::CoordinationOptions store;
  std::string action;  // list, show, add, remove, pause, resume, hand-over, report, members
  std::string name;
  int shard = -1;  // of hand-over; -1: all
  bool json = false;
  // Of add.
  std::string kind;
  std::string zone;
  int shards = 1;
  std::string request_class;
  std::string at;  // seconds from now, or Unix time in ms with a leading '@'
  double objects_per_s = 0.0;
  std::vector<std::string> objects;
};

int run_work_command(const WorkCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
