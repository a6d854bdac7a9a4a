// The other side of FastCGI, under the name that the tests use.
#pragma once

#include "protocol/fastcgi_peer.h"

namespace trailcourse::testing_support {

using namespace protocol::fastcgi_peer;  // NOLINT: a name for all of it

}  // namespace trailcourse::testing_support
