// The format of segment files: a header, then records. All numbers are little-endian. Each record has two
// XXH3 checksums: one over its header, name and tag, and one over its payload. The first is seeded with the
// position of the record (segment and offset), so that a record is invalid at any other position, for example
// when an older file left it in disk blocks that a segment reuses.
//
//   segment header, 32 bytes: "TCSEG1\r\n", version u32, zero u32, segment u64, checksum u64
//   record header, 96 bytes:  magic u32, version u16, flags u8, rank u8, key 16, copy u64, origin time i64,
//                             group+1 u16, name length u16, tag length u16, zero u16, raw bytes u32, stored
//                             bytes u32, total bytes u32, part u32, part size u32, zero u32, value checksum
//                             u64, payload checksum u64, header checksum u64
//   then name, tag, payload
//
// Library `store`; no I/O. Thread-safe: the functions depend on their arguments only.
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
constexpr std::size_t kMaxNameBytes = 512;
constexpr std::size_t kMaxTagBytes = 256;

std::string encode_segment_head(SegmentId id);
// Returns whether `bytes` begins with the header of that segment in this version.
bool is_segment_head(std::string_view bytes, SegmentId id);

enum class RecordKind : std::uint8_t {
  kSingle = 0,    // a complete value
  kManifest = 1,  // describes a value that is stored in parts; no payload
  kPart = 2,
};

// The content of one record.
struct Record {
  RecordKind kind = RecordKind::kSingle;
  std::uint8_t rank = 0;
  Key key;
  std::uint64_t copy = 0;  // copy_id()
  std::int64_t origin_time_ms = 0;
  int group = kUnknownGroup;
  std::string name;
  std::string tag;
  std::uint32_t total_bytes = 0;  // of the complete value
  std::uint32_t part = 0;
  std::uint32_t part_bytes = 0;  // size of each part except the last
  std::uint64_t value_sum = 0;   // XXH3 of the complete value
  std::string payload;           // uncompressed
};

// A decoded record header whose checksums have not been checked.
struct RecordHead {
  Record record;  // without name, tag and payload
  std::size_t name_bytes = 0;
  std::size_t tag_bytes = 0;
  std::uint32_t raw_bytes = 0;
  std::uint32_t stored_bytes = 0;
  bool compressed = false;
  std::uint64_t payload_sum = 0;
  // Returns the length of the complete record.
  std::size_t size() const { return kRecordHeadBytes + name_bytes + tag_bytes + stored_bytes; }
};

// Returns the XXH3 checksum of `bytes`.
std::uint64_t checksum_of(std::string_view bytes);

// Appends a record to `out`, encoded for `offset` in `segment`. Writes `payload` in place of record.payload,
// so that the caller need not copy it into the record. `compress`: compresses the payload with zstd if that
// saves at least an eighth.
void append_record(std::string& out, const Record& record, std::string_view payload, SegmentId segment,
                   std::uint64_t offset, bool compress);
// Returns a record with its own payload, encoded as by append_record().
std::string encode_record(const Record& record, SegmentId segment, std::uint64_t offset, bool compress);

// Returns the record header that `bytes` begins with; nothing if it is not a valid one. The checksums are not
// checked.
std::optional<RecordHead> decode_head(std::string_view bytes);

// Decodes a complete record and checks both checksums. Returns nothing and sets `error` if the record is
// damaged or was encoded for another position.
std::optional<Record> decode_record(std::string bytes, SegmentId segment, std::uint64_t offset,
                                    std::string* error = nullptr);

// Checks a record and returns its bytes, encoded for another position; nothing if the record is damaged.
std::optional<std::string> relocate_record(std::string_view bytes, SegmentId segment, std::uint64_t offset,
                                           SegmentId to_segment, std::uint64_t to_offset);

// Returns the number of parts of a value.
std::uint32_t part_count(std::uint32_t total_bytes, std::uint32_t part_bytes);
// Returns the length of a part of a value; 0 if `part` is after the last one.
std::uint32_t part_length(std::uint32_t total_bytes, std::uint32_t part_bytes, std::uint32_t part);

}  // namespace trailcourse::store
