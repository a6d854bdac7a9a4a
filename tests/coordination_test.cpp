// One suite for both backends of a coordination store, and the coordination server.
#include <gtest/gtest.h>

#include "coordination/coordination_server.h"
#include "coordination_fixture.h"

namespace trailcourse::coordination {
namespace {

using std::chrono::milliseconds;

class ConformanceTest : public testing::TestWithParam<Backend> {};
INSTANTIATE_TEST_SUITE_P(Stores, ConformanceTest, testing::Values(Backend::kEtcd, Backend::kEmbedded),
                         [](const auto& one) { return one.param == Backend::kEtcd ? "Etcd" : "Embedded"; });

TEST_P(ConformanceTest, OneOfConcurrentCompareAndSetsSucceeds) {
  StoreEnvironment environment(GetParam());
  std::vector<CoordinationStore*> routers;
  for (int i = 0; i < 5; ++i) {
    routers.push_back(&environment.store());
  }
  for (int round = 0; round < 5; ++round) {
    const std::string key = "own/" + std::to_string(round);
    int answers = 0;
    int wins = 0;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      routers[i]->commit(put_if_absent(key, "router" + std::to_string(i)),
                         [&](const StoreResponse<TransactionResult>& reply) {
                           EXPECT_TRUE(reply.ok()) << reply.error;
                           wins += reply.value.succeeded ? 1 : 0;
                           ++answers;
                         });
    }
    ASSERT_TRUE(environment.until([&] { return answers == 5; }));
    EXPECT_EQ(wins, 1);
  }
  EXPECT_NE(routers[0]->id(), 0U);
  EXPECT_EQ(routers[0]->id(), routers[4]->id());
}

TEST_P(ConformanceTest, EveryKindOfConditionAndOperation) {
  StoreEnvironment environment(GetParam());
  CoordinationStore& store = environment.store();
  const auto first = environment.commit(store, put("a/1", "x"));
  ASSERT_TRUE(first.ok()) << first.error;
  const Revision made = first.value.revision;
  const auto holds = [&](const Compare& compare) {
    const auto reply = environment.commit(store, Transaction{{compare}, {}, {}});
    EXPECT_TRUE(reply.ok()) << reply.error;
    return reply.value.succeeded;
  };
  using What = Compare::What;
  using How = Compare::How;
  EXPECT_TRUE(holds({"a/1", What::kCreated, How::kEqual, made, {}}));
  EXPECT_FALSE(holds({"a/1", What::kCreated, How::kNotEqual, made, {}}));
  EXPECT_TRUE(holds({"a/1", What::kModified, How::kLess, made + 1, {}}));
  EXPECT_TRUE(holds({"a/1", What::kVersion, How::kGreater, 0, {}}));
  EXPECT_TRUE(holds({"a/1", What::kLease, How::kEqual, 0, {}}));
  EXPECT_TRUE(holds({"a/1", What::kValue, How::kEqual, 0, "x"}));
  EXPECT_FALSE(holds({"a/2", What::kValue, How::kNotEqual, 0, "x"})) << "no value can be compared";
  EXPECT_TRUE(holds({"a/2", What::kVersion, How::kEqual, 0, {}}));
  const std::string odd("a/\0\xff", 4);
  ASSERT_TRUE(environment.commit(store, put(odd, std::string("\0\n\x80", 3))).ok());
  const auto all = environment.commit(store, Transaction{{}, {Get{Range{"a/", true}}}, {}});
  ASSERT_EQ(all.value.results.at(0).found.size(), 2U);
  EXPECT_EQ(all.value.results[0].found[0].value, std::string("\0\n\x80", 3));
  const auto gone =
      environment.commit(store, Transaction{{}, {Delete{Range{"a/", true}}, Put{"b", "", 0}}, {}});
  EXPECT_EQ(gone.value.results.at(0).deleted, 2U);
  const auto rest = environment.commit(store, Transaction{{}, {Get{Range{"", true}}}, {}});
  ASSERT_EQ(rest.value.results.at(0).found.size(), 1U);
  EXPECT_EQ(rest.value.results[0].found[0].key, "b");
  EXPECT_EQ(environment.commit(store, put("c", "", 12'345)).status, CallStatus::kRejected);
}

TEST_P(ConformanceTest, KeysAreDeletedWhenTheirLeaseExpires) {
  StoreEnvironment environment(GetParam());
  CoordinationStore& owner = environment.store();
  CoordinationStore& other = environment.store();
  RecordingObserver observer;
  other.watch(Range{"own/", true}, observer);
  const auto lease = environment.grant(owner, milliseconds(400));
  ASSERT_TRUE(lease.ok()) << lease.error;
  const auto got = environment.commit(owner, put_if_absent("own/a", "owner", lease.value.id));
  ASSERT_TRUE(got.value.succeeded);
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("own/a"); }));
  for (int i = 0; i < 6; ++i) {
    const auto renewed = environment.renew(owner, lease.value.id);
    ASSERT_TRUE(renewed.ok()) << renewed.error;
    // A busy machine may have let it end; then it must be gone for all, too.
    if (renewed.value.ttl == Micros(0)) {
      break;
    }
  }
  ASSERT_TRUE(environment.until([&] { return !observer.values.contains("own/a"); }))
      << "no renewal: it has to end";
  EXPECT_EQ(environment.renew(owner, lease.value.id).value.ttl, Micros(0));
  EXPECT_TRUE(environment.commit(other, put_if_absent("own/a", "other")).value.succeeded);
  other.unwatch(1);
}

TEST_P(ConformanceTest, RevocationIsImmediateAndIdempotent) {
  StoreEnvironment environment(GetParam());
  CoordinationStore& owner = environment.store();
  CoordinationStore& other = environment.store();
  const auto lease = environment.grant(owner, std::chrono::seconds(60));
  ASSERT_TRUE(environment.commit(owner, put_if_absent("own/a", "owner", lease.value.id)).value.succeeded);
  EXPECT_FALSE(environment.commit(other, put_if_absent("own/a", "other")).value.succeeded);
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(environment.await<Empty>([&](auto then) { owner.revoke(lease.value.id, then); }).ok());
  }
  EXPECT_TRUE(environment.commit(other, put_if_absent("own/a", "other")).value.succeeded);
}

TEST_P(ConformanceTest, WatchDeliversEveryChangeOnceAndInOrder) {
  StoreEnvironment environment(GetParam());
  CoordinationStore& writer = environment.store();
  CoordinationStore& reader = environment.store();
  ASSERT_TRUE(environment.commit(writer, put("w/0", "before")).ok());
  RecordingObserver observer;
  const auto watch = reader.watch(Range{"w/", true}, observer);
  ASSERT_TRUE(environment.until([&] { return observer.snapshots == 1; }));
  EXPECT_EQ(observer.values.size(), 1U);
  std::vector<std::string> expected;
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(environment.commit(writer, put("w/" + std::to_string(i % 3), std::to_string(i))).ok());
    expected.push_back("+w/" + std::to_string(i % 3) + std::to_string(i));
    ASSERT_TRUE(environment.commit(writer, put("elsewhere", std::to_string(i))).ok());
  }
  ASSERT_TRUE(environment.commit(writer, Transaction{{}, {Delete{Range{"w/1", false}}}, {}}).ok());
  expected.push_back("-w/1");
  ASSERT_TRUE(environment.until([&] { return observer.changes.size() >= expected.size(); }));
  EXPECT_EQ(observer.changes, expected);
  EXPECT_EQ(observer.snapshots, 1);
  reader.unwatch(watch);
}

TEST(CoordinationServerTest, SecondServerOnTheSameFolderIsRejected) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& store = environment.store();
  ASSERT_TRUE(environment.commit(store, put("a", "1")).ok());
  EXPECT_THROW(CoordinationServer(environment.scheduler, environment.server_options()), std::runtime_error);
}

}  // namespace
}  // namespace trailcourse::coordination
