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
              "the discovery service, which sends purge events and the addresses of sources; none: only the "
              "sources below, and purges only by age limits of requests")
        .texts("sources", &NodeOptions::sources, "NAME=IP:PORT",
               "the addresses of sources, beside those in the endpoint list")
        .text("fill_from", &NodeOptions::fill_from, "-", Words{},
              "the source if a request names none, as at a parent; none: the request is then a miss")
        .text("origin", &NodeOptions::origin, "-", Words{},
              "the source that is the origin, for the notes in answers")
        .whole("open_requests", &NodeOptions::open_requests, "requests", WholeRange{1, 1'000'000},
               "open at once; further ones are answered BUSY")
        .whole("in_flight_mb", &NodeOptions::in_flight_mb, "MB", WholeRange{1, 1'048'576},
               "of fills in progress and unsent answers; beyond it requests are answered BUSY")
        .whole("fills", &NodeOptions::fills, "fills", WholeRange{1, 100'000},
               "in progress at once; beyond it a miss is answered BUSY, so that sources are not overloaded")
        .whole("value_kb", &NodeOptions::value_kb, "KB", WholeRange{1, 262'144},
               "the largest value; the connection to a source that sends a larger one is closed")
        .whole("answer_bytes", &NodeOptions::answer_bytes, "bytes", WholeRange{1'024, 67'108'864},
               "the largest answer that routers read; a larger object is answered ERR and not stored")
        .whole("connections", &NodeOptions::connections, "connections", WholeRange{8, 100'000},
               "from routers and nodes; beyond it the longest idle one is closed")
        .whole("source_connections", &NodeOptions::source_connections, "connections", WholeRange{1, 1'024},
               "to one source")
        .whole("connect_ms", &NodeOptions::connect_ms, "ms", WholeRange{10, 60'000},
               "after which connecting to a source has failed")
        .whole("idle_ms", &NodeOptions::idle_ms, "ms", WholeRange{100, 3'600'000},
               "after which an idle connection is closed; the settings of routers have the same time")
        .whole(
            "board_wait_ms", &NodeOptions::board_wait_ms, "ms", WholeRange{0, 600'000},
            "after a start, the longest time in which older copies are served only to requests with an age "
            "limit; ends when discovery events arrive")
        .whole("report_s", &NodeOptions::report_s, "s", WholeRange{1, 86'400},
               "between two log lines of figures")
        .text("fence_folder", &NodeOptions::fence_folder, "path", Words{},
              "stores the fencing tokens of owned work; none: beside the store's folder, and without that "
              "folder commands with a fencing token are rejected");
    return record;
  }();
  return kRecord;
}

const config::Record<ClassOptions>& class_record() {
  static const config::Record<ClassOptions> kRecord = [] {
    config::Record<ClassOptions> record("classes", "One entry for each class that is served, by its name.");
    record
        .whole("fresh_ms", &ClassOptions::fresh_ms, "ms", WholeRange{0, 31'536'000'000},
               "the age up to which a copy is fresh, if a request has no age limit; 0: until purged")
        .text("use", &ClassOptions::use, "-", Words{{"kept", "passed"}, false},
              "passed: each request is forwarded to its source once, nothing is shared or stored, as for "
              "writes");
    return record;
  }();
  return kRecord;
}

const config::Record<OriginOptions>& origin_record() {
  static const config::Record<OriginOptions> kRecord = [] {
    config::Record<OriginOptions> record("origin", "A small origin for trials: `trailcourse origin`.");
    record.text("listen", &OriginOptions::listen, "IP:PORT", Words{{}, true}, "where nodes connect")
        .text("name", &OriginOptions::name, "-", Words{}, "its id in the list")
        .text("folder", &OriginOptions::folder, "-", Words{},
              "serves the files ITEM or ITEM/PART below it; none: objects are generated from their names")
        .whole("size_kb", &OriginOptions::size_kb, "KB", WholeRange{0, protocol::kMaxObjectBytes >> 10U},
               "of a generated object; objects of the protocol have 240,000 bytes at most")
        .whole("delay_ms", &OriginOptions::delay_ms, "ms", WholeRange{0, 60'000}, "before each answer")
        .whole("kb_per_s", &OriginOptions::kb_per_s, "KB/s", WholeRange{0, 16'777'216},
               "of all answers together, one after the other; 0: unlimited")
        .whole("transfers", &OriginOptions::transfers, "transfers", WholeRange{1, 100'000},
               "at once; further ones are answered BUSY");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::cache_node
