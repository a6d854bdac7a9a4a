#include "routing/outcome.h"

namespace trailcourse::routing {

using transport::ConnectionEnd;

Status status_of(ConnectionEnd end, bool written) {
  switch (end) {
    case ConnectionEnd::kRefused:
    case ConnectionEnd::kConnectTimeout:
    case ConnectionEnd::kUnreachable:
      return Status::kConnectFailed;  // it never came up, so nothing can have been written
    case ConnectionEnd::kNoDescriptor:
      return Status::kNotSent;  // not sent, for a want of our own: that says nothing of the cache
    case ConnectionEnd::kOverflow:
      return written ? Status::kCancelled : Status::kNotSent;  // given up for a want of our own
    case ConnectionEnd::kPeerClosed:
    case ConnectionEnd::kPeerReset:
    case ConnectionEnd::kBroken:
    case ConnectionEnd::kMalformed:
    case ConnectionEnd::kIdle:
    case ConnectionEnd::kSilent:
    case ConnectionEnd::kStalled:
    case ConnectionEnd::kDropped:
    case ConnectionEnd::kShutdown:
      break;
  }
  // It had come up: where nothing was written, that it ended since says nothing of the cache.
  return written ? Status::kReset : Status::kNotSent;
}

}  // namespace trailcourse::routing
