// The store over a folder in memory: which copies are served after crashes, purges, disk faults and index
// faults. In every case a request gets a complete copy as the origin sent it, or a miss.
#include "store/store.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "crash_states.h"
#include "program/store_commands.h"
#include "store/maintenance.h"
#include "store_stand_ins.h"

namespace trailcourse::store {
namespace {

using testing_support::copy_of;
using testing_support::each_crash_state;
using testing_support::Folder;
using testing_support::name_of;
using testing_support::StoreHarness;

constexpr std::int64_t kT0 = 1'763'999'000'000;

PurgeRecord purge_of(int number, std::int64_t ms) {
  return {PurgeRecord::Kind::kObject, static_cast<std::uint64_t>(number), ms};
}

TEST(Store, ServesStoredCopiesAfterARestart) {
  StoreHarness harness;
  harness.start();
  for (int i = 0; i < 20; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 300 + static_cast<std::size_t>(i) * 1'000, kT0));
  }
  harness.executor->drain();
  harness.start();
  for (int i = 0; i < 20; ++i) {
    const auto copy = harness.get(name_of(i));
    ASSERT_TRUE(copy.has_value()) << i;
    EXPECT_EQ(*copy->bytes, *copy_of(i, 1, 300 + static_cast<std::size_t>(i) * 1'000, kT0).bytes);
    EXPECT_EQ(copy->tag, "tag" + std::to_string(i) + "v1");
    EXPECT_EQ(copy->origin_time_ms, kT0);
    EXPECT_EQ(copy->group, 3);
  }
  EXPECT_TRUE(harness.warnings.empty());
}

TEST(Store, ReturnsMissesForCopiesOnDiskDuringRecovery) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  harness.executor.reset();
  harness.opened = false;
  StoreHarness& again = harness;
  again.executor = std::make_unique<testing_support::ManualExecutor>();
  Store::Storage storage;
  storage.open_directory = [&harness] {
    return std::make_unique<testing_support::MemoryDirectory>(harness.folder);
  };
  storage.index = [&harness] {
    return std::make_unique<testing_support::MemoryIndex>(harness.index, harness.folder);
  };
  harness.options.memory_mb = 8;
  harness.store = std::make_unique<Store>(
      harness.options, *harness.executor, storage,
      [&harness] { return Store::TimeReading{harness.steady_ms, harness.unix_ms}; },
      [](bool, const std::string&) {}, 7);
  harness.store->open([&harness] { harness.opened = true; });
  EXPECT_TRUE(harness.store->recovering());
  EXPECT_EQ(harness.store->find(name_of(1), 2).tier, Store::Tier::kAbsent);
  harness.store->insert(name_of(2), copy_of(2, 1, 500, kT0), 2);
  EXPECT_EQ(harness.store->find(name_of(2), 2).tier, Store::Tier::kMemory)
      << "the memory tier is in use during recovery";
  harness.executor->drain();
  EXPECT_TRUE(harness.opened);
  EXPECT_EQ(harness.store->find(name_of(1), 2).tier, Store::Tier::kDisk);
  // The copy inserted during recovery is written to disk after it.
  harness.options.memory_mb = 0;
  harness.start();
  EXPECT_TRUE(harness.get(name_of(2)).has_value());
}

// Guards against copies that never reach the disk because it could not be written when they were inserted.
TEST(Store, OffersACopyToTheDiskAgainOnAMemoryHit) {
  StoreHarness harness;
  harness.options.memory_mb = 8;
  harness.start();
  harness.folder->room = 0;
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  EXPECT_EQ(harness.store->stats().disk_copies, 0U);
  harness.folder->room = UINT64_MAX;
  harness.steady_ms += 10'000;
  EXPECT_TRUE(harness.get(name_of(1)).has_value());
  EXPECT_TRUE(harness.get(name_of(1)).has_value()) << "a copy that is being written is not written again";
  harness.executor->drain();
  EXPECT_EQ(harness.store->stats().disk_copies, 1U);
  EXPECT_LT(harness.store->stats().written_bytes, 1'000U);
}

// Exhaustive for this history: every prefix, every combination of unsynced writes and names that are present,
// absent or torn, and the index at every commit. A purge in the index applies without being received again,
// and every purge that is received again applies.
TEST(Store, ServesCompleteCopiesOrMissesAfterEveryCrashState) {
  StoreHarness harness;
  harness.start();
  std::map<std::pair<int, std::string>, Copy> inserted;
  const auto insert = [&](int number, int version, std::size_t size, std::int64_t t0) {
    const Copy copy = copy_of(number, version, size, t0);
    inserted[{number, copy.tag}] = copy;
    harness.insert(name_of(number), copy);
  };
  insert(1, 1, 700, kT0);
  harness.executor->drain();
  insert(2, 1, 10'000, kT0 + 1);  // in three parts
  harness.executor->drain();
  insert(1, 2, 1'500, kT0 + 10);  // replaces
  insert(3, 1, 600, kT0 + 11);    // in the same batch as the copy before
  harness.executor->drain();
  harness.store->purge({purge_of(2, kT0 + 20)}, 5);
  harness.executor->drain();
  insert(2, 2, 9'000, kT0 + 30);
  harness.executor->drain();
  harness.store->drop(name_of(1));
  insert(3, 2, 5'000, kT0 + 40);
  harness.executor->drain();
  insert(1, 3, 800, kT0 + 50);
  harness.executor->drain();
  const std::vector<testing_support::FileOp> history = harness.folder->history;
  const std::vector<testing_support::IndexState> states = harness.index->states;

  std::size_t served = 0;
  const std::size_t count = each_crash_state(history, [&](const Folder& folder, std::size_t commit) {
    StoreHarness crashed;
    crashed.folder->now = folder;
    crashed.index->states = {states[commit]};
    crashed.start();
    const auto check_copies = [&](bool purge_repeated) {
      for (int number = 1; number <= 3; ++number) {
        const auto copy = crashed.get(name_of(number));
        if (!copy) {
          continue;
        }
        ++served;
        const auto expected = inserted.find({number, copy->tag});
        ASSERT_NE(expected, inserted.end());
        ASSERT_EQ(*copy->bytes, *expected->second.bytes);
        ASSERT_EQ(copy->origin_time_ms, expected->second.origin_time_ms);
        const bool known = purge_repeated || !states[commit].purges.empty();
        ASSERT_FALSE(known && number == 2 && copy->origin_time_ms <= kT0 + 20) << "a purged copy is served";
      }
    };
    check_copies(false);
    crashed.store->purge({purge_of(2, kT0 + 20)}, 5);
    check_copies(true);
  });
  RecordProperty("crash_states", static_cast<int>(count));
  EXPECT_GT(count, 800U);
  EXPECT_GT(served, count) << "most states serve at least one copy";
}

// Guards against an index that refers to a removed segment file after a crash.
TEST(Store, ServesCompleteCopiesAfterCrashesAroundTheRemovalOfASegment) {
  StoreHarness harness;
  harness.start();
  std::map<std::string, Copy> inserted;
  // Each copy takes more than half of a segment, and replaced copies leave segments without live records.
  for (int i = 0; i < 6; ++i) {
    const Copy copy = copy_of(i % 3, i, 600'000, kT0 + i);
    inserted[copy.tag] = copy;
    harness.options.part_kb = 1'024;
    if (i == 0) {
      harness.start();
    }
    harness.insert(name_of(i % 3), copy);
    harness.executor->drain();
  }
  EXPECT_GT(harness.store->stats().segments_cleared, 0U);
  const auto& history = harness.folder->history;
  // Only the states at removals are checked; the test above covers the others.
  std::size_t checked = 0;
  for (std::size_t cut = 0; cut < history.size(); ++cut) {
    if (history[cut].kind != testing_support::FileOp::Kind::kRemove) {
      continue;
    }
    std::vector<testing_support::FileOp> part(history.begin(),
                                              history.begin() + static_cast<std::ptrdiff_t>(cut) + 1);
    Folder folder;
    std::size_t commits = 0;
    for (const auto& op : part) {
      if (op.kind == testing_support::FileOp::Kind::kWrite) {
        testing_support::apply_torn(folder[op.name], op, testing_support::kAllWritten);
      } else if (op.kind == testing_support::FileOp::Kind::kRemove) {
        folder.erase(op.name);
      }
      commits += op.kind == testing_support::FileOp::Kind::kCommit ? 1 : 0;
    }
    for (std::size_t commit = 0; commit <= commits; ++commit) {
      StoreHarness crashed(harness.options);
      crashed.folder->now = folder;
      crashed.index->states = {harness.index->states[commit]};
      crashed.start();
      for (int number = 0; number < 3; ++number) {
        if (const auto copy = crashed.get(name_of(number))) {
          ASSERT_EQ(*copy->bytes, *inserted.at(copy->tag).bytes);
        } else {
          ASSERT_LT(commit, commits) << "a copy in the last commit is missing: " << number;
        }
        ++checked;
      }
    }
  }
  EXPECT_GT(checked, 10U);
}

TEST(Store, AppliesAPurgeToACopyThatIsBeingWritten) {
  StoreHarness harness;
  harness.start();
  harness.executor->hold_writes = true;
  harness.insert(name_of(1), copy_of(1, 1, 10'000, kT0));
  harness.store->purge({purge_of(1, kT0)}, 1);
  harness.executor->hold_writes = false;
  harness.executor->drain();
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  EXPECT_EQ(harness.store->stats().disk_copies, 0U) << "the parts of the copy are erased too";
  harness.start();
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
}

TEST(Store, AppliesAGroupPurgeToItsCopiesAndThoseOfUnknownGroup) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0, 7));
  harness.insert(name_of(2), copy_of(2, 1, 500, kT0, 8));
  harness.insert(name_of(3), copy_of(3, 1, 500, kT0, kUnknownGroup));
  harness.executor->drain();
  harness.store->purge({{PurgeRecord::Kind::kGroup, 7, kT0 + 5}}, 1);
  harness.executor->drain();
  for (int round = 0; round < 2; ++round) {
    EXPECT_FALSE(harness.get(name_of(1)).has_value());
    EXPECT_TRUE(harness.get(name_of(2)).has_value());
    EXPECT_FALSE(harness.get(name_of(3)).has_value());
    harness.start();
  }
}

TEST(Store, AppliesRepeatedPurgesAndPurgesOfTheCopysOwnTime) {
  StoreHarness harness;
  harness.options.memory_mb = 8;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  harness.store->purge({purge_of(1, kT0), purge_of(1, kT0)}, 1);
  EXPECT_FALSE(harness.get(name_of(1)).has_value()) << "purged in memory and on disk";
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  EXPECT_FALSE(harness.get(name_of(1)).has_value()) << "a source may send the old copy again";
  harness.insert(name_of(1), copy_of(1, 2, 500, kT0 + 1));
  harness.executor->drain();
  harness.store->purge({purge_of(1, kT0)}, 2);
  EXPECT_TRUE(harness.get(name_of(1)).has_value()) << "a repeated purge does not apply to a newer copy";
}

TEST(Store, AppliesAPurgeReceivedDuringRecovery) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  Store::Storage storage;
  storage.open_directory = [&harness] {
    return std::make_unique<testing_support::MemoryDirectory>(harness.folder);
  };
  storage.index = [&harness] {
    return std::make_unique<testing_support::MemoryIndex>(harness.index, harness.folder);
  };
  harness.store = std::make_unique<Store>(
      harness.options, *harness.executor, storage,
      [&harness] { return Store::TimeReading{harness.steady_ms, harness.unix_ms}; },
      [](bool, const std::string&) {}, 7);
  harness.store->open([] {});
  harness.store->purge({purge_of(1, kT0 + 1)}, 1);
  harness.executor->drain();
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  harness.start();
  EXPECT_FALSE(harness.get(name_of(1)).has_value()) << "the purge is durable";
}

// Guards against the loss of purges whose commit failed: they are written with the next batch.
TEST(Store, WritesAPurgeAgainAfterAFailedCommit) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  bool failing = true;
  harness.index->fails = [&failing] { return failing; };
  harness.store->purge({purge_of(1, kT0 + 1)}, 1);
  harness.executor->drain();
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  failing = false;
  harness.steady_ms += 10'000;
  harness.insert(name_of(2), copy_of(2, 1, 500, kT0));
  harness.executor->drain();
  harness.start();
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  EXPECT_TRUE(harness.get(name_of(2)).has_value());
}

// Bit rot: a flipped bit in a segment may lose copies, but no wrong bytes are served.
TEST(Store, ReturnsMissesForCopiesWithFlippedBits) {
  std::mt19937 random(23);
  StoreHarness harness;
  harness.start();
  for (int i = 0; i < 10; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 2'000 + 1'000 * static_cast<std::size_t>(i), kT0));
  }
  harness.executor->drain();
  const Folder good = harness.folder->now;
  int misses = 0;
  for (int round = 0; round < 300; ++round) {
    StoreHarness corrupted;
    corrupted.folder->now = good;
    corrupted.index->states = harness.index->states;
    for (auto& [name, bytes] : corrupted.folder->now) {
      if (name.starts_with("seg-")) {
        const std::size_t place = random() % bytes.size();
        bytes[place] = static_cast<char>(bytes[place] ^ (1U << (random() % 8)));
      }
    }
    corrupted.start();
    for (int i = 0; i < 10; ++i) {
      const auto copy = corrupted.get(name_of(i));
      misses += copy ? 0 : 1;
      if (copy) {
        ASSERT_EQ(*copy->bytes, *copy_of(i, 1, 2'000 + 1'000 * static_cast<std::size_t>(i), kT0).bytes);
      }
    }
  }
  EXPECT_GT(misses, 200);
  EXPECT_LT(misses, 300 * 11);
}

TEST(Store, ReturnsAMissAndDropsTheRecordAfterAReadError) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  harness.folder->fault = [](const char* call, const std::string&) {
    return std::string(call) == "read" ? EIO : 0;
  };
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  EXPECT_EQ(harness.store->stats().read_failures, 1U);
  harness.folder->fault = [](const char*, const std::string&) { return 0; };
  harness.insert(name_of(1), copy_of(1, 2, 500, kT0 + 1));
  harness.executor->drain();
  EXPECT_TRUE(harness.get(name_of(1)).has_value());
}

TEST(Store, ServesStoredCopiesFromAFullDiskAndWritesAgainWhenSpaceIsFree) {
  StoreHarness harness;
  harness.options.memory_mb = 1;
  harness.start();
  for (int i = 0; i < 10; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 3'000, kT0));
  }
  harness.executor->drain();
  harness.folder->room = harness.folder->used() + 1'000;
  harness.insert(name_of(20), copy_of(20, 1, 3'000, kT0));
  harness.executor->drain();
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kReadOnly);
  EXPECT_TRUE(harness.get(name_of(20)).has_value()) << "from memory";
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(harness.get(name_of(i)).has_value()) << "from disk";
  }
  harness.folder->room = UINT64_MAX;
  harness.steady_ms += 2'000;
  harness.insert(name_of(21), copy_of(21, 1, 300, kT0));
  harness.executor->drain();
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kGood);
}

TEST(Store, ServesFromMemoryWhenTheFolderCannotBeUsed) {
  for (const int code : {EROFS, EACCES, EWOULDBLOCK, EIO}) {
    StoreHarness harness;
    harness.options.memory_mb = 1;
    harness.folder->fault = [code](const char*, const std::string&) { return code; };
    harness.start();
    EXPECT_TRUE(harness.opened);
    EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kOff);
    EXPECT_EQ(harness.warnings.size(), 1U);
    harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
    harness.executor->drain();
    EXPECT_TRUE(harness.get(name_of(1)).has_value());
    bool flushed = false;
    harness.store->flush([&flushed] { flushed = true; });
    EXPECT_TRUE(flushed);
  }
}

TEST(Store, LeavesAFolderOfAnotherFormatUnchangedAndLogsAWarning) {
  StoreHarness harness;
  harness.folder->now["format"] = "trailcourse store 0\n";
  harness.folder->now["seg-0000000001.dat"] = "old bytes";
  harness.start();
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kOff);
  ASSERT_EQ(harness.warnings.size(), 1U);
  EXPECT_NE(harness.warnings[0].find("trailcourse store 0"), std::string::npos);
  EXPECT_EQ(harness.folder->now["seg-0000000001.dat"], "old bytes");
}

TEST(Store, DropsTheCopiesOnDiskAndContinuesWhenTheIndexIsDamaged) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  bool first = true;
  Store::Storage storage;
  storage.open_directory = [&harness] {
    return std::make_unique<testing_support::MemoryDirectory>(harness.folder);
  };
  storage.index = [&harness, &first]() -> std::unique_ptr<Index> {
    if (std::exchange(first, false)) {
      throw IndexError("malformed", true);
    }
    harness.index->states = {testing_support::IndexState{}};
    return std::make_unique<testing_support::MemoryIndex>(harness.index, harness.folder);
  };
  harness.store = std::make_unique<Store>(
      harness.options, *harness.executor, storage,
      [&harness] { return Store::TimeReading{harness.steady_ms, harness.unix_ms}; },
      [&harness](bool warning, const std::string& message) {
        (warning ? harness.warnings : harness.messages).push_back(message);
      },
      7);
  harness.store->open([] {});
  harness.executor->drain();
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_EQ(harness.warnings.size(), 1U);
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
  harness.insert(name_of(1), copy_of(1, 2, 500, kT0));
  harness.executor->drain();
  EXPECT_TRUE(harness.get(name_of(1)).has_value());
}

// Guards against a disk that does not respond: reads become misses, the number of waiting reads is bounded,
// and the disk is used again after a read completes in time.
TEST(Store, SkipsAStalledDiskExceptForProbeReads) {
  StoreHarness harness;
  harness.options.reads_at_once = 4;
  harness.start();
  for (int i = 0; i < 10; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 500, kT0));
  }
  harness.executor->drain();
  harness.executor->hold_reads = true;
  std::vector<std::uint64_t> reads;
  int called = 0;
  for (int i = 0; i < 10; ++i) {
    if (harness.store->find(name_of(i), 2).tier == Store::Tier::kDisk) {
      reads.push_back(harness.store->read(name_of(i), [&called](const ReadResult&) { ++called; }));
    }
  }
  EXPECT_EQ(reads.size(), 4U) << "copies beyond reads_at_once are misses";
  harness.steady_ms += 200;
  for (const std::uint64_t read : reads) {
    harness.store->abandon_read(read, true);
  }
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kStalled);
  EXPECT_EQ(harness.store->find(name_of(1), 2).tier, Store::Tier::kAbsent);
  harness.steady_ms += 2'000;
  harness.executor->hold_reads = false;
  harness.executor->drain();
  EXPECT_EQ(called, 0) << "callbacks of abandoned reads are not called";
  EXPECT_TRUE(harness.get(name_of(1)).has_value()) << "the probe read";
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_TRUE(harness.get(name_of(2)).has_value());
}

TEST(Store, BoundsTheWriteQueue) {
  StoreHarness harness;
  harness.options.write_queue_mb = 1;
  harness.start();
  harness.executor->hold_writes = true;
  for (int i = 0; i < 100; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 50'000, kT0));
  }
  EXPECT_GE(harness.store->stats().writes_shed, 70U);
  harness.executor->hold_writes = false;
  harness.executor->drain();
  EXPECT_GE(harness.store->stats().disk_copies, 20U);
}

// The missing parts of a value are reported, and only these are written when the value is complete again.
TEST(Store, CompletesAndDoesNotServeAValueWithAMissingPart) {
  StoreHarness harness;
  harness.start();
  const Copy copy = copy_of(1, 1, 40'000, kT0);
  harness.insert(name_of(1), copy);
  harness.executor->drain();
  // A flipped bit damages one part; the first read drops it.
  for (auto& [name, bytes] : harness.folder->now) {
    if (name.starts_with("seg-")) {
      bytes[20'000] = static_cast<char>(bytes[20'000] ^ 1);
    }
  }
  std::shared_ptr<PartialCopy> partial;
  const auto read = [&harness, &partial] {
    ASSERT_EQ(harness.store->find(name_of(1), 2).tier, Store::Tier::kDisk);
    harness.store->read(name_of(1), [&partial](const ReadResult& result) {
      ASSERT_EQ(result.status, ReadStatus::kPartial);
      partial = result.partial;
    });
    harness.executor->drain();
  };
  read();
  ASSERT_TRUE(partial);
  EXPECT_EQ(partial->missing_bytes(), 4'096U);
  const auto [from, length] = partial->first_missing_range();
  EXPECT_EQ(length, 4'096U);
  EXPECT_EQ(partial->first_missing_range((from + length) / 4'096).second, 0U);

  const std::uint64_t written = harness.store->stats().written_bytes;
  const std::vector<bool> had = partial->have;
  PartialCopy corrupt = *partial;
  partial->bytes.replace(from, length, copy.bytes->substr(from, length));
  EXPECT_TRUE(harness.store->complete(name_of(1), *partial, had, 2));
  harness.executor->drain();
  EXPECT_LT(harness.store->stats().written_bytes - written, 6'000U) << "only the missing part is written";
  const auto read_copy = harness.get(name_of(1));
  ASSERT_TRUE(read_copy.has_value());
  EXPECT_EQ(*read_copy->bytes, *copy.bytes);

  corrupt.bytes.replace(from, length, std::string(length, 'x'));
  EXPECT_FALSE(harness.store->complete(name_of(1), corrupt, had, 2))
      << "the checksum of the value does not match";
  EXPECT_FALSE(harness.get(name_of(1)).has_value());
}

// Inserts far more than fits: the files stay within their bound, the bytes served are correct, and frequently
// requested copies stay.
TEST(Store, StaysWithinItsSizeBoundAndKeepsFrequentlyUsedCopies) {
  StoreHarness harness;
  harness.start();
  std::mt19937 random(31);
  for (int i = 0; i < 2'500; ++i) {
    harness.steady_ms += 50;
    const int number = random() % 4 == 0 ? static_cast<int>(random() % 20) : 1'000 + i;
    const std::size_t size = 20'000 + static_cast<std::size_t>(number % 7) * 3'000;
    const auto copy = harness.get(name_of(number));
    if (copy) {
      ASSERT_EQ(*copy->bytes, *copy_of(number, 1, size, kT0).bytes);
    } else {
      harness.store->insert(name_of(number), copy_of(number, 1, size, kT0), 2);
      harness.executor->drain();
    }
    ASSERT_LE(harness.store->stats().file_bytes, 16U << 20U);
  }
  const Stats stats = harness.store->stats();
  EXPECT_GT(stats.segments_cleared, 2U);
  int kept = 0;
  for (int number = 0; number < 20; ++number) {
    kept += harness.get(name_of(number)) ? 1 : 0;
  }
  EXPECT_GE(kept, 18);
  harness.start();
  int again = 0;
  for (int number = 0; number < 20; ++number) {
    again += harness.get(name_of(number)) ? 1 : 0;
  }
  EXPECT_EQ(again, kept);
}

// The records behind a damaged header cannot be listed. The segment is cleared nevertheless, and the index
// does not refer to it afterwards.
TEST(Store, ClearsASegmentWithADamagedRecordHeader) {
  StoreHarness harness;
  harness.options.part_kb = 1'024;
  harness.start();
  for (int i = 0; i < 8; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 100'000, kT0));
  }
  harness.executor->drain();
  std::string& first = harness.folder->now.at("seg-0000000001.dat");
  const std::size_t second_record = first.find("TCR1", kSegmentHeadBytes + 4);
  ASSERT_NE(second_record, std::string::npos);
  first[second_record] = '?';
  for (int i = 100; i < 400; ++i) {
    harness.steady_ms += 100;
    harness.insert(name_of(i), copy_of(i, 1, 100'000, kT0));
    harness.executor->drain();
    harness.get(name_of(i));  // a second request, so that these are kept rather than the first ones
  }
  EXPECT_FALSE(harness.folder->now.contains("seg-0000000001.dat"));
  for (const auto& [key, row] : harness.index->states.back().rows) {
    EXPECT_NE(row.location.segment, 1U);
  }
  for (int i = 0; i < 8; ++i) {
    if (const auto copy = harness.get(name_of(i))) {
      EXPECT_EQ(*copy->bytes, *copy_of(i, 1, 100'000, kT0).bytes);
    }
  }
}

TEST(Store, ReportsNoEarlierTimeWhenTheSystemClockWasSetBackBeforeARestart) {
  StoreHarness harness;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  const std::int64_t seen = harness.store->unix_ms();
  harness.unix_ms -= 3'600'000;
  harness.start();
  EXPECT_GE(harness.store->unix_ms(), seen);
}

TEST(Store, KeepsANewerCopyWhenAnOlderOneIsInserted) {
  StoreHarness harness;
  harness.options.memory_mb = 1;
  harness.start();
  harness.insert(name_of(1), copy_of(1, 2, 500, kT0 + 10));
  harness.executor->drain();
  harness.insert(name_of(1), copy_of(1, 1, 500, kT0));
  harness.executor->drain();
  EXPECT_EQ(harness.get(name_of(1))->origin_time_ms, kT0 + 10);
  harness.start();
  EXPECT_EQ(harness.get(name_of(1))->origin_time_ms, kT0 + 10);
}

// ---- On a folder of the file system, with the SQLite index.

class StoreFolder : public testing::Test {
 public:
  ~StoreFolder() override { std::filesystem::remove_all(path_); }

 protected:
  StoreFolder()
      : path_(testing::TempDir() + "trailcourse-store-" + std::to_string(::getpid()) + "-" +
              testing::UnitTest::GetInstance()->current_test_info()->name()) {
    std::filesystem::remove_all(path_);
  }

  // Opens a store over the folder; the harness runs its jobs.
  std::unique_ptr<Store> open(StoreHarness& harness) {
    Store::Storage storage;
    storage.open_directory = [this] { return open_folder(path_); };
    storage.index = [this] { return open_sqlite_index(path_); };
    harness.executor = std::make_unique<testing_support::ManualExecutor>();
    auto store = std::make_unique<Store>(
        harness.options, *harness.executor, storage,
        [&harness] { return Store::TimeReading{harness.steady_ms, harness.unix_ms}; },
        [&harness](bool warning, const std::string& message) {
          (warning ? harness.warnings : harness.messages).push_back(message);
        },
        7);
    store->open([] {});
    harness.executor->drain();
    return store;
  }
  void fill(StoreHarness& harness, int count) {
    harness.store = open(harness);
    for (int i = 0; i < count; ++i) {
      harness.insert(name_of(i), copy_of(i, 1, 500 + 3'000 * static_cast<std::size_t>(i % 5), kT0));
    }
    harness.executor->drain();
  }
  int correct_copies(StoreHarness& harness, int count) {
    int out = 0;
    for (int i = 0; i < count; ++i) {
      if (const auto copy = harness.get(name_of(i))) {
        EXPECT_EQ(*copy->bytes, *copy_of(i, 1, 500 + 3'000 * static_cast<std::size_t>(i % 5), kT0).bytes);
        ++out;
      }
    }
    return out;
  }

  std::string path_;
};

TEST_F(StoreFolder, ServesStoredCopiesAfterARestartAndReportsStatistics) {
  StoreHarness harness;
  fill(harness, 50);
  harness.store = nullptr;
  harness.store = open(harness);
  EXPECT_EQ(correct_copies(harness, 50), 50);
  const auto directory = open_folder_unlocked(path_);
  const auto index = open_sqlite_index(path_, true);
  const FolderStat stat = stat_folder(*directory, *index);
  EXPECT_EQ(stat.values, 50U);
  EXPECT_EQ(stat.damaged_rows, 0U);
  EXPECT_EQ(stat.by_rank.at(2), stat.records);
  const VerifyReport report = verify_folder(*directory, *index, [](std::uint64_t, std::uint64_t) {});
  EXPECT_EQ(report.good, report.records);
  EXPECT_EQ(report.damaged_total, 0U);
}

TEST_F(StoreFolder, DisablesTheDiskTierWhenTheFolderIsInUse) {
  StoreHarness first;
  fill(first, 3);
  StoreHarness second;
  second.store = open(second);
  EXPECT_EQ(second.store->disk_state(), DiskHealth::State::kOff);
  EXPECT_EQ(correct_copies(first, 3), 3);
  first.store = nullptr;
  first.executor = nullptr;
  second.store = nullptr;
  second.store = open(second);
  EXPECT_EQ(correct_copies(second, 3), 3);
}

TEST_F(StoreFolder, VerifyReportsEachDamagedRecord) {
  StoreHarness harness;
  fill(harness, 20);
  harness.store = nullptr;
  const auto directory = open_folder_unlocked(path_);
  const auto index = open_sqlite_index(path_, true);
  const std::vector<IndexRow> rows = index->rows(nullptr, 1'000);
  for (std::size_t i = 0; i < 3; ++i) {
    const Location& where = rows[i * 5].location;
    std::fstream file(path_ + "/" + segment_name(where.segment),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(where.offset + where.stored - 1);
    file.put('~');
  }
  const VerifyReport report = verify_folder(*directory, *index, [](std::uint64_t, std::uint64_t) {});
  EXPECT_EQ(report.damaged_total, 3U);
  EXPECT_EQ(report.good, rows.size() - 3);
}

TEST_F(StoreFolder, CompactFreesSpaceAndKeepsEveryCopy) {
  StoreHarness harness;
  harness.options.part_kb = 64;
  harness.store = open(harness);
  for (int i = 0; i < 200; ++i) {
    harness.insert(name_of(i), copy_of(i, 1, 20'000, kT0));
    harness.executor->drain();
  }
  for (int i = 0; i < 200; i += 2) {
    harness.store->drop(name_of(i));
  }
  harness.executor->drain();
  harness.store = nullptr;
  harness.executor = nullptr;
  {
    const auto directory = open_folder(path_);
    const auto index = open_sqlite_index(path_);
    const CompactReport report =
        compact_folder(*directory, *index, 0.8, 1U << 20U, [](std::uint64_t, std::uint64_t) {});
    EXPECT_LT(report.bytes_after, report.bytes_before * 6 / 10);
    EXPECT_EQ(report.moved, 100U);
    EXPECT_EQ(report.dropped, 0U);
  }
  harness.store = open(harness);
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(harness.get(name_of(i)).has_value(), i % 2 == 1) << i;
  }
}

// The commands print statistics as JSON, and report damage and a folder in use by their exit status.
TEST_F(StoreFolder, CommandsReportDamageAndAFolderInUseByExitStatus) {
  StoreHarness harness;
  fill(harness, 10);
  const auto run = [this](const std::string& action, std::string* printed = nullptr) {
    program::StoreCommand command;
    command.action = action;
    command.folder = path_;
    command.json = true;
    command.yes = true;
    std::ostringstream out;
    std::ostringstream errors;
    const int status = program::run_store_command(command, out, errors);
    if (printed != nullptr) {
      *printed = out.str();
    }
    return status;
  };
  std::string printed;
  EXPECT_EQ(run("stat", &printed), 0);
  EXPECT_EQ(nlohmann::json::parse(printed).at("values"), 10);
  EXPECT_EQ(run("verify"), 0);
  EXPECT_EQ(run("compact"), program::kFolderInUse);
  EXPECT_EQ(run("drop"), program::kFolderInUse);
  harness.store = nullptr;
  harness.executor = nullptr;
  {
    const auto index = open_sqlite_index(path_, true);
    const Location where = index->rows(nullptr, 1)[0].location;
    std::fstream file(path_ + "/" + segment_name(where.segment),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(where.offset + where.stored - 1);
    file.put('~');
  }
  EXPECT_EQ(run("verify", &printed), program::kDamageFound);
  EXPECT_EQ(nlohmann::json::parse(printed).at("damaged"), 1);
  EXPECT_EQ(run("compact"), 0);
  EXPECT_EQ(run("drop"), 0);
  EXPECT_EQ(run("verify"), 1) << "the index is removed";
}

TEST_F(StoreFolder, DropEmptiesAFolderOfAnyFormat) {
  StoreHarness harness;
  fill(harness, 5);
  harness.store = nullptr;
  harness.executor = nullptr;
  std::ofstream(path_ + "/format") << "trailcourse store 9\n";
  {
    const auto directory = open_folder(path_);
    EXPECT_GT(drop_folder(*directory), 2U);
  }
  harness.store = open(harness);
  EXPECT_EQ(harness.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_EQ(correct_copies(harness, 5), 0);
}

// Cuts the write-ahead log of the index at many places: a purge and the sequence number of its event are lost
// together, so that the purge is received again.
TEST_F(StoreFolder, LosesATornPurgeRecordTogetherWithItsSequenceNumber) {
  StoreHarness harness;
  fill(harness, 5);
  harness.store->purge({purge_of(0, kT0 + 1)}, 11);
  harness.executor->drain();
  harness.store->purge({purge_of(1, kT0 + 2)}, 12);
  harness.executor->drain();
  // Copies the folder while the index is open, which is the state after a crash.
  const std::string crashed = path_ + "-crashed";
  const auto size = std::filesystem::file_size(path_ + "/index.sqlite-wal");
  ASSERT_GT(size, 1'000U);
  std::set<std::int64_t> sequences;
  for (std::uintmax_t cut = 0; cut <= size; cut = cut == size ? size + 1 : std::min(cut + 512, size)) {
    std::filesystem::remove_all(crashed);
    std::filesystem::copy(path_, crashed);
    std::filesystem::resize_file(crashed + "/index.sqlite-wal", cut);
    std::filesystem::remove(crashed + "/index.sqlite-shm");
    const auto index = open_sqlite_index(crashed);
    const IndexMarks marks = index->marks();
    const auto mark = marks.find("heard");
    const std::int64_t last = mark == marks.end() ? 0 : mark->second;
    sequences.insert(last);
    EXPECT_EQ(index->purges().size(), last == 0 ? 0U : static_cast<std::size_t>(last - 10))
        << "cut at " << cut;
  }
  std::filesystem::remove_all(crashed);
  EXPECT_EQ(sequences, (std::set<std::int64_t>{0, 11, 12}));
}

// Changes random bytes of the index: single rows or all copies are dropped, but no wrong copy is served and
// the program does not crash.
TEST_F(StoreFolder, LosesOnlyCopiesWhenTheIndexHasFlippedBytes) {
  StoreHarness harness;
  fill(harness, 60);
  harness.store->purge({purge_of(0, kT0 + 1)}, 3);
  harness.executor->drain();
  harness.store = nullptr;  // closes the index, so that all of its content is in one file
  harness.executor = nullptr;
  std::mt19937 random(53);
  const std::string corrupted = path_ + "-rotten";
  int lost = 0;
  for (int round = 0; round < 60; ++round) {
    std::filesystem::remove_all(corrupted);
    std::filesystem::copy(path_, corrupted);
    {
      std::fstream file(corrupted + "/index.sqlite", std::ios::in | std::ios::out | std::ios::binary);
      const auto size = std::filesystem::file_size(corrupted + "/index.sqlite");
      for (int i = 0; i < 8; ++i) {
        file.seekp(static_cast<std::streamoff>(random() % size));
        file.put(static_cast<char>(random()));
      }
    }
    StoreHarness again;
    const std::string kept = std::exchange(path_, corrupted);
    again.store = open(again);
    EXPECT_FALSE(again.get(name_of(0)).has_value())
        << "the purge was lost with the damaged bytes, and its copy is served";
    lost += 59 - correct_copies(again, 60);
    again.store = nullptr;
    again.executor = nullptr;
    path_ = kept;
  }
  std::filesystem::remove_all(corrupted);
  EXPECT_GT(lost, 0);
}

}  // namespace
}  // namespace trailcourse::store
