// A notice that owned work puts on the board: taken under a term only, and once. The terms seen stand in the
// board's page itself, so that a term and its first notice are on the disk together or not at all.
//
// Package `board`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace trailcourse::board {

struct Posted {
  bool taken = false;  // the page has changed and is to be kept before this is told
  bool known = false;  // the same was taken before, under the number given
  std::uint64_t number = 0;
  std::string why;  // of one that was refused, one word
};

// `call`: {"fence": "STORE:WORK/SHARD:TERM", "id": "...", "event": {...}}. The id tells a notice that is sent
// again because its answer was lost. The page is that of check_page(), with "terms" and "store" beside.
Posted post_notice(nlohmann::json& page, const nlohmann::json& call);

}  // namespace trailcourse::board
