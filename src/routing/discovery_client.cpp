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
constexpr Micros kRelayCheckInterval = milliseconds(50);  // between two checks whether a relay can be polled
constexpr std::size_t kMaxLateCalls = 5;                  // that have timed out and may still be answered
// Replaces Options::response_grace while the service answers late: waiting longer for each response would
// only delay the next call.
constexpr Clock::duration kGraceOfLateService = milliseconds(50);

std::int64_t unix_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

startup::RelayStatus relay_status_of(const protocol::http::Response& response) {
  startup::RelayStatus status;
  // A page without its age counts as stale.
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
    throw protocol::FormatError("invalid JSON");
  }
  return page;
}

std::string error_of(const http::ClientConnection& connection) {
  if (connection.end()) {
    return std::string(to_string(*connection.end()));
  }
  return connection.malformed() ? connection.parse_error() : "no response before the deadline";
}

PollResult poll_result_of(const http::ClientConnection& connection) {
  if (connection.end()) {
    return PollResult::kDisconnected;
  }
  return connection.malformed() ? PollResult::kInvalid : PollResult::kTimeout;
}

}  // namespace

DiscoveryClient::DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& server,
                                 DiscoveryListener& listener, const protocol::DeploymentSettings& deployment,
                                 std::uint64_t seed, const Options& options)
    : DiscoveryClient(scheduler, server, listener, deployment, seed, options, Hooks(), Relays()) {}

DiscoveryClient::DiscoveryClient(transport::Scheduler& scheduler, const transport::Address& server,
                                 DiscoveryListener& listener, const protocol::DeploymentSettings& deployment,
                                 std::uint64_t seed, const Options& options, Hooks hooks, Relays relays)
    : scheduler_(scheduler),
      server_(server),
      server_changed_(scheduler),
      listener_(listener),
      deployment_(deployment),
      options_(options),
      hooks_(std::move(hooks)),
      relays_(std::move(relays)),
      poll_scheduler_(options.polling, seed),
      sequence_(options.reset_detection_delay) {}

DiscoveryClient::~DiscoveryClient() = default;

Micros DiscoveryClient::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// ---- Polling ----

transport::Task<void> DiscoveryClient::poll_loop() {
  const bool uses_relays = relays_.selector != nullptr;
  PollSchedule schedule{poll_scheduler_.first_poll(now()), now(), true};
  if (uses_relays) {
    scheduler_.spawn(audit_loop());
  }
  for (;;) {
    const transport::Address server = server_;
    const Micros due = uses_relays ? std::min(schedule.service.at, schedule.relay_at) : schedule.service.at;
    const Micros wait = due - now();
    if (wait > Micros(0)) {
      const bool changed = co_await server_changed_.wait(wait);
      if (changed || server != server_) {
        schedule.service = poll_scheduler_.first_poll(now());
        continue;
      }
    }
    const Micros started = now();
    const std::optional<std::string> relay = choose_relay(started);
    if (uses_relays && !relay && started < schedule.service.at) {
      schedule.relay_at = started + kRelayCheckInterval;
      continue;
    }
    const Poll poll{relay, started, long_poll_timeout(relay, schedule.service.long_poll_timeout)};
    transport::Task<CallOutcome> calling = call(poll);
    const CallOutcome outcome = co_await calling;
    if (server != server_) {
      // set_server() has ended the call, so its result does not count as a failure.
      schedule.service = poll_scheduler_.first_poll(now());
      continue;
    }
    log_outcome(outcome, relay);
    schedule_next(schedule, poll, outcome);
  }
}

std::optional<std::string> DiscoveryClient::choose_relay(Micros at) const {
  return relays_.selector != nullptr ? relays_.selector->select(at) : std::nullopt;
}

// Returns the long-poll timeout of the next call. `service_timeout` is the one that the poll scheduler has
// set for a call to the service.
Micros DiscoveryClient::long_poll_timeout(const std::optional<std::string>& relay,
                                          Micros service_timeout) const {
  if (relay) {
    return std::chrono::duration_cast<Micros>(options_.relay_long_poll_timeout);
  }
  return options_.first_poll_immediate && !page_applied_ ? Micros(0) : service_timeout;
}

// Sets when the next polls are due. The service is polled only at the times that the poll scheduler sets. A
// relay has few clients, so it is polled as soon as it is available.
void DiscoveryClient::schedule_next(PollSchedule& schedule, const Poll& poll, const CallOutcome& outcome) {
  // Limits the rate of calls to a relay that answers before the long-poll timeout.
  const bool too_early =
      outcome.result != PollResult::kUpdates && now() - poll.started < poll.long_poll_timeout / 2;
  schedule.relay_at = too_early ? poll.started + poll.long_poll_timeout / 2 : now();
  if (!poll.relay) {
    schedule.service = poll_scheduler_.next_poll(poll.started, now(), outcome.result, outcome.retry_after);
  } else if (outcome.ok()) {
    schedule.service_is_current = false;
  } else if (!std::exchange(schedule.service_is_current, true)) {
    schedule.service = poll_scheduler_.first_poll(now());
  }
}

// Ends the call in flight and the wait for the next one: the old service sends nothing more, and the new one
// may already have events that are not applied yet. Events that were applied before are recognized by their
// sequence number.
bool DiscoveryClient::set_server(const transport::Address& server) {
  if (server == server_) {
    return false;
  }
  server_ = server;
  if (connection_) {
    connection_->close(ConnectionEnd::kDropped);
  }
  for (const std::shared_ptr<http::ClientConnection>& late : late_connections_) {
    late->close(ConnectionEnd::kDropped);
  }
  answers_late_ = false;
  server_changed_.notify();
  return true;
}

// ---- Calls ----

transport::Task<DiscoveryClient::CallOutcome> DiscoveryClient::call(const Poll& poll) {
  ++counts_.calls;
  counts_.to_relays += poll.relay ? 1 : 0;
  const transport::Address to = poll.relay ? relays_.addresses.at(*poll.relay) : server_;
  if (!connection_ || connection_->closed() || connection_->peer() != to) {
    if (connection_) {
      connection_->close(ConnectionEnd::kDropped);
    }
    connection_ = connection_to(to);
  }
  const std::shared_ptr<http::ClientConnection> connection = connection_;
  const auto timeout_ms = std::chrono::duration_cast<milliseconds>(poll.long_poll_timeout).count();
  auto exchanging = exchange(
      connection,
      protocol::http::write_get(protocol::poll_path(listener_.last_sequence(), timeout_ms), to_string(to)),
      poll.long_poll_timeout + grace_of(poll));
  const std::optional<protocol::http::Response> response = co_await exchanging;
  if (response) {
    const CallOutcome outcome = handle_response(*response, poll);
    if (!poll.relay && outcome.ok()) {
      set_answers_late(false);
    }
    co_return outcome;
  }
  CallOutcome outcome{poll_result_of(*connection), Micros(0), error_of(*connection)};
  if (outcome.result == PollResult::kTimeout && !poll.relay) {
    connection_.reset();
    expect_late_response(connection, poll);
  } else {
    connection->close(connection->malformed() ? ConnectionEnd::kMalformed : ConnectionEnd::kSilent);
  }
  on_relay_failure(poll);
  co_return outcome;
}

// Returns how long after its long-poll timeout a call times out.
Clock::duration DiscoveryClient::grace_of(const Poll& poll) const {
  if (poll.relay) {
    return options_.relay_grace;
  }
  return answers_late_ ? std::min(options_.response_grace, kGraceOfLateService) : options_.response_grace;
}

// ---- Late responses ----

// Keeps a call that has timed out open for its response. If the calls were given up, a service whose every
// response takes longer than the time-out would never deliver an event.
void DiscoveryClient::expect_late_response(const std::shared_ptr<http::ClientConnection>& connection,
                                           const Poll& poll) {
  if (late_connections_.size() >= kMaxLateCalls) {
    late_connections_.front()->close(ConnectionEnd::kSilent);
    late_connections_.pop_front();
  }
  late_connections_.push_back(connection);
  scheduler_.spawn(receive_late_response(connection, poll));
}

transport::Task<void> DiscoveryClient::receive_late_response(
    std::shared_ptr<http::ClientConnection> connection, Poll poll) {
  const Clock::time_point long_poll_end(poll.started + poll.long_poll_timeout);
  auto receiving = http::ClientConnection::receive(connection, long_poll_end + options_.late_response_grace);
  const std::optional<protocol::http::Response> response = co_await receiving;
  const bool from_current_server = connection->peer() == server_;
  std::erase(late_connections_, connection);
  connection->close(response ? ConnectionEnd::kDropped : ConnectionEnd::kSilent);
  if (response && from_current_server) {
    on_late_response(*response, poll);
  }
}

// Ignores the page if the page of a later call was applied before: its sequence number may be lower, which
// must not be taken for a sequence reset.
void DiscoveryClient::on_late_response(const protocol::http::Response& response, const Poll& poll) {
  if (poll.started < newest_valid_poll_) {
    return;
  }
  const CallOutcome outcome = handle_response(response, poll);
  if (!outcome.ok()) {
    return;
  }
  ++counts_.late;
  log_outcome(outcome, std::nullopt);
  poll_scheduler_.on_late_response();
  set_answers_late(now() - poll.started >
                   poll.long_poll_timeout + std::chrono::duration_cast<Micros>(options_.response_grace));
}

void DiscoveryClient::set_answers_late(bool late) {
  if (std::exchange(answers_late_, late) == late) {
    return;
  }
  if (late) {
    log_line(Level::kWarning) << "discovery service " << to_string(server_)
                              << " answers late: its events are applied when they arrive";
  } else {
    log_line(Level::kInfo) << "discovery service " << to_string(server_) << " answers in time again";
  }
}

std::shared_ptr<http::ClientConnection> DiscoveryClient::connection_to(const transport::Address& address) {
  return http::ClientConnection::open(scheduler_, address, options_.connection, options_.response_bounds);
}

// Writes a request and returns its response; nothing if the call fails.
transport::Task<std::optional<protocol::http::Response>> DiscoveryClient::exchange(
    std::shared_ptr<http::ClientConnection> connection, std::string request, Clock::duration timeout) {
  connection->write(std::move(request));
  auto receiving = http::ClientConnection::receive(connection, Clock::now() + timeout);
  std::optional<protocol::http::Response> response = co_await receiving;
  if (response && !response->keep_open) {
    connection->close(ConnectionEnd::kDropped);
  }
  co_return response;
}

void DiscoveryClient::on_relay_failure(const Poll& poll) {
  if (poll.relay) {
    relays_.selector->on_failure(now(), *poll.relay);
  }
}

// ---- Responses ----

DiscoveryClient::CallOutcome DiscoveryClient::handle_response(const protocol::http::Response& response,
                                                              const Poll& poll) {
  if (response.status != kStatusOk) {
    return handle_rejection(response, poll);
  }
  try {
    return handle_page(response, poll);
  } catch (const std::exception& error) {  // the service is polled again after any error
    on_relay_failure(poll);
    return {PollResult::kInvalid, Micros(0), error.what()};
  }
}

DiscoveryClient::CallOutcome DiscoveryClient::handle_rejection(const protocol::http::Response& response,
                                                               const Poll& poll) {
  const auto wait = protocol::http::read_retry_after(response.header("retry-after"), unix_seconds());
  on_relay_failure(poll);
  return {PollResult::kRejected, std::chrono::seconds(std::min(wait.value_or(0), kMaxRetryAfterSeconds)),
          "status " + std::to_string(response.status)};
}

// Throws an exception derived from std::exception if the page is invalid.
DiscoveryClient::CallOutcome DiscoveryClient::handle_page(const protocol::http::Response& response,
                                                          const Poll& poll) {
  using startup::RelayValidity;
  const nlohmann::json page = parse_page(response);
  const protocol::DiscoveryPage parsed = protocol::read_discovery_page(page, deployment_);
  Micros age{0};
  if (poll.relay) {
    const startup::RelayStatus status = relay_status_of(response);
    age = status.age;
    const RelayValidity validity = relays_.selector->on_response(now(), *poll.relay, relays_.self, status);
    if (validity != RelayValidity::kValid) {
      return {PollResult::kInvalid, Micros(0),
              validity == RelayValidity::kStale ? "the page is older than allowed"
                                                : "the page has passed through this router before"};
    }
  }
  const std::uint64_t sequence_before = listener_.last_sequence();
  switch (sequence_.check(now(), sequence_before, parsed.last_sequence,
                          protocol::string_or_default(page, "board", ""))) {
    case startup::PageVerdict::kStale:
      ++counts_.stale;
      on_relay_failure(poll);  // the relay is behind: it may have been suspended
      return {PollResult::kInvalid, Micros(0),
              "last event " + std::to_string(parsed.last_sequence) + " is before the applied event " +
                  std::to_string(sequence_before)};
    case startup::PageVerdict::kReset:
      newest_valid_poll_ = std::max(newest_valid_poll_, poll.started);
      return reset_sequence(parsed.last_sequence);
    case startup::PageVerdict::kApply:
      newest_valid_poll_ = std::max(newest_valid_poll_, poll.started);
      break;
  }
  return apply_page(response, poll, page, parsed, age);
}

DiscoveryClient::CallOutcome DiscoveryClient::reset_sequence(std::uint64_t last_sequence) {
  log_line(Level::kWarning) << "sequence reset of the discovery service: its last event is " << last_sequence
                            << ", the last applied event was " << listener_.last_sequence();
  listener_.reset_sequence();
  if (hooks_.on_sequence_reset) {
    hooks_.on_sequence_reset();
  }
  return {PollResult::kUpdates, Micros(0), {}};  // so that the service is polled again at once
}

DiscoveryClient::CallOutcome DiscoveryClient::apply_page(const protocol::http::Response& response,
                                                         const Poll& poll, const nlohmann::json& page,
                                                         const protocol::DiscoveryPage& parsed, Micros age) {
  page_applied_ = true;
  const std::uint64_t sequence_before = listener_.last_sequence();
  listener_.apply(parsed);
  const bool has_new_events = listener_.last_sequence() > sequence_before;
  // A page without events was held until the long-poll timeout: the service had no later event at that time,
  // even if the page is read late. A page with events was sent at an unknown time after the start of the
  // call.
  const Micros known_at =
      (has_new_events ? poll.started : std::min(now(), poll.started + poll.long_poll_timeout)) - age;
  if (hooks_.on_page) {
    hooks_.on_page(page, known_at, response.header("x-path"));
  }
  if (hooks_.on_applied) {
    hooks_.on_applied(sequence_.source_id(), listener_.last_sequence());
  }
  const auto pollers = protocol::read_number<std::int64_t>(response.header("x-askers"));
  if (pollers && !poll.relay && hooks_.on_poller_count) {
    hooks_.on_poller_count(*pollers);
  }
  return {has_new_events ? PollResult::kUpdates : PollResult::kNoUpdates, Micros(0), {}};
}

// ---- Audit of relays ----

// When an audit is due, reads the last sequence number from the service itself, to detect a relay that
// withholds events.
transport::Task<void> DiscoveryClient::audit_loop() {
  for (;;) {
    co_await scheduler_.sleep(kRelayCheckInterval);
    const std::optional<std::string> relay = choose_relay(now());
    if (relay && relays_.selector->detect_withholding(now(), *relay, listener_.last_sequence())) {
      log_line(Level::kWarning) << "relay " << *relay
                                << " withholds events of the discovery service: it is quarantined";
    }
    const std::optional<Micros> due = relays_.selector->next_audit_at(now());
    if (!relay || !due || now() < *due) {
      continue;
    }
    transport::Task<std::uint64_t> reading = read_server_sequence();
    const std::uint64_t server_sequence = co_await reading;
    relays_.selector->on_audit(now(), server_sequence, listener_.last_sequence());
  }
}

transport::Task<std::uint64_t> DiscoveryClient::read_server_sequence() {
  ++counts_.audits;
  const std::shared_ptr<http::ClientConnection> connection = connection_to(server_);
  auto exchanging = exchange(
      connection,
      protocol::http::write_get(protocol::poll_path(listener_.last_sequence(), 0), to_string(server_)),
      std::max(options_.response_grace, options_.late_response_grace));
  const std::optional<protocol::http::Response> response = co_await exchanging;
  connection->close(ConnectionEnd::kDropped);
  if (!response || response->status != kStatusOk) {
    co_return 0;
  }
  const nlohmann::json page = nlohmann::json::parse(response->body, nullptr, false);
  const bool has_sequence = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned();
  co_return has_sequence ? page["rev"].get<std::uint64_t>() : 0;
}

// ---- Log ----

// Logs when the service becomes unreachable and when it is reachable again, not each failed call.
void DiscoveryClient::log_outcome(const CallOutcome& outcome, const std::optional<std::string>& relay) {
  counts_.failed += outcome.ok() ? 0 : 1;
  counts_.rejected += outcome.result == PollResult::kRejected ? 1 : 0;
  if (relay) {
    if (!outcome.ok()) {
      log_line(Level::kInfo) << "relay " << *relay << ": " << outcome.error;
    }
    return;
  }
  const int failures = poll_scheduler_.consecutive_failures();
  if (outcome.ok() && failures > 0) {
    log_line(Level::kInfo) << "discovery service " << to_string(server_) << " is reachable again after "
                           << failures << " failed calls";
  } else if (!outcome.ok() && failures == 0) {
    log_line(Level::kDebug) << "discovery service " << to_string(server_) << ": " << outcome.error;
  } else if (!outcome.ok() && failures == 1) {
    log_line(Level::kWarning) << "discovery service " << to_string(server_)
                              << " is unreachable: " << outcome.error;
  }
}

}  // namespace trailcourse::routing
