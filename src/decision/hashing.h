// Plain arithmetic: a hash that every router computes alike, and times as seconds.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace trailcourse {

inline double to_seconds(Micros time) { return static_cast<double>(time.count()) * 1e-6; }
inline Micros from_seconds(double time) {
  return Micros(static_cast<std::int64_t>(std::clamp(time, 0.0, 4e3) * 1e6));
}

inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// A name spread evenly over (0, 1).
inline double unit(std::uint64_t name) { return (static_cast<double>(mix(name) >> 11) + 0.5) * 0x1.0p-53; }

inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return mix(hash);
}

}  // namespace trailcourse
