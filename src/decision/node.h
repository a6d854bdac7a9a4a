// The state of one node as this router observes it (a cache, a parent or an origin).
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>

namespace trailcourse {

// The state of outlier detection for one node; only `OutlierDetection` changes it.
struct NodeHealth {
  Micros last_success{-1};
  Micros last_failure{-1};
  double consecutive_failures = 0.0;  // each weighted by its failure penalty
  double failure_rate = 0.0;          // smoothed share of failures
  int ejections = 0;                  // ejections that successes have not worked off yet
  Micros ejected_until{-1};
  bool ejected_for_silence = false;  // the next success ends the ejection
  bool trial_in_flight = false;      // the single attempt that tests an ejected node
  bool connect_failed = false;       // the last attempt got no connection
  bool connect_refused = false;      // and was refused at once: the machine runs, its process does not
};

// The time slot of this router at a node in slow start; only `SlowStart` changes it.
struct SlowStartSlot {
  double tokens = 0.0;   // seconds of sending left in the slot
  Micros begin{0};       // of the slot
  Micros next_begin{0};  // the next slot begins no sooner
};

// One node that an endpoint list has named.
struct Node {
  Endpoint endpoint;
  std::uint64_t hash = 0;          // of the address
  bool in_own_zone = false;        // a cache of this router's zone
  bool listed = false;             // ready in the current endpoint list
  double transfer_capacity = 1.0;  // transfers that it can send at full pace at once
  int in_flight = 0;               // attempts of this router
  double foreign_load = 0.0;       // estimated requests that other routers have there
  double source_quota = 1.0;       // share of the objects that the node fills as a source
  NodeHealth health;
  SlowStartSlot slow_start;
};

}  // namespace trailcourse
