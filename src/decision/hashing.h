// Hash functions with the same results on every router and platform.
#pragma once

#include <cstdint>
#include <string>

namespace trailcourse {

// Returns a hash of a number (SplitMix64).
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Returns a number in (0, 1) that is uniformly distributed over the keys.
inline double to_unit_interval(std::uint64_t key) {
  return (static_cast<double>(mix(key) >> 11) + 0.5) * 0x1.0p-53;
}

// Returns a hash of a text (FNV-1a, then mix()).
inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return mix(hash);
}

}  // namespace trailcourse
