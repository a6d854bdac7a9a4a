#include "transport/log.h"

#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>

namespace trailcourse::transport {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

// Limits the lines that a peer can cause by sending malformed bytes repeatedly, so that it neither fills the
// log nor keeps the scheduler busy.
constexpr int kMaxLinesPerSecond = 200;

// The lines written in the current second.
struct LineRate {
  std::time_t second = 0;
  int lines = 0;
};
LineRate line_rate;

Level min_level = Level::kInfo;
std::ostream* log_stream = &std::clog;

}  // namespace

std::string_view level_name(Level level) { return kLevelNames[static_cast<std::size_t>(level)]; }

std::optional<Level> parse_level(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) {
      return static_cast<Level>(i);
    }
  }
  return std::nullopt;
}

void set_log_level(Level new_min_level) { min_level = new_min_level; }
void set_log_stream(std::ostream& out) { log_stream = &out; }
bool log_enabled(Level level) { return level >= min_level; }

LogLine::~LogLine() {
  if (!enabled_) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::string omitted_note;
  if (seconds != line_rate.second) {
    const int omitted = line_rate.lines - kMaxLinesPerSecond;
    omitted_note = omitted > 0 ? " (" + std::to_string(omitted) + " lines before this one were omitted)" : "";
    line_rate = LineRate{seconds, 0};
  }
  if (++line_rate.lines > kMaxLinesPerSecond) {
    return;
  }
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream line;
  line << std::put_time(&parts, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millis << "Z "
       << level_name(level_) << ' ' << text_.str() << omitted_note << '\n';
  *log_stream << line.str() << std::flush;
}

}  // namespace trailcourse::transport
