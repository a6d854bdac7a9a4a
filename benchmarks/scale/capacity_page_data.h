// What the capacity page is worked out from: the size that is wanted (docs/capacity/target.json), what each
// role does and what has to hold (docs/capacity/model.json), and the measured slopes
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

// Names the file, the entry and the field that cannot be used.
class BadCapacityData : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One number that is given, not measured.
struct Target {
  std::string name;
  double value = 0.0;
  std::string unit;
  std::string what;  // in plain words
  std::string key;   // of a setting: SECTION.KEY of the operator's file; else empty
};

// Where the numbers of a group come from.
struct TargetGroup {
  std::string name;  // size, settings, assumptions
  std::string what;
  std::vector<Target> targets;
};

// A number that follows from others; later ones may name earlier ones.
struct Derived {
  std::string name;
  std::string formula;
  std::string unit;
  std::string what;
  bool shown = false;  // in the table of what the size means
};

// What a role costs in one situation. Each cell is words with formulas in braces: "{routers * 2 | calls/s}".
struct RoleRow {
  std::string situation;
  std::vector<std::string> cells;  // by kRoleColumns
};
inline constexpr const char* kRoleColumns[] = {
    "state", "messages in a second", "messages out a second", "bytes in and out a second", "processor",
    "memory"};

struct Role {
  std::string name;
  std::string mechanism;  // and its files
  std::vector<RoleRow> rows;
};

// Something that has to hold at the size wanted, and what holds today.
struct PlanLine {
  enum class Sense { kAtLeast, kAtMost };

  std::string role;
  std::string situation;
  std::string what;
  std::string unit;
  std::string wanted;   // a formula
  std::string reached;  // a formula; empty: nothing does it
  Sense sense = Sense::kAtMost;
  std::string mechanism;
  std::string exists;  // yes, no, in part
  std::string file;
  std::string note;
};

struct CapacityData {
  std::vector<TargetGroup> targets;
  std::vector<Derived> derived;
  std::vector<std::pair<std::string, std::string>> situations;  // name, what
  std::vector<Role> roles;
  std::vector<PlanLine> plan;
  std::vector<std::string> unknowable;  // on one machine
  std::map<std::string, Slope> slopes;
};

// Throw BadCapacityData.
std::vector<TargetGroup> read_targets(const nlohmann::json& file);
void read_model(const nlohmann::json& file, CapacityData& out);

// All three files of a folder. Throws BadCapacityData, BadSlopes.
CapacityData load_capacity_data(const std::string& folder);

// Targets and derived figures by name. Throws FormulaError, and BadCapacityData for a name given twice.
FormulaNames names_of(const CapacityData& data);

}  // namespace trailcourse::scale
