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
constexpr std::size_t kMaxHeadBytes = 8'192;
constexpr std::size_t kMaxBodyBytes = 4U << 20U;
constexpr milliseconds kAcceptBackoff{20};
constexpr milliseconds kHeartbeatInterval{3'000};
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

// Returns the line as one chunk of a chunked HTTP body.
std::string chunk(const std::string& line) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

std::string chunk(const etcd::WatchResponse& response) {
  return chunk(etcd::write_watch_response(response).dump());
}

const char* reason_phrase(int status) {
  switch (status) {
    case kStatusOk:
      return "OK";
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusNotFound:
      return "Not Found";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

// The updates of watches at one revision. Watches that follow the same range from the same revision share one
// serialized update.
class EtcdServer::UpdateCache {
 public:
  struct Update {
    Range range;
    Revision from = 0;
    std::string bytes;        // to send; empty: nothing has changed
    bool ends_watch = false;  // changes that the watch has not received yet were compacted
  };

  UpdateCache(const KeyValueState& state, const etcd::ResponseHeader& header)
      : state_(state), header_(header) {}

  const Update& update(const Range& range, Revision from) {
    const auto found = std::find_if(updates_.begin(), updates_.end(), [&](const Update& update) {
      return update.from == from && update.range == range;
    });
    return found != updates_.end() ? *found : updates_.emplace_back(make(range, from));
  }
  Revision next_revision() const { return state_.revision() + 1; }

 private:
  Update make(const Range& range, Revision from) const {
    Update out{range, from, {}, false};
    etcd::WatchResponse response;
    response.header = header_;
    try {
      response.changes = state_.changes_since(from, range);
    } catch (const OperationRejected&) {
      response.canceled = true;
      response.compacted = state_.compacted();
    }
    out.ends_watch = response.canceled;
    if (response.canceled || !response.changes.empty()) {
      out.bytes = chunk(response);
    }
    return out;
  }

  const KeyValueState& state_;
  etcd::ResponseHeader header_;
  std::vector<Update> updates_;
};

// A client connection. It serves calls one after the other. After a watch request it only serves the watch.
class EtcdServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(EtcdServer& server, const std::shared_ptr<Connection>& connection)
      : server_(server),
        alive_(server.alive_),
        connection_(connection),
        parser_({kMaxHeadBytes, kMaxBodyBytes}) {}

  void on_bytes(std::string_view bytes) override {
    if (!*alive_ || watching_) {
      return;  // requests on the connection of a watch are ignored
    }
    server_.counts_.bytes_read += bytes.size();
    parser_.feed(bytes);
    while (!watching_) {
      const std::optional<protocol::http::Request> request = parser_.take();
      if (!request) {
        break;
      }
      handle(*request);
    }
    if (parser_.failed()) {
      send_error(kStatusBadRequest, etcd::ErrorCode::kInvalidArgument, parser_.error());
      connection_.close_when_written();
    }
  }
  void on_end(ConnectionEnd) override {
    if (*alive_) {
      server_.sessions_.erase(shared_from_this());
    }
  }

  bool watching() const { return watching_; }
  void send_update(UpdateCache& cache) {
    const UpdateCache::Update& update = cache.update(range_, next_revision_);
    next_revision_ = std::max(next_revision_, cache.next_revision());
    if (!update.bytes.empty()) {
      send(update.bytes);
    }
    if (update.ends_watch) {
      connection_.close_when_written();
    }
  }
  void send(std::string bytes) {
    server_.counts_.bytes_written += bytes.size();
    connection_.write(std::move(bytes));
  }
  void close() { connection_.close(ConnectionEnd::kShutdown); }

 private:
  void handle(const protocol::http::Request& request) {
    ++server_.counts_.calls;
    try {
      dispatch(request);
    } catch (const etcd::BadMessage& error) {
      ++server_.counts_.invalid_calls;
      send_error(kStatusBadRequest, etcd::ErrorCode::kInvalidArgument, error.what());
    } catch (const ServiceUnavailable& error) {
      send_error(kStatusUnavailable, etcd::ErrorCode::kUnavailable, error.what());
    }
    if (!request.keep_open && !watching_) {
      connection_.close_when_written();
    }
  }

  void dispatch(const protocol::http::Request& request) {
    if (request.method == "POST") {
      handle_post(request);
      return;
    }
    const std::optional<EtcdService::Response> page =
        request.method == "GET" ? server_.service_.handle_get(request.path) : std::nullopt;
    if (page) {
      send_response(*page);
    } else {
      send_error(kStatusNotFound, etcd::ErrorCode::kNotFound, "only POST is supported");
    }
  }

  void handle_post(const protocol::http::Request& request) {
    const json body = etcd::parse_object(request.body);
    if (request.path == etcd::kWatchPath) {
      start_watch(etcd::read_watch_request(body));
    } else {
      send_response(server_.service_.handle(request.path, body));
    }
  }

  void start_watch(const etcd::WatchRequest& request) {
    server_.service_.read_state([&](const KeyValueState& state, const etcd::ResponseHeader& header) {
      watching_ = true;
      range_ = request.range;
      next_revision_ = request.start_revision > 0 ? request.start_revision : state.revision() + 1;
      send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      etcd::WatchResponse created;
      created.header = header;
      created.created = true;
      send(chunk(created));
      UpdateCache cache(state, header);
      send_update(cache);
    });
  }

  void send_response(const EtcdService::Response& response) {
    send(protocol::http::write_response(response.status, reason_phrase(response.status), "",
                                        response.body.dump()));
  }
  void send_error(int status, etcd::ErrorCode code, const std::string& text) {
    send_response(EtcdService::Response{status, etcd::write_error(code, text)});
  }

  EtcdServer& server_;
  std::shared_ptr<bool> alive_;  // false once the server is destroyed, maybe before on_end()
  transport::ConnectionHandle connection_;
  protocol::http::RequestParser parser_;
  bool watching_ = false;
  Range range_;
  Revision next_revision_ = 0;  // of the watch: all changes before it were sent
};

EtcdServer::EtcdServer(transport::Scheduler& scheduler, EtcdService& service, std::size_t max_connections)
    : scheduler_(scheduler), service_(service), max_connections_(max_connections) {}

EtcdServer::~EtcdServer() {
  *alive_ = false;
  for (const std::shared_ptr<Session>& session : std::exchange(sessions_, {})) {
    session->close();
  }
}

void EtcdServer::listen(const transport::Address& address) {
  listener_.emplace(scheduler_, address, kBacklog, kAcceptBackoff,
                    [this](transport::Descriptor socket) { accept(std::move(socket)); });
  scheduler_.spawn(run_heartbeat());
}

void EtcdServer::accept(transport::Descriptor socket) {
  if (sessions_.size() >= max_connections_) {
    ++counts_.refused;
    return;  // the destructor closes the socket
  }
  Connection::Bounds bounds;
  bounds.end_on_hang_up = true;
  const auto connection = Connection::adopt(scheduler_, std::move(socket), bounds);
  const auto session = std::make_shared<Session>(*this, connection);
  sessions_.insert(session);
  connection->start(session);
}

// Heartbeats let a client distinguish a store without changes from a dead connection.
transport::Task<void> EtcdServer::run_heartbeat() {
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  for (;;) {
    co_await scheduler.sleep(kHeartbeatInterval);
    if (!*alive) {
      co_return;
    }
    send_heartbeats();
  }
}

void EtcdServer::send_heartbeats() {
  try {
    service_.read_state([this](const KeyValueState&, const etcd::ResponseHeader& header) {
      etcd::WatchResponse heartbeat;
      heartbeat.header = header;
      const std::string bytes = chunk(heartbeat);
      const auto sessions = sessions_;
      for (const std::shared_ptr<Session>& session : sessions) {
        if (session->watching()) {
          session->send(bytes);
        }
      }
    });
  } catch (const ServiceUnavailable& error) {
    log_line(Level::kError) << "cannot send heartbeats to watches: " << error.what();
  }
}

void EtcdServer::publish(const KeyValueState& state, const etcd::ResponseHeader& header) {
  if (state.revision() == published_) {
    return;
  }
  published_ = state.revision();
  UpdateCache cache(state, header);
  const auto sessions = sessions_;
  for (const std::shared_ptr<Session>& session : sessions) {
    if (session->watching()) {
      session->send_update(cache);
    }
  }
}

}  // namespace trailcourse::coordination
