// Lenient readers of the fields of a stored JSON record: a field that is missing or of another type has its
// default.
//
// Library `coordination`: no I/O, no clock. All functions are pure; none throws for a field of another type.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace trailcourse::coordination {

// Returns an unsigned integer field, or 0.
inline std::uint64_t unsigned_field(const nlohmann::json& record, const char* name) {
  const auto found = record.find(name);
  return found != record.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

// Returns a signed integer field, or 0.
template <typename Integer>
Integer integer_field(const nlohmann::json& record, const char* name) {
  const auto found = record.find(name);
  return found != record.end() && found->is_number_integer() ? found->get<Integer>() : Integer{};
}

// Returns a string field, or an empty string.
inline std::string text_field(const nlohmann::json& record, const char* name) {
  const auto found = record.find(name);
  return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns a boolean field, or false.
inline bool bool_field(const nlohmann::json& record, const char* name) {
  const auto found = record.find(name);
  return found != record.end() && found->is_boolean() && found->get<bool>();
}

// Returns a number field, or `default_value`.
inline double number_field(const nlohmann::json& record, const char* name, double default_value) {
  const auto found = record.find(name);
  return found != record.end() && found->is_number() ? found->get<double>() : default_value;
}

}  // namespace trailcourse::coordination
