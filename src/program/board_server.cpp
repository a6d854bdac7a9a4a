#include "program/board_server.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>

#include "program/configuration.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::program {

using nlohmann::json;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr std::size_t kMostRequest = 8'192;
constexpr std::int64_t kMostLingerMs = 5'000;
constexpr std::chrono::milliseconds kLook{50};

std::string read_all(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    throw ConfigurationError(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

json parse_board(const std::string& path, const std::string& text) {
  json page = json::parse(text, nullptr, false, true);
  const bool good = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned() &&
                    page.contains("notices") && page["notices"].is_array();
  if (!good) {
    throw ConfigurationError(path + ": not of the form {\"rev\":N,\"notices\":[...]}");
  }
  for (const json& notice : page["notices"]) {
    if (!notice.is_object() || !notice.contains("rev") || !notice["rev"].is_number_unsigned()) {
      throw ConfigurationError(path + ": a notice without its number `rev`");
    }
  }
  return page;
}

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
class BoardServer::Session : public Connection::Handler, public std::enable_shared_from_this<Session> {
 public:
  Session(BoardServer& board, std::shared_ptr<Connection> connection)
      : board_(board), connection_(std::move(connection)) {}

  void on_bytes(std::string_view bytes) override {
    text_ += bytes;
    if (text_.size() > kMostRequest) {
      connection_->close(ConnectionEnd::kMalformed);
      return;
    }
    const std::size_t end = text_.find("\r\n\r\n");
    if (end == std::string::npos || waiting_) {
      return;
    }
    const std::string line = text_.substr(0, text_.find("\r\n"));
    text_.erase(0, end + 4);
    const auto watch = query_number(line, "watch=");
    if (!line.starts_with("GET /board/poll?") || !watch) {
      respond("404 Not Found", "{}");
      return;
    }
    const auto linger = query_number(line, "linger=").value_or(0);
    waiting_ = *watch;
    const auto longest = std::chrono::milliseconds(std::min<std::uint64_t>(linger, kMostLingerMs));
    timer_ = board_.scheduler_.at(Clock::now() + longest, [this] {
      timer_.reset();
      tell(true);
    });
    tell(false);
  }

  void on_end(ConnectionEnd) override {
    stop_timer();
    board_.sessions_.erase(shared_from_this());
  }

  // Answers the call at hand where there is news, or where its time is over.
  void tell(bool over) {
    if (!waiting_ || (!over && board_.last_ == *waiting_)) {
      return;
    }
    const json page = board_.later_than(*waiting_);
    waiting_.reset();
    stop_timer();
    respond("200 OK", page.dump());
  }

 private:
  void stop_timer() {
    if (timer_) {
      board_.scheduler_.cancel(*std::exchange(timer_, std::nullopt));
    }
  }
  void respond(const char* status, const std::string& body) {
    connection_->write(std::string("HTTP/1.1 ") + status +
                       "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  BoardServer& board_;
  std::shared_ptr<Connection> connection_;
  std::string text_;
  std::optional<std::uint64_t> waiting_;
  std::optional<transport::Scheduler::TimerKey> timer_;
};

BoardServer::BoardServer(transport::Scheduler& scheduler, std::string file)
    : scheduler_(scheduler), file_(std::move(file)), text_(read_all(file_)) {
  const json page = parse_board(file_, text_);
  last_ = page["rev"].get<std::uint64_t>();
  notices_ = page["notices"];
}

BoardServer::~BoardServer() = default;

void BoardServer::listen(const transport::Address& address) {
  listener_ = transport::listen_or_throw(address, 64);
  watch_ = std::make_unique<transport::Watch>(scheduler_, listener_.get());
  scheduler_.spawn(accept_loop());
  scheduler_.spawn(watch_file());
}

transport::Task<void> BoardServer::accept_loop() {
  for (;;) {
    transport::Opened opened = transport::accept_from(listener_.get());
    if (opened.descriptor.valid()) {
      const Connection::Bounds bounds;
      const auto connection = Connection::adopt(scheduler_, std::move(opened.descriptor), bounds);
      const auto session = std::make_shared<Session>(*this, connection);
      sessions_.insert(session);
      connection->start(session);
    } else if (opened.error == EAGAIN || opened.error == EWOULDBLOCK) {
      watch_->blocked_reading();
      const bool open = co_await watch_->readable();
      if (!open) {
        co_return;
      }
    } else {
      co_await scheduler_.sleep(kLook);
    }
  }
}

transport::Task<void> BoardServer::watch_file() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    reread();
  }
}

void BoardServer::reread() {
  try {
    std::string text = read_all(file_);
    if (text == text_) {
      return;
    }
    text_ = std::move(text);
    const json page = parse_board(file_, text_);
    last_ = page["rev"].get<std::uint64_t>();
    notices_ = page["notices"];
    log_line(Level::kInfo) << "the board tells up to event " << last_;
    for (const std::shared_ptr<Session>& session : sessions_) {
      session->tell(false);
    }
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the board stays as it was: " << error.what();
  }
}

json BoardServer::later_than(std::uint64_t number) const {
  json out{{"rev", last_}, {"notices", json::array()}};
  for (const json& notice : notices_) {
    if (notice["rev"].get<std::uint64_t>() > number) {
      out["notices"].push_back(notice);
    }
  }
  return out;
}

std::uint64_t add_notice(const std::string& file, json event) {
  json page = parse_board(file, read_all(file));
  const std::uint64_t number = page["rev"].get<std::uint64_t>() + 1;
  event["rev"] = number;
  page["rev"] = number;
  page["notices"].push_back(std::move(event));
  const std::string next = file + ".next";
  std::ofstream(next, std::ios::binary) << page.dump(1) << '\n';
  if (std::rename(next.c_str(), file.c_str()) != 0) {
    throw ConfigurationError(file + ": cannot be replaced");
  }
  return number;
}

}  // namespace trailcourse::program
