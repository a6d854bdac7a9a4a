// Fixtures of the tests of coordination stores: an observer, and a store with its server process and a proxy.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/embedded_store.h"
#include "coordination/etcd_store.h"
#include "fleet/fault_proxy.h"
#include "fleet/port_allocator.h"
#include "fleet/process.h"
#include "store_calls.h"
#include "store_transactions.h"

namespace trailcourse::coordination {

// Records what a watch delivers, and applies the changes to a copy of the entries.
struct RecordingObserver : WatchObserver {
  void on_snapshot(Revision revision, const std::vector<Entry>& entries) override {
    ++snapshots;
    last = revision;
    values.clear();
    for (const Entry& entry : entries) {
      values[entry.key] = entry.value;
    }
  }
  void on_changes(Revision revision, const std::vector<KeyChange>& received) override {
    for (const KeyChange& change : received) {
      EXPECT_GE(change.entry.modified, newest) << "out of order";
      newest = change.entry.modified;
      changes.push_back((change.deleted ? "-" : "+") + change.entry.key + change.entry.value);
      if (change.deleted) {
        values.erase(change.entry.key);
      } else {
        values[change.entry.key] = change.entry.value;
      }
    }
    last = revision;
  }
  void on_disconnected(const std::string& disconnect_reason) override {
    ++disconnects;
    reason = disconnect_reason;
  }
  void on_heartbeat() override { ++heartbeats; }

  std::map<std::string, std::string> values;  // by key, as delivered so far
  std::vector<std::string> changes;           // "+" KEY VALUE or "-" KEY, without spaces
  std::string reason;                         // of the last disconnect
  Revision last = 0;
  Revision newest = 0;
  int snapshots = 0;
  int disconnects = 0;
  int heartbeats = 0;
};

enum class Backend { kEtcd, kEmbedded };

// A store in a temporary folder, the clients that use it, and for kEtcd the server process and a proxy.
class StoreEnvironment : public testing_support::StoreCalls {
 public:
  explicit StoreEnvironment(Backend backend, std::int64_t history = 10'000) : backend_(backend) {
    static int count = 0;
    folder_ = testing::TempDir() + "trailcourse-coordination-" + std::to_string(::getpid()) + "-" +
              std::to_string(++count);
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    server_options_.folder = folder_ + "/registry";
    server_options_.history = history;
    address_ = ports_.allocate_text();
    options_.store = backend == Backend::kEtcd ? "etcd" : "embedded";
    options_.endpoints = {address_};
    options_.folder = folder_ + "/shared";
    options_.rest_ms = 10;
    options_.longest_rest_ms = 40;
    options_.look_ms = 5;
    options_.call_ms = 2'000;
    if (backend == Backend::kEtcd) {
      start_server();
    }
  }
  ~StoreEnvironment() {
    stores_.clear();
    server_.reset();
    proxy_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Starts the server as a separate process; stop_server() sends it SIGKILL.
  void start_server() {
    const std::string config = folder_ + "/registry.json";
    std::ofstream(config) << nlohmann::json{
        {"registry",
         {{"listen", address_}, {"folder", server_options_.folder}, {"history", server_options_.history}}}};
    fleet::Process::Spec spec;
    spec.name = "registry";
    spec.arguments = {TRAILCOURSE_PROGRAM, "registry", "--config", config};
    spec.log = folder_ + "/registry.log";
    server_ = std::make_unique<fleet::Process>(spec);
    const std::size_t starts = ++starts_;
    EXPECT_TRUE(until([&] {
      const std::string log = server_->log();
      std::size_t started = 0;
      for (std::size_t position = log.find("listens on"); position != std::string::npos;
           position = log.find("listens on", position + 1)) {
        ++started;
      }
      return started >= starts || !server_->alive();
    }));
    EXPECT_TRUE(server_->alive()) << server_->log();
  }
  void stop_server() { server_.reset(); }
  // Returns the proxy to the server. Stores that are created after the first call connect through it.
  fleet::FaultProxy& proxy() {
    if (!proxy_) {
      const std::string proxy_address = ports_.allocate_text();
      proxy_ = std::make_unique<fleet::FaultProxy>(scheduler, "router>store",
                                                   *transport::parse_address(proxy_address),
                                                   *transport::parse_address(address_));
      options_.endpoints = {proxy_address};
    }
    return *proxy_;
  }
  CoordinationOptions& options() { return options_; }
  RegistryOptions& server_options() { return server_options_; }

  // Creates one more client of the store, as another router would have.
  CoordinationStore& store() {
    if (backend_ == Backend::kEtcd) {
      stores_.push_back(std::make_unique<EtcdStore>(scheduler, options_, 7));
    } else {
      stores_.push_back(std::make_unique<EmbeddedStore>(scheduler, options_));
    }
    return *stores_.back();
  }

 private:
  Backend backend_;
  fleet::PortAllocator ports_;
  std::string folder_;
  std::string address_;
  RegistryOptions server_options_;
  CoordinationOptions options_;
  std::unique_ptr<fleet::Process> server_;
  std::size_t starts_ = 0;
  std::unique_ptr<fleet::FaultProxy> proxy_;
  std::vector<std::unique_ptr<CoordinationStore>> stores_;
};

}  // namespace trailcourse::coordination
