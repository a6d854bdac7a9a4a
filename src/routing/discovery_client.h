// The client of the discovery service: long-polls the service or a relay for pages of events, and applies
// them. startup/poll_scheduler.h decides when it polls, startup/relay_selector.h which relay, and
// startup/sequence_tracker.h whether a page continues the sequence of events. No request waits for this
// client.
//
// Library `routing`, over `http` and `startup`. Not thread-safe: the client belongs to the thread of its
// scheduler, and has to live as long as the scheduler runs the coroutines of the client.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "http/client_connection.h"
#include "protocol/discovery_page.h"
#include "protocol/http_client.h"
#include "protocol/settings.h"
#include "routing/discovery_listener.h"
#include "startup/poll_scheduler.h"
#include "startup/relay_selector.h"
#include "startup/sequence_tracker.h"
#include "transport/connection.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {

// Polls the discovery service and passes its pages to a listener.
class DiscoveryClient {
 public:
  struct Options {
    startup::PollOptions polling;
    // A call to the service times out this long after its long-poll timeout: the next call starts, on another
    // connection.
    transport::Clock::duration response_grace = std::chrono::milliseconds(1000);
    // A response to a call that has timed out is still accepted until this long after its long-poll timeout.
    // It should exceed the time after which an event counts as delivered.
    transport::Clock::duration late_response_grace = std::chrono::milliseconds(8000);
    transport::Clock::duration relay_long_poll_timeout = std::chrono::milliseconds(100);
    transport::Clock::duration relay_grace = std::chrono::milliseconds(100);  // response_grace for relays
    // If the service sends no id, a sequence reset is assumed once all its sequence numbers have been lower
    // than the last applied one for this long.
    Micros reset_detection_delay = Micros::max();
    // Whether calls to the service have a long-poll timeout of zero until a page was applied. The first page
    // contains the id of the service.
    bool first_poll_immediate = false;
    transport::Connection::Bounds connection;
    protocol::http::Bounds response_bounds;
  };
  // Callbacks for responses; each may be empty.
  struct Hooks {
    // A page was applied. `known_at` is the latest steady time at which the page is known to have contained
    // all events of the service; `path` is the X-Path header of the response.
    std::function<void(const nlohmann::json& page, Micros known_at, const std::string& path)> on_page;
    // A page was applied. Receives the id of the service and the sequence number of the last applied event.
    std::function<void(const std::string& server_id, std::uint64_t last_sequence)> on_applied;
    // The service had a sequence reset: its events are numbered from the start again.
    std::function<void()> on_sequence_reset;
    // The number of clients that poll the service, as the service reports it.
    std::function<void(std::int64_t)> on_poller_count;
  };
  // The relays that this router may poll, by name.
  struct Relays {
    std::string self;  // name of this router
    std::map<std::string, transport::Address> addresses;
    startup::RelaySelector* selector = nullptr;  // null: only the service is polled
  };
  struct Counts {
    std::uint64_t calls = 0;      // to the service and to relays
    std::uint64_t to_relays = 0;  // of the calls
    std::uint64_t audits = 0;     // calls to the service that audit a relay; not part of `calls`
    std::uint64_t failed = 0;
    std::uint64_t rejected = 0;  // of the failed ones: those with a status other than 200
    std::uint64_t stale = 0;     // responses with a lower sequence number than the applied one
    std::uint64_t late = 0;      // pages of the service that were accepted after their call had timed out
  };

  // `scheduler`, `listener` and `deployment` have to outlive this object, as has the selector of `relays`.
  // `server` is the address of the discovery service.
  DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& server,
                  DiscoveryListener& listener, const protocol::DeploymentSettings& deployment,
                  std::uint64_t seed, const Options& options);
  DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& server,
                  DiscoveryListener& listener, const protocol::DeploymentSettings& deployment,
                  std::uint64_t seed, const Options& options, Hooks hooks, Relays relays);
  ~DiscoveryClient();

  // Starts to poll. To be called once.
  void start() { scheduler_.spawn(poll_loop()); }
  // Polls the service at this address from now on. Returns whether the address has changed.
  bool set_server(const transport::Address& server);
  // Sets the number of routers that poll the service; it determines the rate of polls.
  void set_fleet_size(int routers) { poll_scheduler_.set_fleet_size(routers); }
  // Sets the id of the service to the one that was read from a snapshot.
  void restore_server_id(const std::string& id) { sequence_.restore(id); }

  const transport::Address& server() const { return server_; }
  const std::string& server_id() const { return sequence_.source_id(); }
  const Counts& counts() const { return counts_; }
  // Returns whether more than one call to the service in a row has failed.
  bool disconnected() const { return poll_scheduler_.consecutive_failures() > 1; }

 private:
  // The result of one call.
  struct CallOutcome {
    startup::PollResult result = startup::PollResult::kDisconnected;
    Micros retry_after{0};
    std::string error;  // of a failed call, in one line

    bool ok() const {
      return result == startup::PollResult::kUpdates || result == startup::PollResult::kNoUpdates;
    }
  };
  // A call in flight.
  struct Poll {
    std::optional<std::string> relay;  // nothing: the service itself
    Micros started{0};
    Micros long_poll_timeout{0};
  };
  // When the next polls are due.
  struct PollSchedule {
    startup::ScheduledPoll service;
    Micros relay_at{0};
    // Whether `service` is up to date. It is outdated after a successful call to a relay, and is scheduled
    // again when a call to a relay fails.
    bool service_is_current = true;
  };

  transport::Task<void> poll_loop();
  std::optional<std::string> choose_relay(Micros at) const;
  void schedule_next(PollSchedule& schedule, const Poll& poll, const CallOutcome& outcome);
  Micros long_poll_timeout(const std::optional<std::string>& relay, Micros service_timeout) const;

  // `poll` has to outlive the task.
  transport::Task<CallOutcome> call(const Poll& poll);
  transport::Clock::duration grace_of(const Poll& poll) const;
  void expect_late_response(const std::shared_ptr<http::ClientConnection>& connection, const Poll& poll);
  transport::Task<void> receive_late_response(std::shared_ptr<http::ClientConnection> connection, Poll poll);
  void on_late_response(const protocol::http::Response& response, const Poll& poll);
  void set_answers_late(bool late);
  std::shared_ptr<http::ClientConnection> connection_to(const transport::Address& address);
  static transport::Task<std::optional<protocol::http::Response>> exchange(
      std::shared_ptr<http::ClientConnection> connection, std::string request,
      transport::Clock::duration timeout);
  CallOutcome handle_response(const protocol::http::Response& response, const Poll& poll);
  CallOutcome handle_rejection(const protocol::http::Response& response, const Poll& poll);
  CallOutcome handle_page(const protocol::http::Response& response, const Poll& poll);
  CallOutcome apply_page(const protocol::http::Response& response, const Poll& poll,
                         const nlohmann::json& page, const protocol::DiscoveryPage& parsed, Micros age);
  CallOutcome reset_sequence(std::uint64_t last_sequence);
  void on_relay_failure(const Poll& poll);
  void log_outcome(const CallOutcome& outcome, const std::optional<std::string>& relay);

  transport::Task<void> audit_loop();
  // Returns the last sequence number of the service itself; 0 if the call fails.
  transport::Task<std::uint64_t> read_server_sequence();
  static Micros now();

  transport::Scheduler& scheduler_;
  transport::Address server_;
  transport::Signal server_changed_;
  DiscoveryListener& listener_;
  const protocol::DeploymentSettings& deployment_;
  Options options_;
  Hooks hooks_;
  Relays relays_;
  startup::PollScheduler poll_scheduler_;
  startup::SequenceTracker sequence_;
  Counts counts_;
  bool page_applied_ = false;     // from the service or a relay
  Micros newest_valid_poll_{-1};  // latest start of a call whose page was valid and not outdated
  bool answers_late_ = false;     // whether the last page of the service arrived after its call's time-out
  std::shared_ptr<http::ClientConnection> connection_;
  // Of calls to the service that have timed out, whose response may still arrive; oldest first.
  std::deque<std::shared_ptr<http::ClientConnection>> late_connections_;
};

}  // namespace trailcourse::routing
