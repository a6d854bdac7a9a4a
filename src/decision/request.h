// A request in progress and its attempts.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace trailcourse {

// One attempt of a request.
struct Attempt {
  int node = -1;    // index of the target in the node table
  int source = -1;  // index of the fill source; the same as `node`: no fill
  Micros sent{0};
  Micros overdue_at{0};
  Micros max_age{0};                    // maximum age of a copy that it accepts; 0: any
  double source_slow_start_cost = 0.0;  // seconds charged to the source's slot; refunded on a hit
  double fill_work = 0.0;               // seconds of sending that it reserves in the fill window
  bool only_if_cached = false;          // it accepts only cached copies
  bool done = false;                    // it has ended
  bool proved_not_executed = false;
  bool revoked = false;       // may_begin() returned false, which is no failure of its target
  bool node_trial = false;    // it is the trial of an ejected target
  bool source_trial = false;  // it is the trial of an ejected source
  bool avoid_node = false;    // the request makes no further attempt at this target
  bool avoid_source = false;  // the request makes no further attempt with this source

  // Returns whether a miss is filled from another node.
  bool fills() const { return source != node; }
};

// A request, from its arrival until its final answer is given and all its attempts have ended.
struct Request {
  RequestArrived arrival;
  std::uint64_t object_key = 0;  // of the object and its part
  Micros arrived_at{0};
  double work = 0.0;  // seconds that sending the answer takes at full rate
  int keep_rank = 0;
  bool open = true;  // the final answer has not been given yet
  bool streaming = false;
  std::vector<Attempt> attempts;

  bool in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return !attempt.done; });
  }
  // Returns whether all attempts have ended and provably had no effect.
  bool all_proved_not_executed() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.done && attempt.proved_not_executed; });
  }
  // Returns whether an earlier attempt excluded the node as a target or as a source.
  bool avoids(int node) const {
    return std::any_of(attempts.begin(), attempts.end(), [node](const Attempt& attempt) {
      return (attempt.avoid_node && attempt.node == node) || (attempt.avoid_source && attempt.source == node);
    });
  }
};

}  // namespace trailcourse
