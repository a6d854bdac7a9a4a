// The servers other than the router: cache nodes, and a small origin, discovery service and coordination
// server.
#pragma once

#include <functional>
#include <string>

#include "program/operator_file.h"

namespace trailcourse::program {

// Each runs until SIGTERM or SIGINT and returns the exit status. Throws std::system_error if it cannot start.
// On SIGHUP a cache node and a coordination server log their counters, a discovery service also reads its
// file again, and an origin generates objects of a new version.
int run_cache(const OperatorFile& file);
int run_origin(const OperatorFile& file);
int run_board(const OperatorFile& file);
int run_registry(const OperatorFile& file);

}  // namespace trailcourse::program
