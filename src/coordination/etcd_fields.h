// Readers and writers of the fields of etcd's JSON messages: bytes are in Base64, 64-bit numbers are strings,
// and default values are omitted (https://protobuf.dev/programming-guides/json/).
//
// Library `coordination`: no I/O, no clock. All functions are pure. Every read function throws BadMessage if
// a field has the wrong type.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

#include "coordination/types.h"

namespace trailcourse::coordination::etcd {

// A malformed message. The text names the field and the error.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  BadMessage(const std::string& field, const std::string& reason) : runtime_error(field + ": " + reason) {}
};

std::string to_base64(std::string_view bytes);
// Throws BadMessage, which names `field`, if the text is not Base64.
std::string from_base64(std::string_view text, const std::string& field);

// Parses a body. Throws BadMessage if it is not a JSON object.
nlohmann::json parse_object(std::string_view body);

// These functions return the default value (0, false, an empty string or list) if the field is missing or
// null.
std::uint64_t read_number(const nlohmann::json& from, const char* field);
bool read_bool(const nlohmann::json& from, const char* field);
std::string read_string(const nlohmann::json& from, const char* field);
// Reads a string in Base64.
std::string read_bytes(const nlohmann::json& from, const char* field);
// Returns the object under either name, since the gateway accepts both forms; null if neither exists.
const nlohmann::json* find_object(const nlohmann::json& from, const char* snake_case, const char* camel_case);
// Returns a reference into `from`.
const nlohmann::json& read_list(const nlohmann::json& from, const char* field);

// Returns the value of an enumerator by its name in `names`. A missing field has the value of `default_name`.
// `error` follows the unknown name in the text of the exception.
template <typename Value, typename Names>
Value read_enum(const nlohmann::json& from, const char* field, const char* default_name, const Names& names,
                const char* error) {
  const std::string name = from.contains(field) ? read_string(from, field) : default_name;
  for (const auto& known : names) {
    if (name == known.name) {
      return known.value;
    }
  }
  throw BadMessage(field, "'" + name + "' " + error);
}

// An entry as responses contain it (mvccpb.KeyValue).
nlohmann::json write_entry(const Entry& entry);
Entry read_entry(const nlohmann::json& from);

}  // namespace trailcourse::coordination::etcd
