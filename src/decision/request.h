// The requests that the router still answers for, and their attempts.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace trailcourse {

// One attempt of a request.
struct Attempt {
  int node = -1;    // the index of the target in the node table
  int source = -1;  // the index of the fill source; the target itself stands for no fill
  Micros sent{0};
  Micros overdue_at{0};
  Micros max_age{0};  // the oldest copy that it accepts; 0: any
  double source_slow_start_cost =
      0.0;                      // taken from the source's slot; returned if a hit shows it was not asked
  double fill_work = 0.0;       // seconds of sending that it reserves in the fill window
  bool only_if_cached = false;  // the source gives only what it has cached
  bool done = false;
  bool proved_not_executed = false;
  bool revoked = false;       // revoked before its first byte, for a reason that is not its node's
  bool node_trial = false;    // it is the trial of an ejected target
  bool source_trial = false;  // it is the trial of an ejected source
  bool avoid_node = false;    // the request makes no further attempt at this target
  bool avoid_source = false;  // the request makes no further attempt with this source

  // Returns whether a miss is filled from another node.
  bool fills() const { return source != node; }
};

// One request from its arrival until its final answer is given and all its attempts have ended.
struct Request {
  RequestArrived arrival;
  std::uint64_t object_key = 0;  // of the object and its part
  Micros arrived_at{0};
  double work = 0.0;  // seconds of sending at full pace
  int keep_rank = 0;
  bool open = true;  // the final answer is still owed
  bool streaming = false;
  std::vector<Attempt> attempts;

  bool in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return !attempt.done; });
  }
  // Returns whether no attempt may have had an effect.
  bool all_proved_not_executed() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.done && attempt.proved_not_executed; });
  }
  // Returns whether an earlier attempt excluded the node, as a target or as a source.
  bool avoids(int node) const {
    return std::any_of(attempts.begin(), attempts.end(), [node](const Attempt& attempt) {
      return (attempt.avoid_node && attempt.node == node) || (attempt.avoid_source && attempt.source == node);
    });
  }
};

}  // namespace trailcourse
