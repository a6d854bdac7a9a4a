// How the end of a connection becomes the outcome of an attempt that was out on it.
#pragma once

#include <trailcourse/decider.h>

#include "transport/connection_end.h"

namespace trailcourse::routing {

// `written`: whether any byte of the request may have left. If none has, that proves that nothing ran; a part
// proves nothing, whatever ended the connection.
Status status_of(transport::ConnectionEnd end, bool written);

}  // namespace trailcourse::routing
