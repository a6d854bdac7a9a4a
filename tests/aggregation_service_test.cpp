// An aggregator as a process: its server for routers, its calls to the store above, over loopback sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

#include "aggregation/service.h"
#include "coordination/coordination_server.h"
#include "coordination/etcd_store.h"
#include "fleet/fault_proxy.h"
#include "fleet/ports.h"
#include "fleet/process.h"
#include "store_calls.h"

namespace trailcourse::aggregation {
namespace {

using coordination::CallStatus;
using coordination::CoordinationStore;
using coordination::Delete;
using coordination::Empty;
using coordination::Entry;
using coordination::EtcdStore;
using coordination::Get;
using coordination::GrantedLease;
using coordination::KeyChange;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Revision;
using coordination::StoreResponse;
using coordination::Transaction;
using coordination::TransactionResult;
using nlohmann::json;
using policy::Permit;
using std::chrono::milliseconds;
using transport::Clock;

constexpr const char* kPrefix = "trailcourse/";
// Of a permission that must not end within a test, also where the machine is busy, and of one that has to.
constexpr milliseconds kLongTtl{20'000};
constexpr milliseconds kShortTtl{500};
constexpr std::int64_t kAggregatorTtlMs = 30'000;

std::string at(const std::string& key) { return kPrefix + key; }

struct Told : coordination::WatchObserver {
  void on_snapshot(Revision revision, const std::vector<Entry>& entries) override {
    ++currents;
    last = revision;
    state.clear();
    for (const Entry& entry : entries) {
      state[entry.key] = entry;
    }
  }
  void on_changes(Revision revision, const std::vector<KeyChange>& changes) override {
    last = revision;
    for (const KeyChange& change : changes) {
      if (change.deleted) {
        state.erase(change.entry.key);
      } else {
        state[change.entry.key] = change.entry;
      }
    }
  }
  void on_disconnected(const std::string& why) override { reason = why; }

  std::map<std::string, Entry> state;
  std::string reason;
  Revision last = 0;
  int currents = 0;
};

// A registry, aggregators and routers' views of them, all on one scheduler.
class Region : public testing_support::StoreCalls {
 public:
  Region() {
    static int made = 0;
    folder_ = testing::TempDir() + "trailcourse-aggregation-" + std::to_string(::getpid()) + "-" +
              std::to_string(++made);
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    coordination::RegistryOptions options;
    options.folder = folder_ + "/registry";
    store_address_ = ports_.take_text();
    registry_ = std::make_unique<coordination::CoordinationServer>(scheduler, options);
    registry_->listen(*transport::parse_address(store_address_));
  }
  ~Region() {
    stores_.clear();
    aggregators_.clear();
    registry_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Below `store`, by default the registry itself.
  Service& add_aggregator(const std::string& name, const std::string& store = "",
                          std::int64_t ttl_ms = kAggregatorTtlMs) {
    AggregatorOptions options;
    options.listen = ports_.take_text();
    options.name = name;
    options.zones = {"east", "west"};
    options.ttl_ms = ttl_ms;
    check_aggregator(options, kShortTtl.count());
    endpoints_.push_back(options.listen);
    Process& process = aggregators_.emplace_back();
    process.store =
        std::make_unique<EtcdStore>(scheduler, reaching({store.empty() ? store_address_ : store}), 7);
    process.service =
        std::make_unique<Service>(scheduler, *process.store, options, kPrefix, 1'000 + aggregators_.size());
    process.service->start();
    return *process.service;
  }
  void end_aggregator(std::size_t place) {
    aggregators_.at(place).service.reset();
    aggregators_.at(place).store.reset();
  }

  // As a router sees its aggregators.
  CoordinationStore& router(std::vector<std::string> endpoints = {}) {
    stores_.push_back(std::make_unique<EtcdStore>(scheduler,
                                                  reaching(endpoints.empty() ? endpoints_ : endpoints), 9,
                                                  EtcdStore::FirstEndpoint::kFirstListed));
    return *stores_.back();
  }
  CoordinationStore& staff() { return router({store_address_}); }
  const std::vector<std::string>& endpoints() const { return endpoints_; }
  const std::string& store_address() const { return store_address_; }
  const std::string& folder() const { return folder_; }
  std::string free_address() { return ports_.take_text(); }

  // Grants until it is given: an aggregator may not have its own permission yet.
  LeaseId lease(CoordinationStore& store, milliseconds ttl = kLongTtl) {
    StoreResponse<GrantedLease> reply;
    EXPECT_TRUE(until([&] { return (reply = grant(store, ttl)).ok(); })) << reply.error;
    return reply.value.id;
  }
  bool permitted(const Service& service) {
    return until([&] { return service.core().uplink().permitted(now()); });
  }
  static Micros now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }
  // The summaries that stand in the store, by "NAME.ZONE".
  std::map<std::string, Permit> summaries() {
    const auto reply = commit(staff(), Transaction{{}, {Get{Range{at(policy::kPermits), true}}}, {}});
    std::map<std::string, Permit> out;
    for (const Entry& entry : reply.ok() ? reply.value.results.at(0).found : std::vector<Entry>{}) {
      const std::string name = entry.key.substr(at(policy::kPermits).size());
      out[name.substr(0, name.find('/'))] = policy::read_permit(entry.value).value_or(Permit{});
    }
    stores_.pop_back();
    return out;
  }

 private:
  struct Process {
    std::unique_ptr<CoordinationStore> store;
    std::unique_ptr<Service> service;  // goes first
  };

  static coordination::CoordinationOptions reaching(std::vector<std::string> endpoints) {
    coordination::CoordinationOptions options;
    options.store = "etcd";
    options.endpoints = std::move(endpoints);
    options.rest_ms = 10;
    options.longest_rest_ms = 40;
    options.watch_silent_ms = 600'000;
    return options;
  }

  fleet::PortBook ports_;
  std::string folder_;
  std::string store_address_;
  std::unique_ptr<coordination::CoordinationServer> registry_;
  std::vector<std::string> endpoints_;
  std::vector<Process> aggregators_;
  std::vector<std::unique_ptr<CoordinationStore>> stores_;
};

Permit permit_of(const std::string& zone, std::uint64_t version, std::uint64_t number = 1) {
  Permit out;
  out.incarnation = "0123456789abcdef";
  out.zone = zone;
  out.version = version;
  out.number = number;
  return out;
}
Transaction say(const std::string& router, LeaseId lease, const Permit& permit) {
  return Transaction{
      {}, {Put{at(policy::permit_key(router, lease)), policy::write_permit(permit), lease}}, {}};
}

// ---- What a store does, as far as it concerns permissions ----

TEST(AggregationServiceTest, PermissionsAreGivenRenewedAndEndByTime) {
  Region region;
  const Service& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lasting = region.lease(router);
  const auto renewed = region.renew(router, lasting);
  ASSERT_TRUE(renewed.ok()) << renewed.error;
  EXPECT_EQ(renewed.value.ttl, Micros(kLongTtl));
  const LeaseId lease = region.lease(router, kShortTtl);
  ASSERT_TRUE(region.until([&] { return service.core().routers() == 1; })) << "nobody renews the second";
  const auto gone = region.renew(router, lease);
  ASSERT_TRUE(gone.ok()) << gone.error;
  EXPECT_EQ(gone.value.ttl, Micros(0));
  EXPECT_TRUE(region.revoke(router, lease).ok()) << "there is none: that is what was asked for";
}

TEST(AggregationServiceTest, APermissionThatIsGivenBackEndsAtOnce) {
  Region region;
  const Service& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.lease(router);
  ASSERT_TRUE(region.commit(router, say("r1", lease, permit_of("east", 0))).ok());
  ASSERT_TRUE(region.revoke(router, lease).ok());
  EXPECT_EQ(service.core().routers(), 0U);
  EXPECT_EQ(region.commit(router, say("r1", lease, permit_of("east", 0, 2))).status, CallStatus::kRejected);
}

TEST(AggregationServiceTest, APermitStandsOnlyWhereRecordsAreAsTheRouterKnewThem) {
  Region region;
  region.add_aggregator("a1");
  ASSERT_TRUE(
      region.commit(region.staff(), Transaction{{}, {Put{at(policy::kCurrentKey), "5", 0}}, {}}).ok());
  CoordinationStore& router = region.router();
  Told told;
  const auto watch = router.watch(Range{at("policy/"), true}, told);
  ASSERT_TRUE(region.until([&] { return told.state.contains(at(policy::kCurrentKey)); })) << told.reason;
  const Revision modified = told.state[at(policy::kCurrentKey)].modified;
  const LeaseId lease = region.lease(router);
  Transaction join = say("r1", lease, permit_of("east", 5));
  join.when = {coordination::unchanged(at(policy::kCurrentKey), modified + 1)};
  const auto elsewise = region.commit(router, join);
  ASSERT_TRUE(elsewise.ok()) << elsewise.error;
  EXPECT_FALSE(elsewise.value.succeeded);
  join.when = {coordination::unchanged(at(policy::kCurrentKey), modified)};
  const auto joined = region.commit(router, join);
  ASSERT_TRUE(joined.ok()) << joined.error;
  EXPECT_TRUE(joined.value.succeeded);
  // One that decides under another version is what the store hears of the zone.
  ASSERT_TRUE(region.commit(router, say("r1", lease, permit_of("east", 4, 2))).ok());
  ASSERT_TRUE(region.until([&] { return region.summaries()["a1.east"].version == 4; }));
  const auto summaries = region.summaries();
  EXPECT_EQ(summaries.at("a1.east").routers, 1U);
  EXPECT_EQ(summaries.at("a1.east").awaits, "r1");
  EXPECT_EQ(summaries.at("a1.west").version, 5U);
  router.unwatch(watch);
}

TEST(AggregationServiceTest, AWatchTellsTheStoresRecordsUnderItsRevisionsAndItsName) {
  Region region;
  region.add_aggregator("a1");
  CoordinationStore& staff = region.staff();
  CoordinationStore& router = region.router();
  Told direct;
  Told through;
  const auto first = staff.watch(Range{at("policy/"), true}, direct);
  const auto second = router.watch(Range{at("policy/"), true}, through);
  ASSERT_TRUE(region.until([&] { return direct.currents == 1 && through.currents == 1; })) << through.reason;
  for (int i = 0; i < 20; ++i) {
    const std::string key = at(policy::kDocuments + std::to_string(i % 3));
    const coordination::Operation step = i % 7 == 6 ? coordination::Operation(Delete{Range{key, false}})
                                                    : coordination::Operation(Put{key, std::to_string(i), 0});
    ASSERT_TRUE(region.commit(staff, Transaction{{}, {step}, {}}).ok());
    ASSERT_TRUE(region.commit(staff, Transaction{{}, {Put{at("elsewhere"), "x", 0}}, {}}).ok());
  }
  ASSERT_TRUE(region.until([&] { return !direct.state.empty() && direct.state == through.state; }));
  EXPECT_EQ(through.currents, 1) << "told change by change";
  EXPECT_EQ(router.id(), staff.id());
  const auto read = region.commit(router, Transaction{{}, {Get{Range{at("policy/"), true}}}, {}});
  ASSERT_TRUE(read.ok()) << read.error;
  EXPECT_EQ(read.value.results.at(0).found.size(), direct.state.size());
  staff.unwatch(first);
  router.unwatch(second);
}

TEST(AggregationServiceTest, WhatItDoesNotTakeIsRefusedWithAReasonAndChangesNothing) {
  Region region;
  const Service& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.lease(router);
  ASSERT_TRUE(region.commit(router, say("r1", lease, permit_of("east", 0, 5))).ok());
  // A lease that was asked for before the aggregator had permission itself was refused, too.
  const std::uint64_t before = service.core().counts().refused_in_all();
  const auto refused = [&](const Transaction& transaction, const std::string& word) {
    const auto reply = region.commit(router, transaction);
    EXPECT_EQ(reply.status, CallStatus::kRejected) << word;
    EXPECT_NE(reply.error.find(word), std::string::npos) << reply.error;
  };
  refused(say("r1", lease, permit_of("east", 0, 4)), "number");
  refused(say("r1", lease, permit_of("north", 0, 6)), "zone");
  refused(say("r1", lease + 1, permit_of("east", 0, 6)), "lease not found");
  refused(Transaction{{}, {Put{at(policy::permit_key("r1", lease)), "{", lease}}, {}}, "no permit");
  refused(Transaction{{}, {Put{at(policy::kCurrentKey), "9", 0}}, {}}, "permits");
  refused(Transaction{{}, {Delete{Range{at("policy/"), true}}}, {}}, "one permit");
  refused(Transaction{{}, {Get{Range{at("fleet/"), true}}}, {}}, "policy's records");
  EXPECT_EQ(service.core().counts().refused_in_all() - before, 7U);
  EXPECT_EQ(service.core().routers(), 1U);
  EXPECT_EQ(region.summaries()["a1.east"].version, 0U);
}

// Calls of which parts are lost or changed: read and answered, or refused; the router that is there stays.
TEST(AggregationServiceTest, MutatedCallsAreAnsweredOrRefused) {
  Region region;
  Service& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.lease(router);
  ASSERT_TRUE(region.commit(router, say("r1", lease, permit_of("east", 0, 1))).ok());
  namespace etcd = coordination::etcd;
  const std::vector<std::pair<std::string, std::string>> calls{
      {std::string(etcd::kGrantPath), etcd::write_lease_grant_request({0, 3, 3'000}).dump()},
      {std::string(etcd::kTxnPath),
       etcd::write_transaction(say("r1", lease, permit_of("east", 0, 2))).dump()},
      {std::string(etcd::kTxnPath),
       etcd::write_transaction(Transaction{{}, {Get{Range{at("policy/"), true}}}, {}}).dump()}};
  int answered = 0;
  for (std::uint64_t seed = 1; seed <= 6'000; ++seed) {
    std::mt19937_64 random(seed);
    auto [path, text] = calls[random() % calls.size()];
    for (std::uint64_t i = 1 + random() % 3; i > 0 && !text.empty(); --i) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    try {
      answered += service.handle(path, etcd::parse_object(text)).status == 200 ? 1 : 0;
    } catch (const etcd::BadMessage&) {
    }
    ASSERT_GE(service.core().routers(), 1U) << "seed " << seed;
  }
  EXPECT_GT(answered, 0);
}

// ---- Without the store, and with another aggregator ----

TEST(AggregationServiceTest, NothingIsAnsweredBeforeTheStoreIsHeard) {
  Region region;
  const Service& service = region.add_aggregator("a1", region.free_address());
  CoordinationStore& router = region.router();
  const auto reply = region.grant(router, kLongTtl);
  EXPECT_FALSE(reply.ok());
  EXPECT_EQ(router.id(), 0U);
  EXPECT_EQ(service.core().routers(), 0U);
}

// The first has lost the store and gives nothing: calls and watches go on at the second, which tells what
// the first one has not heard.
TEST(AggregationServiceTest, RoutersOfOneThatIsCutOffGoOnAtTheNext) {
  Region region;
  const std::string between = region.free_address();
  fleet::FaultProxy proxy(region.scheduler, "a1>store", *transport::parse_address(between),
                          *transport::parse_address(region.store_address()));
  const Service& first = region.add_aggregator("a1", between, 4'000);
  const Service& second = region.add_aggregator("a2");
  ASSERT_TRUE(region.permitted(first));
  ASSERT_TRUE(region.permitted(second));
  CoordinationStore& router = region.router();
  Told told;
  const auto watch = router.watch(Range{at("policy/"), true}, told);
  ASSERT_TRUE(region.until([&] { return told.currents == 1; })) << told.reason;
  region.lease(router, kShortTtl);
  ASSERT_EQ(first.core().counts().granted, 1U) << "the first endpoint is asked first";
  ASSERT_EQ(second.core().counts().granted, 0U);
  proxy.apply(fleet::read_script("0 cut a1>store both").at(0));
  ASSERT_TRUE(region.until([&] {
    region.lease(router, kShortTtl);
    return second.core().counts().granted > 0;
  }));
  ASSERT_TRUE(
      region.commit(region.staff(), Transaction{{}, {Put{at(policy::kCurrentKey), "5", 0}}, {}}).ok());
  EXPECT_TRUE(region.until([&] { return told.state.contains(at(policy::kCurrentKey)); })) << told.reason;
  // What the first gave is over by the time that its own permission ends in the store.
  ASSERT_TRUE(region.until([&] { return !region.summaries().contains("a1.east"); }));
  EXPECT_FALSE(first.core().uplink().permitted(Region::now()));
  router.unwatch(watch);
}

TEST(AggregationServiceTest, ARouterWhoseAggregatorEndsIsUnknownAtTheNextAndJoinsThere) {
  Region region;
  const Service& first = region.add_aggregator("a1");
  const Service& second = region.add_aggregator("a2");
  ASSERT_TRUE(region.permitted(first));
  ASSERT_TRUE(region.permitted(second));
  CoordinationStore& router = region.router();
  const LeaseId lease = region.lease(router);
  region.end_aggregator(0);
  StoreResponse<GrantedLease> renewed;
  ASSERT_TRUE(region.until([&] { return (renewed = region.renew(router, lease)).ok(); })) << renewed.error;
  EXPECT_EQ(renewed.value.ttl, Micros(0));
  region.lease(router);
  EXPECT_EQ(second.core().routers(), 1U);
}

// ---- Its end ----

TEST(AggregationServiceTest, OneThatDrainsGivesItsPermissionBackOnceItsRoutersAreGone) {
  Region region;
  Service& service = region.add_aggregator("a1");
  CoordinationStore& router = region.router();
  const LeaseId lease = region.lease(router, kShortTtl);
  ASSERT_EQ(service.handle_get("/healthz")->status, 200);
  ASSERT_EQ(region.summaries().count("a1.east"), 1U);
  service.drain();
  const auto renewed = region.renew(router, lease);
  EXPECT_FALSE(renewed.ok() && renewed.value.ttl > Micros(0));
  EXPECT_FALSE(region.grant(router, kLongTtl).ok());
  ASSERT_TRUE(region.until([&] {
    EXPECT_FALSE(service.drained() && service.core().routers() > 0) << "a router may still decide by it";
    return service.drained();
  }));
  EXPECT_EQ(region.summaries().count("a1.east"), 0U);
  EXPECT_EQ(service.handle_get("/healthz")->status, 503);
  EXPECT_FALSE(service.handle_get("/elsewhere").has_value());
}

TEST(AggregatorProgramTest, RunsUntilItIsToldToEndAndDrains) {
  Region region;
  const std::string listen = region.free_address();
  const std::string config = region.folder() + "/aggregator.json";
  std::ofstream(config) << json{
      {"aggregator", {{"listen", listen}, {"name", "a1"}, {"zones", {"east"}}}},
      {"coordination", {{"store", "etcd"}, {"endpoints", {region.store_address()}}}},
      {"ownership", {{"kinds", {"policy", "probe"}}}}};
  fleet::Process::Spec spec;
  spec.name = "aggregator";
  spec.words = {TRAILCOURSE_PROGRAM, "aggregator", "--config", config};
  spec.log = region.folder() + "/aggregator.log";
  fleet::Process process(spec);
  const auto logged = [&](const std::string& words) {
    return region.until([&] { return process.log().find(words) != std::string::npos; });
  };
  ASSERT_TRUE(logged("has permission")) << process.log();
  EXPECT_TRUE(logged("takes on the kind policy alone"));
  CoordinationStore& router = region.router({listen});
  region.lease(router, milliseconds(3'000));
  process.signal(SIGHUP);
  EXPECT_TRUE(logged("permission=yes revision=1 granted=1")) << process.log();
  process.signal(SIGTERM);
  EXPECT_TRUE(logged("drained, ending")) << process.log();
  EXPECT_TRUE(region.until([&] { return !process.alive(); }));
}

}  // namespace
}  // namespace trailcourse::aggregation
