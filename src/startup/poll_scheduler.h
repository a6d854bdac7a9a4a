// When this router asks the notice board: first, after news, after a refusal, silence or a break, and after
// the board has moved.
//
// The bound (docs/cold-start.md derives it). With N routers and a board that bears R calls a second, the
// first window is W = 2.4·N/R, and each call after one that failed is drawn evenly from a window of 2W, begun
// no sooner than the board asked for. Whenever the routers began, and whatever made them begin, the expected
// calls of all of them in any stretch of L seconds are N·L/W·(1 + e/2) <= R·L at most, and the draws being
// independent the sum stays within R·L + 6·sqrt(R·L) + 12 but for one stretch in millions.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <random>

#include "startup/options.h"

namespace trailcourse::startup {

// How a call to the board ended.
enum class CallEnd {
  kNews,     // events that were not known
  kNothing,  // held to its end, or answered at once, without any
  kRefused,  // a status other than 200, with or without a time to come back
  kSilent,   // no answer in time
  kBroken,   // the connection was not to be had, or ended first
  kSpoilt    // an answer that cannot be used, or one of an older number
};
const char* to_string(CallEnd end);

struct Call {
  Micros at{0};      // when to make it
  Micros linger{0};  // how long the board may hold it; 0 for a trial
  bool trial = false;
};

class Asking {
 public:
  Asking(const AskingRules& rules, std::uint64_t seed) : rules_(rules), random_(seed) {}

  // How many routers do the same; what was drawn already stands.
  void fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // The first call; also to be asked after the board has moved, when nothing of the old one counts any more.
  Call first(Micros now);
  // The call after one that began at `asked` and ended so at `now`. `retry_after` is what the board asked
  // for, 0 where it said nothing.
  Call after(Micros asked, Micros now, CallEnd end, Micros retry_after);

  int failures() const { return failures_; }
  // Waits longer than a lost answer explains: only trials are made.
  bool lost() const { return failures_ >= rules_.trial_after; }
  // The window from which the next call without an answer would be drawn.
  Micros window(int doublings) const;
  // The calls that all routers may make in one second, as a mean; 0 where nothing bounds it.
  double bound_per_s() const { return rules_.spread ? rules_.calls_per_s : 0.0; }

 private:
  Micros drawn(Micros longest);
  Micros linger() const;

  AskingRules rules_;
  std::mt19937_64 random_;
  int routers_ = 1;
  int failures_ = 0;
};

}  // namespace trailcourse::startup
