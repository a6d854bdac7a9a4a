// Reads fields of JSON objects. An invalid field throws FormatError, whose message names the key.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <trailcourse/decider.h>

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace trailcourse::protocol {

// JSON of the wrong form. The message names the key.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A key whose value is null counts as absent in all functions below.

// Returns the value of a key, or null if it is absent.
const nlohmann::json* find(const nlohmann::json& object, const char* key);
// Returns the value of a key; throws if it is absent.
const nlohmann::json& require(const nlohmann::json& object, const char* key);
// Converts a number of seconds.
Micros to_micros(const nlohmann::json& value, const char* key);
// Returns a time given in seconds; 0 if it is absent.
Micros seconds_at(const nlohmann::json& object, const char* key);
double number_or_default(const nlohmann::json& object, const char* key, double absent);
// Converts an integer, or a floating-point number without a fraction.
std::int64_t as_integer(const nlohmann::json& value, const char* key);
std::int64_t integer_or_default(const nlohmann::json& object, const char* key, std::int64_t absent);
// Returns a required integer of 0 or more.
std::uint64_t id_at(const nlohmann::json& object, const char* key);
// Returns an integer; throws if it exceeds 32 bits.
int small_integer_at(const nlohmann::json& object, const char* key, int absent);
// Returns false if the key is absent.
bool boolean_at(const nlohmann::json& object, const char* key);
std::string as_string(const nlohmann::json& value, const char* key);
std::string string_at(const nlohmann::json& object, const char* key);
std::string string_or_default(const nlohmann::json& object, const char* key, const char* absent);
// Returns a required number that is given as a string of hexadecimal digits.
std::uint64_t hex_at(const nlohmann::json& object, const char* key);
// The following return an empty object, array or vector if the key is absent.
const nlohmann::json& section(const nlohmann::json& object, const char* key);
const nlohmann::json& array_at(const nlohmann::json& object, const char* key);
std::vector<std::string> strings_at(const nlohmann::json& object, const char* key);

// Returns the value with the given name; throws if there is none.
template <typename Value, std::size_t kSize>
Value parse_enum(const std::array<std::pair<const char*, Value>, kSize>& names, const std::string& name) {
  for (const auto& [known, value] : names) {
    if (name == known) {
      return value;
    }
  }
  throw FormatError("unknown value: " + name);
}

}  // namespace trailcourse::protocol
