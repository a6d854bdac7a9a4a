#include "program/board_server.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "discovery/fenced_event.h"
#include "program/configuration.h"
#include "store/files.h"
#include "transport/log.h"

namespace trailcourse::program {

using nlohmann::json;
using transport::Level;
using transport::log_line;

namespace {

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
  try {
    board::check_page(page);
  } catch (const std::invalid_argument& error) {
    throw ConfigurationError(path + ": " + error.what());
  }
  return page;
}

board::PageServer::Bounds server_bounds(const board::BoardOptions& options) {
  board::PageServer::Bounds bounds;
  bounds.connections = static_cast<std::size_t>(options.connections);
  return bounds;
}

std::string folder_of(const std::string& file) {
  const std::size_t slash = file.rfind('/');
  return slash == std::string::npos ? "." : file.substr(0, slash);
}

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

BoardServer::BoardServer(transport::Scheduler& scheduler, const board::BoardOptions& options,
                         std::uint64_t seed)
    : scheduler_(scheduler),
      file_(options.file),
      text_(read_all(file_)),
      server_(scheduler, log_, board::core_rules(options), server_bounds(options),
              {[]() -> std::optional<std::int64_t> { return std::nullopt; },
               [this] { return "X-Askers: " + std::to_string(server_.connections()) + "\r\n"; },
               [this](const std::string& body) { return post(body); }},
              seed) {
  const json page = parse_board(file_, text_);
  log_.replace(page);
  log_.rename(page.value("board", hex(seed)));
}

void BoardServer::listen(const transport::Address& address) {
  server_.listen(address);
  scheduler_.spawn(watch_file());
}

transport::Task<void> BoardServer::watch_file() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    reread();
  }
}

std::pair<int, std::string> BoardServer::post(const std::string& body) {
  try {
    json page = parse_board(file_, read_all(file_));
    const board::Posted posted = board::post_notice(page, json::parse(body, nullptr, false));
    if (!posted.why.empty()) {
      ++refused_;
      log_line(Level::kWarning) << "refused a notice of owned work: " << posted.why;
      return {409, json{{"error", posted.why}}.dump()};
    }
    if (posted.taken) {
      const std::unique_ptr<store::Files> folder = store::look_into_folder(folder_of(file_));
      const std::string name = file_.substr(file_.rfind('/') + 1);
      const std::unique_ptr<store::File> next = folder->create(name + ".next");
      next->write(0, page.dump(1) + "\n");
      next->sync();
      folder->rename(name + ".next", name);
      folder->sync_names();
      ++posted_;
      reread();
    }
    return {200, json{{"rev", posted.number}, {"known", posted.known}}.dump()};
  } catch (const std::exception& error) {
    log_line(Level::kError) << "a notice of owned work was not kept: " << error.what();
    return {503, json{{"error", "not_kept"}}.dump()};
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
    log_.replace(page);
    log_.rename(page.value("board", log_.id()));
    log_line(Level::kInfo) << "the board tells up to event " << log_.last();
    server_.published();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the board stays as it was: " << error.what();
  }
}

std::string BoardServer::report() const {
  const board::CoreCounts& counts = server_.core().counts();
  std::string out;
  const auto add = [&out](const char* name, std::uint64_t value) {
    out += (out.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(value);
  };
  add("calls", counts.calls);
  add("answered", counts.answered);
  add("held", counts.held);
  add("released", counts.released);
  add("sent_away", counts.sent_away);
  add("worst_100_ms", counts.in_worst_100_ms);
  add("worst_second", counts.in_worst_second);
  add("rendered", log_.rendered());
  add("connections", server_.connections());
  add("waiting", server_.core().waiting());
  add("fenced_taken", posted_);
  add("fenced_refused", refused_);
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
