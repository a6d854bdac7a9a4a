// Checks the log of a receiver of fenced commands: the terms under which it executes the commands of one
// piece of work never decrease, also across its restarts.
//
// Library `fleet`; reads files.
#pragma once

#include <string>
#include <vector>

namespace trailcourse::fleet {

// Returns the lines with a lower term than an earlier line of the same piece of work, as "NAME:
// LINE". `log` is the path of the log of a cache node.
std::vector<std::string> find_token_regressions(const std::string& name, const std::string& log);

}  // namespace trailcourse::fleet
