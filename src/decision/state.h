// The records that the decision module keeps; plain types, nothing is decided here.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace trailcourse {

struct Node {
  Endpoint entry;
  std::uint64_t hash = 0;
  bool local = false;      // a cache of this router's zone
  bool listed = false;     // ready in the list held now
  double transfers = 1.0;  // what it can send at full pace at once
  int in_flight = 0;
  double others = 0.0;  // requests that other routers hold there
  Micros last_good{-1};
  double streak = 0.0;
  double fail_share = 0.0;
  Micros blamed_at{-1};
  double share = 1.0;  // of the objects that it takes as a source
  int ejections = 0;   // that good answers have not worked off yet
  Micros ejected_until{-1};
  bool silent = false;  // ejected for silence alone: the next good answer ends that
  bool trial_out = false;
  bool unreachable = false;  // the last attempt there found no connection
  bool refuses = false;      // and was told so at once: the machine lives, the process does not
  double cold_tokens = 0.0;  // seconds of sending left of this router's time slot there
  Micros cold_begin{0};      // of that slot
  Micros cold_until{0};      // the next one begins no sooner
};

struct Entry {
  double count = 0.0;
  Micros halved{0};
  Micros last{0};
  std::vector<std::pair<int, Micros>> holders;
  int kept_at = -1;  // the cache that answered last, and when
  Micros kept_since{0};

  void halve(Micros now, Micros span) {
    halved = count > 0.0 ? halved : now;
    const std::int64_t times = (now - halved) / span;
    count *= std::exp2(-static_cast<double>(times));
    halved += times * span;
  }
  void add_holder(int node, Micros now) {
    std::erase_if(holders, [node](const auto& one) { return one.first == node; });
    holders.emplace_back(node, now);
  }
  void forget_holders(Micros before) {
    std::erase_if(holders, [before](const auto& one) { return one.second <= before; });
  }
};

struct Attempt {
  int node = -1;
  int source = -1;  // the node itself: no fill
  Micros sent{0};
  Micros overdue_at{0};
  Micros age{0};                // the oldest copy that it takes; 0: any
  double cold_cost = 0.0;       // from the source's cold budget, given back if a hit shows it was not asked
  double fill_work = 0.0;       // held in the miss window
  bool only_if_cached = false;  // no fill beyond what the source holds
  bool done = false;
  bool proven = false;    // it never ran
  bool withheld = false;  // not a byte of it went out, for a reason that is not its node's
  bool trial = false;     // a half-open trial of the node, of the source
  bool source_trial = false;
  bool avoid_node = false;  // not again for this request
  bool avoid_source = false;

  bool fills() const { return source != node; }
};

// Shares of a class's requests that were answered, in time or late.
struct Answered {
  double all = 1.0;
  std::array<double, 3> by_size{1.0, 1.0, 1.0};  // under the class's mean, from it, from twice the mean on
};

struct Request {
  RequestArrived told;
  std::uint64_t key = 0;
  Micros arrived{0};
  double work = 0.0;  // seconds of sending at full pace
  int rank = 0;
  bool open = true;
  bool streaming = false;
  std::vector<Attempt> attempts;

  bool in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& one) { return !one.done; });
  }
  bool all_proven() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& one) { return one.done && one.proven; });
  }
  bool avoids(int node) const {
    return std::any_of(attempts.begin(), attempts.end(), [node](const Attempt& one) {
      return (one.avoid_node && one.node == node) || (one.avoid_source && one.source == node);
    });
  }
};

}  // namespace trailcourse
