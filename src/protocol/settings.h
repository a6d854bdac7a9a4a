// The settings that a router is given, read from their JSON; the bench adapter and the router share this.
#pragma once

#include <trailcourse/decider.h>

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace trailcourse::protocol {

// The module's settings, and what else of them is needed for reading messages.
struct Profile {
  Settings settings;
  std::unordered_map<std::string, int> class_index;
  std::vector<std::string> kinds;
  std::vector<std::string> report_fields;
  int parent_kind = -1;
  int origin_kind = -1;
  Micros connection_idle{0};  // 0: not told
  Micros connect_timeout{0};
  int streams_per_connection = 0;
  int most_open = 0;

  Role role_of(const std::string& kind) const;
};

Profile read_profile(const nlohmann::json& profile);

// Sets the value of a field named as in the settings; others are passed over.
void set_report_value(LoadReport& report, const std::string& field, double value);

}  // namespace trailcourse::protocol
