#include "coordination/etcd_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/http_request.h"
#include "transport/connection.h"
#include "transport/log.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kBacklog = 1'024;
constexpr std::size_t kMostHead = 8'192;
constexpr std::size_t kMostBody = 4U << 20U;
constexpr milliseconds kAcceptPause{20};
constexpr milliseconds kHeartbeat{3'000};
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string chunk(const std::string& line) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

std::string chunk(const etcd::WatchResponse& line) { return chunk(etcd::write_watch_response(line).dump()); }

const char* reason_of(int status) {
  return status == 200           ? "OK"
         : status == kBadRequest ? "Bad Request"
         : status == kNotFound   ? "Not Found"
                                 : "Service Unavailable";
}

}  // namespace

// What is new for watches at one revision: written once for all that follow the same range from the same
// place.
class EtcdServer::News {
 public:
  struct Piece {
    Range range;
    Revision from = 0;
    std::string bytes;  // empty: nothing is new
    bool last = false;  // the watch ends with it
  };

  News(const KeyValueState& ledger, const etcd::ResponseHeader& header) : ledger_(ledger), header_(header) {}

  const Piece& piece(const Range& range, Revision from) {
    const auto found = std::find_if(pieces_.begin(), pieces_.end(),
                                    [&](const Piece& one) { return one.from == from && one.range == range; });
    return found != pieces_.end() ? *found : pieces_.emplace_back(make(range, from));
  }
  Revision next() const { return ledger_.revision() + 1; }

 private:
  Piece make(const Range& range, Revision from) const {
    Piece out{range, from, {}, false};
    etcd::WatchResponse line;
    line.header = header_;
    try {
      line.changes = ledger_.changes_since(from, range);
    } catch (const OperationRejected&) {
      line.canceled = true;
      line.compacted = ledger_.compacted();
    }
    out.last = line.canceled;
    if (line.canceled || !line.changes.empty()) {
      out.bytes = chunk(line);
    }
    return out;
  }

  const KeyValueState& ledger_;
  etcd::ResponseHeader header_;
  std::vector<Piece> pieces_;
};

// One connection: calls one after the other, or one watch to its end.
class EtcdServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(EtcdServer& server, const std::shared_ptr<Connection>& connection)
      : server_(server), alive_(server.alive_), connection_(connection), parser_({kMostHead, kMostBody}) {}

  void on_bytes(std::string_view bytes) override {
    if (!*alive_ || watching_) {
      return;  // nothing more is to be said on it
    }
    server_.counts_.bytes_read += bytes.size();
    parser_.feed(bytes);
    while (!watching_) {
      const std::optional<protocol::http::Request> request = parser_.take();
      if (!request) {
        break;
      }
      take(*request);
    }
    if (parser_.failed()) {
      refuse(kBadRequest, etcd::ErrorCode::kInvalidArgument, parser_.why());
      connection_.close_when_written();
    }
  }
  void on_end(ConnectionEnd) override {
    if (*alive_) {
      server_.sessions_.erase(shared_from_this());
    }
  }

  bool watching() const { return watching_; }
  void tell(News& news) {
    const News::Piece& piece = news.piece(range_, from_);
    from_ = std::max(from_, news.next());
    if (!piece.bytes.empty()) {
      send(piece.bytes);
    }
    if (piece.last) {
      connection_.close_when_written();
    }
  }
  void send(std::string bytes) {
    server_.counts_.bytes_written += bytes.size();
    connection_.write(std::move(bytes));
  }
  void close() { connection_.close(ConnectionEnd::kShutdown); }

 private:
  void take(const protocol::http::Request& request) {
    ++server_.counts_.calls;
    try {
      if (request.method == "POST") {
        post(request);
      } else if (const auto page =
                     request.method == "GET" ? server_.service_.handle_get(request.path) : std::nullopt) {
        write(*page);
      } else {
        refuse(kNotFound, etcd::ErrorCode::kNotFound, "POST alone is served");
      }
    } catch (const etcd::BadMessage& error) {
      ++server_.counts_.unreadable;
      refuse(kBadRequest, etcd::ErrorCode::kInvalidArgument, error.what());
    } catch (const ServiceUnavailable& error) {
      refuse(kUnavailable, etcd::ErrorCode::kUnavailable, error.what());
    }
    if (!request.keep_open && !watching_) {
      connection_.close_when_written();
    }
  }

  void post(const protocol::http::Request& request) {
    const json body = etcd::parse_object(request.body);
    if (request.path == etcd::kWatchPath) {
      begin_watch(etcd::read_watch_request(body));
    } else {
      write(server_.service_.handle(request.path, body));
    }
  }

  void begin_watch(const etcd::WatchRequest& call) {
    server_.service_.read_state([&](const KeyValueState& ledger, const etcd::ResponseHeader& header) {
      watching_ = true;
      range_ = call.range;
      from_ = call.from > 0 ? call.from : ledger.revision() + 1;
      send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      etcd::WatchResponse created;
      created.header = header;
      created.created = true;
      send(chunk(created));
      News news(ledger, header);
      tell(news);
    });
  }

  void write(const EtcdService::Response& answer) {
    send(protocol::http::write_response(answer.status, reason_of(answer.status), "", answer.body.dump()));
  }
  void refuse(int status, etcd::ErrorCode code, const std::string& why) {
    write(EtcdService::Response{status, etcd::write_error(code, why)});
  }

  EtcdServer& server_;
  std::shared_ptr<bool> alive_;  // the server's: a connection may end after it
  transport::ConnectionHandle connection_;
  protocol::http::RequestParser parser_;
  bool watching_ = false;
  Range range_;
  Revision from_ = 0;
};

EtcdServer::EtcdServer(transport::Scheduler& scheduler, EtcdService& service, std::size_t most_connections)
    : scheduler_(scheduler), service_(service), most_connections_(most_connections) {}

EtcdServer::~EtcdServer() {
  *alive_ = false;
  for (const std::shared_ptr<Session>& session : std::exchange(sessions_, {})) {
    session->close();
  }
}

void EtcdServer::listen(const transport::Address& address) {
  listener_.emplace(scheduler_, address, kBacklog, kAcceptPause,
                    [this](transport::Descriptor socket) { take_in(std::move(socket)); });
  scheduler_.spawn(heartbeat());
}

void EtcdServer::take_in(transport::Descriptor socket) {
  if (sessions_.size() >= most_connections_) {
    ++counts_.refused;
    return;  // closed at once
  }
  const auto connection = Connection::adopt(scheduler_, std::move(socket), {});
  const auto session = std::make_shared<Session>(*this, connection);
  sessions_.insert(session);
  connection->start(session);
}

// So that whoever watches can tell a quiet store from a dead connection.
transport::Task<void> EtcdServer::heartbeat() {
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  for (;;) {
    co_await scheduler.sleep(kHeartbeat);
    if (!*alive) {
      co_return;
    }
    beat();
  }
}

void EtcdServer::beat() {
  try {
    service_.read_state([this](const KeyValueState&, const etcd::ResponseHeader& header) {
      etcd::WatchResponse line;
      line.header = header;
      const std::string bytes = chunk(line);
      const auto sessions = sessions_;
      for (const std::shared_ptr<Session>& session : sessions) {
        if (session->watching()) {
          session->send(bytes);
        }
      }
    });
  } catch (const ServiceUnavailable& error) {
    log_line(Level::kError) << "watches are told nothing: " << error.what();
  }
}

void EtcdServer::publish(const KeyValueState& ledger, const etcd::ResponseHeader& header) {
  if (ledger.revision() == told_) {
    return;
  }
  told_ = ledger.revision();
  News news(ledger, header);
  const auto sessions = sessions_;
  for (const std::shared_ptr<Session>& session : sessions) {
    if (session->watching()) {
      session->tell(news);
    }
  }
}

}  // namespace trailcourse::coordination
