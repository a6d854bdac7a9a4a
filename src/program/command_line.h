// The command line of `trailcourse`: selects the sub-command, parses its options and runs it.
#pragma once

#include <iosfwd>

namespace trailcourse::program {

// Runs a sub-command and returns the exit status: 0 on success, 1 on failure, 2 on a usage error, and those
// of the sub-command. `arguments` are those of main().
int run_command(int count, const char* const* arguments, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
