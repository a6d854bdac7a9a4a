// What of each segment file is still of use, and which is to be cleared next. Segments are written once from
// front to end and never changed, so room comes back only by clearing a whole one: what is worth it is
// written anew elsewhere, then the file goes.
//
// Package `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace trailcourse::store {

using SegmentId = std::uint32_t;

class SegmentTable {
 public:
  struct Segment {
    std::uint64_t bytes = 0;  // of the file
    std::uint64_t live = 0;   // of records that the index names
    bool sealed = false;      // nothing more is written to it
    bool clearing = false;
  };

  // `most`: bytes of all files together; `reserve`: kept free for what is written while one is cleared.
  SegmentTable(std::uint64_t most, std::uint64_t reserve) : told_(most), most_(most), reserve_(reserve) {}

  void grown(SegmentId id, std::uint64_t file_bytes) { segments_[id].bytes = file_bytes; }
  void sealed(SegmentId id) { segments_[id].sealed = true; }
  void live_added(SegmentId id, std::uint64_t bytes) { segments_[id].live += bytes; }
  void live_gone(SegmentId id, std::uint64_t bytes);
  void clearing(SegmentId id) { segments_[id].clearing = true; }
  // It could not be cleared now; it may be tried again.
  void kept(SegmentId id) { segments_[id].clearing = false; }
  void removed(SegmentId id) { segments_.erase(id); }

  std::uint64_t file_bytes() const;
  std::uint64_t live_bytes() const;
  std::size_t count() const { return segments_.size(); }
  const std::map<SegmentId, Segment>& all() const { return segments_; }

  // The disk proved smaller than told: this much, never more than before, until restored.
  void shrink(std::uint64_t most) { most_ = most < most_ ? most : most_; }
  void restore() { most_ = told_; }
  std::uint64_t most() const { return most_; }

  // The next to clear: one that holds nothing of use at any time; where room is short, the one with the
  // smallest share of use; none while one is being cleared, or where there is room.
  std::optional<SegmentId> next_to_clear() const;
  // Whether a write of so many bytes may be begun now.
  bool room_for(std::uint64_t bytes) const { return file_bytes() + bytes <= most_; }

 private:
  std::uint64_t told_;
  std::uint64_t most_;
  std::uint64_t reserve_;
  std::map<SegmentId, Segment> segments_;
};

}  // namespace trailcourse::store
