#include "coordination/options.h"

namespace trailcourse::coordination {

using config::WholeRange;
using config::Words;

const config::Record<CoordinationOptions>& coordination_record() {
  static const config::Record<CoordinationOptions> kRecord = [] {
    config::Record<CoordinationOptions> record(
        "coordination",
        "The coordination store, for work that one router does for all. Off unless a store is named; no "
        "request ever waits for it.");
    record
        .text("store", &CoordinationOptions::store, "-", Words{{"none", "etcd", "embedded"}, false},
              "none; etcd: its v3 interface over HTTP, as `trailcourse registry` speaks it too; embedded: a "
              "folder that "
              "all routers of one machine share")
        .texts("endpoints", &CoordinationOptions::endpoints, "IP:PORT",
               "of the store, for etcd: all of one cluster")
        .text("folder", &CoordinationOptions::folder, "path", Words{},
              "for embedded; on a disk of this machine")
        .text("store_id", &CoordinationOptions::store_id, "-", Words{},
              "the number of the store (cluster_id), so that another one's answers are never used; none: the "
              "first that "
              "answers")
        .text("prefix", &CoordinationOptions::prefix, "-", Words{}, "before all keys: one for each fleet")
        .whole("call_ms", &CoordinationOptions::call_ms, "ms", WholeRange{10, 60'000},
               "a call that is not answered by then counts as lost: done or not, nobody knows")
        .whole("connect_ms", &CoordinationOptions::connect_ms, "ms", WholeRange{10, 60'000},
               "the same for a connection: then nothing was done")
        .whole("rest_ms", &CoordinationOptions::rest_ms, "ms", WholeRange{1, 60'000},
               "after all endpoints have failed; drawn from a half to one and a half, doubles each time")
        .whole("longest_rest_ms", &CoordinationOptions::longest_rest_ms, "ms", WholeRange{1, 600'000},
               "to which that grows")
        .whole("watch_silent_ms", &CoordinationOptions::watch_silent_ms, "ms", WholeRange{100, 600'000},
               "a watch that told nothing for so long is opened again: its connection may be dead")
        .whole("look_ms", &CoordinationOptions::look_ms, "ms", WholeRange{1, 60'000},
               "for embedded: how often a watch looks");
    return record;
  }();
  return kRecord;
}

const config::Record<RegistryOptions>& registry_record() {
  static const config::Record<RegistryOptions> kRecord = [] {
    config::Record<RegistryOptions> record(
        "registry",
        "A store of one process that speaks the needed part of etcd's v3 interface, for trying things out "
        "and for fleets that "
        "bear its loss.");
    record
        .text("listen", &RegistryOptions::listen, "IP:PORT", Words{{}, true},
              "where routers and staff reach it")
        .text("folder", &RegistryOptions::folder, "path", Words{{}, true},
              "where all is kept, synced before it is answered; one registry a folder")
        .whole("connections", &RegistryOptions::connections, "connections", WholeRange{1, 100'000},
               "at once; two of each router")
        .whole("entries", &RegistryOptions::entries, "keys", WholeRange{100, 10'000'000}, "at most")
        .whole("history", &RegistryOptions::history, "changes", WholeRange{16, 10'000'000},
               "kept for watches that come back; older ones read all anew");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::coordination
