#include "store/key.h"

#include <xxhash.h>

#include <array>

#include "protocol/numbers.h"

namespace trailcourse::store {
namespace {

constexpr std::size_t kObjectDigits = 16;

}  // namespace

Key key_of(std::string_view name) {
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return Key{hash.high64, hash.low64};
}

Key part_key(const Key& value, std::uint64_t copy, std::uint32_t part) {
  const std::array<std::uint64_t, 4> input{value.high, value.low, copy, part};
  const XXH128_hash_t hash = XXH3_128bits(input.data(), sizeof input);
  return Key{hash.high64, hash.low64};
}

Name Name::of(std::string_view request_class, std::string_view item, std::string_view chunk) {
  Name out;
  out.text.reserve(request_class.size() + item.size() + chunk.size() + 2);
  out.text.append(request_class).append("/").append(item).append("/").append(chunk);
  out.key = key_of(out.text);
  if (item.size() == kObjectDigits) {
    out.object = protocol::read_hex<ObjectId>(item);
  }
  return out;
}

std::uint64_t copy_id(std::string_view tag, std::int64_t origin_time_ms, std::size_t size) {
  const auto seed = static_cast<std::uint64_t>(origin_time_ms) * 0x9e3779b97f4a7c15U + size;
  const std::uint64_t id = XXH3_64bits_withSeed(tag.data(), tag.size(), seed);
  return id != 0 ? id : 1;
}

}  // namespace trailcourse::store
