// Ownership of one piece of work by one router, for a time: when it asks the store, how long it may act, and
// when it stops by itself.
//
// The store gives the work to a session for a time, with a term that only grows. A grant or a renewal that
// was sent at S and was answered well is taken to hold until S + ttl·(1 - drift) - margin by this router's
// own steady clock: the store cannot have begun to count before S, and its clock runs faster than ours by
// `drift` at most. So an owner has stopped, in true time, before the store may give the work to another,
// whenever the answer came and however long this process was stopped in between. That keeps two from acting
// at once; it does not keep an effect that is on its way from arriving late, which is why each effect bears
// the term and its receiver refuses a lower one (fence.h).
//
// Package `ownership`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace trailcourse::ownership {

using Term = std::uint64_t;  // the store's revision at which the work was given; 0: none

struct LeaseRules {
  Micros ttl{6'000'000};          // as the store counts it
  double drift = 0.01;            // by which its clock may run faster than ours, at most
  Micros margin{50'000};          // between the check and the effect's leaving
  Micros renew_after{2'000'000};  // since the last call that was granted was sent
  Micros retry{500'000};          // after a call that was not answered, or found another owner
};

// For how long a grant surely holds by this router's clock, counted from the sending of its call.
Micros surely_held(const LeaseRules& rules);

// | phase     | what it may do                                                       |
// | --------- | -------------------------------------------------------------------- |
// | candidate | ask for the work; no effect                                          |
// | owner     | effects under its term, checked one by one                           |
// | renewing  | the same, while a renewal is out                                     |
// | doubtful  | no effect: its time is over, and whether it was renewed is not known |
// | stopped   | nothing more                                                         |
enum class Phase { kCandidate, kOwner, kRenewing, kDoubtful, kStopped };
const char* to_string(Phase phase);

enum class Ask { kAcquire, kRenew, kRelease };
struct Order {
  Ask ask = Ask::kAcquire;
  std::uint64_t number = 0;  // of the call: what comes under another number is of an earlier one
  Term term = 0;             // of a renewal or release
};

class Lease {
 public:
  explicit Lease(const LeaseRules& rules) : rules_(rules) {}

  // The call to make now, if any; it counts as sent at `now`. One is out at a time.
  std::optional<Order> due(Micros now);
  // When due() has to be asked again, by time alone.
  std::optional<Micros> next(Micros now) const;

  // The store's answers. `term`: of the grant; a renewal is granted under the term that it bore.
  void granted(Micros now, std::uint64_t number, Term term);
  // Another owns it, or the session is gone.
  void refused(Micros now, std::uint64_t number);
  // No answer in time: it may have been done or not.
  void lost(Micros now, std::uint64_t number);

  // Whether an effect may be begun now. To be asked before each, and the effect has to leave within the
  // margin.
  bool may_act(Micros now) const;
  Phase phase(Micros now) const;
  // Of the effects that may be begun; 0 where none may.
  Term term() const { return term_; }
  // Until when effects may be begun, as far as is known.
  Micros until() const { return until_; }

  // All that it knows, in words: for logs, and for tests that explore its states.
  std::string describe() const;

  // Gives the work up as soon as it can be told; no effect from now on.
  void stop(Micros now);
  // Once all is told after stop(): it may be asked for anew. Call numbers go on.
  void start_again();
  bool over() const { return released_; }

 private:
  struct Out {
    Order order;
    Micros sent{0};
  };

  void forget();

  LeaseRules rules_;
  Term term_ = 0;
  Micros until_{-1};
  Micros last_sent_{-1};  // of the last call that was granted
  Micros not_before_{0};
  std::uint64_t last_number_ = 0;
  std::optional<Out> out_;
  bool stopping_ = false;
  bool released_ = false;
};

}  // namespace trailcourse::ownership
