#include "scale/capacity_page_data.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace trailcourse::scale {

namespace {

using nlohmann::json;

constexpr const char* kTargetFile = "target.json";
constexpr const char* kModelFile = "model.json";
constexpr const char* kSlopesFile = "slopes.json";

const json& field(const json& object, const char* name, const std::string& location) {
  if (!object.is_object() || !object.contains(name)) {
    throw InvalidCapacityData(location + ": field " + name + " is missing");
  }
  return object.at(name);
}

std::string as_string(const json& value, const std::string& location) {
  if (!value.is_string()) {
    throw InvalidCapacityData(location + ": not a string");
  }
  return value.get<std::string>();
}

std::string read_string(const json& object, const char* name, const std::string& location) {
  return as_string(field(object, name, location), location + ": " + name);
}

std::string read_optional_string(const json& object, const char* name, const std::string& location) {
  return object.contains(name) ? read_string(object, name, location) : std::string();
}

const json& read_array(const json& object, const char* name, const std::string& location) {
  const json& out = field(object, name, location);
  if (!out.is_array()) {
    throw InvalidCapacityData(location + ": " + name + " is not an array");
  }
  return out;
}

Target read_target(const json& entry, const std::string& location) {
  Target out;
  out.name = read_string(entry, "name", location);
  const std::string entry_location = location + ": " + out.name;
  const json& value = field(entry, "value", entry_location);
  if (!value.is_number()) {
    throw InvalidCapacityData(entry_location + ": value is not a number");
  }
  out.value = value.get<double>();
  out.unit = read_string(entry, "unit", entry_location);
  out.what = read_string(entry, "what", entry_location);
  out.key = read_optional_string(entry, "key", entry_location);
  return out;
}

DerivedNumber read_derived(const json& entry, const std::string& location) {
  DerivedNumber out;
  out.name = read_string(entry, "name", location);
  const std::string entry_location = location + ": " + out.name;
  out.formula = read_string(entry, "formula", entry_location);
  out.unit = read_string(entry, "unit", entry_location);
  out.what = read_string(entry, "what", entry_location);
  out.shown = entry.value("shown", false);
  return out;
}

// Reads a row of a role. A missing cell becomes "-".
RoleRow read_row(const json& entry, const std::string& location) {
  RoleRow out;
  out.situation = read_string(entry, "situation", location);
  const std::string entry_location = location + ": " + out.situation;
  for (const char* column : kRoleColumns) {
    const std::string cell = read_optional_string(entry, column, entry_location);
    out.cells.push_back(cell.empty() ? "-" : cell);
  }
  for (const auto& [name, value] : entry.items()) {
    const bool known = std::any_of(std::begin(kRoleColumns), std::end(kRoleColumns),
                                   [&name = name](const char* column) { return name == column; });
    if (!known && name != "situation") {
      throw InvalidCapacityData(entry_location + ": unknown column " + name);
    }
  }
  return out;
}

Role read_role(const json& entry, const std::string& location) {
  Role out;
  out.name = read_string(entry, "name", location);
  const std::string entry_location = location + ": " + out.name;
  out.mechanism = read_string(entry, "mechanism", entry_location);
  for (const json& row : read_array(entry, "rows", entry_location)) {
    out.rows.push_back(read_row(row, entry_location));
  }
  return out;
}

Requirement::Sense read_sense(const std::string& text, const std::string& location) {
  if (text == "at least") {
    return Requirement::Sense::kAtLeast;
  }
  if (text == "at most") {
    return Requirement::Sense::kAtMost;
  }
  throw InvalidCapacityData(location + ": sense is neither `at least` nor `at most`");
}

Requirement read_requirement(const json& entry, const std::string& location) {
  Requirement out;
  out.what = read_string(entry, "what", location);
  const std::string entry_location = location + ": " + out.what;
  out.role = read_string(entry, "role", entry_location);
  out.situation = read_string(entry, "situation", entry_location);
  out.unit = read_string(entry, "unit", entry_location);
  out.wanted = read_string(entry, "wanted", entry_location);
  out.reached = read_string(entry, "reached", entry_location);
  out.sense = read_sense(read_string(entry, "sense", entry_location), entry_location);
  out.mechanism = read_string(entry, "mechanism", entry_location);
  out.exists = read_string(entry, "exists", entry_location);
  out.file = read_string(entry, "file", entry_location);
  out.note = read_optional_string(entry, "note", entry_location);
  return out;
}

json load_json(const std::string& path) {
  std::ifstream file(path);
  json out = json::parse(file, nullptr, false);
  if (!file || out.is_discarded()) {
    throw InvalidCapacityData(path + ": cannot be read or is not valid JSON");
  }
  return out;
}

}  // namespace

std::vector<TargetGroup> read_targets(const json& file) {
  std::vector<TargetGroup> out;
  for (const json& entry : read_array(file, "groups", kTargetFile)) {
    TargetGroup group;
    group.name = read_string(entry, "name", kTargetFile);
    group.what = read_string(entry, "what", kTargetFile);
    for (const json& target : read_array(entry, "targets", kTargetFile)) {
      group.targets.push_back(read_target(target, kTargetFile));
    }
    out.push_back(std::move(group));
  }
  return out;
}

void read_model(const json& file, CapacityData& out) {
  const std::string location = kModelFile;
  for (const json& entry : read_array(file, "derived", location)) {
    out.derived.push_back(read_derived(entry, location));
  }
  for (const json& entry : read_array(file, "situations", location)) {
    out.situations.emplace_back(read_string(entry, "name", location), read_string(entry, "what", location));
  }
  for (const json& entry : read_array(file, "roles", location)) {
    out.roles.push_back(read_role(entry, location));
  }
  for (const json& entry : read_array(file, "plan", location)) {
    out.plan.push_back(read_requirement(entry, location));
  }
  for (const json& entry : read_array(file, "unknowable", location)) {
    out.unknowable.push_back(as_string(entry, location + ": unknowable"));
  }
}

CapacityData load_capacity_data(const std::string& folder) {
  CapacityData out;
  out.targets = read_targets(load_json(folder + "/" + kTargetFile));
  read_model(load_json(folder + "/" + kModelFile), out);
  for (const Slope& slope : load_slopes(folder + "/" + kSlopesFile)) {
    out.slopes.emplace(slope.name, slope);
  }
  return out;
}

FormulaNames names_of(const CapacityData& data) {
  FormulaNames out;
  out.slopes = data.slopes;
  const auto add = [&out](const std::string& name, const Figure& figure) {
    if (!out.figures.emplace(name, figure).second) {
      throw InvalidCapacityData("the name " + name + " is used twice");
    }
  };
  for (const TargetGroup& group : data.targets) {
    for (const Target& target : group.targets) {
      Figure figure;
      figure.value = target.value;
      add(target.name, figure);
    }
  }
  for (const DerivedNumber& derived : data.derived) {
    add(derived.name, evaluate(derived.formula, out));
  }
  return out;
}

}  // namespace trailcourse::scale
