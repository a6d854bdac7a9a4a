#include "snapshot/snapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <optional>

#include "protocol/numbers.h"

namespace trailcourse::snapshot {

using config::IntegerRange;
using config::StringRule;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kMagic = "trailcourse-snapshot ";
constexpr std::string_view kVersion = "1";
constexpr std::size_t kMaxFirstLine = 256;
constexpr milliseconds kClockTolerance{1'000};  // for small adjustments of the clock

std::string checksum_of(std::string_view body) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return text;
}

// Removes the text up to the next space from the front of a line and returns it.
std::string_view consume_token(std::string_view& line) {
  const std::string_view token = line.substr(0, line.find(' '));
  line.remove_prefix(std::min(line.size(), token.size() + 1));
  return token;
}

std::int64_t unix_ms(UnixTime time) { return time.time_since_epoch().count(); }

UnixTime unix_time_at(const json& object, const char* key) {
  return UnixTime(milliseconds(object.at(key).get<std::int64_t>()));
}

// Returns the JSON that follows the first line, after checking version, length and checksum.
tl::expected<std::string_view, SnapshotError> verified_body(std::string_view bytes) {
  const std::size_t line_end = bytes.substr(0, kMaxFirstLine).find('\n');
  if (!bytes.starts_with(kMagic) || line_end == std::string_view::npos) {
    return tl::unexpected(SnapshotError::kTruncated);
  }
  std::string_view line = bytes.substr(kMagic.size(), line_end - kMagic.size());
  const std::string_view body = bytes.substr(line_end + 1);
  if (consume_token(line) != kVersion) {
    return tl::unexpected(SnapshotError::kVersion);
  }
  const std::string_view checksum = consume_token(line);
  const auto length = protocol::read_number<std::size_t>(line);
  if (!length || body.size() < *length) {
    return tl::unexpected(SnapshotError::kTruncated);
  }
  const bool matches =
      body.size() == *length && checksum_of(body) == checksum && std::to_string(*length) == line;
  if (!matches) {
    return tl::unexpected(SnapshotError::kChecksum);
  }
  return body;
}

tl::expected<Snapshot, SnapshotError> parse_body(std::string_view body) {
  const json object = json::parse(body, nullptr, false);
  Snapshot out;
  try {
    out.fleet = object.at("fleet").get<std::string>();
    out.router = object.at("router").get<std::string>();
    out.source_address = object.at("board_address").get<std::string>();
    out.source_id = object.at("board_id").get<std::string>();
    out.confirmed_at = unix_time_at(object, "confirmed_ms");
    out.saved_at = unix_time_at(object, "saved_ms");
    out.page = object.at("page");
    discovery::validate_page(out.page);
  } catch (const std::exception&) {
    return tl::unexpected(SnapshotError::kFormat);
  }
  return out;
}

// Returns why the snapshot may not be used, or nothing where it may.
std::optional<SnapshotError> mismatch(const Snapshot& snapshot, const SnapshotContext& context) {
  if (snapshot.fleet != context.fleet) {
    return SnapshotError::kFleet;
  }
  if (snapshot.router != context.router) {
    return SnapshotError::kRouter;
  }
  const UnixTime latest = context.now + kClockTolerance;
  if (snapshot.saved_at > latest || snapshot.confirmed_at > latest) {
    return SnapshotError::kFromFuture;
  }
  if (context.now - snapshot.confirmed_at > context.max_age) {
    return SnapshotError::kExpired;
  }
  return std::nullopt;
}

}  // namespace

const config::Record<SnapshotOptions>& snapshot_record() {
  static const config::Record<SnapshotOptions> kRecord = [] {
    config::Record<SnapshotOptions> record(
        "snapshot",
        "Snapshots of the endpoint list and the purge events on disk, with which a router starts without "
        "waiting for the discovery service.");
    record
        .string(
            "folder", &SnapshotOptions::folder, "-", StringRule{},
            "folder for the snapshots of this router, which no other router may use; created if it does not "
            "exist; empty: no snapshots")
        .string("fleet", &SnapshotOptions::fleet, "-", StringRule{{}, true},
                "name of the fleet; a snapshot of another fleet is not used")
        .integer("write_ms", &SnapshotOptions::write_ms, "ms", IntegerRange{10, 3'600'000},
                 "minimum interval between two writes when the endpoint list or the purges change")
        .integer("confirm_ms", &SnapshotOptions::confirm_ms, "ms", IntegerRange{100, 3'600'000},
                 "interval between two writes that only record that the data is still current")
        .integer("most_age_s", &SnapshotOptions::most_age_s, "s", IntegerRange{1, 31'536'000},
                 "maximum time since a snapshot was last confirmed; an older one is not used");
    return record;
  }();
  return kRecord;
}

std::uint64_t Snapshot::last_sequence() const {
  const bool has_sequence = page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned();
  return has_sequence ? page["rev"].get<std::uint64_t>() : 0;
}

std::string encode_snapshot(const Snapshot& snapshot) {
  const json object{{"fleet", snapshot.fleet},
                    {"router", snapshot.router},
                    {"board_address", snapshot.source_address},
                    {"board_id", snapshot.source_id},
                    {"confirmed_ms", unix_ms(snapshot.confirmed_at)},
                    {"saved_ms", unix_ms(snapshot.saved_at)},
                    {"page", snapshot.page}};
  const std::string body = object.dump(-1, ' ', false, json::error_handler_t::replace);
  std::string out(kMagic);
  out.append(kVersion).append(" ").append(checksum_of(body)).append(" ");
  out.append(std::to_string(body.size())).append("\n");
  return out + body;
}

const char* to_string(SnapshotError error) {
  switch (error) {
    case SnapshotError::kTruncated:
      return "it is truncated";
    case SnapshotError::kChecksum:
      return "its checksum does not match";
    case SnapshotError::kVersion:
      return "its version is not supported";
    case SnapshotError::kFormat:
      return "its content is not a snapshot";
    case SnapshotError::kFleet:
      return "it is from another fleet";
    case SnapshotError::kRouter:
      return "it is from another router: check that no other router uses this directory";
    case SnapshotError::kExpired:
      return "it is older than most_age_s";
    case SnapshotError::kFromFuture:
      break;
  }
  return "its time is in the future: check the system clock";
}

tl::expected<Snapshot, SnapshotError> decode_snapshot(std::string_view bytes,
                                                      const SnapshotContext& context) {
  const auto body = verified_body(bytes);
  if (!body) {
    return tl::unexpected(body.error());
  }
  auto snapshot = parse_body(*body);
  if (!snapshot) {
    return snapshot;
  }
  if (const std::optional<SnapshotError> error = mismatch(*snapshot, context)) {
    return tl::unexpected(*error);
  }
  return snapshot;
}

}  // namespace trailcourse::snapshot
