// The interface of a component that applies the events of the discovery service.
#pragma once

#include <cstdint>

#include "protocol/discovery_page.h"

namespace trailcourse::routing {

// Receives the pages of a DiscoveryClient.
class DiscoveryListener {
 public:
  DiscoveryListener() = default;
  DiscoveryListener(const DiscoveryListener&) = delete;
  DiscoveryListener& operator=(const DiscoveryListener&) = delete;
  virtual ~DiscoveryListener() = default;

  // Applies the events of a page. The page may contain events that were applied before.
  virtual void apply(const protocol::DiscoveryPage& page) = 0;
  // Returns the sequence number of the last applied event. The client polls for later ones.
  virtual std::uint64_t last_sequence() const = 0;
  // The discovery service had a sequence reset: the next events are numbered from the start, and the first
  // endpoint list among them is complete.
  virtual void reset_sequence() {}
};

}  // namespace trailcourse::routing
