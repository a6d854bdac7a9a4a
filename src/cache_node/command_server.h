// Server of the cache protocol: reads RESP commands and writes answers, in any order.
//
// Library `cache_node`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/cache_command.h"
#include "protocol/resp.h"
#include "transport/connection.h"

namespace trailcourse::cache_node {

// Identifies one open request; never reused.
using Ticket = std::uint64_t;

// Handles the commands that a CommandServer receives.
class CommandHandler {
 public:
  CommandHandler() = default;
  CommandHandler(const CommandHandler&) = delete;
  CommandHandler& operator=(const CommandHandler&) = delete;
  virtual ~CommandHandler() = default;

  // A request has arrived. The handler calls CommandServer::answer() once with the ticket, unless it is
  // cancelled.
  virtual void serve(Ticket ticket, protocol::ServeFields fields, std::string body) = 0;
  // The peer cancelled the request, or its connection ended: no answer is sent.
  virtual void cancel(Ticket ticket) = 0;
  // Returns whether health checks are answered with UP.
  virtual bool accepting() const = 0;
  // Returns the load report, as in "inflight:7;util:0.61".
  virtual std::string load_report() const = 0;
};

// Accepts connections and passes their commands to a CommandHandler, which has to outlive the server.
class CommandServer {
 public:
  // Limits of the server.
  struct Bounds {
    int backlog = 1'024;
    // Beyond this limit the longest idle connection is closed; if none is idle, the new one is rejected.
    std::size_t connections = 256;
    std::size_t open_per_connection = 1'024;                     // requests; further ones are answered BUSY
    std::size_t body_bytes = 1U << 20U;                          // of one request; a larger one is malformed
    transport::Clock::duration idle = std::chrono::seconds(15);  // after which a connection is closed
    // Time for receiving the rest of a partial message; after it the connection is closed.
    transport::Clock::duration message_timeout = std::chrono::seconds(5);
    transport::Connection::Bounds connection;
  };

  CommandServer(transport::Scheduler& scheduler, CommandHandler& handler, const Bounds& bounds);
  ~CommandServer();
  CommandServer(const CommandServer&) = delete;
  CommandServer& operator=(const CommandServer&) = delete;

  // Throws std::system_error if the address cannot be listened on.
  void listen(const transport::Address& address);
  // Answers an open request. Does nothing if the request was cancelled. `range` selects a part of the body;
  // length 0: the complete body.
  void answer(Ticket ticket, protocol::AnswerCode code, protocol::CacheAnswer fields,
              const std::shared_ptr<const std::string>& body, protocol::ByteRange range = {});

  // Returns the bytes of answers that are queued and not sent yet.
  std::size_t waiting_bytes() const;
  // Returns the number of open requests.
  std::size_t open() const { return open_requests_.size(); }
  std::size_t connections() const { return sessions_.size(); }
  // Returns the number of connections that were closed because of a malformed message.
  std::uint64_t malformed_connections() const { return malformed_connections_; }
  // Closes the listener, and each connection once its answers are written.
  void close_all();

 private:
  class Session;
  struct OpenRequest {
    std::weak_ptr<Session> session;
    std::string id;
  };

  void adopt(transport::Descriptor socket);
  bool close_idle_connection();
  transport::Task<void> accept_loop();
  // Closes idle connections and those whose partial message is not completed in time.
  transport::Task<void> reap();

  transport::Scheduler& scheduler_;
  CommandHandler& handler_;
  Bounds bounds_;
  transport::Descriptor listener_;
  std::unique_ptr<transport::Watch> watch_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unordered_map<Ticket, OpenRequest> open_requests_;
  Ticket last_ticket_ = 0;
  std::uint64_t malformed_connections_ = 0;
};

}  // namespace trailcourse::cache_node
