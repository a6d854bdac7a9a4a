// Names of copies. Package `store`: a library without sockets, beside `protocol` and below `cache_node`.
#pragma once

#include <trailcourse/decider.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace trailcourse::store {

// 128 bits of XXH3 over a name. Records on disk hold the whole name too, so that two names with one key are
// told apart.
struct Key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Key&, const Key&) = default;
};

Key key_of(std::string_view name);

// A part of a value larger than one part; it belongs to one copy alone, so parts of two copies never mix.
Key part_key(const Key& whole, std::uint64_t copy, std::uint32_t part);

// What a copy is asked for by.
struct Name {
  std::string text;                // class, object and part of the object, as they came
  Key key;                         // of the text
  std::optional<ObjectId> object;  // by which purges name it; none where its name is not 16 hex digits

  static Name of(std::string_view request_class, std::string_view item, std::string_view chunk);
};

constexpr int kUnknownGroup = -1;  // it may be of any group
constexpr int kNoGroup = -2;       // groups are not asked about

// One copy, whole, as the origin gave it out.
struct Copy {
  std::string tag;
  std::int64_t t0_ms = 0;  // Unix time at which the origin gave it out
  int group = kUnknownGroup;
  std::shared_ptr<const std::string> bytes;

  std::size_t size() const { return bytes ? bytes->size() : 0; }
};

// Tells copies of one name apart; never 0.
std::uint64_t copy_id(std::string_view tag, std::int64_t t0_ms, std::size_t size);

}  // namespace trailcourse::store
