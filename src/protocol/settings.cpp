#include "protocol/settings.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "protocol/json_fields.h"

namespace trailcourse::protocol {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<const char*, Idempotency>, 3> kIdempotencyNames{
    {{"safe", Idempotency::kSafe}, {"keyed", Idempotency::kKeyed}, {"unsafe", Idempotency::kUnsafe}}};
constexpr std::array<std::pair<const char*, RetryScope>, 3> kRetryScopeNames{
    {{"all", RetryScope::kAll}, {"zone", RetryScope::kZone}, {"cell", RetryScope::kCell}}};
constexpr std::array<std::pair<const char*, NoteLevel>, 3> kNoteLevelNames{
    {{"none", NoteLevel::kNone}, {"hit", NoteLevel::kHit}, {"all", NoteLevel::kAll}}};
constexpr std::array<std::pair<const char*, SiblingSources>, 3> kSiblingNames{
    {{"none", SiblingSources::kNone},
     {"location", SiblingSources::kLocation},
     {"any", SiblingSources::kAny}}};
constexpr std::array<std::pair<const char*, bool>, 4> kWeightModeNames{
    {{"none", false}, {"nominal", true}, {"rough", true}, {"live", false}}};

// Absent and negative values count as 0, whose meaning docs/configuration.md states for each key. A value of
// the wrong type throws FormatError.
Micros duration_at(const json& object, const char* key) {
  return std::max(Micros(0), seconds_at(object, key));
}
double non_negative_at(const json& object, const char* key, double absent) {
  return std::max(0.0, number_or_default(object, key, absent));
}
// Returns a share, limited to 1.
double share_at(const json& object, const char* key) {
  return std::min(1.0, non_negative_at(object, key, 1.0));
}
// Returns a factor of a budget; 1, the strictest useful value, if it is not positive.
double factor_at(const json& object, const char* key) {
  const double factor = number_or_default(object, key, 1.0);
  return factor > 0.0 ? factor : 1.0;
}

ClassSettings read_class(const json& entry, const json& extra, std::size_t index) {
  const auto by_class = [&](const char* key) -> const json* {
    const json& values = array_at(extra, key);
    return index < values.size() && !values[index].is_null() ? &values[index] : nullptr;
  };
  const auto flag = [&](const char* key) {
    const json* value = by_class(key);
    return value != nullptr && value->is_boolean() && value->get<bool>();
  };
  const auto duration = [&](const char* key) {
    const json* value = by_class(key);
    return value == nullptr ? Micros(0) : std::max(Micros(0), to_micros(*value, key));
  };
  ClassSettings settings;
  settings.idempotency = parse_enum(kIdempotencyNames, string_or_default(entry, "Effect", "unsafe"));
  settings.retry_scope = parse_enum(kRetryScopeNames, string_or_default(entry, "Group", "all"));
  settings.idempotency_window = duration_at(entry, "MemorySpanS");
  settings.latency_objective = duration_at(entry, "ObjectiveS");
  settings.latency_objective_stretch = non_negative_at(entry, "AimStretch", 0.0);
  settings.give_up_after = duration_at(entry, "GiveUpS");
  settings.priority_weight = non_negative_at(entry, "Worth", 1.0);
  settings.late_priority_share = non_negative_at(entry, "LateShare", 0.0);
  settings.streaming = boolean_at(entry, "Streaming");
  settings.lifetime = duration("LifetimeByClassS");
  settings.grace = duration("ClassGraceS");
  settings.segmented = flag("Segmented");
  settings.uncached = flag("Uncached");
  return settings;
}

void read_limits(const json& limits, Settings& settings) {
  settings.max_attempts = small_integer_at(limits, "AttemptsCap", 1);
  settings.may_cancel = boolean_at(limits, "Cancel");
  settings.parallel_attempts = boolean_at(limits, "ParallelTries");
  settings.max_retry_after =
      boolean_at(limits, "RetryAfter") ? duration_at(limits, "MaxRetryAfterS") : Micros(0);
}

void read_rules(const json& rules, const json& extra, Settings& settings) {
  settings.answer_slack = duration_at(rules, "AnswerSlackS");
  settings.drain_grace = duration_at(rules, "DrainGraceS");
  settings.slow_start_from = share_at(rules, "ColdFrom");
  settings.slow_start_span = duration_at(rules, "ColdS");
  settings.overload_factor = factor_at(rules, "OverloadFactor");
  const Micros overload_span = duration_at(rules, "OverloadForS");
  settings.overload_span = overload_span > Micros(0) ? overload_span : Micros(std::chrono::seconds(1));
  settings.purge_grace = duration_at(extra, "HeedWithinS");
  settings.purge_done = duration_at(extra, "ClearedWithinS");
  settings.parent_slow_start_from = share_at(extra, "ParentFloor");
  settings.parent_slow_start_span = duration_at(extra, "ParentRampS");
  settings.parent_overload_factor = factor_at(extra, "ParentBreaksAt");
}

void read_extra(const json& extra, Settings& settings) {
  settings.direct = boolean_at(extra, "Direct");
  settings.can_join_fills = boolean_at(extra, "Collapses");
  settings.siblings = parse_enum(kSiblingNames, string_or_default(extra, "Siblings", "none"));
  settings.notes = parse_enum(kNoteLevelNames, string_or_default(extra, "NoteLevel", "none"));
  settings.stream_kb_per_s = non_negative_at(extra, "StreamKbPerS", 0.0);
}

// Reads the values of this router's own zone from the lists by zone.
void read_own_zone(const std::vector<std::string>& zones, const json& extra, Settings& settings) {
  const json& counts = array_at(extra, "CountByZone");
  const json& links = array_at(extra, "ZoneLinkKbPerS");
  const auto zone_index = static_cast<std::size_t>(
      std::distance(zones.begin(), std::find(zones.begin(), zones.end(), settings.zone)));
  const bool has_count =
      zone_index < zones.size() && zone_index < counts.size() && counts[zone_index].is_number_integer();
  settings.routers_in_zone = has_count ? counts[zone_index].get<int>() : settings.routers;
  const bool has_link =
      zone_index < zones.size() && zone_index < links.size() && links[zone_index].is_number();
  settings.zone_link_kb_per_s = has_link ? links[zone_index].get<double>() : 0.0;
}

}  // namespace

DeploymentSettings read_deployment_settings(const json& source) {
  if (!source.is_object()) {
    throw FormatError("settings are not an object");
  }
  DeploymentSettings deployment;
  Settings& settings = deployment.settings;
  const json& extra = section(source, "Extra");
  settings.zone = string_or_default(source, "Az", "");
  settings.self_index = small_integer_at(source, "SelfIndex", -1);
  settings.routers = small_integer_at(source, "Balancers", 1);
  settings.must_subscribe = string_or_default(source, "Discovery", "push") == "ask";
  settings.weights_are_sizes = parse_enum(kWeightModeNames, string_or_default(source, "Weights", "none"));
  const json& classes = array_at(source, "Classes");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    deployment.class_index[string_at(classes[i], "Name")] = static_cast<int>(i);
    settings.classes.push_back(read_class(classes[i], extra, i));
  }
  read_limits(section(source, "Limits"), settings);
  read_rules(section(source, "Rules"), extra, settings);
  read_extra(extra, settings);
  read_own_zone(strings_at(source, "Zones"), extra, settings);
  deployment.kinds = strings_at(source, "Kinds");
  deployment.parent_kind = small_integer_at(extra, "MidKind", -1);
  deployment.origin_kind = small_integer_at(extra, "OriginKind", -1);
  deployment.report_fields = strings_at(section(source, "Report"), "Fields");
  const json& limits = section(source, "Limits");
  deployment.connection_idle = duration_at(limits, "ConnIdleS");
  deployment.connect_timeout = duration_at(limits, "ConnectTimeoutS");
  deployment.streams_per_connection = small_integer_at(limits, "StreamsPerConn", 0);
  deployment.max_open_requests = small_integer_at(limits, "MaxOpen", 0);
  return deployment;
}

Role DeploymentSettings::role_of(const std::string& kind) const {
  const auto is_kind = [&](int index) {
    return index >= 0 && static_cast<std::size_t>(index) < kinds.size() &&
           kinds[static_cast<std::size_t>(index)] == kind;
  };
  return is_kind(parent_kind) ? Role::kParent : is_kind(origin_kind) ? Role::kOrigin : Role::kCache;
}

void set_report_value(LoadReport& report, const std::string& field, double value) {
  if (field == "load_share") {
    report.utilisation = value;
  } else if (field == "concurrent") {
    report.concurrent = value;
  } else if (field == "x0") {
    report.hit_share = value;
  } else if (field == "x1") {
    report.link_or_fetches = value;
  }
}

}  // namespace trailcourse::protocol
