#include "routing/outcome.h"

namespace trailcourse::routing {

using transport::ConnectionEnd;

Status status_of(ConnectionEnd end, bool written) {
  switch (end) {
    case ConnectionEnd::kRefused:
    case ConnectionEnd::kConnectTimeout:
    case ConnectionEnd::kUnreachable:
      return Status::kConnectFailed;  // the connection was never established, so nothing was written
    case ConnectionEnd::kNoDescriptor:
      return Status::kNotSent;  // this process lacks descriptors: no fault of the cache
    case ConnectionEnd::kOverflow:
      return written ? Status::kCancelled : Status::kNotSent;  // closed because of a limit of this process
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
  // The connection was established: its end before anything was written is no fault of the cache.
  return written ? Status::kReset : Status::kNotSent;
}

}  // namespace trailcourse::routing
