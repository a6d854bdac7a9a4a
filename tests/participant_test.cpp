// A participant of a rollout: its states, the effective policy in each of them, its reports, and the
// preparation of versions.
#include "policy/participant.h"

#include <gtest/gtest.h>

#include <optional>
#include <variant>

namespace trailcourse::policy {
namespace {

constexpr std::uint64_t kPrevious = 7;
constexpr std::uint64_t kTarget = 8;
constexpr Micros kNow{1'000'000};

class ParticipantTest : public testing::Test {
 protected:
  explicit ParticipantTest(bool serve_intersection = true)
      : participant("i1", "edge", options(serve_intersection),
                    [](std::uint64_t) { return PreparationResult(); }) {
    participant.set_connected(kNow, true);
    observed.version = kPrevious;
    observe(std::nullopt);
    prepare(kPrevious);
  }

  static ParticipantOptions options(bool serve_intersection) {
    ParticipantOptions out;
    out.serve_intersection = serve_intersection;
    return out;
  }
  void observe(std::optional<RolloutState> state) {
    observed.rollout.reset();
    if (state) {
      observed.rollout.emplace();
      observed.rollout->id = 3;
      observed.rollout->previous_version = kPrevious;
      observed.rollout->target_version = kTarget;
      observed.rollout->state = *state;
    }
    ++observed.rollout_revision;
    participant.on_observed_state(kNow, observed);
  }
  // Passes the document of a version to the participant and confirms that it is stored.
  void prepare(std::uint64_t version) {
    participant.on_document(kNow, version);
    next<PersistDocumentAction>();
    participant.on_persist_result(kNow, version, {});
  }
  // Returns the action of this type that the participant takes now, if any.
  template <typename Action>
  std::optional<Action> next() {
    for (const ParticipantAction& action : participant.step(kNow)) {
      if (const Action* const found = std::get_if<Action>(&action)) {
        return *found;
      }
    }
    return std::nullopt;
  }
  void join() {
    const auto action = next<LeaseAction>();
    ASSERT_TRUE(action.has_value());
    participant.on_join_result(kNow, action->call.call_id, true);
  }
  // Confirms the report that the participant writes now, and returns it.
  ParticipantReport report() {
    const auto action = next<ReportAction>();
    EXPECT_TRUE(action.has_value());
    if (!action) {
      return {};
    }
    participant.on_report_result(kNow, action->call_id, true);
    return action->report;
  }

  Participant participant;
  ObservedState observed;
};

class RejectingParticipantTest : public ParticipantTest {
 protected:
  RejectingParticipantTest() : ParticipantTest(false) {}
};

TEST_F(ParticipantTest, RejectsRequestsWithoutALease) {
  EXPECT_EQ(participant.state(kNow), ParticipantState::kNotParticipating);
  EXPECT_FALSE(participant.ready(kNow));
  EXPECT_EQ(participant.effective_policy(kNow).kind, EffectivePolicy::Kind::kReject);
}

TEST_F(ParticipantTest, DecidesUnderTheVersionInForceWithALease) {
  join();
  EXPECT_EQ(participant.state(kNow), ParticipantState::kCurrent);
  EXPECT_TRUE(participant.ready(kNow));
  EXPECT_EQ(participant.effective_policy(kNow),
            (EffectivePolicy{EffectivePolicy::Kind::kSingle, kPrevious, kPrevious}));
}

TEST_F(ParticipantTest, RejectsRequestsFromTheEndOfItsLease) {
  join();
  EXPECT_EQ(participant.state(participant.lease_end()), ParticipantState::kNotParticipating);
}

TEST_F(ParticipantTest, ReportsThatItIsReadyWhenTheTargetVersionIsStored) {
  join();
  observe(RolloutState::kPreparing);
  participant.on_document(kNow, kTarget);
  const auto persist = next<PersistDocumentAction>();
  ASSERT_TRUE(persist.has_value());
  EXPECT_EQ(persist->version, kTarget);
  EXPECT_FALSE(next<ReportAction>().has_value()) << "it is not stored yet";
  participant.on_persist_result(kNow, kTarget, {});
  EXPECT_EQ(report().ready_stage, stage_id(*observed.rollout));
  EXPECT_EQ(participant.state(kNow), ParticipantState::kPrepared);
  EXPECT_EQ(participant.effective_policy(kNow).version, kPrevious);
}

TEST_F(ParticipantTest, RejectsAVersionThatItCannotStore) {
  join();
  observe(RolloutState::kPreparing);
  participant.on_document(kNow, kTarget);
  ASSERT_TRUE(next<PersistDocumentAction>().has_value());
  participant.on_persist_result(kNow, kTarget,
                                preparation_failed(PreparationError::Kind::kNotStored, "full disk"));
  const ParticipantReport rejection = report();
  EXPECT_EQ(rejection.rejected_stage, stage_id(*observed.rollout));
  EXPECT_EQ(rejection.rejection_reason, "full disk");
  EXPECT_EQ(rejection.ready_stage, 0U);
}

TEST_F(ParticipantTest, ServesWhatBothVersionsAllowWhileInDoubt) {
  join();
  prepare(kTarget);
  observe(RolloutState::kSuspending);
  EXPECT_EQ(participant.state(kNow), ParticipantState::kInDoubt);
  EXPECT_EQ(participant.effective_policy(kNow),
            (EffectivePolicy{EffectivePolicy::Kind::kIntersection, kPrevious, kTarget}));
  EXPECT_EQ(report().suspended_stage, stage_id(*observed.rollout));
}

TEST_F(ParticipantTest, RejectsRequestsWhileInDoubtWithoutTheTargetVersion) {
  join();
  observe(RolloutState::kSuspending);
  EXPECT_EQ(participant.effective_policy(kNow).kind, EffectivePolicy::Kind::kReject);
}

TEST_F(RejectingParticipantTest, RejectsRequestsWhileInDoubt) {
  join();
  prepare(kTarget);
  observe(RolloutState::kSuspending);
  EXPECT_EQ(participant.state(kNow), ParticipantState::kInDoubt);
  EXPECT_EQ(participant.effective_policy(kNow).kind, EffectivePolicy::Kind::kReject);
}

TEST_F(ParticipantTest, SwitchesAndReportsTheTargetVersionAfterTheCommit) {
  join();
  prepare(kTarget);
  observe(RolloutState::kSuspending);
  report();
  observed.version = kTarget;
  observe(RolloutState::kCommitted);
  EXPECT_EQ(participant.state(kNow), ParticipantState::kSwitching);
  EXPECT_EQ(participant.effective_policy(kNow).version, kTarget);
  const ParticipantReport switched = report();
  EXPECT_EQ(switched.version, kTarget);
  EXPECT_EQ(switched.suspended_stage, 0U);
  EXPECT_EQ(participant.state(kNow), ParticipantState::kCurrent);
}

TEST_F(ParticipantTest, IgnoresAStateOlderThanTheLastOneObserved) {
  observe(RolloutState::kSuspending);
  ObservedState stale = observed;
  --stale.rollout_revision;
  stale.rollout.reset();
  participant.on_observed_state(kNow, stale);
  EXPECT_TRUE(participant.observed().rollout.has_value());
}

TEST(DocumentPreparationTest, AVersionIsPreparedWhenItIsReceivedCheckedAndStored) {
  DocumentPreparation documents;
  EXPECT_TRUE(documents.is_prepared(0)) << "without a document";
  EXPECT_FALSE(documents.start_storing(kTarget)) << "not received";
  documents.set_checked(kTarget, {});
  EXPECT_TRUE(documents.start_storing(kTarget));
  EXPECT_FALSE(documents.start_storing(kTarget)) << "being stored";
  EXPECT_FALSE(documents.is_prepared(kTarget));
  documents.set_stored(kTarget, {});
  EXPECT_TRUE(documents.is_prepared(kTarget));
  EXPECT_EQ(documents.error(kTarget), nullptr);
}

TEST(DocumentPreparationTest, AVersionThatCannotBeAppliedIsNotStored) {
  DocumentPreparation documents;
  documents.set_checked(kTarget, preparation_failed(PreparationError::Kind::kUnsupported, "no class"));
  EXPECT_FALSE(documents.start_storing(kTarget));
  ASSERT_NE(documents.error(kTarget), nullptr);
  EXPECT_EQ(documents.error(kTarget)->kind, PreparationError::Kind::kUnsupported);
}

TEST(DocumentPreparationTest, VersionsThatAreNotNeededAreForgotten) {
  DocumentPreparation documents;
  for (const std::uint64_t version : {kPrevious, kTarget}) {
    documents.set_checked(version, {});
  }
  documents.forget_before(kTarget, [](std::uint64_t version) { return version == 0; });
  EXPECT_FALSE(documents.is_received(kPrevious));
  EXPECT_TRUE(documents.is_received(kTarget));
  EXPECT_TRUE(documents.is_prepared(0));
}

}  // namespace
}  // namespace trailcourse::policy
