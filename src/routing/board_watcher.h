// Watches the notice board, itself or by way of a relay: asks for what is new, again and again. When to ask
// is decided by startup/poll_scheduler.h, whom by startup/relay_selector.h, whether a page goes on from what
// is known by startup/sequence_tracker.h; this carries it out. No request ever waits for it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/http_client.h"
#include "protocol/settings.h"
#include "routing/notice_sink.h"
#include "startup/poll_scheduler.h"
#include "startup/relay_selector.h"
#include "startup/sequence_tracker.h"
#include "transport/connection.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {

class BoardWatcher {
 public:
  struct Bounds {
    startup::PollOptions asking;
    transport::Clock::duration grace = std::chrono::milliseconds(1000);  // beyond the linger it is silent
    transport::Clock::duration relay_linger = std::chrono::milliseconds(100);
    transport::Clock::duration relay_grace = std::chrono::milliseconds(100);
    Micros anew_after = Micros::max();  // a board without a name that says lower numbers for so long
    bool first_at_once = false;  // the board is not to hold calls before its first answer, which names it
    transport::Connection::Bounds connection;
    protocol::http::Bounds answers;
  };
  // What else is done with what the board says; each may be empty.
  struct Hooks {
    // A page was taken in. `known_at`: steady time at which all that the board had was surely in it.
    std::function<void(const nlohmann::json& page, Micros known_at, const std::string& path)> page;
    // The same, with the name of the board and the number of the last event that was taken in.
    std::function<void(const std::string& board, std::uint64_t last)> taken;
    // The board began anew; what it tells from now on is numbered from its start.
    std::function<void()> anew;
    // How many ask the board, by its own word.
    std::function<void(std::int64_t)> askers;
  };
  // The relays that this router may ask, by name, and who chooses among them.
  struct Relays {
    std::string self;
    std::map<std::string, transport::Address> addresses;
    startup::RelaySelector* choice = nullptr;  // null: the board itself is asked
  };
  struct Counts {
    std::uint64_t calls = 0, to_relays = 0, audits = 0, failed = 0, refused = 0, stale = 0;
  };

  BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board, NoticeSink& taker,
               const protocol::Profile& profile, std::uint64_t seed, const Bounds& bounds);
  BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board, NoticeSink& taker,
               const protocol::Profile& profile, std::uint64_t seed, const Bounds& bounds, Hooks hooks,
               Relays relays);
  ~BoardWatcher();

  void start() { scheduler_.spawn(watch()); }
  // The board is to be asked at this address from now on; false where that is the one in use.
  bool move(const transport::Address& board);
  void fleet_size(int routers) { asking_.set_fleet_size(routers); }
  // What a snapshot knew of the board's name.
  void starts_with(const std::string& id) { numbering_.restore(id); }

  const transport::Address& board() const { return board_; }
  const std::string& board_id() const { return numbering_.source_id(); }
  const Counts& counts() const { return counts_; }
  bool lost() const { return asking_.consecutive_failures() > 1; }

 private:
  class Link;
  struct Ended {
    startup::PollResult end = startup::PollResult::kDisconnected;
    Micros retry_after{0};
  };

  transport::Task<void> watch();
  transport::Task<void> audit();
  // What is passed by reference has to live until the task is done.
  transport::Task<Ended> call(const std::optional<std::string>& relay, Micros linger);
  transport::Task<std::optional<protocol::http::Response>> exchange(const std::shared_ptr<Link>& link,
                                                                    const std::string& request,
                                                                    transport::Clock::duration longest);
  std::shared_ptr<Link> link_to(const transport::Address& address);
  Ended take(const protocol::http::Response& response, const std::optional<std::string>& relay, Micros asked,
             Micros linger);
  static Micros now();
  Micros linger_of(const std::optional<std::string>& relay, Micros at_board) const;
  void note(const Ended& ended, const std::optional<std::string>& relay);

  transport::Scheduler& scheduler_;
  transport::Address board_;
  transport::Signal moved_;
  NoticeSink& taker_;
  const protocol::Profile& profile_;
  Bounds bounds_;
  Hooks hooks_;
  Relays relays_;
  startup::PollScheduler asking_;
  startup::SequenceTracker numbering_;
  Counts counts_;
  std::string why_;
  bool answered_ = false;
  std::shared_ptr<Link> link_;
};

}  // namespace trailcourse::routing
