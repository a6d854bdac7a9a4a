// The history of recently requested objects. Each part of an object has its own entry, as in the caches.
#pragma once

#include <trailcourse/decider.h>

#include <cmath>
#include <cstdint>
#include <vector>

#include "lru_map.h"

namespace trailcourse {

// A known holder: a parent whose answer showed that it has the object cached.
struct ObservedHolder {
  int node = -1;   // index in the node table
  Micros seen{0};  // time of that answer
};

// The history of one object.
struct ObjectEntry {
  double request_count = 0.0;  // halved at regular intervals
  Micros halved_at{0};
  Micros last_request{0};
  std::vector<ObservedHolder> holders;
  int cached_at = -1;      // index of the cache that answered last
  Micros cached_since{0};  // when it answered last

  // Halves the request count once for each full `interval` since the last halving.
  void halve_count(Micros now, Micros interval) {
    halved_at = request_count > 0.0 ? halved_at : now;
    const std::int64_t times = (now - halved_at) / interval;
    request_count *= std::exp2(-static_cast<double>(times));
    halved_at += times * interval;
  }
  // Adds a known holder, or updates its time.
  void add_holder(int node, Micros now) {
    std::erase_if(holders, [node](const ObservedHolder& holder) { return holder.node == node; });
    holders.push_back({node, now});
  }
  // Removes the known holders that were last seen at `time` or before.
  void remove_holders(Micros time) {
    std::erase_if(holders, [time](const ObservedHolder& holder) { return holder.seen <= time; });
  }
};

// The entries by Request::object_key. A new entry evicts the least recently used one if the table is full.
using ObjectTable = LruMap<std::uint64_t, ObjectEntry>;

}  // namespace trailcourse
