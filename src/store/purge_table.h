// The purges in force. A purge names an object or a group and a Unix millisecond; a copy whose origin time is
// at or before that millisecond must not be served. The table is checked at every use of a copy, so a purge
// takes effect at once, also for copies that are on disk, being read, being written or being filled.
//
// The table is bounded: beyond `max_objects` the earliest purge is folded into a floor that applies to every
// object. This may reject copies that no purge covers, but never allows a purged copy.
//
// Library `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/key.h"

namespace trailcourse::store {

// One purge, as received and as stored in the index.
struct PurgeRecord {
  enum class Kind : std::uint8_t { kObject, kGroup, kAll };
  Kind kind = Kind::kObject;
  std::uint64_t id = 0;             // of the object or group; 0 for kAll
  std::int64_t purged_unix_ms = 0;  // copies of this origin time and earlier are purged

  friend auto operator<=>(const PurgeRecord&, const PurgeRecord&) = default;
};

// A bounded table of purges, in memory only.
class PurgeTable {
 public:
  explicit PurgeTable(std::size_t max_objects = 100'000) : max_objects_(max_objects) {}

  // Adds a purge. Purges may be added in any order and more than once. Returns false if the purge changes
  // nothing. A caller that stores the purges also has to apply the changes of
  // drain_folded().
  bool add(const PurgeRecord& purge);

  // Returns the Unix millisecond up to which copies are purged; INT64_MIN if no purge applies. Every group
  // purge applies to a copy of unknown group, since it could belong to any.
  std::int64_t purged_until(std::optional<ObjectId> object, int group) const;
  bool allows(std::optional<ObjectId> object, int group, std::int64_t origin_time_ms) const {
    return origin_time_ms > purged_until(object, group);
  }

  std::size_t objects() const { return objects_.size(); }
  // Returns the Unix millisecond up to which the copies of every object are purged.
  std::int64_t floor() const { return floor_; }
  // Returns, and removes, the object purges that were folded into the floor since the last call, each
  // followed by the floor itself as a purge of kind kAll.
  std::vector<PurgeRecord> drain_folded() { return std::exchange(folded_, {}); }

 private:
  void fold_earliest();

  std::size_t max_objects_;
  std::unordered_map<ObjectId, std::int64_t> objects_;
  std::map<std::pair<std::int64_t, ObjectId>, bool>
      by_time_;  // the keys order objects_ by time; the values are unused
  std::map<std::uint64_t, std::int64_t> groups_;
  std::int64_t latest_group_ = INT64_MIN;
  std::int64_t floor_ = INT64_MIN;
  std::vector<PurgeRecord> folded_;
};

}  // namespace trailcourse::store
