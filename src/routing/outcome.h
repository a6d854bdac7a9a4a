// The status of an attempt whose connection ended before its answer.
#pragma once

#include <trailcourse/decider.h>

#include "transport/connection_end.h"

namespace trailcourse::routing {

// Returns the status of an attempt that was in flight on a connection that ended. `written` is whether any
// byte of the request may have been sent. If none was, the request was certainly not executed; if only a part
// was, it may have been executed, however the connection ended.
Status status_of(transport::ConnectionEnd end, bool written);

}  // namespace trailcourse::routing
