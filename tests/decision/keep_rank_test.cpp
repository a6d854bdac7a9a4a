// The keep rank: its score, its thresholds, the share of the top rank, and the object table.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

// A size that cannot be sent before the deadline must not change the ranks of other objects.
TEST(KeepRank, IgnoresImplausibleSizes) {
  const auto ranks_after = [](double size_kb) {
    TestRouter router;
    router.receive_list(default_endpoints());
    for (RequestId id = 1; id <= 20; ++id) {
      router.request(id, kVideo, 1000 + id, size_kb);
      router.end_attempt(id, 0, Status::kError);
      router.handle(ClientLeft{id});
    }
    router.now += seconds(30);
    std::vector<int> ranks;
    for (RequestId id = 100; id < 140; ++id) {
      router.now += milliseconds(20);
      ranks.push_back(router.serve(id, kVideo, id % 7, 100.0 + 10.0 * static_cast<double>(id % 7)).keep_rank);
    }
    return ranks;
  };
  EXPECT_EQ(ranks_after(1e12), ranks_after(0.0)) << "an implausible size counts as unknown";
}

// Requests other objects, so that the share of the top rank is not exhausted.
void add_requested_bytes(TestRouter& router, double size_kb = 300.0) {
  for (RequestId id = 9000; id < 9040; ++id) {
    router.serve(id, kVideo, id, size_kb);
  }
}

// The sums in the comments are the score: the terms for the request count, the size and the idle time.
TEST(KeepRank, DependsOnCountSizeAndIdleTime) {
  TestRouter router;
  router.receive_list(default_endpoints());
  add_requested_bytes(router);
  EXPECT_EQ(router.serve(1, kVideo, 1, 300.0).keep_rank, 1);  // 1 + 0.9 + 0.6
  EXPECT_EQ(router.serve(2, kVideo, 2, 30.0).keep_rank, 2);   // 1 + 0.09 + 0.6
  EXPECT_EQ(router.serve(3, kVideo, 2, 30.0).keep_rank, 3);   // 0.5 + 0.09 + 0
  EXPECT_EQ(router.serve(4, kVideo, 1, 300.0).keep_rank, 2);  // 0.5 + 0.9 + 0
  router.now += seconds(40);
  EXPECT_EQ(router.serve(5, kVideo, 2, 30.0).keep_rank, 3);   // 0.33 + 0.09 + 0.6
  EXPECT_EQ(router.serve(6, kVideo, 1, 300.0).keep_rank, 2);  // 0.33 + 0.9 + 0.6
}

TEST(KeepRank, TheTopRankGetsALimitedShareOfTheBytes) {
  TestRouter router;
  router.receive_list(default_endpoints());
  double top = 0.0;
  for (RequestId id = 1; id <= 2000; ++id) {
    top += router.serve(id, kVideo, id % 5, 100.0).keep_rank == 3 ? 1.0 : 0.0;
  }
  EXPECT_GT(top, 0.0);
  EXPECT_LE(top / 2000.0, 0.3);
}

TEST(KeepRank, CountsHalveEachMinute) {
  TestRouter router;
  router.receive_list(default_endpoints());
  add_requested_bytes(router);
  router.serve(1, kVideo, 1, 240.0);
  router.serve(2, kVideo, 1, 240.0);
  router.now += seconds(185);
  // 1 / 1.25 + 0.72 + 0.6; without halving it would be the middle rank
  EXPECT_EQ(router.serve(3, kVideo, 1, 240.0).keep_rank, 1);
}

TEST(KeepRank, CountsThePartsOfAnObjectSeparately) {
  TestRouter router;
  router.receive_list(default_endpoints());
  add_requested_bytes(router);
  std::set<std::string> caches;
  for (std::uint32_t part = 0; part < 40; ++part) {
    RequestArrived request;
    request.id = part + 1;
    request.object = 5;
    request.part = part;
    request.size_kb = 300.0;
    request.deadline = router.now + seconds(5);
    router.handle(request);
    EXPECT_EQ(router.sends[request.id].at(0).keep_rank, 1);
    caches.insert(router.sends[request.id].at(0).cache);
    router.end_attempt(request.id, 0, Status::kOk, Note::kHit);
  }
  EXPECT_GT(caches.size(), 2U);
}

TEST(KeepRank, EvictsTheLeastRecentlyUsedObjectFromTheTable) {
  TestRouter router;
  router.receive_list(default_endpoints());
  add_requested_bytes(router, 200.0);
  EXPECT_EQ(router.serve(1, kVideo, 1, 100.0).keep_rank, 1);  // 1 + 0.45 + 0.6
  EXPECT_EQ(router.serve(2, kVideo, 1, 100.0).keep_rank, 3);  // 0.5 + 0.45 + 0
  for (ObjectId object = 100'000; object < 150'000; ++object) {
    router.serve(object, kVideo, object, 100.0);
    router.sends.erase(object);
  }
  EXPECT_EQ(router.serve(3, kVideo, 1, 100.0).keep_rank, 1);
}

// Returns the rank of a second request after the first was answered with `note`: the top rank without a known
// holder, the middle rank with one.
int rank_after(NoteLevel level, Note note, Micros pause = Micros(0)) {
  Settings settings = default_settings();
  settings.notes = level;
  TestRouter router(settings);
  router.receive_list(default_endpoints());
  add_requested_bytes(router);
  router.serve(1, kVideo, 1, 200.0, note);
  router.now += pause;
  return router.serve(2, kVideo, 1, 200.0).keep_rank;  // 0.5 + 0.6, and 0.15 for one holder of two parents
}

TEST(KeepRank, CountsKnownHoldersOnlyIfNotesShowThem) {
  EXPECT_EQ(rank_after(NoteLevel::kAll, Note::kFilled), 2);
  EXPECT_EQ(rank_after(NoteLevel::kAll, Note::kFilledFromOrigin), 3);
  EXPECT_EQ(rank_after(NoteLevel::kAll, Note::kHit), 3);
  EXPECT_EQ(rank_after(NoteLevel::kHit, Note::kFilled), 3);
  EXPECT_EQ(rank_after(NoteLevel::kNone, Note::kNone), 3);
}

}  // namespace
}  // namespace trailcourse::decision_testing
