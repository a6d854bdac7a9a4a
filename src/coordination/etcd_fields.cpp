#include "coordination/etcd_fields.h"

#include <sodium.h>

#include <optional>

#include "protocol/numbers.h"

namespace trailcourse::coordination::etcd {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxListItems = 100'000;

// Returns the field, or null if it is missing or null.
const json* find_field(const json& from, const char* field) {
  const auto found = from.find(field);
  return found == from.end() || found->is_null() ? nullptr : &*found;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string out(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();  // the terminating zero byte
  return out;
}

std::string from_base64(std::string_view text, const std::string& field) {
  std::string out(text.size(), '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
                                       text.size(), nullptr, &length, &end, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0 || end != text.data() + text.size()) {
    throw BadMessage(field, "not Base64");
  }
  out.resize(length);
  return out;
}

json parse_object(std::string_view body) {
  json out = json::parse(body, nullptr, false);
  if (!out.is_object()) {
    throw BadMessage("not a JSON object");
  }
  return out;
}

// In proto3's JSON mapping a 64-bit number is a string; readers also accept a number.
std::uint64_t read_number(const json& from, const char* field) {
  const json* found = find_field(from, field);
  if (found == nullptr) {
    return 0;
  }
  if (found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  const auto number = found->is_string()
                          ? protocol::read_number<std::uint64_t>(found->get_ref<const std::string&>())
                          : std::nullopt;
  if (!number) {
    throw BadMessage(field, "not an unsigned 64-bit integer");
  }
  return *number;
}

bool read_bool(const json& from, const char* field) {
  const json* found = find_field(from, field);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    throw BadMessage(field, "not a boolean");
  }
  return found->get<bool>();
}

std::string read_string(const json& from, const char* field) {
  const json* found = find_field(from, field);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string()) {
    throw BadMessage(field, "not a string");
  }
  return found->get<std::string>();
}

std::string read_bytes(const json& from, const char* field) {
  return from_base64(read_string(from, field), field);
}

const json* find_object(const json& from, const char* snake_case, const char* camel_case) {
  for (const char* name : {snake_case, camel_case}) {
    if (const json* found = find_field(from, name)) {
      if (!found->is_object()) {
        throw BadMessage(name, "not an object");
      }
      return found;
    }
  }
  return nullptr;
}

const json& read_list(const json& from, const char* field) {
  static const json kEmptyList = json::array();
  const json* found = find_field(from, field);
  if (found == nullptr) {
    return kEmptyList;
  }
  if (!found->is_array() || found->size() > kMaxListItems) {
    throw BadMessage(field, "not a list, or longer than " + std::to_string(kMaxListItems) + " items");
  }
  return *found;
}

json write_entry(const Entry& entry) {
  json out{{"key", to_base64(entry.key)}, {"mod_revision", std::to_string(entry.modified)}};
  if (entry.created != 0) {
    out["create_revision"] = std::to_string(entry.created);
    out["version"] = std::to_string(entry.version);
  }
  if (!entry.value.empty()) {
    out["value"] = to_base64(entry.value);
  }
  if (entry.lease != 0) {
    out["lease"] = std::to_string(entry.lease);
  }
  return out;
}

Entry read_entry(const json& from) {
  if (!from.is_object()) {
    throw BadMessage("kvs", "not an object");
  }
  Entry out;
  out.key = read_bytes(from, "key");
  out.value = read_bytes(from, "value");
  out.created = read_number(from, "create_revision");
  out.modified = read_number(from, "mod_revision");
  out.version = read_number(from, "version");
  out.lease = read_number(from, "lease");
  return out;
}

}  // namespace trailcourse::coordination::etcd
