// Maintenance of a store's folder by operators: statistics, verification, compaction and removal.
//
// Library `store`. The functions block and throw FileError and IndexError; they are for the command line.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/files.h"
#include "store/index.h"

namespace trailcourse::store {

// Reports progress: called at intervals with the numbers of finished items and of all items.
using Progress = std::function<void(std::uint64_t done, std::uint64_t total)>;

// Statistics of a folder, from its index and file sizes.
struct FolderStat {
  std::uint64_t records = 0, values = 0, parts = 0, live_bytes = 0, file_bytes = 0, segments = 0;
  std::uint64_t orphans = 0;  // segments that no row of the index refers to
  std::uint64_t purges = 0, damaged_rows = 0;
  std::int64_t last_sequence = 0;             // of the discovery events whose purges are in the index
  std::int64_t oldest_ms = 0, newest_ms = 0;  // origin times of copies; 0: there are none
  std::map<int, std::uint64_t> by_rank;
};

// One damaged record.
struct Damage {
  std::string location;  // segment and offset
  std::string reason;
};
// The result of verify_folder().
struct VerifyReport {
  std::uint64_t records = 0, bytes = 0, good = 0;
  std::uint64_t incomplete = 0;  // manifests with missing parts
  std::vector<Damage> damaged;   // the first hundred
  std::uint64_t damaged_total = 0;
};
// The result of compact_folder(); `moved` and `dropped` are numbers of records.
struct CompactReport {
  std::uint64_t segments_before = 0, segments_after = 0, bytes_before = 0, bytes_after = 0, moved = 0,
                dropped = 0;
};

// Returns the statistics of a folder, without reading its records.
FolderStat stat_folder(Directory& directory, Index& index);
// Reads every record that the index refers to and checks both of its checksums.
VerifyReport verify_folder(Directory& directory, Index& index, const Progress& progress);
// Rewrites the live records of each segment whose live share is below `min_share` to new segments, and
// removes the old ones. The folder must not be used by a node meanwhile.
CompactReport compact_folder(Directory& directory, Index& index, double min_share,
                             std::uint64_t segment_bytes, const Progress& progress);
// Removes all files, of any format version, so that the folder can be used again. Returns their number.
std::uint64_t drop_folder(Directory& directory);

// Returns the file name of a segment.
std::string segment_name(SegmentId id);
// Returns the segment that a file name denotes; nothing if it is not a segment's.
std::optional<SegmentId> segment_of(const std::string& name);

}  // namespace trailcourse::store
