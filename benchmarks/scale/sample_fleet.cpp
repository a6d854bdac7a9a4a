#include "sample_fleet.h"

#include <chrono>
#include <cstdio>
#include <vector>

#include "fleet/layout.h"

namespace trailcourse::scale {

using nlohmann::json;

namespace {

constexpr std::uint64_t kPurgedObjectBase = 0x7f3a'0000'0000'0000U;

fleet::FleetSpec fleet_spec(int routers, int caches, int zones, std::int64_t since_ms) {
  fleet::FleetSpec spec;
  spec.routers = routers;
  spec.caches = caches;
  spec.parents = 0;
  spec.started_unix_ms = since_ms;
  spec.zones.clear();
  for (int i = 0; i < zones; ++i) {
    spec.zones.push_back("zone" + std::to_string(i));
  }
  return spec;
}

}  // namespace

json list_page(int caches, int zones, std::int64_t since_ms) {
  fleet::PortAllocator ports;
  const fleet::Layout layout(fleet_spec(1, caches, zones, since_ms), "", ports);
  // A page that is written and parsed has the same JSON number types as one that a client receives.
  return json::parse(layout.first_page().dump());
}

json router_settings(int routers, int zones) {
  fleet::PortAllocator ports;
  json out = fleet::Layout(fleet_spec(1, 1, zones, 0), "", ports).settings(kSampleZone, 0);
  out["Balancers"] = routers;
  return out;
}

json purge_event(std::uint64_t number, std::uint64_t object, std::int64_t at_ms) {
  char name[17];
  std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(object));
  return {{"rev", number}, {"flush", {{"asset", name}, {"ms", at_ms}}}};
}

json purge_page(std::uint64_t after, int purges, std::int64_t at_ms) {
  json events = json::array();
  std::uint64_t number = after;
  for (int i = 0; i < purges; ++i) {
    ++number;
    events.push_back(purge_event(number, kPurgedObjectBase + number, at_ms));
  }
  return {{"rev", number}, {"notices", events}};
}

std::int64_t unix_ms_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace trailcourse::scale
