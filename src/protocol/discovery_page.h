// What the notice board tells: numbered changes of the list of caches and purges, as JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/settings.h"

namespace trailcourse::protocol {

// A cache as the notice board lists it: its name, and where this router reaches it.
struct ListedEndpoint {
  Endpoint entry;             // its address is the name, its start is not set
  std::string address;        // IP:PORT
  std::int64_t since_ms = 0;  // Unix time of a late start; 0: long ago
};
struct EndpointsChanged {
  bool whole = false;  // all there are; else only what has changed
  std::vector<ListedEndpoint> caches;
};
struct PurgeReceived {
  bool whole_group = false;
  ObjectId object = 0;
  std::uint64_t group = 0;
  std::int64_t at_ms = 0;  // Unix time of the purge
};
struct Notice {
  std::uint64_t number = 0;
  std::variant<EndpointsChanged, PurgeReceived> what;
};
struct DiscoveryPage {
  std::uint64_t last = 0;
  std::vector<Notice> notices;
  std::vector<std::string> skipped;  // what could not be used, in words
  std::uint64_t highest = 0;         // number seen, also of what was skipped or is not known here
};

// Reads {"rev":N,"notices":[...]}. An entry that cannot be used is skipped by itself; a page that is none at
// all throws FormatError.
DiscoveryPage read_discovery_page(const nlohmann::json& page, const Profile& profile);
DiscoveryPage parse_discovery_page(std::string_view text, const Profile& profile);

std::string poll_path(std::uint64_t last, std::int64_t linger_ms);

}  // namespace trailcourse::protocol
