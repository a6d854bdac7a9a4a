// The machines of a start, each by itself and thousands of fleets of them in virtual time: bounds over the
// whole fleet hold whatever made the routers begin, and each seeded defect breaks one.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/most_within.h"
#include "startup/endpoint_admission.h"
#include "startup/endpoint_view.h"
#include "startup/fleet_size.h"
#include "startup/poll_scheduler.h"
#include "startup/readiness.h"
#include "startup/relay_selector.h"
#include "startup/relay_tree.h"
#include "startup/sequence_tracker.h"

namespace trailcourse::startup {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 100.0;  // calls a second at the board

AskingRules spread_rules() {
  AskingRules rules;
  rules.spread = true;
  rules.calls_per_s = kRate;
  rules.most_window = std::chrono::hours(1);
  return rules;
}

// What the bound of poll_scheduler.h allows in a stretch.
double allowed(double rate, Micros stretch) {
  const double mean = rate * static_cast<double>(stretch.count()) * 1e-6;
  return mean + 6.0 * std::sqrt(mean) + 12.0;
}

// A fleet that asks one board in virtual time.
struct AskingWorld {
  AskingRules rules = spread_rules();
  int routers = 100;
  int told_routers = 0;                       // what each believes; 0: the truth
  std::function<std::uint64_t(int)> seed_of;  // of a router at this start
  std::function<Micros(int)> start_of = [](int) { return Micros(0); };
  // How the board ends a call at that time, and the wait that it asks for.
  std::function<std::pair<CallEnd, Micros>(Micros)> board = [](Micros) {
    return std::pair(CallEnd::kNothing, Micros(0));
  };
  Micros horizon = seconds(60);

  struct Seen {
    std::vector<Micros> unsettled;  // first calls and those after a failure
    std::vector<Micros> first;
    Micros last_list{0};  // when the last router had its list
    int without = 0;      // routers that never got one
    bool early = false;   // a call came sooner than the board had asked for
  };

  Seen run() const {
    struct At {
      Micros at;
      int router;
      bool unsettled;
      bool operator>(const At& other) const { return at > other.at; }
    };
    std::vector<Asking> machines;
    std::vector<bool> listed(static_cast<std::size_t>(routers), false);
    std::vector<Micros> not_before(static_cast<std::size_t>(routers), Micros(0));
    std::priority_queue<At, std::vector<At>, std::greater<>> queue;
    Seen seen;
    for (int i = 0; i < routers; ++i) {
      machines.emplace_back(rules, seed_of(i));
      machines.back().fleet_size(told_routers > 0 ? told_routers : routers);
      queue.push({machines.back().first(start_of(i)).at, i, true});
      seen.first.push_back(Micros(0));
    }
    while (!queue.empty() && queue.top().at < horizon) {
      const At now = queue.top();
      queue.pop();
      const auto place = static_cast<std::size_t>(now.router);
      if (now.unsettled) {
        seen.unsettled.push_back(now.at);
      }
      seen.early = seen.early || now.at < not_before[place];
      const auto [end, wait] = board(now.at);
      const bool good = end == CallEnd::kNothing || end == CallEnd::kNews;
      if (good && !listed[place]) {
        listed[place] = true;
        seen.last_list = std::max(seen.last_list, now.at);
      }
      const Micros took = good ? rules.linger : end == CallEnd::kSilent ? seconds(3) : Micros(1'000);
      not_before[place] = good ? Micros(0) : now.at + took + wait;
      const Call next = machines[place].after(now.at, now.at + took, end, wait);
      if (!good || !listed[place]) {
        queue.push({next.at, now.router, true});
      } else if (next.at < horizon && end == CallEnd::kNothing) {
        queue.push({next.at, now.router, false});
      }
    }
    seen.without = static_cast<int>(std::count(listed.begin(), listed.end(), false));
    return seen;
  }
};

// 10,000 fleets of 1 to 1,000 routers: started at once, by tenths, in a row, or seven in ten of them; at a
// board that is sound, down, silent, or refuses for a while with or without a time to come back.
TEST(Asking, TheSumOfCallsHoldsForTenThousandDrawnFleets) {
  std::size_t fleets = 0;
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&random](int most) {
      return static_cast<int>(random() % static_cast<std::uint64_t>(most));
    };
    AskingWorld world;
    const double size = std::uniform_real_distribution<double>(0.0, 3.0)(random);
    world.routers = std::max(1, static_cast<int>(std::pow(10.0, size)));
    world.horizon = seconds(20);
    world.seed_of = [seed](int i) { return seed * 1'000'003ULL + static_cast<std::uint64_t>(i) * 7'919ULL; };
    const int shape = below(4);
    const Micros step(1'000 * (1 + below(300)));
    const int routers = world.routers;
    world.start_of = [=](int i) {
      return shape == 0   ? Micros(0)
             : shape == 1 ? seconds(i * 10 / routers)
             : shape == 2 ? i * step
                          : Micros(i % 3);
    };
    const int trouble = below(4);
    const Micros until = milliseconds(below(8'000));
    const Micros wait = seconds(below(5));
    world.board = [=](Micros at) -> std::pair<CallEnd, Micros> {
      if (at >= until || trouble == 0) {
        return {CallEnd::kNothing, Micros(0)};
      }
      return trouble == 1   ? std::pair(CallEnd::kBroken, Micros(0))
             : trouble == 2 ? std::pair(CallEnd::kSilent, Micros(0))
                            : std::pair(CallEnd::kRefused, wait);
    };
    const AskingWorld::Seen seen = world.run();
    ++fleets;
    calls += seen.unsettled.size();
    ASSERT_LE(fleet::most_within(seen.unsettled, seconds(1)), allowed(kRate, seconds(1))) << "seed " << seed;
    ASSERT_LE(fleet::most_within(seen.unsettled, milliseconds(100)), allowed(kRate, milliseconds(100)))
        << "seed " << seed;
    ASSERT_FALSE(seen.early) << "seed " << seed << ": sooner than the board asked for";
  }
  EXPECT_EQ(fleets, 10'000U);
  EXPECT_GT(calls, 1'000'000U);
}

// The time until the last has its list: the first window, where the board is sound.
TEST(Asking, TheLastListComesWithinTheWindow) {
  for (const int routers : {1, 10, 100, 1'000, 10'000}) {
    AskingWorld world;
    world.routers = routers;
    world.horizon = std::chrono::hours(1);
    world.horizon = seconds(300);
    world.seed_of = [](int i) { return static_cast<std::uint64_t>(i) * 31 + 7; };
    const AskingWorld::Seen seen = world.run();
    EXPECT_EQ(seen.without, 0);
    EXPECT_LE(seen.last_list,
              std::max(Micros(50'000), Micros(static_cast<Micros::rep>(2.4e6 * routers / kRate))));
  }
}

AskingWorld crowd() {
  AskingWorld world;
  world.routers = 600;
  world.seed_of = [](int i) { return static_cast<std::uint64_t>(i) * 104'729ULL + 3; };
  world.board = [](Micros at) {
    return at < seconds(4) ? std::pair(CallEnd::kRefused, Micros(0))
                           : std::pair(CallEnd::kNothing, Micros(0));
  };
  return world;
}

TEST(AskingDefects, WithoutJitterAllAskAtOnce) {
  EXPECT_LE(fleet::most_within(crowd().run().unsettled, milliseconds(100)),
            allowed(kRate, milliseconds(100)));
  AskingWorld world = crowd();
  world.rules.most_window = Micros(0);
  EXPECT_GT(fleet::most_within(world.run().unsettled, milliseconds(100)), allowed(kRate, milliseconds(100)));
}

TEST(AskingDefects, ABudgetOfEachRouterAndNotOfTheFleetIsPassed) {
  AskingWorld world = crowd();
  world.told_routers = 1;
  EXPECT_GT(fleet::most_within(world.run().unsettled, seconds(1)), allowed(kRate, seconds(1)));
}

// A row of restarts whose order happens to undo a jitter that only depends on the name.
TEST(AskingDefects, JitterByNameAloneCanBeUndoneByTheOrderOfStarts) {
  const auto worst = [](bool by_name) {
    AskingWorld world;
    world.routers = 600;
    const auto name_seed = [](int i) { return static_cast<std::uint64_t>(i) * 104'729ULL + 3; };
    world.start_of = [&world, name_seed](int i) {
      Asking same(world.rules, name_seed(i));
      same.fleet_size(world.routers);
      return seconds(20) - same.first(Micros(0)).at;
    };
    world.seed_of = [by_name, name_seed](int i) {
      return by_name ? name_seed(i) : name_seed(i) ^ 0x5bd1e995ULL;
    };
    return fleet::most_within(world.run().unsettled, milliseconds(100));
  };
  EXPECT_LE(worst(false), allowed(kRate, milliseconds(100)));
  EXPECT_GT(worst(true), allowed(kRate, milliseconds(100)));
}

TEST(Asking, APlainRouterAsksAtOnceThenWithFullJitterAndObeysRetryAfter) {
  AskingRules rules;
  Asking asking(rules, 1);
  EXPECT_EQ(asking.first(seconds(5)).at, seconds(5));
  EXPECT_EQ(asking.after(seconds(5), seconds(7), CallEnd::kNothing, Micros(0)).at, seconds(7));
  EXPECT_EQ(asking.after(seconds(7), seconds(8), CallEnd::kNews, Micros(0)).at, seconds(8));
  EXPECT_GE(asking.after(seconds(8), seconds(8), CallEnd::kNothing, Micros(0)).at,
            seconds(8) + rules.least_pause)
      << "a board that holds nothing back is not flooded";
  Micros longest(0);
  for (int i = 0; i < 200; ++i) {
    const Micros pause = asking.after(seconds(9), seconds(9), CallEnd::kBroken, Micros(0)).at - seconds(9);
    longest = std::max(longest, pause);
    EXPECT_LE(pause, 2 * rules.most_pause);
  }
  EXPECT_GT(longest, rules.most_pause);
  const Call refused = asking.after(seconds(9), seconds(9), CallEnd::kRefused, seconds(3));
  EXPECT_GE(refused.at, seconds(12));
  EXPECT_LE(refused.at, seconds(12) + 2 * rules.most_pause);
  const Call endless = asking.after(seconds(9), seconds(9), CallEnd::kRefused, std::chrono::hours(99));
  EXPECT_LE(endless.at, seconds(9) + rules.most_retry_after + 2 * rules.most_pause);
}

TEST(Asking, LostItMakesOneShortTrialAtATime) {
  Asking asking(spread_rules(), 1);
  asking.fleet_size(100);
  Call next;
  for (int i = 0; i < 3; ++i) {
    next = asking.after(Micros(0), Micros(0), CallEnd::kSilent, Micros(0));
  }
  EXPECT_TRUE(asking.lost());
  EXPECT_TRUE(next.trial);
  EXPECT_EQ(next.linger, Micros(0));
  next = asking.after(next.at, next.at, CallEnd::kNothing, Micros(0));
  EXPECT_FALSE(next.trial);
  EXPECT_GT(next.linger, Micros(0));
}

TEST(FleetSizeTest, TheOperatorThenTheSettingsThenTheBoardTell) {
  EXPECT_EQ(FleetSize(300, 20).routers(), 300);
  FleetSize by_settings(0, 20);
  by_settings.heard(900);
  EXPECT_EQ(by_settings.routers(), 20);
  FleetSize learned(0, 1);
  EXPECT_EQ(learned.routers(), 1);
  learned.heard(200);
  EXPECT_EQ(learned.routers(), 200);
  learned.heard(3);
  EXPECT_GT(learned.routers(), 180) << "after a fall its askers come back one by one";
  learned.heard(-5);
  EXPECT_GE(learned.routers(), 1);
}

OpeningRules opening_rules() {
  OpeningRules rules;
  rules.opens_per_s = 200.0;
  rules.most_window = std::chrono::hours(1);
  return rules;
}

// All routers hear of the same node in the same moment.
TEST(OpeningTest, TheSumOfOpeningsAtOneNodeHolds) {
  for (const int routers : {1, 7, 60, 300, 1'000}) {
    std::vector<Micros> moments;
    for (int i = 0; i < routers; ++i) {
      Opening opening(opening_rules(), static_cast<std::uint64_t>(i) * 977 + 1);
      opening.fleet_size(routers);
      if (opening.appears(seconds(1), "cache", 0)) {
        moments.push_back(seconds(1));
      } else {
        moments.push_back(*opening.due());
        EXPECT_TRUE(opening.opened(*opening.due() - Micros(1)).empty());
        EXPECT_EQ(opening.opened(moments.back()), std::vector<std::string>{"cache"});
        EXPECT_TRUE(opening.open("cache"));
      }
    }
    EXPECT_LE(fleet::most_within(moments, seconds(1)), allowed(200.0, seconds(1))) << routers;
    EXPECT_LE(*std::max_element(moments.begin(), moments.end()), seconds(1) + Micros(routers * 10'000));
  }
}

// A node that flaps for a minute: how often do all routers open it anew? `forgetful`: each flap is taken for
// a first appearance, as if the ramp were reset.
std::size_t openings_of_a_flapping_node(bool forgetful) {
  constexpr int kRouters = 100;
  constexpr int kFlaps = 40;
  std::size_t opened = 0;
  for (int i = 0; i < kRouters; ++i) {
    const std::uint64_t seed = static_cast<std::uint64_t>(i) * 977 + 1;
    Opening opening(opening_rules(), seed);
    opening.fleet_size(kRouters);
    for (int flap = 0; flap < kFlaps; ++flap) {
      const Micros now = milliseconds(1'500 * (flap + 1));
      if (forgetful) {
        opening = Opening(opening_rules(), seed + static_cast<std::uint64_t>(flap) * 13);
        opening.fleet_size(kRouters);
      }
      opened += opening.appears(now, "cache", flap) ? 1 : 0;
      opened += opening.opened(now + milliseconds(1'000)).size();
      opening.leaves(now + milliseconds(1'000), "cache");
    }
  }
  return opened;
}

TEST(OpeningTest, AFlappingNodeIsOpenedMoreAndMoreRarely) {
  EXPECT_LE(openings_of_a_flapping_node(false), 100U * 4U);
  EXPECT_GT(openings_of_a_flapping_node(true), 100U * 30U) << "a ramp that a flap resets would be seen";
}

TEST(OpeningTest, DrainingAndLeavingBindAtOnceAndARestartIsAnotherNode) {
  OpeningRules rules;  // as they come
  Opening opening(rules, 1);
  EXPECT_TRUE(opening.appears(seconds(1), "a", 5));
  EXPECT_TRUE(opening.open("a"));
  EXPECT_TRUE(opening.appears(seconds(2), "a", 5));
  opening.leaves(seconds(3), "a");
  EXPECT_FALSE(opening.open("a"));
  EXPECT_EQ(opening.due(), std::nullopt);
  rules.opens_per_s = 0.5;
  Opening slow(rules, 1);
  slow.fleet_size(1'000);
  slow.appears(seconds(1), "a", 5);
  const Micros first = *slow.due();
  slow.leaves(seconds(2), "a");
  EXPECT_EQ(slow.due(), std::nullopt);
  EXPECT_FALSE(slow.appears(seconds(2), "a", 6));
  EXPECT_GE(*slow.due(), first) << "coming and going never makes an opening sooner";
}

TEST(OpeningTest, ConnectionsAreAShareOfWhatTheNodeHolds) {
  OpeningRules rules;
  rules.node_connections = 1'000;
  Opening opening(rules, 1);
  opening.fleet_size(10);
  EXPECT_EQ(opening.connections(), 16);
  opening.fleet_size(300);
  EXPECT_EQ(opening.connections(), 3);
  opening.fleet_size(5'000);
  EXPECT_EQ(opening.connections(), 1);
}

ReadinessRules rules_of(ReadinessRules::Unsure unsure) {
  ReadinessRules rules;
  rules.unsure = unsure;
  rules.told_within = seconds(2);
  rules.purge_done = seconds(6);
  rules.lapse = seconds(30);
  return rules;
}

TEST(ReadinessTest, TheTableOfStates) {
  Readiness readiness(rules_of(ReadinessRules::Unsure::kServe));
  EXPECT_EQ(readiness.state(seconds(10)), State::kFresh);
  EXPECT_FALSE(readiness.allowance(seconds(10)).ready);
  readiness.starts_with(seconds(10), seconds(3), false);
  EXPECT_EQ(readiness.state(seconds(10)), State::kProvisional);
  EXPECT_TRUE(readiness.allowance(seconds(10)).serves);
  EXPECT_TRUE(readiness.allowance(seconds(10)).starts_unknown);
  readiness.confirmed(seconds(11), seconds(11));
  EXPECT_EQ(readiness.state(seconds(12)), State::kCurrent);
  EXPECT_FALSE(readiness.allowance(seconds(12)).starts_unknown);
  EXPECT_EQ(readiness.changes(seconds(12)), seconds(13) + Micros(1));
  EXPECT_EQ(readiness.state(seconds(13)), State::kCurrent);
  EXPECT_EQ(readiness.state(seconds(13) + Micros(1)), State::kDoubtful);
  EXPECT_EQ(readiness.state(seconds(41)), State::kDoubtful);
  EXPECT_EQ(readiness.state(seconds(41) + Micros(1)), State::kLapsed);
  EXPECT_FALSE(readiness.allowance(seconds(42)).serves);
  readiness.confirmed(seconds(50), seconds(50));
  EXPECT_EQ(readiness.state(seconds(50)), State::kCurrent);
  readiness.anew();
  EXPECT_EQ(readiness.state(seconds(50)), State::kFresh);
}

TEST(ReadinessTest, AConfirmationOfThePastNeverMakesItYounger) {
  Readiness readiness(rules_of(ReadinessRules::Unsure::kServe));
  readiness.confirmed(seconds(10), seconds(10));
  readiness.confirmed(seconds(11), seconds(4));  // a page by a relay, seven seconds old
  EXPECT_EQ(readiness.age(seconds(11)), seconds(1));
  readiness.confirmed(seconds(12), seconds(99));  // from the future: not believed beyond now
  EXPECT_EQ(readiness.age(seconds(12)), Micros(0));
}

TEST(ReadinessTest, InDoubtGuardLimitsAgesAndRefuseServesNothing) {
  Readiness guard(rules_of(ReadinessRules::Unsure::kGuard));
  guard.confirmed(seconds(10), seconds(10));
  EXPECT_EQ(guard.allowance(seconds(12)).oldest_copy, std::nullopt);
  EXPECT_EQ(guard.allowance(seconds(13)).oldest_copy, seconds(2));
  EXPECT_TRUE(guard.allowance(seconds(13)).serves);
  Readiness refuse(rules_of(ReadinessRules::Unsure::kRefuse));
  refuse.confirmed(seconds(10), seconds(10));
  EXPECT_TRUE(refuse.allowance(seconds(12)).ready);
  EXPECT_FALSE(refuse.allowance(seconds(13)).ready);
  EXPECT_FALSE(refuse.allowance(seconds(13)).serves);
  // Where caches drop what is purged sooner than it binds unheard, no purge can be missing.
  ReadinessRules late = rules_of(ReadinessRules::Unsure::kGuard);
  late.told_within = seconds(7);
  Readiness safe(late);
  safe.confirmed(seconds(10), seconds(10));
  EXPECT_EQ(safe.allowance(seconds(30)).oldest_copy, std::nullopt);
}

TEST(NumberingTest, OldPagesChangeNothingAndANewBoardIsNoticed) {
  Numbering numbering(seconds(5));
  EXPECT_EQ(numbering.judge(seconds(1), 0, 40, "a"), PageVerdict::kTake);
  EXPECT_EQ(numbering.judge(seconds(2), 40, 41, "a"), PageVerdict::kTake);
  EXPECT_EQ(numbering.judge(seconds(3), 41, 39, "a"), PageVerdict::kStale);
  EXPECT_EQ(numbering.judge(seconds(4), 41, 41, "a"), PageVerdict::kTake);
  EXPECT_EQ(numbering.judge(seconds(5), 41, 3, "b"), PageVerdict::kAnew) << "another name: at once";
  EXPECT_EQ(numbering.judge(seconds(5), 0, 3, "b"), PageVerdict::kTake);
  Numbering nameless(seconds(5));
  EXPECT_EQ(nameless.judge(seconds(1), 41, 2, ""), PageVerdict::kStale);
  EXPECT_EQ(nameless.judge(seconds(5), 41, 2, ""), PageVerdict::kStale);
  EXPECT_EQ(nameless.judge(seconds(6), 41, 2, ""), PageVerdict::kAnew);
  EXPECT_EQ(nameless.judge(seconds(6), 41, 2, ""), PageVerdict::kStale) << "counted anew from here";
  EXPECT_EQ(nameless.judge(seconds(7), 41, 44, ""), PageVerdict::kTake);
  EXPECT_EQ(nameless.judge(seconds(20), 44, 2, ""), PageVerdict::kStale)
      << "a sound page between begins again";
}

TEST(RelayTreeTest, EveryRouterSeesTheSameTreeWithoutCirclesAndOfBoundedDegree) {
  for (const int count : {1, 2, 3, 9, 10, 150}) {
    std::vector<std::string> names;
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
      std::set<std::string> seen{name};
      for (const std::string& one : ancestors) {
        EXPECT_TRUE(seen.insert(one).second) << "a circle";
      }
      if (!ancestors.empty()) {
        ++children[ancestors.front()];
        const auto of_parent = RelayTree(ancestors.front(), names, 8).children();
        EXPECT_NE(std::find(of_parent.begin(), of_parent.end(), name), of_parent.end());
      }
    }
    EXPECT_EQ(roots, 1);
    for (const auto& [name, number] : children) {
      EXPECT_LE(number, 8);
    }
  }
}

Upstream::Said page_of_age(Micros age, std::vector<std::string> path = {}) { return {age, std::move(path)}; }

TEST(UpstreamTest, ADeadParentIsPassedOverThenTheBoardThenTheParentAgain) {
  Upstream upstream({}, {"p", "g"}, 1);
  Micros now = seconds(1);
  EXPECT_EQ(upstream.choose(now), "p");
  upstream.failed(now, "p");
  EXPECT_EQ(upstream.choose(now), "g");
  upstream.failed(now, "g");
  EXPECT_EQ(upstream.choose(now), std::nullopt) << "two in a row: the board itself";
  now += milliseconds(600);
  EXPECT_EQ(upstream.choose(now), "p") << "half-open again";
  EXPECT_EQ(upstream.answered(now, "p", "me", page_of_age(milliseconds(10))), Upstream::Belief::kGood);
  upstream.failed(now, "p");
  EXPECT_EQ(upstream.choose(now), "g") << "a good page between: one failure is one again";
}

TEST(UpstreamTest, OldPagesCirclesAndPagesWithoutAgeAreNotBelieved) {
  Upstream upstream({}, {"p", "g"}, 1);
  EXPECT_EQ(upstream.answered(seconds(1), "p", "me", page_of_age(milliseconds(1'001))),
            Upstream::Belief::kTooOld);
  EXPECT_EQ(upstream.choose(seconds(1)), "g");
  EXPECT_EQ(upstream.answered(seconds(1), "g", "me", page_of_age(Micros(0), {"g", "me"})),
            Upstream::Belief::kCircle);
  EXPECT_EQ(upstream.choose(seconds(1)), std::nullopt);
  Upstream other({}, {"p"}, 1);
  EXPECT_EQ(other.answered(seconds(1), "p", "me", page_of_age(Micros::max())), Upstream::Belief::kTooOld);
  EXPECT_EQ(other.answered(seconds(1), "p", "me", page_of_age(Micros(-5))), Upstream::Belief::kTooOld);
}

TEST(UpstreamTest, ARelayThatWithholdsIsFoundByAnAuditAndNotAskedAnyMore) {
  UpstreamRules rules;
  Upstream upstream(rules, {"p"}, 1);
  upstream.fleet_size(10);
  const Micros due = *upstream.audit_due(seconds(1));
  EXPECT_LE(due, seconds(1) + seconds(20));
  upstream.audited(due, 7, 7);
  EXPECT_FALSE(upstream.withholds(due + seconds(9), "p", 7));
  upstream.audited(due, 8, 7);
  EXPECT_FALSE(upstream.withholds(due + rules.most_age, "p", 7)) << "it may be on its way";
  EXPECT_FALSE(upstream.withholds(due + rules.most_age, "p", 8)) << "it came";
  upstream.audited(due, 9, 8);
  EXPECT_TRUE(upstream.withholds(due + rules.most_age + Micros(1), "p", 8));
  EXPECT_EQ(upstream.choose(due + seconds(100)), std::nullopt);
  Upstream watched(rules, {"p"}, 1);
  for (int i = 0; i < 20; ++i) {
    watched.audited(due + milliseconds(50) * i, 9, 8);
    EXPECT_FALSE(i < 19 && watched.withholds(due + milliseconds(50) * i, "p", 8));
  }
  EXPECT_TRUE(watched.withholds(due + milliseconds(1'050), "p", 8)) << "audits in a row give it no more time";
  EXPECT_EQ(upstream.choose(due + seconds(400)), "p");
}

// Over all routers together: the stated rate.
TEST(UpstreamTest, TheSumOfAuditsHolds) {
  std::vector<Micros> audits;
  for (int i = 0; i < 200; ++i) {
    Upstream upstream({}, {"p"}, static_cast<std::uint64_t>(i) + 1);
    upstream.fleet_size(200);
    Micros now(0);
    while (now < seconds(4'000)) {
      now = *upstream.audit_due(now);
      audits.push_back(now);
      upstream.audited(now, 0, 0);
    }
  }
  const double per_s = static_cast<double>(audits.size()) / 4'000.0;
  EXPECT_GT(per_s, 0.9);
  EXPECT_LT(per_s, 1.1);
}

NodeEntry entry(const std::string& name, NodeState state = NodeState::kReady, Micros started = Micros(0)) {
  NodeEntry out;
  out.address = name;
  out.zone = "here";
  out.state = state;
  out.started = started;
  return out;
}

class GateTest : public testing::Test {
 protected:
  std::vector<ListReceived> lists(Gate& gate, Micros now) {
    events_.clear();
    gate.due(now, events_);
    std::vector<ListReceived> out;
    for (const Event& event : events_) {
      if (const auto* list = std::get_if<ListReceived>(&event)) {
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
  static std::map<std::string, NodeState> states(const ListReceived& list) {
    std::map<std::string, NodeState> out;
    for (const NodeEntry& one : list.entries) {
      out[one.address] = one.state;
    }
    return out;
  }

  std::vector<Event> events_;
};

TEST_F(GateTest, ListsPassAsTheyComeAndOnlyChangesAreToldAgain) {
  Gate gate({}, rules_of(ReadinessRules::Unsure::kServe), 1);
  EXPECT_TRUE(lists(gate, seconds(1)).empty());
  gate.starts_with(seconds(1), seconds(1), true);
  gate.list(seconds(1), {ListKind::kFull, {entry("a"), entry("b", NodeState::kDraining)}});
  auto told = lists(gate, seconds(1));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].kind, ListKind::kFull);
  EXPECT_EQ(states(told[0]),
            (std::map<std::string, NodeState>{{"a", NodeState::kReady}, {"b", NodeState::kDraining}}));
  EXPECT_TRUE(gate.ready(seconds(1)));
  EXPECT_TRUE(lists(gate, seconds(1)).empty());
  gate.list(seconds(1), {ListKind::kChanges, {entry("a", NodeState::kDraining)}});
  told = lists(gate, seconds(1));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].kind, ListKind::kChanges);
  EXPECT_EQ(states(told[0]), (std::map<std::string, NodeState>{{"a", NodeState::kDraining}}));
  EXPECT_FALSE(gate.ready(seconds(1)));
  gate.list(seconds(1), {ListKind::kFull, {entry("c")}});
  told = lists(gate, seconds(1));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(states(told[0]),
            (std::map<std::string, NodeState>{
                {"a", NodeState::kGone}, {"b", NodeState::kGone}, {"c", NodeState::kReady}}));
}

TEST_F(GateTest, WhatIsHeldBackIsToldAsDrainingUntilItOpens) {
  OpeningRules opening;
  opening.opens_per_s = 1.0;
  Gate gate(opening, rules_of(ReadinessRules::Unsure::kServe), 5);
  gate.fleet_size(2);
  gate.starts_with(seconds(1), seconds(1), true);
  gate.list(seconds(1), {ListKind::kFull, {entry("a"), entry("b")}});
  const auto told = lists(gate, seconds(1));
  ASSERT_EQ(told.size(), 1U);
  for (const auto& [name, state] : states(told[0])) {
    EXPECT_EQ(state, NodeState::kDraining) << name;
  }
  EXPECT_FALSE(gate.ready(seconds(1)));
  const Micros due = *gate.next_due(seconds(1));
  EXPECT_GT(due, seconds(1));
  const auto later = lists(gate, due);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(states(later[0]).begin()->second, NodeState::kReady);
  EXPECT_TRUE(gate.ready(due));
}

TEST_F(GateTest, AnUnknownStartIsTakenForColdUntilTheBoardIsHeard) {
  Gate gate({}, rules_of(ReadinessRules::Unsure::kServe), 1);
  gate.starts_with(seconds(9), seconds(2), false);
  gate.list(seconds(9), {ListKind::kFull, {entry("a"), entry("b", NodeState::kReady, seconds(4))}});
  auto told = lists(gate, seconds(9));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].entries[0].started, seconds(9));
  EXPECT_EQ(told[0].entries[1].started, seconds(4));
  gate.confirmed(seconds(10), seconds(10));
  told = lists(gate, seconds(10));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].entries[0].started, Micros(0));
}

TEST_F(GateTest, GuardTellsAgeLimitsAgainAndAgainWhileInDoubt) {
  Gate gate({}, rules_of(ReadinessRules::Unsure::kGuard), 1);
  gate.confirmed(seconds(10), seconds(10));
  gate.list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(gate, seconds(10));
  EXPECT_EQ(purges(), 0U);
  Micros now = seconds(10);
  Micros told_at(-1);
  for (int i = 0; i < 40; ++i) {
    now = *gate.next_due(now) + Micros(0);
    lists(gate, now);
    if (purges() == 256U) {
      // Until it is told anew, nothing older than the stated time passes.
      const Micros age = std::get<Purged>(events_.back()).age;
      EXPECT_LE(age, seconds(2));
      if (told_at >= Micros(0)) {
        EXPECT_LE(now - told_at + age, seconds(2));
      }
      told_at = now;
    }
    if (now > seconds(20)) {
      break;
    }
  }
  EXPECT_GT(told_at, seconds(12));
  gate.confirmed(now, now);
  lists(gate, now);
  EXPECT_EQ(purges(), 0U);
}

TEST_F(GateTest, RefuseTellsAnEmptyListAndTheWholeOneOnceItIsSure) {
  Gate gate({}, rules_of(ReadinessRules::Unsure::kRefuse), 1);
  gate.confirmed(seconds(10), seconds(10));
  gate.list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(gate, seconds(10));
  // Stopped here for ten seconds: whatever comes first, the empty list goes before it.
  auto told = lists(gate, seconds(20));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].kind, ListKind::kFull);
  EXPECT_TRUE(told[0].entries.empty());
  EXPECT_FALSE(gate.ready(seconds(20)));
  gate.confirmed(seconds(21), seconds(21));
  told = lists(gate, seconds(21));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].kind, ListKind::kFull);
  EXPECT_EQ(told[0].entries.size(), 1U);
}

TEST_F(GateTest, ABoardThatBeganAnewLeavesNothingOfTheOldList) {
  Gate gate({}, rules_of(ReadinessRules::Unsure::kServe), 1);
  gate.confirmed(seconds(10), seconds(10));
  gate.list(seconds(10), {ListKind::kFull, {entry("a")}});
  lists(gate, seconds(10));
  gate.anew(seconds(11));
  auto told = lists(gate, seconds(11));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_TRUE(told[0].entries.empty());
  EXPECT_FALSE(gate.ready(seconds(11)));
  gate.confirmed(seconds(12), seconds(12));
  gate.list(seconds(12), {ListKind::kFull, {entry("b")}});
  told = lists(gate, seconds(12));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(states(told[0]), (std::map<std::string, NodeState>{{"b", NodeState::kReady}}));
}

}  // namespace
}  // namespace trailcourse::startup
