// How much of what this router knows still holds, and what it may do by that.
//
// | state       | it is                                                        |
// | ----------- | ------------------------------------------------------------ |
// | fresh       | nothing is known                                             |
// | provisional | a list is known from before the start, no board was heard    |
// | current     | the board, or a relay that is current, was heard lately      |
// | doubtful    | none was heard for longer than the deployment's stated time  |
// | lapsed      | in doubt for longer than the operator allows                 |
//
// docs/cold-start.md derives from the five rules what each may do. What follows is told to the decision
// module by events that it has anyway (lists and purges): this machine chooses no cache, retry or refusal.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <optional>

#include "startup/options.h"

namespace trailcourse::startup {

enum class State { kFresh, kProvisional, kCurrent, kDoubtful, kLapsed };
const char* to_string(State state);

// What a router may do now.
struct Allowance {
  State state = State::kFresh;
  bool ready = false;           // /healthz says so
  bool serves = false;          // else the module is given an empty list, and refuses at once
  bool starts_unknown = false;  // when nodes started is not known: they are taken for cold
  // Copies older than this may have been purged unheard; nothing where no purge can be missing.
  std::optional<Micros> oldest_copy;

  friend bool operator==(const Allowance&, const Allowance&) = default;
};

class Readiness {
 public:
  explicit Readiness(const ReadinessRules& rules) : rules_(rules) {}

  // A list known at the start. `known_at`: when it was surely current; a platform that hands it over with the
  // start vouches for that moment, a snapshot for the one that it names. `surely_started`: the start times of
  // nodes in it still hold.
  void starts_with(Micros now, Micros known_at, bool surely_started);
  // All that the board had to tell at `known_at` is known now.
  void confirmed(Micros now, Micros known_at);
  // The board began anew: what was known of it holds no longer.
  void anew();

  State state(Micros now) const;
  Allowance allowance(Micros now) const;
  // When the allowance changes by time alone; nothing where it does not.
  std::optional<Micros> changes(Micros now) const;
  // How long ago all was surely known.
  Micros age(Micros now) const { return known_at_ ? now - *known_at_ : Micros::max(); }

 private:
  // From when on purges may be missing that bind already.
  bool purges_may_miss(Micros now) const;

  ReadinessRules rules_;
  std::optional<Micros> known_at_;
  bool heard_ = false;
  bool starts_unknown_ = false;
};

}  // namespace trailcourse::startup
