#include "routing/board_watcher.h"

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>

#include "protocol/json_fields.h"
#include "protocol/notice_board.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::routing {

using startup::PollResult;
using startup::ScheduledPoll;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kOkay = 200;

std::int64_t unix_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

startup::RelayStatus said_by(const protocol::http::Response& response) {
  startup::RelayStatus said;
  // A relay that does not say how old its page is says nothing that can be believed.
  const auto age = protocol::read_number<std::int64_t>(response.header("x-age-ms"));
  said.age = age ? Micros(milliseconds(*age)) : Micros::max();
  std::istringstream path(response.header("x-path"));
  for (std::string name; std::getline(path, name, ',');) {
    said.path.push_back(name);
  }
  return said;
}

}  // namespace

// A connection to the board or a relay: keeps what was read until the watcher takes it.
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
  transport::ConnectionHandle connection;
  transport::Address to;
};

BoardWatcher::BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board,
                           NoticeSink& taker, const protocol::Profile& profile, std::uint64_t seed,
                           const Bounds& bounds)
    : BoardWatcher(scheduler, board, taker, profile, seed, bounds, Hooks(), Relays()) {}

BoardWatcher::BoardWatcher(transport::Scheduler& scheduler, const transport::Address& board,
                           NoticeSink& taker, const protocol::Profile& profile, std::uint64_t seed,
                           const Bounds& bounds, Hooks hooks, Relays relays)
    : scheduler_(scheduler),
      board_(board),
      moved_(scheduler),
      taker_(taker),
      profile_(profile),
      bounds_(bounds),
      hooks_(std::move(hooks)),
      relays_(std::move(relays)),
      asking_(bounds.asking, seed),
      numbering_(bounds.anew_after) {}

BoardWatcher::~BoardWatcher() = default;

Micros BoardWatcher::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// The board itself is asked only when poll_scheduler.h says so; a relay, which has few askers, as soon as one
// may be asked.
Micros BoardWatcher::linger_of(const std::optional<std::string>& relay, Micros at_board) const {
  if (relay) {
    return std::chrono::duration_cast<Micros>(bounds_.relay_linger);
  }
  return bounds_.first_at_once && !answered_ ? Micros(0) : at_board;
}

transport::Task<void> BoardWatcher::watch() {
  constexpr Micros kRelayLook = milliseconds(50);  // whether a relay may be asked again
  const bool relays = relays_.choice != nullptr;
  ScheduledPoll board = asking_.first_poll(now());
  Micros relay_at = now();
  bool drawn = true;  // the board's turn is of this want of a relay, and not of an earlier one
  if (relays) {
    scheduler_.spawn(audit());
  }
  for (;;) {
    const transport::Address at = board_;
    const Micros until = relays ? std::min(board.at, relay_at) : board.at;
    const Micros wait = until - now();
    if (wait > Micros(0)) {
      const bool moved = co_await moved_.wait(wait);
      if (moved || at != board_) {
        board = asking_.first_poll(now());
        continue;
      }
    }
    const Micros asked = now();
    std::optional<std::string> relay;
    if (relays) {
      relay = relays_.choice->select(asked);
      if (!relay && asked < board.at) {
        relay_at = asked + kRelayLook;
        continue;
      }
    }
    const Micros linger = linger_of(relay, board.long_poll_timeout);
    const Ended ended = co_await call(relay, linger);
    if (at != board_) {
      board = asking_.first_poll(now());  // the call was broken off to ask elsewhere: no failure
      continue;
    }
    note(ended, relay);
    const bool good = ended.end == PollResult::kUpdates || ended.end == PollResult::kNoUpdates;
    // A relay that holds nothing back is not flooded either.
    const bool hasty = ended.end != PollResult::kUpdates && now() - asked < linger / 2;
    relay_at = hasty ? asked + linger / 2 : now();
    if (!relay) {
      board = asking_.next_poll(asked, now(), ended.end, ended.retry_after);
    } else if (good) {
      drawn = false;
    } else if (!std::exchange(drawn, true)) {
      board = asking_.first_poll(now());
    }
  }
}

// Behind the relay's back the board itself is asked for its last number, now and then.
transport::Task<void> BoardWatcher::audit() {
  constexpr Micros kLook = milliseconds(50);
  for (;;) {
    co_await scheduler_.sleep(kLook);
    const std::optional<std::string> relay = relays_.choice->select(now());
    if (relay && relays_.choice->detect_withholding(now(), *relay, taker_.last())) {
      log_line(Level::kWarning) << "relay " << *relay
                                << " withholds what the board tells: not asked any more";
    }
    const std::optional<Micros> due = relays_.choice->next_audit_at(now());
    if (!relay || !due || now() < *due) {
      continue;
    }
    ++counts_.audits;
    const std::shared_ptr<Link> link = link_to(board_);
    const std::string request =
        protocol::http::write_get(protocol::poll_path(taker_.last(), 0), transport::to_string(board_));
    const std::optional<protocol::http::Response> response = co_await exchange(link, request, bounds_.grace);
    link->connection.close(ConnectionEnd::kDropped);
    std::uint64_t board_last = 0;
    if (response && response->status == kOkay) {
      const nlohmann::json page = nlohmann::json::parse(response->body, nullptr, false);
      if (page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned()) {
        board_last = page["rev"].get<std::uint64_t>();
      }
    }
    relays_.choice->on_audit(now(), board_last, taker_.last());
  }
}

// The call in flight and a pause both end: the old board tells nothing more, and what the new one has to
// tell is late already. Events taken in before are known by their number.
bool BoardWatcher::move(const transport::Address& board) {
  if (board == board_) {
    return false;
  }
  board_ = board;
  if (link_) {
    link_->connection.close(ConnectionEnd::kDropped);
  }
  moved_.notify();
  return true;
}

std::shared_ptr<BoardWatcher::Link> BoardWatcher::link_to(const transport::Address& address) {
  auto link = std::make_shared<Link>(scheduler_, bounds_.answers);
  link->to = address;
  const auto connection = Connection::connect(scheduler_, address, bounds_.connection);
  link->connection = transport::ConnectionHandle(connection);
  connection->start(link);
  return link;
}

// One request and its answer; nothing where none came, with the reason in why_.
transport::Task<std::optional<protocol::http::Response>> BoardWatcher::exchange(
    const std::shared_ptr<Link>& link, const std::string& request, Clock::duration longest) {
  link->connection.write(request);
  const Clock::time_point until = Clock::now() + longest;
  for (;;) {
    std::optional<protocol::http::Response> response = link->parser.take();
    if (response) {
      if (!response->keep_open) {
        link->connection.close(ConnectionEnd::kDropped);
      }
      co_return response;
    }
    const Clock::duration left = until - Clock::now();
    if (link->parser.failed() || link->end || left <= Clock::duration::zero()) {
      why_ = link->end               ? std::string(to_string(*link->end))
             : link->parser.failed() ? link->parser.why()
                                     : "silent";
      link->connection.close(link->parser.failed() ? ConnectionEnd::kMalformed : ConnectionEnd::kSilent);
      co_return std::nullopt;
    }
    co_await link->changed.wait(left);
  }
}

transport::Task<BoardWatcher::Ended> BoardWatcher::call(const std::optional<std::string>& relay,
                                                        Micros linger) {
  ++counts_.calls;
  counts_.to_relays += relay ? 1 : 0;
  const transport::Address to = relay ? relays_.addresses.at(*relay) : board_;
  if (!link_ || link_->connection.ended() || link_->to != to) {
    if (link_) {
      link_->connection.close(ConnectionEnd::kDropped);
    }
    link_ = link_to(to);
  }
  const std::shared_ptr<Link> link = link_;
  const Micros asked = now();
  const auto linger_ms = std::chrono::duration_cast<milliseconds>(linger).count();
  const Clock::duration longest = linger + (relay ? bounds_.relay_grace : bounds_.grace);
  const std::string request =
      protocol::http::write_get(protocol::poll_path(taker_.last(), linger_ms), transport::to_string(to));
  const std::optional<protocol::http::Response> response = co_await exchange(link, request, longest);
  Ended out;
  if (response) {
    out = take(*response, relay, asked, linger);
  } else {
    const bool silent = !link->end && !link->parser.failed();
    out.end = link->parser.failed() && !link->end ? PollResult::kInvalid
              : silent                            ? PollResult::kTimeout
                                                  : PollResult::kDisconnected;
    if (relay) {
      relays_.choice->on_failure(now(), *relay);
    }
  }
  co_return out;
}

BoardWatcher::Ended BoardWatcher::take(const protocol::http::Response& response,
                                       const std::optional<std::string>& relay, Micros asked, Micros linger) {
  Ended out;
  if (response.status != kOkay) {
    why_ = "status " + std::to_string(response.status);
    out.end = PollResult::kRejected;
    const auto wait = protocol::http::read_retry_after(response.header("retry-after"), unix_seconds());
    out.retry_after = std::chrono::seconds(std::min<std::int64_t>(wait.value_or(0), 86'400));
    if (relay) {
      relays_.choice->on_failure(now(), *relay);
    }
    return out;
  }
  out.end = PollResult::kInvalid;
  try {
    const nlohmann::json page = nlohmann::json::parse(response.body, nullptr, false);
    if (page.is_discarded()) {
      throw protocol::FormatError("not JSON");
    }
    const protocol::NoticePage notices = protocol::read_notices(page, profile_);
    startup::RelayStatus said;
    if (relay) {
      said = said_by(response);
      const auto belief = relays_.choice->on_response(now(), *relay, relays_.self, said);
      if (belief != startup::RelayValidity::kValid) {
        why_ = belief == startup::RelayValidity::kStale ? "a page too old" : "a page that came in a circle";
        return out;
      }
    }
    const std::string id = protocol::word_at(page, "board", "");
    const std::uint64_t before = taker_.last();
    switch (numbering_.check(now(), before, notices.last, id)) {
      case startup::PageVerdict::kStale:
        ++counts_.stale;
        why_ = "an older number, " + std::to_string(notices.last) + " after " + std::to_string(before);
        if (relay) {
          relays_.choice->on_failure(now(), *relay);  // it is behind: it may have slept
        }
        return out;
      case startup::PageVerdict::kReset:
        log_line(Level::kWarning) << "the notice board began anew: it is at event " << notices.last
                                  << ", we knew " << before;
        taker_.forget_numbers();
        if (hooks_.anew) {
          hooks_.anew();
        }
        out.end = PollResult::kUpdates;  // asked again at once, from its start
        return out;
      case startup::PageVerdict::kApply:
        break;
    }
    answered_ = true;
    taker_.take(notices);
    const bool news = taker_.last() > before;
    out.end = news ? PollResult::kUpdates : PollResult::kNoUpdates;
    // A call that brought nothing was held to its end: the board had nothing then, however late this is read.
    // One that brought news was answered at some time since it was asked.
    const Micros known = news ? asked : std::min(now(), asked + linger);
    if (hooks_.page) {
      hooks_.page(page, known - (relay ? said.age : Micros(0)), response.header("x-path"));
    }
    if (hooks_.taken) {
      hooks_.taken(numbering_.source_id(), taker_.last());
    }
    if (const auto askers = protocol::read_number<std::int64_t>(response.header("x-askers"));
        askers && !relay && hooks_.askers) {
      hooks_.askers(*askers);
    }
  } catch (const std::exception& error) {  // whatever fails, the board is asked again
    why_ = error.what();
    out.end = PollResult::kInvalid;
    if (relay) {
      relays_.choice->on_failure(now(), *relay);
    }
  }
  return out;
}

// Operators are told when it is lost and when it is back, not of each try.
void BoardWatcher::note(const Ended& ended, const std::optional<std::string>& relay) {
  const bool good = ended.end == PollResult::kUpdates || ended.end == PollResult::kNoUpdates;
  counts_.failed += good ? 0 : 1;
  counts_.refused += ended.end == PollResult::kRejected ? 1 : 0;
  if (relay) {
    if (!good) {
      log_line(Level::kInfo) << "relay " << *relay << ": " << why_;
    }
    return;
  }
  const int failures = asking_.consecutive_failures();
  if (good && failures > 0) {
    log_line(Level::kInfo) << "notice board " << to_string(board_) << " is back after " << failures
                           << " failed calls";
  } else if (!good && failures == 0) {
    log_line(Level::kDebug) << "notice board " << to_string(board_) << ": " << why_;
  } else if (!good && failures == 1) {
    log_line(Level::kWarning) << "notice board " << to_string(board_) << " is lost: " << why_;
  }
}

}  // namespace trailcourse::routing
