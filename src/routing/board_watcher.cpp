#include "routing/board_watcher.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "protocol/json_fields.h"
#include "protocol/notice_board.h"
#include "transport/log.h"

namespace trailcourse::routing {

using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kMostDoublings = 10;

}  // namespace

// The connection to the board: keeps what was read until the watcher takes it.
class BoardWatcher::Link : public Connection::Handler {
 public:
  Link(transport::Scheduler& scheduler, const protocol::http::Bounds& bounds)
      : changed(scheduler), parser(bounds) {}

  void on_bytes(std::string_view bytes) override {
    parser.feed(bytes);
    changed.notify();
  }
  void on_end(ConnectionEnd how) override {
    parser.feed_end();
    end = how;
    changed.notify();
  }

  transport::Signal changed;
  protocol::http::ResponseParser parser;
  std::optional<ConnectionEnd> end;
};

BoardWatcher::BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board,
                           NoticeSink& taker, const protocol::Profile& profile, std::uint64_t seed,
                           const Bounds& bounds)
    : scheduler_(scheduler),
      board_(board),
      moved_(scheduler),
      taker_(taker),
      profile_(profile),
      random_(seed),
      bounds_(bounds) {}

transport::Task<void> BoardWatcher::watch() {
  for (;;) {
    const Clock::time_point asked = Clock::now();
    const std::uint64_t had = taker_.last();
    const transport::Address at = board_;
    const bool good = co_await poll();
    if (at != board_) {
      continue;  // the call was broken off to ask elsewhere: no failure
    }
    note(good);
    // A board that does not hold calls back is not flooded.
    const bool hasty = taker_.last() == had && Clock::now() - asked < bounds_.least_pause;
    const Clock::duration wait = !good ? pause() : hasty ? bounds_.least_pause : Clock::duration::zero();
    if (wait > Clock::duration::zero()) {
      co_await moved_.wait(wait);
    }
  }
}

// The call in flight and a pause both end: the old board tells nothing more, and what the new one has to
// tell is late already. Events taken in before are known by their number.
bool BoardWatcher::move(const transport::Address& board) {
  if (board == board_) {
    return false;
  }
  board_ = board;
  failures_ = 0;
  if (connection_) {
    connection_->close(ConnectionEnd::kDropped);
  }
  moved_.notify();
  return true;
}

// One call; a connection that broke between two calls is not yet a failure of the board.
transport::Task<bool> BoardWatcher::poll() {
  if (!connection_ || connection_->ended()) {
    connection_ = Connection::connect(scheduler_, board_, bounds_.connection);
    link_ = std::make_shared<Link>(scheduler_, bounds_.answers);
    connection_->start(link_);
  }
  const std::shared_ptr<Link> link = link_;
  const std::shared_ptr<Connection> connection = connection_;
  const auto linger = std::chrono::duration_cast<std::chrono::milliseconds>(bounds_.linger);
  connection->write(protocol::http::write_get(protocol::poll_path(taker_.last(), linger.count()),
                                              transport::to_string(board_)));
  const Clock::time_point until = Clock::now() + bounds_.linger + bounds_.grace;
  for (;;) {
    std::optional<protocol::http::Response> response = link->parser.take();
    if (response) {
      if (!response->keep_open) {
        connection->close(ConnectionEnd::kDropped);
      }
      co_return take(*response);
    }
    const Clock::duration left = until - Clock::now();
    if (link->parser.failed() || link->end || left <= Clock::duration::zero()) {
      why_ = link->end               ? std::string(to_string(*link->end))
             : link->parser.failed() ? link->parser.why()
                                     : "silent";
      connection->close(link->parser.failed() ? ConnectionEnd::kMalformed : ConnectionEnd::kSilent);
      co_return false;
    }
    co_await link->changed.wait(left);
  }
}

bool BoardWatcher::take(const protocol::http::Response& response) {
  constexpr int kOkay = 200;
  if (response.status != kOkay) {
    why_ = "status " + std::to_string(response.status);
    return false;
  }
  try {
    taker_.take(protocol::parse_notices(response.body, profile_));
    return true;
  } catch (const std::exception& error) {  // whatever fails, the board is asked again
    why_ = error.what();
    return false;
  }
}

Clock::duration BoardWatcher::pause() {
  const int doublings = std::min(failures_ - 1, kMostDoublings);
  const Clock::duration longest = std::min(bounds_.most_pause, bounds_.least_pause * (1 << doublings));
  std::uniform_real_distribution<double> part(0.5, 1.0);
  return std::chrono::duration_cast<Clock::duration>(longest * part(random_));
}

// Operators are told when it is lost and when it is back, not of each try.
void BoardWatcher::note(bool good) {
  if (good && failures_ > 0) {
    log_line(Level::kInfo) << "notice board " << to_string(board_) << " is back after " << failures_
                           << " failed calls";
  }
  failures_ = good ? 0 : failures_ + 1;
  if (failures_ == 1) {
    log_line(Level::kDebug) << "notice board " << to_string(board_) << ": " << why_;
  } else if (failures_ == 2) {
    log_line(Level::kWarning) << "notice board " << to_string(board_) << " is lost: " << why_;
  }
}

}  // namespace trailcourse::routing
