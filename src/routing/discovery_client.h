// The client of the discovery service: long-polls it, or a relay, for watch responses, and applies them. When
// to poll is decided by startup/poll_scheduler.h, whom by startup/relay_selector.h, and whether a response
// continues the sequence of events by startup/sequence_tracker.h. No request ever waits for it.
//
// Package `routing`, over `http` and `startup`. Not thread-safe: it belongs to its scheduler's thread, and
// must live as long as that runs its coroutines.
#pragma once

#include <cstdint>
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

class DiscoveryClient {
 public:
  struct Bounds {
    startup::PollOptions asking;
    transport::Clock::duration grace =
        std::chrono::milliseconds(1000);  // a call times out so long after its linger
    transport::Clock::duration relay_linger = std::chrono::milliseconds(100);
    transport::Clock::duration relay_grace = std::chrono::milliseconds(100);
    Micros reset_detection_delay =
        Micros::max();  // a board without an id that sends lower numbers for so long began anew
    bool first_poll_immediate =
        false;  // calls before the first response, which names the board, do not linger
    transport::Connection::Bounds connection;
    protocol::http::Bounds answers;
  };
  // Observers of the responses; each may be empty.
  struct Hooks {
    // A response was applied. `known_at`: steady time at which it surely held all that the board had.
    std::function<void(const nlohmann::json& page, Micros known_at, const std::string& path)> page;
    // The same, with the id of the board and the number of the last event that was applied.
    std::function<void(const std::string& board, std::uint64_t last)> taken;
    // The board began anew; its events are numbered from the start again.
    std::function<void()> anew;
    // How many clients poll the board, as it reports.
    std::function<void(std::int64_t)> askers;
  };
  // The relays that this router may poll, by name, and what chooses among them.
  struct Relays {
    std::string self;
    std::map<std::string, transport::Address> addresses;
    startup::RelaySelector* choice = nullptr;  // null: the board itself is polled
  };
  struct Counts {
    std::uint64_t calls = 0;      // to the board and to relays
    std::uint64_t to_relays = 0;  // of them
    std::uint64_t audits = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;  // of the failed ones: with another status than 200
    std::uint64_t stale = 0;    // responses with an older number than was applied
  };

  DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& board, DiscoveryListener& taker,
                  const protocol::Profile& profile, std::uint64_t seed, const Bounds& bounds);
  DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& board, DiscoveryListener& taker,
                  const protocol::Profile& profile, std::uint64_t seed, const Bounds& bounds, Hooks hooks,
                  Relays relays);
  ~DiscoveryClient();

  void start() { scheduler_.spawn(watch()); }
  // Polls the board at this address from now on. Returns whether that is another one than before.
  bool move(const transport::Address& board);
  void fleet_size(int routers) { poll_scheduler_.set_fleet_size(routers); }
  // Sets the id of the board that a snapshot holds.
  void starts_with(const std::string& id) { sequence_.restore(id); }

  const transport::Address& board() const { return board_; }
  const std::string& board_id() const { return sequence_.source_id(); }
  const Counts& counts() const { return counts_; }
  bool lost() const { return poll_scheduler_.consecutive_failures() > 1; }

 private:
  // How a call ended.
  struct CallOutcome {
    startup::PollResult end = startup::PollResult::kDisconnected;
    Micros retry_after{0};
    std::string error;  // of a failed call, one line for logs

    bool ok() const { return end == startup::PollResult::kUpdates || end == startup::PollResult::kNoUpdates; }
  };
  // What was polled, and when.
  struct Poll {
    std::optional<std::string> relay;  // nothing: the board itself
    Micros started{0};
    Micros linger{0};
  };
  // When the next polls are due.
  struct PollSchedule {
    startup::ScheduledPoll board;
    Micros relay_at{0};
    bool board_call_drawn = true;  // since the relays failed last; an earlier draw is out of date
  };

  transport::Task<void> watch();
  std::optional<std::string> choose_relay(Micros at) const;
  void schedule_next(PollSchedule& schedule, const Poll& poll, const CallOutcome& outcome);
  Micros linger_of(const std::optional<std::string>& relay, Micros at_board) const;

  // `poll` has to live until the task is done.
  transport::Task<CallOutcome> call(const Poll& poll);
  std::shared_ptr<http::ClientConnection> connection_to(const transport::Address& address);
  static transport::Task<std::optional<protocol::http::Response>> exchange(
      std::shared_ptr<http::ClientConnection> connection, std::string request,
      transport::Clock::duration longest);
  CallOutcome take_response(const protocol::http::Response& response, const Poll& poll);
  CallOutcome take_refusal(const protocol::http::Response& response, const Poll& poll);
  CallOutcome take_page(const protocol::http::Response& response, const Poll& poll);
  CallOutcome apply_page(const protocol::http::Response& response, const Poll& poll,
                         const nlohmann::json& page, const protocol::DiscoveryPage& notices, Micros age);
  CallOutcome restart_numbering(std::uint64_t last);
  void on_relay_failure(const Poll& poll);
  void log_outcome(const CallOutcome& outcome, const std::optional<std::string>& relay);

  transport::Task<void> audit();
  // Returns the number of the last event that the board itself has; 0 if it cannot be read.
  transport::Task<std::uint64_t> read_last_of_board();
  static Micros now();

  transport::Scheduler& scheduler_;
  transport::Address board_;
  transport::Signal moved_;
  DiscoveryListener& taker_;
  const protocol::Profile& profile_;
  Bounds bounds_;
  Hooks hooks_;
  Relays relays_;
  startup::PollScheduler poll_scheduler_;
  startup::SequenceTracker sequence_;
  Counts counts_;
  bool answered_ = false;  // by the board or a relay
  std::shared_ptr<http::ClientConnection> connection_;
};

}  // namespace trailcourse::routing
