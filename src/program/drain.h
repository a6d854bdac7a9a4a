// Ends a router after SIGTERM.
#pragma once

#include "program/configuration.h"
#include "program/fleet_work.h"
#include "routing/fastcgi_server.h"
#include "routing/router.h"
#include "transport/scheduler.h"

namespace trailcourse::program {

// Serves until no more requests arrive and all are answered, closes all connections and stops the scheduler.
// All references have to outlive the coroutine.
transport::Task<void> drain(transport::Scheduler& scheduler, routing::FastCgiServer& server,
                            routing::Router& router, FleetWork& work, const Configuration& configuration);

}  // namespace trailcourse::program
