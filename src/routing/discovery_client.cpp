#include "routing/discovery_client.h"

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>

#include "protocol/json_fields.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::routing {

using startup::PollResult;
using std::chrono::milliseconds;
using transport::Clock;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kStatusOk = 200;
constexpr std::int64_t kMaxRetryAfterSeconds = 86'400;
constexpr Micros kRelayCheckInterval = milliseconds(50);  // whether a relay can be polled again

std::int64_t unix_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

startup::RelayStatus relay_status_of(const protocol::http::Response& response) {
  startup::RelayStatus status;
  // A relay that does not say how old its page is says nothing that can be believed.
  const auto age = protocol::read_number<std::int64_t>(response.header("x-age-ms"));
  status.age = age ? Micros(milliseconds(*age)) : Micros::max();
  std::istringstream path(response.header("x-path"));
  for (std::string name; std::getline(path, name, ',');) {
    status.path.push_back(name);
  }
  return status;
}

// Parses the body of a watch response. Throws protocol::FormatError.
nlohmann::json parse_page(const protocol::http::Response& response) {
  nlohmann::json page = nlohmann::json::parse(response.body, nullptr, false);
  if (page.is_discarded()) {
    throw protocol::FormatError("not JSON");
  }
  return page;
}

std::string error_of(const http::ClientConnection& connection) {
  if (connection.end()) {
    return std::string(to_string(*connection.end()));
  }
  return connection.malformed() ? connection.parse_error() : "silent";
}

PollResult call_end_of(const http::ClientConnection& connection) {
  if (connection.end()) {
    return PollResult::kDisconnected;
  }
  return connection.malformed() ? PollResult::kInvalid : PollResult::kTimeout;
}

}  // namespace

DiscoveryClient::DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& board,
                           DiscoveryListener& taker, const protocol::Profile& profile, std::uint64_t seed,
                           const Bounds& bounds)
    : DiscoveryClient(scheduler, board, taker, profile, seed, bounds, Hooks(), Relays()) {}

DiscoveryClient::DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& board,
                           DiscoveryListener& taker, const protocol::Profile& profile, std::uint64_t seed,
                           const Bounds& bounds, Hooks hooks, Relays relays)
    : scheduler_(scheduler),
      board_(board),
      moved_(scheduler),
      taker_(taker),
      profile_(profile),
      bounds_(bounds),
      hooks_(std::move(hooks)),
      relays_(std::move(relays)),
      poll_scheduler_(bounds.asking, seed),
      sequence_(bounds.reset_detection_delay) {}

DiscoveryClient::~DiscoveryClient() = default;

Micros DiscoveryClient::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// ---- Polling ----

transport::Task<void> DiscoveryClient::watch() {
  const bool uses_relays = relays_.choice != nullptr;
  PollSchedule schedule{poll_scheduler_.first_poll(now()), now(), true};
  if (uses_relays) {
    scheduler_.spawn(audit());
  }
  for (;;) {
    const transport::Address at = board_;
    const Micros due = uses_relays ? std::min(schedule.board.at, schedule.relay_at) : schedule.board.at;
    const Micros wait = due - now();
    if (wait > Micros(0)) {
      const bool moved = co_await moved_.wait(wait);
      if (moved || at != board_) {
        schedule.board = poll_scheduler_.first_poll(now());
        continue;
      }
    }
    const Micros started = now();
    const std::optional<std::string> relay = choose_relay(started);
    if (uses_relays && !relay && started < schedule.board.at) {
      schedule.relay_at = started + kRelayCheckInterval;
      continue;
    }
    const Poll poll{relay, started, linger_of(relay, schedule.board.long_poll_timeout)};
    transport::Task<CallOutcome> calling = call(poll);
    const CallOutcome outcome = co_await calling;
    if (at != board_) {
      schedule.board = poll_scheduler_.first_poll(now());  // the call was ended by move(): no failure
      continue;
    }
    log_outcome(outcome, relay);
    schedule_next(schedule, poll, outcome);
  }
}

std::optional<std::string> DiscoveryClient::choose_relay(Micros at) const {
  return relays_.choice != nullptr ? relays_.choice->select(at) : std::nullopt;
}

// The board is polled only when poll_scheduler.h says so; a relay, which has few clients, as soon as one can
// be polled.
Micros DiscoveryClient::linger_of(const std::optional<std::string>& relay, Micros at_board) const {
  if (relay) {
    return std::chrono::duration_cast<Micros>(bounds_.relay_linger);
  }
  return bounds_.first_poll_immediate && !answered_ ? Micros(0) : at_board;
}

void DiscoveryClient::schedule_next(PollSchedule& schedule, const Poll& poll, const CallOutcome& outcome) {
  // A relay that does not hold calls is not flooded with them.
  const bool too_early = outcome.end != PollResult::kUpdates && now() - poll.started < poll.linger / 2;
  schedule.relay_at = too_early ? poll.started + poll.linger / 2 : now();
  if (!poll.relay) {
    schedule.board = poll_scheduler_.next_poll(poll.started, now(), outcome.end, outcome.retry_after);
  } else if (outcome.ok()) {
    schedule.board_call_drawn = false;
  } else if (!std::exchange(schedule.board_call_drawn, true)) {
    schedule.board = poll_scheduler_.first_poll(now());
  }
}

// Ends the call in flight and the wait: the old board sends nothing more, and what the new one has to send is
// late already. Events that were applied before are known by their number.
bool DiscoveryClient::move(const transport::Address& board) {
  if (board == board_) {
    return false;
  }
  board_ = board;
  if (connection_) {
    connection_->close(ConnectionEnd::kDropped);
  }
  moved_.notify();
  return true;
}

// ---- Calls ----

transport::Task<DiscoveryClient::CallOutcome> DiscoveryClient::call(const Poll& poll) {
  ++counts_.calls;
  counts_.to_relays += poll.relay ? 1 : 0;
  const transport::Address to = poll.relay ? relays_.addresses.at(*poll.relay) : board_;
  if (!connection_ || connection_->closed() || connection_->peer() != to) {
    if (connection_) {
      connection_->close(ConnectionEnd::kDropped);
    }
    connection_ = connection_to(to);
  }
  const std::shared_ptr<http::ClientConnection> connection = connection_;
  const auto linger_ms = std::chrono::duration_cast<milliseconds>(poll.linger).count();
  const Clock::duration longest = poll.linger + (poll.relay ? bounds_.relay_grace : bounds_.grace);
  auto exchanging = exchange(
      connection, protocol::http::write_get(protocol::poll_path(taker_.last(), linger_ms), to_string(to)),
      longest);
  const std::optional<protocol::http::Response> response = co_await exchanging;
  if (response) {
    co_return take_response(*response, poll);
  }
  CallOutcome outcome{call_end_of(*connection), Micros(0), error_of(*connection)};
  connection->close(connection->malformed() ? ConnectionEnd::kMalformed : ConnectionEnd::kSilent);
  on_relay_failure(poll);
  co_return outcome;
}

std::shared_ptr<http::ClientConnection> DiscoveryClient::connection_to(const transport::Address& address) {
  return http::ClientConnection::open(scheduler_, address, bounds_.connection, bounds_.answers);
}

// Writes one request and receives its response; nothing if none came.
transport::Task<std::optional<protocol::http::Response>> DiscoveryClient::exchange(
    std::shared_ptr<http::ClientConnection> connection, std::string request, Clock::duration longest) {
  connection->write(std::move(request));
  auto receiving = http::ClientConnection::receive(connection, Clock::now() + longest);
  std::optional<protocol::http::Response> response = co_await receiving;
  if (response && !response->keep_open) {
    connection->close(ConnectionEnd::kDropped);
  }
  co_return response;
}

void DiscoveryClient::on_relay_failure(const Poll& poll) {
  if (poll.relay) {
    relays_.choice->on_failure(now(), *poll.relay);
  }
}

// ---- Responses ----

DiscoveryClient::CallOutcome DiscoveryClient::take_response(const protocol::http::Response& response,
                                                      const Poll& poll) {
  if (response.status != kStatusOk) {
    return take_refusal(response, poll);
  }
  try {
    return take_page(response, poll);
  } catch (const std::exception& error) {  // whatever fails, the board is polled again
    on_relay_failure(poll);
    return {PollResult::kInvalid, Micros(0), error.what()};
  }
}

DiscoveryClient::CallOutcome DiscoveryClient::take_refusal(const protocol::http::Response& response,
                                                     const Poll& poll) {
  const auto wait = protocol::http::read_retry_after(response.header("retry-after"), unix_seconds());
  on_relay_failure(poll);
  return {PollResult::kRejected, std::chrono::seconds(std::min(wait.value_or(0), kMaxRetryAfterSeconds)),
          "status " + std::to_string(response.status)};
}

// Throws std::exception if the response cannot be used.
DiscoveryClient::CallOutcome DiscoveryClient::take_page(const protocol::http::Response& response,
                                                  const Poll& poll) {
  using startup::RelayValidity;
  const nlohmann::json page = parse_page(response);
  const protocol::DiscoveryPage notices = protocol::read_discovery_page(page, profile_);
  Micros age{0};
  if (poll.relay) {
    const startup::RelayStatus status = relay_status_of(response);
    age = status.age;
    const RelayValidity validity = relays_.choice->on_response(now(), *poll.relay, relays_.self, status);
    if (validity != RelayValidity::kValid) {
      return {PollResult::kInvalid, Micros(0),
              validity == RelayValidity::kStale ? "a page too old" : "a page that came in a circle"};
    }
  }
  const std::uint64_t before = taker_.last();
  switch (sequence_.check(now(), before, notices.last_sequence, protocol::string_or_default(page, "board", ""))) {
    case startup::PageVerdict::kStale:
      ++counts_.stale;
      on_relay_failure(poll);  // it is behind: it may have been suspended
      return {PollResult::kInvalid, Micros(0),
              "an older number, " + std::to_string(notices.last_sequence) + " after " + std::to_string(before)};
    case startup::PageVerdict::kReset:
      return restart_numbering(notices.last_sequence);
    case startup::PageVerdict::kApply:
      break;
  }
  return apply_page(response, poll, page, notices, age);
}

DiscoveryClient::CallOutcome DiscoveryClient::restart_numbering(std::uint64_t last) {
  log_line(Level::kWarning) << "the notice board began anew: it is at event " << last << ", we knew "
                            << taker_.last();
  taker_.reset_sequence();
  if (hooks_.anew) {
    hooks_.anew();
  }
  return {PollResult::kUpdates, Micros(0), {}};  // polled again at once, from its start
}

DiscoveryClient::CallOutcome DiscoveryClient::apply_page(const protocol::http::Response& response, const Poll& poll,
                                                   const nlohmann::json& page,
                                                   const protocol::DiscoveryPage& notices, Micros age) {
  answered_ = true;
  const std::uint64_t before = taker_.last();
  taker_.take(notices);
  const bool news = taker_.last() > before;
  // A call without events was held to the end of its linger: the board had none then, however late this is
  // read. A call with events was answered at some time since it was sent.
  const Micros known_at = (news ? poll.started : std::min(now(), poll.started + poll.linger)) - age;
  if (hooks_.page) {
    hooks_.page(page, known_at, response.header("x-path"));
  }
  if (hooks_.taken) {
    hooks_.taken(sequence_.source_id(), taker_.last());
  }
  const auto pollers = protocol::read_number<std::int64_t>(response.header("x-askers"));
  if (pollers && !poll.relay && hooks_.askers) {
    hooks_.askers(*pollers);
  }
  return {news ? PollResult::kUpdates : PollResult::kNoUpdates, Micros(0), {}};
}

// ---- Audit of relays ----

// Reads the last number of the board itself now and then, to detect a relay that withholds events.
transport::Task<void> DiscoveryClient::audit() {
  for (;;) {
    co_await scheduler_.sleep(kRelayCheckInterval);
    const std::optional<std::string> relay = choose_relay(now());
    if (relay && relays_.choice->detect_withholding(now(), *relay, taker_.last())) {
      log_line(Level::kWarning) << "relay " << *relay
                                << " withholds what the board tells: not asked any more";
    }
    const std::optional<Micros> due = relays_.choice->next_audit_at(now());
    if (!relay || !due || now() < *due) {
      continue;
    }
    transport::Task<std::uint64_t> reading = read_last_of_board();
    const std::uint64_t last_of_board = co_await reading;
    relays_.choice->on_audit(now(), last_of_board, taker_.last());
  }
}

transport::Task<std::uint64_t> DiscoveryClient::read_last_of_board() {
  ++counts_.audits;
  const std::shared_ptr<http::ClientConnection> connection = connection_to(board_);
  auto exchanging = exchange(
      connection, protocol::http::write_get(protocol::poll_path(taker_.last(), 0), to_string(board_)),
      bounds_.grace);
  const std::optional<protocol::http::Response> response = co_await exchanging;
  connection->close(ConnectionEnd::kDropped);
  if (!response || response->status != kStatusOk) {
    co_return 0;
  }
  const nlohmann::json page = nlohmann::json::parse(response->body, nullptr, false);
  const bool has_number = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned();
  co_return has_number ? page["rev"].get<std::uint64_t>() : 0;
}

// ---- Log ----

// Logs when the board is lost and when it is back, not each failed call.
void DiscoveryClient::log_outcome(const CallOutcome& outcome, const std::optional<std::string>& relay) {
  counts_.failed += outcome.ok() ? 0 : 1;
  counts_.refused += outcome.end == PollResult::kRejected ? 1 : 0;
  if (relay) {
    if (!outcome.ok()) {
      log_line(Level::kInfo) << "relay " << *relay << ": " << outcome.error;
    }
    return;
  }
  const int failures = poll_scheduler_.consecutive_failures();
  if (outcome.ok() && failures > 0) {
    log_line(Level::kInfo) << "notice board " << to_string(board_) << " is back after " << failures
                           << " failed calls";
  } else if (!outcome.ok() && failures == 0) {
    log_line(Level::kDebug) << "notice board " << to_string(board_) << ": " << outcome.error;
  } else if (!outcome.ok() && failures == 1) {
    log_line(Level::kWarning) << "notice board " << to_string(board_) << " is lost: " << outcome.error;
  }
}

}  // namespace trailcourse::routing
