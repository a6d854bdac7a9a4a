// Whoever takes in what the notice board tells.
#pragma once

#include <cstdint>

#include "protocol/discovery_page.h"

namespace trailcourse::routing {

class DiscoveryListener {
 public:
  DiscoveryListener() = default;
  DiscoveryListener(const DiscoveryListener&) = delete;
  DiscoveryListener& operator=(const DiscoveryListener&) = delete;
  virtual ~DiscoveryListener() = default;

  virtual void take(const protocol::DiscoveryPage& page) = 0;
  // The number of the last event taken in: the board is asked for what is later.
  virtual std::uint64_t last() const = 0;
  // The board began anew: its next events are numbered from its start, and the list among them is whole.
  virtual void reset_sequence() {}
};

}  // namespace trailcourse::routing
