// The snapshot that a router keeps across restarts: the endpoint list, the purge events that still have to be
// applied since caches may have copies purged by them, the sequence number of both, the identifier of the
// discovery service, and the time at which the list and the events are known to have been current.
// decode_snapshot() checks whether a stored snapshot may be used.
//
// A file is the line "trailcourse-snapshot VERSION CHECKSUM LENGTH", followed by LENGTH bytes of JSON whose
// XXH3 is CHECKSUM, so that a truncated or damaged file is detected before its JSON is parsed.
//
// Library `snapshot`: this file has no I/O and no clock.
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

// The section `snapshot` of the operator's file; each member is the key of that name.
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
  std::string source_id;       // its identifier; empty where it sends none
  UnixTime confirmed_at;       // the last time at which the page is known to have been current
  UnixTime saved_at;
  nlohmann::json page;  // {"rev":N,"notices":[...]}, compacted

  // Returns the sequence number of the page, 0 where it has none.
  std::uint64_t last_sequence() const;
};

// Returns the content of the file for the snapshot.
std::string encode_snapshot(const Snapshot& snapshot);

// Why a snapshot is not used.
enum class SnapshotError {
  kTruncated,   // shorter than the stated length, or without the first line
  kChecksum,    // the checksum or the length does not match
  kVersion,     // an unknown version
  kFormat,      // the JSON is not that of a snapshot
  kFleet,       // from another fleet
  kRouter,      // from another router: two routers share a directory by mistake
  kExpired,     // confirmed longer ago than allowed
  kFromFuture,  // saved or confirmed in the future: the clock was set back
};

// Returns a description for log lines.
const char* to_string(SnapshotError error);

// What a snapshot has to match to be used.
struct SnapshotContext {
  std::string fleet;
  std::string router;
  UnixTime now;
  std::chrono::milliseconds max_age{0};  // longest time since it was confirmed
};

// Decodes and checks the content of a file, which may be arbitrary bytes.
tl::expected<Snapshot, SnapshotError> decode_snapshot(std::string_view bytes, const SnapshotContext& context);

}  // namespace trailcourse::snapshot
