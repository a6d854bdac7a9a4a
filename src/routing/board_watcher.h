// Watches the notice board: asks for what is new, again and again, and waits longer between tries while it
// fails. No request ever waits for it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "protocol/http_client.h"
#include "protocol/settings.h"
#include "routing/notice_sink.h"
#include "transport/connection.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {

class BoardWatcher {
 public:
  struct Bounds {
    transport::Clock::duration linger =
        std::chrono::milliseconds(2000);                                 // how long the board may hold a call
    transport::Clock::duration grace = std::chrono::milliseconds(1000);  // beyond that it counts as silent
    transport::Clock::duration least_pause = std::chrono::milliseconds(50);
    transport::Clock::duration most_pause = std::chrono::milliseconds(2000);
    transport::Connection::Bounds connection;
    protocol::http::Bounds answers;
  };

  BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board, NoticeSink& taker,
               const protocol::Profile& profile, std::uint64_t seed, const Bounds& bounds);

  void start() { scheduler_.spawn(watch()); }
  // The board is to be asked at this address from now on, at once; false where that is the one in use.
  bool move(const transport::Address& board);

 private:
  class Link;

  transport::Task<void> watch();
  transport::Task<bool> poll();
  bool take(const protocol::http::Response& response);
  transport::Clock::duration pause();
  void note(bool good);

  transport::Scheduler& scheduler_;
  transport::Address board_;
  transport::Signal moved_;
  NoticeSink& taker_;
  const protocol::Profile& profile_;
  std::mt19937_64 random_;
  Bounds bounds_;
  int failures_ = 0;
  std::string why_;
  std::shared_ptr<Link> link_;
  std::shared_ptr<transport::Connection> connection_;
};

}  // namespace trailcourse::routing
