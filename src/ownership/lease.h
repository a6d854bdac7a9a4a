// The lease of one shard of work at a router that owns or acquires it: when to call the store, and until when
// the router may begin effects.
//
// The store grants a lease for the duration `ttl` under a term that only grows. If a call was sent at time S
// and succeeded, the router relies on the lease until S + ttl * (1 - drift) - margin by its own steady clock:
// the store cannot have granted the lease before S, and the store's clock runs faster by `drift` at most. An
// owner has therefore stopped before the store may grant the shard to another router, no matter when the
// response arrived or how long the process was suspended. So no two routers begin effects at the same time.
// An effect that was sent before may still arrive late. Each effect therefore carries the term, and its
// receiver rejects lower terms (fence.h).
//
// Library `ownership`: no I/O and no clock; times are Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace trailcourse::ownership {

// Fencing term of a lease: the store's revision at which it was granted; 0: none.
using Term = std::uint64_t;

// Timing of a lease.
struct LeaseOptions {
  Micros ttl{6'000'000};          // duration of a grant by the store's clock
  double drift = 0.01;            // maximum fraction by which the store's clock runs faster than the router's
  Micros margin{50'000};          // maximum time from the check of the lease to the sending of an effect
  Micros renew_after{2'000'000};  // from the sending of the last granted call to the next renewal
  Micros retry_backoff{500'000};  // after a call that was rejected or got no response
};

// Returns the duration for which a grant is guaranteed, by this router's clock from the sending of the call.
Micros guaranteed_duration(const LeaseOptions& options);

// | phase     | what the router may do                                                       |
// | --------- | ---------------------------------------------------------------------------- |
// | candidate | try to acquire the lease; no effects                                         |
// | owner     | begin effects under its term; may_act() is checked for each                  |
// | renewing  | the same, while a renewal is in flight                                       |
// | uncertain | no effects: the lease has expired, and whether it was renewed is unknown     |
// | stopped   | nothing: the lease is being released or was released                         |
enum class LeasePhase { kCandidate, kOwner, kRenewing, kUncertain, kStopped };

// Returns the name of the phase for logs.
const char* to_string(LeasePhase phase);

// kAcquire: get a new grant; kRenew: extend the current one; kRelease: end it.
enum class LeaseCallKind { kAcquire, kRenew, kRelease };

// A lease call that has to be made to the store.
struct LeaseCall {
  LeaseCallKind kind = LeaseCallKind::kAcquire;
  std::uint64_t call_id = 0;  // a response with another id belongs to an earlier call and is ignored
  Term term = 0;              // of the lease to renew or release; 0 for kAcquire
};

// State machine of one lease. step() returns the next call, and exactly one of the on_...() functions
// receives its result. At most one call is in flight.
class Lease {
 public:
  explicit Lease(const LeaseOptions& options) : options_(options) {}

  // Returns the call to make now, if any. The call counts as sent at `now`.
  std::optional<LeaseCall> step(Micros now);

  // Returns when step() has to be called next if no response arrives earlier; nothing while a call is in
  // flight or after the release.
  std::optional<Micros> next_step_at(Micros now) const;

  // The store granted the call. `term` is the term of a new grant; it is ignored for a renewal or release.
  void on_granted(Micros now, std::uint64_t call_id, Term term);

  // The store rejected the call: another router owns the shard, or the lease has ended.
  void on_rejected(Micros now, std::uint64_t call_id);

  // The call timed out: the store may have executed it or not.
  void on_no_response(Micros now, std::uint64_t call_id);

  // Returns whether an effect may begin now. Has to be called before each effect, which then has to be sent
  // within the margin.
  bool may_act(Micros now) const;

  LeasePhase phase(Micros now) const;

  // Returns the term of the lease, or 0 if this router has none.
  Term term() const { return term_; }

  // Returns until when effects may begin, by the last granted call; a negative time if none may.
  Micros valid_until() const { return valid_until_; }

  // Returns the complete state as text, for logs and for tests that compare states.
  std::string describe() const;

  // Stops all effects at once; the next step() releases the lease. A second call has no effect.
  void stop(Micros now);

  // Returns whether the release that stop() began is complete.
  bool released() const { return released_; }

  // Makes a released lease a candidate again. Call ids continue to grow.
  void restart();

 private:
  struct CallInFlight {
    LeaseCall call;
    Micros sent{0};
  };

  // Returns the call in flight if it has this id, and marks it as completed.
  std::optional<CallInFlight> complete_call(std::uint64_t call_id);
  void clear_grant();

  LeaseOptions options_;
  Term term_ = 0;
  Micros valid_until_{-1};
  Micros last_granted_sent_{-1};  // when the last granted call was sent
  Micros not_before_{0};
  std::uint64_t last_call_id_ = 0;
  std::optional<CallInFlight> in_flight_;
  bool stopping_ = false;
  bool released_ = false;
};

}  // namespace trailcourse::ownership
