#include "config/record.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace trailcourse::config {
namespace {

using nlohmann::json;

std::string quote(const json& value) {
  constexpr std::size_t kMaxLength = 60;
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxLength) {
    text = text.substr(0, kMaxLength) + "...";
  }
  return text;
}

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}

}  // namespace

std::string grouped(std::int64_t value) {
  const std::string digits = std::to_string(value);
  std::string out;
  for (std::size_t i = 0; i < digits.size(); ++i) {
    const std::size_t remaining = digits.size() - i;
    if (i > 0 && remaining % 3 == 0 && digits[i - 1] != '-') {
      out += ',';
    }
    out += digits[i];
  }
  return out;
}

std::string Key::range() const {
  if (type == Type::kBoolean) {
    return "true or false";
  }
  if (const auto* integers = std::get_if<IntegerRange>(&allowed)) {
    return grouped(integers->min) + " to " + grouped(integers->max);
  }
  if (const auto* numbers = std::get_if<NumberRange>(&allowed)) {
    return format_number(numbers->min) + " to " + format_number(numbers->max);
  }
  const StringRule& rule = std::get<StringRule>(allowed);
  std::string out;
  for (const std::string& allowed_value : rule.allowed) {
    out += (out.empty() ? "one of " : ", ") + allowed_value;
  }
  return !out.empty()             ? out
         : type == Type::kStrings ? "a list of strings"
         : rule.required          ? "a string"
                                  : "any string";
}

std::string Key::type_name() const {
  switch (type) {
    case Type::kInteger:
      return "integer";
    case Type::kNumber:
      return "number";
    case Type::kBoolean:
      return "boolean";
    case Type::kString:
      return "string";
    case Type::kStrings:
      break;
  }
  return "array";
}

std::int64_t read_integer(const Key& key, const std::string& path, const json& value) {
  const IntegerRange& range = std::get<IntegerRange>(key.allowed);
  const bool fits = value.is_number_integer() &&
                    !(value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX});
  if (!fits) {
    throw KeyError(path, quote(value) + " is not an integer, " + key.range() + " allowed");
  }
  const auto number = value.get<std::int64_t>();
  if (number < range.min || number > range.max) {
    throw KeyError(path, std::to_string(number) + " is not between " + std::to_string(range.min) + " and " +
                             std::to_string(range.max));
  }
  return number;
}

double read_number(const Key& key, const std::string& path, const json& value) {
  const NumberRange& range = std::get<NumberRange>(key.allowed);
  if (!value.is_number()) {
    throw KeyError(path, quote(value) + " is not a number, " + key.range() + " allowed");
  }
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < range.min || number > range.max) {
    throw KeyError(path, quote(value) + " is not between " + key.range());
  }
  return number;
}

bool read_boolean(const std::string& path, const json& value) {
  if (!value.is_boolean()) {
    throw KeyError(path, quote(value) + " is neither true nor false");
  }
  return value.get<bool>();
}

std::string read_string(const Key& key, const std::string& path, const json& value) {
  if (!value.is_string()) {
    throw KeyError(path, quote(value) + " is not a string");
  }
  auto string = value.get<std::string>();
  const StringRule& rule = std::get<StringRule>(key.allowed);
  const bool known = rule.allowed.empty() ||
                     std::find(rule.allowed.begin(), rule.allowed.end(), string) != rule.allowed.end();
  if (!known) {
    throw KeyError(path, quote(value) + " is not " + key.range());
  }
  if (rule.required && string.empty()) {
    throw KeyError(path, "is empty");
  }
  return string;
}

std::vector<std::string> read_strings(const Key&, const std::string& path, const json& value) {
  const bool valid = value.is_array() &&
                     std::all_of(value.begin(), value.end(), [](const json& one) { return one.is_string(); });
  if (!valid) {
    throw KeyError(path, quote(value) + " is not a list of strings");
  }
  return value.get<std::vector<std::string>>();
}

json key_schema(const Key& key, const json& default_value) {
  json out{{"type", key.type_name()}, {"description", key.description}, {"default", default_value}};
  if (key.unit != "-") {
    out["$comment"] = "unit: " + key.unit;
  }
  if (const auto* integers = std::get_if<IntegerRange>(&key.allowed)) {
    out["minimum"] = integers->min;
    out["maximum"] = integers->max;
  } else if (const auto* numbers = std::get_if<NumberRange>(&key.allowed)) {
    out["minimum"] = numbers->min;
    out["maximum"] = numbers->max;
  } else if (const StringRule& rule = std::get<StringRule>(key.allowed); !rule.allowed.empty()) {
    out["enum"] = rule.allowed;
  } else if (rule.required) {
    out["minLength"] = 1;
    out.erase("default");
  }
  if (key.type == Key::Type::kStrings) {
    out["items"] = {{"type", "string"}};
  }
  return out;
}

std::string format_value(const json& value) {
  if (value.is_number_integer()) {
    return grouped(value.get<std::int64_t>());
  }
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "none" : value.get<std::string>();
  }
  if (value.is_number()) {
    return format_number(value.get<double>());
  }
  return value.is_array() && value.empty() ? "none" : value.dump();
}

std::string documentation_row(const Key& key, const json& default_value) {
  return "| `" + key.name + "` | " + key.unit + " | " + format_value(default_value) + " | " + key.range() +
         " | " + key.description + " |";
}

}  // namespace trailcourse::config
