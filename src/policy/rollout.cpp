#include "policy/rollout.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

#include "coordination/record_fields.h"

namespace trailcourse::policy {

using coordination::bool_field;
using coordination::number_field;
using coordination::text_field;
using coordination::unsigned_field;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// The names of the states in the store, in the order of RolloutState.
constexpr std::array<const char*, 6> kStateNames{"preparing", "holding", "committed",
                                                 "watched",   "done",    "aborted"};
constexpr std::uint64_t kStagesPerRollout = 1'000;
constexpr std::uint64_t kMaxWatchMs = 86'400'000;

std::optional<RolloutState> parse_state(const std::string& name) {
  const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end()) {
    return std::nullopt;
  }
  return static_cast<RolloutState>(found - kStateNames.begin());
}

// Returns nothing if one of the stages is not a string.
std::optional<std::vector<std::string>> read_stages(const json& record) {
  std::vector<std::string> out;
  const auto stages = record.find("stages");
  if (stages == record.end() || !stages->is_array()) {
    return out;
  }
  for (const json& zone : *stages) {
    if (!zone.is_string()) {
      return std::nullopt;
    }
    out.push_back(zone.get<std::string>());
  }
  return out;
}

bool is_valid(const Rollout& rollout) {
  return rollout.id != 0 && rollout.target_version != rollout.previous_version &&
         rollout.stage <= rollout.stages.size() && rollout.stages.size() < kStagesPerRollout;
}

}  // namespace

const char* to_string(RolloutState state) { return kStateNames.at(static_cast<std::size_t>(state)); }

bool Rollout::applies_to(const std::string& zone) const {
  if (!is_last_stage()) {
    return stages[stage] == zone;
  }
  return std::find(stages.begin(), stages.end(), zone) == stages.end();
}

StageId stage_id(const Rollout& rollout) { return rollout.id * kStagesPerRollout + rollout.stage; }

std::string write_rollout(const Rollout& rollout) {
  return json{{"id", rollout.id},
              {"version", rollout.target_version},
              {"before", rollout.previous_version},
              {"state", to_string(rollout.state)},
              {"urgent", rollout.urgent},
              {"stages", rollout.stages},
              {"stage", rollout.stage},
              {"watch_ms", duration_cast<milliseconds>(rollout.watch_time).count()},
              {"most_refused", rollout.max_rejected_share},
              {"why", rollout.reason},
              {"by", rollout.author}}
      .dump();
}

std::optional<Rollout> read_rollout(const std::string& text) {
  const json record = json::parse(text, nullptr, false);
  if (!record.is_object()) {
    return std::nullopt;
  }
  const auto state = parse_state(text_field(record, "state"));
  auto stages = read_stages(record);
  if (!state || !stages) {
    return std::nullopt;
  }
  Rollout out;
  out.id = unsigned_field(record, "id");
  out.target_version = unsigned_field(record, "version");
  out.previous_version = unsigned_field(record, "before");
  out.state = *state;
  out.urgent = bool_field(record, "urgent");
  out.stages = std::move(*stages);
  out.stage = unsigned_field(record, "stage");
  out.watch_time = milliseconds(std::min(unsigned_field(record, "watch_ms"), kMaxWatchMs));
  out.max_rejected_share = number_field(record, "most_refused", 1.0);
  out.reason = text_field(record, "why");
  out.author = text_field(record, "by");
  return is_valid(out) ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace trailcourse::policy
