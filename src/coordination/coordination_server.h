// A coordination store in a single process, run by `trailcourse registry`: a key-value database that serves
// the part of etcd's v3 interface that this project uses. It replaces an etcd cluster. Changes are durable
// before they are confirmed, but the store is unavailable while its process or machine is down.
//
// Library `coordination`, over `transport` and `protocol`. Not thread-safe: it belongs to its scheduler's
// thread. That thread also writes to the disk, and each call except a lease renewal waits
// for a sync.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/etcd_server.h"
#include "coordination/key_value_database.h"
#include "coordination/options.h"
#include "transport/timer.h"

namespace trailcourse::coordination {

// Serves the coordination store over HTTP.
class CoordinationServer : public EtcdService {
 public:
  // Opens the database. Throws std::runtime_error if the folder cannot be used.
  CoordinationServer(transport::Scheduler& scheduler, const RegistryOptions& options);

  // Starts to accept connections and to expire leases. Throws std::system_error.
  void listen(const transport::Address& address);
  // Returns the store's identity: the cluster_id of its responses.
  std::uint64_t id() const { return database_.id(); }
  // Returns the counters as one line of NAME=VALUE. Throws ServiceUnavailable.
  std::string report();

  Response handle(const std::string& path, const nlohmann::json& body) override;
  void read_state(const StateReader& reader) override;

 private:
  Response execute(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  Response execute_key_call(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  Response execute_lease_call(KeyValueState& state, const std::string& path, const nlohmann::json& body);
  etcd::ResponseHeader header(const KeyValueState& state) const { return {database_.id(), state.revision()}; }
  // Sends changes to watches, and sets the timer to the next expiry. May only be called after a transaction
  // that succeeded, when the state in memory is the state on the disk.
  void publish();
  void expire_leases();

  KeyValueDatabase database_;
  EtcdServer server_;
  transport::Timer expiry_timer_;
  std::uint64_t rejected_ = 0;  // calls that the state rejected
  std::uint64_t renewals_ = 0;
  std::uint64_t writes_ = 0;  // all other calls
};

}  // namespace trailcourse::coordination
