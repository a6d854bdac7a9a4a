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

constexpr int kAcceptsInTurn = 16;
constexpr std::chrono::milliseconds kAcceptPause{20};
constexpr std::size_t kMostId = 64;
constexpr std::size_t kServeWords = 4;
constexpr std::size_t kShortWords = 2;

}  // namespace

class CommandServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(CommandServer& server, const std::shared_ptr<Connection>& connection)
      : server_(server), connection_(connection), parser_(parser_bounds(server.bounds_)) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes, [this](const protocol::resp::Event& event) {
      if (!connection_->ended()) {
        std::visit([this](const auto& one) { take(one); }, event);
      }
    });
    if (!parser_.partial()) {
      whole_at_ = Clock::now();
    }
  }

  void on_end(ConnectionEnd) override {
    const auto open = std::exchange(open_, {});
    for (const auto& [id, ticket] : open) {
      server_.places_.erase(ticket);
      server_.service_.cancel(ticket);
    }
    server_.sessions_.erase(shared_from_this());
  }

  void write(std::string bytes) { connection_->write(std::move(bytes)); }
  void closed(const std::string& id) { open_.erase(id); }
  bool idle() const { return open_.empty() && connection_->waiting() == 0; }
  bool partial() const { return parser_.partial(); }
  Clock::time_point last_whole() const { return whole_at_; }
  Connection& connection() const { return *connection_; }

 private:
  static protocol::resp::Bounds parser_bounds(const Bounds& bounds) {
    protocol::resp::Bounds out;
    out.words = kServeWords;
    out.last_bytes = bounds.body_bytes;
    return out;
  }

  void take(const protocol::resp::ArrayHead& head) {
    words_ = head.words;
    last_.clear();
  }
  void take(const protocol::resp::ArrayPiece& piece) { last_ += piece.bytes; }
  void take(const protocol::resp::ParseError& unreadable) { spoilt(unreadable.why); }
  void take(const protocol::resp::ArrayEnd&) {
    std::vector<std::string> words = std::exchange(words_, {});
    words.push_back(std::exchange(last_, {}));
    if (words.size() < kShortWords || words[1].empty() || words[1].size() > kMostId) {
      spoilt("a command without a usable id");
      return;
    }
    const std::string& command = words[0];
    if (command == "serve" && words.size() == kServeWords) {
      serve(words[1], words[2], std::move(words[3]));
    } else if (command == "cancel" && words.size() == kShortWords) {
      const auto found = open_.find(words[1]);
      if (found != open_.end()) {
        const Ticket ticket = found->second;
        open_.erase(found);
        server_.places_.erase(ticket);
        server_.service_.cancel(ticket);
      }
    } else if ((command == "health" || command == "gauges") && words.size() == kShortWords) {
      const std::string_view word = server_.service_.up() ? "UP" : "DOWN";
      const std::string fields = command == "gauges" ? "meter=" + server_.service_.meter() : std::string("-");
      write(protocol::resp::write_array({words[1], word, fields, ""}));
    } else {
      log_line(Level::kWarning) << "peer " << to_string(connection_->peer()) << " sent an unknown command '"
                                << protocol::plain_value(command.substr(0, kMostId)) << "' of "
                                << words.size() << " words";
      refuse(words[1], "unknown_command");
    }
  }

  void serve(const std::string& id, std::string_view fields, std::string body) {
    if (open_.contains(id)) {
      // An answer under this id would be taken for that of the first: only an end is clear.
      spoilt("an id that is in use");
      return;
    }
    std::variant<protocol::ServeFields, std::string> read = protocol::read_serve_fields(fields);
    if (const auto* fault = std::get_if<std::string>(&read)) {
      log_line(Level::kWarning) << "peer " << to_string(connection_->peer())
                                << " sent a request that cannot be used: " << protocol::plain_value(*fault);
      refuse(id, *fault);
      return;
    }
    if (open_.size() >= server_.bounds_.open_per_connection) {
      write(protocol::write_answer(id, protocol::AnswerCode::kBusy, {}, ""));
      return;
    }
    const Ticket ticket = ++server_.last_;
    open_.emplace(id, ticket);
    server_.places_.emplace(ticket, Place{weak_from_this(), id});
    server_.service_.serve(ticket, std::move(std::get<protocol::ServeFields>(read)), std::move(body));
  }

  void refuse(const std::string& id, const std::string& why) {
    protocol::CacheAnswer out;
    out.why = why;
    write(protocol::write_answer(id, protocol::AnswerCode::kError, out, ""));
  }

  void spoilt(std::string_view why) {
    ++server_.spoilt_;
    log_line(Level::kWarning) << "peer " << to_string(connection_->peer())
                              << " sent what cannot be read: " << why;
    connection_->close(ConnectionEnd::kMalformed);
  }

  CommandServer& server_;
  std::shared_ptr<Connection> connection_;
  protocol::resp::Parser parser_;
  std::vector<std::string> words_;
  std::string last_;
  std::map<std::string, Ticket> open_;
  Clock::time_point whole_at_ = Clock::now();
};

CommandServer::CommandServer(transport::Scheduler& scheduler, Service& service, const Bounds& bounds)
    : scheduler_(scheduler), service_(service), bounds_(bounds) {}

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
      take_in(std::move(opened.descriptor));
      if (++accepts % kAcceptsInTurn == 0) {
        co_await scheduler_.yield();
      }
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      watch_->blocked_reading();
      const bool open = co_await watch_->readable();
      if (!open) {
        co_return;
      }
    } else {
      // Out of descriptors, or of something else that the system may have again soon.
      if (opened.error == EMFILE || opened.error == ENFILE) {
        free_one();
      }
      co_await scheduler_.sleep(kAcceptPause);
    }
  }
}

void CommandServer::take_in(transport::Descriptor socket) {
  if (sessions_.size() >= bounds_.connections && !free_one()) {
    return;  // closed at once: the peer goes elsewhere
  }
  const std::shared_ptr<Connection> connection =
      Connection::adopt(scheduler_, std::move(socket), bounds_.connection);
  const auto session = std::make_shared<Session>(*this, connection);
  sessions_.insert(session);
  connection->start(session);
}

bool CommandServer::free_one() {
  std::shared_ptr<Session> oldest;
  for (const std::shared_ptr<Session>& session : sessions_) {
    const bool can_go = session->idle() && !session->connection().ended();
    if (can_go && (!oldest || session->last_whole() < oldest->last_whole())) {
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
    co_await scheduler_.sleep(std::min<Clock::duration>(bounds_.idle, bounds_.message) / 4);
    const Clock::time_point now = Clock::now();
    for (const std::shared_ptr<Session>& session : sessions_) {
      const Clock::duration since = now - session->last_whole();
      const bool done =
          session->partial() ? since > bounds_.message : session->idle() && since > bounds_.idle;
      if (done) {
        session->connection().close(session->partial() ? ConnectionEnd::kStalled : ConnectionEnd::kIdle);
      }
    }
  }
}

void CommandServer::answer(Ticket ticket, protocol::AnswerCode word, protocol::CacheAnswer fields,
                           const std::shared_ptr<const std::string>& body, protocol::Span part) {
  const auto found = places_.find(ticket);
  if (found == places_.end()) {
    return;
  }
  const Place place = found->second;
  places_.erase(found);
  if (const std::shared_ptr<Session> session = place.session.lock()) {
    session->closed(place.id);
    std::string_view bytes = body ? std::string_view(*body) : std::string_view();
    if (part.length > 0) {
      bytes = bytes.substr(part.from, part.length);
    }
    fields.meter = service_.meter();
    session->write(protocol::write_answer(place.id, word, fields, bytes));
  }
}

std::size_t CommandServer::waiting_bytes() const {
  std::size_t out = 0;
  for (const std::shared_ptr<Session>& session : sessions_) {
    out += session->connection().waiting();
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
