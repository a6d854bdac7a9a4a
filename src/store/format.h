// The bytes of segment files: a head, then records. All numbers are little-endian. Each record carries two
// XXH3 sums: one over its header, name and tag, seeded with where it stands, and one over its payload. The
// seed makes a record that was copied, or that an older file left in the blocks of the disk, not pass as one
// of this place.
//
//   segment head, 32 bytes: "TCSEG1\r\n", version u32, zero u32, segment u64, sum u64
//   record, 96 bytes:       magic u32, version u16, flags u8, rank u8, key 16, copy u64, t0 i64, group+1 u16,
//                           name length u16, tag length u16, zero u16, raw u32, stored u32, total u32, part
//                           u32, part size u32, zero u32, whole sum u64, payload sum u64, header sum u64
//   then name, tag, payload
//
// Package `store`; no I/O. Thread-safe: functions of their arguments alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/key.h"
#include "store/segment_table.h"

namespace trailcourse::store {

constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kSegmentHeadBytes = 32;
constexpr std::size_t kRecordHeadBytes = 96;
constexpr std::size_t kMostName = 512;
constexpr std::size_t kMostTag = 256;

std::string encode_segment_head(SegmentId id);
// Whether these are the first bytes of that segment in this version.
bool good_segment_head(std::string_view bytes, SegmentId id);

enum class RecordKind : std::uint8_t {
  kWhole = 0,     // a value of one part
  kManifest = 1,  // says what the parts make up; no payload
  kPart = 2,
};

struct Record {
  RecordKind kind = RecordKind::kWhole;
  std::uint8_t rank = 0;
  Key key;
  std::uint64_t copy = 0;
  std::int64_t t0_ms = 0;
  int group = kUnknownGroup;
  std::string name;
  std::string tag;
  std::uint32_t total_bytes = 0;  // of the whole value
  std::uint32_t part = 0;
  std::uint32_t part_bytes = 0;  // size of each part but the last
  std::uint64_t whole_sum = 0;   // XXH3 of the whole value
  std::string payload;           // as it was before compression
};

// What stands in a record's header, before its payload is looked at.
struct RecordHead {
  Record record;  // without name, tag and payload
  std::size_t name_bytes = 0;
  std::size_t tag_bytes = 0;
  std::uint32_t raw_bytes = 0;
  std::uint32_t stored_bytes = 0;
  bool compressed = false;
  std::uint64_t payload_sum = 0;
  std::size_t size() const { return kRecordHeadBytes + name_bytes + tag_bytes + stored_bytes; }
};

std::uint64_t sum_of(std::string_view bytes);

// `compress`: try zstd and keep it where it saves an eighth at least.
// The payload is `payload`, not the record's own, so that it need not be copied into it.
void append_record(std::string& out, const Record& record, std::string_view payload, SegmentId segment,
                   std::uint64_t offset, bool compress);
std::string encode_record(const Record& record, SegmentId segment, std::uint64_t offset, bool compress);

// Reads the header of a record that stands at this place; nothing where it is not one. It does not check the
// sums.
std::optional<RecordHead> decode_head(std::string_view bytes);

// Reads a whole record and checks both sums; nothing where anything is not as it was written. `why` says
// what.
std::optional<Record> decode_record(std::string bytes, SegmentId segment, std::uint64_t offset,
                                    std::string* why = nullptr);

// Checks a record and gives its bytes as they are to stand at another place; nothing where it is damaged.
std::optional<std::string> moved_record(std::string_view bytes, SegmentId segment, std::uint64_t offset,
                                        SegmentId to_segment, std::uint64_t to_offset);

// Parts of a value: how many, and how long one is.
std::uint32_t part_count(std::uint32_t total_bytes, std::uint32_t part_bytes);
std::uint32_t part_length(std::uint32_t total_bytes, std::uint32_t part_bytes, std::uint32_t part);

}  // namespace trailcourse::store
