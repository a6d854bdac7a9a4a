#include "store/format.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <type_traits>
#include <utility>

namespace trailcourse::store {
namespace {

static_assert(std::endian::native == std::endian::little,
              "put() and get() copy numbers without converting them to little-endian");

constexpr std::string_view kSegmentMagic = "TCSEG1\r\n";
constexpr std::uint32_t kRecordMagic = 0x31524354;  // "TCR1"
constexpr std::uint8_t kCompressedFlag = 0x80;
constexpr std::size_t kHeaderSumOffset = 88;
constexpr std::size_t kMinCompressedBytes = 256;
constexpr int kCompressionLevel = 1;
constexpr std::uint32_t kMaxPayloadBytes = 256U << 20U;

template <typename Number>
void put(std::string& out, Number value) {
  static_assert(std::is_integral_v<Number>);
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof value);
}

template <typename Number>
Number get(std::string_view bytes, std::size_t at) {
  Number value{};
  std::memcpy(&value, bytes.data() + at, sizeof value);
  return value;
}

std::uint64_t position_seed(SegmentId segment, std::uint64_t offset) {
  return (std::uint64_t{segment} << 32U) ^ offset ^ 0x7472616975726365U;
}

// Returns the checksum over header, name and tag of a record at this position.
std::uint64_t header_sum(std::string_view record, std::size_t names, SegmentId segment,
                         std::uint64_t offset) {
  const std::uint64_t head =
      XXH3_64bits_withSeed(record.data(), kHeaderSumOffset, position_seed(segment, offset));
  return XXH3_64bits_withSeed(record.data() + kRecordHeadBytes, names, head);
}

// Returns the compressed payload; empty if that does not save at least an eighth.
std::string compress_payload(std::string_view raw) {
  std::string out(ZSTD_compressBound(raw.size()), '\0');
  const std::size_t size = ZSTD_compress(out.data(), out.size(), raw.data(), raw.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size > raw.size() - raw.size() / 8) {
    return {};
  }
  out.resize(size);
  return out;
}

void set_error(std::string* error, const char* message) {
  if (error != nullptr) {
    *error = message;
  }
}

}  // namespace

std::uint64_t checksum_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string encode_segment_head(SegmentId id) {
  std::string out(kSegmentMagic);
  put<std::uint32_t>(out, kFormatVersion);
  put<std::uint32_t>(out, 0);
  put<std::uint64_t>(out, id);
  put<std::uint64_t>(out, checksum_of(out));
  return out;
}

bool is_segment_head(std::string_view bytes, SegmentId id) {
  return bytes.size() >= kSegmentHeadBytes && bytes.substr(0, kSegmentHeadBytes) == encode_segment_head(id);
}

void append_record(std::string& out, const Record& record, std::string_view payload, SegmentId segment,
                   std::uint64_t offset, bool compress) {
  const std::string packed =
      compress && payload.size() >= kMinCompressedBytes ? compress_payload(payload) : std::string();
  const std::string_view stored = packed.empty() ? payload : std::string_view(packed);
  const std::size_t begin = out.size();
  put<std::uint32_t>(out, kRecordMagic);
  put<std::uint16_t>(out, static_cast<std::uint16_t>(kFormatVersion));
  put<std::uint8_t>(out, static_cast<std::uint8_t>(static_cast<unsigned>(record.kind) |
                                                   (packed.empty() ? 0U : unsigned{kCompressedFlag})));
  put<std::uint8_t>(out, record.rank);
  put(out, record.key.high);
  put(out, record.key.low);
  put(out, record.copy);
  put(out, record.origin_time_ms);
  put<std::uint16_t>(out, static_cast<std::uint16_t>(record.group + 1));
  put<std::uint16_t>(out, static_cast<std::uint16_t>(record.name.size()));
  put<std::uint16_t>(out, static_cast<std::uint16_t>(record.tag.size()));
  put<std::uint16_t>(out, 0);
  put<std::uint32_t>(out, static_cast<std::uint32_t>(payload.size()));
  put<std::uint32_t>(out, static_cast<std::uint32_t>(stored.size()));
  put(out, record.total_bytes);
  put(out, record.part);
  put(out, record.part_bytes);
  put<std::uint32_t>(out, 0);
  put(out, record.value_sum);
  put(out, checksum_of(stored));
  put<std::uint64_t>(out, 0);
  out += record.name;
  out += record.tag;
  const std::size_t names = record.name.size() + record.tag.size();
  const std::uint64_t sum = header_sum(std::string_view(out).substr(begin), names, segment, offset);
  std::memcpy(out.data() + begin + kHeaderSumOffset, &sum, sizeof sum);
  out += stored;
}

std::string encode_record(const Record& record, SegmentId segment, std::uint64_t offset, bool compress) {
  std::string out;
  out.reserve(kRecordHeadBytes + record.name.size() + record.tag.size() + record.payload.size());
  append_record(out, record, record.payload, segment, offset, compress);
  return out;
}

std::optional<RecordHead> decode_head(std::string_view bytes) {
  if (bytes.size() < kRecordHeadBytes || get<std::uint32_t>(bytes, 0) != kRecordMagic ||
      get<std::uint16_t>(bytes, 4) != kFormatVersion) {
    return std::nullopt;
  }
  RecordHead head;
  const auto flags = get<std::uint8_t>(bytes, 6);
  const unsigned kind = flags & 0x7fU;
  if (kind > static_cast<unsigned>(RecordKind::kPart)) {
    return std::nullopt;
  }
  head.compressed = (flags & kCompressedFlag) != 0;
  Record& record = head.record;
  record.kind = static_cast<RecordKind>(kind);
  record.rank = get<std::uint8_t>(bytes, 7);
  record.key = Key{get<std::uint64_t>(bytes, 8), get<std::uint64_t>(bytes, 16)};
  record.copy = get<std::uint64_t>(bytes, 24);
  record.origin_time_ms = get<std::int64_t>(bytes, 32);
  record.group = static_cast<int>(get<std::uint16_t>(bytes, 40)) - 1;
  head.name_bytes = get<std::uint16_t>(bytes, 42);
  head.tag_bytes = get<std::uint16_t>(bytes, 44);
  head.raw_bytes = get<std::uint32_t>(bytes, 48);
  head.stored_bytes = get<std::uint32_t>(bytes, 52);
  record.total_bytes = get<std::uint32_t>(bytes, 56);
  record.part = get<std::uint32_t>(bytes, 60);
  record.part_bytes = get<std::uint32_t>(bytes, 64);
  record.value_sum = get<std::uint64_t>(bytes, 72);
  head.payload_sum = get<std::uint64_t>(bytes, 80);
  const bool usable = head.name_bytes <= kMaxNameBytes && head.tag_bytes <= kMaxTagBytes && record.rank < 4 &&
                      head.raw_bytes <= kMaxPayloadBytes && head.stored_bytes <= kMaxPayloadBytes &&
                      (head.compressed || head.raw_bytes == head.stored_bytes);
  return usable ? std::optional<RecordHead>(head) : std::nullopt;
}

std::optional<Record> decode_record(std::string bytes, SegmentId segment, std::uint64_t offset,
                                    std::string* error) {
  const std::optional<RecordHead> head = decode_head(bytes);
  if (!head) {
    set_error(error, "no valid record header");
    return std::nullopt;
  }
  if (bytes.size() < head->size()) {
    set_error(error, "truncated");
    return std::nullopt;
  }
  const std::size_t names = head->name_bytes + head->tag_bytes;
  if (header_sum(bytes, names, segment, offset) != get<std::uint64_t>(bytes, kHeaderSumOffset)) {
    set_error(error, "header checksum does not match");
    return std::nullopt;
  }
  const std::string_view stored =
      std::string_view(bytes).substr(kRecordHeadBytes + names, head->stored_bytes);
  if (checksum_of(stored) != head->payload_sum) {
    set_error(error, "payload checksum does not match");
    return std::nullopt;
  }
  Record record = head->record;
  record.name = std::string_view(bytes).substr(kRecordHeadBytes, head->name_bytes);
  record.tag = std::string_view(bytes).substr(kRecordHeadBytes + head->name_bytes, head->tag_bytes);
  if (!head->compressed) {
    // The payload reuses the buffer: moving the bytes to its front costs less than the page faults of a new
    // one.
    bytes.resize(head->size());
    bytes.erase(0, kRecordHeadBytes + names);
    record.payload = std::move(bytes);
    return record;
  }
  record.payload.resize(head->raw_bytes);
  const std::size_t size =
      ZSTD_decompress(record.payload.data(), record.payload.size(), stored.data(), stored.size());
  if (ZSTD_isError(size) != 0 || size != head->raw_bytes) {
    set_error(error, "payload cannot be decompressed");
    return std::nullopt;
  }
  return record;
}

std::optional<std::string> relocate_record(std::string_view bytes, SegmentId segment, std::uint64_t offset,
                                           SegmentId to_segment, std::uint64_t to_offset) {
  const std::optional<RecordHead> head = decode_head(bytes);
  if (!head || bytes.size() < head->size()) {
    return std::nullopt;
  }
  const std::size_t names = head->name_bytes + head->tag_bytes;
  const std::string_view stored = bytes.substr(kRecordHeadBytes + names, head->stored_bytes);
  if (header_sum(bytes, names, segment, offset) != get<std::uint64_t>(bytes, kHeaderSumOffset) ||
      checksum_of(stored) != head->payload_sum) {
    return std::nullopt;
  }
  std::string out(bytes.substr(0, head->size()));
  const std::uint64_t sum = header_sum(out, names, to_segment, to_offset);
  std::memcpy(out.data() + kHeaderSumOffset, &sum, sizeof sum);
  return out;
}

std::uint32_t part_count(std::uint32_t total_bytes, std::uint32_t part_bytes) {
  return part_bytes == 0 ? 0 : total_bytes / part_bytes + (total_bytes % part_bytes == 0 ? 0 : 1);
}

std::uint32_t part_length(std::uint32_t total_bytes, std::uint32_t part_bytes, std::uint32_t part) {
  const std::uint64_t from = std::uint64_t{part} * part_bytes;
  return from >= total_bytes
             ? 0
             : static_cast<std::uint32_t>(std::min<std::uint64_t>(part_bytes, total_bytes - from));
}

}  // namespace trailcourse::store
