// Options of the state machines in this folder: the section `startup` of the operator's file, and the typed
// options that are derived from it and from the platform's settings.
//
// Library `startup`: state machines without I/O or a clock. Times are Micros of the caller's steady clock.
// All random numbers come from generators that the caller seeds. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "config/record.h"

namespace trailcourse::startup {

// The section `startup` of the operator's file; each member is the key of that name. Without the section, a
// router uses the defaults below, which do not spread calls and connections over time.
struct StartOptions {
  bool spread = false;
  std::int64_t routers = 0;
  double board_calls_per_s = 100.0;
  std::int64_t window_most_ms = 60'000;
  std::int64_t reask_ms = 100;
  std::int64_t retry_after_most_s = 120;
  double node_opens_per_s = 0.0;
  std::int64_t open_window_most_ms = 5'000;
  std::int64_t node_connections = 0;
  std::int64_t flap_s = 60;
  std::string unsure = "serve";
  std::int64_t told_within_ms = 0;
  std::int64_t lapse_ms = 0;
};

// Returns the declaration of the section `startup`: its keys, ranges and descriptions.
const config::Record<StartOptions>& start_record();

// Options of PollScheduler.
struct PollOptions {
  bool spread = false;                      // draw poll times from windows that grow with the fleet
  double calls_per_s = 100.0;               // polls that the service can serve, from all routers together
  Micros min_backoff{50'000};               // shortest mean backoff; with `spread`: shortest window W
  Micros max_backoff{400'000};              // without `spread`: upper limit of the mean backoff
  Micros max_window{60'000'000};            // longest window with `spread`
  Micros update_jitter{0};                  // longest delay of the poll that follows updates
  Micros max_retry_after{120'000'000};      // a longer Retry-After is reduced to this
  Micros long_poll_timeout{2'000'000};      // how long the service may hold a poll
  Micros max_long_poll_timeout{5'000'000};  // the same for large fleets, whose polls are held for longer
  int probe_after_failures = 3;             // consecutive failures; then only short probes until one succeeds
};

// Options of EndpointAdmission.
struct AdmissionOptions {
  double admissions_per_s = 0.0;  // per second, that an endpoint accepts from all routers; 0: no slow start
  Micros max_window{5'000'000};   // longest window from which an admission time is drawn
  int endpoint_connections = 0;   // connections that one endpoint can hold from all routers; 0: no limit
  int max_connections_per_router = 16;  // from this router to one endpoint
  Micros flap_window{60'000'000};       // an endpoint listed again within this time counts as flapping
};

// What a router does with requests while its endpoint list may be stale.
enum class StalePolicy {
  kServe,     // serve as before
  kLimitAge,  // serve, except for cached copies that a missed purge event may forbid
  kReject     // reject all requests
};

// Options of Readiness.
struct ReadinessOptions {
  StalePolicy stale_policy = StalePolicy::kServe;
  Micros notification_bound{300'000};  // from an event's publication until it is in force, received or not
  Micros purge_completion{6'000'000};  // from a purge until all caches have dropped the purged copies
  Micros expiry{0};                    // age above which a list is not used; 0: no limit
};

// Derives the options of PollScheduler. `min_backoff`, `max_backoff` and `long_poll_timeout` come from the
// router's tuning keys.
PollOptions poll_options(const StartOptions& options, Micros min_backoff, Micros max_backoff,
                         Micros long_poll_timeout);

// Derives the options of EndpointAdmission.
AdmissionOptions admission_options(const StartOptions& options, int max_connections_per_router);

// Derives the options of Readiness. `max_poll_duration` is the longest time that a poll of a healthy
// discovery service takes.
ReadinessOptions readiness_options(const StartOptions& options, const Settings& settings,
                                   Micros max_poll_duration);

}  // namespace trailcourse::startup
