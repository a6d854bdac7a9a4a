// Pages of the discovery service: JSON with endpoint updates and purge events, each with a sequence number.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/settings.h"

namespace trailcourse::protocol {

// An endpoint as the discovery service lists it: its name and its network address.
struct ListedEndpoint {
  Endpoint endpoint;                 // its `address` is the name; its start time is not set
  std::string network_address;       // IP:PORT
  std::int64_t started_unix_ms = 0;  // Unix time of its start; 0: long ago
};
// An endpoint update.
struct EndpointsChanged {
  bool complete = false;  // the list is complete; otherwise it has only the changed endpoints
  std::vector<ListedEndpoint> endpoints;
};
// A purge event for an object or a group.
struct PurgeReceived {
  bool whole_group = false;
  ObjectId object = 0;
  std::uint64_t group = 0;
  std::int64_t purged_unix_ms = 0;  // Unix time of the purge
};
// One event of the discovery service.
struct DiscoveryUpdate {
  std::uint64_t sequence = 0;
  std::variant<EndpointsChanged, PurgeReceived> change;
};
// The events after the sequence number of a poll.
struct DiscoveryPage {
  std::uint64_t last_sequence = 0;
  std::vector<DiscoveryUpdate> updates;
  std::vector<std::string> skipped;    // an error message for each invalid entry
  std::uint64_t highest_sequence = 0;  // including skipped events and unknown kinds
};

// Reads {"rev":N,"notices":[...]}. Invalid entries are skipped one by one; throws FormatError if the page
// itself is invalid.
DiscoveryPage read_discovery_page(const nlohmann::json& page, const DeploymentSettings& deployment);
DiscoveryPage parse_discovery_page(std::string_view text, const DeploymentSettings& deployment);

// Returns the path of a poll for the events after `last_sequence`, with its long-poll timeout.
std::string poll_path(std::uint64_t last_sequence, std::int64_t long_poll_timeout_ms);

}  // namespace trailcourse::protocol
