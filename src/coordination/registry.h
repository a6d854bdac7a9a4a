// The store of one process: a ledger on disk behind the part of etcd's v3 interface that this project uses,
// over HTTP with JSON. It is a stand-in for a cluster: what it answers is durable, but while its process or
// machine is down, there is no store.
//
// Package `coordination`, over `transport` and `protocol`. One thread, which also writes: a call takes as
// long as a sync of the disk.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "coordination/etcd_json.h"
#include "coordination/ledger_file.h"
#include "coordination/options.h"
#include "protocol/http_request.h"
#include "transport/alarm.h"
#include "transport/connection.h"

namespace trailcourse::coordination {

class Registry {
 public:
  // Throws std::runtime_error where the folder cannot be used.
  Registry(transport::Scheduler& scheduler, const RegistryOptions& options);
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Throws std::system_error.
  void listen(const transport::Address& address);
  std::uint64_t id() const { return file_.id(); }
  // One line of figures.
  std::string report();

 private:
  class Session;
  struct Answer {
    int status = 200;
    nlohmann::json body;
  };

  void take_in(transport::Descriptor socket);
  transport::Task<void> heartbeat();
  Answer answer(const std::string& path, const nlohmann::json& body);
  etcd::Header header(const Ledger& ledger) const { return {file_.id(), ledger.revision()}; }
  // Changes to those that watch; then when the next lease ends.
  void tell();
  void end_leases();
  void beat();

  transport::Scheduler& scheduler_;
  RegistryOptions options_;
  LedgerFile file_;
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<std::shared_ptr<Session>> sessions_;
  transport::Alarm timer_;
  std::uint64_t calls_ = 0, rejected_ = 0, renewals_ = 0, writes_ = 0, refused_ = 0;
};

}  // namespace trailcourse::coordination
