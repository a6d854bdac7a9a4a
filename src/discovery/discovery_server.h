// The HTTP/1.1 server of a discovery service, used by the service itself and by relays: it serves
// `GET /board/poll?watch=N&linger=MS` and `POST /board/notice`. LongPollScheduler decides whether a poll is
// answered, held or rejected; this class executes the decisions.
//
// Library `discovery`, on top of `transport` and `protocol`. Not thread-safe: all calls come from the thread
// of the scheduler.
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
#include "transport/connection.h"
#include "transport/timer.h"

namespace trailcourse::discovery {

// The answer to `POST /board/notice`.
struct PublishResponse {
  int status = 200;  // 200, 409 or 503
  std::string body;  // JSON
};

// Serves the pages of an EventLog to polling clients.
class DiscoveryServer {
 public:
  struct Limits {
    int backlog = 1'024;
    std::size_t connections = 4'096;
    transport::Clock::duration idle = std::chrono::seconds(30);  // after which an idle connection is closed
    transport::Connection::Bounds connection;
  };

  // Callbacks of the owner. Each is called in the thread of the scheduler.
  struct Handlers {
    // Returns nothing where pages may be served now, otherwise the Retry-After of a rejection.
    std::function<std::optional<std::chrono::milliseconds>()> rejection = [] { return std::nullopt; };
    // Returns additional header lines for the response with a page, each ended by CR LF.
    std::function<std::string()> page_headers = [] { return std::string(); };
    // Publishes the event in the body of `POST /board/notice`. Without this callback such requests get
    // status 404.
    std::function<PublishResponse(const std::string& body)> publish = nullptr;
  };

  // `scheduler` and `log` have to outlive the server. `seed` is for the order in which held polls are
  // answered.
  DiscoveryServer(transport::Scheduler& scheduler, EventLog& log, const LongPollOptions& options,
                  const Limits& limits, Handlers handlers, std::uint64_t seed);
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  // Throws std::system_error where it cannot listen on the address.
  void listen(const transport::Address& address);

  // Records that events were appended to the log or that it was replaced. Answers the held polls within the
  // release window.
  void on_published();

  // Rejects all held polls at once, for example when the pages of a relay have become too old.
  void reject_held_polls();

  // Closes all connections. The server continues to accept new ones.
  void close_all();

  // Returns the number of open connections.
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
  std::map<PollId, Session*> held_;
  PollId last_poll_ = 0;
  transport::Timer timer_;
};

}  // namespace trailcourse::discovery
