#include "cache_node/node_options.h"

namespace trailcourse::cache_node {

using config::WholeRange;
using config::Words;

const config::Record<NodeOptions>& node_record() {
  static const config::Record<NodeOptions> kRecord = [] {
    config::Record<NodeOptions> record("cache", "A cache node: `trailcourse cache`.");
    record.text("name", &NodeOptions::name, "-", Words{{}, true}, "its id in the list of caches")
        .text("listen", &NodeOptions::listen, "IP:PORT", Words{{}, true},
              "where routers and other nodes connect")
        .text("board", &NodeOptions::board, "IP:PORT", Words{},
              "the notice board, which tells of purges and where sources are; none: sources below, no purges "
              "but "
              "by age limits")
        .texts("sources", &NodeOptions::sources, "NAME=IP:PORT",
               "where sources are, beside those that the notice board lists")
        .text("fill_from", &NodeOptions::fill_from, "-", Words{},
              "the source of what a request names none for, as at a parent; none: it is then a miss")
        .text("origin", &NodeOptions::origin, "-", Words{},
              "which source is the origin, for the notes in answers")
        .whole("open_requests", &NodeOptions::open_requests, "requests", WholeRange{1, 1'000'000},
               "open at once; beyond it BUSY at once")
        .whole("in_flight_mb", &NodeOptions::in_flight_mb, "MB", WholeRange{1, 1'048'576},
               "of fills under way and answers not yet taken; beyond it BUSY at once")
        .whole("fills", &NodeOptions::fills, "fills", WholeRange{1, 100'000},
               "under way at once; beyond it a miss is answered BUSY, so that sources are not pushed over")
        .whole("value_kb", &NodeOptions::value_kb, "KB", WholeRange{1, 262'144},
               "the largest value; a source that sends more is not listened to")
        .whole(
            "answer_bytes", &NodeOptions::answer_bytes, "bytes", WholeRange{1'024, 67'108'864},
            "the most that one answer holds, as routers read them; a larger object is answered ERR and not "
            "kept")
        .whole("connections", &NodeOptions::connections, "connections", WholeRange{8, 100'000},
               "from routers and nodes; beyond it the one unused for longest goes")
        .whole("source_connections", &NodeOptions::source_connections, "connections", WholeRange{1, 1'024},
               "to one source")
        .whole("connect_ms", &NodeOptions::connect_ms, "ms", WholeRange{10, 60'000},
               "a connection to a source not up by then has failed")
        .whole("idle_ms", &NodeOptions::idle_ms, "ms", WholeRange{100, 3'600'000},
               "an unused connection is closed; the settings of routers tell them the same time")
        .whole("board_wait_ms", &NodeOptions::board_wait_ms, "ms", WholeRange{0, 600'000},
               "after a start, copies from before it go only to requests that say how old they may be, until "
               "the "
               "board was heard, for so long at most")
        .whole("report_s", &NodeOptions::report_s, "s", WholeRange{1, 86'400},
               "between two log lines of figures")
        .text("fence_folder", &NodeOptions::fence_folder, "path", Words{},
              "where the terms of owned work are kept; none: beside the store's folder, and without that "
              "fenced "
              "commands "
              "are refused");
    return record;
  }();
  return kRecord;
}

const config::Record<ClassOptions>& class_record() {
  static const config::Record<ClassOptions> kRecord = [] {
    config::Record<ClassOptions> record("classes", "One entry for each class that is served, by its name.");
    record
        .whole("fresh_ms", &ClassOptions::fresh_ms, "ms", WholeRange{0, 31'536'000'000},
               "how old a copy may be where a request does not say; 0: until purged")
        .text("use", &ClassOptions::use, "-", Words{{"kept", "passed"}, false},
              "passed: every request goes on to its source once, nothing is shared or kept, as for writes");
    return record;
  }();
  return kRecord;
}

const config::Record<OriginOptions>& origin_record() {
  static const config::Record<OriginOptions> kRecord = [] {
    config::Record<OriginOptions> record("origin",
                                         "A small origin for trying things out: `trailcourse origin`.");
    record.text("listen", &OriginOptions::listen, "IP:PORT", Words{{}, true}, "where nodes connect")
        .text("name", &OriginOptions::name, "-", Words{}, "its id in the list")
        .text("folder", &OriginOptions::folder, "-", Words{},
              "serves the files ITEM or ITEM/PART below it; none: objects are made from their names")
        .whole("size_kb", &OriginOptions::size_kb, "KB", WholeRange{0, protocol::kMaxObjectBytes >> 10U},
               "of a made object; the protocol's objects hold 240,000 bytes at most")
        .whole("delay_ms", &OriginOptions::delay_ms, "ms", WholeRange{0, 60'000}, "before each answer")
        .whole("kb_per_s", &OriginOptions::kb_per_s, "KB/s", WholeRange{0, 16'777'216},
               "of all answers together, one after the other; 0: as fast as it goes")
        .whole("transfers", &OriginOptions::transfers, "transfers", WholeRange{1, 100'000},
               "at once; beyond it BUSY");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::cache_node
