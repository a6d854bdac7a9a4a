#include "store/purge_table.h"

#include <algorithm>

namespace trailcourse::store {

bool PurgeTable::add(const PurgeRecord& purge) {
  switch (purge.kind) {
    case PurgeRecord::Kind::kAll: {
      const bool is_new = purge.purged_unix_ms > floor_;
      floor_ = std::max(floor_, purge.purged_unix_ms);
      return is_new;
    }
    case PurgeRecord::Kind::kGroup: {
      const auto [found, inserted] = groups_.emplace(purge.id, purge.purged_unix_ms);
      const bool is_new = inserted || purge.purged_unix_ms > found->second;
      found->second = std::max(found->second, purge.purged_unix_ms);
      latest_group_ = std::max(latest_group_, purge.purged_unix_ms);
      return is_new;
    }
    case PurgeRecord::Kind::kObject:
      break;
  }
  if (purge.purged_unix_ms <= floor_) {
    return false;
  }
  const auto [found, inserted] = objects_.emplace(purge.id, purge.purged_unix_ms);
  if (!inserted) {
    if (purge.purged_unix_ms <= found->second) {
      return false;
    }
    by_time_.erase({found->second, purge.id});
    found->second = purge.purged_unix_ms;
  }
  by_time_.emplace(std::pair(purge.purged_unix_ms, purge.id), true);
  while (objects_.size() > max_objects_) {
    fold_earliest();
  }
  return true;
}

void PurgeTable::fold_earliest() {
  const auto [ms, object] = by_time_.begin()->first;
  by_time_.erase(by_time_.begin());
  objects_.erase(object);
  floor_ = std::max(floor_, ms);
  folded_.push_back(PurgeRecord{PurgeRecord::Kind::kObject, object, ms});
  folded_.push_back(PurgeRecord{PurgeRecord::Kind::kAll, 0, floor_});
}

std::int64_t PurgeTable::purged_until(std::optional<ObjectId> object, int group) const {
  std::int64_t out = floor_;
  if (object) {
    if (const auto found = objects_.find(*object); found != objects_.end()) {
      out = std::max(out, found->second);
    }
  }
  if (group == kNoGroup) {
    return out;
  }
  if (group == kUnknownGroup) {
    return std::max(out, latest_group_);
  }
  const auto found = groups_.find(static_cast<std::uint64_t>(group));
  return found == groups_.end() ? out : std::max(out, found->second);
}

}  // namespace trailcourse::store
