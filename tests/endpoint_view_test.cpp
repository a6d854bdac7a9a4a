// Slow start of connections, the staleness of the endpoint list, and the view of it that the decision module
// gets: by themselves, and for whole fleets in virtual time.
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

// All routers learn of the same endpoint in the same moment.
TEST(EndpointAdmissionTest, TheSumOfAdmissionsAtOneEndpointStaysWithinTheBound) {
  for (const int routers : {1, 7, 60, 300, 1'000}) {
    std::vector<Micros> moments;
    for (int i = 0; i < routers; ++i) {
      EndpointAdmission admission(slow_start_options(), static_cast<std::uint64_t>(i) * 977 + 1);
      admission.set_fleet_size(routers);
      if (admission.on_listed(seconds(1), "cache", 0)) {
        moments.push_back(seconds(1));
      } else {
        moments.push_back(*admission.next_admission());
        EXPECT_TRUE(admission.admit_due(*admission.next_admission() - Micros(1)).empty());
        EXPECT_EQ(admission.admit_due(moments.back()), std::vector<std::string>{"cache"});
        EXPECT_TRUE(admission.is_admitted("cache"));
      }
    }
    EXPECT_LE(fleet::max_count_within(moments, seconds(1)), max_within(kAdmissionsPerSecond, seconds(1)))
        << routers;
    EXPECT_LE(*std::max_element(moments.begin(), moments.end()), seconds(1) + Micros(routers * 10'000));
  }
}

// Returns how often all routers together admit an endpoint that flaps for a minute. With `forgetful` each
// flap is taken for a first listing, as if the slow start were reset.
std::size_t admissions_of_a_flapping_endpoint(bool forgetful) {
  constexpr int kRouters = 100;
  constexpr int kFlaps = 40;
  std::size_t admitted = 0;
  for (int i = 0; i < kRouters; ++i) {
    const std::uint64_t seed = static_cast<std::uint64_t>(i) * 977 + 1;
    EndpointAdmission admission(slow_start_options(), seed);
    admission.set_fleet_size(kRouters);
    for (int flap = 0; flap < kFlaps; ++flap) {
      const Micros now = milliseconds(1'500 * (flap + 1));
      if (forgetful) {
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

TEST(EndpointAdmissionTest, AFlappingEndpointIsAdmittedMoreAndMoreRarely) {
  EXPECT_LE(admissions_of_a_flapping_endpoint(false), 100U * 4U);
  EXPECT_GT(admissions_of_a_flapping_endpoint(true), 100U * 30U)
      << "a slow start that a flap resets would be seen";
}

TEST(EndpointAdmissionTest, RemovalTakesEffectAtOnceAndARestartCountsAsANewEndpoint) {
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
  EXPECT_GE(*slow.next_admission(), first) << "flapping never makes an admission sooner";
}

TEST(EndpointAdmissionTest, ConnectionsAreAShareOfWhatTheEndpointHolds) {
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

TEST(ReadinessTest, StalenessFollowsTheTable) {
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

TEST(ReadinessTest, AnOldConfirmationNeverMakesTheListOlderNorAFutureOneYoungerThanNow) {
  Readiness readiness(options_for(StalePolicy::kServe));
  readiness.on_confirmed(seconds(10), seconds(10));
  readiness.on_confirmed(seconds(11), seconds(4));  // the page of a relay, seven seconds old
  EXPECT_EQ(readiness.age(seconds(11)), seconds(1));
  readiness.on_confirmed(seconds(12), seconds(99));  // in the future: it counts as now
  EXPECT_EQ(readiness.age(seconds(12)), Micros(0));
}

TEST(ReadinessTest, WhileStaleTheAgeOfCopiesIsLimitedOrRequestsAreRejected) {
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
  // Where caches drop purged copies within the notification bound, no purge can be missing.
  ReadinessOptions late = options_for(StalePolicy::kLimitAge);
  late.notification_bound = seconds(7);
  Readiness safe(late);
  safe.on_confirmed(seconds(10), seconds(10));
  EXPECT_EQ(safe.permissions(seconds(30)).max_copy_age, std::nullopt);
}

Endpoint entry(const std::string& name, NodeState state = NodeState::kReady, Micros started = Micros(0)) {
  Endpoint out;
  out.address = name;
  out.zone = "here";
  out.state = state;
  out.started = started;
  return out;
}

class EndpointViewTest : public testing::Test {
 protected:
  std::vector<EndpointListReceived> lists(EndpointView& view, Micros now) {
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
  std::size_t purges() const {
    return static_cast<std::size_t>(std::count_if(events_.begin(), events_.end(), [](const Event& event) {
      return std::holds_alternative<Purged>(event);
    }));
  }
  static std::map<std::string, NodeState> states(const EndpointListReceived& list) {
    std::map<std::string, NodeState> out;
    for (const Endpoint& one : list.entries) {
      out[one.address] = one.state;
    }
    return out;
  }

  std::vector<Event> events_;
};

TEST_F(EndpointViewTest, ListsPassUnchangedAndThenOnlyTheirChanges) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  EXPECT_TRUE(lists(view, seconds(1)).empty());
  view.restore(seconds(1), seconds(1), true);
  view.on_list(seconds(1), {ListKind::kFull, {entry("a"), entry("b", NodeState::kDraining)}});
  auto seen = lists(view, seconds(1));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].kind, ListKind::kFull);
  EXPECT_EQ(states(seen[0]),
            (std::map<std::string, NodeState>{{"a", NodeState::kReady}, {"b", NodeState::kDraining}}));
  EXPECT_TRUE(view.is_ready(seconds(1)));
  EXPECT_TRUE(lists(view, seconds(1)).empty());
  view.on_list(seconds(1), {ListKind::kChanges, {entry("a", NodeState::kDraining)}});
  seen = lists(view, seconds(1));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].kind, ListKind::kChanges);
  EXPECT_EQ(states(seen[0]), (std::map<std::string, NodeState>{{"a", NodeState::kDraining}}));
  EXPECT_FALSE(view.is_ready(seconds(1)));
  view.on_list(seconds(1), {ListKind::kFull, {entry("c")}});
  seen = lists(view, seconds(1));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(states(seen[0]),
            (std::map<std::string, NodeState>{
                {"a", NodeState::kGone}, {"b", NodeState::kGone}, {"c", NodeState::kReady}}));
}

TEST_F(EndpointViewTest, AnEndpointAppearsAsDrainingUntilItIsAdmitted) {
  AdmissionOptions admission;
  admission.admissions_per_s = 1.0;
  EndpointView view(admission, options_for(StalePolicy::kServe), 5);
  view.set_fleet_size(2);
  view.restore(seconds(1), seconds(1), true);
  view.on_list(seconds(1), {ListKind::kFull, {entry("a"), entry("b")}});
  const auto seen = lists(view, seconds(1));
  ASSERT_EQ(seen.size(), 1U);
  for (const auto& [name, state] : states(seen[0])) {
    EXPECT_EQ(state, NodeState::kDraining) << name;
  }
  EXPECT_FALSE(view.is_ready(seconds(1)));
  const Micros due = *view.next_step_at(seconds(1));
  EXPECT_GT(due, seconds(1));
  const auto later = lists(view, due);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(states(later[0]).begin()->second, NodeState::kReady);
  EXPECT_TRUE(view.is_ready(due));
}

TEST_F(EndpointViewTest, AnEndpointWithoutStartTimeCountsAsJustStartedUntilAConfirmation) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  view.restore(seconds(9), seconds(2), false);
  view.on_list(seconds(9), {ListKind::kFull, {entry("a"), entry("b", NodeState::kReady, seconds(4))}});
  auto seen = lists(view, seconds(9));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].entries[0].started, seconds(9));
  EXPECT_EQ(seen[0].entries[1].started, seconds(4));
  view.on_confirmed(seconds(10), seconds(10));
  seen = lists(view, seconds(10));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].entries[0].started, Micros(0));
}

TEST_F(EndpointViewTest, WhileStaleTheAgeLimitIsRenewedBeforeItEnds) {
  EndpointView view({}, options_for(StalePolicy::kLimitAge), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(view, seconds(10));
  EXPECT_EQ(purges(), 0U);
  Micros now = seconds(10);
  Micros limited_at(-1);
  for (int i = 0; i < 40; ++i) {
    now = *view.next_step_at(now) + Micros(0);
    lists(view, now);
    if (purges() == 256U) {
      // Until it is renewed, no copy older than the bound may be served.
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
  lists(view, now);
  EXPECT_EQ(purges(), 0U);
}

TEST_F(EndpointViewTest, WhileRejectingTheListIsEmptyAndFullAgainAfterAConfirmation) {
  EndpointView view({}, options_for(StalePolicy::kReject), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(view, seconds(10));
  // The process was stopped for ten seconds: the empty list goes before any other event.
  auto seen = lists(view, seconds(20));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].kind, ListKind::kFull);
  EXPECT_TRUE(seen[0].entries.empty());
  EXPECT_FALSE(view.is_ready(seconds(20)));
  view.on_confirmed(seconds(21), seconds(21));
  seen = lists(view, seconds(21));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].kind, ListKind::kFull);
  EXPECT_EQ(seen[0].entries.size(), 1U);
}

TEST_F(EndpointViewTest, AResetLeavesNothingOfTheOldList) {
  EndpointView view({}, options_for(StalePolicy::kServe), 1);
  view.on_confirmed(seconds(10), seconds(10));
  view.on_list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(view, seconds(10));
  view.reset(seconds(11));
  auto seen = lists(view, seconds(11));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_TRUE(seen[0].entries.empty());
  EXPECT_FALSE(view.is_ready(seconds(11)));
  view.on_confirmed(seconds(12), seconds(12));
  view.on_list(seconds(12), {ListKind::kFull, {entry("b")}});
  seen = lists(view, seconds(12));
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(states(seen[0]), (std::map<std::string, NodeState>{{"b", NodeState::kReady}}));
}

}  // namespace
}  // namespace trailcourse::startup
