// What operators do to a store's folder from outside: look, check, tidy, empty.
//
// Package `store`. Blocking; for the command line.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/files.h"
#include "store/index.h"

namespace trailcourse::store {

// Told now and then: so much of so much is done.
using Progress = std::function<void(std::uint64_t done, std::uint64_t of)>;

struct FolderStat {
  std::uint64_t records = 0, values = 0, parts = 0, live_bytes = 0, file_bytes = 0, segments = 0, orphans = 0;
  std::uint64_t purges = 0, damaged_rows = 0;
  std::int64_t heard = 0, oldest_ms = 0, newest_ms = 0;
  std::map<int, std::uint64_t> by_rank;
};

struct Damage {
  std::string where;  // segment and offset
  std::string what;
};
struct VerifyReport {
  std::uint64_t records = 0, bytes = 0, good = 0, incomplete = 0;  // incomplete: manifests with parts missing
  std::vector<Damage> damaged;                                     // the first hundred
  std::uint64_t damaged_in_all = 0;
};
struct CompactReport {
  std::uint64_t segments_before = 0, segments_after = 0, bytes_before = 0, bytes_after = 0, moved = 0,
                dropped = 0;
};

FolderStat stat_folder(Files& files, Index& index);
// Reads every record that the index names and checks both sums of each.
VerifyReport verify_folder(Files& files, Index& index, const Progress& progress);
// Writes what is live of segments that are less than `least_share` live into new ones, and removes them. No
// node may use the folder meanwhile.
CompactReport compact_folder(Files& files, Index& index, double least_share, std::uint64_t segment_bytes,
                             const Progress& progress);
// Removes everything, so that the folder can be used anew, whatever its format.
std::uint64_t drop_folder(Files& files);

std::string segment_name(SegmentId id);
// Nothing where the name is not that of a segment.
std::optional<SegmentId> segment_of(const std::string& name);

}  // namespace trailcourse::store
