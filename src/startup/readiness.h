// Tracks how stale the endpoint list of this router is, and decides what the router may do in each state.
//
// | staleness   | meaning                                                                                |
// | ----------- | -------------------------------------------------------------------------------------- |
// | unknown     | there is no list                                                                       |
// | provisional | the list is from before startup; the discovery service has not answered since          |
// | current     | the service, or a relay that is current, has confirmed the list within the bound       |
// | stale       | the last confirmation is older than the notification bound                             |
// | expired     | the list is older than the operator allows                                             |
//
// docs/cold-start.md derives the permissions of each state. They reach the decision module as ordinary events
// (lists and purges); this state machine does not choose caches, retries or rejections.
//
// Library `startup`.
#pragma once

#include <cstdint>
#include <optional>

#include "startup/options.h"

namespace trailcourse::startup {

// How stale the endpoint list is; the table above defines each value.
enum class Staleness { kUnknown, kProvisional, kCurrent, kStale, kExpired };

// Returns the name that `/healthz` shows. These names are part of the operators' interface and differ from
// the enumerators: fresh, provisional, current, doubtful, lapsed.
const char* to_string(Staleness staleness);

// What a router may do now.
struct ServingPermissions {
  Staleness staleness = Staleness::kUnknown;
  bool ready = false;                // `/healthz` may report readiness
  bool may_serve = false;            // false: the module gets an empty list and rejects all requests
  bool start_times_unknown = false;  // endpoints without a start time count as just started
  // A missed purge event may forbid cached copies older than this; nothing where no purge event can be
  // missed.
  std::optional<Micros> max_copy_age;

  friend bool operator==(const ServingPermissions&, const ServingPermissions&) = default;
};

// Tracks the last time at which the endpoint list is known to have been current.
class Readiness {
 public:
  explicit Readiness(const ReadinessOptions& options) : options_(options) {}

  // Records a list that is known at startup. `current_at` is the last time at which it is known to have been
  // current: now for a list from the platform, the time stated in a snapshot otherwise.
  // `start_times_known`: the start times of its endpoints are still valid.
  void restore(Micros now, Micros current_at, bool start_times_known);

  // Records that the router has received all events that the service had at `current_at`.
  void on_confirmed(Micros now, Micros current_at);

  // Returns to the state without a list, after a sequence reset of the service.
  void reset();

  Staleness staleness(Micros now) const;
  ServingPermissions permissions(Micros now) const;

  // Returns when the permissions next change because time passes, or nothing where they do not.
  std::optional<Micros> next_change(Micros now) const;

  // Returns the time since the list is known to have been current; Micros::max() where there is no list.
  Micros age(Micros now) const { return current_at_ ? now - *current_at_ : Micros::max(); }

 private:
  bool purges_may_be_missing(Micros now) const;

  ReadinessOptions options_;
  std::optional<Micros> current_at_;
  bool confirmed_ = false;
  bool start_times_unknown_ = false;
};

}  // namespace trailcourse::startup
