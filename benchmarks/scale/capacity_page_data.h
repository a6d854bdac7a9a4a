// Data that the capacity page is computed from: the intended size of a fleet (docs/capacity/target.json), the
// costs of each role and the requirements (docs/capacity/model.json), and the measured slopes
// (docs/capacity/slopes.json).
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "scale/capacity_page_formula.h"
#include "scale/slopes.h"

namespace trailcourse::scale {

// Thrown for invalid data; the message names the file, the entry and the field.
class InvalidCapacityData : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A number that is given, not measured.
struct Target {
  std::string name;
  double value = 0.0;
  std::string unit;
  std::string what;  // description in plain words
  std::string key;   // SECTION.KEY of the operator's file if the number is a setting; otherwise empty
};

// Targets of one kind.
struct TargetGroup {
  std::string name;  // "size", "settings" or "assumptions"
  std::string what;
  std::vector<Target> targets;
};

// A number computed from targets and from earlier derived numbers.
struct DerivedNumber {
  std::string name;
  std::string formula;
  std::string unit;
  std::string what;
  bool shown = false;  // listed in the table `meaning`
};

// Costs of a role in one situation of the fleet. Each cell is text with formulas in braces:
// "{routers * 2 | calls/s}".
struct RoleRow {
  std::string situation;
  std::vector<std::string> cells;  // in the order of kRoleColumns
};
inline constexpr const char* kRoleColumns[] = {
    "state", "messages in a second", "messages out a second", "bytes in and out a second", "processor",
    "memory"};

// A role of the fleet, such as the router, with its costs.
struct Role {
  std::string name;
  std::string mechanism;  // the mechanism that the role uses, and its source files
  std::vector<RoleRow> rows;
};

// A requirement at the intended size, compared with the present state.
struct Requirement {
  enum class Sense { kAtLeast, kAtMost };  // direction of the limit that `wanted` sets

  std::string role;
  std::string situation;
  std::string what;
  std::string unit;
  std::string wanted;   // formula of the required value
  std::string reached;  // formula of the present value; empty if no mechanism exists
  Sense sense = Sense::kAtMost;
  std::string mechanism;  // the mechanism that has to meet the requirement
  std::string exists;     // whether the mechanism exists: "yes", "no" or "in part"
  std::string file;       // source file of the mechanism; may be empty
  std::string note;       // shown after `what`; may be empty
};

struct CapacityData {
  std::vector<TargetGroup> targets;
  std::vector<DerivedNumber> derived;
  std::vector<std::pair<std::string, std::string>> situations;  // name, description
  std::vector<Role> roles;
  std::vector<Requirement> plan;
  std::vector<std::string> unknowable;  // facts that cannot be measured on one machine
  std::map<std::string, Slope> slopes;  // by name
};

// Convert the parsed target file and the parsed model file. read_model() appends to `out`. Both throw
// InvalidCapacityData if the file is invalid.
std::vector<TargetGroup> read_targets(const nlohmann::json& file);
void read_model(const nlohmann::json& file, CapacityData& out);

// Reads the three data files from `folder`. Throws InvalidCapacityData, InvalidSlopes.
CapacityData load_capacity_data(const std::string& folder);

// Returns all targets, derived numbers and slopes by name. Throws FormulaError for an invalid formula of a
// derived number, and InvalidCapacityData for a duplicate name.
FormulaNames names_of(const CapacityData& data);

}  // namespace trailcourse::scale
