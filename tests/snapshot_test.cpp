// Snapshots: what is written reads back, every flipped bit and every cut is refused, and what does not fit
// this router, this fleet or this time is not believed.
#include "snapshot/snapshot.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
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

constexpr std::int64_t kNow = 1'800'000'000'000;

Snapshot made() {
  Snapshot out;
  out.fleet = "fleet";
  out.router = "r1";
  out.board_address = "127.0.0.1:2379";
  out.board_id = "b7";
  out.confirmed_ms = kNow - 4'000;
  out.saved_ms = kNow - 3'000;
  out.page = {{"rev", 9U},
              {"notices",
               {{{"rev", 8U}, {"pool", {{"snapshot", true}, {"endpoints", json::array()}}}},
                {{"rev", 9U}, {"flush", {{"collection", 3}, {"ms", kNow}}}}}}};
  return out;
}
Expected expected() { return {"fleet", "r1", kNow, 60'000}; }

std::optional<Refusal> refusal(const std::string& bytes, const Expected& wanted = expected()) {
  const auto read = read_snapshot(bytes, wanted);
  const auto* why = std::get_if<Refusal>(&read);
  return why != nullptr ? std::optional<Refusal>(*why) : std::nullopt;
}

TEST(SnapshotTest, WhatIsWrittenReadsBack) {
  const auto read = read_snapshot(write_snapshot(made()), expected());
  ASSERT_TRUE(std::holds_alternative<Snapshot>(read));
  const Snapshot& got = std::get<Snapshot>(read);
  EXPECT_EQ(got.page, made().page);
  EXPECT_EQ(got.last(), 9U);
  EXPECT_EQ(got.board_id, "b7");
  EXPECT_EQ(got.confirmed_ms, made().confirmed_ms);
}

TEST(SnapshotTest, EveryCutAndEveryFlippedBitIsRefused) {
  const std::string good = write_snapshot(made());
  for (std::size_t size = 0; size < good.size(); ++size) {
    EXPECT_TRUE(refusal(good.substr(0, size)).has_value()) << "cut at " << size;
  }
  for (std::size_t place = 0; place < good.size(); ++place) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = good;
      bad[place] = static_cast<char>(bad[place] ^ (1 << bit));
      EXPECT_TRUE(refusal(bad).has_value()) << "bit " << bit << " of byte " << place;
    }
  }
  EXPECT_EQ(refusal(good + "x"), Refusal::kRotten);
  EXPECT_EQ(refusal(""), Refusal::kTorn);
}

TEST(SnapshotTest, SeededSpoiltBytesAreRefusedOrReadWhole) {
  const std::string good = write_snapshot(made());
  std::mt19937 random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good;
    for (unsigned n = random() % 4 + 1; n > 0; --n) {
      const std::size_t place = random() % bad.size();
      switch (random() % 3) {
        case 0:
          bad[place] = static_cast<char>(random());
          break;
        case 1:
          bad.erase(place, random() % 9);
          break;
        default:
          bad.insert(place, std::string(random() % 9, static_cast<char>(random())));
      }
    }
    if (bad != good) {
      EXPECT_TRUE(refusal(bad).has_value());
    }
  }
}

TEST(SnapshotTest, WhatDoesNotFitIsNotBelieved) {
  Expected wanted = expected();
  wanted.fleet = "other";
  EXPECT_EQ(refusal(write_snapshot(made()), wanted), Refusal::kFleet);
  wanted = expected();
  wanted.router = "r2";
  EXPECT_EQ(refusal(write_snapshot(made()), wanted), Refusal::kRouter);
  wanted = expected();
  wanted.now_ms = kNow + 57'000;
  EXPECT_EQ(refusal(write_snapshot(made()), wanted), Refusal::kOld);
  wanted.now_ms = kNow - 5'000;
  EXPECT_EQ(refusal(write_snapshot(made()), wanted), Refusal::kFuture) << "the clock was set back";
  std::string other = write_snapshot(made());
  other.replace(other.find(" 1 "), 3, " 2 ");
  EXPECT_EQ(refusal(other), Refusal::kVersion);
  Snapshot odd = made();
  odd.page = {{"rev", "nine"}};
  EXPECT_EQ(refusal(write_snapshot(odd)), Refusal::kForm);
}

TEST(WriterTest, WritesSoonAfterAChangeThenNowAndThenAndRarelyWhileItFails) {
  SnapshotOptions options;
  options.write_ms = 1'000;
  options.confirm_ms = 10'000;
  Writer writer(options, 1);
  EXPECT_EQ(writer.due(), std::nullopt);
  writer.changed(100);
  EXPECT_EQ(writer.due(), 100);
  writer.begun(100);
  EXPECT_EQ(writer.due(), std::nullopt) << "one at a time";
  writer.changed(120);
  EXPECT_FALSE(writer.ended(130, true));
  EXPECT_GE(*writer.due(), 630);
  EXPECT_LE(*writer.due(), 1'130);
  const std::int64_t second = *writer.due();
  writer.begun(second);
  EXPECT_FALSE(writer.ended(second, true));
  EXPECT_EQ(writer.due(), std::nullopt);
  writer.confirmed(second + 1);
  EXPECT_GE(*writer.due(), second + 5'000);
  // A full disk: told once, tried more and more rarely, told once when it is over.
  std::int64_t now = *writer.due();
  std::int64_t pause = 0;
  for (int failure = 0; failure < 12; ++failure) {
    writer.begun(now);
    EXPECT_EQ(writer.ended(now, false), failure == 0);
    const std::int64_t next = *writer.due();
    EXPECT_LE(next - now, 300'000);
    pause = std::max(pause, next - now);
    now = next;
  }
  EXPECT_GT(pause, 100'000);
  writer.begun(now);
  EXPECT_TRUE(writer.ended(now, true));
}

class FolderTest : public testing::Test {
 protected:
  FolderTest() : path_(testing::TempDir() + "trailcourse-snapshot-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(path_);
  }
  ~FolderTest() override { std::filesystem::remove_all(path_); }
  std::string path_;
};

TEST_F(FolderTest, StoresWholeReplacesAndIsHeldByOneAlone) {
  {
    const SnapshotFolder folder(path_);
    EXPECT_EQ(folder.load(), std::nullopt);
    folder.store("one");
    folder.store("two");
    EXPECT_EQ(folder.load(), "two");
    try {
      const SnapshotFolder second(path_);
      FAIL() << "two hold it";
    } catch (const std::system_error& error) {
      EXPECT_EQ(error.code().value(), EWOULDBLOCK);
    }
  }
  // What a killed writer leaves behind is passed over.
  std::ofstream(path_ + "/snapshot.next") << "half";
  const SnapshotFolder again(path_);
  EXPECT_EQ(again.load(), "two");
}

TEST_F(FolderTest, WhereItCannotWriteTheOldOneStands) {
  const SnapshotFolder folder(path_);
  folder.store("one");
  std::filesystem::create_directories(path_ + "/snapshot.next");  // in its way
  EXPECT_THROW(folder.store("two"), std::system_error);
  EXPECT_EQ(folder.load(), "one");
  EXPECT_THROW(SnapshotFolder("/proc/no/such/folder"), std::system_error);
}

}  // namespace
}  // namespace trailcourse::snapshot
