// The HTTP side of a store that speaks etcd's v3 interface: connections, calls, watches and their
// heartbeats. What a call does is the service's matter; the registry and an aggregator are two.
//
// Package `coordination`, over `transport` and `protocol`. One thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

#include "coordination/etcd_json.h"
#include "coordination/key_value_state.h"
#include "transport/accept_loop.h"
#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::coordination {

// The service cannot answer now, and did nothing; its text is one line.
class ServiceUnavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What stands behind an EtcdServer, and outlives it.
class EtcdService {
 public:
  struct Response {
    int status = 200;  // of HTTP
    nlohmann::json body;
  };
  using StateReader = std::function<void(const KeyValueState& ledger, const etcd::ResponseHeader& header)>;

  EtcdService() = default;
  EtcdService(const EtcdService&) = delete;
  EtcdService& operator=(const EtcdService&) = delete;
  virtual ~EtcdService() = default;

  // Carries out a call. Throws etcd::BadMessage where it cannot be read.
  virtual Response handle(const std::string& path, const nlohmann::json& body) = 0;
  // Calls `look` with what watches are told from. Throws Unavailable.
  virtual void read_state(const StateReader& reader) = 0;
  // The answer to a GET, for staff; nothing: there is no such page.
  virtual std::optional<Response> handle_get(const std::string&) { return std::nullopt; }
};

struct EtcdServerCounts {
  std::uint64_t calls = 0;
  std::uint64_t unreadable = 0;  // calls that make no message
  std::uint64_t refused = 0;     // connections beyond the bound
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_written = 0;
};

class EtcdServer {
 public:
  EtcdServer(transport::Scheduler& scheduler, EtcdService& service, std::size_t most_connections);
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  // Throws std::system_error.
  void listen(const transport::Address& address);
  // Tells watches what is new, where the revision has moved since it was last told.
  void publish(const KeyValueState& ledger, const etcd::ResponseHeader& header);
  const EtcdServerCounts& counts() const { return counts_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  class News;

  void take_in(transport::Descriptor socket);
  transport::Task<void> heartbeat();
  void beat();

  transport::Scheduler& scheduler_;
  EtcdService& service_;
  std::size_t most_connections_;
  std::optional<transport::AcceptLoop> listener_;
  std::set<std::shared_ptr<Session>> sessions_;
  Revision told_ = 0;
  EtcdServerCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::coordination
