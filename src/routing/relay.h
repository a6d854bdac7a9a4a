// Passes the board's pages on to other routers of the zone, as the board itself would: same call, same pages,
// and two header lines of its own. `X-Age-Ms`: so long ago, at most, all that the board had was in what this
// relay tells. `X-Path`: the routers that it came through, this one first.
//
// A relay tells nothing once its own knowledge is older than allowed: it sends its askers away at once, and
// lets go of those that it holds.
//
// Package `routing`, over `board`. One thread.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <memory>
#include <string>

#include "discovery/discovery_server.h"
#include "discovery/event_log.h"

namespace trailcourse::routing {

class Relay {
 public:
  struct Bounds {
    Micros most_age{1'000'000};
    board::CoreRules core;
    board::PageServer::Bounds server;
    std::int64_t purge_binds_ms = 10'000;  // older purges are not told on
    std::size_t most_events = 4'096;
  };

  // `log`: what is told on; it also serves a snapshot.
  Relay(transport::Scheduler& scheduler, std::string name, board::PageLog& log, const Bounds& bounds,
        std::uint64_t seed);

  // Throws std::system_error where the address cannot be listened on.
  void listen(const transport::Address& address) { server_.listen(address); }
  // What was told; `known_at` of the steady clock, `path` of the page.
  void take(const nlohmann::json& page, Micros known_at, const std::string& path);
  // The board began anew: all is told from its start.
  void anew();
  // To be called now and then: what has grown too old is not held.
  void look();

  const board::BoardCore& core() const { return server_.core(); }

 private:
  bool current() const;
  static Micros now();

  std::string name_;
  Bounds bounds_;
  board::PageLog& log_;
  board::PageServer server_;
  Micros known_at_{-1};
  std::string path_;
};

}  // namespace trailcourse::routing
