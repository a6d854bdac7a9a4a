// `trailcourse aggregator`: the process of a region that stands between its routers and the store.
#pragma once

#include "program/operator_file.h"

namespace trailcourse::program {

// Runs until SIGTERM or SIGINT, then drains. Gives the exit status; throws std::system_error where it cannot
// start.
int run_aggregator(const OperatorFile& file);

}  // namespace trailcourse::program
