// `trailcourse store stat|verify|compact|drop DIR`.
#pragma once

#include <iosfwd>
#include <string>

namespace trailcourse::program {

constexpr int kDamageFound = 3;
constexpr int kFolderInUse = 4;

struct StoreCommand {
  std::string action;
  std::string folder;
  bool json = false;
  bool yes = false;  // drop: do it
  double least_share = 0.8;
  int segment_mb = 16;
};

// Gives the exit status: 0, 1 where it failed, kDamageFound, kFolderInUse.
int run_store_command(const StoreCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
