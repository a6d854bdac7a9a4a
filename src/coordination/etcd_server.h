// The HTTP side of a store that speaks etcd's v3 interface: connections, calls, watches and their heartbeats.
// What a call does is up to the service: the coordination server and an aggregator are two.
//
// Package `coordination`, over `transport` and `protocol`. Not thread-safe: it belongs to its scheduler's
// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"
#include "coordination/key_value_state.h"
#include "transport/accept_loop.h"
#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::coordination {

// The service cannot answer now, and did nothing. The text is one line.
class ServiceUnavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What an EtcdServer serves. It must outlive the server.
class EtcdService {
 public:
  struct Response {
    int status = 200;  // of HTTP
    nlohmann::json body;
  };
  using StateReader = std::function<void(const KeyValueState& state, const etcd::ResponseHeader& header)>;

  EtcdService() = default;
  EtcdService(const EtcdService&) = delete;
  EtcdService& operator=(const EtcdService&) = delete;
  virtual ~EtcdService() = default;

  // Executes a call. Throws etcd::BadMessage if it cannot be read, and ServiceUnavailable.
  virtual Response handle(const std::string& path, const nlohmann::json& body) = 0;
  // Calls `reader` with the state that watches follow. Throws ServiceUnavailable.
  virtual void read_state(const StateReader& reader) = 0;
  // Returns the response to a GET, for operators; nothing if there is no such page.
  virtual std::optional<Response> handle_get(const std::string&) { return std::nullopt; }
};

struct EtcdServerCounts {
  std::uint64_t calls = 0;
  std::uint64_t unreadable = 0;  // calls that are no valid message
  std::uint64_t refused = 0;     // connections beyond the limit
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_written = 0;
};

class EtcdServer {
 public:
  EtcdServer(transport::Scheduler& scheduler, EtcdService& service, std::size_t max_connections);
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  // Throws std::system_error.
  void listen(const transport::Address& address);
  // Sends the changes since the last published revision to the watches.
  void publish(const KeyValueState& state, const etcd::ResponseHeader& header);
  const EtcdServerCounts& counts() const { return counts_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  class UpdateCache;

  void accept(transport::Descriptor socket);
  transport::Task<void> run_heartbeat();
  void send_heartbeats();

  transport::Scheduler& scheduler_;
  EtcdService& service_;
  std::size_t max_connections_;
  std::optional<transport::AcceptLoop> listener_;
  std::set<std::shared_ptr<Session>> sessions_;
  Revision published_ = 0;
  EtcdServerCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::coordination
