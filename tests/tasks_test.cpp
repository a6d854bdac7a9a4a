// The decisions of the three kinds of owned work: whom routers suspect and what probes make of it, which
// objects are filled next, and the fleet's report.
#include <gtest/gtest.h>

#include <chrono>
#include <random>

#include "config/record.h"
#include "tasks/fleet_report.h"
#include "tasks/health_check_plan.h"
#include "tasks/options.h"
#include "tasks/prefetch_plan.h"

namespace trailcourse::tasks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Suspects ----

TEST(OutlierTrackerTest, FailuresInARowMakeASuspectAndAreToldOnce) {
  OutlierTracker book(3);
  book.ended("a", false);
  book.ended("a", false);
  book.ended("a", true);
  book.ended("a", false);
  book.ended("a", false);
  EXPECT_TRUE(book.changes().empty());
  book.ended("a", false);
  EXPECT_EQ(book.changes(), (std::map<std::string, bool>{{"a", true}}));
  EXPECT_TRUE(book.changes().empty());
  book.ended("a", true);
  EXPECT_EQ(book.changes(), (std::map<std::string, bool>{{"a", false}}));
  // Back and forth between two calls is nothing to tell.
  for (int i = 0; i < 3; ++i) {
    book.ended("a", false);
  }
  book.cleared("a");
  EXPECT_TRUE(book.changes().empty());
}

TEST(HealthCheckPlanTest, ManyRoutersSuspicionIsOneProbe) {
  HealthCheckPlan plan(HealthCheckOptions{}, 7);
  Micros now{0};
  for (int i = 0; i < 100; ++i) {
    plan.named(now, "a", "router" + std::to_string(i), true);
  }
  EXPECT_EQ(plan.due(now), std::vector<std::string>{"a"});
  EXPECT_TRUE(plan.due(now).empty()) << "one is out";
  plan.probed(now, "a", false);
  EXPECT_TRUE(plan.news(now).empty()) << "one probe is not enough";
  EXPECT_EQ(plan.next(now), seconds(1));
  now += seconds(1);
  EXPECT_EQ(plan.due(now).size(), 1U);
  plan.probed(now, "a", false);
  const auto news = plan.news(now);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_FALSE(news[0].sound);
  EXPECT_EQ(news[0].term, 7U);
  EXPECT_EQ(plan.probes(), 2U);
}

TEST(HealthCheckPlanTest, AVerdictIsSaidAgainWhileTheSuspicionStandsAndTakenBackAfter) {
  HealthCheckOptions rules;
  HealthCheckPlan plan(rules, 7);
  Micros now{0};
  plan.named(now, "a", "r", true);
  std::vector<Verdict> said;
  std::uint64_t last = 0;
  const auto run = [&](Micros until, bool sound) {
    for (; now < until; now += milliseconds(250)) {
      for (const std::string& cache : plan.due(now)) {
        plan.probed(now, cache, sound);
      }
      for (const Verdict& verdict : plan.news(now)) {
        if (verdict.probes > 0) {
          EXPECT_GT(verdict.number, last);
          last = verdict.number;
        }
        said.push_back(verdict);
      }
    }
  };
  run(seconds(11), false);
  EXPECT_GE(said.size(), 4U);
  EXPECT_LE(said.size(), 6U);
  said.clear();
  run(seconds(14), true);
  ASSERT_FALSE(said.empty());
  EXPECT_TRUE(said.front().sound);
  said.clear();
  plan.named(now, "a", "r", false);
  run(seconds(18), true);
  ASSERT_FALSE(said.empty());
  EXPECT_EQ(said.back().probes, 0U) << "taken back";
  EXPECT_EQ(plan.suspects(), 0U);
  EXPECT_FALSE(plan.next(now)) << "nothing is probed that nobody suspects";
}

TEST(HealthCheckPlanTest, ACacheThatIsDownIsProbedOnThoughItsReportersAreGone) {
  HealthCheckPlan plan(HealthCheckOptions{}, 7);
  plan.named(Micros(0), "a", "r", true);
  plan.named(Micros(0), "a", "r", false);
  EXPECT_EQ(plan.due(Micros(0)).size(), 1U);
  plan.probed(Micros(0), "a", false);
  EXPECT_EQ(plan.due(seconds(1)).size(), 1U);
}

TEST(HealthCheckPlanTest, ProbesAtOnceAreBounded) {
  HealthCheckOptions rules;
  rules.most_out = 4;
  HealthCheckPlan plan(rules, 7);
  for (int i = 0; i < 50; ++i) {
    plan.named(Micros(0), "c" + std::to_string(i), "r", true);
  }
  EXPECT_EQ(plan.due(Micros(0)).size(), 4U);
  EXPECT_TRUE(plan.due(Micros(0)).empty());
  plan.probed(Micros(0), "c0", true);
  EXPECT_EQ(plan.due(Micros(0)).size(), 1U);
}

TEST(VerdictTrackerTest, ALaterTermGoesBeforeAndNothingCountsTwice) {
  VerdictTracker book(seconds(5));
  const auto verdict = [](bool sound, ownership::Term term, std::uint64_t number) {
    Verdict out;
    out.cache = "a";
    out.sound = sound;
    out.term = term;
    out.number = number;
    return out;
  };
  EXPECT_TRUE(book.heard(Micros(0), verdict(false, 7, 1)));
  EXPECT_FALSE(book.heard(Micros(0), verdict(false, 7, 1)));
  EXPECT_TRUE(book.heard(Micros(0), verdict(true, 9, 1)));
  EXPECT_FALSE(book.heard(Micros(0), verdict(false, 7, 50))) << "of a prober of the past";
  EXPECT_EQ(book.stands(seconds(1), "a"), true);
  EXPECT_FALSE(book.stands(seconds(6), "a")) << "too old to count";
  book.withdrawn("a");
  EXPECT_FALSE(book.stands(seconds(1), "a"));
  EXPECT_FALSE(book.heard(Micros(0), verdict(false, 8, 1)));
}

TEST(VerdictTest, MutatedVerdictsAreReadSoundOrNotAtAll) {
  Verdict verdict;
  verdict.cache = "a";
  verdict.term = 7;
  verdict.number = 3;
  const std::string good = write_verdict(verdict);
  EXPECT_EQ(read_verdict("a", good), verdict);
  std::mt19937_64 random(9);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = "0123456789\"{}[]:,-etrufals"[random() % 26];
    const auto read = read_verdict("a", text);
    refused += read ? 0 : 1;
    EXPECT_TRUE(!read || read->term > 0);
  }
  EXPECT_GT(refused, 300);
}

// ---- Filling ----

PrefetchOrder order_of(int objects) {
  PrefetchOrder order;
  order.request_class = "media";
  for (int i = 0; i < objects; ++i) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", i + 1);
    order.objects.push_back(text);
  }
  return order;
}

TEST(PrefetchPlanTest, AllObjectsOfAllShardsOnce) {
  const PrefetchOrder order = order_of(23);
  std::map<std::string, int> asked;
  for (std::uint64_t shard = 0; shard < 4; ++shard) {
    PrefetchPlan plan(order, shard, 4, PrefetchOptions{}, "");
    while (!plan.done()) {
      const auto due = plan.due(Micros(0));
      ASSERT_FALSE(due.empty());
      EXPECT_LE(due.size(), PrefetchOptions{}.open);
      for (const std::size_t place : due) {
        ++asked[plan.object(place)];
        plan.ended(Micros(0), place, PrefetchPlan::End::kFilled, Micros(0));
      }
    }
  }
  EXPECT_EQ(asked.size(), 23U);
  for (const auto& [object, times] : asked) {
    EXPECT_EQ(times, 1) << object;
  }
}

// Owners that die at drawn moments: nothing that was checkpointed is asked for again, all is asked for, and
// what is asked for twice was out at a death.
TEST(PrefetchPlanTest, ASuccessorGoesOnFromTheCheckpoint) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const PrefetchOrder order = order_of(40);
    std::map<std::string, int> answered;
    std::string checkpoint;
    std::size_t repeated = 0;
    int deaths = 0;
    bool done = false;
    while (!done) {
      PrefetchPlan plan(order, 0, 1, PrefetchOptions{}, checkpoint);
      std::vector<std::size_t> out;
      for (bool alive = true; alive && !(done = plan.done());) {
        for (const std::size_t place : plan.due(Micros(0))) {
          out.push_back(place);
        }
        ASSERT_FALSE(out.empty());
        const std::size_t which = random() % out.size();
        const std::size_t place = out[which];
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(which));
        repeated += ++answered[plan.object(place)] > 1 ? 1 : 0;
        plan.ended(Micros(0), place, PrefetchPlan::End::kFilled, Micros(0));
        const bool dies = random() % 12 == 0 && deaths < 20;
        if (!dies || random() % 2 == 0) {
          checkpoint = plan.checkpoint();
        }
        alive = !dies;
        deaths += dies ? 1 : 0;
      }
    }
    EXPECT_EQ(answered.size(), 40U);
    EXPECT_LE(repeated, static_cast<std::size_t>(deaths))
        << "one answer at most is lost with each checkpoint";
  }
}

TEST(PrefetchPlanTest, RefusalsAreTriedLaterAsOftenAsToldAndNoMore) {
  PrefetchOptions rules;
  rules.tries = 3;
  PrefetchPlan plan(order_of(1), 0, 1, rules, "");
  Micros now{0};
  ASSERT_EQ(plan.due(now).size(), 1U);
  plan.ended(now, 0, PrefetchPlan::End::kRefused, seconds(3));
  EXPECT_EQ(plan.next(now), seconds(3)) << "no sooner than the refusal says";
  now = seconds(3);
  ASSERT_EQ(plan.due(now).size(), 1U);
  plan.ended(now, 0, PrefetchPlan::End::kFailed, Micros(0));
  EXPECT_EQ(plan.next(now), now + 2 * rules.retry);
  now += 2 * rules.retry;
  ASSERT_EQ(plan.due(now).size(), 1U);
  plan.ended(now, 0, PrefetchPlan::End::kFailed, Micros(0));
  EXPECT_TRUE(plan.done());
  EXPECT_EQ(plan.progress().failed, 1U);
}

TEST(PrefetchPlanTest, APaceIsKeptAndNotMadeUpFor) {
  PrefetchOrder order = order_of(100);
  order.objects_per_s = 10.0;
  PrefetchOptions rules;
  rules.open = 100;
  PrefetchPlan plan(order, 0, 1, rules, "");
  EXPECT_EQ(plan.due(Micros(0)).size(), 1U);
  EXPECT_EQ(plan.next(Micros(0)), milliseconds(100));
  std::size_t asked = 1;
  for (Micros now{0}; now < seconds(2); now += milliseconds(10)) {
    asked += plan.due(now).size();
  }
  EXPECT_LE(asked, 21U);
  EXPECT_GE(asked, 19U);
  // After a silence there is no burst.
  EXPECT_LE(plan.due(seconds(10)).size(), 2U);
}

TEST(PrefetchPlanTest, ACheckpointOfAnotherAnnouncementOrNonsenseCountsAsNone) {
  PrefetchPlan first(order_of(10), 0, 1, PrefetchOptions{}, "");
  for (const std::size_t place : first.due(Micros(0))) {
    first.ended(Micros(0), place, PrefetchPlan::End::kHeld, Micros(0));
  }
  const std::string good = first.checkpoint();
  EXPECT_EQ(PrefetchPlan(order_of(10), 0, 1, PrefetchOptions{}, good).progress().held, 4U);
  EXPECT_EQ(PrefetchPlan(order_of(11), 0, 1, PrefetchOptions{}, good).progress().filled, 0U);
  std::mt19937_64 random(4);
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = "0123456789\"{}[]:,-"[random() % 18];
    PrefetchPlan plan(order_of(10), 0, 1, PrefetchOptions{}, text);
    // Whatever it says, the plan ends, and counts no more than there is.
    for (int i = 0; i < 20 && !plan.done(); ++i) {
      for (const std::size_t place : plan.due(Micros(0))) {
        plan.ended(Micros(0), place, PrefetchPlan::End::kFilled, Micros(0));
      }
    }
    EXPECT_TRUE(plan.done()) << text;
  }
}

TEST(PrefetchOrderTest, WhatCannotBeUsedIsNamed) {
  const auto why = [](const std::string& params) -> std::string {
    try {
      read_prefetch_order(params);
    } catch (const std::invalid_argument& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(why(write_prefetch_order(order_of(3))), "");
  EXPECT_NE(why("[]").find("params"), std::string::npos);
  EXPECT_NE(why(R"({"class":"media","objects":["xyz"]})").find("objects"), std::string::npos);
  EXPECT_NE(why(R"({"class":"media","objects":[]})").find("objects"), std::string::npos);
  EXPECT_EQ(read_prefetch_list("0000000000000001\nxyz\n0000000000000002/3\n").size(), 2U);
  EXPECT_NE(why(R"({"objects":["0000000000000001"]})").find("class"), std::string::npos);
  EXPECT_NE(why(R"({"class":"media","rate":1,"objects":["0000000000000001"]})").find("rate"),
            std::string::npos);
}

// ---- The report ----

Counters counters_of(const std::string& incarnation, std::uint64_t requests) {
  return Counters{incarnation, {{"requests", requests}}};
}

TEST(FleetReportTest, RestartsAndLossesAreCountedOnceAndNothingGoesBack) {
  FleetReport report("");
  report.take({{"a", counters_of("1", 10)}, {"b", counters_of("1", 5)}});
  EXPECT_EQ(report.sums().at("requests"), 15U);
  report.take({{"a", counters_of("1", 12)}});
  EXPECT_EQ(report.sums().at("requests"), 17U) << "b is gone, what it counted stays";
  report.take({{"a", counters_of("2", 3)}, {"b", counters_of("1", 6)}});
  EXPECT_EQ(report.sums().at("requests"), 21U) << "a began anew, b came back";
  // A successor goes on from the checkpoint.
  FleetReport second(report.checkpoint());
  second.take({{"a", counters_of("2", 4)}, {"b", counters_of("1", 6)}});
  EXPECT_EQ(second.sums().at("requests"), 22U);
  second.take({{"a", counters_of("2", 1)}});
  EXPECT_EQ(second.sums().at("requests"), 23U) << "a count that went back began anew";
}

TEST(FleetReportTest, NonsenseCountsAsNone) {
  FleetReport good("");
  good.take({{"a", counters_of("1", 10)}});
  const std::string text = good.checkpoint();
  std::mt19937_64 random(2);
  for (int round = 0; round < 2'000; ++round) {
    std::string bad = text;
    bad[random() % bad.size()] = "0123456789\"{}[]:,-"[random() % 18];
    FleetReport report(bad);
    report.take({{"a", counters_of("1", 10)}});
    SUCCEED() << report.routers();
  }
  EXPECT_FALSE(read_counters("[]"));
  EXPECT_FALSE(read_counters("{}"));
}

// ---- Settings ----

TEST(OwnershipOptionsTest, ALeaseThatOneLostRenewalWouldEndIsRefused) {
  OwnershipOptions options;
  EXPECT_NO_THROW(check_ownership(options));
  options.renew_ms = 3'000;
  EXPECT_THROW(check_ownership(options), config::KeyError);
  options = {};
  options.kinds = {"fill", "dance"};
  EXPECT_THROW(check_ownership(options), config::KeyError);
  options = {};
  options.flap_reuse = 5.0;
  EXPECT_THROW(check_ownership(options), config::KeyError);
}

}  // namespace
}  // namespace trailcourse::tasks
