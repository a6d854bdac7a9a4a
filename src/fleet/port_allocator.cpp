#include "fleet/port_allocator.h"

#include <unistd.h>

#include <stdexcept>

namespace trailcourse::fleet {
namespace {

constexpr std::uint32_t kFirstHost = 0x7f400000U;  // 127.64.0.0
constexpr std::uint32_t kHosts = 0x00400000U;      // limit of Linux on the number of process ids
constexpr int kFirstPort = 10'000;
constexpr int kLastPort = 32'000;  // below the ephemeral range

int next_port = kFirstPort;  // shared by all allocators of the process, so that they return different ports

}  // namespace

PortAllocator::PortAllocator() : host_(kFirstHost + static_cast<std::uint32_t>(::getpid()) % kHosts) {}

transport::Address PortAllocator::allocate() {
  for (int tries = kFirstPort; tries < kLastPort; ++tries) {
    const transport::Address address{host_, static_cast<std::uint16_t>(next_port)};
    next_port = next_port + 1 < kLastPort ? next_port + 1 : kFirstPort;
    if (transport::listen_on(address, 1).descriptor.valid()) {
      return address;
    }
  }
  throw std::runtime_error("no loopback port is free");
}

}  // namespace trailcourse::fleet
