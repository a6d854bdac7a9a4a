// The command line: which sub-command, and with what.
#pragma once

#include <iosfwd>

namespace trailcourse::program {

// Runs a sub-command and gives the exit status: 0, 1 where it failed, 2 where the command line is wrong.
int run_command(int count, const char* const* words, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
