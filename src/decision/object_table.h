// The history of recently requested objects, one entry per part, as caches store them. It decides nothing.
#pragma once

#include <trailcourse/decider.h>

#include <cmath>
#include <cstdint>
#include <vector>

#include "lru_map.h"

namespace trailcourse {

// A parent whose answer showed that it has the object cached.
struct ObservedHolder {
  int node = -1;
  Micros seen{0};
};

// The history of one object.
struct ObjectEntry {
  double request_count = 0.0;
  Micros halved_at{0};
  Micros last_request{0};
  std::vector<ObservedHolder> holders;
  int cached_at = -1;  // the cache that answered last
  Micros cached_since{0};

  // Halves the request count once for each full `interval` since the last halving.
  void age_count(Micros now, Micros interval) {
    halved_at = request_count > 0.0 ? halved_at : now;
    const std::int64_t times = (now - halved_at) / interval;
    request_count *= std::exp2(-static_cast<double>(times));
    halved_at += times * interval;
  }
  void add_holder(int node, Micros now) {
    std::erase_if(holders, [node](const ObservedHolder& holder) { return holder.node == node; });
    holders.push_back({node, now});
  }
  // Removes the holders last seen at `time` or before.
  void remove_holders(Micros time) {
    std::erase_if(holders, [time](const ObservedHolder& holder) { return holder.seen <= time; });
  }
};

// The entries by the key of object and part; a new one evicts the least recently used one.
using ObjectTable = LruMap<std::uint64_t, ObjectEntry>;

}  // namespace trailcourse
