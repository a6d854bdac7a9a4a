// Writes log lines to a stream, filtered by level: log_line(Level::kInfo) << "cache " << name << " is up";
// Not thread-safe.
#pragma once

#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>

namespace trailcourse::transport {

enum class Level { kDebug, kInfo, kWarning, kError };

// Convert between a level and its name, as in the option `--log-level`; parse_level() returns nothing for any
// other text.
std::string_view level_name(Level level);
std::optional<Level> parse_level(std::string_view name);

// Sets the level below which lines are not written. Initially kInfo.
void set_log_level(Level min_level);

// Sets the stream that lines are written to; null, as initially: standard error. A line for standard error is
// omitted where its reader is behind, so that logging never waits. The stream has to outlive its use.
void set_log_stream(std::ostream* out);
bool log_enabled(Level level);

// One log line, which is written when the object is destroyed. The number of lines per second is limited; the
// next line that is written says how many were omitted.
class LogLine {
 public:
  explicit LogLine(Level level);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  template <typename Value>
  LogLine& operator<<(const Value& value) {
    if (text_) {
      *text_ << value;
    }
    return *this;
  }

 private:
  Level level_;
  std::optional<std::ostringstream> text_;  // nothing: the line is not written
};

inline LogLine log_line(Level level) { return LogLine(level); }

}  // namespace trailcourse::transport
