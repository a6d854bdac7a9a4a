// What runs beside the router: cache nodes, and a small origin and notice board for trying things out.
#pragma once

#include <functional>
#include <string>

#include "program/operator_file.h"

namespace trailcourse::program {

// Each runs until SIGTERM or SIGINT and gives the exit status; throws std::system_error where it cannot
// start.
int run_cache(const OperatorFile& file);
int run_origin(const OperatorFile& file);
int run_board(const OperatorFile& file);
int run_registry(const OperatorFile& file);

}  // namespace trailcourse::program
