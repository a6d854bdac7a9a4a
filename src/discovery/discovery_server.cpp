#include "discovery/discovery_server.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/http_request.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::board {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr std::size_t kMostRequest = 8'192;
constexpr std::size_t kMostNotice = 65'536;
constexpr std::size_t kMostAhead = kMostRequest + kMostNotice;  // read while a call is held
constexpr std::size_t kOverflow = 256;  // connections beyond the bound that are told when to come back
constexpr milliseconds kAcceptPause{50};
constexpr std::int64_t kOverflowRetryMs = 1'000;

// The number behind `name=` in a query; nothing where there is none.
std::optional<std::uint64_t> query_number(std::string_view line, std::string_view name) {
  const std::size_t at = line.find(name);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = line.substr(at + name.size());
  return protocol::read_number<std::uint64_t>(rest.substr(0, rest.find_first_not_of("0123456789")));
}

}  // namespace

// One connection: a call at a time.
class PageServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(PageServer& server, const std::shared_ptr<Connection>& connection, bool beyond)
      : server_(server), connection_(connection), beyond_(beyond), parser_({kMostRequest, kMostNotice}) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes);
    take();
    if (parser_.failed() || parser_.ahead() > kMostAhead) {
      connection_.close(ConnectionEnd::kMalformed);
    }
  }
  void on_end(ConnectionEnd) override {
    if (call_ != 0) {
      server_.core_.gone(call_);
      server_.calls_.erase(call_);
    }
    server_.sessions_.erase(shared_from_this());
  }

  void page() {
    const PageLog::Page body = server_.log_.later_than(watch_);
    call_ = 0;
    respond("200 OK", server_.answering_.headers(), *body);
    take();
  }
  void send_away(std::int64_t retry_after_ms) {
    const std::int64_t seconds = std::max<std::int64_t>(1, (retry_after_ms + 999) / 1'000);
    call_ = 0;
    respond("503 Service Unavailable", "Retry-After: " + std::to_string(seconds) + "\r\n", "{}");
    if (!beyond_) {
      take();
    }
  }

  void hold(CallNumber call) { call_ = call; }
  bool idle_since(Clock::time_point before) const {
    return call_ == 0 && connection_.last_received() < before && connection_.waiting() == 0;
  }
  void close(ConnectionEnd end) { connection_.close(end); }

 private:
  void take() {
    if (call_ != 0 || connection_.ended()) {
      return;
    }
    const std::optional<protocol::http::Request> request = parser_.take();
    if (!request) {
      return;
    }
    if (request->method == "POST" && request->path == "/board/notice" && server_.answering_.post &&
        !beyond_) {
      const auto [status, body] = server_.answering_.post(request->body);
      respond(status == 200   ? "200 OK"
              : status == 409 ? "409 Conflict"
                              : "503 Service Unavailable",
              "", body);
      return;
    }
    const std::string& line = request->path;
    const auto watch = query_number(line, "watch=");
    if (request->method != "GET" || !line.starts_with("/board/poll?") || !watch) {
      respond("404 Not Found", "", "{}");
      return;
    }
    watch_ = *watch;
    if (beyond_) {
      send_away(kOverflowRetryMs);
      connection_.close_when_written();
      return;
    }
    const auto linger = std::min<std::uint64_t>(query_number(line, "linger=").value_or(0), 3'600'000);
    server_.call(*this, watch_, static_cast<std::int64_t>(linger));
  }
  void respond(const char* status, const std::string& headers, const std::string& body) {
    connection_.write(std::string("HTTP/1.1 ") + status + "\r\nContent-Type: application/json\r\n" + headers +
                      (beyond_ ? "Connection: close\r\n" : "") +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  PageServer& server_;
  transport::ConnectionHandle connection_;
  bool beyond_;
  protocol::http::RequestParser parser_;
  std::uint64_t watch_ = 0;
  CallNumber call_ = 0;  // held
};

PageServer::PageServer(transport::Scheduler& scheduler, PageLog& log, const CoreRules& rules,
                       const Bounds& bounds, Answering answering, std::uint64_t seed)
    : scheduler_(scheduler),
      log_(log),
      bounds_(bounds),
      answering_(std::move(answering)),
      core_(rules, seed),
      timer_(scheduler, [this] { tell_due(); }) {}

PageServer::~PageServer() = default;

std::int64_t PageServer::now_ms() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

void PageServer::listen(const transport::Address& address) {
  listener_.emplace(scheduler_, address, bounds_.backlog, kAcceptPause,
                    [this](transport::Descriptor socket) { take_in(std::move(socket)); });
  scheduler_.spawn(reap());
}

void PageServer::take_in(transport::Descriptor socket) {
  const bool beyond = sessions_.size() >= bounds_.connections;
  if (sessions_.size() >= bounds_.connections + kOverflow) {
    return;  // closed at once
  }
  const auto connection = Connection::adopt(scheduler_, std::move(socket), bounds_.connection);
  const auto session = std::make_shared<Session>(*this, connection, beyond);
  sessions_.insert(session);
  connection->start(session);
}

transport::Task<void> PageServer::reap() {
  for (;;) {
    co_await scheduler_.sleep(bounds_.idle / 4);
    const Clock::time_point before = Clock::now() - bounds_.idle;
    const auto sessions = sessions_;
    for (const std::shared_ptr<Session>& session : sessions) {
      if (session->idle_since(before)) {
        session->close(ConnectionEnd::kIdle);
      }
    }
  }
}

void PageServer::call(Session& session, std::uint64_t watch, std::int64_t linger_ms) {
  if (const std::optional<std::int64_t> wait = answering_.refuse()) {
    session.send_away(*wait);
    return;
  }
  const CallNumber number = ++last_call_;
  const Decision decision = core_.call(now_ms(), number, watch, linger_ms, log_.last());
  switch (decision.verdict) {
    case Verdict::kAnswer:
      session.page();
      break;
    case Verdict::kSendAway:
      session.send_away(decision.retry_after_ms);
      break;
    case Verdict::kHold:
      session.hold(number);
      calls_[number] = &session;
      set_timer();
      break;
  }
}

void PageServer::published() {
  core_.published(now_ms());
  tell_due();
}

void PageServer::let_go() {
  const auto calls = std::exchange(calls_, {});
  for (const auto& [number, session] : calls) {
    core_.gone(number);
    session->send_away(answering_.refuse().value_or(1));
  }
}

void PageServer::tell_due() {
  for (const CallNumber call : core_.due(now_ms())) {
    if (const auto found = calls_.find(call); found != calls_.end()) {
      Session* session = found->second;
      calls_.erase(found);
      session->page();
    }
  }
  set_timer();
}

void PageServer::set_timer() {
  const std::optional<std::int64_t> due = core_.next_due();
  std::optional<Clock::time_point> when;
  if (due) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(milliseconds(*due)));
  }
  timer_.set(when);
}

void PageServer::close_all() {
  const auto sessions = sessions_;
  for (const std::shared_ptr<Session>& session : sessions) {
    session->close(ConnectionEnd::kShutdown);
  }
}

}  // namespace trailcourse::board
