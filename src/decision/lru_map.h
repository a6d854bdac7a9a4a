// A map of bounded size that forgets the entry used longest ago. It decides nothing.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace trailcourse {

template <typename Key, typename Value>
class LruMap {
 public:
  explicit LruMap(std::size_t capacity) : capacity_(capacity) {}

  // Returns the value of `key`, which becomes the one used most recently. A new value is added if there is
  // none.
  Value& touch(const Key& key) {
    const auto found = positions_.find(key);
    if (found != positions_.end()) {
      entries_.splice(entries_.begin(), entries_, found->second);
      return entries_.front().second;
    }
    if (!entries_.empty() && entries_.size() >= capacity_) {
      positions_.erase(entries_.back().first);
      entries_.pop_back();
    }
    entries_.emplace_front(key, Value{});
    positions_.emplace(key, entries_.begin());
    return entries_.front().second;
  }

  // Returns the value of `key`, or null, and leaves the order of use.
  Value* find(const Key& key) {
    const auto found = positions_.find(key);
    return found == positions_.end() ? nullptr : &found->second->second;
  }
  const Value* find(const Key& key) const {
    const auto found = positions_.find(key);
    return found == positions_.end() ? nullptr : &found->second->second;
  }

 private:
  std::size_t capacity_;
  std::list<std::pair<Key, Value>> entries_;  // the most recently used first
  std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> positions_;
};

}  // namespace trailcourse
