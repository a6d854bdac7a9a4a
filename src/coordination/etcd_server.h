// The HTTP server of etcd's v3 interface: connections, calls, watches and their heartbeats. An EtcdService
// executes the calls; the coordination server and the aggregator implement it.
//
// Library `coordination`, over `transport` and `protocol`. Not thread-safe: it belongs to its scheduler's
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

// The service is unavailable and did not execute the call. The text is one line.
class ServiceUnavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Executes the calls of an EtcdServer. It must outlive the server.
class EtcdService {
 public:
  struct Response {
    int status = 200;  // HTTP status code
    nlohmann::json body;
  };
  using StateReader = std::function<void(const KeyValueState& state, const etcd::ResponseHeader& header)>;

  EtcdService() = default;
  EtcdService(const EtcdService&) = delete;
  EtcdService& operator=(const EtcdService&) = delete;
  virtual ~EtcdService() = default;

  // Executes a call. Throws etcd::BadMessage if the body is invalid, and ServiceUnavailable.
  virtual Response handle(const std::string& path, const nlohmann::json& body) = 0;
  // Calls `reader` with the current state, which watches follow. Throws ServiceUnavailable.
  virtual void read_state(const StateReader& reader) = 0;
  // Returns the response to a GET request of an operator; nothing if the path does not exist.
  virtual std::optional<Response> handle_get(const std::string&) { return std::nullopt; }
};

// Counters since the start of the server.
struct EtcdServerCounts {
  std::uint64_t calls = 0;
  std::uint64_t invalid_calls = 0;  // calls whose message was invalid
  std::uint64_t refused = 0;        // connections that were rejected because of `max_connections`
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_written = 0;
};

// Accepts connections, passes calls to the service, and sends changes to the watches.
class EtcdServer {
 public:
  EtcdServer(transport::Scheduler& scheduler, EtcdService& service, std::size_t max_connections);
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  // Starts to accept connections. Throws std::system_error.
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
