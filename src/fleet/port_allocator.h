// Loopback addresses that are surely free: a host address of this process's own, and ports that were looked
// at.
//
// Package `fleet`, over `transport`. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "transport/socket.h"

namespace trailcourse::fleet {

// 127.64.0.0 to 127.127.255.255, by the process id: no two living processes share one, and the system lends
// ports for outgoing connections at 127.0.0.1 alone. Only a listener on all addresses can stand in the way of
// a port, so each is bound once before it is given.
class PortAllocator {
 public:
  PortAllocator();

  std::uint32_t host() const { return host_; }
  // Never the same twice. Throws std::runtime_error where none is left.
  transport::Address take();
  std::string take_text() { return transport::to_string(take()); }

 private:
  std::uint32_t host_;
};

}  // namespace trailcourse::fleet
