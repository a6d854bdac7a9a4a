// The conformance suite of both backends of a coordination store, and the lock of the coordination server.
#include <gtest/gtest.h>

#include "coordination/coordination_server.h"
#include "coordination_fixture.h"

namespace trailcourse::coordination {
namespace {

using std::chrono::milliseconds;

class ConformanceTest : public testing::TestWithParam<Backend> {};
INSTANTIATE_TEST_SUITE_P(Stores, ConformanceTest, testing::Values(Backend::kEtcd, Backend::kEmbedded),
                         [](const auto& parameter) {
                           return parameter.param == Backend::kEtcd ? "Etcd" : "Embedded";
                         });

TEST_P(ConformanceTest, OneOfConcurrentCompareAndSetsSucceeds) {
  StoreEnvironment environment(GetParam());
  std::vector<CoordinationStore*> routers;
  for (int i = 0; i < 5; ++i) {
    routers.push_back(&environment.store());
  }
  for (int round = 0; round < 5; ++round) {
    const std::string key = "own/" + std::to_string(round);
    int responses = 0;
    int wins = 0;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      routers[i]->commit(put_if_absent(key, "router" + std::to_string(i)),
                         [&](const StoreResponse<TransactionResult>& response) {
                           EXPECT_TRUE(response.ok()) << response.error;
                           wins += response.value.succeeded ? 1 : 0;
                           ++responses;
                         });
    }
    ASSERT_TRUE(environment.until([&] { return responses == 5; }));
    EXPECT_EQ(wins, 1);
  }
  EXPECT_NE(routers[0]->id(), 0U);
  EXPECT_EQ(routers[0]->id(), routers[4]->id());
}

TEST_P(ConformanceTest, SupportsEveryConditionAndOperation) {
  StoreEnvironment environment(GetParam());
  CoordinationStore& store = environment.store();
  const auto first = environment.commit(store, put("a/1", "x"));
  ASSERT_TRUE(first.ok()) << first.error;
  const Revision created = first.value.revision;
  const auto holds = [&](const Compare& compare) {
    const auto response = environment.commit(store, Transaction{{compare}, {}, {}});
    EXPECT_TRUE(response.ok()) << response.error;
    return response.value.succeeded;
  };
  using Target = Compare::Target;
  using Relation = Compare::Relation;
  EXPECT_TRUE(holds({"a/1", Target::kCreated, Relation::kEqual, created, {}}));
  EXPECT_FALSE(holds({"a/1", Target::kCreated, Relation::kNotEqual, created, {}}));
  EXPECT_TRUE(holds({"a/1", Target::kModified, Relation::kLess, created + 1, {}}));
  EXPECT_TRUE(holds({"a/1", Target::kVersion, Relation::kGreater, 0, {}}));
  EXPECT_TRUE(holds({"a/1", Target::kLease, Relation::kEqual, 0, {}}));
  EXPECT_TRUE(holds({"a/1", Target::kValue, Relation::kEqual, 0, "x"}));
  EXPECT_FALSE(holds({"a/2", Target::kValue, Relation::kNotEqual, 0, "x"}))
      << "a key that does not exist has no value to compare";
  EXPECT_TRUE(holds({"a/2", Target::kVersion, Relation::kEqual, 0, {}}));
  const std::string binary_key("a/\0\xff", 4);
  ASSERT_TRUE(environment.commit(store, put(binary_key, std::string("\0\n\x80", 3))).ok());
  const auto all = environment.commit(store, Transaction{{}, {Get{Range{"a/", true}}}, {}});
  ASSERT_EQ(all.value.results.at(0).found.size(), 2U);
  EXPECT_EQ(all.value.results[0].found[0].value, std::string("\0\n\x80", 3));
  const auto deleted =
      environment.commit(store, Transaction{{}, {Delete{Range{"a/", true}}, Put{"b", "", 0}}, {}});
  EXPECT_EQ(deleted.value.results.at(0).deleted, 2U);
  const auto remaining = environment.commit(store, Transaction{{}, {Get{Range{"", true}}}, {}});
  ASSERT_EQ(remaining.value.results.at(0).found.size(), 1U);
  EXPECT_EQ(remaining.value.results[0].found[0].key, "b");
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
  const auto acquired = environment.commit(owner, put_if_absent("own/a", "owner", lease.value.id));
  ASSERT_TRUE(acquired.value.succeeded);
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("own/a"); }));
  for (int i = 0; i < 6; ++i) {
    const auto renewed = environment.renew(owner, lease.value.id);
    ASSERT_TRUE(renewed.ok()) << renewed.error;
    // On a busy machine the lease may have expired already. Then the key is deleted for all clients.
    if (renewed.value.ttl == Micros(0)) {
      break;
    }
  }
  ASSERT_TRUE(environment.until([&] { return !observer.values.contains("own/a"); }))
      << "a lease that is not renewed has to expire";
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
    EXPECT_TRUE(
        environment.await<Empty>([&](auto callback) { owner.revoke(lease.value.id, callback); }).ok());
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
