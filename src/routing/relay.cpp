#include "routing/relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trailcourse::routing {

using std::chrono::milliseconds;

namespace {

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Relay::Relay(transport::Scheduler& scheduler, std::string name, board::PageLog& log, const Bounds& bounds,
             std::uint64_t seed)
    : name_(std::move(name)),
      bounds_(bounds),
      log_(log),
      server_(scheduler, log_, bounds.core, bounds.server,
              {[this]() -> std::optional<std::int64_t> {
                 constexpr std::int64_t kComeBackMs = 1'000;
                 return current() ? std::nullopt : std::optional<std::int64_t>(kComeBackMs);
               },
               [this] {
                 // Rounded up: never younger than it is.
                 const Micros age = std::max(Micros(0), now() - known_at_);
                 return "X-Age-Ms: " + std::to_string(std::chrono::ceil<milliseconds>(age).count()) +
                        "\r\nX-Path: " + name_ + (path_.empty() ? "" : "," + path_) + "\r\n";
               }},
              seed) {}

Micros Relay::now() { return std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch()); }

bool Relay::current() const { return known_at_ >= Micros(0) && now() - known_at_ <= bounds_.most_age; }

void Relay::take(const nlohmann::json& page, Micros known_at, const std::string& path) {
  const std::uint64_t before = log_.last();
  log_.append(page);
  log_.rename(page.value("board", ""));
  log_.fold(bounds_.most_events, unix_ms() - bounds_.purge_binds_ms);
  known_at_ = std::max(known_at_, known_at);
  path_ = path;
  if (log_.last() != before) {
    server_.published();
  }
}

void Relay::anew() {
  known_at_ = Micros(-1);
  server_.let_go();
}

void Relay::look() {
  if (!current() && server_.core().waiting() > 0) {
    server_.let_go();
  }
}

}  // namespace trailcourse::routing
