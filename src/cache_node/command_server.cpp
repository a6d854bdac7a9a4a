#include "cache_node/command_server.h"

#include <cerrno>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "transport/log.h"

namespace trailcourse::cache_node {

using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr int kAcceptsPerTurn = 16;
constexpr std::chrono::milliseconds kAcceptPause{20};
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kServeStrings = 4;
constexpr std::size_t kCommandWithoutBodyStrings = 2;

}  // namespace

class CommandServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(CommandServer& server, const std::shared_ptr<Connection>& connection)
      : server_(server), connection_(connection), parser_(parser_bounds(server.bounds_)) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes, [this](const protocol::resp::Event& event) {
      if (!connection_->ended()) {
        std::visit([this](const auto& one) { on_event(one); }, event);
      }
    });
    if (!parser_.has_partial_message()) {
      last_message_at_ = Clock::now();
    }
  }

  void on_end(ConnectionEnd) override {
    const auto open = std::exchange(open_, {});
    for (const auto& [id, ticket] : open) {
      server_.open_requests_.erase(ticket);
      server_.handler_.cancel(ticket);
    }
    server_.sessions_.erase(shared_from_this());
  }

  void write(std::string bytes) { connection_->write(std::move(bytes)); }
  void remove_request(const std::string& id) { open_.erase(id); }
  bool idle() const { return open_.empty() && connection_->unsent_bytes() == 0; }
  bool has_partial_message() const { return parser_.has_partial_message(); }
  Clock::time_point last_message_at() const { return last_message_at_; }
  Connection& connection() const { return *connection_; }

 private:
  static protocol::resp::Bounds parser_bounds(const Bounds& bounds) {
    protocol::resp::Bounds out;
    out.strings = kServeStrings;
    out.last_bytes = bounds.body_bytes;
    return out;
  }

  void on_event(const protocol::resp::ArrayHead& head) {
    strings_ = head.strings;
    last_string_.clear();
  }
  void on_event(const protocol::resp::ArrayPiece& piece) { last_string_ += piece.bytes; }
  void on_event(const protocol::resp::ParseError& error) { close_malformed(error.reason); }
  void on_event(const protocol::resp::ArrayEnd&) {
    std::vector<std::string> strings = std::exchange(strings_, {});
    strings.push_back(std::exchange(last_string_, {}));
    if (strings.size() < kCommandWithoutBodyStrings || strings[1].empty() ||
        strings[1].size() > kMaxIdBytes) {
      close_malformed("a command without a valid request id");
      return;
    }
    const std::string& command = strings[0];
    if (command == "serve" && strings.size() == kServeStrings) {
      serve(strings[1], strings[2], std::move(strings[3]));
    } else if (command == "cancel" && strings.size() == kCommandWithoutBodyStrings) {
      const auto found = open_.find(strings[1]);
      if (found != open_.end()) {
        const Ticket ticket = found->second;
        open_.erase(found);
        server_.open_requests_.erase(ticket);
        server_.handler_.cancel(ticket);
      }
    } else if ((command == "health" || command == "gauges") && strings.size() == kCommandWithoutBodyStrings) {
      const std::string_view state = server_.handler_.accepting() ? "UP" : "DOWN";
      const std::string fields =
          command == "gauges" ? "meter=" + server_.handler_.load_report() : std::string("-");
      write(protocol::resp::write_array({strings[1], state, fields, ""}));
    } else {
      log_line(Level::kWarning) << "peer " << to_string(connection_->peer()) << " sent an unknown command '"
                                << protocol::plain_value(command.substr(0, kMaxIdBytes)) << "' of "
                                << strings.size() << " strings";
      reject(strings[1], "unknown_command");
    }
  }

  void serve(const std::string& id, std::string_view fields, std::string body) {
    if (open_.contains(id)) {
      // The peer could not tell which of the two requests an answer belongs to, so the connection is closed.
      close_malformed("a request id that is in use");
      return;
    }
    std::variant<protocol::ServeFields, std::string> parsed = protocol::read_serve_fields(fields);
    if (const auto* error = std::get_if<std::string>(&parsed)) {
      log_line(Level::kWarning) << "peer " << to_string(connection_->peer())
                                << " sent an invalid request: " << protocol::plain_value(*error);
      reject(id, *error);
      return;
    }
    if (open_.size() >= server_.bounds_.open_per_connection) {
      write(protocol::write_answer(id, protocol::AnswerCode::kBusy, {}, ""));
      return;
    }
    const Ticket ticket = ++server_.last_ticket_;
    open_.emplace(id, ticket);
    server_.open_requests_.emplace(ticket, OpenRequest{weak_from_this(), id});
    server_.handler_.serve(ticket, std::move(std::get<protocol::ServeFields>(parsed)), std::move(body));
  }

  void reject(const std::string& id, const std::string& reason) {
    protocol::CacheAnswer out;
    out.error_reason = reason;
    write(protocol::write_answer(id, protocol::AnswerCode::kError, out, ""));
  }

  void close_malformed(std::string_view reason) {
    ++server_.malformed_connections_;
    log_line(Level::kWarning) << "peer " << to_string(connection_->peer())
                              << " sent a malformed message: " << reason;
    connection_->close(ConnectionEnd::kMalformed);
  }

  CommandServer& server_;
  std::shared_ptr<Connection> connection_;
  protocol::resp::Parser parser_;
  std::vector<std::string> strings_;
  std::string last_string_;
  std::map<std::string, Ticket> open_;
  Clock::time_point last_message_at_ = Clock::now();
};

CommandServer::CommandServer(transport::Scheduler& scheduler, CommandHandler& handler, const Bounds& bounds)
    : scheduler_(scheduler), handler_(handler), bounds_(bounds) {
  bounds_.connection.end_on_hang_up = true;
}

CommandServer::~CommandServer() = default;

void CommandServer::listen(const transport::Address& address) {
  listener_ = transport::listen_or_throw(address, bounds_.backlog);
  watch_ = std::make_unique<transport::Watch>(scheduler_, listener_.get());
  scheduler_.spawn(accept_loop());
  scheduler_.spawn(reap());
}

transport::Task<void> CommandServer::accept_loop() {
  int accepts = 0;
  for (;;) {
    transport::Opened opened = transport::accept_from(listener_.get());
    if (opened.descriptor.valid()) {
      adopt(std::move(opened.descriptor));
      if (++accepts % kAcceptsPerTurn == 0) {
        co_await scheduler_.yield();
      }
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      watch_->blocked_reading();
      const bool open = co_await watch_->readable();
      if (!open) {
        co_return;
      }
    } else {
      // The system is out of descriptors or of another resource that may become available soon.
      if (opened.error == EMFILE || opened.error == ENFILE) {
        close_idle_connection();
      }
      co_await scheduler_.sleep(kAcceptPause);
    }
  }
}

void CommandServer::adopt(transport::Descriptor socket) {
  if (sessions_.size() >= bounds_.connections && !close_idle_connection()) {
    return;  // the destructor closes the socket at once, and the peer tries another cache
  }
  const std::shared_ptr<Connection> connection =
      Connection::adopt(scheduler_, std::move(socket), bounds_.connection);
  const auto session = std::make_shared<Session>(*this, connection);
  sessions_.insert(session);
  connection->start(session);
}

bool CommandServer::close_idle_connection() {
  std::shared_ptr<Session> oldest;
  for (const std::shared_ptr<Session>& session : sessions_) {
    const bool can_close = session->idle() && !session->connection().ended();
    if (can_close && (!oldest || session->last_message_at() < oldest->last_message_at())) {
      oldest = session;
    }
  }
  if (oldest) {
    oldest->connection().close(ConnectionEnd::kIdle);
  }
  return oldest != nullptr;
}

transport::Task<void> CommandServer::reap() {
  for (;;) {
    co_await scheduler_.sleep(std::min<Clock::duration>(bounds_.idle, bounds_.message_timeout) / 4);
    const Clock::time_point now = Clock::now();
    for (const std::shared_ptr<Session>& session : sessions_) {
      const Clock::duration since = now - session->last_message_at();
      const bool expired = session->has_partial_message() ? since > bounds_.message_timeout
                                                          : session->idle() && since > bounds_.idle;
      if (expired) {
        session->connection().close(session->has_partial_message() ? ConnectionEnd::kStalled
                                                                   : ConnectionEnd::kIdle);
      }
    }
  }
}

void CommandServer::answer(Ticket ticket, protocol::AnswerCode code, protocol::CacheAnswer fields,
                           const std::shared_ptr<const std::string>& body, protocol::ByteRange range) {
  const auto found = open_requests_.find(ticket);
  if (found == open_requests_.end()) {
    return;
  }
  const OpenRequest request = found->second;
  open_requests_.erase(found);
  if (const std::shared_ptr<Session> session = request.session.lock()) {
    session->remove_request(request.id);
    std::string_view bytes = body ? std::string_view(*body) : std::string_view();
    if (range.length > 0) {
      bytes = bytes.substr(range.from, range.length);
    }
    fields.load_report = handler_.load_report();
    session->write(protocol::write_answer(request.id, code, fields, bytes));
  }
}

std::size_t CommandServer::waiting_bytes() const {
  std::size_t out = 0;
  for (const std::shared_ptr<Session>& session : sessions_) {
    out += session->connection().unsent_bytes();
  }
  return out;
}

void CommandServer::close_all() {
  if (watch_) {
    watch_->close();
  }
  for (const std::shared_ptr<Session>& session : sessions_) {
    session->connection().close_when_written();
  }
}

}  // namespace trailcourse::cache_node
