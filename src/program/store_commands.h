// `trailcourse store`: offline maintenance of the folder of a disk tier.
#pragma once

#include <iosfwd>
#include <string>

namespace trailcourse::program {

// Exit statuses besides 0, 1 (failure) and 2 (usage error).
constexpr int kDamageFound = 3;
constexpr int kFolderInUse = 4;  // by a cache node

struct StoreCommand {
  std::string action;  // stat, verify, compact or drop
  std::string folder;
  bool json = false;
  bool yes = false;             // of drop: confirms the removal
  double min_live_share = 0.8;  // of compact: segments with a lower share of live data are rewritten
  int segment_mb = 16;          // of compact: size of new segments
};

// Runs the action and returns the exit status.
int run_store_command(const StoreCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
