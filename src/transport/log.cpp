#include "transport/log.h"

#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>

namespace trailcourse::transport {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

// A peer that sends nonsense without end must not fill the log, nor keep the loop busy with it.
constexpr int kLinesInSecond = 200;

struct Pace {
  std::time_t second = 0;
  int lines = 0;
};
Pace pace;

Level least_level = Level::kInfo;
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

void set_log_level(Level least) { least_level = least; }
void set_log_stream(std::ostream& out) { log_stream = &out; }
bool log_enabled(Level level) { return level >= least_level; }

LogLine::~LogLine() {
  if (!enabled_) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::string left_out;
  if (seconds != pace.second) {
    const int over = pace.lines - kLinesInSecond;
    left_out = over > 0 ? " (" + std::to_string(over) + " lines before were left out)" : "";
    pace = Pace{seconds, 0};
  }
  if (++pace.lines > kLinesInSecond) {
    return;
  }
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream line;
  line << std::put_time(&parts, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millis << "Z "
       << level_name(level_) << ' ' << text_.str() << left_out << '\n';
  *log_stream << line.str() << std::flush;
}

}  // namespace trailcourse::transport
