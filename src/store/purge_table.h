// Which copies purges forbid. A purge names an object or a group and a Unix millisecond; a copy that the
// origin gave out at that millisecond or before is not to be served. The ledger is asked at every use of a
// copy, so a purge binds at once, whatever is still on disk, being read, being written or being filled.
//
// Bounded: beyond `most` objects the earliest purge is folded into a floor that binds every object. That
// forbids too much, never too little.
//
// Package `store`; no I/O, no clock. Not thread-safe.
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

// One purge as it is told and stored.
struct PurgeRecord {
  enum class Kind : std::uint8_t { kObject, kGroup, kAll };
  Kind kind = Kind::kObject;
  std::uint64_t id = 0;  // object or group
  std::int64_t ms = 0;

  friend auto operator<=>(const PurgeRecord&, const PurgeRecord&) = default;
};

class PurgeTable {
 public:
  explicit PurgeTable(std::size_t most_objects = 100'000) : most_(most_objects) {}

  // Takes a purge in, in any order, also twice. False where it tells nothing new. `folded` holds the purges
  // that the floor has taken over since the last call, and the floor itself: a durable ledger follows them.
  bool add(const PurgeRecord& purge);

  // The Unix millisecond up to which copies are forbidden; INT64_MIN where no purge binds. A copy of unknown
  // group is bound by every group: it could be of any.
  std::int64_t purged_until(std::optional<ObjectId> object, int group) const;
  bool allows(std::optional<ObjectId> object, int group, std::int64_t t0_ms) const {
    return t0_ms > purged_until(object, group);
  }

  std::size_t objects() const { return objects_.size(); }
  std::int64_t floor() const { return floor_; }
  std::vector<PurgeRecord> take_folded() { return std::exchange(folded_, {}); }

 private:
  void fold_earliest();

  std::size_t most_;
  std::unordered_map<ObjectId, std::int64_t> objects_;
  std::map<std::pair<std::int64_t, ObjectId>, bool> by_time_;
  std::map<std::uint64_t, std::int64_t> groups_;
  std::int64_t latest_group_ = INT64_MIN;
  std::int64_t floor_ = INT64_MIN;
  std::vector<PurgeRecord> folded_;
};

}  // namespace trailcourse::store
