#include "protocol/discovery_page.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "protocol/json_fields.h"

namespace trailcourse::protocol {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxMillis = 1'000'000'000'000'000;  // keeps microseconds within 64 bits

constexpr std::array<std::pair<const char*, NodeState>, 3> kStateNames{
    {{"up", NodeState::kReady}, {"draining", NodeState::kDraining}, {"removed", NodeState::kGone}}};

std::int64_t millis_at(const json& object, const char* key) {
  const std::int64_t millis = integer_or_default(object, key, 0);
  if (millis < 0 || millis > kMaxMillis) {
    throw FormatError(std::string("time out of range: ") + key);
  }
  return millis;
}

ListedEndpoint read_endpoint(const json& source, const DeploymentSettings& deployment) {
  if (!source.is_object()) {
    throw FormatError("not an object");
  }
  ListedEndpoint listed;
  Endpoint& endpoint = listed.endpoint;
  endpoint.address = string_at(source, "name");
  // The name is sent to caches as a field's value.
  if (endpoint.address.empty() || endpoint.address.find_first_of(",= \r\n") != std::string::npos) {
    throw FormatError("invalid name");
  }
  endpoint.state = parse_enum(kStateNames, string_or_default(source, "status", "up"));
  endpoint.zone = string_or_default(source, "zone", "");
  endpoint.role = deployment.role_of(string_or_default(source, "type", ""));
  endpoint.cell = small_integer_at(source, "group", 0);
  endpoint.weight = number_or_default(source, "weight", 1.0);
  if (!std::isfinite(endpoint.weight) || endpoint.weight < 0.0) {
    throw FormatError("number out of range: weight");
  }
  listed.network_address = string_or_default(source, "address", "");
  listed.started_unix_ms = millis_at(source, "since_ms");
  return listed;
}

EndpointsChanged read_endpoints_changed(const json& source, const DeploymentSettings& deployment,
                                        std::vector<std::string>& skipped) {
  EndpointsChanged change;
  change.complete = boolean_at(source, "snapshot");
  for (const json& entry : array_at(source, "endpoints")) {
    try {
      change.endpoints.push_back(read_endpoint(entry, deployment));
    } catch (const FormatError& error) {
      skipped.push_back(std::string("endpoint: ") + error.what());
    }
  }
  return change;
}

PurgeReceived read_purge(const json& source) {
  PurgeReceived purge;
  purge.whole_group = find(source, "asset") == nullptr;
  if (purge.whole_group) {
    purge.group = id_at(source, "collection");
  } else {
    purge.object = hex_at(source, "asset");
  }
  require(source, "ms");
  purge.purged_unix_ms = millis_at(source, "ms");
  return purge;
}

}  // namespace

DiscoveryPage read_discovery_page(const json& page, const DeploymentSettings& deployment) {
  if (!page.is_object()) {
    throw FormatError("not a discovery page");
  }
  DiscoveryPage out;
  out.last_sequence = id_at(page, "rev");
  for (const json& entry : array_at(page, "notices")) {
    try {
      if (!entry.is_object()) {
        throw FormatError("not an object");
      }
      DiscoveryUpdate update;
      update.sequence = id_at(entry, "rev");
      if (update.sequence > out.last_sequence) {
        throw FormatError("sequence number beyond that of the page: rev");
      }
      out.highest_sequence = std::max(out.highest_sequence, update.sequence);
      if (find(entry, "pool") != nullptr) {
        update.change = read_endpoints_changed(section(entry, "pool"), deployment, out.skipped);
      } else if (find(entry, "flush") != nullptr) {
        update.change = read_purge(section(entry, "flush"));
      } else {
        continue;  // a kind of event that this version does not know
      }
      out.updates.push_back(std::move(update));
    } catch (const FormatError& error) {
      out.skipped.push_back(std::string("event: ") + error.what());
    }
  }
  // Without this, a page without any valid event would be requested again and again.
  if (out.highest_sequence == 0 && !out.skipped.empty()) {
    out.highest_sequence = out.last_sequence;
  }
  return out;
}

DiscoveryPage parse_discovery_page(std::string_view text, const DeploymentSettings& deployment) {
  const json page = json::parse(text, nullptr, false);
  if (page.is_discarded()) {
    throw FormatError("not JSON");
  }
  return read_discovery_page(page, deployment);
}

std::string poll_path(std::uint64_t last_sequence, std::int64_t long_poll_timeout_ms) {
  return "/board/poll?watch=" + std::to_string(last_sequence) +
         "&linger=" + std::to_string(long_poll_timeout_ms);
}

}  // namespace trailcourse::protocol
