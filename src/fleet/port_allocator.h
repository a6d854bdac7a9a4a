// Free loopback addresses: a host address that only this process uses, and ports that were free when they
// were allocated.
//
// Library `fleet`, over `transport`. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "transport/socket.h"

namespace trailcourse::fleet {

// The host is one of 127.64.0.0 to 127.127.255.255 and follows from the process id, so that no two running
// processes share it; the system uses ports for outgoing connections at 127.0.0.1 only. A port can still be
// taken by a listener on all addresses, so each port is bound once before it is returned.
class PortAllocator {
 public:
  PortAllocator();

  std::uint32_t host() const { return host_; }
  // Returns an address that is free now, and does not return it again until all ports were tried. Throws
  // std::runtime_error if no port is free.
  transport::Address allocate();
  std::string allocate_text() { return transport::to_string(allocate()); }

 private:
  std::uint32_t host_;
};

}  // namespace trailcourse::fleet
