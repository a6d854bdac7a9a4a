// The format of segment files: written records are decoded to the same values, and damaged records are
// rejected.
#include "store/format.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace trailcourse::store {
namespace {

constexpr SegmentId kSegment = 9;
constexpr std::uint64_t kOffset = 4'096;

Record make_record(std::size_t size, bool compressible) {
  std::mt19937 random(17);
  Record record;
  record.rank = 2;
  record.key = key_of("media/7f3a9c21e0b4d655/0");
  record.copy = 77;
  record.origin_time_ms = 1'764'576'000'123;
  record.group = 17;
  record.name = "media/7f3a9c21e0b4d655/0";
  record.tag = "4be0c1927d55a6f3";
  record.total_bytes = static_cast<std::uint32_t>(size);
  record.value_sum = 5;
  for (std::size_t i = 0; i < size; ++i) {
    record.payload += compressible ? static_cast<char>('a' + i % 3) : static_cast<char>(random());
  }
  return record;
}

TEST(Format, DecodesWhatWasEncoded) {
  for (const bool compressible : {false, true}) {
    for (const std::size_t size : {0U, 1U, 255U, 4'096U, 100'000U}) {
      const Record record = make_record(size, compressible);
      const std::string bytes = encode_record(record, kSegment, kOffset, true);
      const std::optional<Record> decoded = decode_record(bytes, kSegment, kOffset);
      ASSERT_TRUE(decoded.has_value());
      EXPECT_EQ(decoded->payload, record.payload);
      EXPECT_EQ(decoded->name, record.name);
      EXPECT_EQ(decoded->tag, record.tag);
      EXPECT_EQ(decoded->group, record.group);
      EXPECT_EQ(decoded->origin_time_ms, record.origin_time_ms);
      EXPECT_EQ(decoded->key, record.key);
      EXPECT_EQ(decoded->rank, record.rank);
      const std::size_t uncompressed = kRecordHeadBytes + record.name.size() + record.tag.size() + size;
      EXPECT_EQ(bytes.size() < uncompressed, compressible && size > 255);
    }
  }
}

TEST(Format, RejectsARecordWithAFlippedBit) {
  const std::string good = encode_record(make_record(600, true), kSegment, kOffset, true);
  for (std::size_t at = 0; at < good.size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ (1 << bit));
      EXPECT_FALSE(decode_record(bad, kSegment, kOffset).has_value()) << "byte " << at << " bit " << bit;
    }
  }
}

TEST(Format, RejectsARecordOfAnotherPlace) {
  const std::string good = encode_record(make_record(100, false), kSegment, kOffset, false);
  EXPECT_FALSE(decode_record(good, kSegment + 1, kOffset).has_value());
  EXPECT_FALSE(decode_record(good, kSegment, kOffset + 512).has_value());
  const std::optional<std::string> moved = relocate_record(good, kSegment, kOffset, kSegment + 1, 32);
  ASSERT_TRUE(moved.has_value());
  EXPECT_TRUE(decode_record(*moved, kSegment + 1, 32).has_value());
  EXPECT_FALSE(decode_record(*moved, kSegment, kOffset).has_value());
}

TEST(Format, DoesNotMoveADamagedRecord) {
  std::string bad = encode_record(make_record(100, false), kSegment, kOffset, false);
  bad.back() = static_cast<char>(bad.back() ^ 1);
  EXPECT_FALSE(relocate_record(bad, kSegment, kOffset, 1, 32).has_value());
}

// Random changes, deletions and repetitions of bytes: a record is decoded only if its bytes are unchanged.
TEST(Format, RejectsMutatedRecords) {
  std::mt19937 random(41);
  for (const RecordKind kind : {RecordKind::kSingle, RecordKind::kManifest, RecordKind::kPart}) {
    Record record = make_record(kind == RecordKind::kManifest ? 0 : 900, true);
    record.kind = kind;
    record.part_bytes = 300;
    record.part = 2;
    const std::string good = encode_record(record, kSegment, kOffset, true);
    int rejected = 0;
    for (int round = 0; round < 3'000; ++round) {
      std::string bad = good;
      for (auto changes = 1 + random() % 4; changes > 0 && !bad.empty(); --changes) {
        const std::size_t place = random() % bad.size();
        switch (random() % 4) {
          case 0:
            bad[place] = static_cast<char>(random());
            break;
          case 1:
            bad.erase(place, 1 + random() % 16);
            break;
          case 2:
            bad.insert(place, bad.substr(place, 1 + random() % 16));
            break;
          default:
            bad.resize(place);
        }
      }
      const std::optional<Record> read = decode_record(bad, kSegment, kOffset);
      if (read) {
        ASSERT_EQ(bad.substr(0, good.size()), good) << "round " << round;
      }
      rejected += read ? 0 : 1;
    }
    EXPECT_GT(rejected, 2'500);
  }
}

TEST(Format, RejectsSegmentHeadersOfAnotherNumberOrVersion) {
  const std::string head = encode_segment_head(kSegment);
  EXPECT_EQ(head.size(), kSegmentHeadBytes);
  EXPECT_TRUE(is_segment_head(head, kSegment));
  EXPECT_FALSE(is_segment_head(head, kSegment + 1));
  EXPECT_FALSE(is_segment_head(head.substr(1), kSegment));
  for (std::size_t at = 0; at < head.size(); ++at) {
    std::string bad = head;
    bad[at] = static_cast<char>(bad[at] ^ 4);
    EXPECT_FALSE(is_segment_head(bad, kSegment)) << at;
  }
}

TEST(Format, SplitsAValueIntoPartsOfItsTotalLength) {
  for (const std::uint32_t total : {1U, 4'095U, 4'096U, 4'097U, 100'000U}) {
    std::uint32_t sum = 0;
    for (std::uint32_t part = 0; part < part_count(total, 4'096); ++part) {
      sum += part_length(total, 4'096, part);
    }
    EXPECT_EQ(sum, total);
    EXPECT_EQ(part_length(total, 4'096, part_count(total, 4'096)), 0U);
  }
}

}  // namespace
}  // namespace trailcourse::store
