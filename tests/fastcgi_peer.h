// The client's side of FastCGI, in the namespace of the tests.
#pragma once

#include "protocol/fastcgi_peer.h"

namespace trailcourse::testing_support {

using namespace protocol::fastcgi_peer;  // NOLINT: all names of this namespace

}  // namespace trailcourse::testing_support
