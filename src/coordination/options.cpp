#include "coordination/options.h"

namespace trailcourse::coordination {

using config::IntegerRange;
using config::StringRule;

const config::Record<CoordinationOptions>& coordination_record() {
  static const config::Record<CoordinationOptions> kRecord = [] {
    config::Record<CoordinationOptions> record(
        "coordination",
        "The coordination store, for work that one router does for the whole fleet. Disabled "
        "while `store` is none; no request waits for it.");
    record
        .string("store", &CoordinationOptions::store, "-", StringRule{{"none", "etcd", "embedded"}, false},
                "type of the coordination store; etcd: the v3 interface over HTTP, which `trailcourse "
                "registry` has too; embedded: a folder that all routers of one machine share")
        .strings("endpoints", &CoordinationOptions::endpoints, "IP:PORT",
                 "addresses of the store, for etcd; all members of one cluster")
        .string("folder", &CoordinationOptions::folder, "path", StringRule{},
                "folder of the store, for embedded; on a local disk")
        .string(
            "store_id", &CoordinationOptions::store_id, "-", StringRule{},
            "expected id of the store (cluster_id); responses of other stores are rejected; if empty, the "
            "first store that responds is accepted")
        .string("prefix", &CoordinationOptions::prefix, "-", StringRule{},
                "prefix of all keys; one for each fleet")
        .integer("call_ms", &CoordinationOptions::call_ms, "ms", IntegerRange{10, 60'000},
                 "timeout of a call; whether a call that timed out was executed is unknown")
        .integer("connect_ms", &CoordinationOptions::connect_ms, "ms", IntegerRange{10, 60'000},
                 "timeout of a connection attempt; the call was not sent in that case")
        .integer(
            "rest_ms", &CoordinationOptions::rest_ms, "ms", IntegerRange{1, 60'000},
            "backoff after all endpoints have failed; multiplied by a random 0.5 to 1.5, and doubles each "
            "time")
        .integer("longest_rest_ms", &CoordinationOptions::longest_rest_ms, "ms", IntegerRange{1, 600'000},
                 "maximum backoff")
        .integer("watch_silent_ms", &CoordinationOptions::watch_silent_ms, "ms", IntegerRange{100, 600'000},
                 "time without data after which a watch is reopened, because its connection may be dead")
        .integer("look_ms", &CoordinationOptions::look_ms, "ms", IntegerRange{1, 60'000},
                 "poll interval of a watch, for embedded");
    return record;
  }();
  return kRecord;
}

const config::Record<RegistryOptions>& registry_record() {
  static const config::Record<RegistryOptions> kRecord = [] {
    config::Record<RegistryOptions> record(
        "registry",
        "A coordination server of one process with the part of etcd's v3 interface that routers need, for "
        "tests and for fleets that can tolerate its loss.");
    record
        .string("listen", &RegistryOptions::listen, "IP:PORT", StringRule{{}, true},
                "address on which routers and operators connect")
        .string("folder", &RegistryOptions::folder, "path", StringRule{{}, true},
                "folder of the data, synced before each response; used by one server only")
        .integer("connections", &RegistryOptions::connections, "connections", IntegerRange{1, 100'000},
                 "maximum open connections; a router has up to two for calls and one for each watch")
        .integer("entries", &RegistryOptions::entries, "keys", IntegerRange{100, 10'000'000},
                 "maximum number of keys")
        .integer("history", &RegistryOptions::history, "changes", IntegerRange{16, 10'000'000},
                 "number of changes kept for watches that reconnect; an older watch reads all keys again");
    return record;
  }();
  return kRecord;
}

}  // namespace trailcourse::coordination
