// `trailcourse policy`: shows and changes the fleet's policy. It connects to the coordination store only, so
// it works while routers are down.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "coordination/options.h"

namespace trailcourse::program {

// Exit statuses besides 0, 1 (the store is unavailable) and 2 (usage error).
constexpr int kInvalidPolicy = 3;  // the document is invalid, or the version does not exist
constexpr int kChangeOpen = 4;     // another change is open, or a concurrent change won
constexpr int kChangeAborted = 5;  // the awaited change was aborted
constexpr int kWaitTimedOut = 6;   // the awaited change or event is still pending after the timeout

struct PolicyCommand {
  coordination::CoordinationOptions store;
  std::string action;       // check, diff, propose, status, wait, abort, history, show or acknowledged
  std::string file;         // of check, diff and propose: path of the document
  std::string version;      // of show; of propose: the version whose content is used
  std::uint64_t event = 0;  // of acknowledged: sequence number of the event; 0: none
  bool forget = false;      // of acknowledged: withdraw the request for acknowledgements
  std::string author;
  std::string reason;
  bool urgent = false;               // of propose: supersede a change that has not committed
  bool wait = false;                 // of propose and acknowledged
  std::vector<std::string> stages;   // of propose: zones that change first, in this order
  double watch_s = 60.0;             // of propose: time for which each stage is observed
  double max_rejected_share = 0.05;  // of propose: a stage with more rejected and failed requests is reverted
  double timeout_s = 120.0;          // of wait
  bool json = false;
};

// Runs the action and returns the exit status.
int run_policy_command(const PolicyCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
