#include "snapshot/snapshot.h"

#include <xxhash.h>

#include <cstdio>
#include <stdexcept>

#include "discovery/event_log.h"
#include "protocol/numbers.h"

namespace trailcourse::snapshot {

using config::WholeRange;
using config::Words;
using nlohmann::json;

namespace {

constexpr std::string_view kMagic = "trailcourse-snapshot ";
constexpr std::string_view kVersion = "1";
constexpr std::int64_t kClockSlackMs = 1'000;  // clocks are set in small steps, too

std::string sum_of(std::string_view body) {
  char sum[17];
  std::snprintf(sum, sizeof sum, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return sum;
}

// The next word of a line, taken off its front.
std::string_view take_word(std::string_view& line) {
  const std::string_view word = line.substr(0, line.find(' '));
  line.remove_prefix(std::min(line.size(), word.size() + 1));
  return word;
}

}  // namespace

const config::Record<SnapshotOptions>& snapshot_record() {
  static const config::Record<SnapshotOptions> kRecord = [] {
    config::Record<SnapshotOptions> record(
        "snapshot",
        "The last list and purges on a lasting disk, so that a start need not wait for the board.");
    record
        .text("folder", &SnapshotOptions::folder, "-", Words{},
              "of this router alone; none: nothing is kept. Made where it is not there")
        .text("fleet", &SnapshotOptions::fleet, "-", Words{{}, true},
              "a snapshot of another fleet is not used")
        .whole("write_ms", &SnapshotOptions::write_ms, "ms", WholeRange{10, 3'600'000},
               "between two writes where the list or the purges change")
        .whole("confirm_ms", &SnapshotOptions::confirm_ms, "ms", WholeRange{100, 3'600'000},
               "between two writes that only say that all is still current")
        .whole("most_age_s", &SnapshotOptions::most_age_s, "s", WholeRange{1, 31'536'000},
               "one that was current longer ago is not used");
    return record;
  }();
  return kRecord;
}

std::uint64_t Snapshot::last() const {
  return page.is_object() && page.contains("rev") && page["rev"].is_number_unsigned()
             ? page["rev"].get<std::uint64_t>()
             : 0;
}

std::string write_snapshot(const Snapshot& snapshot) {
  const std::string body = json{
      {"fleet", snapshot.fleet},
      {"router", snapshot.router},
      {"board_address", snapshot.board_address},
      {"board_id", snapshot.board_id},
      {"confirmed_ms", snapshot.confirmed_ms},
      {"saved_ms", snapshot.saved_ms},
      {"page", snapshot.page}}.dump(-1, ' ', false, json::error_handler_t::replace);
  const std::string sum = sum_of(body);
  std::string out(kMagic);
  out.append(kVersion).append(" ").append(sum).append(" ").append(std::to_string(body.size())).append("\n");
  return out + body;
}

const char* to_string(Refusal refusal) {
  switch (refusal) {
    case Refusal::kTorn:
      return "it is torn";
    case Refusal::kRotten:
      return "its sum does not fit";
    case Refusal::kVersion:
      return "it is of another version";
    case Refusal::kForm:
      return "it is not of the form of a snapshot";
    case Refusal::kFleet:
      return "it is of another fleet";
    case Refusal::kRouter:
      return "it is of another router: is the folder shared by mistake?";
    case Refusal::kOld:
      return "it is older than most_age_s";
    case Refusal::kFuture:
      break;
  }
  return "it is from the future: was the clock set back?";
}

std::variant<Snapshot, Refusal> read_snapshot(std::string_view bytes, const Expected& expected) {
  const std::size_t end = bytes.substr(0, 256).find('\n');
  if (!bytes.starts_with(kMagic) || end == std::string_view::npos) {
    return Refusal::kTorn;
  }
  std::string_view line = bytes.substr(kMagic.size(), end - kMagic.size());
  const std::string_view body = bytes.substr(end + 1);
  if (take_word(line) != kVersion) {
    return Refusal::kVersion;
  }
  const std::string_view sum = take_word(line);
  const auto length = protocol::read_number<std::size_t>(line);
  if (!length || body.size() < *length) {
    return Refusal::kTorn;
  }
  if (body.size() > *length || sum_of(body) != sum || std::to_string(*length) != line) {
    return Refusal::kRotten;
  }
  const json read = json::parse(body, nullptr, false);
  Snapshot out;
  try {
    out.fleet = read.at("fleet").get<std::string>();
    out.router = read.at("router").get<std::string>();
    out.board_address = read.at("board_address").get<std::string>();
    out.board_id = read.at("board_id").get<std::string>();
    out.confirmed_ms = read.at("confirmed_ms").get<std::int64_t>();
    out.saved_ms = read.at("saved_ms").get<std::int64_t>();
    out.page = read.at("page");
    board::check_page(out.page);
  } catch (const std::exception&) {
    return Refusal::kForm;
  }
  if (out.fleet != expected.fleet) {
    return Refusal::kFleet;
  }
  if (out.router != expected.router) {
    return Refusal::kRouter;
  }
  if (out.saved_ms > expected.now_ms + kClockSlackMs || out.confirmed_ms > expected.now_ms + kClockSlackMs) {
    return Refusal::kFuture;
  }
  if (expected.now_ms - out.confirmed_ms > expected.most_age_ms) {
    return Refusal::kOld;
  }
  return out;
}

}  // namespace trailcourse::snapshot
