// The coordination store of one process, run by `trailcourse registry`: a key-value database behind the part
// of etcd's v3 interface that this project uses. It stands in for a cluster: what it answers is durable, but
// while its process or machine is down, there is no store.
//
// Package `coordination`, over `transport` and `protocol`. Not thread-safe: it belongs to its scheduler's
// thread, which also writes, so that a call takes as long as a sync of the disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/etcd_server.h"
#include "coordination/key_value_database.h"
#include "coordination/options.h"
#include "transport/timer.h"

namespace trailcourse::coordination {

class CoordinationServer : public EtcdService {
 public:
  // Throws std::runtime_error if the folder cannot be used.
  CoordinationServer(transport::Scheduler& scheduler, const RegistryOptions& options);

  // Throws std::system_error.
  void listen(const transport::Address& address);
  // Returns the number that tells this store from another one.
  std::uint64_t id() const { return database_.id(); }
  // Returns one line of counters.
  std::string report();

  Response handle(const std::string& path, const nlohmann::json& body) override;
  void read_state(const StateReader& reader) override;

 private:
  Response execute(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  Response execute_key_call(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  Response execute_lease_call(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  etcd::ResponseHeader header(const KeyValueState& state) const { return {database_.id(), state.revision()}; }
  // Sends changes to watches, and sets the timer to the next expiry. Only after a transaction that succeeded:
  // then the state in memory is that of the disk.
  void publish();
  void expire_leases();

  KeyValueDatabase database_;
  EtcdServer server_;
  transport::Alarm expiry_timer_;
  std::uint64_t rejected_ = 0;  // calls
  std::uint64_t renewals_ = 0;
  std::uint64_t writes_ = 0;  // all other calls
};

}  // namespace trailcourse::coordination
