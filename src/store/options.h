// The section `store` of the operator's file.
#pragma once

#include <cstdint>
#include <string>

#include "config/record.h"

namespace trailcourse::store {

// The settings of a store; their descriptions and ranges are in options_record().
struct Options {
  std::string folder;
  std::int64_t disk_mb = 1'024;
  std::int64_t memory_mb = 64;
  std::int64_t segment_mb = 16;
  std::int64_t part_kb = 256;
  double max_share = 0.25;
  std::int64_t write_kb_per_s = 20'000;
  std::int64_t write_burst_mb = 256;
  std::int64_t write_queue_mb = 16;
  std::int64_t read_threads = 2;
  std::int64_t reads_at_once = 64;
  std::int64_t read_patience_ms = 150;
  std::int64_t expected_objects = 100'000;
  std::int64_t purges = 100'000;
  bool compress = true;
};

// Returns the keys, units, ranges and descriptions of the section.
const config::Record<Options>& options_record();

}  // namespace trailcourse::store
