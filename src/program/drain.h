// Ends a router after SIGTERM.
#pragma once

#include "program/configuration.h"
#include "program/fleet_work.h"
#include "routing/fastcgi_server.h"
#include "routing/router.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

// What a drain ends. All references have to outlive the drain.
struct DrainedParts {
  transport::Scheduler& scheduler;
  routing::FastCgiServer& server;
  routing::Router& router;
  FleetWork& work;
  const Configuration& configuration;
};

// Serves until no more requests arrive and all are answered, or until the drain timeout. Then requests that
// are still open fail, new ones are rejected without being forwarded, and each client connection is closed
// once its answers are written. Stops the scheduler at the end.
transport::Task<void> drain(DrainedParts parts);

}  // namespace trailcourse::program
