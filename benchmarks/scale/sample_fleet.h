// Sample input for measurements: endpoint lists, purge events and router settings in the formats that a
// fleet's discovery service and platform send.
//
// Used by benchmarks only.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/settings.h"

namespace trailcourse::scale {

constexpr const char* kSampleZone = "zone0";

// Returns a page of the discovery service with one complete endpoint list: `caches` caches spread over
// `zones` zones, and an origin. `since_ms` is the listed start time of the caches, in Unix milliseconds; 0
// means long ago. The page comes from fleet::Layout, as in a real fleet.
nlohmann::json list_page(int caches, int zones, std::int64_t since_ms = 0);
// Returns the settings of a router in kSampleZone, in a fleet of `routers` routers and `zones` zones.
nlohmann::json router_settings(int routers, int zones);

// Returns a discovery event that purges one object, in the format that `trailcourse notice` writes. `number`
// is the sequence number of the event, `at_ms` the purge time in Unix milliseconds.
nlohmann::json purge_event(std::uint64_t number, std::uint64_t object, std::int64_t at_ms);
// Returns a page of `purges` purge events, numbered from `after` + 1. `at_ms` is the purge time of each
// event, in Unix milliseconds.
nlohmann::json purge_page(std::uint64_t after, int purges, std::int64_t at_ms);

std::int64_t unix_ms_now();

}  // namespace trailcourse::scale
