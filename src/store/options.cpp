#include "store/options.h"

namespace trailcourse::store {

const config::Record<Options>& options_record() {
  using config::RealRange;
  using config::WholeRange;
  using config::Words;
  static const config::Record<Options> kRecord = [] {
    config::Record<Options> record("store", "What a cache node keeps, in memory and on disk.");
    record
        .text("folder", &Options::folder, "-", Words{},
              "the folder of the disk tier, used by one node alone; none: memory only")
        .whole("disk_mb", &Options::disk_mb, "MB", WholeRange{16, 16'777'216},
               "all segment files together; the index comes on top, about 150 bytes a copy")
        .whole("memory_mb", &Options::memory_mb, "MB", WholeRange{0, 1'048'576},
               "copies kept in memory; what is in flight comes on top")
        .whole("segment_mb", &Options::segment_mb, "MB", WholeRange{1, 1'024},
               "one segment file; room comes back by whole files, so large ones move more at once")
        .whole("part_kb", &Options::part_kb, "KB", WholeRange{4, 16'384},
               "a larger value is kept in parts of this size, each filled, read and evicted by itself")
        .real("most_share", &Options::max_share, "of the tier", RealRange{0.001, 1.0},
              "one copy; a larger one would push out too much at once")
        .whole("write_kb_per_s", &Options::write_kb_per_s, "KB/s", WholeRange{0, 16'777'216},
               "written to disk in the long run; flash wears by what is written; 0: no bound")
        .whole("write_burst_mb", &Options::write_burst_mb, "MB", WholeRange{1, 1'048'576},
               "written at once after a quiet time; what is asked for again may overdraw it")
        .whole("write_queue_mb", &Options::write_queue_mb, "MB", WholeRange{1, 65'536},
               "copies that wait to be written; beyond it they are not kept on disk")
        .whole("read_threads", &Options::read_threads, "threads", WholeRange{1, 64},
               "reads from disk at once; more helps where the disk serves several")
        .whole("reads_at_once", &Options::reads_at_once, "reads", WholeRange{1, 65'536},
               "under way or waiting; beyond it a copy on disk counts as not held")
        .whole("read_patience_ms", &Options::read_patience_ms, "ms", WholeRange{1, 60'000},
               "a read that takes longer counts as a miss, and the disk as stalled until one is back in time")
        .whole(
            "expected_objects", &Options::expected_objects, "copies", WholeRange{64, 100'000'000},
            "tables are made for so many at the start; growing beyond it costs a pause of some milliseconds")
        .whole("purges", &Options::purges, "objects", WholeRange{1, 10'000'000},
               "remembered one by one; beyond it the earliest binds every object, which costs copies, never "
               "a rule")
        .flag("compress", &Options::compress, "zstd for what shrinks by an eighth at least");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::store
