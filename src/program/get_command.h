// `trailcourse get`: asks a router as a web server would.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace trailcourse::program {

constexpr int kGetRefused = 4;      // trying again is harmless
constexpr int kGetFailed = 5;       // any other answer
constexpr int kGetUnreachable = 6;  // no connection, or no whole answer in time

struct GetCommand {
  std::string router;  // IP:PORT
  std::string request_class = "media";
  std::string item;  // 16 hex digits
  std::string part = "0";
  std::int64_t patience_ms = 3'000;
  double size_kb = 0.0;
  std::string held_tag;
  std::string output;  // a file for the body; empty: not written
  int repeat = 1;
  bool json = false;
};

// Gives the exit status of the last answer.
int run_get_command(const GetCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
