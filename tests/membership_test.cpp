// Membership of the fleet: two processes with one name, members that flap, and members that have a session
// but cannot be reached by their peers.
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
  void join(const std::string& name, const std::string& incarnation, const std::string& zone = "edge",
            bool draining = false) {
    Member member;
    member.zone = zone;
    member.address = "127.0.0.1:4100";
    member.draining = draining;
    ++revision;
    view.apply(now, member_key(name, incarnation), write_member(member), revision, revision);
  }
  void leave(const std::string& name, const std::string& incarnation) {
    view.apply(now, member_key(name, incarnation), "", 0, ++revision);
  }
  void suspect(const std::string& name, const std::string& reporter, int probed = 2, int failed = 1) {
    ++revision;
    view.apply(now, suspicion_key(name, reporter), write_suspicion(Suspicion{name, reporter, probed, failed}),
               revision, revision);
  }
  std::vector<std::string> eligible(const std::string& zone = "") { return view.eligible(now, zone); }
  MemberStatus status(const std::string& name, const std::string& incarnation) {
    for (const MemberEntry& entry : view.members(now)) {
      if (entry.member.name == name && entry.member.incarnation == incarnation) {
        return entry.status;
      }
    }
    ADD_FAILURE() << name << " is not in the view";
    return MemberStatus::kActive;
  }

  using Names = std::vector<std::string>;
  MembershipView view{MembershipOptions{}};
  Micros now{0};
  std::uint64_t revision = 1;
};

TEST_F(MembershipTest, RevisionGrowsWithEachChangeAndZonesAreSeparate) {
  const std::uint64_t before = view.revision();
  join("a", "1", "east");
  join("b", "1", "west");
  EXPECT_GT(view.revision(), before);
  EXPECT_EQ(eligible("east"), Names{"a"});
  EXPECT_EQ(eligible(), (Names{"a", "b"}));
  leave("a", "1");
  EXPECT_EQ(eligible(), Names{"b"});
}

TEST_F(MembershipTest, LaterProcessSupersedesAnEarlierOneOfItsName) {
  join("a", "first");
  join("a", "second");
  EXPECT_TRUE(view.superseded("a", "first"));
  EXPECT_FALSE(view.superseded("a", "second"));
  EXPECT_EQ(status("a", "first"), MemberStatus::kSuperseded);
  EXPECT_EQ(eligible(), Names{"a"});
  // The old session expires, but the member has not left the fleet.
  leave("a", "first");
  EXPECT_EQ(eligible(), Names{"a"});
  EXPECT_EQ(status("a", "second"), MemberStatus::kActive);
  // If the later process leaves first, the earlier one is not superseded any more.
  join("b", "first");
  join("b", "second");
  leave("b", "second");
  EXPECT_FALSE(view.superseded("b", "first"));
}

TEST_F(MembershipTest, FlappingMemberIsDampedUntilItsPenaltyDecays) {
  join("a", "0");
  join("b", "0");
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(eligible(), (Names{"a", "b"})) << i;
    leave("a", std::to_string(i));
    now += seconds(1);
    join("a", std::to_string(i + 1));
  }
  // The penalty of three returns has decayed to just below `suppress`; the fourth return exceeds it.
  leave("a", "3");
  join("a", "4");
  EXPECT_EQ(eligible(), Names{"b"});
  EXPECT_EQ(status("a", "4"), MemberStatus::kDamped);
  const std::optional<Micros> returns_at = view.next_change_at(now);
  ASSERT_TRUE(returns_at);
  now = *returns_at - milliseconds(10);
  EXPECT_EQ(eligible(), Names{"b"});
  now = *returns_at;
  EXPECT_EQ(eligible(), (Names{"a", "b"}));
  EXPECT_FALSE(view.next_change_at(now));
}

TEST_F(MembershipTest, RollingRestartDampsNobody) {
  for (const char* name : {"a", "b", "c"}) {
    join(name, "0");
  }
  for (int round = 0; round < 2; ++round) {
    for (const char* name : {"a", "b", "c"}) {
      leave(name, std::to_string(round));
      now += seconds(20);
      join(name, std::to_string(round + 1));
      EXPECT_EQ(eligible().size(), 3U);
    }
  }
}

TEST_F(MembershipTest, TwoSuspectingPeersExcludeAMemberAndOneDoesNot) {
  for (const char* name : {"a", "b", "c", "d"}) {
    join(name, "0");
  }
  suspect("a", "b");
  EXPECT_EQ(eligible().size(), 4U);
  suspect("a", "c");
  EXPECT_EQ(status("a", "0"), MemberStatus::kSuspected);
  EXPECT_EQ(eligible(), (Names{"b", "c", "d"}));
  view.apply(now, suspicion_key("a", "c"), "", 0, ++revision);
  EXPECT_EQ(eligible().size(), 4U);
}

TEST_F(MembershipTest, SuspicionsOfAReporterThatReachesNobodyDoNotCount) {
  for (const char* name : {"a", "b", "c", "d"}) {
    join(name, "0");
  }
  // b and c are disconnected: each suspects all members that it probes.
  suspect("a", "b", 2, 2);
  suspect("a", "c", 2, 2);
  suspect("d", "b", 2, 2);
  EXPECT_EQ(eligible().size(), 4U);
  // Suspicions of a member that has left, or about the reporter itself, do not count either.
  suspect("a", "gone", 2, 1);
  suspect("a", "a", 2, 1);
  EXPECT_EQ(eligible().size(), 4U);
}

TEST_F(MembershipTest, RecordsMissingFromASnapshotAreRemoved) {
  join("a", "0");
  join("b", "0");
  suspect("a", "b");
  view.begin_snapshot();
  join("b", "0");
  view.end_snapshot(now, ++revision);
  EXPECT_EQ(eligible(), Names{"b"});
}

TEST_F(MembershipTest, DrainingMemberKeepsItsSessionAndGetsNoWork) {
  join("a", "0");
  join("a", "0", "edge", true);
  EXPECT_TRUE(eligible().empty());
  EXPECT_EQ(status("a", "0"), MemberStatus::kDraining);
}

TEST_F(MembershipTest, MalformedRecordsAreIgnored) {
  view.apply(now, "fleet/members/a/1", "not json", 5, 5);
  view.apply(now, "fleet/members/a", "{}", 5, 5);
  view.apply(now, "fleet/members/a b/1", "{}", 5, 5);
  view.apply(now, "elsewhere/a/1", "{}", 5, 5);
  EXPECT_TRUE(view.members(now).empty());
  std::mt19937_64 random(3);
  Member member;
  member.zone = "edge";
  const std::string valid = write_member(member);
  for (int round = 0; round < 2'000; ++round) {
    std::string text = valid;
    text[random() % text.size()] = static_cast<char>(random());
    text.resize(random() % 3 == 0 ? random() % text.size() : text.size());
    const auto read = read_member("fleet/members/a/1", text);
    EXPECT_TRUE(!read || read->name == "a");
  }
}

TEST(PeerProberTest, EachMemberIsProbedByAsManyAsItProbes) {
  std::vector<std::string> names;
  for (int i = 0; i < 50; ++i) {
    names.push_back("router" + std::to_string(i));
  }
  std::map<std::string, int> probed_by;
  for (const std::string& name : names) {
    const auto targets = PeerProber(name, 3, 2).select_targets(names);
    EXPECT_EQ(targets.size(), 3U);
    for (const std::string& target : targets) {
      EXPECT_NE(target, name);
      ++probed_by[target];
    }
  }
  for (const auto& [name, count] : probed_by) {
    EXPECT_EQ(count, 3) << name;
  }
  EXPECT_EQ(probed_by.size(), names.size());
}

TEST(PeerProberTest, SuspectsAfterFailuresInARowAndASuccessResetsThem) {
  PeerProber prober("a", 2, 2);
  prober.set_targets({"b", "c"});
  prober.on_probe_result("b", false);
  EXPECT_TRUE(prober.suspicions().empty());
  prober.on_probe_result("b", true);
  prober.on_probe_result("b", false);
  EXPECT_TRUE(prober.suspicions().empty());
  prober.on_probe_result("b", false);
  ASSERT_EQ(prober.suspicions().size(), 1U);
  EXPECT_EQ(prober.suspicions().at("b"), (Suspicion{"b", "a", 2, 1}));
  prober.set_targets({"c"});
  EXPECT_TRUE(prober.suspicions().empty());
  prober.on_probe_result("b", false);
  EXPECT_TRUE(prober.suspicions().empty()) << "results of a member that is not probed any more are ignored";
}

}  // namespace
}  // namespace trailcourse::membership
