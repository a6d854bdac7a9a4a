// Options of the state machines in this folder: the operator's section `startup`, and the typed options that
// are derived from it and from the platform's settings.
//
// Package `startup`: state machines without I/O or clock. Time is Micros of the caller's steady clock, which
// never goes back. All random draws come from seeds. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "config/record.h"

namespace trailcourse::startup {

// The section `startup` of the operator's file; each member is a key of that name. Without the section a
// router starts with default options and without jitter over the fleet.
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
  bool spread = false;                  // jitter over windows by the fleet's size; false: a single router's
  double calls_per_s = 100.0;           // that the discovery service bears from all routers
  Micros min_backoff{50'000};           // shortest window after a failure
  Micros max_backoff{400'000};          // longest mean backoff without `spread`
  Micros max_window{60'000'000};        // longest window with `spread`
  Micros update_jitter{0};              // after updates the next poll is drawn from 0 to this
  Micros max_retry_after{120'000'000};  // a longer Retry-After is cut to this
  Micros long_poll_timeout{2'000'000};  // how long the service may hold a poll
  Micros max_long_poll_timeout{5'000'000};  // the same where the fleet's size asks for longer polls
  int probe_after_failures = 3;             // consecutive failures; then short probes until one succeeds
};

// Options of EndpointAdmission.
struct AdmissionOptions {
  double admissions_per_s = 0.0;        // that one endpoint accepts from all routers; 0: no slow start
  Micros max_window{5'000'000};         // longest window from which an admission is drawn
  int endpoint_connections = 0;         // that one endpoint holds from all routers; 0: no bound
  int max_connections_per_router = 16;  // from this router to one endpoint
  Micros flap_window{60'000'000};       // an endpoint that returns within this time counts as flapping
};

// What a router does with requests while its endpoint list may be stale.
enum class StalePolicy {
  kServe,     // serve as before
  kLimitAge,  // serve, but no cached copy that an unheard purge may forbid
  kReject     // reject all requests
};

// Options of Readiness.
struct ReadinessOptions {
  StalePolicy stale_policy = StalePolicy::kServe;
  Micros notification_bound{300'000};  // an event binds so long after it was published, received or not
  Micros purge_completion{6'000'000};  // caches have dropped a purged copy so long after the purge
  Micros expiry{0};                    // a list older than this is not used; 0: never
};

// Derives the options of PollScheduler. `min_backoff`, `max_backoff` and `long_poll_timeout` come from the
// router's tuning.
PollOptions poll_options(const StartOptions& options, Micros min_backoff, Micros max_backoff,
                         Micros long_poll_timeout);

// Derives the options of EndpointAdmission.
AdmissionOptions admission_options(const StartOptions& options, int max_connections_per_router);

// Derives the options of Readiness. `max_poll_duration` is the longest time that a poll takes while the
// discovery service is healthy.
ReadinessOptions readiness_options(const StartOptions& options, const Settings& settings,
                                   Micros max_poll_duration);

}  // namespace trailcourse::startup
