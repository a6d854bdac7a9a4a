// Tracks the size and the live bytes of each segment file, and chooses the segment to clear next. A segment
// is written once from front to end and never changed, so disk space is freed by clearing a complete segment:
// its records that are kept are rewritten to another segment, then the file is removed.
//
// Library `store`; no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace trailcourse::store {

using SegmentId = std::uint32_t;

// The segments of one folder. The caller updates sizes and flags as it writes and clears segments.
class SegmentTable {
 public:
  struct Segment {
    std::uint64_t bytes = 0;  // of the file
    std::uint64_t live = 0;   // bytes of records that the index refers to
    bool sealed = false;      // nothing more is written to it
    bool clearing = false;
  };

  // `max_bytes` bounds all files together; `reserve` bytes of that stay free for what is written while a
  // segment is cleared.
  SegmentTable(std::uint64_t max_bytes, std::uint64_t reserve)
      : configured_max_bytes_(max_bytes), max_bytes_(max_bytes), reserve_(reserve) {}

  // Sets the file size of a segment; adds the segment if it is new.
  void set_file_bytes(SegmentId id, std::uint64_t file_bytes) { segments_[id].bytes = file_bytes; }
  void mark_sealed(SegmentId id) { segments_[id].sealed = true; }
  void add_live(SegmentId id, std::uint64_t bytes) { segments_[id].live += bytes; }
  void remove_live(SegmentId id, std::uint64_t bytes);
  void mark_clearing(SegmentId id) { segments_[id].clearing = true; }
  // Records that a segment could not be cleared; next_to_clear() may return it again.
  void cancel_clearing(SegmentId id) { segments_[id].clearing = false; }
  void remove(SegmentId id) { segments_.erase(id); }

  std::uint64_t file_bytes() const;
  std::uint64_t live_bytes() const;
  std::size_t count() const { return segments_.size(); }
  const std::map<SegmentId, Segment>& all() const { return segments_; }

  // Lowers the bound until restore(), because the disk is smaller than configured. Never raises the bound.
  void shrink(std::uint64_t max_bytes) { max_bytes_ = max_bytes < max_bytes_ ? max_bytes : max_bytes_; }
  void restore() { max_bytes_ = configured_max_bytes_; }
  std::uint64_t max_bytes() const { return max_bytes_; }

  // Returns the segment to clear next: a sealed segment without live records at any time, or, when space is
  // short, the sealed segment with the smallest live share. Returns nothing while a segment is being cleared.
  std::optional<SegmentId> next_to_clear() const;
  // Returns whether a write of `bytes` fits the bound.
  bool has_room_for(std::uint64_t bytes) const { return file_bytes() + bytes <= max_bytes_; }

 private:
  std::uint64_t configured_max_bytes_;
  std::uint64_t max_bytes_;
  std::uint64_t reserve_;
  std::map<SegmentId, Segment> segments_;
};

}  // namespace trailcourse::store
