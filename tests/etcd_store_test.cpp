// The client of an etcd store over the network: what it makes of a store that is slow, gone, restored from an
// old copy, or another one; which endpoint it calls, and where a watch resumes.
#include <gtest/gtest.h>

#include <filesystem>

#include "coordination_fixture.h"

namespace trailcourse::coordination {
namespace {

using std::chrono::milliseconds;

TEST(EtcdStoreTest, RestartedStoreKeepsEntriesAndLeases) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& store = environment.store();
  RecordingObserver observer;
  const auto watch = store.watch(Range{"", true}, observer);
  const auto lease = environment.grant(store, std::chrono::seconds(5));
  const auto before = environment.commit(store, put_if_absent("own/a", "x", lease.value.id));
  ASSERT_TRUE(before.value.succeeded);
  const std::uint64_t id = store.id();
  ASSERT_TRUE(environment.until([&] { return observer.values.size() == 1; }));
  environment.stop_server();
  ASSERT_TRUE(environment.until([&] { return observer.disconnects > 0; }));
  const auto missing = environment.commit(store, put("b", "1"));
  EXPECT_NE(missing.status, CallStatus::kOk);
  environment.start_server();
  StoreResponse<TransactionResult> after;
  ASSERT_TRUE(environment.until([&] { return (after = environment.commit(store, put("b", "1"))).ok(); }));
  EXPECT_GT(after.value.revision, before.value.revision);
  EXPECT_EQ(store.id(), id);
  EXPECT_GT(environment.renew(store, lease.value.id).value.ttl, Micros(0));
  EXPECT_FALSE(environment.commit(store, put_if_absent("own/a", "y")).value.succeeded);
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("b"); }))
      << "the watch goes on: " << observer.reason;
  EXPECT_EQ(observer.snapshots, 1) << "from where it was, nothing was compacted";
  store.unwatch(watch);
}

TEST(EtcdStoreTest, WatchReadsASnapshotAfterCompaction) {
  StoreEnvironment environment(Backend::kEtcd, 16);
  CoordinationStore& writer = environment.store();
  environment.proxy();
  CoordinationStore& reader = environment.store();
  RecordingObserver observer;
  const auto watch = reader.watch(Range{"w/", true}, observer);
  ASSERT_TRUE(environment.until([&] { return observer.snapshots == 1; }));
  const auto fault = [&](const std::string& line) {
    for (const fleet::Fault& one : fleet::read_script("0 " + line)) {
      environment.proxy().apply(one);
    }
  };
  fault("refuse router>store");
  fault("reset router>store");
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(environment.commit(writer, put("w/" + std::to_string(i % 4), std::to_string(i))).ok());
  }
  fault("heal router>store");
  ASSERT_TRUE(environment.until([&] { return observer.snapshots >= 2 && observer.values["w/3"] == "59"; }))
      << observer.reason;
  EXPECT_EQ(observer.values.size(), 4U);
  reader.unwatch(watch);
}

// The answer is lost, the write is not: the driver must say that it does not know.
TEST(EtcdStoreTest, LostResponseIsUnknownAndARefusedConnectionIsNotSent) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& witness = environment.store();
  environment.proxy();
  environment.options().call_ms = 300;
  CoordinationStore& store = environment.store();
  ASSERT_TRUE(environment.commit(store, put("a", "1")).ok());
  environment.proxy().apply(fleet::read_script("0 cut router>store in").at(0));
  const auto lost = environment.commit(store, put_if_absent("b", "1"));
  EXPECT_EQ(lost.status, CallStatus::kUnknown);
  const auto seen = environment.commit(witness, Transaction{{}, {Get{Range{"b", false}}}, {}});
  EXPECT_EQ(seen.value.results.at(0).found.size(), 1U) << "it was done all the same";
  environment.stop_server();
  environment.proxy().apply(fleet::read_script("0 heal router>store").at(0));
  environment.options().endpoints = {"127.0.0.1:1"};
  CoordinationStore& nowhere = environment.store();
  EXPECT_EQ(environment.commit(nowhere, put("c", "1")).status, CallStatus::kNotSent)
      << "no connection, nothing done";
}

TEST(EtcdStoreTest, ResponsesOfAnotherStoreAreNotUsed) {
  StoreEnvironment first(Backend::kEtcd);
  StoreEnvironment second(Backend::kEtcd);
  CoordinationStore& sound = first.store();
  ASSERT_TRUE(first.commit(sound, put("a", "1")).ok());
  second.options().store_id = std::to_string(sound.id());
  CoordinationStore& mistaken = second.store();
  const auto reply = second.commit(mistaken, put("a", "1"));
  EXPECT_EQ(reply.status, CallStatus::kUnknown);
  EXPECT_NE(reply.error.find("another store"), std::string::npos) << reply.error;
}

// The folder is put back to a copy of before: revisions would be handed out a second time.
TEST(EtcdStoreTest, StoreRestoredFromAnOldCopyIsDetected) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& store = environment.store();
  ASSERT_TRUE(environment.commit(store, put("a", "1")).ok());
  environment.stop_server();
  const std::string folder = environment.server_options().folder;
  std::filesystem::copy(folder, folder + "-copy");
  environment.start_server();
  StoreResponse<TransactionResult> reply;
  ASSERT_TRUE(environment.until([&] { return (reply = environment.commit(store, put("a", "2"))).ok(); }));
  environment.stop_server();
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  environment.start_server();
  ASSERT_TRUE(environment.until([&] {
    reply = environment.commit(store, Transaction{{}, {Get{Range{"a", false}}}, {}});
    return reply.error.find("gone back") != std::string::npos;
  })) << reply.error;
  EXPECT_EQ(reply.status, CallStatus::kUnknown);
  EXPECT_TRUE(dynamic_cast<EtcdStore&>(store).has_regressed());
}

// The first address falls silent with its connections open, as a stopped process does: calls go on at the
// second, and so does the watch, long before it would count as silent.
TEST(EtcdStoreTest, WatchMovesAtOnceToTheEndpointOfTheCalls) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& witness = environment.store();
  const std::string direct = environment.options().endpoints.at(0);
  environment.proxy();
  environment.options().endpoints.push_back(direct);
  environment.options().call_ms = 300;
  environment.options().watch_silent_ms = 600'000;
  EtcdStore store(environment.scheduler, environment.options(), 7, EtcdStore::FirstEndpoint::kFirstListed);
  RecordingObserver observer;
  const auto watch = store.watch(Range{"w/", true}, observer);
  ASSERT_TRUE(environment.until([&] { return observer.snapshots == 1; }));
  ASSERT_TRUE(environment.commit(witness, put("w/1", "before")).ok());
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("w/1"); }));
  environment.proxy().apply(fleet::read_script("0 cut router>store both").at(0));
  ASSERT_TRUE(environment.until([&] { return environment.commit(store, put("a", "1")).ok(); }));
  ASSERT_TRUE(environment.commit(witness, put("w/1", "after")).ok());
  EXPECT_TRUE(environment.until([&] { return observer.values["w/1"] == "after"; }))
      << "told by a dead connection alone";
  EXPECT_EQ(observer.snapshots, 1) << "it goes on from where it was";
  EXPECT_EQ(observer.disconnects, 0) << "the store was there all the time";
  store.unwatch(watch);
}

TEST(EndpointSelectorTest, BacksOffOnlyOnceEveryEndpointHasFailed) {
  EndpointSelector endpoints(3, milliseconds(100), milliseconds(400), 0);
  const std::size_t first = *endpoints.select(Micros(0));
  endpoints.on_failure(first, Micros(0));
  const std::size_t second = *endpoints.select(Micros(0));
  EXPECT_NE(second, first);
  endpoints.on_failure(first, Micros(0));
  EXPECT_EQ(endpoints.select(Micros(0)), second) << "an old call of the one before says nothing of this one";
  endpoints.on_failure(second, Micros(0));
  endpoints.on_failure(*endpoints.select(Micros(0)), Micros(0));
  EXPECT_FALSE(endpoints.select(Micros(0)));
  Micros longest{0};
  Micros now{0};
  for (int i = 0; i < 30; ++i) {
    now = endpoints.backoff_until();
    ASSERT_TRUE(endpoints.select(now));
    const Micros before = now;
    endpoints.on_failure(*endpoints.select(now), now);
    longest = std::max(longest, endpoints.backoff_until() - before);
  }
  EXPECT_LE(longest, milliseconds(600));
  EXPECT_GT(longest, milliseconds(200));
  endpoints.on_success(second);
  EXPECT_EQ(endpoints.select(now), second);
}

TEST(WatchProgressTest, SkipsDeliveredChangesAndNeverGoesBack) {
  WatchProgress progress;
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
  progress.on_snapshot(10);
  EXPECT_EQ(progress.next_revision(), 11U);
  etcd::WatchResponse line;
  line.header = {1, 12};
  for (const Revision revision : {9U, 10U, 12U}) {
    KeyChange change;
    change.entry.key = "k";
    change.entry.modified = revision;
    line.changes.push_back(change);
  }
  EXPECT_EQ(progress.on_response(line).changes.size(), 1U);
  EXPECT_EQ(progress.next_revision(), 13U);
  line.changes.clear();
  line.compacted = 30;
  EXPECT_TRUE(progress.on_response(line).snapshot_required);
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
}

}  // namespace
}  // namespace trailcourse::coordination
