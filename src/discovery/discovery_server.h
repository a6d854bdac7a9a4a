// The listening side of a board's pages: `GET /board/poll?watch=N&linger=MS` over HTTP/1.1, for a board and
// for a relay alike. Which call is answered, held or sent away is the core's decision; this carries it out.
//
// Package `board`, over `transport` and `protocol`. One thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "discovery/event_log.h"
#include "discovery/long_poll_scheduler.h"
#include "transport/accept_loop.h"
#include "transport/alarm.h"
#include "transport/connection.h"

namespace trailcourse::board {

class PageServer {
 public:
  struct Bounds {
    int backlog = 1'024;
    std::size_t connections = 4'096;
    transport::Clock::duration idle = std::chrono::seconds(30);  // between two calls
    transport::Connection::Bounds connection;
  };
  struct Answering {
    // Whether pages may be told on now; else calls are sent away with this wait in milliseconds.
    std::function<std::optional<std::int64_t>()> refuse = [] { return std::nullopt; };
    // Further header lines of a page, each ended by CR LF.
    std::function<std::string()> headers = [] { return std::string(); };
    // `POST /board/notice`: status and body of the answer. None: no notices are taken this way.
    std::function<std::pair<int, std::string>(const std::string& body)> post = nullptr;
  };

  PageServer(transport::Scheduler& scheduler, PageLog& log, const CoreRules& rules, const Bounds& bounds,
             Answering answering, std::uint64_t seed);
  ~PageServer();
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  // Throws std::system_error where the address cannot be listened on.
  void listen(const transport::Address& address);
  // The log has later events, or began anew: held calls are told, each in its moment.
  void published();
  // Held calls are answered with what there is, at once: for a relay that has lost its way.
  void let_go();
  void close_all();

  std::size_t connections() const { return sessions_.size(); }
  const BoardCore& core() const { return core_; }

 private:
  class Session;

  void take_in(transport::Descriptor socket);
  transport::Task<void> reap();
  void call(Session& session, std::uint64_t watch, std::int64_t linger_ms);
  void tell_due();
  void set_timer();
  static std::int64_t now_ms();

  transport::Scheduler& scheduler_;
  PageLog& log_;
  Bounds bounds_;
  Answering answering_;
  BoardCore core_;
  std::optional<transport::AcceptLoop> listener_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::map<CallNumber, Session*> calls_;
  CallNumber last_call_ = 0;
  transport::Alarm timer_;
};

}  // namespace trailcourse::board
