#include "program/discovery_file_server.h"

#include <cstdio>
#include <fstream>
#include <iterator>
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

constexpr std::chrono::milliseconds kFilePollInterval{50};

std::string read_all(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    throw ConfigurationError(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

json parse_page(const std::string& path, const std::string& text) {
  json page = json::parse(text, nullptr, false, true);
  try {
    discovery::validate_page(page);
  } catch (const discovery::PageFormatError& error) {
    throw ConfigurationError(path + ": " + error.what());
  }
  return page;
}

discovery::DiscoveryServer::Limits server_limits(const discovery::DiscoveryOptions& options) {
  discovery::DiscoveryServer::Limits limits;
  limits.connections = static_cast<std::size_t>(options.connections);
  return limits;
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

DiscoveryFileServer::DiscoveryFileServer(transport::Scheduler& scheduler,
                                         const discovery::DiscoveryOptions& options, std::uint64_t seed)
    : scheduler_(scheduler),
      file_(options.file),
      text_(read_all(file_)),
      server_(
          scheduler, log_, discovery::long_poll_options(options), server_limits(options),
          {.page_headers = [this] { return "X-Askers: " + std::to_string(server_.connections()) + "\r\n"; },
           .publish = [this](const std::string& body) { return publish(body); }},
          seed) {
  const json page = parse_page(file_, text_);
  log_.replace(page);
  log_.set_source_id(page.value("board", hex(seed)));
}

void DiscoveryFileServer::listen(const transport::Address& address) {
  server_.listen(address);
  scheduler_.spawn(watch_file());
}

transport::Task<void> DiscoveryFileServer::watch_file() {
  for (;;) {
    co_await scheduler_.sleep(kFilePollInterval);
    reread();
  }
}

discovery::PublishResponse DiscoveryFileServer::publish(const std::string& body) {
  try {
    json page = parse_page(file_, read_all(file_));
    const auto published = discovery::publish_fenced_event(page, json::parse(body, nullptr, false));
    if (!published) {
      ++fenced_rejected_;
      const char* error = discovery::to_string(published.error());
      log_line(Level::kWarning) << "rejected an event of owned work: " << error;
      return {409, json{{"error", error}}.dump()};
    }
    if (published->page_changed) {
      const std::unique_ptr<store::Directory> folder = store::open_folder_unlocked(folder_of(file_));
      const std::string name = file_.substr(file_.rfind('/') + 1);
      const std::unique_ptr<store::File> file = folder->create(name + ".next");
      file->write(0, page.dump(1) + "\n");
      file->sync();
      folder->rename(name + ".next", name);
      folder->sync_names();
      ++fenced_accepted_;
      reread();
    }
    return {200, json{{"rev", published->sequence}, {"known", published->duplicate}}.dump()};
  } catch (const std::exception& error) {
    log_line(Level::kError) << "an event of owned work was not stored: " << error.what();
    return {503, json{{"error", "not_kept"}}.dump()};
  }
}

void DiscoveryFileServer::reread() {
  try {
    std::string text = read_all(file_);
    if (text == text_) {
      return;
    }
    text_ = std::move(text);
    const json page = parse_page(file_, text_);
    log_.replace(page);
    log_.set_source_id(page.value("board", log_.source_id()));
    log_line(Level::kInfo) << "discovery service: publishes events up to event " << log_.last_sequence();
    server_.on_published();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "discovery service: the published page is unchanged: " << error.what();
  }
}

std::string DiscoveryFileServer::report() const {
  const discovery::LongPollCounts& counts = server_.long_polls().counts();
  std::string out;
  const auto add = [&out](const char* name, std::uint64_t value) {
    out += (out.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(value);
  };
  add("calls", counts.calls);
  add("answered", counts.answered);
  add("held", counts.held);
  add("released", counts.released);
  add("sent_away", counts.rejected);
  add("worst_100_ms", counts.peak_in_100_ms);
  add("worst_second", counts.peak_in_second);
  add("rendered", log_.rendered_pages());
  add("connections", server_.connections());
  add("waiting", server_.long_polls().held());
  add("fenced_taken", fenced_accepted_);
  add("fenced_refused", fenced_rejected_);
  return out;
}

std::uint64_t append_event(const std::string& file, json event) {
  json page = parse_page(file, read_all(file));
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
