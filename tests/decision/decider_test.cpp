// Final answers, endpoint lists, clock jumps and reproducible decisions.
#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "decision/decision_fixture.h"

namespace trailcourse::decision_testing {
namespace {

std::string describe(const std::vector<Action>& actions) {
  std::ostringstream text;
  for (const Action& action : actions) {
    text << action.index();
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      text << ' ' << send->id << ' ' << send->cache << ' ' << send->source << ' ' << send->keep_rank << ' '
           << send->max_age.count() << ' ' << send->timeout.count();
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      text << ' ' << timer->token << ' ' << timer->delay.count();
    }
    text << '\n';
  }
  return text.str();
}

TEST(FinalAnswer, IsGivenBeforeTheDeadline) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  ASSERT_FALSE(timers.empty());
  EXPECT_LT(timers.front().delay, Micros(seconds(5)));
  router.now += timers.front().delay;
  const auto last = router.handle(TimerFired{timers.front().token});
  EXPECT_EQ(final_answers(last), 1);
  EXPECT_EQ(count<SendAttempt>(last), 0);
  EXPECT_EQ(count<Cancel>(last), 1);
}

TEST(FinalAnswer, NoActionFollowsAfterTheClientLeft) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  router.handle(ClientLeft{1});
  for (const SetTimer& timer : timers) {
    EXPECT_TRUE(router.handle(TimerFired{timer.token}).empty());
  }
  EXPECT_TRUE(router.end_attempt(1, 0, Status::kTimeout).empty());
  EXPECT_TRUE(router.end_attempt(1, 0, Status::kTimeout).empty());
  EXPECT_TRUE(router.handle(ClientLeft{1}).empty());
}

TEST(FinalAnswer, IsGivenIfNoNodeIsUsable) {
  TestRouter router;
  EXPECT_EQ(final_answers(router.request(1)), 1);
  router.receive_list({});
  EXPECT_EQ(final_answers(router.request(2)), 1);
  auto draining = default_endpoints();
  for (Endpoint& entry : draining) {
    entry.state = NodeState::kDraining;
  }
  router.receive_list(draining);
  EXPECT_EQ(final_answers(router.request(3)), 1);
  EXPECT_EQ(final_answers(router.request(4, kWrite)), 1);
  RequestArrived unknown_class;
  unknown_class.id = 5;
  unknown_class.request_class = 99;
  EXPECT_EQ(final_answers(router.handle(unknown_class)), 1);
}

TEST(FinalAnswer, IsGivenIfNoParentAndNoOriginIsListed) {
  TestRouter router;
  router.receive_list({endpoint("c1")});
  ASSERT_EQ(count<SendAttempt>(router.request(1)), 1);
  EXPECT_EQ(router.sends[1][0].source, "c1");
  const auto after =
      router.end_attempt(1, 0, Status::kNotCached);  // a second attempt would find no copy either
  EXPECT_EQ(final_answers(after), 1);
  EXPECT_EQ(count<SendAttempt>(after), 0);
}

TEST(FinalAnswer, IgnoresOutcomesOfUnknownAttempts) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1);
  EXPECT_TRUE(router.end_attempt(9, 0, Status::kOk).empty());
  EXPECT_TRUE(router.end_attempt(1, 5, Status::kError).empty());
  EXPECT_TRUE(router.end_attempt(1, -1, Status::kError).empty());
  EXPECT_TRUE(router.end_attempt(1, 0, Status::kOk).empty());
}

TEST(FinalAnswer, HasNoDeadlineAfterAStreamStarted) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  router.handle(StreamStarted{1, 0});
  for (const SetTimer& timer : timers) {
    EXPECT_TRUE(router.handle(TimerFired{timer.token}).empty());
  }
}

// Guards against timers that the caller cannot cancel at the end of their request.
TEST(FinalAnswer, EachTimerNamesItsRequest) {
  TestRouter router;
  router.receive_list(default_endpoints());
  for (const RequestId id : {7U, 8U}) {
    std::vector<Action> actions = router.request(id);
    const std::vector<SetTimer> first = actions_of<SetTimer>(actions);
    ASSERT_EQ(first.size(), 2U) << "the deadline and the first attempt";
    router.now += first.back().delay;
    const std::vector<Action> overdue = router.handle(TimerFired{first.back().token});
    actions.insert(actions.end(), overdue.begin(), overdue.end());
    const std::vector<SetTimer> timers = actions_of<SetTimer>(actions);
    EXPECT_EQ(timers.size(), 3U) << "and the second attempt";
    for (const SetTimer& timer : timers) {
      EXPECT_EQ(timer.request, id);
    }
  }
}

TEST(EndpointList, ExcludesDrainingAndMissingNodesAsTargetAndSource) {
  TestRouter router;
  router.receive_list(default_endpoints());
  auto changed = endpoint("c2");
  changed.state = NodeState::kDraining;
  auto parent = endpoint("p1", Role::kParent);
  parent.state = NodeState::kGone;
  router.receive_list({changed, parent}, ListKind::kChanges);
  for (RequestId id = 1; id <= 200; ++id) {
    const SendAttempt send = router.serve(id, kVideo, id);
    EXPECT_NE(send.cache, "c2");
    EXPECT_NE(send.source, "p1");
  }
  router.receive_list(
      {endpoint("c1"), endpoint("p2", Role::kParent)});  // the other nodes are gone from the full list
  for (RequestId id = 301; id <= 400; ++id) {
    const SendAttempt send = router.serve(id, kVideo, id);
    EXPECT_EQ(send.cache, "c1");
    EXPECT_EQ(send.source, "p2");
  }
}

TEST(EndpointList, ExcludesDrainingNodesFromFurtherAttempts) {
  TestRouter router;
  router.receive_list(default_endpoints());
  router.request(1);
  const std::string first = router.sends[1][0].cache;
  const std::string source = router.sends[1][0].source;
  auto cache = endpoint(first);
  cache.state = NodeState::kDraining;
  auto parent = endpoint(source, Role::kParent);
  parent.state = NodeState::kDraining;
  router.receive_list({cache, parent}, ListKind::kChanges);
  router.end_attempt(1, 0, Status::kReset);
  ASSERT_EQ(router.sends[1].size(), 2U);
  EXPECT_NE(router.sends[1][1].cache, first);
  EXPECT_NE(router.sends[1][1].source, source);
}

TEST(EndpointList, AppliesTheLatestOfManyChanges) {
  TestRouter router;
  router.receive_list(default_endpoints());
  auto entry = endpoint("c1");
  for (int i = 0; i < 20; ++i) {
    entry.state = i % 2 == 0 ? NodeState::kDraining : NodeState::kReady;
    router.receive_list({entry}, ListKind::kChanges);
  }
  std::set<std::string> caches;
  for (RequestId id = 1; id <= 100; ++id) {
    caches.insert(router.serve(id, kVideo, id).cache);
  }
  EXPECT_EQ(caches.count("c1"), 1U);
}

TEST(EndpointList, MayReplaceHalfOfTheNodesAndExceedTheTableCapacity) {
  TestRouter router;
  std::vector<Endpoint> list;
  for (int i = 0; i < 6000; ++i) {
    list.push_back(endpoint(std::string("c").append(std::to_string(i))));
  }
  list.push_back(endpoint("p1", Role::kParent));
  list.push_back(endpoint("o", Role::kOrigin));
  router.receive_list(list);
  EXPECT_FALSE(router.serve(1).cache.empty());
  std::set<std::string> gone;
  for (int i = 0; i < 3000; ++i) {
    gone.insert(list[static_cast<std::size_t>(i)].address);
    list[static_cast<std::size_t>(i)] = endpoint(std::string("new").append(std::to_string(i)));
    list[static_cast<std::size_t>(i)].started = router.now;
  }
  router.receive_list(list);
  for (RequestId id = 2; id <= 300; ++id) {
    EXPECT_EQ(gone.count(router.serve(id, kVideo, id).cache), 0U);
  }
}

TEST(EndpointList, IsSubscribedToIfTheDeploymentRequiresIt) {
  Settings settings = default_settings();
  settings.must_subscribe = true;
  TestRouter router(settings);
  EXPECT_EQ(count<Subscribe>(router.handle(EndpointListReceived{ListKind::kRestored, default_endpoints()})),
            1);
  EXPECT_EQ(count<Subscribe>(router.handle(EndpointListReceived{ListKind::kFull, default_endpoints()})), 0);
  EXPECT_EQ(count<SendAttempt>(router.request(1)), 1);
}

TEST(Clock, AJumpAheadLosesNoFinalAnswer) {
  TestRouter router;
  router.receive_list(default_endpoints());
  const auto timers = actions_of<SetTimer>(router.request(1));
  router.now += seconds(100'000);
  EXPECT_EQ(final_answers(router.handle(TimerFired{timers.front().token})), 1);
  EXPECT_EQ(count<SendAttempt>(router.request(2)), 1);
}

TEST(Replay, GivesTheSameActionsForTheSameEvents) {
  const auto run = [] {
    TestRouter router(default_settings(), 5);
    router.receive_list(default_endpoints());
    std::string text;
    for (RequestId id = 1; id <= 400; ++id) {
      text +=
          describe(router.request(id, static_cast<int>(id % 4), id % 60, 40.0 + static_cast<double>(id % 7)));
      const Status status = id % 5 == 0 ? Status::kError : id % 7 == 0 ? Status::kReset : Status::kOk;
      text += describe(router.end_attempt(id, 0, status));
      router.now += milliseconds(7);
    }
    return text;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace trailcourse::decision_testing
