// The verdict on a cache that health checks publish in the store for all routers of a zone: its record and
// its key, and the keys under which routers report the caches that they suspect.
//
// Library `tasks`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ownership/lease.h"

namespace trailcourse::tasks {

constexpr const char* kSuspectPrefix = "suspects/";        // suspects/ZONE/CACHE/ROUTER
constexpr const char* kVerdictPrefix = "fleet/verdicts/";  // fleet/verdicts/ZONE/CACHE

// Returns the key under which `router` reports that it suspects `cache`.
std::string suspect_key(const std::string& zone, const std::string& cache, const std::string& router);

// Returns the key of the verdict on `cache`.
std::string verdict_key(const std::string& zone, const std::string& cache);

// The result of consecutive health checks of one cache. Verdicts on a cache are ordered by term, then by
// sequence number.
struct Verdict {
  std::string cache;
  bool healthy = false;
  std::uint64_t consecutive_checks = 0;  // with this result
  ownership::Term term = 0;              // under which the checking router owned the work
  std::uint64_t sequence = 0;            // within the term
  std::int64_t at_ms = 0;                // Unix time, for operators only

  friend bool operator==(const Verdict&, const Verdict&) = default;
};

// Writes the record as JSON.
std::string write_verdict(const Verdict& verdict);

// Reads the record on `cache`. Returns nothing if it is malformed or has no term.
std::optional<Verdict> read_verdict(const std::string& cache, const std::string& value);

}  // namespace trailcourse::tasks
