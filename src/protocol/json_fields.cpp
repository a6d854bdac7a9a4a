#include "protocol/json_fields.h"

#include <cmath>
#include <optional>

#include "protocol/numbers.h"

namespace trailcourse::protocol {

using nlohmann::json;

namespace {

constexpr double kMaxSeconds = 1e9;  // keeps every time within 64 bits of microseconds

}  // namespace

const json* find(const json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const json& require(const json& object, const char* key) {
  const json* value = find(object, key);
  if (value == nullptr) {
    throw FormatError(std::string("missing field ") + key);
  }
  return *value;
}

Micros to_micros(const json& value, const char* key) {
  if (!value.is_number()) {
    throw FormatError(std::string("not a time: ") + key);
  }
  const double seconds = value.get<double>();
  if (!std::isfinite(seconds) || std::abs(seconds) > kMaxSeconds) {
    throw FormatError(std::string("time out of range: ") + key);
  }
  return Micros(std::llround(seconds * 1e6));
}

Micros seconds_at(const json& object, const char* key) {
  const json* value = find(object, key);
  return value == nullptr ? Micros(0) : to_micros(*value, key);
}

double number_or_default(const json& object, const char* key, double absent) {
  const json* value = find(object, key);
  if (value == nullptr) {
    return absent;
  }
  if (!value->is_number()) {
    throw FormatError(std::string("not a number: ") + key);
  }
  return value->get<double>();
}

std::int64_t as_integer(const json& value, const char* key) {
  if (value.is_number_integer()) {
    return value.get<std::int64_t>();
  }
  if (value.is_number_float()) {
    const double number = value.get<double>();
    if (std::isfinite(number) && std::abs(number) < 9e15 && number == std::floor(number)) {
      return static_cast<std::int64_t>(number);
    }
  }
  throw FormatError(std::string("not an integer: ") + key);
}

std::int64_t integer_or_default(const json& object, const char* key, std::int64_t absent) {
  const json* value = find(object, key);
  return value == nullptr ? absent : as_integer(*value, key);
}

std::uint64_t id_at(const json& object, const char* key) {
  const json& value = require(object, key);
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  const std::int64_t number = as_integer(value, key);
  if (number < 0) {
    throw FormatError(std::string("negative id: ") + key);
  }
  return static_cast<std::uint64_t>(number);
}

int small_integer_at(const json& object, const char* key, int absent) {
  const std::int64_t number = integer_or_default(object, key, absent);
  if (number < INT32_MIN || number > INT32_MAX) {
    throw FormatError(std::string("number out of range: ") + key);
  }
  return static_cast<int>(number);
}

bool boolean_at(const json& object, const char* key) {
  const json* value = find(object, key);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    throw FormatError(std::string("not a boolean: ") + key);
  }
  return value->get<bool>();
}

std::string as_string(const json& value, const char* key) {
  if (!value.is_string()) {
    throw FormatError(std::string("not a string: ") + key);
  }
  return value.get<std::string>();
}

std::string string_at(const json& object, const char* key) { return as_string(require(object, key), key); }

std::string string_or_default(const json& object, const char* key, const char* absent) {
  const json* value = find(object, key);
  return value == nullptr ? absent : as_string(*value, key);
}

std::uint64_t hex_at(const json& object, const char* key) {
  const std::string digits = string_at(object, key);
  const std::optional<std::uint64_t> value = read_hex<std::uint64_t>(digits);
  if (!value) {
    throw FormatError(std::string("not a hexadecimal number: ") + key);
  }
  return *value;
}

const json& section(const json& object, const char* key) {
  static const json kEmpty = json::object();
  const json* value = find(object, key);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_object()) {
    throw FormatError(std::string("not an object: ") + key);
  }
  return *value;
}

const json& array_at(const json& object, const char* key) {
  static const json kEmpty = json::array();
  const json* value = find(object, key);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_array()) {
    throw FormatError(std::string("not an array: ") + key);
  }
  return *value;
}

std::vector<std::string> strings_at(const json& object, const char* key) {
  std::vector<std::string> values;
  for (const json& value : array_at(object, key)) {
    values.push_back(as_string(value, key));
  }
  return values;
}

}  // namespace trailcourse::protocol
