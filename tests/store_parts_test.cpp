// The store's modules without I/O: what is kept, what leaves, what is written, what purges forbid, which part
// of the disk is cleared, and when the disk is asked.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "store/disk_health.h"
#include "store/eviction_set.h"
#include "store/frequency_sketch.h"
#include "store/placement.h"
#include "store/purge_table.h"
#include "store/segment_table.h"
#include "store/unix_clock.h"

namespace trailcourse::store {
namespace {

Key key(std::uint64_t number) { return key_of("key" + std::to_string(number)); }

TEST(FrequencySketch, NeverTellsLessThanWasCountedUntilItHalves) {
  FrequencySketch sketch(1'000);
  std::mt19937 random(3);
  std::map<std::uint64_t, int> counted;
  for (int i = 0; i < 4'000; ++i) {
    const std::uint64_t one = random() % 1'000;
    sketch.count(key(one));
    ++counted[one];
  }
  int wrong = 0;
  for (const auto& [one, times] : counted) {
    ASSERT_GE(sketch.estimate(key(one)), std::min(times, 15));
    wrong += sketch.estimate(key(one)) > std::min(times, 15) ? 1 : 0;
  }
  EXPECT_LT(wrong, 20) << "of 1,000 keys few share all of their counters";
}

TEST(FrequencySketch, ForgetsWhatIsNoLongerAskedFor) {
  FrequencySketch sketch(64);
  for (int i = 0; i < 12; ++i) {
    sketch.count(key(1));
  }
  const int before = sketch.estimate(key(1));
  for (std::uint64_t i = 0; i < 4 * sketch.sample(); ++i) {
    sketch.count(key(100 + i % 300));
  }
  EXPECT_GE(before, 12);
  EXPECT_LT(sketch.estimate(key(1)), 6);
}

// Against a plain map, over seeded operations: the same keys, bytes and ranks throughout.
TEST(EvictionSet, HoldsWhatAPlainMapHolds) {
  struct Plain {
    std::uint32_t bytes;
    int rank;
    int payload;
  };
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    EvictionSet<int> set;
    std::map<std::uint64_t, Plain> plain;
    for (int i = 0; i < 6'000; ++i) {
      const std::uint64_t one = random() % 700;
      const auto slot = set.find(key(one));
      ASSERT_EQ(slot != EvictionSet<int>::kNone, plain.contains(one));
      const auto rank = static_cast<int>(random() % 4);
      switch (random() % 3) {
        case 0: {
          const auto bytes = static_cast<std::uint32_t>(random() % 1'000);
          set.insert(key(one), bytes, rank, static_cast<Tick>(i), i);
          plain[one] = Plain{bytes, rank, i};
          break;
        }
        case 1:
          if (slot != EvictionSet<int>::kNone) {
            set.erase(slot);
            plain.erase(one);
          }
          break;
        default:
          if (slot != EvictionSet<int>::kNone) {
            set.touch(slot, static_cast<Tick>(i), rank);
            plain[one].rank = rank;
          }
      }
    }
    ASSERT_EQ(set.size(), plain.size());
    std::uint64_t bytes = 0;
    std::map<int, std::size_t> ranks;
    for (const auto& [one, entry] : plain) {
      const auto slot = set.find(key(one));
      ASSERT_NE(slot, EvictionSet<int>::kNone);
      EXPECT_EQ(set.at(slot).payload, entry.payload);
      EXPECT_EQ(set.at(slot).rank, entry.rank);
      bytes += entry.bytes;
      ++ranks[entry.rank];
    }
    EXPECT_EQ(set.bytes(), bytes);
    for (const auto& [rank, count] : ranks) {
      EXPECT_EQ(set.size_of_rank(rank), count);
    }
  }
}

TEST(EvictionSet, TheLowestRankLeavesFirstWhateverElse) {
  std::mt19937 random(1);
  EvictionSet<int> set;
  set.insert(key(1), 10, 3, 0, 0);  // old and large do not matter across ranks
  set.insert(key(2), 1'000'000, 2, 0, 0);
  const auto low = set.insert(key(3), 1, 1, 100, 0);
  for (int i = 0; i < 50; ++i) {
    set.touch(low, 100, 1);
  }
  EXPECT_EQ(set.at(set.victim(100, random)).key, key(3));
  set.erase(low);
  EXPECT_EQ(set.at(set.victim(100, random)).key, key(2));
}

// The paper's order within a rank: used less, larger, idle for longer.
TEST(EvictionSet, WithinARankThePapersOrderDecides) {
  std::mt19937 random(1);
  const auto victim = [&random](EvictionSet<int>& set, Tick now) {
    return set.at(set.victim(now, random)).key;
  };
  EvictionSet<int> by_use;
  const auto used = by_use.insert(key(1), 10, 2, 0, 0);
  by_use.insert(key(2), 10, 2, 0, 0);
  by_use.touch(used, 0, 2);
  EXPECT_EQ(victim(by_use, 0), key(2));
  EvictionSet<int> by_size;
  by_size.insert(key(1), 10, 2, 0, 0);
  by_size.insert(key(2), 90, 2, 0, 0);
  EXPECT_EQ(victim(by_size, 0), key(2));
  EvictionSet<int> by_time;
  by_time.insert(key(1), 10, 2, 0, 0);
  by_time.insert(key(2), 10, 2, 50, 0);
  EXPECT_EQ(victim(by_time, 60), key(1));
}

TEST(EvictionSet, SparesWhatHasJustComeAndEndsWhenNothingElseIsLeft) {
  std::mt19937 random(1);
  EvictionSet<int> set;
  const auto only = set.insert(key(1), 10, 1, 0, 0);
  EXPECT_EQ(set.victim(0, random, only), EvictionSet<int>::kNone);
  set.insert(key(2), 10, 3, 0, 0);
  EXPECT_EQ(set.at(set.victim(0, random, only)).key, key(2));
}

TEST(EvictionSet, UsesAgeWithTime) {
  EXPECT_EQ(aged_uses(8, 0, 600), 8U);
  EXPECT_EQ(aged_uses(8, 600, 600), 4U);
  EXPECT_EQ(aged_uses(8, 6'000, 600), 0U);
  EXPECT_EQ(aged_uses(8, UINT32_MAX, 600), 0U);
}

TEST(WriteBudget, FillsAtItsRateUpToItsBurst) {
  WriteBudget budget(1'000, 10'000);
  EXPECT_EQ(budget.left(0), 10'000);
  budget.spend(12'000);
  EXPECT_EQ(budget.left(0), -2'000);
  EXPECT_EQ(budget.left(3'000), 1'000);
  EXPECT_EQ(budget.left(2'000), 1'000) << "time that goes back gives nothing and takes nothing";
  EXPECT_EQ(budget.left(3'500), 1'500);
  EXPECT_EQ(budget.left(INT64_MAX / 2), 10'000);
  WriteBudget endless(0, 10'000);
  endless.spend(1'000'000);
  EXPECT_EQ(endless.left(0), 10'000);
}

Placement::Options placement_options() {
  Placement::Options options;
  options.tier_bytes = 1'000;
  options.write_bytes_per_s = 100;
  options.write_burst_bytes = 2'000;
  options.sketch_keys = 1'000;
  return options;
}

TEST(Placement, NothingWithoutARankAndNothingTooLarge) {
  Placement placement(placement_options());
  placement.seen(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 10, 0}, 0, 0), Verdict::kNoRank);
  EXPECT_EQ(placement.admit(Candidate{key(1), 251, 3}, 0, 0), Verdict::kTooLarge);
  EXPECT_EQ(placement.admit(Candidate{key(1), 250, 1}, 0, 0), Verdict::kKeep);
}

// Guards against a scan that washes out the tier: what is asked for once finds no room in a full one.
TEST(Placement, AScanFindsNoRoomInAFullTier) {
  Placement placement(placement_options());
  for (std::uint64_t i = 0; i < 500; ++i) {
    placement.seen(key(i));
    EXPECT_EQ(placement.admit(Candidate{key(i), 10, 2}, 995, 0), Verdict::kNoRoom) << i;
  }
}

TEST(Placement, ANewLargeObjectIsKeptAtItsSecondRequestAtTheLatest) {
  Placement placement(placement_options());
  placement.seen(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 240, 1}, 990, 0), Verdict::kNoRoom);
  placement.seen(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 240, 1}, 990, 0), Verdict::kKeep);
  placement.seen(key(2));
  EXPECT_EQ(placement.admit(Candidate{key(2), 240, 3}, 990, 0), Verdict::kKeep)
      << "the top rank says that the object was asked for elsewhere";
}

// Also after a flood of first requests that was let in: those leave half of the burst for what comes again.
TEST(Placement, FirstRequestsLeaveHalfTheBurstForSecondOnes) {
  Placement placement(placement_options());
  std::uint64_t kept = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    placement.seen(key(i));
    kept += placement.admit(Candidate{key(i), 100, 2}, 0, 0) == Verdict::kKeep ? 1 : 0;
  }
  EXPECT_EQ(kept, 10U);
  placement.seen(key(1'000));
  placement.seen(key(1'000));
  EXPECT_EQ(placement.admit(Candidate{key(1'000), 250, 1}, 0, 0), Verdict::kKeep);
}

TEST(Placement, TheWriteBudgetBindsInTheLongRun) {
  Placement placement(placement_options());
  std::mt19937 random(5);
  std::uint64_t written = 0;
  constexpr std::int64_t kSeconds = 200;
  for (std::int64_t ms = 0; ms < kSeconds * 1'000; ms += 10) {
    const std::uint64_t one = random() % 50;  // all of them asked for again and again
    placement.seen(key(one));
    if (placement.admit(Candidate{key(one), 100, 2}, 990, ms) == Verdict::kKeep) {
      written += 100;
    }
  }
  EXPECT_LE(written, std::int64_t{2} * 2'000 + 100 * kSeconds + 100)
      << "the burst, once overdrawn, and the rate";
  EXPECT_GE(written, 100U * kSeconds);
}

TEST(Placement, MovesOnlyWhatWasUsedAgain) {
  Placement placement(placement_options());
  EXPECT_FALSE(placement.worth_moving(10, 2, 1, 0));
  EXPECT_TRUE(placement.worth_moving(10, 2, 2, 0));
  EXPECT_TRUE(placement.worth_moving(10, 3, 0, 0));
  placement.budget().spend(5'000);
  EXPECT_FALSE(placement.worth_moving(10, 3, 9, 0)) << "the budget is overdrawn";
}

TEST(Placement, MemoryIsNotWashedOutByAScanEither) {
  Placement placement(placement_options());
  placement.seen(key(1));
  EXPECT_TRUE(placement.into_memory(key(1), 2, 1));
  EXPECT_FALSE(placement.into_memory(key(1), 2, 2));
  placement.seen(key(1));
  EXPECT_TRUE(placement.into_memory(key(1), 2, 2));
  EXPECT_FALSE(placement.into_memory(key(1), 0, 0));
}

PurgeRecord object_purge(std::uint64_t id, std::int64_t ms) { return {PurgeRecord::Kind::kObject, id, ms}; }
PurgeRecord group_purge(std::uint64_t id, std::int64_t ms) { return {PurgeRecord::Kind::kGroup, id, ms}; }

TEST(PurgeTable, ACopyOfThePurgesOwnMillisecondIsForbidden) {
  PurgeTable ledger;
  EXPECT_TRUE(ledger.add(object_purge(7, 1'000)));
  EXPECT_FALSE(ledger.allows(7, 1, 999));
  EXPECT_FALSE(ledger.allows(7, 1, 1'000));
  EXPECT_TRUE(ledger.allows(7, 1, 1'001));
  EXPECT_TRUE(ledger.allows(8, 1, 1));
}

TEST(PurgeTable, ToldTwiceOrOutOfOrderTheLatestBinds) {
  PurgeTable ledger;
  EXPECT_TRUE(ledger.add(object_purge(7, 2'000)));
  EXPECT_FALSE(ledger.add(object_purge(7, 2'000)));
  EXPECT_FALSE(ledger.add(object_purge(7, 1'000)));
  EXPECT_FALSE(ledger.allows(7, 1, 1'500));
  EXPECT_TRUE(ledger.add(group_purge(1, 3'000)));
  EXPECT_FALSE(ledger.add(group_purge(1, 2'500)));
  EXPECT_FALSE(ledger.allows(7, 1, 3'000));
  EXPECT_TRUE(ledger.allows(7, 2, 3'000));
}

TEST(PurgeTable, ACopyOfUnknownGroupIsBoundByEveryGroup) {
  PurgeTable ledger;
  ledger.add(group_purge(1, 3'000));
  ledger.add(group_purge(2, 1'000));
  EXPECT_FALSE(ledger.allows(7, kUnknownGroup, 3'000));
  EXPECT_TRUE(ledger.allows(7, kUnknownGroup, 3'001));
  EXPECT_TRUE(ledger.allows(std::nullopt, 2, 1'001));
}

// Bounded, it forbids too much and never too little: against a ledger without a bound.
TEST(PurgeTable, BeyondItsBoundItForbidsMoreNeverLess) {
  std::mt19937 random(11);
  PurgeTable small(20);
  PurgeTable whole(100'000);
  for (int i = 0; i < 2'000; ++i) {
    const PurgeRecord purge =
        random() % 10 == 0 ? group_purge(random() % 5, static_cast<std::int64_t>(random() % 10'000))
                           : object_purge(random() % 200, static_cast<std::int64_t>(random() % 10'000));
    small.add(purge);
    whole.add(purge);
    const ObjectId object = random() % 220;
    const int group = static_cast<int>(random() % 6) - 1;
    ASSERT_GE(small.purged_until(object, group), whole.purged_until(object, group));
    ASSERT_LE(small.objects(), 20U);
  }
}

// What is durable follows what is folded: replayed from its records, a ledger forbids the same.
TEST(PurgeTable, ItsRecordsMakeItAnew) {
  std::mt19937 random(13);
  PurgeTable ledger(20);
  std::map<std::pair<PurgeRecord::Kind, std::uint64_t>, std::int64_t> durable;
  for (int i = 0; i < 500; ++i) {
    const PurgeRecord purge = object_purge(random() % 100, static_cast<std::int64_t>(random() % 5'000));
    if (ledger.add(purge)) {
      durable[{purge.kind, purge.id}] = purge.ms;
    }
    for (const PurgeRecord& folded : ledger.take_folded()) {
      if (folded.kind == PurgeRecord::Kind::kAll) {
        durable[{folded.kind, 0}] = folded.ms;
      } else {
        durable.erase({folded.kind, folded.id});
      }
    }
  }
  PurgeTable again(20);
  for (const auto& [which, ms] : durable) {
    again.add(PurgeRecord{which.first, which.second, ms});
  }
  for (ObjectId object = 0; object < 110; ++object) {
    EXPECT_EQ(again.purged_until(object, kNoGroup), ledger.purged_until(object, kNoGroup)) << object;
  }
}

TEST(SegmentTable, ClearsWhatIsOfNoUseAtOnceAndElseTheEmptiestWhenRoomIsShort) {
  SegmentTable book(1'000, 200);
  for (SegmentId id = 1; id <= 3; ++id) {
    book.grown(id, 200);
    book.live_added(id, std::uint64_t{50} * id);
  }
  book.sealed(2);
  book.sealed(3);
  EXPECT_EQ(book.next_to_clear(), std::nullopt) << "there is room";
  book.grown(4, 250);
  EXPECT_EQ(book.next_to_clear(), 2U) << "segment 1 is still written to";
  book.clearing(2);
  EXPECT_EQ(book.next_to_clear(), std::nullopt) << "one at a time";
  book.removed(2);
  EXPECT_EQ(book.next_to_clear(), std::nullopt);
  book.live_gone(3, 150);
  EXPECT_EQ(book.next_to_clear(), 3U) << "nothing of use: at once";
}

TEST(SegmentTable, AFullDiskMakesItSmaller) {
  SegmentTable book(1'000, 100);
  book.grown(1, 400);
  book.sealed(1);
  book.live_added(1, 400);
  EXPECT_TRUE(book.room_for(600));
  book.shrink(450);
  EXPECT_FALSE(book.room_for(100));
  EXPECT_EQ(book.next_to_clear(), 1U);
  book.shrink(2'000);
  EXPECT_EQ(book.most(), 450U);
  book.restore();
  EXPECT_EQ(book.most(), 1'000U);
}

TEST(DiskHealth, AStalledDiskIsTriedNowAndThenAndTrustedAgainWhenAReadComesBackInTime) {
  DiskHealth health({});
  EXPECT_FALSE(health.may_read(0));
  health.opened();
  EXPECT_TRUE(health.may_read(0));
  health.read_late(1'000);
  health.read_late(1'010);
  EXPECT_EQ(health.state(1'010), DiskHealth::State::kStalled);
  EXPECT_EQ(health.stalls(), 1U);
  EXPECT_FALSE(health.may_read(1'100));
  EXPECT_FALSE(health.may_write(1'100));
  EXPECT_TRUE(health.may_read(1'250));
  EXPECT_FALSE(health.may_read(1'251)) << "one try at a time";
  health.read_back(2'000, 150);
  EXPECT_EQ(health.state(3'000), DiskHealth::State::kStalled) << "a late one that comes back proves nothing";
  health.read_back(20, 150);
  EXPECT_EQ(health.state(3'000), DiskHealth::State::kGood);
}

TEST(DiskHealth, FailedWritesPauseForLongerAndLonger) {
  DiskHealth health({});
  health.opened();
  std::int64_t now = 0;
  for (const std::int64_t pause : {1'000, 2'000, 4'000, 8'000, 16'000, 32'000, 60'000, 60'000}) {
    health.write_failed(now, "no");
    EXPECT_EQ(health.state(now + pause - 1), DiskHealth::State::kReadOnly);
    EXPECT_TRUE(health.may_read(now));
    EXPECT_TRUE(health.may_write(now + pause));
    now += pause;
  }
  health.write_done();
  health.write_failed(now, "no");
  EXPECT_TRUE(health.may_write(now + 1'000));
}

TEST(UnixClock, NeverGoesBackNeitherByTheSystemNorOverARestart) {
  UnixClock clock(100, 1'000'000);
  EXPECT_EQ(clock.at(150), 1'000'050);
  clock.not_before(200, 900'000);
  EXPECT_EQ(clock.at(200), 1'000'100) << "an earlier time changes nothing";
  clock.not_before(200, 2'000'000);
  EXPECT_EQ(clock.at(210), 2'000'010);
}

TEST(UnixClock, LearnsFromCopiesThatComeFromTheFutureUpToABound) {
  UnixClock clock(0, 1'000'000);
  EXPECT_TRUE(clock.heard(0, 1'005'000));
  EXPECT_EQ(clock.at(0), 1'005'000);
  EXPECT_TRUE(clock.heard(0, 1'000));
  EXPECT_EQ(clock.at(0), 1'005'000);
  EXPECT_FALSE(clock.heard(0, 1'005'000 + UnixClock::kMostAhead + 1));
  EXPECT_EQ(clock.at(0), 1'005'000);
}

}  // namespace
}  // namespace trailcourse::store
