// The state of one node (a cache, a parent or an origin) as this router observes it.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>

namespace trailcourse {

// The state of outlier detection for one node; only `OutlierDetection` changes it.
struct NodeHealth {
  Micros last_success{-1};            // negative: none yet
  Micros last_failure{-1};            // negative: none yet
  double consecutive_failures = 0.0;  // each weighted by its failure penalty
  double failure_rate = 0.0;          // smoothed share of failures
  int ejections = 0;                  // each ejection adds one, each success removes one
  Micros ejected_until{-1};           // negative: never ejected, or the ejection was ended by a success
  bool ejected_for_silence = false;   // the next success ends the ejection
  bool trial_in_flight = false;       // the single attempt that tests an ejected node
  bool connect_failed = false;        // the last attempt could not connect
  bool connect_refused = false;       // refused immediately: the machine runs but the process does not
};

// The time slot of this router at a node in slow start; only `SlowStart` changes it.
struct SlowStartSlot {
  double tokens = 0.0;   // seconds of sending left in the slot
  Micros begin{0};       // start of the slot
  Micros next_begin{0};  // earliest start of the next slot
};

// One node that appeared in an endpoint list.
struct Node {
  Endpoint endpoint;
  std::uint64_t hash = 0;          // of the address
  bool in_own_zone = false;        // it is a cache in this router's zone
  bool listed = false;             // ready in the current endpoint list
  double transfer_capacity = 1.0;  // number of transfers that it can send at full rate at once
  int in_flight = 0;               // attempts of this router
  double foreign_load = 0.0;       // estimated number of requests of other routers at the node
  double source_quota = 1.0;       // share of the objects that the node fills as a source
  NodeHealth health;
  SlowStartSlot slow_start;
};

}  // namespace trailcourse
