// The store's engine over a folder in memory: what is served after crashes, purges, faults of the disk and of
// the index. Whatever happens, a copy is served whole and as the origin gave it, or it is a miss.
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
using testing_support::StoreRig;

constexpr std::int64_t kT0 = 1'763'999'000'000;

PurgeRecord purge_of(int number, std::int64_t ms) {
  return {PurgeRecord::Kind::kObject, static_cast<std::uint64_t>(number), ms};
}

TEST(Store, KeepsOverARestart) {
  StoreRig rig;
  rig.start();
  for (int i = 0; i < 20; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 300 + static_cast<std::size_t>(i) * 1'000, kT0));
  }
  rig.executor->drain();
  rig.start();
  for (int i = 0; i < 20; ++i) {
    const auto got = rig.get(name_of(i));
    ASSERT_TRUE(got.has_value()) << i;
    EXPECT_EQ(*got->bytes, *copy_of(i, 1, 300 + static_cast<std::size_t>(i) * 1'000, kT0).bytes);
    EXPECT_EQ(got->tag, "tag" + std::to_string(i) + "v1");
    EXPECT_EQ(got->t0_ms, kT0);
    EXPECT_EQ(got->group, 3);
  }
  EXPECT_TRUE(rig.complaints.empty());
}

TEST(Store, AnswersMissesWhileItRecovers) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  rig.executor.reset();
  rig.opened = false;
  StoreRig& again = rig;
  again.executor = std::make_unique<testing_support::ManualExecutor>();
  Store::Backing backing;
  backing.files = [&rig] { return std::make_unique<testing_support::MemoryFolder>(rig.folder); };
  backing.index = [&rig] { return std::make_unique<testing_support::MemoryIndex>(rig.index, rig.folder); };
  rig.options.memory_mb = 8;
  rig.store = std::make_unique<Store>(
      rig.options, *rig.executor, backing, [&rig] { return Store::Now{rig.steady_ms, rig.unix_ms}; },
      [](bool, const std::string&) {}, 7);
  rig.store->open([&rig] { rig.opened = true; });
  EXPECT_TRUE(rig.store->recovering());
  EXPECT_EQ(rig.store->find(name_of(1), 2).where, Store::Where::kAbsent);
  rig.store->keep(name_of(2), copy_of(2, 1, 500, kT0), 2);
  EXPECT_EQ(rig.store->find(name_of(2), 2).where, Store::Where::kMemory) << "memory serves meanwhile";
  rig.executor->drain();
  EXPECT_TRUE(rig.opened);
  EXPECT_EQ(rig.store->find(name_of(1), 2).where, Store::Where::kDisk);
  // What came meanwhile reaches the disk once that is open.
  rig.options.memory_mb = 0;
  rig.start();
  EXPECT_TRUE(rig.get(name_of(2)).has_value());
}

// A copy that the disk could not take when it came is offered again when it is asked for.
TEST(Store, AHitInMemoryOffersItsCopyToTheDiskAgain) {
  StoreRig rig;
  rig.options.memory_mb = 8;
  rig.start();
  rig.folder->room = 0;
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  EXPECT_EQ(rig.store->stats().disk_copies, 0U);
  rig.folder->room = UINT64_MAX;
  rig.steady_ms += 10'000;
  EXPECT_TRUE(rig.get(name_of(1)).has_value());
  EXPECT_TRUE(rig.get(name_of(1)).has_value()) << "while it is being written it is not written twice";
  rig.executor->drain();
  EXPECT_EQ(rig.store->stats().disk_copies, 1U);
  EXPECT_LT(rig.store->stats().written_bytes, 1'000U);
}

// Exhaustive for this history: every prefix, every way in which unsynced writes and names can be there or
// torn, the index at every commit. A purge that the index knows binds without being told again, and every
// purge that is told again binds.
TEST(Store, EveryCrashStateServesWholeCopiesOrMisses) {
  StoreRig rig;
  rig.start();
  std::map<std::pair<int, std::string>, Copy> put;
  const auto keep = [&](int number, int version, std::size_t size, std::int64_t t0) {
    const Copy copy = copy_of(number, version, size, t0);
    put[{number, copy.tag}] = copy;
    rig.keep(name_of(number), copy);
  };
  keep(1, 1, 700, kT0);
  rig.executor->drain();
  keep(2, 1, 10'000, kT0 + 1);  // in three parts
  rig.executor->drain();
  keep(1, 2, 1'500, kT0 + 10);  // replaces
  keep(3, 1, 600, kT0 + 11);    // in the same batch as what waits
  rig.executor->drain();
  rig.store->purge({purge_of(2, kT0 + 20)}, 5);
  rig.executor->drain();
  keep(2, 2, 9'000, kT0 + 30);
  rig.executor->drain();
  rig.store->drop(name_of(1));
  keep(3, 2, 5'000, kT0 + 40);
  rig.executor->drain();
  keep(1, 3, 800, kT0 + 50);
  rig.executor->drain();
  const std::vector<testing_support::FileOp> history = rig.folder->history;
  const std::vector<testing_support::IndexState> states = rig.index->states;

  std::size_t served = 0;
  const std::size_t count = each_crash_state(history, [&](const Folder& folder, std::size_t commit) {
    StoreRig crashed;
    crashed.folder->now = folder;
    crashed.index->states = {states[commit]};
    crashed.start();
    const auto look = [&](bool told_again) {
      for (int number = 1; number <= 3; ++number) {
        const auto got = crashed.get(name_of(number));
        if (!got) {
          continue;
        }
        ++served;
        const auto of = put.find({number, got->tag});
        ASSERT_NE(of, put.end());
        ASSERT_EQ(*got->bytes, *of->second.bytes);
        ASSERT_EQ(got->t0_ms, of->second.t0_ms);
        const bool known = told_again || !states[commit].purges.empty();
        ASSERT_FALSE(known && number == 2 && got->t0_ms <= kT0 + 20) << "a copy from before its purge";
      }
    };
    look(false);
    crashed.store->purge({purge_of(2, kT0 + 20)}, 5);
    look(true);
  });
  RecordProperty("crash_states", static_cast<int>(count));
  EXPECT_GT(count, 800U);
  EXPECT_GT(served, count) << "most states serve something";
}

// A write of several segments at once, with a segment cleared in between: the file that goes must not be
// named any more.
TEST(Store, CrashStatesAroundClearingASegment) {
  StoreRig rig;
  rig.start();
  std::map<std::string, Copy> put;
  // Twelve copies of nearly a segment each: two fit into one, and what is replaced leaves segments without
  // use.
  for (int i = 0; i < 6; ++i) {
    const Copy copy = copy_of(i % 3, i, 600'000, kT0 + i);
    put[copy.tag] = copy;
    rig.options.part_kb = 1'024;
    if (i == 0) {
      rig.start();
    }
    rig.keep(name_of(i % 3), copy);
    rig.executor->drain();
  }
  EXPECT_GT(rig.store->stats().cleared, 0U);
  const auto& history = rig.folder->history;
  // Only around the removals: the states between are those of the test above.
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
        testing_support::apply_torn(folder[op.name], op, testing_support::kWhole);
      } else if (op.kind == testing_support::FileOp::Kind::kRemove) {
        folder.erase(op.name);
      }
      commits += op.kind == testing_support::FileOp::Kind::kCommit ? 1 : 0;
    }
    for (std::size_t commit = 0; commit <= commits; ++commit) {
      StoreRig crashed(rig.options);
      crashed.folder->now = folder;
      crashed.index->states = {rig.index->states[commit]};
      crashed.start();
      for (int number = 0; number < 3; ++number) {
        if (const auto got = crashed.get(name_of(number))) {
          ASSERT_EQ(*got->bytes, *put.at(got->tag).bytes);
        } else {
          ASSERT_LT(commit, commits) << "what the last commit names is there: " << number;
        }
        ++checked;
      }
    }
  }
  EXPECT_GT(checked, 10U);
}

TEST(Store, APurgeOfWhatIsBeingWrittenBinds) {
  StoreRig rig;
  rig.start();
  rig.executor->hold_writes = true;
  rig.keep(name_of(1), copy_of(1, 1, 10'000, kT0));
  rig.store->purge({purge_of(1, kT0)}, 1);
  rig.executor->hold_writes = false;
  rig.executor->drain();
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  EXPECT_EQ(rig.store->stats().disk_copies, 0U) << "its parts are gone as well";
  rig.start();
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
}

TEST(Store, APurgeOfAGroupTakesItsCopiesAndThoseOfUnknownGroup) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0, 7));
  rig.keep(name_of(2), copy_of(2, 1, 500, kT0, 8));
  rig.keep(name_of(3), copy_of(3, 1, 500, kT0, kUnknownGroup));
  rig.executor->drain();
  rig.store->purge({{PurgeRecord::Kind::kGroup, 7, kT0 + 5}}, 1);
  rig.executor->drain();
  for (int round = 0; round < 2; ++round) {
    EXPECT_FALSE(rig.get(name_of(1)).has_value());
    EXPECT_TRUE(rig.get(name_of(2)).has_value());
    EXPECT_FALSE(rig.get(name_of(3)).has_value());
    rig.start();
  }
}

TEST(Store, PurgesToldTwiceAndThoseOfTheCopysOwnTimeBind) {
  StoreRig rig;
  rig.options.memory_mb = 8;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  rig.store->purge({purge_of(1, kT0), purge_of(1, kT0)}, 1);
  EXPECT_FALSE(rig.get(name_of(1)).has_value()) << "in memory as on disk";
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  EXPECT_FALSE(rig.get(name_of(1)).has_value()) << "a source may hand on the old copy once more";
  rig.keep(name_of(1), copy_of(1, 2, 500, kT0 + 1));
  rig.executor->drain();
  rig.store->purge({purge_of(1, kT0)}, 2);
  EXPECT_TRUE(rig.get(name_of(1)).has_value()) << "a purge told again takes nothing newer";
}

TEST(Store, APurgeToldWhileItRecoversBinds) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  Store::Backing backing;
  backing.files = [&rig] { return std::make_unique<testing_support::MemoryFolder>(rig.folder); };
  backing.index = [&rig] { return std::make_unique<testing_support::MemoryIndex>(rig.index, rig.folder); };
  rig.store = std::make_unique<Store>(
      rig.options, *rig.executor, backing, [&rig] { return Store::Now{rig.steady_ms, rig.unix_ms}; },
      [](bool, const std::string&) {}, 7);
  rig.store->open([] {});
  rig.store->purge({purge_of(1, kT0 + 1)}, 1);
  rig.executor->drain();
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  rig.start();
  EXPECT_FALSE(rig.get(name_of(1)).has_value()) << "and it has become durable";
}

// Purges that could not be written are written with the next batch that can.
TEST(Store, APurgeOutlivesAFailedCommit) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  bool failing = true;
  rig.index->fails = [&failing] { return failing; };
  rig.store->purge({purge_of(1, kT0 + 1)}, 1);
  rig.executor->drain();
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  failing = false;
  rig.steady_ms += 10'000;
  rig.keep(name_of(2), copy_of(2, 1, 500, kT0));
  rig.executor->drain();
  rig.start();
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  EXPECT_TRUE(rig.get(name_of(2)).has_value());
}

// Bit rot: each flipped byte of a segment costs copies at most.
TEST(Store, RottenBytesAreMisses) {
  std::mt19937 random(23);
  StoreRig rig;
  rig.start();
  for (int i = 0; i < 10; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 2'000 + 1'000 * static_cast<std::size_t>(i), kT0));
  }
  rig.executor->drain();
  const Folder good = rig.folder->now;
  int misses = 0;
  for (int round = 0; round < 300; ++round) {
    StoreRig rotten;
    rotten.folder->now = good;
    rotten.index->states = rig.index->states;
    for (auto& [name, bytes] : rotten.folder->now) {
      if (name.starts_with("seg-")) {
        const std::size_t place = random() % bytes.size();
        bytes[place] = static_cast<char>(bytes[place] ^ (1U << (random() % 8)));
      }
    }
    rotten.start();
    for (int i = 0; i < 10; ++i) {
      const auto got = rotten.get(name_of(i));
      misses += got ? 0 : 1;
      if (got) {
        ASSERT_EQ(*got->bytes, *copy_of(i, 1, 2'000 + 1'000 * static_cast<std::size_t>(i), kT0).bytes);
      }
    }
  }
  EXPECT_GT(misses, 200);
  EXPECT_LT(misses, 300 * 11);
}

TEST(Store, AReadErrorIsAMissAndDropsThatRecord) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  rig.folder->fault = [](const char* call, const std::string&) {
    return std::string(call) == "read" ? EIO : 0;
  };
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  EXPECT_EQ(rig.store->stats().read_failures, 1U);
  rig.folder->fault = [](const char*, const std::string&) { return 0; };
  rig.keep(name_of(1), copy_of(1, 2, 500, kT0 + 1));
  rig.executor->drain();
  EXPECT_TRUE(rig.get(name_of(1)).has_value());
}

TEST(Store, AFullDiskServesOnTakesLessAndRecovers) {
  StoreRig rig;
  rig.options.memory_mb = 1;
  rig.start();
  for (int i = 0; i < 10; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 3'000, kT0));
  }
  rig.executor->drain();
  rig.folder->room = rig.folder->used() + 1'000;
  rig.keep(name_of(20), copy_of(20, 1, 3'000, kT0));
  rig.executor->drain();
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kReadOnly);
  EXPECT_TRUE(rig.get(name_of(20)).has_value()) << "from memory";
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(rig.get(name_of(i)).has_value()) << "what stands on disk is served";
  }
  rig.folder->room = UINT64_MAX;
  rig.steady_ms += 2'000;
  rig.keep(name_of(21), copy_of(21, 1, 300, kT0));
  rig.executor->drain();
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kGood);
}

TEST(Store, AFolderThatCannotBeUsedLeavesMemoryToServe) {
  for (const int code : {EROFS, EACCES, EWOULDBLOCK, EIO}) {
    StoreRig rig;
    rig.options.memory_mb = 1;
    rig.folder->fault = [code](const char*, const std::string&) { return code; };
    rig.start();
    EXPECT_TRUE(rig.opened);
    EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kOff);
    EXPECT_EQ(rig.complaints.size(), 1U);
    rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
    rig.executor->drain();
    EXPECT_TRUE(rig.get(name_of(1)).has_value());
    bool flushed = false;
    rig.store->flush([&flushed] { flushed = true; });
    EXPECT_TRUE(flushed);
  }
}

TEST(Store, AnotherFormatIsLeftAloneAndTold) {
  StoreRig rig;
  rig.folder->now["format"] = "trailcourse store 0\n";
  rig.folder->now["seg-0000000001.dat"] = "old bytes";
  rig.start();
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kOff);
  ASSERT_EQ(rig.complaints.size(), 1U);
  EXPECT_NE(rig.complaints[0].find("trailcourse store 0"), std::string::npos);
  EXPECT_EQ(rig.folder->now["seg-0000000001.dat"], "old bytes");
}

TEST(Store, ADamagedIndexCostsTheCopiesOnDiskAndNothingElse) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  bool first = true;
  Store::Backing backing;
  backing.files = [&rig] { return std::make_unique<testing_support::MemoryFolder>(rig.folder); };
  backing.index = [&rig, &first]() -> std::unique_ptr<Index> {
    if (std::exchange(first, false)) {
      throw IndexError("malformed", true);
    }
    rig.index->states = {testing_support::IndexState{}};
    return std::make_unique<testing_support::MemoryIndex>(rig.index, rig.folder);
  };
  rig.store = std::make_unique<Store>(
      rig.options, *rig.executor, backing, [&rig] { return Store::Now{rig.steady_ms, rig.unix_ms}; },
      [&rig](bool bad, const std::string& what) { (bad ? rig.complaints : rig.words).push_back(what); }, 7);
  rig.store->open([] {});
  rig.executor->drain();
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_EQ(rig.complaints.size(), 1U);
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
  rig.keep(name_of(1), copy_of(1, 2, 500, kT0));
  rig.executor->drain();
  EXPECT_TRUE(rig.get(name_of(1)).has_value());
}

// A disk that stalls: reads turn into misses, nothing queues without bound, and it is trusted again once it
// answers.
TEST(Store, AStalledDiskIsLeftAloneButForTries) {
  StoreRig rig;
  rig.options.reads_at_once = 4;
  rig.start();
  for (int i = 0; i < 10; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 500, kT0));
  }
  rig.executor->drain();
  rig.executor->hold_reads = true;
  std::vector<std::uint64_t> reads;
  int called = 0;
  for (int i = 0; i < 10; ++i) {
    if (rig.store->find(name_of(i), 2).where == Store::Where::kDisk) {
      reads.push_back(rig.store->read(name_of(i), [&called](const ReadResult&) { ++called; }));
    }
  }
  EXPECT_EQ(reads.size(), 4U) << "beyond reads_at_once a copy counts as not held";
  rig.steady_ms += 200;
  for (const std::uint64_t read : reads) {
    rig.store->abandon_read(read, true);
  }
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kStalled);
  EXPECT_EQ(rig.store->find(name_of(1), 2).where, Store::Where::kAbsent);
  rig.steady_ms += 2'000;
  rig.executor->hold_reads = false;
  rig.executor->drain();
  EXPECT_EQ(called, 0) << "given up is given up";
  EXPECT_TRUE(rig.get(name_of(1)).has_value()) << "the try";
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_TRUE(rig.get(name_of(2)).has_value());
}

TEST(Store, WhatWaitsToBeWrittenIsBounded) {
  StoreRig rig;
  rig.options.write_queue_mb = 1;
  rig.start();
  rig.executor->hold_writes = true;
  for (int i = 0; i < 100; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 50'000, kT0));
  }
  EXPECT_GE(rig.store->stats().writes_shed, 70U);
  rig.executor->hold_writes = false;
  rig.executor->drain();
  EXPECT_GE(rig.store->stats().disk_copies, 20U);
}

// Parts: what is missing of a value is told, and once it is whole again only that is written.
TEST(Store, AValueWithAPartMissingIsCompletedNotServed) {
  StoreRig rig;
  rig.start();
  const Copy copy = copy_of(1, 1, 40'000, kT0);
  rig.keep(name_of(1), copy);
  rig.executor->drain();
  // One part rots: the first read drops it.
  for (auto& [name, bytes] : rig.folder->now) {
    if (name.starts_with("seg-")) {
      bytes[20'000] = static_cast<char>(bytes[20'000] ^ 1);
    }
  }
  std::shared_ptr<PartialCopy> partial;
  const auto read = [&rig, &partial] {
    ASSERT_EQ(rig.store->find(name_of(1), 2).where, Store::Where::kDisk);
    rig.store->read(name_of(1), [&partial](const ReadResult& result) {
      ASSERT_EQ(result.status, ReadStatus::kPartial);
      partial = result.partial;
    });
    rig.executor->drain();
  };
  read();
  ASSERT_TRUE(partial);
  EXPECT_EQ(partial->missing_bytes(), 4'096U);
  const auto [from, length] = partial->hole();
  EXPECT_EQ(length, 4'096U);
  EXPECT_EQ(partial->hole((from + length) / 4'096).second, 0U);

  const std::uint64_t written = rig.store->stats().written_bytes;
  const std::vector<bool> had = partial->have;
  PartialCopy spoilt = *partial;
  partial->bytes.replace(from, length, copy.bytes->substr(from, length));
  EXPECT_TRUE(rig.store->complete(name_of(1), *partial, had, 2));
  rig.executor->drain();
  EXPECT_LT(rig.store->stats().written_bytes - written, 6'000U) << "the missing part alone";
  const auto got = rig.get(name_of(1));
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(*got->bytes, *copy.bytes);

  spoilt.bytes.replace(from, length, std::string(length, 'x'));
  EXPECT_FALSE(rig.store->complete(name_of(1), spoilt, had, 2)) << "the sum of the whole does not match";
  EXPECT_FALSE(rig.get(name_of(1)).has_value());
}

// Far more than fits, over and over: the files stay within their bound, what is served is right, and what is
// asked for again and again stays.
TEST(Store, TheTierStaysWithinItsBoundAndKeepsWhatIsUsed) {
  StoreRig rig;
  rig.start();
  std::mt19937 random(31);
  for (int i = 0; i < 2'500; ++i) {
    rig.steady_ms += 50;
    const int number = random() % 4 == 0 ? static_cast<int>(random() % 20) : 1'000 + i;
    const std::size_t size = 20'000 + static_cast<std::size_t>(number % 7) * 3'000;
    const auto got = rig.get(name_of(number));
    if (got) {
      ASSERT_EQ(*got->bytes, *copy_of(number, 1, size, kT0).bytes);
    } else {
      rig.store->keep(name_of(number), copy_of(number, 1, size, kT0), 2);
      rig.executor->drain();
    }
    ASSERT_LE(rig.store->stats().file_bytes, 16U << 20U);
  }
  const Stats stats = rig.store->stats();
  EXPECT_GT(stats.cleared, 2U);
  int kept = 0;
  for (int number = 0; number < 20; ++number) {
    kept += rig.get(name_of(number)) ? 1 : 0;
  }
  EXPECT_GE(kept, 18);
  rig.start();
  int again = 0;
  for (int number = 0; number < 20; ++number) {
    again += rig.get(name_of(number)) ? 1 : 0;
  }
  EXPECT_EQ(again, kept);
}

// What stands behind a damaged header cannot be listed; the segment is cleared all the same, and nothing
// names it then.
TEST(Store, ASegmentWithADamagedHeaderIsClearedAllTheSame) {
  StoreRig rig;
  rig.options.part_kb = 1'024;
  rig.start();
  for (int i = 0; i < 8; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 100'000, kT0));
  }
  rig.executor->drain();
  std::string& first = rig.folder->now.at("seg-0000000001.dat");
  const std::size_t second_record = first.find("TCR1", kSegmentHeadBytes + 4);
  ASSERT_NE(second_record, std::string::npos);
  first[second_record] = '?';
  for (int i = 100; i < 400; ++i) {
    rig.steady_ms += 100;
    rig.keep(name_of(i), copy_of(i, 1, 100'000, kT0));
    rig.executor->drain();
    rig.get(name_of(i));  // asked for again, so that these are worth more than the first ones
  }
  EXPECT_FALSE(rig.folder->now.contains("seg-0000000001.dat"));
  for (const auto& [key, row] : rig.index->states.back().rows) {
    EXPECT_NE(row.location.segment, 1U);
  }
  for (int i = 0; i < 8; ++i) {
    if (const auto got = rig.get(name_of(i))) {
      EXPECT_EQ(*got->bytes, *copy_of(i, 1, 100'000, kT0).bytes);
    }
  }
}

TEST(Store, AClockThatStepsBackOverARestartDoesNotMakeCopiesYounger) {
  StoreRig rig;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  const std::int64_t seen = rig.store->unix_ms();
  rig.unix_ms -= 3'600'000;
  rig.start();
  EXPECT_GE(rig.store->unix_ms(), seen);
}

TEST(Store, AnOlderCopyNeverReplacesANewerOne) {
  StoreRig rig;
  rig.options.memory_mb = 1;
  rig.start();
  rig.keep(name_of(1), copy_of(1, 2, 500, kT0 + 10));
  rig.executor->drain();
  rig.keep(name_of(1), copy_of(1, 1, 500, kT0));
  rig.executor->drain();
  EXPECT_EQ(rig.get(name_of(1))->t0_ms, kT0 + 10);
  rig.start();
  EXPECT_EQ(rig.get(name_of(1))->t0_ms, kT0 + 10);
}

// ---- On a real folder, with the real index.

class StoreFolder : public testing::Test {
 public:
  ~StoreFolder() override { std::filesystem::remove_all(path_); }

 protected:
  StoreFolder()
      : path_(testing::TempDir() + "trailcourse-store-" + std::to_string(::getpid()) + "-" +
              testing::UnitTest::GetInstance()->current_test_info()->name()) {
    std::filesystem::remove_all(path_);
  }

  // A store over the real folder, run step by step.
  std::unique_ptr<Store> open(StoreRig& rig) {
    Store::Backing backing;
    backing.files = [this] { return open_folder(path_); };
    backing.index = [this] { return open_sqlite_index(path_); };
    rig.executor = std::make_unique<testing_support::ManualExecutor>();
    auto store = std::make_unique<Store>(
        rig.options, *rig.executor, backing, [&rig] { return Store::Now{rig.steady_ms, rig.unix_ms}; },
        [&rig](bool bad, const std::string& what) { (bad ? rig.complaints : rig.words).push_back(what); }, 7);
    store->open([] {});
    rig.executor->drain();
    return store;
  }
  void fill(StoreRig& rig, int count) {
    rig.store = open(rig);
    for (int i = 0; i < count; ++i) {
      rig.keep(name_of(i), copy_of(i, 1, 500 + 3'000 * static_cast<std::size_t>(i % 5), kT0));
    }
    rig.executor->drain();
  }
  int right(StoreRig& rig, int count) {
    int out = 0;
    for (int i = 0; i < count; ++i) {
      if (const auto got = rig.get(name_of(i))) {
        EXPECT_EQ(*got->bytes, *copy_of(i, 1, 500 + 3'000 * static_cast<std::size_t>(i % 5), kT0).bytes);
        ++out;
      }
    }
    return out;
  }

  std::string path_;
};

TEST_F(StoreFolder, KeepsOverARestartAndTellsItsFigures) {
  StoreRig rig;
  fill(rig, 50);
  rig.store = nullptr;
  rig.store = open(rig);
  EXPECT_EQ(right(rig, 50), 50);
  const auto files = look_into_folder(path_);
  const auto index = open_sqlite_index(path_, true);
  const FolderStat stat = stat_folder(*files, *index);
  EXPECT_EQ(stat.values, 50U);
  EXPECT_EQ(stat.damaged_rows, 0U);
  EXPECT_EQ(stat.by_rank.at(2), stat.records);
  const VerifyReport report = verify_folder(*files, *index, [](std::uint64_t, std::uint64_t) {});
  EXPECT_EQ(report.good, report.records);
  EXPECT_EQ(report.damaged_in_all, 0U);
}

TEST_F(StoreFolder, AFolderInUseIsNotTakenTwice) {
  StoreRig first;
  fill(first, 3);
  StoreRig second;
  second.store = open(second);
  EXPECT_EQ(second.store->disk_state(), DiskHealth::State::kOff);
  EXPECT_EQ(right(first, 3), 3);
  first.store = nullptr;
  first.executor = nullptr;
  second.store = nullptr;
  second.store = open(second);
  EXPECT_EQ(right(second, 3), 3);
}

TEST_F(StoreFolder, VerifyFindsEachDamagedRecord) {
  StoreRig rig;
  fill(rig, 20);
  rig.store = nullptr;
  const auto files = look_into_folder(path_);
  const auto index = open_sqlite_index(path_, true);
  const std::vector<IndexRow> rows = index->rows(nullptr, 1'000);
  for (std::size_t i = 0; i < 3; ++i) {
    const Location& where = rows[i * 5].location;
    std::fstream file(path_ + "/" + segment_name(where.segment),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(where.offset + where.stored - 1);
    file.put('~');
  }
  const VerifyReport report = verify_folder(*files, *index, [](std::uint64_t, std::uint64_t) {});
  EXPECT_EQ(report.damaged_in_all, 3U);
  EXPECT_EQ(report.good, rows.size() - 3);
}

TEST_F(StoreFolder, CompactingFreesRoomAndKeepsEveryCopy) {
  StoreRig rig;
  rig.options.part_kb = 64;
  rig.store = open(rig);
  for (int i = 0; i < 200; ++i) {
    rig.keep(name_of(i), copy_of(i, 1, 20'000, kT0));
    rig.executor->drain();
  }
  for (int i = 0; i < 200; i += 2) {
    rig.store->drop(name_of(i));
  }
  rig.executor->drain();
  rig.store = nullptr;
  rig.executor = nullptr;
  {
    const auto files = open_folder(path_);
    const auto index = open_sqlite_index(path_);
    const CompactReport report =
        compact_folder(*files, *index, 0.8, 1U << 20U, [](std::uint64_t, std::uint64_t) {});
    EXPECT_LT(report.bytes_after, report.bytes_before * 6 / 10);
    EXPECT_EQ(report.moved, 100U);
    EXPECT_EQ(report.dropped, 0U);
  }
  rig.store = open(rig);
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(rig.get(name_of(i)).has_value(), i % 2 == 1) << i;
  }
}

// The commands: figures as JSON, damage and a folder in use by their exit status.
TEST_F(StoreFolder, TheCommandsTellDamageAndUseByTheirStatus) {
  StoreRig rig;
  fill(rig, 10);
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
  rig.store = nullptr;
  rig.executor = nullptr;
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
  EXPECT_EQ(run("verify"), 1) << "there is no index any more";
}

TEST_F(StoreFolder, DropEmptiesAFolderOfAnyFormat) {
  StoreRig rig;
  fill(rig, 5);
  rig.store = nullptr;
  rig.executor = nullptr;
  std::ofstream(path_ + "/format") << "trailcourse store 9\n";
  {
    const auto files = open_folder(path_);
    EXPECT_GT(drop_folder(*files), 2U);
  }
  rig.store = open(rig);
  EXPECT_EQ(rig.store->disk_state(), DiskHealth::State::kGood);
  EXPECT_EQ(right(rig, 5), 0);
}

// The log of the index is cut or torn anywhere: purges and the mark of the last event heard go together, so
// that what was lost is told again; and nothing that is served is wrong.
TEST_F(StoreFolder, ATornPurgeRecordIsLostTogetherWithItsEvent) {
  StoreRig rig;
  fill(rig, 5);
  rig.store->purge({purge_of(0, kT0 + 1)}, 11);
  rig.executor->drain();
  rig.store->purge({purge_of(1, kT0 + 2)}, 12);
  rig.executor->drain();
  // A copy of the folder as a crash leaves it: the process has not closed the index.
  const std::string crashed = path_ + "-crashed";
  const auto size = std::filesystem::file_size(path_ + "/index.sqlite-wal");
  ASSERT_GT(size, 1'000U);
  std::set<std::int64_t> heard;
  for (std::uintmax_t cut = 0; cut <= size; cut = cut == size ? size + 1 : std::min(cut + 512, size)) {
    std::filesystem::remove_all(crashed);
    std::filesystem::copy(path_, crashed);
    std::filesystem::resize_file(crashed + "/index.sqlite-wal", cut);
    std::filesystem::remove(crashed + "/index.sqlite-shm");
    const auto index = open_sqlite_index(crashed);
    const IndexMarks marks = index->marks();
    const auto mark = marks.find("heard");
    const std::int64_t last = mark == marks.end() ? 0 : mark->second;
    heard.insert(last);
    EXPECT_EQ(index->purges().size(), last == 0 ? 0U : static_cast<std::size_t>(last - 10))
        << "cut at " << cut;
  }
  std::filesystem::remove_all(crashed);
  EXPECT_EQ(heard, (std::set<std::int64_t>{0, 11, 12}));
}

// Bytes of the index flipped, seeded: rows are passed over, or all is dropped; never a wrong copy, never a
// crash.
TEST_F(StoreFolder, ARottenIndexCostsCopiesAtMost) {
  StoreRig rig;
  fill(rig, 60);
  rig.store->purge({purge_of(0, kT0 + 1)}, 3);
  rig.executor->drain();
  rig.store = nullptr;  // closes the index: all of it is in one file
  rig.executor = nullptr;
  std::mt19937 random(53);
  const std::string rotten = path_ + "-rotten";
  int lost = 0;
  for (int round = 0; round < 60; ++round) {
    std::filesystem::remove_all(rotten);
    std::filesystem::copy(path_, rotten);
    {
      std::fstream file(rotten + "/index.sqlite", std::ios::in | std::ios::out | std::ios::binary);
      const auto size = std::filesystem::file_size(rotten + "/index.sqlite");
      for (int i = 0; i < 8; ++i) {
        file.seekp(static_cast<std::streamoff>(random() % size));
        file.put(static_cast<char>(random()));
      }
    }
    StoreRig again;
    const std::string kept = std::exchange(path_, rotten);
    again.store = open(again);
    EXPECT_FALSE(again.get(name_of(0)).has_value())
        << "purged; a purge that rots away must not bring its copy back";
    lost += 59 - right(again, 60);
    again.store = nullptr;
    again.executor = nullptr;
    path_ = kept;
  }
  std::filesystem::remove_all(rotten);
  EXPECT_GT(lost, 0);
}

}  // namespace
}  // namespace trailcourse::store
