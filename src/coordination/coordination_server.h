// The store of one process: a ledger on disk behind the part of etcd's v3 interface that this project uses,
// over HTTP with JSON. It is a stand-in for a cluster: what it answers is durable, but while its process or
// machine is down, there is no store.
//
// Package `coordination`, over `transport` and `protocol`. One thread, which also writes: a call takes as
// long as a sync of the disk.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/etcd_server.h"
#include "coordination/key_value_database.h"
#include "coordination/options.h"
#include "transport/alarm.h"

namespace trailcourse::coordination {

class CoordinationServer : public EtcdService {
 public:
  // Throws std::runtime_error where the folder cannot be used.
  CoordinationServer(transport::Scheduler& scheduler, const RegistryOptions& options);

  // Throws std::system_error.
  void listen(const transport::Address& address);
  std::uint64_t id() const { return file_.id(); }
  // One line of figures.
  std::string report();

  Response handle(const std::string& path, const nlohmann::json& body) override;
  void read_state(const StateReader& reader) override;

 private:
  Response carry_out(KeyValueState& ledger, const std::string& path, const nlohmann::json& body);
  etcd::ResponseHeader header(const KeyValueState& ledger) const { return {file_.id(), ledger.revision()}; }
  // Changes to those that watch; then when the next lease ends.
  void tell();
  void end_leases();

  KeyValueDatabase file_;
  EtcdServer server_;
  transport::Alarm timer_;
  std::uint64_t rejected_ = 0, renewals_ = 0, writes_ = 0;
};

}  // namespace trailcourse::coordination
