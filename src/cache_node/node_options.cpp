#include "cache_node/node_options.h"

namespace trailcourse::cache_node {

using config::IntegerRange;
using config::StringRule;

const config::Record<NodeOptions>& node_record() {
  static const config::Record<NodeOptions> kRecord = [] {
    config::Record<NodeOptions> record("cache", "A cache node: `trailcourse cache`.");
    record
        .string("name", &NodeOptions::name, "-", StringRule{{}, true},
                "name of this node in the endpoint list")
        .string("listen", &NodeOptions::listen, "IP:PORT", StringRule{{}, true},
                "address to which routers and other nodes connect")
        .string("board", &NodeOptions::board, "IP:PORT", StringRule{},
                "address of the discovery service, which reports purges and the addresses of sources; none: "
                "only the sources below are known, and copies expire only by their age")
        .strings("sources", &NodeOptions::sources, "NAME=IP:PORT",
                 "addresses of sources, in addition to those that the discovery service lists")
        .string("fill_from", &NodeOptions::fill_from, "-", StringRule{},
                "source of a fill if the request names none, as for a parent; none: such a request is a miss")
        .string(
            "origin", &NodeOptions::origin, "-", StringRule{},
            "name of the source that is the origin; the notes in responses distinguish it from other nodes")
        .integer("open_requests", &NodeOptions::open_requests, "requests", IntegerRange{1, 1'000'000},
                 "maximum open requests; further requests are answered BUSY at once")
        .integer(
            "in_flight_mb", &NodeOptions::in_flight_mb, "MB", IntegerRange{1, 1'048'576},
            "maximum size of fills in progress and responses that were not sent yet; further requests are "
            "answered BUSY at once")
        .integer("fills", &NodeOptions::fills, "fills", IntegerRange{1, 100'000},
                 "maximum fills in progress; further misses are answered BUSY, to protect the sources from "
                 "overload")
        .integer("value_kb", &NodeOptions::value_kb, "KB", IntegerRange{1, 262'144},
                 "maximum size of a value; a larger response of a source is rejected")
        .integer(
            "answer_bytes", &NodeOptions::answer_bytes, "bytes", IntegerRange{1'024, 67'108'864},
            "maximum size of a response that routers read; a larger object is answered ERR and not stored")
        .integer(
            "connections", &NodeOptions::connections, "connections", IntegerRange{8, 100'000},
            "maximum connections of routers and nodes; beyond it the one that is idle for longest is closed")
        .integer("source_connections", &NodeOptions::source_connections, "connections",
                 IntegerRange{1, 1'024}, "maximum connections to one source")
        .integer("connect_ms", &NodeOptions::connect_ms, "ms", IntegerRange{10, 60'000},
                 "timeout for connecting to a source")
        .integer("idle_ms", &NodeOptions::idle_ms, "ms", IntegerRange{100, 3'600'000},
                 "idle time after which a connection is closed; has to match the settings of the routers")
        .integer(
            "board_wait_ms", &NodeOptions::board_wait_ms, "ms", IntegerRange{0, 600'000},
            "time after a start without a response of the discovery service after which an unknown source is "
            "an error instead of a miss, and a warning is logged; until the service responds, copies from "
            "before the start are served only to requests that limit their age because of a recent purge")
        .integer("report_s", &NodeOptions::report_s, "s", IntegerRange{1, 86'400},
                 "interval between two log lines of counters")
        .string("fence_folder", &NodeOptions::fence_folder, "path", StringRule{},
                "folder of the fencing tokens; none: beside the folder of the store; without either folder, "
                "commands with a fencing token are rejected");
    return record;
  }();
  return kRecord;
}

const config::Record<ClassOptions>& class_record() {
  static const config::Record<ClassOptions> kRecord = [] {
    config::Record<ClassOptions> record("classes",
                                        "One entry for each class that the node serves, by its name.");
    record
        .integer("fresh_ms", &ClassOptions::fresh_ms, "ms", IntegerRange{0, 31'536'000'000},
                 "maximum age of a copy where the request does not limit it; 0: no limit, a copy is valid "
                 "until it is purged")
        .string(
            "use", &ClassOptions::use, "-", StringRule{{"kept", "passed"}, false},
            "kept: copies are stored and shared; passed: every request is forwarded to its source once and "
            "nothing is stored, as for writes");
    return record;
  }();
  return kRecord;
}

const config::Record<OriginOptions>& origin_record() {
  static const config::Record<OriginOptions> kRecord = [] {
    config::Record<OriginOptions> record("origin", "A small origin for tests: `trailcourse origin`.");
    record
        .string("listen", &OriginOptions::listen, "IP:PORT", StringRule{{}, true},
                "address to which nodes connect")
        .string("name", &OriginOptions::name, "-", StringRule{}, "name of this origin in the endpoint list")
        .string(
            "folder", &OriginOptions::folder, "-", StringRule{},
            "folder of the files ITEM or ITEM/PART that it serves; none: objects are generated from their "
            "names")
        .integer("size_kb", &OriginOptions::size_kb, "KB", IntegerRange{0, protocol::kMaxObjectBytes >> 10U},
                 "size of a generated object; the protocol allows up to 240,000 bytes")
        .integer("delay_ms", &OriginOptions::delay_ms, "ms", IntegerRange{0, 60'000},
                 "delay before each response")
        .integer("kb_per_s", &OriginOptions::kb_per_s, "KB/s", IntegerRange{0, 16'777'216},
                 "maximum rate of all responses together, which are sent one after the other; 0: no limit")
        .integer("transfers", &OriginOptions::transfers, "transfers", IntegerRange{1, 100'000},
                 "maximum concurrent transfers; further requests are answered BUSY");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::cache_node
