// Every way in which a connection can end.
#pragma once

#include <string_view>

namespace trailcourse::transport {

enum class ConnectionEnd {
  kRefused,         // nobody listens there
  kConnectTimeout,  // not up in time
  kUnreachable,     // no way there, or the connect failed in another way
  kNoDescriptor,    // this process has none left
  kPeerClosed,      // the other side ended it in order
  kPeerReset,       // the other side broke it off
  kBroken,          // the system gave it up
  kMalformed,       // what came could not be read
  kOverflow,        // a bound on what is held for it was reached
  kIdle,            // unused for too long, closed here
  kSilent,          // nothing comes from there any more, closed here
  kStalled,         // the other side does not take what it is sent
  kDropped,         // not wanted any more: its cache is gone or has another address
  kShutdown,        // this program ends
};

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
