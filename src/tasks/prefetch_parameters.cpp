#include "tasks/prefetch_parameters.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/numbers.h"

namespace trailcourse::tasks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxObjects = 100'000;
constexpr std::size_t kItemDigits = 16;

bool is_object_name(const std::string& object) {
  const std::size_t slash = object.find('/');
  const std::string item = object.substr(0, slash);
  const bool valid_part = slash == std::string::npos ||
                          protocol::read_number<std::uint32_t>(object.substr(slash + 1)).has_value();
  return valid_part && item.size() == kItemDigits && protocol::read_hex<std::uint64_t>(item).has_value();
}

std::vector<std::string> read_objects(const json& values) {
  std::vector<std::string> objects;
  for (const json& value : values) {
    if (!value.is_string() || !is_object_name(value.get<std::string>())) {
      throw InvalidPrefetchParameters(
          "objects", value.dump() + " is not of the form ITEM or ITEM/PART, ITEM 16 hex digits");
    }
    objects.push_back(value.get<std::string>());
  }
  return objects;
}

void read_field(const std::string& name, const json& value, PrefetchParameters& parameters) {
  if (name == "class" && value.is_string()) {
    parameters.request_class = value.get<std::string>();
  } else if (name == "at_ms" && value.is_number_integer() && value.get<std::int64_t>() >= 0) {
    parameters.at_ms = value.get<std::int64_t>();
  } else if (name == "objects_per_s" && value.is_number() && value.get<double>() >= 0.0) {
    parameters.objects_per_s = value.get<double>();
  } else if (name == "objects" && value.is_array() && !value.empty() && value.size() <= kMaxObjects) {
    parameters.objects = read_objects(value);
  } else {
    throw InvalidPrefetchParameters(name, "no such field, or a value that cannot be used");
  }
}

}  // namespace

PrefetchParameters read_prefetch_parameters(const std::string& params) {
  const json fields = json::parse(params, nullptr, false);
  if (!fields.is_object()) {
    throw InvalidPrefetchParameters("params", "no JSON object");
  }
  PrefetchParameters parameters;
  for (const auto& [name, value] : fields.items()) {
    read_field(name, value, parameters);
  }
  if (parameters.request_class.empty()) {
    throw InvalidPrefetchParameters("class", "missing");
  }
  return parameters;
}

std::string write_prefetch_parameters(const PrefetchParameters& parameters) {
  json fields{{"class", parameters.request_class},
              {"at_ms", parameters.at_ms},
              {"objects_per_s", parameters.objects_per_s}};
  if (!parameters.objects.empty()) {
    fields["objects"] = parameters.objects;
  }
  return fields.dump();
}

std::string prefetch_list_key(const std::string& work, std::uint64_t shard) {
  return "lists/" + work + "/" + std::to_string(shard);
}

std::vector<std::string> read_prefetch_list(const std::string& text) {
  std::vector<std::string> objects;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line) && objects.size() < kMaxObjects;) {
    if (is_object_name(line)) {
      objects.push_back(line);
    }
  }
  return objects;
}

}  // namespace trailcourse::tasks
