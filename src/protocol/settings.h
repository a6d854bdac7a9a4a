// Reads the settings of a router from JSON, for the router and the benchmark adapter.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <trailcourse/decider.h>

#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace trailcourse::protocol {

// The settings of the decision module, and the settings that are needed for reading messages.
struct Profile {
  Settings settings;
  std::unordered_map<std::string, int> class_index;
  std::vector<std::string> kinds;
  std::vector<std::string> report_fields;
  int parent_kind = -1;
  int origin_kind = -1;
  Micros connection_idle{0};  // 0: not set
  Micros connect_timeout{0};
  int streams_per_connection = 0;
  int max_open_requests = 0;

  // Returns the role of an endpoint by its kind; a cache if the kind is unknown.
  Role role_of(const std::string& kind) const;
};

// Throws FormatError if a value has the wrong type.
Profile read_profile(const nlohmann::json& profile);

// Sets the value of a field that has this name in the settings; ignores unknown names.
void set_report_value(LoadReport& report, const std::string& field, double value);

}  // namespace trailcourse::protocol
