// The client of an etcd store over the network: stores that are slow, stopped, restored from a backup or
// replaced by another one; the choice of the endpoint, and where a watch resumes.
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
  const auto failed = environment.commit(store, put("b", "1"));
  EXPECT_NE(failed.status, CallStatus::kOk);
  environment.start_server();
  StoreResponse<TransactionResult> after;
  ASSERT_TRUE(environment.until([&] { return (after = environment.commit(store, put("b", "1"))).ok(); }));
  EXPECT_GT(after.value.revision, before.value.revision);
  EXPECT_EQ(store.id(), id);
  EXPECT_GT(environment.renew(store, lease.value.id).value.ttl, Micros(0));
  EXPECT_FALSE(environment.commit(store, put_if_absent("own/a", "y")).value.succeeded);
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("b"); }))
      << "the watch has to resume: " << observer.reason;
  EXPECT_EQ(observer.snapshots, 1) << "no changes were compacted, so the watch resumes without a snapshot";
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
  const auto apply_fault = [&](const std::string& line) {
    for (const fleet::Fault& fault : fleet::read_script("0 " + line)) {
      environment.proxy().apply(fault);
    }
  };
  apply_fault("refuse router>store");
  apply_fault("reset router>store");
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(environment.commit(writer, put("w/" + std::to_string(i % 4), std::to_string(i))).ok());
  }
  apply_fault("heal router>store");
  ASSERT_TRUE(environment.until([&] { return observer.snapshots >= 2 && observer.values["w/3"] == "59"; }))
      << observer.reason;
  EXPECT_EQ(observer.values.size(), 4U);
  reader.unwatch(watch);
}

// The write is executed, but its response is lost: the client must report kUnknown.
TEST(EtcdStoreTest, LostResponseIsUnknownAndARefusedConnectionIsNotSent) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& direct_store = environment.store();
  environment.proxy();
  environment.options().call_ms = 300;
  CoordinationStore& store = environment.store();
  ASSERT_TRUE(environment.commit(store, put("a", "1")).ok());
  environment.proxy().apply(fleet::read_script("0 cut router>store in").at(0));
  const auto lost = environment.commit(store, put_if_absent("b", "1"));
  EXPECT_EQ(lost.status, CallStatus::kUnknown);
  const auto stored = environment.commit(direct_store, Transaction{{}, {Get{Range{"b", false}}}, {}});
  EXPECT_EQ(stored.value.results.at(0).found.size(), 1U) << "the write was executed";
  environment.stop_server();
  environment.proxy().apply(fleet::read_script("0 heal router>store").at(0));
  environment.options().endpoints = {"127.0.0.1:1"};
  CoordinationStore& unreachable = environment.store();
  EXPECT_EQ(environment.commit(unreachable, put("c", "1")).status, CallStatus::kNotSent)
      << "no connection was established";
}

TEST(EtcdStoreTest, ResponsesOfAnotherStoreAreNotUsed) {
  StoreEnvironment first(Backend::kEtcd);
  StoreEnvironment second(Backend::kEtcd);
  CoordinationStore& expected = first.store();
  ASSERT_TRUE(first.commit(expected, put("a", "1")).ok());
  second.options().store_id = std::to_string(expected.id());
  CoordinationStore& misconfigured = second.store();
  const auto response = second.commit(misconfigured, put("a", "1"));
  EXPECT_EQ(response.status, CallStatus::kUnknown);
  EXPECT_NE(response.error.find("another store"), std::string::npos) << response.error;
}

// After the restore of an older copy of the folder, the store assigns revisions that it has assigned before.
TEST(EtcdStoreTest, StoreRestoredFromABackupIsDetected) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& store = environment.store();
  ASSERT_TRUE(environment.commit(store, put("a", "1")).ok());
  environment.stop_server();
  const std::string folder = environment.server_options().folder;
  std::filesystem::copy(folder, folder + "-copy");
  environment.start_server();
  StoreResponse<TransactionResult> response;
  ASSERT_TRUE(environment.until([&] { return (response = environment.commit(store, put("a", "2"))).ok(); }));
  environment.stop_server();
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  environment.start_server();
  ASSERT_TRUE(environment.until([&] {
    response = environment.commit(store, Transaction{{}, {Get{Range{"a", false}}}, {}});
    return response.error.find("gone back") != std::string::npos;
  })) << response.error;
  EXPECT_EQ(response.status, CallStatus::kUnknown);
  EXPECT_TRUE(dynamic_cast<EtcdStore&>(store).has_regressed());
}

// The first endpoint stops responding but keeps its connections open, like a stopped process. Calls switch to
// the second endpoint, and the watch has to follow without waiting for its own timeout.
TEST(EtcdStoreTest, WatchMovesAtOnceToTheEndpointOfTheCalls) {
  StoreEnvironment environment(Backend::kEtcd);
  CoordinationStore& direct_store = environment.store();
  const std::string direct = environment.options().endpoints.at(0);
  environment.proxy();
  environment.options().endpoints.push_back(direct);
  environment.options().call_ms = 300;
  environment.options().watch_silent_ms = 600'000;
  EtcdStore store(environment.scheduler, environment.options(), 7, EtcdStore::FirstEndpoint::kFirstListed);
  RecordingObserver observer;
  const auto watch = store.watch(Range{"w/", true}, observer);
  ASSERT_TRUE(environment.until([&] { return observer.snapshots == 1; }));
  ASSERT_TRUE(environment.commit(direct_store, put("w/1", "before")).ok());
  ASSERT_TRUE(environment.until([&] { return observer.values.contains("w/1"); }));
  environment.proxy().apply(fleet::read_script("0 cut router>store both").at(0));
  ASSERT_TRUE(environment.until([&] { return environment.commit(store, put("a", "1")).ok(); }));
  ASSERT_TRUE(environment.commit(direct_store, put("w/1", "after")).ok());
  EXPECT_TRUE(environment.until([&] { return observer.values["w/1"] == "after"; }))
      << "the watch still uses the dead connection";
  EXPECT_EQ(observer.snapshots, 1) << "the watch resumes without a snapshot";
  EXPECT_EQ(observer.disconnects, 0) << "the store was available all the time";
  store.unwatch(watch);
}

TEST(EndpointSelectorTest, BacksOffOnlyOnceEveryEndpointHasFailed) {
  EndpointSelector endpoints(3, milliseconds(100), milliseconds(400), 0);
  const std::size_t first = *endpoints.select(Micros(0));
  endpoints.on_failure(first, Micros(0));
  const std::size_t second = *endpoints.select(Micros(0));
  EXPECT_NE(second, first);
  endpoints.on_failure(first, Micros(0));
  EXPECT_EQ(endpoints.select(Micros(0)), second) << "a failure of an earlier endpoint is ignored";
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

TEST(WatchProgressTest, SkipsDeliveredChangesAndReadsASnapshotAfterCompaction) {
  WatchProgress progress;
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
  progress.on_snapshot(10);
  EXPECT_EQ(progress.next_revision(), 11U);
  etcd::WatchResponse response;
  response.header = {1, 12};
  for (const Revision revision : {9U, 10U, 12U}) {
    KeyChange change;
    change.entry.key = "k";
    change.entry.modified = revision;
    response.changes.push_back(change);
  }
  EXPECT_EQ(progress.on_response(response).changes.size(), 1U);
  EXPECT_EQ(progress.next_revision(), 13U);
  response.changes.clear();
  response.compacted = 30;
  EXPECT_TRUE(progress.on_response(response).snapshot_required);
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
}

}  // namespace
}  // namespace trailcourse::coordination
