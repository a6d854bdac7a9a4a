// The entries of a tier and the order of eviction: an entry of the lowest keep rank first, and within a rank
// the one with the largest replacement value among a random sample. docs/design.md names the paper that
// defines this value. An entry takes 32 bytes, its payload, and 10 to 20 bytes in tables, so that the entries
// of a million copies fit in memory.
//
// Library `store`; no I/O, no clock; times are ticks given with each call, which never go back. Not
// thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "store/key.h"

namespace trailcourse::store {

constexpr int kRanks = 4;    // 0 (not stored) to 3 (top)
using Tick = std::uint32_t;  // tenths of a second

// The weights of the paper's replacement value; the entry with the largest value is evicted first. The paper
// calls the weights alpha, beta and nu. Its term for replicas is omitted: a node knows of no replicas.
struct EvictionWeights {
  double frequency = 1.0;  // of 1 / use count
  double size = 0.9;       // of the size divided by the largest size in the sample
  double idle = 0.6;       // of the idle time divided by the longest idle time in the sample
  Tick half_life = 600;    // a use count is halved once per half_life without use
  int sample_size = 16;    // entries compared to choose one victim
};

// Returns a use count after `idle` without use: halved once in each `half_life`.
inline std::uint32_t aged_uses(std::uint16_t uses, Tick idle, Tick half_life) {
  const Tick halvings = half_life == 0 ? 0 : idle / half_life;
  return halvings >= 16 ? 0U : static_cast<std::uint32_t>(uses) >> halvings;
}

// A set of entries by key, with their sizes, keep ranks and use counts, that chooses the entry to evict.
template <typename Payload>
class EvictionSet {
 public:
  // Identifies an entry until it is erased; reused afterwards.
  using Slot = std::uint32_t;
  static constexpr Slot kNone = UINT32_MAX;

  struct Entry {
    Key key;
    Payload payload;
    std::uint32_t bytes = 0;
    Tick last_used = 0;
    std::uint32_t position = 0;  // in the list of its rank; of a free slot: the next free slot
    std::uint16_t uses = 0;
    std::uint8_t rank = 0;
    bool occupied = false;
  };

  // `expected`: the number of entries up to which the hash table is not rebuilt.
  explicit EvictionSet(const EvictionWeights& weights = {}, std::size_t expected = 0) : weights_(weights) {
    std::size_t buckets = 64;
    while (buckets * 3 / 4 < expected) {
      buckets *= 2;
    }
    table_.assign(buckets, kNone);
  }

  std::size_t size() const { return size_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t size_of_rank(int rank) const { return ranks_[static_cast<std::size_t>(rank)].size(); }

  // Returns the slot of a key; kNone if there is no entry.
  Slot find(const Key& key) const {
    for (std::size_t at = bucket(key);; at = (at + 1) & (table_.size() - 1)) {
      if (table_[at] == kNone || entries_[table_[at]].key == key) {
        return table_[at];
      }
    }
  }

  Entry& at(Slot slot) { return entries_[slot]; }
  const Entry& at(Slot slot) const { return entries_[slot]; }
  // Returns one more than the largest slot; slots below it may be free, with `occupied` false.
  Slot end() const { return static_cast<Slot>(entries_.size()); }

  // Inserts an entry, or replaces the entry of the same key; the larger of both use counts is kept. Returns
  // its slot, which is valid until the entry is erased or replaced.
  Slot insert(const Key& key, std::uint32_t bytes, int rank, Tick now, Payload payload,
              std::uint16_t uses = 1) {
    if (const Slot old = find(key); old != kNone) {
      uses = std::max(uses, entries_[old].uses);
      erase(old);
    }
    if ((size_ + 1) * 4 > table_.size() * 3) {
      rehash(table_.size() * 2);
    }
    Slot slot = free_;
    if (slot != kNone) {
      free_ = entries_[slot].position;
    } else {
      slot = static_cast<Slot>(entries_.size());
      entries_.emplace_back();
    }
    Entry& entry = entries_[slot];
    entry.key = key;
    entry.payload = std::move(payload);
    entry.bytes = bytes;
    entry.last_used = now;
    entry.uses = uses;
    entry.occupied = true;
    add_to_rank(slot, rank);
    std::size_t at = bucket(key);
    while (table_[at] != kNone) {
      at = (at + 1) & (table_.size() - 1);
    }
    table_[at] = slot;
    ++size_;
    bytes_ += bytes;
    return slot;
  }

  void erase(Slot slot) {
    Entry& entry = entries_[slot];
    remove_from_table(slot);
    remove_from_rank(slot);
    bytes_ -= entry.bytes;
    --size_;
    entry.payload = Payload();
    entry.occupied = false;
    entry.position = free_;
    free_ = slot;
  }

  // Counts a use of an entry, and sets its rank.
  void touch(Slot slot, Tick now, int rank) {
    Entry& entry = entries_[slot];
    const std::uint32_t uses =
        aged_uses(entry.uses, now - std::min(now, entry.last_used), weights_.half_life);
    entry.uses = static_cast<std::uint16_t>(std::min<std::uint32_t>(uses + 1, UINT16_MAX));
    entry.last_used = now;
    if (rank != entry.rank) {
      remove_from_rank(slot);
      add_to_rank(slot, rank);
    }
  }

  // Returns the entry to evict first, other than `excluded`; kNone if there is no other. `random` is a
  // generator of 32-bit numbers.
  template <typename Random>
  Slot victim(Tick now, Random& random, Slot excluded = kNone) const {
    for (const std::vector<Slot>& rank : ranks_) {
      const bool only_excluded = rank.size() == 1 && rank[0] == excluded;
      if (!rank.empty() && !only_excluded) {
        return choose_victim(rank, now, random, excluded);
      }
    }
    return kNone;
  }

 private:
  std::size_t bucket(const Key& key) const { return key.low & (table_.size() - 1); }

  template <typename Random>
  Slot choose_victim(const std::vector<Slot>& rank, Tick now, Random& random, Slot excluded) const {
    std::array<Slot, 64> sampled{};
    const auto sample_size = static_cast<std::size_t>(std::clamp(weights_.sample_size, 1, 64));
    std::size_t count = 0;
    for (std::size_t i = 0; i < std::min(sample_size, rank.size()); ++i) {
      // All entries of a small rank are compared.
      const std::size_t position = rank.size() <= sample_size ? i : random() % rank.size();
      if (rank[position] != excluded) {
        sampled[count++] = rank[position];
      }
    }
    if (count == 0) {
      return rank[0] != excluded ? rank[0] : rank[1];
    }
    double max_bytes = 1.0;
    double max_idle = 1.0;
    for (std::size_t i = 0; i < count; ++i) {
      const Entry& entry = entries_[sampled[i]];
      max_bytes = std::max(max_bytes, static_cast<double>(entry.bytes));
      max_idle = std::max(max_idle, static_cast<double>(now - std::min(now, entry.last_used)));
    }
    Slot best = sampled[0];
    double max_value = -1.0;
    for (std::size_t i = 0; i < count; ++i) {
      const Entry& entry = entries_[sampled[i]];
      const Tick idle = now - std::min(now, entry.last_used);
      const std::uint32_t uses = std::max(1U, aged_uses(entry.uses, idle, weights_.half_life));
      const double value = weights_.frequency / uses + weights_.size * entry.bytes / max_bytes +
                           weights_.idle * idle / max_idle;
      if (value > max_value) {
        max_value = value;
        best = sampled[i];
      }
    }
    return best;
  }

  void add_to_rank(Slot slot, int rank) {
    std::vector<Slot>& slots = ranks_[static_cast<std::size_t>(rank)];
    if (slots.size() == slots.capacity()) {
      slots.reserve(slots.size() + slots.size() / 8 + 16);  // doubling could leave half of the memory unused
    }
    entries_[slot].rank = static_cast<std::uint8_t>(rank);
    entries_[slot].position = static_cast<std::uint32_t>(slots.size());
    slots.push_back(slot);
  }

  void remove_from_rank(Slot slot) {
    std::vector<Slot>& slots = ranks_[entries_[slot].rank];
    const std::uint32_t position = entries_[slot].position;
    slots[position] = slots.back();
    entries_[slots[position]].position = position;
    slots.pop_back();
  }

  // Removes a slot from the table, and moves back the slots that it had displaced (Knuth, vol. 3, 6.4,
  // algorithm R).
  void remove_from_table(Slot slot) {
    const std::size_t mask = table_.size() - 1;
    std::size_t hole = bucket(entries_[slot].key);
    while (table_[hole] != slot) {
      hole = (hole + 1) & mask;
    }
    for (std::size_t at = (hole + 1) & mask; table_[at] != kNone; at = (at + 1) & mask) {
      const std::size_t home = bucket(entries_[table_[at]].key);
      if (((at - home) & mask) >= ((at - hole) & mask)) {
        table_[hole] = table_[at];
        hole = at;
      }
    }
    table_[hole] = kNone;
  }

  void rehash(std::size_t buckets) {
    table_.assign(buckets, kNone);
    for (Slot slot = 0; slot < entries_.size(); ++slot) {
      if (entries_[slot].occupied) {
        std::size_t at = bucket(entries_[slot].key);
        while (table_[at] != kNone) {
          at = (at + 1) & (buckets - 1);
        }
        table_[at] = slot;
      }
    }
  }

  EvictionWeights weights_;
  std::deque<Entry> entries_;
  std::vector<Slot> table_;
  std::array<std::vector<Slot>, kRanks> ranks_;
  Slot free_ = kNone;
  std::size_t size_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace trailcourse::store
