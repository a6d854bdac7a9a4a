// The store's modules without I/O: request counts, eviction, placement, purges, the choice of the segment to
// clear, disk health and the clock.
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

TEST(FrequencySketch, NeverEstimatesBelowTheTrueCountBeforeAHalving) {
  FrequencySketch sketch(1'000);
  std::mt19937 random(3);
  std::map<std::uint64_t, int> counted;
  for (int i = 0; i < 4'000; ++i) {
    const std::uint64_t number = random() % 1'000;
    sketch.increment(key(number));
    ++counted[number];
  }
  int wrong = 0;
  for (const auto& [number, times] : counted) {
    ASSERT_GE(sketch.estimate(key(number)), std::min(times, 15));
    wrong += sketch.estimate(key(number)) > std::min(times, 15) ? 1 : 0;
  }
  EXPECT_LT(wrong, 20) << "few of 1,000 keys share all of their counters";
}

TEST(FrequencySketch, LowersTheEstimateOfAKeyThatIsNoLongerRequested) {
  FrequencySketch sketch(64);
  for (int i = 0; i < 12; ++i) {
    sketch.increment(key(1));
  }
  const int before = sketch.estimate(key(1));
  for (std::uint64_t i = 0; i < 4 * sketch.halving_threshold(); ++i) {
    sketch.increment(key(100 + i % 300));
  }
  EXPECT_GE(before, 12);
  EXPECT_LT(sketch.estimate(key(1)), 6);
}

// Compares the set with a map over random operations: keys, bytes and ranks have to be the same.
TEST(EvictionSet, HasTheSameContentAsAMapAfterRandomOperations) {
  struct ExpectedEntry {
    std::uint32_t bytes;
    int rank;
    int payload;
  };
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    EvictionSet<int> set;
    std::map<std::uint64_t, ExpectedEntry> expected;
    for (int i = 0; i < 6'000; ++i) {
      const std::uint64_t number = random() % 700;
      const auto slot = set.find(key(number));
      ASSERT_EQ(slot != EvictionSet<int>::kNone, expected.contains(number));
      const auto rank = static_cast<int>(random() % 4);
      switch (random() % 3) {
        case 0: {
          const auto bytes = static_cast<std::uint32_t>(random() % 1'000);
          set.insert(key(number), bytes, rank, static_cast<Tick>(i), i);
          expected[number] = ExpectedEntry{bytes, rank, i};
          break;
        }
        case 1:
          if (slot != EvictionSet<int>::kNone) {
            set.erase(slot);
            expected.erase(number);
          }
          break;
        default:
          if (slot != EvictionSet<int>::kNone) {
            set.touch(slot, static_cast<Tick>(i), rank);
            expected[number].rank = rank;
          }
      }
    }
    ASSERT_EQ(set.size(), expected.size());
    std::uint64_t bytes = 0;
    std::map<int, std::size_t> ranks;
    for (const auto& [number, entry] : expected) {
      const auto slot = set.find(key(number));
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

TEST(EvictionSet, EvictsTheLowestRankFirstRegardlessOfAgeSizeAndUses) {
  std::mt19937 random(1);
  EvictionSet<int> set;
  set.insert(key(1), 10, 3, 0, 0);  // age and size do not matter across ranks
  set.insert(key(2), 1'000'000, 2, 0, 0);
  const auto low = set.insert(key(3), 1, 1, 100, 0);
  for (int i = 0; i < 50; ++i) {
    set.touch(low, 100, 1);
  }
  EXPECT_EQ(set.at(set.victim(100, random)).key, key(3));
  set.erase(low);
  EXPECT_EQ(set.at(set.victim(100, random)).key, key(2));
}

// The paper's order within a rank: the entry with fewer uses, more bytes or a longer idle time is evicted
// first.
TEST(EvictionSet, EvictsWithinARankByThePapersOrder) {
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

TEST(EvictionSet, ReturnsNoVictimWhenOnlyTheExcludedEntryIsLeft) {
  std::mt19937 random(1);
  EvictionSet<int> set;
  const auto only = set.insert(key(1), 10, 1, 0, 0);
  EXPECT_EQ(set.victim(0, random, only), EvictionSet<int>::kNone);
  set.insert(key(2), 10, 3, 0, 0);
  EXPECT_EQ(set.at(set.victim(0, random, only)).key, key(2));
}

TEST(EvictionSet, HalvesUseCountsOverIdleTime) {
  EXPECT_EQ(aged_uses(8, 0, 600), 8U);
  EXPECT_EQ(aged_uses(8, 600, 600), 4U);
  EXPECT_EQ(aged_uses(8, 6'000, 600), 0U);
  EXPECT_EQ(aged_uses(8, UINT32_MAX, 600), 0U);
}

TEST(WriteBudget, RefillsAtItsRateUpToItsBurst) {
  WriteBudget budget(1'000, 10'000);
  EXPECT_EQ(budget.left(0), 10'000);
  budget.spend(12'000);
  EXPECT_EQ(budget.left(0), -2'000);
  EXPECT_EQ(budget.left(3'000), 1'000);
  EXPECT_EQ(budget.left(2'000), 1'000) << "a time that goes back changes nothing";
  EXPECT_EQ(budget.left(3'500), 1'500);
  EXPECT_EQ(budget.left(INT64_MAX / 2), 10'000);
  WriteBudget unlimited(0, 10'000);
  unlimited.spend(1'000'000);
  EXPECT_EQ(unlimited.left(0), 10'000);
}

Placement::Options placement_options() {
  Placement::Options options;
  options.tier_bytes = 1'000;
  options.write_bytes_per_s = 100;
  options.write_burst_bytes = 2'000;
  options.sketch_keys = 1'000;
  return options;
}

TEST(Placement, RejectsCopiesOfRankZeroAndCopiesAboveTheMaximumShare) {
  Placement placement(placement_options());
  placement.record_request(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 10, 0}, 0, 0), PlacementDecision::kNoRank);
  EXPECT_EQ(placement.admit(Candidate{key(1), 251, 3}, 0, 0), PlacementDecision::kTooLarge);
  EXPECT_EQ(placement.admit(Candidate{key(1), 250, 1}, 0, 0), PlacementDecision::kAdmit);
}

// Guards against a scan that evicts the content of a full tier: copies requested once are not admitted to it.
TEST(Placement, RejectsCopiesRequestedOnceWhenTheTierIsFull) {
  Placement placement(placement_options());
  for (std::uint64_t i = 0; i < 500; ++i) {
    placement.record_request(key(i));
    EXPECT_EQ(placement.admit(Candidate{key(i), 10, 2}, 995, 0), PlacementDecision::kNoCapacity) << i;
  }
}

TEST(Placement, AdmitsANewLargeObjectAtItsSecondRequestAtTheLatest) {
  Placement placement(placement_options());
  placement.record_request(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 240, 1}, 990, 0), PlacementDecision::kNoCapacity);
  placement.record_request(key(1));
  EXPECT_EQ(placement.admit(Candidate{key(1), 240, 1}, 990, 0), PlacementDecision::kAdmit);
  placement.record_request(key(2));
  EXPECT_EQ(placement.admit(Candidate{key(2), 240, 3}, 990, 0), PlacementDecision::kAdmit)
      << "the top rank counts as a request at another node";
}

// Guards against a flood of first requests that uses up the budget: half of the burst is left for repeated
// requests.
TEST(Placement, LeavesHalfOfTheBurstForRepeatedRequests) {
  Placement placement(placement_options());
  std::uint64_t kept = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    placement.record_request(key(i));
    kept += placement.admit(Candidate{key(i), 100, 2}, 0, 0) == PlacementDecision::kAdmit ? 1 : 0;
  }
  EXPECT_EQ(kept, 10U);
  placement.record_request(key(1'000));
  placement.record_request(key(1'000));
  EXPECT_EQ(placement.admit(Candidate{key(1'000), 250, 1}, 0, 0), PlacementDecision::kAdmit);
}

TEST(Placement, KeepsTheLongTermWriteRateWithinTheBudget) {
  Placement placement(placement_options());
  std::mt19937 random(5);
  std::uint64_t written = 0;
  constexpr std::int64_t kSeconds = 200;
  for (std::int64_t ms = 0; ms < kSeconds * 1'000; ms += 10) {
    const std::uint64_t number = random() % 50;  // all requested repeatedly
    placement.record_request(key(number));
    if (placement.admit(Candidate{key(number), 100, 2}, 990, ms) == PlacementDecision::kAdmit) {
      written += 100;
    }
  }
  EXPECT_LE(written, std::int64_t{2} * 2'000 + 100 * kSeconds + 100)
      << "the burst, overdrawn once, and the rate";
  EXPECT_GE(written, 100U * kSeconds);
}

TEST(Placement, AdmitsMovesOnlyOfCopiesThatWereUsedAgain) {
  Placement placement(placement_options());
  EXPECT_FALSE(placement.admit_move(10, 2, 1, 0));
  EXPECT_TRUE(placement.admit_move(10, 2, 2, 0));
  EXPECT_TRUE(placement.admit_move(10, 3, 0, 0));
  placement.budget().spend(5'000);
  EXPECT_FALSE(placement.admit_move(10, 3, 9, 0)) << "the budget is overdrawn";
}

TEST(Placement, DoesNotAdmitACopyRequestedOnceToMemoryWhenTheVictimWasUsedAgain) {
  Placement placement(placement_options());
  placement.record_request(key(1));
  EXPECT_TRUE(placement.admits_to_memory(key(1), 2, 1));
  EXPECT_FALSE(placement.admits_to_memory(key(1), 2, 2));
  placement.record_request(key(1));
  EXPECT_TRUE(placement.admits_to_memory(key(1), 2, 2));
  EXPECT_FALSE(placement.admits_to_memory(key(1), 0, 0));
}

PurgeRecord object_purge(std::uint64_t id, std::int64_t ms) { return {PurgeRecord::Kind::kObject, id, ms}; }
PurgeRecord group_purge(std::uint64_t id, std::int64_t ms) { return {PurgeRecord::Kind::kGroup, id, ms}; }

TEST(PurgeTable, RejectsACopyWhoseOriginTimeIsThePurgesMillisecond) {
  PurgeTable table;
  EXPECT_TRUE(table.add(object_purge(7, 1'000)));
  EXPECT_FALSE(table.allows(7, 1, 999));
  EXPECT_FALSE(table.allows(7, 1, 1'000));
  EXPECT_TRUE(table.allows(7, 1, 1'001));
  EXPECT_TRUE(table.allows(8, 1, 1));
}

TEST(PurgeTable, AppliesTheLatestPurgeWhenPurgesRepeatOrArriveOutOfOrder) {
  PurgeTable table;
  EXPECT_TRUE(table.add(object_purge(7, 2'000)));
  EXPECT_FALSE(table.add(object_purge(7, 2'000)));
  EXPECT_FALSE(table.add(object_purge(7, 1'000)));
  EXPECT_FALSE(table.allows(7, 1, 1'500));
  EXPECT_TRUE(table.add(group_purge(1, 3'000)));
  EXPECT_FALSE(table.add(group_purge(1, 2'500)));
  EXPECT_FALSE(table.allows(7, 1, 3'000));
  EXPECT_TRUE(table.allows(7, 2, 3'000));
}

TEST(PurgeTable, AppliesEveryGroupPurgeToACopyOfUnknownGroup) {
  PurgeTable table;
  table.add(group_purge(1, 3'000));
  table.add(group_purge(2, 1'000));
  EXPECT_FALSE(table.allows(7, kUnknownGroup, 3'000));
  EXPECT_TRUE(table.allows(7, kUnknownGroup, 3'001));
  EXPECT_TRUE(table.allows(std::nullopt, 2, 1'001));
}

// Compares a bounded table with a large one: the bounded table rejects at least the same copies.
TEST(PurgeTable, RejectsAtLeastThePurgedCopiesBeyondItsBound) {
  std::mt19937 random(11);
  PurgeTable bounded(20);
  PurgeTable unbounded(100'000);
  for (int i = 0; i < 2'000; ++i) {
    const PurgeRecord purge =
        random() % 10 == 0 ? group_purge(random() % 5, static_cast<std::int64_t>(random() % 10'000))
                           : object_purge(random() % 200, static_cast<std::int64_t>(random() % 10'000));
    bounded.add(purge);
    unbounded.add(purge);
    const ObjectId object = random() % 220;
    const int group = static_cast<int>(random() % 6) - 1;
    ASSERT_GE(bounded.purged_until(object, group), unbounded.purged_until(object, group));
    ASSERT_LE(bounded.objects(), 20U);
  }
}

// A table restored from the records of add() and drain_folded() rejects the same copies.
TEST(PurgeTable, IsRestoredFromItsRecords) {
  std::mt19937 random(13);
  PurgeTable table(20);
  std::map<std::pair<PurgeRecord::Kind, std::uint64_t>, std::int64_t> durable;
  for (int i = 0; i < 500; ++i) {
    const PurgeRecord purge = object_purge(random() % 100, static_cast<std::int64_t>(random() % 5'000));
    if (table.add(purge)) {
      durable[{purge.kind, purge.id}] = purge.purged_unix_ms;
    }
    for (const PurgeRecord& folded : table.drain_folded()) {
      if (folded.kind == PurgeRecord::Kind::kAll) {
        durable[{folded.kind, 0}] = folded.purged_unix_ms;
      } else {
        durable.erase({folded.kind, folded.id});
      }
    }
  }
  PurgeTable restored(20);
  for (const auto& [which, ms] : durable) {
    restored.add(PurgeRecord{which.first, which.second, ms});
  }
  for (ObjectId object = 0; object < 110; ++object) {
    EXPECT_EQ(restored.purged_until(object, kNoGroup), table.purged_until(object, kNoGroup)) << object;
  }
}

TEST(SegmentTable, ClearsSegmentsWithoutLiveRecordsAtOnceAndThoseWithTheSmallestLiveShareWhenSpaceIsShort) {
  SegmentTable segments(1'000, 200);
  for (SegmentId id = 1; id <= 3; ++id) {
    segments.set_file_bytes(id, 200);
    segments.add_live(id, std::uint64_t{50} * id);
  }
  segments.mark_sealed(2);
  segments.mark_sealed(3);
  EXPECT_EQ(segments.next_to_clear(), std::nullopt) << "space is not short";
  segments.set_file_bytes(4, 250);
  EXPECT_EQ(segments.next_to_clear(), 2U) << "segment 1 is still written to";
  segments.mark_clearing(2);
  EXPECT_EQ(segments.next_to_clear(), std::nullopt) << "one at a time";
  segments.remove(2);
  EXPECT_EQ(segments.next_to_clear(), std::nullopt);
  segments.remove_live(3, 150);
  EXPECT_EQ(segments.next_to_clear(), 3U) << "without live records a segment is cleared at once";
}

TEST(SegmentTable, LowersItsBoundOnAFullDiskUntilRestored) {
  SegmentTable segments(1'000, 100);
  segments.set_file_bytes(1, 400);
  segments.mark_sealed(1);
  segments.add_live(1, 400);
  EXPECT_TRUE(segments.has_room_for(600));
  segments.shrink(450);
  EXPECT_FALSE(segments.has_room_for(100));
  EXPECT_EQ(segments.next_to_clear(), 1U);
  segments.shrink(2'000);
  EXPECT_EQ(segments.max_bytes(), 450U);
  segments.restore();
  EXPECT_EQ(segments.max_bytes(), 1'000U);
}

TEST(DiskHealth, ProbesAStalledDiskAndEndsTheStallWhenAReadCompletesInTime) {
  DiskHealth health({});
  EXPECT_FALSE(health.may_read(0));
  health.enable();
  EXPECT_TRUE(health.may_read(0));
  health.on_late_read(1'000);
  health.on_late_read(1'010);
  EXPECT_EQ(health.state(1'010), DiskHealth::State::kStalled);
  EXPECT_EQ(health.stalls(), 1U);
  EXPECT_FALSE(health.may_read(1'100));
  EXPECT_FALSE(health.may_write(1'100));
  EXPECT_TRUE(health.may_read(1'250));
  EXPECT_FALSE(health.may_read(1'251)) << "one probe per interval";
  health.on_read_done(2'000, 150);
  EXPECT_EQ(health.state(3'000), DiskHealth::State::kStalled) << "a late read does not end the stall";
  health.on_read_done(20, 150);
  EXPECT_EQ(health.state(3'000), DiskHealth::State::kGood);
}

TEST(DiskHealth, DoublesThePauseAfterEachFailedWriteUpToAMaximum) {
  DiskHealth health({});
  health.enable();
  std::int64_t now = 0;
  for (const std::int64_t pause : {1'000, 2'000, 4'000, 8'000, 16'000, 32'000, 60'000, 60'000}) {
    health.on_write_failed(now, "no");
    EXPECT_EQ(health.state(now + pause - 1), DiskHealth::State::kReadOnly);
    EXPECT_TRUE(health.may_read(now));
    EXPECT_TRUE(health.may_write(now + pause));
    now += pause;
  }
  health.on_write_done();
  health.on_write_failed(now, "no");
  EXPECT_TRUE(health.may_write(now + 1'000));
}

TEST(UnixClock, NeverGoesBack) {
  UnixClock clock(100, 1'000'000);
  EXPECT_EQ(clock.at(150), 1'000'050);
  clock.advance_to(200, 900'000);
  EXPECT_EQ(clock.at(200), 1'000'100) << "an earlier time changes nothing";
  clock.advance_to(200, 2'000'000);
  EXPECT_EQ(clock.at(210), 2'000'010);
}

TEST(UnixClock, AdvancesToOriginTimesThatAreAheadByLessThanABound) {
  UnixClock clock(0, 1'000'000);
  EXPECT_TRUE(clock.observe_origin_time(0, 1'005'000));
  EXPECT_EQ(clock.at(0), 1'005'000);
  EXPECT_TRUE(clock.observe_origin_time(0, 1'000));
  EXPECT_EQ(clock.at(0), 1'005'000);
  EXPECT_FALSE(clock.observe_origin_time(0, 1'005'000 + UnixClock::kMaxAheadMs + 1));
  EXPECT_EQ(clock.at(0), 1'005'000);
}

}  // namespace
}  // namespace trailcourse::store
