// Reasons for the end of a connection.
#pragma once

#include <string_view>

namespace trailcourse::transport {

// Why a connection ended.
enum class ConnectionEnd {
  kRefused,         // no process listens on the address
  kConnectTimeout,  // not connected in time
  kUnreachable,     // no route to the address, or another error while connecting
  kNoDescriptor,    // this process has no descriptor left
  kPeerClosed,      // closed by the peer without an error
  kPeerReset,       // reset by the peer
  kBroken,          // another system error
  kMalformed,       // received bytes could not be parsed
  kOverflow,        // a bound on buffered bytes was exceeded
  kIdle,            // closed by this side: unused for too long
  kSilent,          // closed by this side: the peer has stopped sending
  kStalled,         // the peer does not read the bytes sent to it
  kDropped,         // closed by this side: the cache was removed or has another address
  kShutdown,        // closed by this side: shutdown, or all bytes were written
};

// Returns a description for log lines.
constexpr std::string_view to_string(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kRefused:
      return "refused";
    case ConnectionEnd::kConnectTimeout:
      return "connect timed out";
    case ConnectionEnd::kUnreachable:
      return "unreachable";
    case ConnectionEnd::kNoDescriptor:
      return "no descriptor left";
    case ConnectionEnd::kPeerClosed:
      return "closed by peer";
    case ConnectionEnd::kPeerReset:
      return "reset by peer";
    case ConnectionEnd::kBroken:
      return "broken";
    case ConnectionEnd::kMalformed:
      return "malformed bytes";
    case ConnectionEnd::kOverflow:
      return "over a bound";
    case ConnectionEnd::kIdle:
      return "idle";
    case ConnectionEnd::kSilent:
      return "silent";
    case ConnectionEnd::kStalled:
      return "peer stalled";
    case ConnectionEnd::kDropped:
      return "dropped";
    case ConnectionEnd::kShutdown:
      return "shut down";
  }
  return "unknown";
}

}  // namespace trailcourse::transport
