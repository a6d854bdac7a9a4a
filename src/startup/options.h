// The figures that the start of a router goes by; the operator's section `startup`, and the settings.
//
// Package `startup`: state machines without I/O or clock. Time is Micros of the caller's steady clock, never
// going back; all draws come from seeds. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>

#include "config/record.h"

namespace trailcourse::startup {

// The section `startup` of the operator's file. Without it a router starts as a plain one does.
struct StartOptions {
  bool spread = false;
  std::int64_t routers = 0;
  double board_calls_per_s = 100.0;
  std::int64_t window_most_ms = 60'000;
  std::int64_t reask_ms = 100;
  std::int64_t retry_after_most_s = 120;
  double node_opens_per_s = 0.0;
  std::int64_t open_window_most_ms = 5'000;
  std::int64_t node_connections = 0;
  std::int64_t flap_s = 60;
  std::string unsure = "serve";
  std::int64_t told_within_ms = 0;
  std::int64_t lapse_ms = 0;
};
const config::Record<StartOptions>& start_record();

// When the notice board is asked.
struct AskingRules {
  bool spread = false;                   // over windows by the fleet's size; else as a plain router
  double calls_per_s = 100.0;            // at the board, over all routers
  Micros least_pause{50'000};            // the shortest window after a failure
  Micros most_pause{400'000};            // the longest of a plain router
  Micros most_window{60'000'000};        // the longest of a spread one
  Micros reask{0};                       // after news, drawn from 0 to this: all were told in the same moment
  Micros most_retry_after{120'000'000};  // a board that names a longer wait is asked after this one
  Micros linger{2'000'000};              // how long the board may hold a call
  Micros longest_linger{5'000'000};
  int trial_after = 3;  // failures in a row, then single short calls until one is answered
};

// When connections to a node are opened.
struct OpeningRules {
  double opens_per_s = 0.0;  // that one node can take from all routers; 0: as they come
  Micros most_window{5'000'000};
  int node_connections = 0;        // that one node can hold from all routers; 0: not bounded
  int per_peer = 16;               // of this router to one node
  Micros flap_memory{60'000'000};  // a return within this of the last one counts as a flap
};

// What a router may do by what it knows.
struct ReadinessRules {
  enum class Unsure { kServe, kGuard, kRefuse };
  Unsure unsure = Unsure::kServe;
  Micros told_within{300'000};   // what the board tells binds this long after, told or not
  Micros purge_done{6'000'000};  // caches have dropped what was purged so long ago
  Micros lapse{0};               // in doubt for so long: nothing is served; 0: never
};

// The rules that follow from the section and the platform's settings.
AskingRules asking_rules(const StartOptions& options, Micros least_pause, Micros most_pause, Micros linger);
OpeningRules opening_rules(const StartOptions& options, int per_peer);
// `held`: the longest that a call to the board takes while all is well.
ReadinessRules readiness_rules(const StartOptions& options, const Settings& settings, Micros held);

}  // namespace trailcourse::startup
