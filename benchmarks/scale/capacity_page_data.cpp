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

const json& field(const json& object, const char* name, const std::string& where) {
  if (!object.is_object() || !object.contains(name)) {
    throw BadCapacityData(where + ": no field " + name);
  }
  return object.at(name);
}

std::string text_of(const json& value, const std::string& where) {
  if (!value.is_string()) {
    throw BadCapacityData(where + ": not a text");
  }
  return value.get<std::string>();
}

std::string text(const json& object, const char* name, const std::string& where) {
  return text_of(field(object, name, where), where + ": " + name);
}

std::string text_or_none(const json& object, const char* name, const std::string& where) {
  return object.contains(name) ? text(object, name, where) : std::string();
}

const json& list(const json& object, const char* name, const std::string& where) {
  const json& out = field(object, name, where);
  if (!out.is_array()) {
    throw BadCapacityData(where + ": " + name + " is not a list");
  }
  return out;
}

Target read_target(const json& entry, const std::string& where) {
  Target out;
  out.name = text(entry, "name", where);
  const std::string here = where + ": " + out.name;
  const json& value = field(entry, "value", here);
  if (!value.is_number()) {
    throw BadCapacityData(here + ": value is not a number");
  }
  out.value = value.get<double>();
  out.unit = text(entry, "unit", here);
  out.what = text(entry, "what", here);
  out.key = text_or_none(entry, "key", here);
  return out;
}

Derived read_derived(const json& entry, const std::string& where) {
  Derived out;
  out.name = text(entry, "name", where);
  const std::string here = where + ": " + out.name;
  out.formula = text(entry, "formula", here);
  out.unit = text(entry, "unit", here);
  out.what = text(entry, "what", here);
  out.shown = entry.value("shown", false);
  return out;
}

// A cell that is not named says that there is nothing to say.
RoleRow read_row(const json& entry, const std::string& where) {
  RoleRow out;
  out.situation = text(entry, "situation", where);
  const std::string here = where + ": " + out.situation;
  for (const char* column : kRoleColumns) {
    const std::string cell = text_or_none(entry, column, here);
    out.cells.push_back(cell.empty() ? "-" : cell);
  }
  for (const auto& [name, value] : entry.items()) {
    const bool known = std::any_of(std::begin(kRoleColumns), std::end(kRoleColumns),
                                   [&name = name](const char* column) { return name == column; });
    if (!known && name != "situation") {
      throw BadCapacityData(here + ": there is no column " + name);
    }
  }
  return out;
}

Role read_role(const json& entry, const std::string& where) {
  Role out;
  out.name = text(entry, "name", where);
  const std::string here = where + ": " + out.name;
  out.mechanism = text(entry, "mechanism", here);
  for (const json& row : list(entry, "rows", here)) {
    out.rows.push_back(read_row(row, here));
  }
  return out;
}

PlanLine::Sense read_sense(const std::string& word, const std::string& where) {
  if (word == "at least") {
    return PlanLine::Sense::kAtLeast;
  }
  if (word == "at most") {
    return PlanLine::Sense::kAtMost;
  }
  throw BadCapacityData(where + ": sense is neither `at least` nor `at most`");
}

PlanLine read_line(const json& entry, const std::string& where) {
  PlanLine out;
  out.what = text(entry, "what", where);
  const std::string here = where + ": " + out.what;
  out.role = text(entry, "role", here);
  out.situation = text(entry, "situation", here);
  out.unit = text(entry, "unit", here);
  out.wanted = text(entry, "wanted", here);
  out.reached = text(entry, "reached", here);
  out.sense = read_sense(text(entry, "sense", here), here);
  out.mechanism = text(entry, "mechanism", here);
  out.exists = text(entry, "exists", here);
  out.file = text(entry, "file", here);
  out.note = text_or_none(entry, "note", here);
  return out;
}

json load(const std::string& path) {
  std::ifstream file(path);
  json out = json::parse(file, nullptr, false);
  if (!file || out.is_discarded()) {
    throw BadCapacityData(path + ": cannot be read, or is not JSON");
  }
  return out;
}

}  // namespace

std::vector<TargetGroup> read_targets(const json& file) {
  std::vector<TargetGroup> out;
  for (const json& entry : list(file, "groups", kTargetFile)) {
    TargetGroup group;
    group.name = text(entry, "name", kTargetFile);
    group.what = text(entry, "what", kTargetFile);
    for (const json& target : list(entry, "targets", kTargetFile)) {
      group.targets.push_back(read_target(target, kTargetFile));
    }
    out.push_back(std::move(group));
  }
  return out;
}

void read_model(const json& file, CapacityData& out) {
  const std::string where = kModelFile;
  for (const json& entry : list(file, "derived", where)) {
    out.derived.push_back(read_derived(entry, where));
  }
  for (const json& entry : list(file, "situations", where)) {
    out.situations.emplace_back(text(entry, "name", where), text(entry, "what", where));
  }
  for (const json& entry : list(file, "roles", where)) {
    out.roles.push_back(read_role(entry, where));
  }
  for (const json& entry : list(file, "plan", where)) {
    out.plan.push_back(read_line(entry, where));
  }
  for (const json& entry : list(file, "unknowable", where)) {
    out.unknowable.push_back(text_of(entry, where + ": unknowable"));
  }
}

CapacityData load_capacity_data(const std::string& folder) {
  CapacityData out;
  out.targets = read_targets(load(folder + "/" + kTargetFile));
  read_model(load(folder + "/" + kModelFile), out);
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
      throw BadCapacityData("the name " + name + " is given twice");
    }
  };
  for (const TargetGroup& group : data.targets) {
    for (const Target& target : group.targets) {
      Figure figure;
      figure.value = target.value;
      add(target.name, figure);
    }
  }
  for (const Derived& derived : data.derived) {
    add(derived.name, evaluate(derived.formula, out));
  }
  return out;
}

}  // namespace trailcourse::scale
