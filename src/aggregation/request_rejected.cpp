#include "aggregation/request_rejected.h"

namespace trailcourse::aggregation {

using Reason = RequestRejected::Reason;

const char* to_string(Reason reason) {
  switch (reason) {
    case Reason::kNoUpstreamLease:
      return "no_permission";
    case Reason::kTooManyRouters:
      return "full";
    case Reason::kLeaseNotFound:
      return "unknown_lease";
    case Reason::kOutOfOrder:
      return "backwards";
    case Reason::kMalformed:
      return "malformed";
    case Reason::kTooLarge:
      return "too_large";
    case Reason::kUnknownZone:
      return "unknown_zone";
    case Reason::kUnsupported:
      return "not_served";
  }
  return "unknown";
}

bool is_retryable_elsewhere(Reason reason) {
  return reason == Reason::kNoUpstreamLease || reason == Reason::kTooManyRouters;
}

}  // namespace trailcourse::aggregation
