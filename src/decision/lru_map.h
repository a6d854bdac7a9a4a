// A map of bounded size that forgets what was used longest ago; a plain container, nothing is decided here.
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

  // The value of `key`, made anew if there was none, and used most recently from now on.
  Value& touch(const Key& key) {
    const auto found = places_.find(key);
    if (found != places_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      return order_.front().second;
    }
    if (!order_.empty() && order_.size() >= capacity_) {
      places_.erase(order_.back().first);
      order_.pop_back();
    }
    order_.emplace_front(key, Value{});
    places_.emplace(key, order_.begin());
    return order_.front().second;
  }

  // The value of `key`, or null; its place in the order of use stays.
  Value* find(const Key& key) {
    const auto found = places_.find(key);
    return found == places_.end() ? nullptr : &found->second->second;
  }
  const Value* find(const Key& key) const {
    const auto found = places_.find(key);
    return found == places_.end() ? nullptr : &found->second->second;
  }

 private:
  std::size_t capacity_;
  std::list<std::pair<Key, Value>> order_;
  std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> places_;
};

}  // namespace trailcourse
