// A map of bounded size that evicts the least recently used entry.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

namespace trailcourse {

// Not thread-safe. Pointers and references to a value are valid until its entry is evicted.
template <typename Key, typename Value>
class LruMap {
 public:
  explicit LruMap(std::size_t capacity) : capacity_(capacity) {}

  // Returns the value of `key`, which becomes the most recently used one. Adds a new value if there is none.
  Value& touch(const Key& key) {
    const auto found = positions_.find(key);
    if (found != positions_.end()) {
      entries_.splice(entries_.begin(), entries_, found->second);
      return entries_.front().value;
    }
    if (!entries_.empty() && entries_.size() >= capacity_) {
      positions_.erase(entries_.back().key);
      entries_.pop_back();
    }
    entries_.push_front(Entry{key, Value{}});
    positions_.emplace(key, entries_.begin());
    return entries_.front().value;
  }

  // Returns the value of `key`, or null. Does not count as a use.
  Value* find(const Key& key) {
    const auto found = positions_.find(key);
    return found == positions_.end() ? nullptr : &found->second->value;
  }
  const Value* find(const Key& key) const {
    const auto found = positions_.find(key);
    return found == positions_.end() ? nullptr : &found->second->value;
  }

  // Returns the memory of the entries, in bytes, without what the values themselves allocate.
  std::size_t memory_bytes() const {
    constexpr std::size_t kAllocationBytes = 16;  // of the allocator for each block
    constexpr std::size_t kListNode = sizeof(Entry) + 2 * sizeof(void*) + kAllocationBytes;
    constexpr std::size_t kHashNode = sizeof(Key) + 4 * sizeof(void*) + kAllocationBytes;
    return entries_.size() * (kListNode + kHashNode);
  }

 private:
  struct Entry {
    Key key;
    Value value;
  };

  std::size_t capacity_;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<Key, typename std::list<Entry>::iterator> positions_;
};

}  // namespace trailcourse
