// What a tier holds, and what leaves it first: the lowest rank, then the paper's order (docs/design.md) among
// a few that are drawn. One entry takes 24 bytes, its payload, and 10 to 20 bytes of lists: a tier of a
// million copies must fit beside its payload.
//
// Package `store`; no I/O, no clock of its own: time comes with each call, in tenths of a second, and never
// goes back. Not thread-safe.
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

constexpr int kRanks = 4;  // 0 (not kept) to 3 (top)
using Tick = std::uint32_t;

// The weights of the paper's replacement value; the largest value leaves first.
struct KeepWeights {
  double frequency = 1.0;  // alpha
  double size = 0.9;       // beta
  double idle = 0.6;       // nu; the term of replicas is 0 here: a node knows of none
  Tick half_life = 600;    // a count halves in so many ticks without use
  int drawn = 16;          // entries compared for one victim
};

// How often an entry counts as used, after so long without use.
inline std::uint32_t aged_uses(std::uint16_t uses, Tick idle, Tick half_life) {
  const Tick halvings = half_life == 0 ? 0 : idle / half_life;
  return halvings >= 16 ? 0U : static_cast<std::uint32_t>(uses) >> halvings;
}

template <typename Payload>
class EvictionSet {
 public:
  using Slot = std::uint32_t;
  static constexpr Slot kNone = UINT32_MAX;

  struct Entry {
    Key key;
    Payload payload;
    std::uint32_t bytes = 0;
    Tick used = 0;
    std::uint32_t place = 0;  // in the list of its rank, or the next free slot
    std::uint16_t uses = 0;
    std::uint8_t rank = 0;
    bool held = false;
  };

  // `expected`: entries for which no table is made anew; growing beyond it costs one pass over all.
  explicit EvictionSet(const KeepWeights& weights = {}, std::size_t expected = 0) : weights_(weights) {
    std::size_t buckets = 64;
    while (buckets * 3 / 4 < expected) {
      buckets *= 2;
    }
    table_.assign(buckets, kNone);
  }

  std::size_t size() const { return size_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t size_of_rank(int rank) const { return ranks_[static_cast<std::size_t>(rank)].size(); }

  Slot find(const Key& key) const {
    for (std::size_t at = bucket(key);; at = (at + 1) & (table_.size() - 1)) {
      if (table_[at] == kNone || entries_[table_[at]].key == key) {
        return table_[at];
      }
    }
  }

  Entry& at(Slot slot) { return entries_[slot]; }
  const Entry& at(Slot slot) const { return entries_[slot]; }
  // One more than the largest slot in use; slots that hold nothing have `held` false.
  Slot end() const { return static_cast<Slot>(entries_.size()); }

  // Takes a key in, or replaces what is held under it (whose uses go on counting).
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
      free_ = entries_[slot].place;
    } else {
      slot = static_cast<Slot>(entries_.size());
      entries_.emplace_back();
    }
    Entry& entry = entries_[slot];
    entry.key = key;
    entry.payload = std::move(payload);
    entry.bytes = bytes;
    entry.used = now;
    entry.uses = uses;
    entry.held = true;
    list(slot, rank);
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
    take_out(slot);
    unlist(slot);
    bytes_ -= entry.bytes;
    --size_;
    entry.payload = Payload();
    entry.held = false;
    entry.place = free_;
    free_ = slot;
  }

  // It was used, at a rank that may be new.
  void touch(Slot slot, Tick now, int rank) {
    Entry& entry = entries_[slot];
    const std::uint32_t uses = aged_uses(entry.uses, now - std::min(now, entry.used), weights_.half_life);
    entry.uses = static_cast<std::uint16_t>(std::min<std::uint32_t>(uses + 1, UINT16_MAX));
    entry.used = now;
    if (rank != entry.rank) {
      unlist(slot);
      list(slot, rank);
    }
  }

  // What is to leave first, but for `spared`; kNone where nothing else is held. `random` gives 32 bits a
  // call.
  template <typename Random>
  Slot victim(Tick now, Random& random, Slot spared = kNone) const {
    for (const std::vector<Slot>& rank : ranks_) {
      const bool only_spared = rank.size() == 1 && rank[0] == spared;
      if (!rank.empty() && !only_spared) {
        return worst(rank, now, random, spared);
      }
    }
    return kNone;
  }

 private:
  std::size_t bucket(const Key& key) const { return key.low & (table_.size() - 1); }

  template <typename Random>
  Slot worst(const std::vector<Slot>& rank, Tick now, Random& random, Slot spared) const {
    std::array<Slot, 64> drawn{};
    const auto wanted = static_cast<std::size_t>(std::clamp(weights_.drawn, 1, 64));
    std::size_t count = 0;
    for (std::size_t i = 0; i < std::min(wanted, rank.size()); ++i) {
      // A small rank is looked at whole.
      const std::size_t place = rank.size() <= wanted ? i : random() % rank.size();
      if (rank[place] != spared) {
        drawn[count++] = rank[place];
      }
    }
    if (count == 0) {
      return rank[0] != spared ? rank[0] : rank[1];
    }
    double most_bytes = 1.0;
    double most_idle = 1.0;
    for (std::size_t i = 0; i < count; ++i) {
      const Entry& entry = entries_[drawn[i]];
      most_bytes = std::max(most_bytes, static_cast<double>(entry.bytes));
      most_idle = std::max(most_idle, static_cast<double>(now - std::min(now, entry.used)));
    }
    Slot best = drawn[0];
    double best_value = -1.0;
    for (std::size_t i = 0; i < count; ++i) {
      const Entry& entry = entries_[drawn[i]];
      const Tick idle = now - std::min(now, entry.used);
      const std::uint32_t uses = std::max(1U, aged_uses(entry.uses, idle, weights_.half_life));
      const double value = weights_.frequency / uses + weights_.size * entry.bytes / most_bytes +
                           weights_.idle * idle / most_idle;
      if (value > best_value) {
        best_value = value;
        best = drawn[i];
      }
    }
    return best;
  }

  void list(Slot slot, int rank) {
    std::vector<Slot>& in = ranks_[static_cast<std::size_t>(rank)];
    if (in.size() == in.capacity()) {
      in.reserve(in.size() + in.size() / 8 + 16);  // doubling would waste up to half of it
    }
    entries_[slot].rank = static_cast<std::uint8_t>(rank);
    entries_[slot].place = static_cast<std::uint32_t>(in.size());
    in.push_back(slot);
  }

  void unlist(Slot slot) {
    std::vector<Slot>& in = ranks_[entries_[slot].rank];
    const std::uint32_t place = entries_[slot].place;
    in[place] = in.back();
    entries_[in[place]].place = place;
    in.pop_back();
  }

  // Takes a slot out of the table and moves back what was pushed on by it (Knuth, vol. 3, 6.4, algorithm R).
  void take_out(Slot slot) {
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
      if (entries_[slot].held) {
        std::size_t at = bucket(entries_[slot].key);
        while (table_[at] != kNone) {
          at = (at + 1) & (buckets - 1);
        }
        table_[at] = slot;
      }
    }
  }

  KeepWeights weights_;
  std::deque<Entry> entries_;
  std::vector<Slot> table_;
  std::array<std::vector<Slot>, kRanks> ranks_;
  Slot free_ = kNone;
  std::size_t size_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace trailcourse::store
