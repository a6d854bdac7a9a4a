// A checker over the logs of receivers: the terms under which they carried out commands of one piece of work
// never go back, over their restarts too.
//
// Package `fleet`; reads files.
#pragma once

#include <string>
#include <vector>

namespace trailcourse::fleet {

// The lines that break it, "NAME: LINE". `log` is the file of a cache node.
std::vector<std::string> find_token_regressions(const std::string& name, const std::string& log);

}  // namespace trailcourse::fleet
