// Log lines on an iostream behind a level filter:  log_line(Level::kInfo) << "cache " << name << " is up";
#pragma once

#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>

namespace trailcourse::transport {

enum class Level { kDebug, kInfo, kWarning, kError };

std::string_view level_name(Level level);
std::optional<Level> parse_level(std::string_view name);

// Lines below this level are not made.
void set_log_level(Level least);
void set_log_stream(std::ostream& out);
bool log_enabled(Level level);

// One line, written whole when it goes out of scope.
class LogLine {
 public:
  explicit LogLine(Level level) : level_(level), enabled_(log_enabled(level)) {}
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  template <typename Value>
  LogLine& operator<<(const Value& value) {
    if (enabled_) {
      text_ << value;
    }
    return *this;
  }

 private:
  Level level_;
  bool enabled_;
  std::ostringstream text_;
};

inline LogLine log_line(Level level) { return LogLine(level); }

}  // namespace trailcourse::transport
