// Who is in the fleet: names that come twice, members that flap, and such as the store hears and their
// neighbours do not.
#include <gtest/gtest.h>

#include <chrono>
#include <random>

#include "membership/membership_view.h"
#include "membership/peer_prober.h"

namespace trailcourse::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipTest : public testing::Test {
 protected:
  void come(const std::string& name, const std::string& incarnation, const std::string& zone = "edge",
            bool draining = false) {
    Member member;
    member.zone = zone;
    member.address = "127.0.0.1:4100";
    member.draining = draining;
    ++revision;
    view.apply(now, member_key(name, incarnation), write_member(member), revision, revision);
  }
  void go(const std::string& name, const std::string& incarnation) {
    view.apply(now, member_key(name, incarnation), "", 0, ++revision);
  }
  void doubt(const std::string& name, const std::string& by, int checks = 2, int fails = 1) {
    ++revision;
    view.apply(now, suspicion_key(name, by), write_suspicion(Suspicion{name, by, checks, fails}), revision,
               revision);
  }
  std::vector<std::string> eligible(const std::string& zone = "") { return view.eligible(now, zone); }
  MemberStatus standing(const std::string& name, const std::string& incarnation) {
    for (const MemberEntry& seen : view.members(now)) {
      if (seen.member.name == name && seen.member.incarnation == incarnation) {
        return seen.status;
      }
    }
    ADD_FAILURE() << name << " is not seen";
    return MemberStatus::kActive;
  }

  using Names = std::vector<std::string>;
  MembershipView view{MembershipOptions{}};
  Micros now{0};
  std::uint64_t revision = 1;
};

TEST_F(MembershipTest, ANumberGrowsWithEachChangeAndZonesAreKeptApart) {
  const std::uint64_t before = view.revision();
  come("a", "1", "east");
  come("b", "1", "west");
  EXPECT_GT(view.revision(), before);
  EXPECT_EQ(eligible("east"), Names{"a"});
  EXPECT_EQ(eligible(), (Names{"a", "b"}));
  go("a", "1");
  EXPECT_EQ(eligible(), Names{"b"});
}

TEST_F(MembershipTest, OfTwoStartsOfOneNameTheLaterIsTheOne) {
  come("a", "first");
  come("a", "second");
  EXPECT_TRUE(view.superseded("a", "first"));
  EXPECT_FALSE(view.superseded("a", "second"));
  EXPECT_EQ(standing("a", "first"), MemberStatus::kSuperseded);
  EXPECT_EQ(eligible(), Names{"a"});
  // The old session runs out: nobody left the fleet.
  go("a", "first");
  EXPECT_EQ(eligible(), Names{"a"});
  EXPECT_EQ(standing("a", "second"), MemberStatus::kActive);
  // Had the later one gone first, the other counts again.
  come("b", "first");
  come("b", "second");
  go("b", "second");
  EXPECT_FALSE(view.superseded("b", "first"));
}

TEST_F(MembershipTest, WhoComesAndGoesTooOftenIsDampedAndComesBackWithTime) {
  come("a", "0");
  come("b", "0");
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(eligible(), (Names{"a", "b"})) << i;
    go("a", std::to_string(i));
    now += seconds(1);
    come("a", std::to_string(i + 1));
  }
  // Three returns within seconds, a little halved: under the bound; the fourth is over it.
  go("a", "3");
  come("a", "4");
  EXPECT_EQ(eligible(), Names{"b"});
  EXPECT_EQ(standing("a", "4"), MemberStatus::kDamped);
  const std::optional<Micros> back = view.next_change_at(now);
  ASSERT_TRUE(back);
  now = *back - milliseconds(10);
  EXPECT_EQ(eligible(), Names{"b"});
  now = *back;
  EXPECT_EQ(eligible(), (Names{"a", "b"}));
  EXPECT_FALSE(view.next_change_at(now));
}

TEST_F(MembershipTest, ARollingRestartDampsNobody) {
  for (const char* name : {"a", "b", "c"}) {
    come(name, "0");
  }
  for (int round = 0; round < 2; ++round) {
    for (const char* name : {"a", "b", "c"}) {
      go(name, std::to_string(round));
      now += seconds(20);
      come(name, std::to_string(round + 1));
      EXPECT_EQ(eligible().size(), 3U);
    }
  }
}

TEST_F(MembershipTest, TwoPeersDoubtsTakeOneOutAndOneDoesNot) {
  for (const char* name : {"a", "b", "c", "d"}) {
    come(name, "0");
  }
  doubt("a", "b");
  EXPECT_EQ(eligible().size(), 4U);
  doubt("a", "c");
  EXPECT_EQ(standing("a", "0"), MemberStatus::kSuspected);
  EXPECT_EQ(eligible(), (Names{"b", "c", "d"}));
  view.apply(now, suspicion_key("a", "c"), "", 0, ++revision);
  EXPECT_EQ(eligible().size(), 4U);
}

TEST_F(MembershipTest, TheWordOfOneWhoReachesNobodyDoesNotCount) {
  for (const char* name : {"a", "b", "c", "d"}) {
    come(name, "0");
  }
  // b and c are cut off: each doubts all that it tries.
  doubt("a", "b", 2, 2);
  doubt("a", "c", 2, 2);
  doubt("d", "b", 2, 2);
  EXPECT_EQ(eligible().size(), 4U);
  // Of one who is not a member any more neither, nor of oneself.
  doubt("a", "gone", 2, 1);
  doubt("a", "a", 2, 1);
  EXPECT_EQ(eligible().size(), 4U);
}

TEST_F(MembershipTest, WhatIsMissingFromAWholeListIsGone) {
  come("a", "0");
  come("b", "0");
  doubt("a", "b");
  view.begin_snapshot();
  come("b", "0");
  view.end_snapshot(now, ++revision);
  EXPECT_EQ(eligible(), Names{"b"});
}

TEST_F(MembershipTest, ADrainingMemberKeepsItsSessionAndGetsNoWork) {
  come("a", "0");
  come("a", "0", "edge", true);
  EXPECT_TRUE(eligible().empty());
  EXPECT_EQ(standing("a", "0"), MemberStatus::kDraining);
}

TEST_F(MembershipTest, RecordsThatCannotBeReadAreNobody) {
  view.apply(now, "fleet/members/a/1", "not json", 5, 5);
  view.apply(now, "fleet/members/a", "{}", 5, 5);
  view.apply(now, "fleet/members/a b/1", "{}", 5, 5);
  view.apply(now, "elsewhere/a/1", "{}", 5, 5);
  EXPECT_TRUE(view.members(now).empty());
  std::mt19937_64 random(3);
  Member member;
  member.zone = "edge";
  const std::string good = write_member(member);
  for (int round = 0; round < 2'000; ++round) {
    std::string text = good;
    text[random() % text.size()] = static_cast<char>(random());
    text.resize(random() % 3 == 0 ? random() % text.size() : text.size());
    const auto read = read_member("fleet/members/a/1", text);
    EXPECT_TRUE(!read || read->name == "a");
  }
}

TEST(PeersTest, EachIsTriedByAsManyAsItTries) {
  std::vector<std::string> names;
  for (int i = 0; i < 50; ++i) {
    names.push_back("router" + std::to_string(i));
  }
  std::map<std::string, int> tried;
  for (const std::string& name : names) {
    const auto whom = PeerProber(name, 3, 2).select_targets(names);
    EXPECT_EQ(whom.size(), 3U);
    for (const std::string& one : whom) {
      EXPECT_NE(one, name);
      ++tried[one];
    }
  }
  for (const auto& [name, count] : tried) {
    EXPECT_EQ(count, 3) << name;
  }
  EXPECT_EQ(tried.size(), names.size());
}

TEST(PeersTest, MissesInARowMakeADoubtAndOneSuccessEndsIt) {
  PeerProber neighbours("a", 2, 2);
  neighbours.set_targets({"b", "c"});
  neighbours.on_probe_result("b", false);
  EXPECT_TRUE(neighbours.suspicions().empty());
  neighbours.on_probe_result("b", true);
  neighbours.on_probe_result("b", false);
  EXPECT_TRUE(neighbours.suspicions().empty());
  neighbours.on_probe_result("b", false);
  ASSERT_EQ(neighbours.suspicions().size(), 1U);
  EXPECT_EQ(neighbours.suspicions().at("b"), (Suspicion{"b", "a", 2, 1}));
  neighbours.set_targets({"c"});
  EXPECT_TRUE(neighbours.suspicions().empty());
  neighbours.on_probe_result("b", false);
  EXPECT_TRUE(neighbours.suspicions().empty()) << "of one that is not tried any more";
}

}  // namespace
}  // namespace trailcourse::membership
