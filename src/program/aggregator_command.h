// `trailcourse aggregator`: the process between the routers of a region and the coordination store.
#pragma once

#include "program/operator_file.h"

namespace trailcourse::program {

// Runs until SIGTERM or SIGINT, then drains. Returns the exit status; throws std::system_error if it cannot
// start. Logs its status on SIGHUP.
int run_aggregator(const OperatorFile& file);

}  // namespace trailcourse::program
