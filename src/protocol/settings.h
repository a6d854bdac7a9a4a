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

// The settings of a deployment: those of the decision module, the names that its messages use, and limits of
// the router. A duration or number of 0 is not set.
struct DeploymentSettings {
  Settings settings;
  std::unordered_map<std::string, int> class_index;  // index into settings.classes by the name of the class
  std::vector<std::string> kinds;                    // names of the kinds of endpoints
  std::vector<std::string> report_fields;            // names of the fields of a load report, in their order
  int parent_kind = -1;                              // index into `kinds`; negative: no endpoint is a parent
  int origin_kind = -1;                              // index into `kinds`; negative: no endpoint is an origin
  Micros connection_idle{0};                         // time after which a cache closes an idle connection
  Micros connect_timeout{0};       // time within which a connection to a cache has to be established
  int streams_per_connection = 0;  // requests in flight on one connection
  int max_open_requests = 0;       // at this router

  // Returns the role of an endpoint by its kind; a cache if the kind is unknown.
  Role role_of(const std::string& kind) const;
};

// Throws FormatError if a value has the wrong type.
DeploymentSettings read_deployment_settings(const nlohmann::json& source);

// Sets the field of `report` that the settings call `field`. Ignores an unknown name.
void set_report_value(LoadReport& report, const std::string& field, double value);

}  // namespace trailcourse::protocol
