// Lists, purges and settings as a fleet's board and platform would tell them, for measurements.
//
// Benchmarks only.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/settings.h"

namespace trailcourse::scale {

constexpr const char* kSampleZone = "zone0";

// The board's page with one whole list of so many caches, dealt out to `zones`, and an origin, by the writer
// that the project's fleets use. `since_ms`: when they are listed to have started.
nlohmann::json list_page(int caches, int zones, std::int64_t since_ms = 0);
// Settings of a router of kSampleZone.
nlohmann::json router_settings(int routers, int zones);

// An event of the board that purges one object, as `trailcourse notice` writes it.
nlohmann::json purge_event(std::uint64_t number, std::uint64_t object, std::int64_t at_ms);
// A page of `purges` such events that follow event `after`.
nlohmann::json purge_page(std::uint64_t after, int purges, std::int64_t at_ms);

std::int64_t unix_ms_now();

}  // namespace trailcourse::scale
