// Names and keys of copies.
//
// Library `store`: opens no sockets; `cache_node` depends on it.
#pragma once

#include <trailcourse/decider.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace trailcourse::store {

// The 128-bit XXH3 hash of a name. Records on disk hold the complete name too, so that a hash collision is
// detected.
struct Key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Key&, const Key&) = default;
};

Key key_of(std::string_view name);

// Returns the key of one part of a value that is stored in parts. The key depends on the copy, so parts of
// two copies are never mixed.
Key part_key(const Key& value, std::uint64_t copy, std::uint32_t part);

// The name under which a copy is requested.
struct Name {
  std::string text;                // class, object and part of the object, as received
  Key key;                         // of the text
  std::optional<ObjectId> object;  // to match purges; empty if the object's name is not 16 hex digits

  static Name of(std::string_view request_class, std::string_view item, std::string_view chunk);
};

constexpr int kUnknownGroup = -1;  // the copy may belong to any group
constexpr int kNoGroup = -2;       // group purges are ignored

// One complete copy, as the origin sent it.
struct Copy {
  std::string tag;                  // the version tag that the origin sent
  std::int64_t origin_time_ms = 0;  // Unix time at which the origin sent the copy
  int group = kUnknownGroup;
  std::shared_ptr<const std::string> bytes;

  std::size_t size() const { return bytes ? bytes->size() : 0; }
};

// Returns an identifier that differs between copies of one name; never 0.
std::uint64_t copy_id(std::string_view tag, std::int64_t origin_time_ms, std::size_t size);

}  // namespace trailcourse::store
