// A region of real aggregators over loopback sockets: the server of a store, aggregators, and the clients of
// routers.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "aggregation/aggregator_service.h"
#include "coordination/coordination_server.h"
#include "coordination/etcd_store.h"
#include "fleet/port_allocator.h"
#include "store_calls.h"

namespace trailcourse::aggregation {

constexpr const char* kPrefix = "trailcourse/";
// The duration of a lease that must not expire within a test, even on a busy machine, and of one that has to
// expire.
constexpr std::chrono::milliseconds kLongTtl{20'000};
constexpr std::chrono::milliseconds kShortTtl{500};
constexpr std::int64_t kAggregatorTtlMs = 30'000;

// Returns a key with the prefix of all keys.
inline std::string at(const std::string& key) { return kPrefix + key; }

// Stores the records that a watch has delivered.
struct RecordingWatcher : coordination::WatchObserver {
  void on_snapshot(coordination::Revision revision,
                   const std::vector<coordination::Entry>& entries) override {
    ++snapshots;
    last_revision = revision;
    state.clear();
    for (const coordination::Entry& entry : entries) {
      state[entry.key] = entry;
    }
  }
  void on_changes(coordination::Revision revision,
                  const std::vector<coordination::KeyChange>& changes) override {
    last_revision = revision;
    for (const coordination::KeyChange& change : changes) {
      if (change.deleted) {
        state.erase(change.entry.key);
      } else {
        state[change.entry.key] = change.entry;
      }
    }
  }
  void on_disconnected(const std::string& reason) override { disconnect_reason = reason; }

  std::map<std::string, coordination::Entry> state;  // by key
  std::string disconnect_reason;
  coordination::Revision last_revision = 0;
  int snapshots = 0;
};

// A store's server, aggregators and the clients of routers, all on one scheduler.
class Region : public testing_support::StoreCalls {
 public:
  Region() {
    static int region_count = 0;
    folder_ = testing::TempDir() + "trailcourse-aggregation-" + std::to_string(::getpid()) + "-" +
              std::to_string(++region_count);
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    coordination::RegistryOptions options;
    options.folder = folder_ + "/registry";
    store_address_ = ports_.allocate_text();
    registry_ = std::make_unique<coordination::CoordinationServer>(scheduler, options);
    registry_->listen(*transport::parse_address(store_address_));
  }
  ~Region() {
    stores_.clear();
    aggregators_.clear();
    registry_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Starts an aggregator that uses the store at `store`, by default the server of this region.
  AggregatorService& add_aggregator(const std::string& name, const std::string& store = "",
                                    std::int64_t ttl_ms = kAggregatorTtlMs) {
    AggregatorOptions options;
    options.listen = ports_.allocate_text();
    options.name = name;
    options.zones = {"east", "west"};
    options.ttl_ms = ttl_ms;
    check_aggregator(options, kShortTtl.count());
    endpoints_.push_back(options.listen);
    Process& process = aggregators_.emplace_back();
    process.store = std::make_unique<coordination::EtcdStore>(
        scheduler, options_for({store.empty() ? store_address_ : store}), 7);
    process.service = std::make_unique<AggregatorService>(scheduler, *process.store, options, kPrefix,
                                                          1'000 + aggregators_.size());
    process.service->start();
    return *process.service;
  }
  void stop_aggregator(std::size_t index) {
    aggregators_.at(index).service.reset();
    aggregators_.at(index).store.reset();
  }

  // Returns a router's client of the aggregators, or of the given endpoints.
  coordination::CoordinationStore& router(std::vector<std::string> endpoints = {}) {
    stores_.push_back(std::make_unique<coordination::EtcdStore>(
        scheduler, options_for(endpoints.empty() ? endpoints_ : endpoints), 9,
        coordination::EtcdStore::FirstEndpoint::kFirstListed));
    return *stores_.back();
  }
  // Returns a client of the store itself.
  coordination::CoordinationStore& direct_client() { return router({store_address_}); }
  const std::vector<std::string>& endpoints() const { return endpoints_; }
  const std::string& store_address() const { return store_address_; }
  const std::string& folder() const { return folder_; }
  std::string free_address() { return ports_.allocate_text(); }

  // Requests a lease until it is granted, since an aggregator may not have its own lease yet.
  coordination::LeaseId acquire_lease(coordination::CoordinationStore& store,
                                      std::chrono::milliseconds ttl = kLongTtl) {
    coordination::StoreResponse<coordination::GrantedLease> reply;
    EXPECT_TRUE(until([&] { return (reply = grant(store, ttl)).ok(); })) << reply.error;
    return reply.value.id;
  }
  // Returns whether the aggregator acquires its own lease in time.
  bool await_active(const AggregatorService& service) {
    return until([&] { return service.aggregator().upstream().is_active(now()); });
  }
  static Micros now() {
    return std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch());
  }
  // Returns the summaries in the store, by "NAME.ZONE".
  std::map<std::string, policy::ParticipantReport> summaries() {
    const auto reply =
        commit(direct_client(),
               coordination::Transaction{
                   {}, {coordination::Get{coordination::Range{at(policy::kReportPrefix), true}}}, {}});
    std::map<std::string, policy::ParticipantReport> out;
    for (const coordination::Entry& entry :
         reply.ok() ? reply.value.results.at(0).found : std::vector<coordination::Entry>{}) {
      const std::string name = entry.key.substr(at(policy::kReportPrefix).size());
      out[name.substr(0, name.find('/'))] =
          policy::read_report(entry.value).value_or(policy::ParticipantReport{});
    }
    stores_.pop_back();
    return out;
  }

 private:
  struct Process {
    std::unique_ptr<coordination::CoordinationStore> store;
    std::unique_ptr<AggregatorService> service;  // destroyed before its store
  };

  static coordination::CoordinationOptions options_for(std::vector<std::string> endpoints) {
    coordination::CoordinationOptions options;
    options.store = "etcd";
    options.endpoints = std::move(endpoints);
    options.rest_ms = 10;
    options.longest_rest_ms = 40;
    options.watch_silent_ms = 600'000;
    return options;
  }

  fleet::PortAllocator ports_;
  std::string folder_;
  std::string store_address_;
  std::unique_ptr<coordination::CoordinationServer> registry_;
  std::vector<std::string> endpoints_;
  std::vector<Process> aggregators_;
  std::vector<std::unique_ptr<coordination::CoordinationStore>> stores_;
};

inline policy::ParticipantReport report_of(const std::string& zone, std::uint64_t version,
                                           std::uint64_t number = 1) {
  policy::ParticipantReport out;
  out.incarnation = "0123456789abcdef";
  out.zone = zone;
  out.version = version;
  out.sequence = number;
  return out;
}
inline coordination::Transaction report_write(const std::string& router, coordination::LeaseId lease,
                                              const policy::ParticipantReport& report) {
  return coordination::Transaction{
      {},
      {coordination::Put{at(policy::report_key(router, lease)), policy::write_report(report), lease}},
      {}};
}

}  // namespace trailcourse::aggregation
