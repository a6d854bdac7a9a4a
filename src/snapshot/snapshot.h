// What a router stores of the discovery service over its restarts: the endpoint list and the purges that
// bind, with the sequence number and the identifier of the service that they are of, and the moment at which
// they were certainly current. Also the check whether a snapshot that is found may be used.
//
// A file is one line, "trailcourse-snapshot VERSION CHECKSUM LENGTH", and LENGTH bytes of JSON whose XXH3 is
// CHECKSUM. So a truncated or damaged file is recognised before any of its content is read.
//
// Package `snapshot`: this file knows no I/O and no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config/record.h"
#include "discovery/event_log.h"

namespace trailcourse::snapshot {

using discovery::UnixTime;

// The section `snapshot` of the operator's file; each member is a key of that name.
struct SnapshotOptions {
  std::string folder;
  std::string fleet = "fleet";
  std::int64_t write_ms = 1'000;
  std::int64_t confirm_ms = 10'000;
  std::int64_t most_age_s = 86'400;
};

// Returns the declaration of the section `snapshot`: its keys, ranges and descriptions.
const config::Record<SnapshotOptions>& snapshot_record();

// The content of a snapshot.
struct Snapshot {
  std::string fleet;
  std::string router;
  std::string source_address;  // of the discovery service
  std::string source_id;       // its identifier; empty where it has none
  UnixTime confirmed_at;       // the page was certainly current then
  UnixTime saved_at;
  nlohmann::json page;  // {"rev":N,"notices":[...]}, compacted

  // Returns the sequence number of the page, 0 where it has none.
  std::uint64_t last_sequence() const;
};

// Returns the content of the file for a snapshot.
std::string encode_snapshot(const Snapshot& snapshot);

// Why a snapshot is not used.
enum class SnapshotError {
  kTruncated,   // shorter than it says, or without the first line
  kChecksum,    // its checksum does not match
  kVersion,     // of an unknown version
  kFormat,      // its JSON is not a snapshot
  kFleet,       // of another fleet
  kRouter,      // of another router: two share a directory by mistake
  kExpired,     // confirmed longer ago than allowed
  kFromFuture,  // saved or confirmed in the future: a clock was set back
};

// Returns the reason in words, for log lines.
const char* to_string(SnapshotError error);

// What a snapshot has to match.
struct SnapshotContext {
  std::string fleet;
  std::string router;
  UnixTime now;
  std::chrono::milliseconds max_age{0};  // since it was confirmed
};

// Decodes the content of a file. Accepts any bytes.
tl::expected<Snapshot, SnapshotError> decode_snapshot(std::string_view bytes, const SnapshotContext& context);

}  // namespace trailcourse::snapshot
