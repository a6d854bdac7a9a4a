// Reads fields of JSON objects; what cannot be used is told with the key at fault.
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

// Text that is not of the form agreed on; its words name the key.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const nlohmann::json* find(const nlohmann::json& object, const char* key);
const nlohmann::json& require(const nlohmann::json& object, const char* key);
Micros to_micros(const nlohmann::json& value, const char* key);
Micros seconds_at(const nlohmann::json& object, const char* key);
double number_or_default(const nlohmann::json& object, const char* key, double absent);
std::int64_t whole(const nlohmann::json& value, const char* key);
std::int64_t integer_or_default(const nlohmann::json& object, const char* key, std::int64_t absent);
std::uint64_t id_at(const nlohmann::json& object, const char* key);
int small_integer_at(const nlohmann::json& object, const char* key, int absent);
bool boolean_at(const nlohmann::json& object, const char* key);
std::string text(const nlohmann::json& value, const char* key);
std::string string_at(const nlohmann::json& object, const char* key);
std::string string_or_default(const nlohmann::json& object, const char* key, const char* absent);
std::uint64_t hex_at(const nlohmann::json& object, const char* key);
const nlohmann::json& section(const nlohmann::json& object, const char* key);
const nlohmann::json& array_at(const nlohmann::json& object, const char* key);
std::vector<std::string> strings_at(const nlohmann::json& object, const char* key);

template <typename Value, std::size_t kSize>
Value parse_enum(const std::array<std::pair<const char*, Value>, kSize>& words, const std::string& word) {
  for (const auto& [name, value] : words) {
    if (word == name) {
      return value;
    }
  }
  throw FormatError("unknown word: " + word);
}

}  // namespace trailcourse::protocol
