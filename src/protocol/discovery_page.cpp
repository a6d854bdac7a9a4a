#include "protocol/discovery_page.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "protocol/json_fields.h"

namespace trailcourse::protocol {
namespace {

using nlohmann::json;

constexpr std::int64_t kMostMillis = 1'000'000'000'000'000;  // keeps microseconds within 64 bits

constexpr std::array<std::pair<const char*, NodeState>, 3> kStateWords{
    {{"up", NodeState::kReady}, {"draining", NodeState::kDraining}, {"removed", NodeState::kGone}}};

std::int64_t millis_at(const json& object, const char* key) {
  const std::int64_t millis = integer_or_default(object, key, 0);
  if (millis < 0 || millis > kMostMillis) {
    throw FormatError(std::string("time out of range: ") + key);
  }
  return millis;
}

ListedEndpoint read_cache(const json& source, const Profile& profile) {
  if (!source.is_object()) {
    throw FormatError("not an entry");
  }
  ListedEndpoint cache;
  Endpoint& entry = cache.entry;
  entry.address = string_at(source, "name");
  // The name goes on to caches as a field's value.
  if (entry.address.empty() || entry.address.find_first_of(",= \r\n") != std::string::npos) {
    throw FormatError("unusable name");
  }
  entry.state = parse_enum(kStateWords, string_or_default(source, "status", "up"));
  entry.zone = string_or_default(source, "zone", "");
  entry.role = profile.role_of(string_or_default(source, "type", ""));
  entry.cell = small_integer_at(source, "group", 0);
  entry.weight = number_or_default(source, "weight", 1.0);
  if (!std::isfinite(entry.weight) || entry.weight < 0.0) {
    throw FormatError("number out of range: weight");
  }
  cache.address = string_or_default(source, "address", "");
  cache.since_ms = millis_at(source, "since_ms");
  return cache;
}

EndpointsChanged read_pool(const json& source, const Profile& profile, std::vector<std::string>& skipped) {
  EndpointsChanged pool;
  pool.whole = boolean_at(source, "snapshot");
  for (const json& entry : array_at(source, "endpoints")) {
    try {
      pool.caches.push_back(read_cache(entry, profile));
    } catch (const FormatError& error) {
      skipped.push_back(std::string("entry: ") + error.what());
    }
  }
  return pool;
}

PurgeReceived read_flush(const json& source) {
  PurgeReceived flush;
  flush.whole_group = find(source, "asset") == nullptr;
  if (flush.whole_group) {
    flush.group = id_at(source, "collection");
  } else {
    flush.object = hex_at(source, "asset");
  }
  require(source, "ms");
  flush.at_ms = millis_at(source, "ms");
  return flush;
}

}  // namespace

DiscoveryPage read_discovery_page(const json& page, const Profile& profile) {
  if (!page.is_object()) {
    throw FormatError("not a page of notices");
  }
  DiscoveryPage out;
  out.last = id_at(page, "rev");
  for (const json& entry : array_at(page, "notices")) {
    try {
      if (!entry.is_object()) {
        throw FormatError("not a notice");
      }
      Notice notice;
      notice.number = id_at(entry, "rev");
      if (notice.number > out.last) {
        throw FormatError("numbered beyond the page: rev");
      }
      out.highest = std::max(out.highest, notice.number);
      if (find(entry, "pool") != nullptr) {
        notice.what = read_pool(section(entry, "pool"), profile, out.skipped);
      } else if (find(entry, "flush") != nullptr) {
        notice.what = read_flush(section(entry, "flush"));
      } else {
        continue;  // a kind of notice that this build does not know
      }
      out.notices.push_back(std::move(notice));
    } catch (const FormatError& error) {
      out.skipped.push_back(std::string("notice: ") + error.what());
    }
  }
  // A page of which nothing can be read would come again and again.
  if (out.highest == 0 && !out.skipped.empty()) {
    out.highest = out.last;
  }
  return out;
}

DiscoveryPage parse_discovery_page(std::string_view text, const Profile& profile) {
  const json page = json::parse(text, nullptr, false);
  if (page.is_discarded()) {
    throw FormatError("not JSON");
  }
  return read_discovery_page(page, profile);
}

std::string poll_path(std::uint64_t last, std::int64_t linger_ms) {
  return "/board/poll?watch=" + std::to_string(last) + "&linger=" + std::to_string(linger_ms);
}

}  // namespace trailcourse::protocol
