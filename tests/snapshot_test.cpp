// Tests of snapshots: an encoded snapshot decodes to the same content, each flipped bit and each truncation
// is detected, and a snapshot of another router or fleet, an expired one or one from the future is not used.
#include "snapshot/snapshot.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <system_error>

#include "snapshot/snapshot_directory.h"
#include "snapshot/write_scheduler.h"

namespace trailcourse::snapshot {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr milliseconds kNowMs{1'800'000'000'000};
constexpr UnixTime kNow(kNowMs);

Snapshot sample_snapshot() {
  Snapshot out;
  out.fleet = "fleet";
  out.router = "r1";
  out.source_address = "127.0.0.1:2379";
  out.source_id = "b7";
  out.confirmed_at = kNow - 4s;
  out.saved_at = kNow - 3s;
  out.page = {{"rev", 9U},
              {"notices",
               {{{"rev", 8U}, {"pool", {{"snapshot", true}, {"endpoints", json::array()}}}},
                {{"rev", 9U}, {"flush", {{"collection", 3}, {"ms", kNowMs.count()}}}}}}};
  return out;
}
SnapshotContext context() { return {"fleet", "r1", kNow, 60s}; }

std::optional<SnapshotError> error_of(const std::string& bytes, const SnapshotContext& expected = context()) {
  const auto decoded = decode_snapshot(bytes, expected);
  return decoded ? std::nullopt : std::optional<SnapshotError>(decoded.error());
}

TEST(SnapshotTest, AnEncodedSnapshotDecodesToTheSameContent) {
  const auto decoded = decode_snapshot(encode_snapshot(sample_snapshot()), context());
  ASSERT_TRUE(decoded.has_value());
  const Snapshot& snapshot = *decoded;
  EXPECT_EQ(snapshot.page, sample_snapshot().page);
  EXPECT_EQ(snapshot.last_sequence(), 9U);
  EXPECT_EQ(snapshot.source_id, "b7");
  EXPECT_EQ(snapshot.confirmed_at, sample_snapshot().confirmed_at);
}

TEST(SnapshotTest, DetectsEachTruncationAndEachFlippedBit) {
  const std::string good = encode_snapshot(sample_snapshot());
  for (std::size_t size = 0; size < good.size(); ++size) {
    EXPECT_TRUE(error_of(good.substr(0, size)).has_value()) << "cut at " << size;
  }
  for (std::size_t position = 0; position < good.size(); ++position) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = good;
      bad[position] = static_cast<char>(bad[position] ^ (1 << bit));
      EXPECT_TRUE(error_of(bad).has_value()) << "bit " << bit << " of byte " << position;
    }
  }
  EXPECT_EQ(error_of(good + "x"), SnapshotError::kChecksum);
  EXPECT_EQ(error_of(""), SnapshotError::kTruncated);
}

TEST(SnapshotTest, DetectsRandomDamage) {
  const std::string good = encode_snapshot(sample_snapshot());
  std::mt19937 random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good;
    for (unsigned n = random() % 4 + 1; n > 0; --n) {
      const std::size_t position = random() % bad.size();
      switch (random() % 3) {
        case 0:
          bad[position] = static_cast<char>(random());
          break;
        case 1:
          bad.erase(position, random() % 9);
          break;
        default:
          bad.insert(position, std::string(random() % 9, static_cast<char>(random())));
      }
    }
    if (bad != good) {
      EXPECT_TRUE(error_of(bad).has_value());
    }
  }
}

TEST(SnapshotTest, RejectsASnapshotThatDoesNotMatchTheContext) {
  SnapshotContext expected = context();
  expected.fleet = "other";
  EXPECT_EQ(error_of(encode_snapshot(sample_snapshot()), expected), SnapshotError::kFleet);
  expected = context();
  expected.router = "r2";
  EXPECT_EQ(error_of(encode_snapshot(sample_snapshot()), expected), SnapshotError::kRouter);
  expected = context();
  expected.now = kNow + 57s;
  EXPECT_EQ(error_of(encode_snapshot(sample_snapshot()), expected), SnapshotError::kExpired);
  expected.now = kNow - 5s;
  EXPECT_EQ(error_of(encode_snapshot(sample_snapshot()), expected), SnapshotError::kFromFuture)
      << "the clock was set back";
  std::string other_version = encode_snapshot(sample_snapshot());
  other_version.replace(other_version.find(" 1 "), 3, " 2 ");
  EXPECT_EQ(error_of(other_version), SnapshotError::kVersion);
  Snapshot malformed = sample_snapshot();
  malformed.page = {{"rev", "nine"}};
  EXPECT_EQ(error_of(encode_snapshot(malformed)), SnapshotError::kFormat);
}

SnapshotOptions write_options() {
  SnapshotOptions options;
  options.write_ms = 1'000;
  options.confirm_ms = 10'000;
  return options;
}

TEST(WriteSchedulerTest, WritesAtOnceAfterAChangeAndThenAfterTheWriteInterval) {
  WriteScheduler scheduler(write_options(), 1);
  EXPECT_EQ(scheduler.next_write_at(), std::nullopt);
  scheduler.on_changed(100ms);
  EXPECT_EQ(scheduler.next_write_at(), 100ms);
  scheduler.on_write_started();
  EXPECT_EQ(scheduler.next_write_at(), std::nullopt) << "only one write at a time";
  scheduler.on_changed(120ms);
  EXPECT_FALSE(scheduler.on_write_finished(130ms, true));
  EXPECT_GE(*scheduler.next_write_at(), 630ms);
  EXPECT_LE(*scheduler.next_write_at(), 1'130ms);
}

TEST(WriteSchedulerTest, WritesAConfirmationAfterTheConfirmInterval) {
  WriteScheduler scheduler(write_options(), 1);
  scheduler.on_changed(100ms);
  scheduler.on_write_started();
  EXPECT_FALSE(scheduler.on_write_finished(130ms, true));
  EXPECT_EQ(scheduler.next_write_at(), std::nullopt);
  scheduler.on_confirmed();
  EXPECT_GE(*scheduler.next_write_at(), 130ms + 5s);
  EXPECT_LE(*scheduler.next_write_at(), 130ms + 10s);
}

// As with a full disk: the first failure and the first success after failures are reported.
TEST(WriteSchedulerTest, RetriesFailedWritesWithGrowingBackoffAndReportsThemOnce) {
  WriteScheduler scheduler(write_options(), 1);
  scheduler.on_changed(100ms);
  milliseconds now = *scheduler.next_write_at();
  milliseconds backoff(0);
  for (int failure = 0; failure < 12; ++failure) {
    scheduler.on_write_started();
    EXPECT_EQ(scheduler.on_write_finished(now, false), failure == 0);
    const milliseconds next = *scheduler.next_write_at();
    EXPECT_LE(next - now, 300s);
    backoff = std::max(backoff, next - now);
    now = next;
  }
  EXPECT_GT(backoff, 100s);
  scheduler.on_write_started();
  EXPECT_TRUE(scheduler.on_write_finished(now, true));
}

class SnapshotDirectoryTest : public testing::Test {
 public:
  SnapshotDirectoryTest() : path_(testing::TempDir() + "trailcourse-snapshot-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(path_);
  }
  ~SnapshotDirectoryTest() override { std::filesystem::remove_all(path_); }

 protected:
  std::string path_;
};

TEST_F(SnapshotDirectoryTest, StoresAndReplacesTheSnapshotAndLocksOutASecondUser) {
  {
    const SnapshotDirectory directory(path_);
    EXPECT_EQ(directory.load(), std::nullopt);
    directory.store("one");
    directory.store("two");
    EXPECT_EQ(directory.load(), "two");
    try {
      const SnapshotDirectory second(path_);
      FAIL() << "the lock was acquired twice";
    } catch (const std::system_error& error) {
      EXPECT_EQ(error.code().value(), EWOULDBLOCK);
    }
  }
  // The incomplete file of a writer that was killed is ignored.
  std::ofstream(path_ + "/snapshot.next") << "half";
  const SnapshotDirectory reopened(path_);
  EXPECT_EQ(reopened.load(), "two");
}

TEST_F(SnapshotDirectoryTest, AFailedWriteLeavesTheOldSnapshotInPlace) {
  const SnapshotDirectory directory(path_);
  directory.store("one");
  std::filesystem::create_directories(path_ + "/snapshot.next");  // blocks the new file
  EXPECT_THROW(directory.store("two"), std::system_error);
  EXPECT_EQ(directory.load(), "one");
  EXPECT_THROW(SnapshotDirectory("/proc/no/such/folder"), std::system_error);
}

}  // namespace
}  // namespace trailcourse::snapshot
