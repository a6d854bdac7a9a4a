// `trailcourse get`: sends requests to a router as a web server does.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace trailcourse::program {

// Exit statuses besides 0, 1 (the body cannot be written) and 2 (usage error).
constexpr int kGetRejected = 4;     // status 429 or 503: a retry is safe
constexpr int kGetFailed = 5;       // any other status
constexpr int kGetUnreachable = 6;  // no connection, or no complete response in time

struct GetCommand {
  std::string router;  // IP:PORT
  std::string request_class = "media";
  std::string item;  // 16 hex digits
  std::string part = "0";
  std::int64_t timeout_ms = 3'000;  // deadline that is sent with the request
  double size_kb = 0.0;             // expected size; 0: not sent
  std::string cached_tag;           // of the copy that the client has; empty: none
  std::string output;               // path of a file for the body; empty: not written
  int repeat = 1;
  bool json = false;
};

// Sends the requests one after the other and returns the exit status of the last response.
int run_get_command(const GetCommand& command, std::ostream& out, std::ostream& errors);

}  // namespace trailcourse::program
