#include "transport/log.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdint>
#include <ctime>
#include <iomanip>

namespace trailcourse::transport {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

// Limits the lines that a peer can cause by sending malformed bytes repeatedly, so that it neither fills the
// log nor keeps the scheduler busy.
constexpr int kMaxLinesPerSecond = 200;

// The lines of the current second, by the steady clock.
struct LineRate {
  std::int64_t second = 0;
  int lines = 0;
  std::uint64_t omitted = 0;  // since the last line that was written
};
LineRate line_rate;

Level min_level = Level::kInfo;
std::ostream* log_stream = nullptr;  // null: standard error

// Returns whether a write to standard error could wait for its reader, as with a pipe.
bool may_block() {
  struct stat status{};
  return ::fstat(STDERR_FILENO, &status) != 0 || !S_ISREG(status.st_mode);
}

// Writes a line to standard error unless its reader is behind: the thread that logs also decides. A pipe that
// is writable takes PIPE_BUF bytes without waiting. Returns whether the line was written.
bool try_write(std::string line) {
  if (line.size() > PIPE_BUF) {
    line.resize(PIPE_BUF - 1);
    line += '\n';
  }
  pollfd state{STDERR_FILENO, POLLOUT, 0};
  if (may_block() && ::poll(&state, 1, 0) == 0) {
    return false;
  }
  ssize_t written = -1;
  do {
    written = ::write(STDERR_FILENO, line.data(), line.size());
  } while (written < 0 && errno == EINTR);
  return written > 0;
}

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
void set_log_stream(std::ostream* out) { log_stream = out; }
bool log_enabled(Level level) { return level >= min_level; }

LogLine::LogLine(Level level) : level_(level) {
  if (!log_enabled(level)) {
    return;
  }
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  if (second != line_rate.second) {
    line_rate.second = second;
    line_rate.lines = 0;
  }
  if (++line_rate.lines > kMaxLinesPerSecond) {
    ++line_rate.omitted;
    return;
  }
  text_.emplace();
}

LogLine::~LogLine() {
  if (!text_) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream line;
  line << std::put_time(&parts, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millis << "Z "
       << level_name(level_) << ' ' << text_->str();
  if (line_rate.omitted > 0) {
    line << " (" << line_rate.omitted << " lines before this one were omitted)";
  }
  line << '\n';
  bool written = true;
  if (log_stream != nullptr) {
    *log_stream << line.str() << std::flush;
  } else {
    written = try_write(line.str());
  }
  line_rate.omitted = written ? 0 : line_rate.omitted + 1;
}

}  // namespace trailcourse::transport
