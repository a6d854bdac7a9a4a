// Lease of one shard of work, as seen by the router that wants or has it: when to call the store, until when
// the router may act, and when it stops by itself.
//
// The store grants a lease for a time (`ttl`) under a term that only grows. A call that was sent at time S
// and succeeded is taken to hold until S + ttl * (1 - drift) - margin by this router's own steady clock:
// the store cannot have begun to count before S, and its clock runs faster than ours by `drift` at most. An
// owner has therefore stopped, in true time, before the store may grant the shard to another router,
// whenever the answer arrived and however long this process was suspended in between. This prevents two
// routers from beginning effects at the same time. It does not prevent an effect that is already on its way
// from arriving late, which is why each effect carries the term and its receiver rejects lower ones
// (fence.h).
//
// Library `ownership`: no I/O and no clock; times are Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace trailcourse::ownership {

// Fencing term of a lease: the store's revision at which it was granted. 0 means none.
using Term = std::uint64_t;

// Timing of a lease.
struct LeaseOptions {
  Micros ttl{6'000'000};          // duration of a grant by the store's clock
  double drift = 0.01;            // greatest share by which the store's clock may run faster than ours
  Micros margin{50'000};          // time reserved between the check and the sending of an effect
  Micros renew_after{2'000'000};  // time from the sending of the last granted call to the next renewal
  Micros retry_backoff{500'000};  // time to wait after a call that was rejected or not answered
};

// Returns for how long a grant is guaranteed by this router's clock, counted from the sending of the call.
Micros guaranteed_duration(const LeaseOptions& options);

// | phase     | what the router may do                                                       |
// | --------- | ---------------------------------------------------------------------------- |
// | candidate | try to acquire the lease; no effects                                         |
// | owner     | begin effects under its term; may_act() is checked for each                  |
// | renewing  | the same, while a renewal is in flight                                       |
// | uncertain | no effects: the lease has run out, and whether it was renewed is unknown     |
// | stopped   | nothing; the lease is being released or has been                             |
enum class LeasePhase { kCandidate, kOwner, kRenewing, kUncertain, kStopped };

// Returns the phase as a word for logs.
const char* to_string(LeasePhase phase);

enum class LeaseCallKind { kAcquire, kRenew, kRelease };

// A call that is to be made to the store.
struct LeaseCall {
  LeaseCallKind kind = LeaseCallKind::kAcquire;
  std::uint64_t call_id = 0;  // an answer that bears another id belongs to an earlier call and is ignored
  Term term = 0;              // of a renewal or release
};

// State machine of one lease. Calls step() for the next call, and receives its result by exactly one of the
// on_...() functions. At most one call is in flight.
class Lease {
 public:
  explicit Lease(const LeaseOptions& options) : options_(options) {}

  // Returns the call to make now, if any. It counts as sent at `now`.
  std::optional<LeaseCall> step(Micros now);

  // Returns when step() may next return a call by time alone, if no answer arrives before.
  std::optional<Micros> next_step_at(Micros now) const;

  // The store granted the call. `term` is that of a new grant; a renewal stays under the term that it bore.
  void on_granted(Micros now, std::uint64_t call_id, Term term);

  // The store rejected the call: another router owns the shard, or the lease is gone.
  void on_rejected(Micros now, std::uint64_t call_id);

  // No response arrived in time: the store may have processed the call or not.
  void on_no_response(Micros now, std::uint64_t call_id);

  // Returns whether an effect may begin now. It has to be called before each effect, and the effect has to
  // be sent within the margin.
  bool may_act(Micros now) const;

  LeasePhase phase(Micros now) const;

  // Returns the term of effects that may begin, or 0 where the lease has ended.
  Term term() const { return term_; }

  // Returns until when effects may begin, by the last confirmed renewal; a negative time where none may.
  Micros valid_until() const { return valid_until_; }

  // Returns the complete state as text, for logs and for tests that enumerate states.
  std::string describe() const;

  // Stops all effects at once and releases the lease by the next step(). Calling it again has no effect.
  void stop(Micros now);

  // Returns whether the release that stop() began is complete.
  bool released() const { return released_; }

  // Makes a released lease a candidate again. Call ids go on.
  void restart();

 private:
  struct CallInFlight {
    LeaseCall call;
    Micros sent{0};
  };

  // Takes the call in flight if it has this id.
  std::optional<CallInFlight> take_call(std::uint64_t call_id);
  void clear_grant();

  LeaseOptions options_;
  Term term_ = 0;
  Micros valid_until_{-1};
  Micros last_granted_sent_{-1};  // when the last call that was granted was sent
  Micros not_before_{0};
  std::uint64_t last_call_id_ = 0;
  std::optional<CallInFlight> in_flight_;
  bool stopping_ = false;
  bool released_ = false;
};

}  // namespace trailcourse::ownership
