// Decides how far the endpoint list of this router can be trusted, and what the router may do by that.
//
// | staleness   | meaning                                                                                |
// | ----------- | -------------------------------------------------------------------------------------- |
// | unknown     | there is no list                                                                       |
// | provisional | there is a list from before the start; the discovery service has not answered since    |
// | current     | the service, or a relay that is current, has confirmed the list within the bound       |
// | stale       | the last confirmation is older than the notification bound                             |
// | expired     | it is older than the operator allows                                                   |
//
// docs/cold-start.md derives what each state may do. The effects reach the decision module as ordinary events
// (lists and purges): this machine chooses no cache, retry or rejection.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <optional>

#include "startup/options.h"

namespace trailcourse::startup {

// How old the knowledge of this router is; the table above says what each value means.
enum class Staleness { kUnknown, kProvisional, kCurrent, kStale, kExpired };

// Returns the name that `/healthz` shows. Its words are part of the operators' interface and differ from the
// names above: fresh, provisional, current, doubtful, lapsed.
const char* to_string(Staleness staleness);

// What a router may do now.
struct ServingPermissions {
  Staleness staleness = Staleness::kUnknown;
  bool ready = false;                // `/healthz` may report readiness
  bool may_serve = false;            // false: the module gets an empty list and rejects at once
  bool start_times_unknown = false;  // endpoints without a start time count as just started
  // Cached copies that are older may have been purged by an event that was not received; nothing where no
  // such purge can be missing.
  std::optional<Micros> max_copy_age;

  friend bool operator==(const ServingPermissions&, const ServingPermissions&) = default;
};

// Tracks when the endpoint list was last certainly current.
class Readiness {
 public:
  explicit Readiness(const ReadinessOptions& options) : options_(options) {}

  // Records a list that is known at the start. `current_at` is the last moment at which it was certainly
  // current: the present for a list of the platform's, the moment that a snapshot names. With
  // `start_times_known` the start times of its endpoints still hold.
  void restore(Micros now, Micros current_at, bool start_times_known);

  // Records that everything that the service had to tell at `current_at` is known.
  void on_confirmed(Micros now, Micros current_at);

  // Forgets everything: the service has started again.
  void reset();

  Staleness staleness(Micros now) const;
  ServingPermissions permissions(Micros now) const;

  // Returns when the permissions change by time alone, or nothing where they do not.
  std::optional<Micros> next_change(Micros now) const;

  // Returns the time since the list was certainly current; Micros::max() where there is no list.
  Micros age(Micros now) const { return current_at_ ? now - *current_at_ : Micros::max(); }

 private:
  bool purges_may_be_missing(Micros now) const;

  ReadinessOptions options_;
  std::optional<Micros> current_at_;
  bool confirmed_ = false;
  bool start_times_unknown_ = false;
};

}  // namespace trailcourse::startup
