#include "coordination/registry.h"

#include <algorithm>
#include <utility>

#include "transport/accept_loop.h"
#include "transport/log.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kBacklog = 1'024;
constexpr std::size_t kMostBody = 4U << 20U;
constexpr milliseconds kAcceptPause{20};
constexpr milliseconds kHeartbeat{3'000};

std::string chunk(const std::string& line) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

Limits limits_of(const RegistryOptions& options) {
  Limits limits;
  limits.entries = static_cast<std::size_t>(options.entries);
  limits.history = static_cast<std::size_t>(options.history);
  return limits;
}

const char* reason_of(int status) {
  return status == 200   ? "OK"
         : status == 400 ? "Bad Request"
         : status == 404 ? "Not Found"
                         : "Service Unavailable";
}

}  // namespace

// One connection: calls one after the other, or one watch to its end.
class Registry::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(Registry& registry, const std::shared_ptr<Connection>& connection)
      : registry_(registry), connection_(connection), parser_({8'192, kMostBody}) {}

  void on_bytes(std::string_view bytes) override {
    if (watching_) {
      return;  // nothing more is to be said on it
    }
    parser_.feed(bytes);
    while (!watching_) {
      const std::optional<protocol::http::Request> request = parser_.take();
      if (!request) {
        break;
      }
      take(*request);
    }
    if (parser_.failed()) {
      write(400, etcd::write_error(etcd::Code::kInvalidArgument, parser_.why()));
      connection_.close_when_written();
    }
  }
  void on_end(ConnectionEnd) override { registry_.sessions_.erase(shared_from_this()); }

  bool watching() const { return watching_; }
  // What is news for its watch.
  void tell(const Ledger& ledger, const etcd::Header& header) {
    etcd::WatchLine line;
    line.header = header;
    try {
      line.changes = ledger.since(from_, range_);
    } catch (const Rejected&) {
      line.canceled = true;
      line.compacted = ledger.compacted();
    }
    from_ = std::max(from_, ledger.revision() + 1);
    if (line.canceled || !line.changes.empty()) {
      connection_.write(chunk(etcd::write_watch_line(line).dump()));
    }
    if (line.canceled) {
      connection_.close_when_written();
    }
  }
  void beat(const etcd::Header& header) {
    etcd::WatchLine line;
    line.header = header;
    connection_.write(chunk(etcd::write_watch_line(line).dump()));
  }
  void close() { connection_.close(ConnectionEnd::kShutdown); }

 private:
  void take(const protocol::http::Request& request) {
    ++registry_.calls_;
    if (request.method != "POST") {
      write(404, etcd::write_error(etcd::Code::kNotFound, "POST alone is served"));
      return;
    }
    try {
      const json body = etcd::parse_object(request.body);
      if (request.path == etcd::kWatchPath) {
        begin_watch(etcd::read_watch(body));
        return;
      }
      const Answer answer = registry_.answer(request.path, body);
      write(answer.status, answer.body);
    } catch (const etcd::BadMessage& error) {
      ++registry_.rejected_;
      write(400, etcd::write_error(etcd::Code::kInvalidArgument, error.what()));
    } catch (const SqliteError& error) {
      log_line(Level::kError) << "a watch cannot begin: " << error.what();
      connection_.close(ConnectionEnd::kBroken);
    }
    if (!request.keep_open) {
      connection_.close_when_written();
    }
  }

  void begin_watch(const etcd::WatchCall& call) {
    watching_ = true;
    range_ = call.range;
    connection_.write(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    registry_.file_.use(LedgerFile::machine_ms(), true, [&](Ledger& ledger) {
      from_ = call.from > 0 ? call.from : ledger.revision() + 1;
      etcd::WatchLine created;
      created.header = registry_.header(ledger);
      created.created = true;
      connection_.write(chunk(etcd::write_watch_line(created).dump()));
      tell(ledger, created.header);
    });
  }

  void write(int status, const json& body) {
    connection_.write(protocol::http::write_response(status, reason_of(status), "", body.dump()));
  }

  Registry& registry_;
  transport::ConnectionHandle connection_;
  protocol::http::RequestParser parser_;
  bool watching_ = false;
  Range range_;
  Revision from_ = 0;
};

Registry::Registry(transport::Scheduler& scheduler, const RegistryOptions& options)
    : scheduler_(scheduler),
      options_(options),
      file_(options.folder, limits_of(options), LedgerFile::Sharing::kAlone),
      timer_(scheduler, [this] { end_leases(); }) {}

Registry::~Registry() {
  for (const std::shared_ptr<Session>& session : std::exchange(sessions_, {})) {
    session->close();
  }
}

void Registry::listen(const transport::Address& address) {
  listener_ = transport::listen_or_throw(address, kBacklog);
  watch_ = std::make_unique<transport::Watch>(scheduler_, listener_.get());
  scheduler_.spawn(
      transport::accept_loop(scheduler_, listener_.get(), *watch_, kAcceptPause,
                             [this](transport::Descriptor socket) { take_in(std::move(socket)); }));
  scheduler_.spawn(heartbeat());
  end_leases();
}

void Registry::take_in(transport::Descriptor socket) {
  if (sessions_.size() >= static_cast<std::size_t>(options_.connections)) {
    ++refused_;
    return;  // closed at once
  }
  const auto connection = Connection::adopt(scheduler_, std::move(socket), {});
  const auto session = std::make_shared<Session>(*this, connection);
  sessions_.insert(session);
  connection->start(session);
}

// So that whoever watches can tell a quiet store from a dead connection.
transport::Task<void> Registry::heartbeat() {
  for (;;) {
    co_await scheduler_.sleep(kHeartbeat);
    beat();
  }
}

void Registry::beat() {
  try {
    file_.use(LedgerFile::machine_ms(), true, [this](Ledger& ledger) {
      const auto sessions = sessions_;
      for (const std::shared_ptr<Session>& session : sessions) {
        if (session->watching()) {
          session->beat(header(ledger));
        }
      }
    });
  } catch (const SqliteError& error) {
    log_line(Level::kError) << "the ledger cannot be read: " << error.what();
  }
}

Registry::Answer Registry::answer(const std::string& path, const json& body) {
  Answer out;
  const bool renewal = path == etcd::kKeepAlivePath;
  ++(renewal ? renewals_ : writes_);
  try {
    file_.use(LedgerFile::machine_ms(), !renewal, [&](Ledger& ledger) {
      const std::int64_t now = LedgerFile::machine_ms();
      if (path == etcd::kTxnPath) {
        const Transaction asked = etcd::read_transaction(body);
        const Outcome outcome = ledger.commit(asked);
        out.body = etcd::write_outcome(header(ledger), asked, outcome);
      } else if (path == etcd::kRangePath) {
        out.body = etcd::write_entries(header(ledger), ledger.get(etcd::read_range(body)));
      } else if (path == etcd::kPutPath) {
        ledger.commit(Transaction{{}, {etcd::read_put(body)}, {}});
        out.body = {{"header", etcd::write_header(header(ledger))}};
      } else if (path == etcd::kDeletePath) {
        const Outcome outcome = ledger.commit(Transaction{{}, {Delete{etcd::read_range(body)}}, {}});
        out.body = {{"header", etcd::write_header(header(ledger))},
                    {"deleted", std::to_string(outcome.steps.at(0).deleted)}};
      } else if (path == etcd::kGrantPath) {
        const etcd::GrantCall call = etcd::read_grant(body);
        const std::int64_t ttl_ms = call.ttl_ms > 0 ? call.ttl_ms : call.ttl_s * 1'000;
        const LeaseId id = ledger.grant(now, ttl_ms, call.id);
        out.body = etcd::write_granted(header(ledger), {id, ttl_ms});
      } else if (renewal) {
        const LeaseId id = etcd::read_lease(body);
        out.body = {{"result", etcd::write_granted(header(ledger), {id, ledger.keep_alive(now, id)})}};
      } else if (path == etcd::kRevokePath) {
        ledger.revoke(etcd::read_lease(body));
        out.body = {{"header", etcd::write_header(header(ledger))}};
      } else if (path == etcd::kCompactPath) {
        const auto text = body.value("revision", std::string());
        ledger.compact(text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10) + 1);
        out.body = {{"header", etcd::write_header(header(ledger))}};
      } else {
        out.status = 404;
        out.body = etcd::write_error(etcd::Code::kNotFound, "no such call: " + path);
      }
    });
  } catch (const Rejected& error) {
    ++rejected_;
    const bool none = error.why() == Rejected::Why::kNoLease;
    const bool compacted = error.why() == Rejected::Why::kCompacted;
    out.status = none ? 404 : 400;
    out.body = etcd::write_error(none        ? etcd::Code::kNotFound
                                 : compacted ? etcd::Code::kOutOfRange
                                             : etcd::Code::kInvalidArgument,
                                 std::string("etcdserver: ") + error.what());
  } catch (const SqliteError& error) {
    log_line(Level::kError) << "nothing was kept: " << error.what();
    out.status = 503;
    out.body = etcd::write_error(etcd::Code::kUnavailable, "the registry cannot write");
  }
  end_leases();
  return out;
}

void Registry::tell() {
  std::optional<std::int64_t> next;
  file_.use(LedgerFile::machine_ms(), true, [&](Ledger& ledger) {
    const auto sessions = sessions_;
    for (const std::shared_ptr<Session>& session : sessions) {
      if (session->watching()) {
        session->tell(ledger, header(ledger));
      }
    }
    next = ledger.next_expiry();
  });
  std::optional<Clock::time_point> when;
  if (next) {
    when.emplace(Clock::now() + milliseconds(std::max<std::int64_t>(1, *next - LedgerFile::machine_ms())));
  }
  timer_.set(when);
}

void Registry::end_leases() {
  try {
    tell();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "leases that are over stay for now: " << error.what();
    timer_.set(Clock::now() + milliseconds(200));
  }
}

std::string Registry::report() {
  std::string out;
  file_.use(LedgerFile::machine_ms(), true, [&](Ledger& ledger) {
    out = "revision=" + std::to_string(ledger.revision()) +
          " entries=" + std::to_string(ledger.entries().size()) +
          " leases=" + std::to_string(ledger.leases().size()) + " calls=" + std::to_string(calls_) +
          " renewals=" + std::to_string(renewals_) + " writes=" + std::to_string(writes_) +
          " rejected=" + std::to_string(rejected_) + " refused=" + std::to_string(refused_) +
          " connections=" + std::to_string(sessions_.size());
  });
  return out;
}

}  // namespace trailcourse::coordination
