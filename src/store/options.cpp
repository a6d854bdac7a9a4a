#include "store/options.h"

namespace trailcourse::store {

const config::Record<Options>& options_record() {
  using config::IntegerRange;
  using config::NumberRange;
  using config::StringRule;
  static const config::Record<Options> kRecord = [] {
    config::Record<Options> record("store", "The memory and disk tiers of a cache node.");
    record
        .string("folder", &Options::folder, "-", StringRule{},
                "folder of the disk tier, used by one node only; if absent, only memory is used")
        .integer("disk_mb", &Options::disk_mb, "MB", IntegerRange{16, 16'777'216},
                 "maximum size of all segment files; the index needs about 150 bytes per copy in addition")
        .integer("memory_mb", &Options::memory_mb, "MB", IntegerRange{0, 1'048'576},
                 "maximum size of the copies in memory; data in flight is not included")
        .integer(
            "segment_mb", &Options::segment_mb, "MB", IntegerRange{1, 1'024},
            "size of one segment file; space is reclaimed by whole files, so larger files move more data "
            "at once")
        .integer("part_kb", &Options::part_kb, "KB", IntegerRange{4, 16'384},
                 "size of the parts of a larger value; each part is filled, read and evicted by itself")
        .number("most_share", &Options::max_share, "of the tier", NumberRange{0.001, 1.0},
                "maximum share of a tier for one copy; a larger copy would evict too many others at once")
        .integer("write_kb_per_s", &Options::write_kb_per_s, "KB/s", IntegerRange{0, 16'777'216},
                 "maximum average write rate to disk, because writes wear flash; 0: no limit")
        .integer(
            "write_burst_mb", &Options::write_burst_mb, "MB", IntegerRange{1, 1'048'576},
            "maximum burst of writes after an idle period; copies that are requested again may exceed it")
        .integer("write_queue_mb", &Options::write_queue_mb, "MB", IntegerRange{1, 65'536},
                 "maximum size of copies that wait to be written; copies beyond it are not stored on disk")
        .integer("read_threads", &Options::read_threads, "threads", IntegerRange{1, 64},
                 "threads that read from disk; more threads help if the disk serves reads in parallel")
        .integer("reads_at_once", &Options::reads_at_once, "reads", IntegerRange{1, 65'536},
                 "maximum reads that are in progress or queued; beyond it a copy on disk counts as a miss")
        .integer("read_patience_ms", &Options::read_patience_ms, "ms", IntegerRange{1, 60'000},
                 "timeout of a read; a slower read counts as a miss, and the disk counts as stalled until a "
                 "read completes in time")
        .integer("expected_objects", &Options::expected_objects, "copies", IntegerRange{64, 100'000'000},
                 "number of copies for which tables are allocated at the start; growing the tables later "
                 "pauses the node for some milliseconds")
        .integer("purges", &Options::purges, "objects", IntegerRange{1, 10'000'000},
                 "maximum number of object purges that are stored; beyond it the earliest is applied to all "
                 "objects, which drops more copies than needed but never misses a purge")
        .boolean("compress", &Options::compress,
                 "compress values with zstd if that saves at least an eighth");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::store
