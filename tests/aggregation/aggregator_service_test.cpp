// The server of an aggregator and its calls to the store, over loopback sockets.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "aggregation/region.h"
#include "fleet/fault_proxy.h"

namespace trailcourse::aggregation {
namespace {

using coordination::CallStatus;
using coordination::CoordinationStore;
using coordination::Delete;
using coordination::Get;
using coordination::GrantedLease;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Revision;
using coordination::StoreResponse;
using coordination::Transaction;

TEST(AggregatorServiceTest, GrantsAndRenewsLeasesUntilTheyExpire) {
  Region region;
  const AggregatorService& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lasting = region.acquire_lease(router);
  const auto renewed = region.renew(router, lasting);
  ASSERT_TRUE(renewed.ok()) << renewed.error;
  EXPECT_EQ(renewed.value.ttl, Micros(kLongTtl));
  const LeaseId lease = region.acquire_lease(router, kShortTtl);
  ASSERT_TRUE(region.until([&] { return service.aggregator().router_count() == 1; }))
      << "the second lease is not renewed";
  const auto gone = region.renew(router, lease);
  ASSERT_TRUE(gone.ok()) << gone.error;
  EXPECT_EQ(gone.value.ttl, Micros(0));
  EXPECT_TRUE(region.revoke(router, lease).ok()) << "the lease has already ended, as requested";
}

TEST(AggregatorServiceTest, EndsARevokedLeaseAtOnce) {
  Region region;
  const AggregatorService& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.acquire_lease(router);
  ASSERT_TRUE(region.commit(router, report_write("r1", lease, report_of("east", 0))).ok());
  ASSERT_TRUE(region.revoke(router, lease).ok());
  EXPECT_EQ(service.aggregator().router_count(), 0U);
  EXPECT_EQ(region.commit(router, report_write("r1", lease, report_of("east", 0, 2))).status,
            CallStatus::kRejected);
}

TEST(AggregatorServiceTest, AcceptsAReportOnlyIfTheRecordsAreAsTheRouterObserved) {
  Region region;
  region.add_aggregator("a1");
  ASSERT_TRUE(
      region.commit(region.direct_client(), Transaction{{}, {Put{at(policy::kCurrentKey), "5", 0}}, {}})
          .ok());
  CoordinationStore& router = region.router();
  RecordingWatcher watcher;
  const auto watch = router.watch(Range{at("policy/"), true}, watcher);
  ASSERT_TRUE(region.until([&] { return watcher.state.contains(at(policy::kCurrentKey)); }))
      << watcher.disconnect_reason;
  const Revision modified = watcher.state[at(policy::kCurrentKey)].modified;
  const LeaseId lease = region.acquire_lease(router);
  Transaction join = report_write("r1", lease, report_of("east", 5));
  join.when = {coordination::unchanged(at(policy::kCurrentKey), modified + 1)};
  const auto conflicting = region.commit(router, join);
  ASSERT_TRUE(conflicting.ok()) << conflicting.error;
  EXPECT_FALSE(conflicting.value.succeeded);
  join.when = {coordination::unchanged(at(policy::kCurrentKey), modified)};
  const auto joined = region.commit(router, join);
  ASSERT_TRUE(joined.ok()) << joined.error;
  EXPECT_TRUE(joined.value.succeeded);
  // The summary contains the version of a router that decides under another version.
  ASSERT_TRUE(region.commit(router, report_write("r1", lease, report_of("east", 4, 2))).ok());
  ASSERT_TRUE(region.until([&] { return region.summaries()["a1.east"].version == 4; }));
  const auto summaries = region.summaries();
  EXPECT_EQ(summaries.at("a1.east").represented_routers, 1U);
  EXPECT_EQ(summaries.at("a1.east").waiting_for, "r1");
  EXPECT_EQ(summaries.at("a1.west").version, 5U);
  router.unwatch(watch);
}

TEST(AggregatorServiceTest, WatchDeliversTheStoresRecordsRevisionsAndId) {
  Region region;
  region.add_aggregator("a1");
  CoordinationStore& direct_client = region.direct_client();
  CoordinationStore& router = region.router();
  RecordingWatcher direct;
  RecordingWatcher through_aggregator;
  const auto first = direct_client.watch(Range{at("policy/"), true}, direct);
  const auto second = router.watch(Range{at("policy/"), true}, through_aggregator);
  ASSERT_TRUE(region.until([&] { return direct.snapshots == 1 && through_aggregator.snapshots == 1; }))
      << through_aggregator.disconnect_reason;
  for (int i = 0; i < 20; ++i) {
    const std::string key = at(policy::kDocumentPrefix + std::to_string(i % 3));
    const coordination::Operation step = i % 7 == 6 ? coordination::Operation(Delete{Range{key, false}})
                                                    : coordination::Operation(Put{key, std::to_string(i), 0});
    ASSERT_TRUE(region.commit(direct_client, Transaction{{}, {step}, {}}).ok());
    ASSERT_TRUE(region.commit(direct_client, Transaction{{}, {Put{at("elsewhere"), "x", 0}}, {}}).ok());
  }
  ASSERT_TRUE(
      region.until([&] { return !direct.state.empty() && direct.state == through_aggregator.state; }));
  EXPECT_EQ(through_aggregator.snapshots, 1) << "later changes arrive without a new snapshot";
  EXPECT_EQ(router.id(), direct_client.id());
  const auto read = region.commit(router, Transaction{{}, {Get{Range{at("policy/"), true}}}, {}});
  ASSERT_TRUE(read.ok()) << read.error;
  EXPECT_EQ(read.value.results.at(0).found.size(), direct.state.size());
  direct_client.unwatch(first);
  router.unwatch(second);
}

TEST(AggregatorServiceTest, RejectsUnsupportedCallsWithAReason) {
  Region region;
  const AggregatorService& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.acquire_lease(router);
  ASSERT_TRUE(region.commit(router, report_write("r1", lease, report_of("east", 0, 5))).ok());
  // Lease requests before the aggregator had its own lease were rejected, too.
  const std::uint64_t rejected_before = service.aggregator().counts().total_rejected();
  const auto expect_rejected = [&](const Transaction& transaction, const std::string& text) {
    const auto reply = region.commit(router, transaction);
    EXPECT_EQ(reply.status, CallStatus::kRejected) << text;
    EXPECT_NE(reply.error.find(text), std::string::npos) << reply.error;
  };
  expect_rejected(report_write("r1", lease, report_of("east", 0, 4)), "number");
  expect_rejected(report_write("r1", lease, report_of("north", 0, 6)), "zone");
  expect_rejected(report_write("r1", lease + 1, report_of("east", 0, 6)), "lease not found");
  expect_rejected(Transaction{{}, {Put{at(policy::report_key("r1", lease)), "{", lease}}, {}}, "no permit");
  expect_rejected(Transaction{{}, {Put{at(policy::kCurrentKey), "9", 0}}, {}}, "permits");
  expect_rejected(Transaction{{}, {Delete{Range{at("policy/"), true}}}, {}}, "one permit");
  expect_rejected(Transaction{{}, {Get{Range{at("fleet/"), true}}}, {}}, "policy's records");
  EXPECT_EQ(service.aggregator().counts().total_rejected() - rejected_before, 7U);
  EXPECT_EQ(service.aggregator().router_count(), 1U);
  EXPECT_EQ(region.summaries()["a1.east"].version, 0U);
}

// Each mutated call is answered or rejected, and does not affect the lease of another router.
TEST(AggregatorServiceTest, AnswersOrRejectsMutatedCalls) {
  Region region;
  AggregatorService& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.acquire_lease(router);
  ASSERT_TRUE(region.commit(router, report_write("r1", lease, report_of("east", 0, 1))).ok());
  namespace etcd = coordination::etcd;
  struct Call {
    std::string path;
    std::string body;
  };
  const std::vector<Call> calls{
      {std::string(etcd::kGrantPath), etcd::write_lease_grant_request({0, 3, 3'000}).dump()},
      {std::string(etcd::kTxnPath),
       etcd::write_transaction(report_write("r1", lease, report_of("east", 0, 2))).dump()},
      {std::string(etcd::kTxnPath),
       etcd::write_transaction(Transaction{{}, {Get{Range{at("policy/"), true}}}, {}}).dump()}};
  int answered = 0;
  int malformed = 0;
  for (std::uint64_t seed = 1; seed <= 6'000; ++seed) {
    std::mt19937_64 random(seed);
    auto [path, body] = calls[random() % calls.size()];
    for (std::uint64_t changes = 1 + random() % 3; changes > 0 && !body.empty(); --changes) {
      body[random() % body.size()] = static_cast<char>(random() % 256);
    }
    try {
      answered += service.handle(path, etcd::parse_object(body)).status == 200 ? 1 : 0;
    } catch (const etcd::BadMessage&) {
      ++malformed;
    }
    ASSERT_GE(service.aggregator().router_count(), 1U) << "seed " << seed;
  }
  EXPECT_GT(answered, 0);
  EXPECT_GT(malformed, 0);
}

TEST(AggregatorServiceTest, RejectsCallsBeforeTheStoreIsConnected) {
  Region region;
  const AggregatorService& service = region.add_aggregator("a1", region.free_address());
  CoordinationStore& router = region.router();
  const auto reply = region.grant(router, kLongTtl);
  EXPECT_FALSE(reply.ok());
  EXPECT_EQ(router.id(), 0U);
  EXPECT_EQ(service.aggregator().router_count(), 0U);
}

// The first aggregator is disconnected from the store and grants no leases. Calls and watches continue at the
// second one, which delivers the changes that the first one has not observed.
TEST(AggregatorServiceTest, RoutersOfAnIsolatedAggregatorContinueAtTheNextOne) {
  Region region;
  const std::string between = region.free_address();
  fleet::FaultProxy proxy(region.scheduler, "a1>store", *transport::parse_address(between),
                          *transport::parse_address(region.store_address()));
  const AggregatorService& first = region.add_aggregator("a1", between, 4'000);
  const AggregatorService& second = region.add_aggregator("a2");
  ASSERT_TRUE(region.await_active(first));
  ASSERT_TRUE(region.await_active(second));
  CoordinationStore& router = region.router();
  RecordingWatcher watcher;
  const auto watch = router.watch(Range{at("policy/"), true}, watcher);
  ASSERT_TRUE(region.until([&] { return watcher.snapshots == 1; })) << watcher.disconnect_reason;
  region.acquire_lease(router, kShortTtl);
  ASSERT_EQ(first.aggregator().counts().granted, 1U) << "the first endpoint is tried first";
  ASSERT_EQ(second.aggregator().counts().granted, 0U);
  proxy.apply(fleet::read_script("0 cut a1>store both").at(0));
  ASSERT_TRUE(region.until([&] {
    region.acquire_lease(router, kShortTtl);
    return second.aggregator().counts().granted > 0;
  }));
  ASSERT_TRUE(
      region.commit(region.direct_client(), Transaction{{}, {Put{at(policy::kCurrentKey), "5", 0}}, {}})
          .ok());
  EXPECT_TRUE(region.until([&] { return watcher.state.contains(at(policy::kCurrentKey)); }))
      << watcher.disconnect_reason;
  // All leases of the first aggregator expire before its own lease expires in the store.
  ASSERT_TRUE(region.until([&] { return !region.summaries().contains("a1.east"); }));
  EXPECT_FALSE(first.aggregator().upstream().is_active(Region::now()));
  router.unwatch(watch);
}

TEST(AggregatorServiceTest, RouterOfAStoppedAggregatorJoinsTheNextOneUnderANewLease) {
  Region region;
  const AggregatorService& first = region.add_aggregator("a1");
  const AggregatorService& second = region.add_aggregator("a2");
  ASSERT_TRUE(region.await_active(first));
  ASSERT_TRUE(region.await_active(second));
  CoordinationStore& router = region.router();
  const LeaseId lease = region.acquire_lease(router);
  region.stop_aggregator(0);
  StoreResponse<GrantedLease> renewed;
  ASSERT_TRUE(region.until([&] { return (renewed = region.renew(router, lease)).ok(); })) << renewed.error;
  EXPECT_EQ(renewed.value.ttl, Micros(0));
  region.acquire_lease(router);
  EXPECT_EQ(second.aggregator().router_count(), 1U);
}

TEST(AggregatorServiceTest, ReleasesItsLeaseWhileDrainingOnceNoRouterHasOne) {
  Region region;
  AggregatorService& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.acquire_lease(router, kShortTtl);
  ASSERT_EQ(service.handle_get("/healthz")->status, 200);
  ASSERT_EQ(region.summaries().count("a1.east"), 1U);
  service.drain();
  const auto renewed = region.renew(router, lease);
  EXPECT_FALSE(renewed.ok() && renewed.value.ttl > Micros(0));
  EXPECT_FALSE(region.grant(router, kLongTtl).ok());
  ASSERT_TRUE(region.until([&] {
    EXPECT_FALSE(service.drained() && service.aggregator().router_count() > 0)
        << "a router may still decide under its lease";
    return service.drained();
  }));
  EXPECT_EQ(region.summaries().count("a1.east"), 0U);
  EXPECT_EQ(service.handle_get("/healthz")->status, 503);
  EXPECT_FALSE(service.handle_get("/elsewhere").has_value());
}

}  // namespace
}  // namespace trailcourse::aggregation
