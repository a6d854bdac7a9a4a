// Runs a router: connects its parts and runs them until a signal ends it.
#pragma once

#include <functional>

#include "program/configuration.h"

namespace trailcourse::program {

// Reads the configuration again from the same sources. Throws as read_configuration() does.
using ReloadConfiguration = std::function<Configuration()>;

// Runs until SIGTERM or SIGINT, then drains. On SIGHUP it applies what a running router can change. Returns
// the exit status; throws std::system_error if it cannot start.
int serve(const Configuration& configuration, const ReloadConfiguration& reload_configuration);

}  // namespace trailcourse::program
