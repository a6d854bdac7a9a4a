// `trailcourse policy`: the fleet's policy as staff see and change it. Speaks to the store alone.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "coordination/options.h"

namespace trailcourse::program {

// Exit status beside 0, 1 (the store is not to be had) and 2 (wrong use).
constexpr int kBadPolicy = 3;      // the document cannot be used
constexpr int kChangeOpen = 4;     // another change is open, or things changed meanwhile
constexpr int kChangeAborted = 5;  // what was waited for was aborted
constexpr int kChangeAwaited = 6;  // and is still open, or not done, after the time given

struct PolicyCommand {
  coordination::CoordinationOptions store;
  std::string action;       // check, diff, propose, status, wait, abort, history, show, acknowledged
  std::string file;         // of check, diff, propose
  std::string version;      // of show; of propose: whose content is taken
  std::uint64_t event = 0;  // of acknowledged: that is to be done; 0: none is named
  bool forget = false;      // of acknowledged: nothing is asked for any more
  std::string author;
  std::string reason;
  bool urgent = false;
  bool wait = false;
  std::vector<std::string> stages;
  double watch_s = 60.0;
  double most_refused = 0.05;
  double longest_s = 120.0;  // of wait
  bool json = false;
};

int run_policy_command(const PolicyCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
