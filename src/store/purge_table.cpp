#include "store/purge_table.h"

#include <algorithm>

namespace trailcourse::store {

bool PurgeTable::add(const PurgeRecord& purge) {
  switch (purge.kind) {
    case PurgeRecord::Kind::kAll: {
      const bool news = purge.ms > floor_;
      floor_ = std::max(floor_, purge.ms);
      return news;
    }
    case PurgeRecord::Kind::kGroup: {
      const auto [found, fresh] = groups_.emplace(purge.id, purge.ms);
      const bool news = fresh || purge.ms > found->second;
      found->second = std::max(found->second, purge.ms);
      latest_group_ = std::max(latest_group_, purge.ms);
      return news;
    }
    case PurgeRecord::Kind::kObject:
      break;
  }
  if (purge.ms <= floor_) {
    return false;
  }
  const auto [found, fresh] = objects_.emplace(purge.id, purge.ms);
  if (!fresh) {
    if (purge.ms <= found->second) {
      return false;
    }
    by_time_.erase({found->second, purge.id});
    found->second = purge.ms;
  }
  by_time_.emplace(std::pair(purge.ms, purge.id), true);
  while (objects_.size() > most_) {
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
