// Tests of endpoint admission, readiness and the endpoint view: each class alone, and admissions of whole
// fleets in virtual time.
#include "startup/endpoint_view.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fleet/max_count_within.h"
#include "fleet_bound.h"
#include "startup/endpoint_admission.h"
#include "startup/readiness.h"

namespace trailcourse::startup {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::max_within;

constexpr double kAdmissionsPerSecond = 200.0;

AdmissionOptions slow_start_options() {
  AdmissionOptions options;
  options.admissions_per_s = kAdmissionsPerSecond;
  options.max_window = std::chrono::hours(1);
  return options;
}

// All routers get the same endpoint at the same time.
TEST(EndpointAdmissionTest, AdmissionsOfAllRoutersAtOneEndpointStayWithinTheBound) {
  for (const int routers : {1, 7, 60, 300, 1'000}) {
    std::vector<Micros> admissions;
    for (int i = 0; i < routers; ++i) {
      EndpointAdmission admission(slow_start_options(), static_cast<std::uint64_t>(i) * 977 + 1);
      admission.set_fleet_size(routers);
      if (admission.on_listed(seconds(1), "cache", 0)) {
        admissions.push_back(seconds(1));
      } else {
        admissions.push_back(*admission.next_admission());
        EXPECT_TRUE(admission.admit_due(*admission.next_admission() - Micros(1)).empty());
        EXPECT_EQ(admission.admit_due(admissions.back()), std::vector<std::string>{"cache"});
        EXPECT_TRUE(admission.is_admitted("cache"));
      }
    }
    EXPECT_LE(fleet::max_count_within(admissions, seconds(1)), max_within(kAdmissionsPerSecond, seconds(1)))
        << routers;
    EXPECT_LE(*std::max_element(admissions.begin(), admissions.end()), seconds(1) + Micros(routers * 10'000));
  }
}

// Returns how often all routers together admit an endpoint that flaps for a minute. With `reset_on_flap` each
// flap counts as a first listing, which is the defect that the test guards against.
std::size_t admissions_of_flapping_endpoint(bool reset_on_flap) {
  constexpr int kRouters = 100;
  constexpr int kFlaps = 40;
  std::size_t admitted = 0;
  for (int i = 0; i < kRouters; ++i) {
    const std::uint64_t seed = static_cast<std::uint64_t>(i) * 977 + 1;
    EndpointAdmission admission(slow_start_options(), seed);
    admission.set_fleet_size(kRouters);
    for (int flap = 0; flap < kFlaps; ++flap) {
      const Micros now = milliseconds(1'500 * (flap + 1));
      if (reset_on_flap) {
        admission = EndpointAdmission(slow_start_options(), seed + static_cast<std::uint64_t>(flap) * 13);
        admission.set_fleet_size(kRouters);
      }
      admitted += admission.on_listed(now, "cache", flap) ? 1 : 0;
      admitted += admission.admit_due(now + milliseconds(1'000)).size();
      admission.on_unlisted(now + milliseconds(1'000), "cache");
    }
  }
  return admitted;
}

TEST(EndpointAdmissionTest, AdmitsAFlappingEndpointLessAndLessOften) {
  EXPECT_LE(admissions_of_flapping_endpoint(false), 100U * 4U);
  EXPECT_GT(admissions_of_flapping_endpoint(true), 100U * 30U)
      << "the check above detects a slow start that is reset by each flap";
}

TEST(EndpointAdmissionTest, RemovalTakesEffectAtOnceAndARestartNeedsANewAdmission) {
  AdmissionOptions options;  // no slow start
  EndpointAdmission admission(options, 1);
  EXPECT_TRUE(admission.on_listed(seconds(1), "a", 5));
  EXPECT_TRUE(admission.is_admitted("a"));
  EXPECT_TRUE(admission.on_listed(seconds(2), "a", 5));
  admission.on_unlisted(seconds(3), "a");
  EXPECT_FALSE(admission.is_admitted("a"));
  EXPECT_EQ(admission.next_admission(), std::nullopt);
  options.admissions_per_s = 0.5;
  EndpointAdmission slow(options, 1);
  slow.set_fleet_size(1'000);
  slow.on_listed(seconds(1), "a", 5);
  const Micros first = *slow.next_admission();
  slow.on_unlisted(seconds(2), "a");
  EXPECT_EQ(slow.next_admission(), std::nullopt);
  EXPECT_FALSE(slow.on_listed(seconds(2), "a", 6));
  EXPECT_GE(*slow.next_admission(), first) << "flapping never makes an admission earlier";
}

TEST(EndpointAdmissionTest, MaxConnectionsDividesTheConnectionsOfTheEndpointAmongTheRouters) {
  AdmissionOptions options;
  options.endpoint_connections = 1'000;
  EndpointAdmission admission(options, 1);
  admission.set_fleet_size(10);
  EXPECT_EQ(admission.max_connections(), 16);
  admission.set_fleet_size(300);
  EXPECT_EQ(admission.max_connections(), 3);
  admission.set_fleet_size(5'000);
  EXPECT_EQ(admission.max_connections(), 1);
}

ReadinessOptions options_for(StalePolicy stale_policy) {
  ReadinessOptions options;
  options.stale_policy = stale_policy;
  options.notification_bound = seconds(2);
  options.purge_completion = seconds(6);
  options.expiry = seconds(30);
  return options;
}

TEST(ReadinessTest, StalenessFollowsRestoreConfirmationsAgeAndReset) {
  Readiness readiness(options_for(StalePolicy::kServe));
  EXPECT_EQ(readiness.staleness(seconds(10)), Staleness::kUnknown);
  EXPECT_FALSE(readiness.permissions(seconds(10)).ready);
  readiness.restore(seconds(10), seconds(3), false);
  EXPECT_EQ(readiness.staleness(seconds(10)), Staleness::kProvisional);
  EXPECT_TRUE(readiness.permissions(seconds(10)).may_serve);
  EXPECT_TRUE(readiness.permissions(seconds(10)).start_times_unknown);
  readiness.on_confirmed(seconds(11), seconds(11));
  EXPECT_EQ(readiness.staleness(seconds(12)), Staleness::kCurrent);
  EXPECT_FALSE(readiness.permissions(seconds(12)).start_times_unknown);
  EXPECT_EQ(readiness.next_change(seconds(12)), seconds(13) + Micros(1));
  EXPECT_EQ(readiness.staleness(seconds(13)), Staleness::kCurrent);
  EXPECT_EQ(readiness.staleness(seconds(13) + Micros(1)), Staleness::kStale);
  EXPECT_EQ(readiness.staleness(seconds(41)), Staleness::kStale);
  EXPECT_EQ(readiness.staleness(seconds(41) + Micros(1)), Staleness::kExpired);
  EXPECT_FALSE(readiness.permissions(seconds(42)).may_serve);
  readiness.on_confirmed(seconds(50), seconds(50));
  EXPECT_EQ(readiness.staleness(seconds(50)), Staleness::kCurrent);
  readiness.reset();
  EXPECT_EQ(readiness.staleness(seconds(50)), Staleness::kUnknown);
}

TEST(ReadinessTest, AConfirmationNeitherMakesTheListOlderNorDatesItInTheFuture) {
  Readiness readiness(options_for(StalePolicy::kServe));
  readiness.on_confirmed(seconds(10), seconds(10));
  readiness.on_confirmed(seconds(11), seconds(4));  // a page of a relay that is seven seconds old
  EXPECT_EQ(readiness.age(seconds(11)), seconds(1));
  readiness.on_confirmed(seconds(12), seconds(99));  // a time in the future counts as now
  EXPECT_EQ(readiness.age(seconds(12)), Micros(0));
}

TEST(ReadinessTest, AStaleListLimitsTheAgeOfCopiesOrRejectsRequestsByThePolicy) {
  Readiness limiting(options_for(StalePolicy::kLimitAge));
  limiting.on_confirmed(seconds(10), seconds(10));
  EXPECT_EQ(limiting.permissions(seconds(12)).max_copy_age, std::nullopt);
  EXPECT_EQ(limiting.permissions(seconds(13)).max_copy_age, seconds(2));
  EXPECT_TRUE(limiting.permissions(seconds(13)).may_serve);
  Readiness rejecting(options_for(StalePolicy::kReject));
  rejecting.on_confirmed(seconds(10), seconds(10));
  EXPECT_TRUE(rejecting.permissions(seconds(12)).ready);
  EXPECT_FALSE(rejecting.permissions(seconds(13)).ready);
  EXPECT_FALSE(rejecting.permissions(seconds(13)).may_serve);
  // Where caches drop purged copies within the notification bound, no binding purge event can be missed.
  ReadinessOptions long_bound = options_for(StalePolicy::kLimitAge);
  long_bound.notification_bound = seconds(7);
  Readiness unlimited(long_bound);
  unlimited.on_confirmed(seconds(10), seconds(10));
  EXPECT_EQ(unlimited.permissions(seconds(30)).max_copy_age, std::nullopt);
}

Endpoint endpoint(const std::string& name, NodeState state = NodeState::kReady, Micros started = Micros(0)) {
  Endpoint out;
  out.address = name;
  out.zone = "here";
  out.state = state;
  out.started = started;
  return out;
}

class EndpointViewTest : public testing::Test {
 protected:
  // Steps the view and returns the lists among its events.
  std::vector<EndpointListReceived> step(EndpointView& view, Micros now) {
    events_.clear();
    view.step(now, events_);
    std::vector<EndpointListReceived> out;
    for (const Event& event : events_) {
      if (const auto* list = std::get_if<EndpointListReceived>(&event)) {
        out.push_back(*list);
      }
    }
    return out;
  }

  // Returns the number of purges among the events of the last step.
  std::size_t purges() const {
    return static_cast<std::size_t>(std::count_if(events_.begin(), events_.end(), [](const Event& event) {
      return std::holds_alternative<Purged>(event);
    }));
  }

  static std::map<std::string, NodeState> states(const EndpointListReceived& list) {
    std::map<std::string, NodeState> out;
    for (const Endpoint& entry : list.entries) {
      out[entry.address] = entry.state;
    }
    return out;
  }

  std::vector<Event> events_;
};

TEST_F(EndpointViewTest, PassesTheFirstListUnchangedAndThenOnlyChanges) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  EXPECT_TRUE(step(view, seconds(1)).empty());
  view.restore(seconds(1), seconds(1), true);
  view.on_list(seconds(1), {ListKind::kFull, {endpoint("a"), endpoint("b", NodeState::kDraining)}});
  auto lists = step(view, seconds(1));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].kind, ListKind::kFull);
  EXPECT_EQ(states(lists[0]),
            (std::map<std::string, NodeState>{{"a", NodeState::kReady}, {"b", NodeState::kDraining}}));
  EXPECT_TRUE(view.is_ready(seconds(1)));
  EXPECT_TRUE(step(view, seconds(1)).empty());
  view.on_list(seconds(1), {ListKind::kChanges, {endpoint("a", NodeState::kDraining)}});
  lists = step(view, seconds(1));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].kind, ListKind::kChanges);
  EXPECT_EQ(states(lists[0]), (std::map<std::string, NodeState>{{"a", NodeState::kDraining}}));
  EXPECT_FALSE(view.is_ready(seconds(1)));
  view.on_list(seconds(1), {ListKind::kFull, {endpoint("c")}});
  lists = step(view, seconds(1));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(states(lists[0]),
            (std::map<std::string, NodeState>{
                {"a", NodeState::kGone}, {"b", NodeState::kGone}, {"c", NodeState::kReady}}));
}

TEST_F(EndpointViewTest, AnEndpointAppearsAsDrainingUntilItIsAdmitted) {
  AdmissionOptions admission;
  admission.admissions_per_s = 1.0;
  EndpointView view(admission, options_for(StalePolicy::kServe), 5);
  view.set_fleet_size(2);
  view.restore(seconds(1), seconds(1), true);
  view.on_list(seconds(1), {ListKind::kFull, {endpoint("a"), endpoint("b")}});
  const auto lists = step(view, seconds(1));
  ASSERT_EQ(lists.size(), 1U);
  for (const auto& [name, state] : states(lists[0])) {
    EXPECT_EQ(state, NodeState::kDraining) << name;
  }
  EXPECT_FALSE(view.is_ready(seconds(1)));
  const Micros due = *view.next_step_at(seconds(1));
  EXPECT_GT(due, seconds(1));
  const auto later_lists = step(view, due);
  ASSERT_EQ(later_lists.size(), 1U);
  EXPECT_EQ(states(later_lists[0]).begin()->second, NodeState::kReady);
  EXPECT_TRUE(view.is_ready(due));
}

TEST_F(EndpointViewTest, AnEndpointWithoutAStartTimeCountsAsJustStartedUntilAConfirmation) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  view.restore(seconds(9), seconds(2), false);
  view.on_list(seconds(9), {ListKind::kFull, {endpoint("a"), endpoint("b", NodeState::kReady, seconds(4))}});
  auto lists = step(view, seconds(9));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].entries[0].started, seconds(9));
  EXPECT_EQ(lists[0].entries[1].started, seconds(4));
  view.on_confirmed(seconds(10), seconds(10));
  lists = step(view, seconds(10));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].entries[0].started, Micros(0));
}

TEST_F(EndpointViewTest, RenewsTheAgeLimitBeforeItEndsWhileTheListIsStale) {
  EndpointView view({}, options_for(StalePolicy::kLimitAge), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {endpoint("a")}});
  step(view, seconds(10));
  EXPECT_EQ(purges(), 0U);
  Micros now = seconds(10);
  Micros limited_at(-1);
  for (int i = 0; i < 40; ++i) {
    now = *view.next_step_at(now) + Micros(0);
    step(view, now);
    if (purges() == 256U) {
      // No copy older than the bound may be served at any time until the next renewal.
      const Micros age = std::get<Purged>(events_.back()).age;
      EXPECT_LE(age, seconds(2));
      if (limited_at >= Micros(0)) {
        EXPECT_LE(now - limited_at + age, seconds(2));
      }
      limited_at = now;
    }
    if (now > seconds(20)) {
      break;
    }
  }
  EXPECT_GT(limited_at, seconds(12));
  view.on_confirmed(now, now);
  step(view, now);
  EXPECT_EQ(purges(), 0U);
}

TEST_F(EndpointViewTest, TheListIsEmptyWhileRequestsAreRejectedAndFullAfterAConfirmation) {
  EndpointView view({}, options_for(StalePolicy::kReject), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {endpoint("a")}});
  step(view, seconds(10));
  // The process was suspended for ten seconds: the empty list precedes all other events.
  auto lists = step(view, seconds(20));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].kind, ListKind::kFull);
  EXPECT_TRUE(lists[0].entries.empty());
  EXPECT_FALSE(view.is_ready(seconds(20)));
  view.on_confirmed(seconds(21), seconds(21));
  lists = step(view, seconds(21));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(lists[0].kind, ListKind::kFull);
  EXPECT_EQ(lists[0].entries.size(), 1U);
}

TEST_F(EndpointViewTest, AResetRemovesAllEndpointsOfTheOldList) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {endpoint("a")}});
  step(view, seconds(10));
  view.reset(seconds(11));
  auto lists = step(view, seconds(11));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_TRUE(lists[0].entries.empty());
  EXPECT_FALSE(view.is_ready(seconds(11)));
  view.on_confirmed(seconds(12), seconds(12));
  view.on_list(seconds(12), {ListKind::kFull, {endpoint("b")}});
  lists = step(view, seconds(12));
  ASSERT_EQ(lists.size(), 1U);
  EXPECT_EQ(states(lists[0]), (std::map<std::string, NodeState>{{"b", NodeState::kReady}}));
}

}  // namespace
}  // namespace trailcourse::startup
