// The listener of a discovery service: `GET /board/poll?watch=N&linger=MS` and `POST /board/notice` over
// HTTP/1.1, for the service itself and for a relay alike. LongPollScheduler decides which poll is answered,
// held or rejected; this class executes the decisions.
//
// Package `discovery`, over `transport` and `protocol`. One thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "discovery/event_log.h"
#include "discovery/long_poll_scheduler.h"
#include "transport/accept_loop.h"
#include "transport/timer.h"
#include "transport/connection.h"

namespace trailcourse::discovery {

// The answer to `POST /board/notice`.
struct PublishResponse {
  int status = 200;  // 200, 409 or 503
  std::string body;  // JSON
};

// Serves the pages of an EventLog to clients that poll for them.
class DiscoveryServer {
 public:
  struct Limits {
    int backlog = 1'024;
    std::size_t connections = 4'096;
    transport::Clock::duration idle = std::chrono::seconds(30);  // between two calls of a connection
    transport::Connection::Bounds connection;
  };

  // What the owner of the server decides. Each is called in the server's thread.
  struct Handlers {
    // Returns nothing where pages may be served now, else the Retry-After of a rejection.
    std::function<std::optional<std::chrono::milliseconds>()> rejection = [] { return std::nullopt; };
    // Returns further header lines of a page, each ended by CR LF.
    std::function<std::string()> page_headers = [] { return std::string(); };
    // Publishes the event in the body of `POST /board/notice`. Without it such calls get status 404.
    std::function<PublishResponse(const std::string& body)> publish = nullptr;
  };

  // `scheduler` and `log` have to outlive the server.
  DiscoveryServer(transport::Scheduler& scheduler, EventLog& log, const LongPollOptions& options,
                  const Limits& limits, Handlers handlers, std::uint64_t seed);
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  // Throws std::system_error where the address cannot be listened on.
  void listen(const transport::Address& address);

  // Records that the log has later events, or was replaced. Held polls are answered over the release window.
  void on_published();

  // Rejects all held polls at once, as where the pages of a relay have become too old.
  void reject_held_polls();

  void close_all();

  std::size_t connections() const { return sessions_.size(); }
  const LongPollScheduler& long_polls() const { return long_polls_; }

 private:
  class Session;

  void accept(transport::Descriptor socket);
  transport::Task<void> close_idle_sessions();
  void on_poll(Session& session, std::uint64_t known_sequence, std::chrono::milliseconds timeout);
  void answer_due_polls();
  void set_timer();

  transport::Scheduler& scheduler_;
  EventLog& log_;
  Limits limits_;
  Handlers handlers_;
  LongPollScheduler long_polls_;
  std::optional<transport::AcceptLoop> listener_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::map<CallId, Session*> held_;
  CallId last_call_ = 0;
  transport::Alarm timer_;
};

}  // namespace trailcourse::discovery
