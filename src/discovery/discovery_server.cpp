#include "discovery/discovery_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "protocol/http_request.h"
#include "protocol/numbers.h"

namespace trailcourse::discovery {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr std::size_t kMaxRequestHead = 8'192;
constexpr std::size_t kMaxRequestBody = 65'536;
constexpr std::size_t kMaxReadAhead = kMaxRequestHead + kMaxRequestBody;  // bytes, while a poll is held
constexpr std::size_t kOverflowConnections = 256;  // above the limit; each gets a Retry-After, then closes
constexpr milliseconds kAcceptBackoff{50};
constexpr milliseconds kOverflowRetryAfter{1'000};
constexpr milliseconds kMaxRequestedTimeout{3'600'000};
constexpr int kChecksPerIdleTimeout = 4;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

const char* status_line(int status) {
  switch (status) {
    case kOk:
      return "200 OK";
    case kNotFound:
      return "404 Not Found";
    case kConflict:
      return "409 Conflict";
    default:
      return "503 Service Unavailable";
  }
}

// Returns the number that follows `name` in a query, or nothing where there is none.
std::optional<std::uint64_t> query_number(std::string_view path, std::string_view name) {
  const std::size_t at = path.find(name);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = path.substr(at + name.size());
  return protocol::read_number<std::uint64_t>(rest.substr(0, rest.find_first_not_of("0123456789")));
}

// The parameters of a poll: the last sequence number that the client has, and how long the poll may be held.
struct PollRequest {
  std::uint64_t known_sequence = 0;
  milliseconds timeout{0};
};

// Returns nothing where the request is not a poll.
std::optional<PollRequest> parse_poll(const protocol::http::Request& request) {
  const auto known_sequence = query_number(request.path, "watch=");
  if (request.method != "GET" || !request.path.starts_with("/board/poll?") || !known_sequence) {
    return std::nullopt;
  }
  const std::uint64_t timeout_ms = query_number(request.path, "linger=").value_or(0);
  const auto max_ms = static_cast<std::uint64_t>(kMaxRequestedTimeout.count());
  return PollRequest{*known_sequence, milliseconds(std::min(timeout_ms, max_ms))};
}

milliseconds steady_now() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch());
}

}  // namespace

// One connection, which handles one request at a time. An overflow session is above the limit on connections:
// its first poll is rejected, and the connection is closed.
class DiscoveryServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(DiscoveryServer& server, const std::shared_ptr<Connection>& connection, bool is_overflow)
      : server_(server),
        connection_(connection),
        is_overflow_(is_overflow),
        parser_({kMaxRequestHead, kMaxRequestBody}) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes);
    handle_next_request();
    if (parser_.failed() || parser_.buffered_bytes() > kMaxReadAhead) {
      connection_.close(ConnectionEnd::kMalformed);
    }
  }

  void on_end(ConnectionEnd) override {
    if (held_poll_) {
      server_.long_polls_.on_disconnected(*held_poll_);
      server_.held_.erase(*held_poll_);
    }
    server_.sessions_.erase(shared_from_this());
  }

  void answer_poll() {
    const EventLog::Page page = server_.log_.page_after(known_sequence_);
    held_poll_.reset();
    respond(kOk, server_.handlers_.page_headers(), *page);
    handle_next_request();
  }

  void reject_poll(milliseconds retry_after) {
    const std::int64_t whole_seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    const std::string seconds = std::to_string(std::max<std::int64_t>(1, whole_seconds));
    held_poll_.reset();
    respond(kUnavailable, "Retry-After: " + seconds + "\r\n", "{}");
    if (!is_overflow_) {
      handle_next_request();
    }
  }

  void hold(PollId poll) { held_poll_ = poll; }

  bool is_idle_since(Clock::time_point time) const {
    return !held_poll_ && connection_.last_received() < time && connection_.unsent_bytes() == 0;
  }

  void close(ConnectionEnd end) { connection_.close(end); }

 private:
  void handle_next_request() {
    if (held_poll_ || connection_.ended()) {
      return;
    }
    const std::optional<protocol::http::Request> request = parser_.take();
    if (!request) {
      return;
    }
    const bool is_publication = request->method == "POST" && request->path == "/board/notice";
    if (is_publication && server_.handlers_.publish && !is_overflow_) {
      const PublishResponse response = server_.handlers_.publish(request->body);
      respond(response.status, "", response.body);
      return;
    }
    const std::optional<PollRequest> poll = parse_poll(*request);
    if (!poll) {
      respond(kNotFound, "", "{}");
      return;
    }
    handle_poll(*poll);
  }

  void handle_poll(const PollRequest& poll) {
    known_sequence_ = poll.known_sequence;
    if (is_overflow_) {
      reject_poll(kOverflowRetryAfter);
      connection_.close_when_written();
      return;
    }
    server_.on_poll(*this, poll.known_sequence, poll.timeout);
  }

  void respond(int status, const std::string& headers, const std::string& body) {
    connection_.write(std::string("HTTP/1.1 ") + status_line(status) +
                      "\r\nContent-Type: application/json\r\n" + headers +
                      (is_overflow_ ? "Connection: close\r\n" : "") +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  DiscoveryServer& server_;
  transport::ConnectionHandle connection_;
  bool is_overflow_;
  protocol::http::RequestParser parser_;
  std::uint64_t known_sequence_ = 0;
  std::optional<PollId> held_poll_;
};

DiscoveryServer::DiscoveryServer(transport::Scheduler& scheduler, EventLog& log,
                                 const LongPollOptions& options, const Limits& limits, Handlers handlers,
                                 std::uint64_t seed)
    : scheduler_(scheduler),
      log_(log),
      limits_(limits),
      handlers_(std::move(handlers)),
      long_polls_(options, seed),
      timer_(scheduler, [this] { answer_due_polls(); }) {
  limits_.connection.end_on_hang_up = true;
}

DiscoveryServer::~DiscoveryServer() = default;

void DiscoveryServer::listen(const transport::Address& address) {
  listener_.emplace(scheduler_, address, limits_.backlog, kAcceptBackoff,
                    [this](transport::Descriptor socket) { accept(std::move(socket)); });
  scheduler_.spawn(close_idle_sessions());
}

void DiscoveryServer::accept(transport::Descriptor socket) {
  if (sessions_.size() >= limits_.connections + kOverflowConnections) {
    return;  // the destructor of `socket` closes the connection
  }
  const bool is_overflow = sessions_.size() >= limits_.connections;
  const auto connection = Connection::adopt(scheduler_, std::move(socket), limits_.connection);
  const auto session = std::make_shared<Session>(*this, connection, is_overflow);
  sessions_.insert(session);
  connection->start(session);
}

transport::Task<void> DiscoveryServer::close_idle_sessions() {
  for (;;) {
    co_await scheduler_.sleep(limits_.idle / kChecksPerIdleTimeout);
    const Clock::time_point idle_since = Clock::now() - limits_.idle;
    const auto sessions = sessions_;
    for (const std::shared_ptr<Session>& session : sessions) {
      if (session->is_idle_since(idle_since)) {
        session->close(ConnectionEnd::kIdle);
      }
    }
  }
}

void DiscoveryServer::on_poll(Session& session, std::uint64_t known_sequence, milliseconds timeout) {
  if (const std::optional<milliseconds> retry_after = handlers_.rejection()) {
    session.reject_poll(*retry_after);
    return;
  }
  const PollId poll = ++last_poll_;
  const PollDecision decision =
      long_polls_.on_poll(steady_now(), poll, known_sequence, timeout, log_.last_sequence());
  switch (decision.kind) {
    case PollDecisionKind::kAnswer:
      session.answer_poll();
      break;
    case PollDecisionKind::kReject:
      session.reject_poll(decision.retry_after);
      break;
    case PollDecisionKind::kHold:
      session.hold(poll);
      held_[poll] = &session;
      set_timer();
      break;
  }
}

void DiscoveryServer::on_published() {
  long_polls_.on_published(steady_now());
  answer_due_polls();
}

void DiscoveryServer::reject_held_polls() {
  constexpr milliseconds kMinRetryAfter{1};
  const auto held = std::exchange(held_, {});
  for (const auto& [poll, session] : held) {
    long_polls_.on_disconnected(poll);
    session->reject_poll(handlers_.rejection().value_or(kMinRetryAfter));
  }
}

void DiscoveryServer::answer_due_polls() {
  for (const PollId poll : long_polls_.step(steady_now())) {
    if (const auto found = held_.find(poll); found != held_.end()) {
      Session* session = found->second;
      held_.erase(found);
      session->answer_poll();
    }
  }
  set_timer();
}

void DiscoveryServer::set_timer() {
  std::optional<Clock::time_point> when;
  if (const std::optional<milliseconds> next = long_polls_.next_step_at()) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(*next));
  }
  timer_.set(when);
}

void DiscoveryServer::close_all() {
  const auto sessions = sessions_;
  for (const std::shared_ptr<Session>& session : sessions) {
    session->close(ConnectionEnd::kShutdown);
  }
}

}  // namespace trailcourse::discovery
