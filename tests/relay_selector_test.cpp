// Tests of the sequence tracker, the relay tree and the relay selector.
#include "startup/relay_selector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "startup/relay_tree.h"
#include "startup/sequence_tracker.h"

namespace trailcourse::startup {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SequenceTrackerTest, IgnoresOutdatedPagesAndResetsOnAnotherIdentifier) {
  SequenceTracker tracker(seconds(5));
  EXPECT_EQ(tracker.check(seconds(1), 0, 40, "a"), PageVerdict::kApply);
  EXPECT_EQ(tracker.check(seconds(2), 40, 41, "a"), PageVerdict::kApply);
  EXPECT_EQ(tracker.check(seconds(3), 41, 39, "a"), PageVerdict::kStale);
  EXPECT_EQ(tracker.check(seconds(4), 41, 41, "a"), PageVerdict::kApply);
  EXPECT_EQ(tracker.check(seconds(5), 41, 3, "b"), PageVerdict::kReset)
      << "another identifier resets at once";
  EXPECT_EQ(tracker.check(seconds(5), 0, 3, "b"), PageVerdict::kApply);
}

TEST(SequenceTrackerTest, ResetsAServiceWithoutIdentifierAfterOnlyLowerNumbersForTheGivenTime) {
  SequenceTracker tracker(seconds(5));
  EXPECT_EQ(tracker.check(seconds(1), 41, 2, ""), PageVerdict::kStale);
  EXPECT_EQ(tracker.check(seconds(5), 41, 2, ""), PageVerdict::kStale);
  EXPECT_EQ(tracker.check(seconds(6), 41, 2, ""), PageVerdict::kReset);
  EXPECT_EQ(tracker.check(seconds(6), 41, 2, ""), PageVerdict::kStale) << "the reset restarts the time";
  EXPECT_EQ(tracker.check(seconds(7), 41, 44, ""), PageVerdict::kApply);
  EXPECT_EQ(tracker.check(seconds(20), 44, 2, ""), PageVerdict::kStale)
      << "an applied page restarts the time";
}

TEST(RelayTreeTest, EachRouterComputesTheSameTreeWithoutLoopsAndWithBoundedDegree) {
  for (const int count : {1, 2, 3, 9, 10, 150}) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      names.push_back("router" + std::to_string(i));
    }
    int roots = 0;
    std::map<std::string, int> children;
    for (const std::string& name : names) {
      std::vector<std::string> shuffled = names;
      std::mt19937 random(static_cast<unsigned>(std::hash<std::string>()(name)));
      std::shuffle(shuffled.begin(), shuffled.end(), random);
      const RelayTree tree(name, shuffled, 8);
      EXPECT_EQ(tree.size(), names.size());
      const auto ancestors = tree.ancestors();
      roots += ancestors.empty() ? 1 : 0;
      EXPECT_LE(ancestors.size(), 3U);
      std::set<std::string> visited{name};
      for (const std::string& ancestor : ancestors) {
        EXPECT_TRUE(visited.insert(ancestor).second) << "a loop";
      }
      if (!ancestors.empty()) {
        ++children[ancestors.front()];
        const auto siblings = RelayTree(ancestors.front(), names, 8).children();
        EXPECT_NE(std::find(siblings.begin(), siblings.end(), name), siblings.end());
      }
    }
    EXPECT_EQ(roots, 1);
    for (const auto& [name, number] : children) {
      EXPECT_LE(number, 8);
    }
  }
}

RelayStatus status_of_age(Micros age, std::vector<std::string> path = {}) { return {age, std::move(path)}; }

TEST(RelaySelectorTest, FallsBackToTheServiceAfterTwoFailuresAndReturnsToTheParentAfterItsQuarantine) {
  RelaySelector selector({}, {"p", "g"}, 1);
  Micros now = seconds(1);
  EXPECT_EQ(selector.select(now), "p");
  selector.on_failure(now, "p");
  EXPECT_EQ(selector.select(now), "g");
  selector.on_failure(now, "g");
  EXPECT_EQ(selector.select(now), std::nullopt) << "two failures in a row select the service itself";
  now += milliseconds(600);
  EXPECT_EQ(selector.select(now), "p") << "the quarantine has ended";
  EXPECT_EQ(selector.on_response(now, "p", "me", status_of_age(milliseconds(10))), RelayValidity::kValid);
  selector.on_failure(now, "p");
  EXPECT_EQ(selector.select(now), "g") << "a valid page resets the number of failures in a row";
}

TEST(RelaySelectorTest, RejectsOldPagesLoopsAndPagesWithoutAge) {
  RelaySelector selector({}, {"p", "g"}, 1);
  EXPECT_EQ(selector.on_response(seconds(1), "p", "me", status_of_age(milliseconds(1'001))),
            RelayValidity::kStale);
  EXPECT_EQ(selector.select(seconds(1)), "g");
  EXPECT_EQ(selector.on_response(seconds(1), "g", "me", status_of_age(Micros(0), {"g", "me"})),
            RelayValidity::kLoop);
  EXPECT_EQ(selector.select(seconds(1)), std::nullopt);
  RelaySelector other({}, {"p"}, 1);
  EXPECT_EQ(other.on_response(seconds(1), "p", "me", status_of_age(Micros::max())), RelayValidity::kStale);
  EXPECT_EQ(other.on_response(seconds(1), "p", "me", status_of_age(Micros(-5))), RelayValidity::kStale);
}

TEST(RelaySelectorTest, AnAuditDetectsARelayThatWithholdsEventsAndQuarantinesIt) {
  RelaySelectorOptions options;
  RelaySelector selector(options, {"p"}, 1);
  selector.set_fleet_size(10);
  const Micros due = *selector.next_audit_at(seconds(1));
  EXPECT_LE(due, seconds(1) + seconds(20));
  selector.on_audit(due, 7, 7);
  EXPECT_FALSE(selector.detect_withholding(due + seconds(9), "p", 7));
  selector.on_audit(due, 8, 7);
  EXPECT_FALSE(selector.detect_withholding(due + options.max_age, "p", 7))
      << "the relay may still deliver the event";
  EXPECT_FALSE(selector.detect_withholding(due + options.max_age, "p", 8)) << "the event has arrived";
  selector.on_audit(due, 9, 8);
  EXPECT_TRUE(selector.detect_withholding(due + options.max_age + Micros(1), "p", 8));
  EXPECT_EQ(selector.select(due + seconds(100)), std::nullopt);
  EXPECT_EQ(selector.select(due + seconds(400)), "p");
}

TEST(RelaySelectorTest, RepeatedAuditsDoNotExtendTheTimeOfAWithholdingRelay) {
  RelaySelector selector({}, {"p"}, 1);
  const Micros first = seconds(1);
  for (int i = 0; i < 20; ++i) {
    const Micros now = first + milliseconds(50) * i;
    selector.on_audit(now, 9, 8);
    EXPECT_FALSE(i < 19 && selector.detect_withholding(now, "p", 8));
  }
  EXPECT_TRUE(selector.detect_withholding(first + milliseconds(1'050), "p", 8));
}

TEST(RelaySelectorTest, AuditsOfAllRoutersComeAtTheConfiguredRate) {
  std::vector<Micros> audits;
  for (int i = 0; i < 200; ++i) {
    RelaySelector selector({}, {"p"}, static_cast<std::uint64_t>(i) + 1);
    selector.set_fleet_size(200);
    Micros now(0);
    while (now < seconds(4'000)) {
      now = *selector.next_audit_at(now);
      audits.push_back(now);
      selector.on_audit(now, 0, 0);
    }
  }
  const double per_s = static_cast<double>(audits.size()) / 4'000.0;
  EXPECT_GT(per_s, 0.9);
  EXPECT_LT(per_s, 1.1);
}

}  // namespace
}  // namespace trailcourse::startup
