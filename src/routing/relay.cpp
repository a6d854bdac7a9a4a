#include "routing/relay.h"

#include <algorithm>
#include <utility>

namespace trailcourse::routing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRejectionRetryAfter{1'000};

Micros steady_now() { return std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch()); }

discovery::UnixTime unix_now() { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); }

}  // namespace

Relay::Relay(transport::Scheduler& scheduler, std::string name, discovery::EventLog& log,
             const Options& options, std::uint64_t seed)
    : name_(std::move(name)),
      options_(options),
      log_(log),
      server_(
          scheduler, log_, options.long_poll, options.server,
          {.rejection = [this] { return rejection(); }, .page_headers = [this] { return page_headers(); }},
          seed) {}

bool Relay::is_current() const { return current_at_ && steady_now() - *current_at_ <= options_.max_age; }

std::optional<milliseconds> Relay::rejection() const {
  return is_current() ? std::nullopt : std::optional<milliseconds>(kRejectionRetryAfter);
}

std::string Relay::page_headers() const {
  const Micros age = std::max(Micros(0), steady_now() - current_at_.value_or(Micros(0)));
  // Rounded up, so that the page never appears younger than it is.
  const std::string age_ms = std::to_string(std::chrono::ceil<milliseconds>(age).count());
  const std::string path = path_.empty() ? name_ : name_ + "," + path_;
  return "X-Age-Ms: " + age_ms + "\r\nX-Path: " + path + "\r\n";
}

void Relay::on_page(const nlohmann::json& page, Micros current_at, const std::string& path) {
  const std::uint64_t before = log_.last_sequence();
  log_.append(page);
  log_.set_source_id(page.value("board", ""));
  log_.compact(options_.max_events, unix_now() - options_.purge_retention, options_.latest_purges);
  current_at_ = current_at_ ? std::max(*current_at_, current_at) : current_at;
  path_ = path;
  if (log_.last_sequence() != before) {
    server_.on_published();
  }
}

void Relay::reset() {
  current_at_.reset();
  server_.reject_held_polls();
}

void Relay::reject_polls_if_stale() {
  if (!is_current() && server_.long_polls().held() > 0) {
    server_.reject_held_polls();
  }
}

}  // namespace trailcourse::routing
