#include "policy/rollout.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace trailcourse::policy {

using coordination::Delete;
using coordination::Get;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using nlohmann::json;

namespace {

constexpr const char* kStates[] = {"preparing", "holding", "committed", "watched", "done", "aborted"};
constexpr std::uint64_t kLeastWatched = 20;  // requests, below which a share says nothing

std::uint64_t number_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}
std::string text_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// The permits that the stage at hand is about.
std::map<std::string, ParticipantReport> concerned(const RolloutSnapshot& seen) {
  std::map<std::string, ParticipantReport> out;
  for (const auto& [name, permit] : seen.reports) {
    if (seen.rollout->applies_to(permit.zone)) {
      out[name] = permit;
    }
  }
  return out;
}

// Of a permit's key.
std::string router_of(const std::string& key) { return key.substr(0, key.find('/')); }

bool last_stage(const Rollout& change) { return change.stage >= change.stages.size(); }

}  // namespace

const char* to_string(RolloutState state) { return kStates[static_cast<int>(state)]; }

// A zone that stands among the stages is of its own stage alone; all others are of the last.
bool Rollout::applies_to(const std::string& zone) const {
  if (stage < stages.size()) {
    return stages[stage] == zone;
  }
  return std::find(stages.begin(), stages.end(), zone) == stages.end();
}

std::string report_key(const std::string& router, coordination::LeaseId lease) {
  return kReportPrefix + router + "/" + std::to_string(lease);
}

std::string write_rollout(const Rollout& change) {
  return json{{"id", change.id},
              {"version", change.target_version},
              {"before", change.previous_version},
              {"state", to_string(change.state)},
              {"urgent", change.urgent},
              {"stages", change.stages},
              {"stage", change.stage},
              {"watch_ms", change.watch_ms},
              {"most_refused", change.max_rejected_share},
              {"why", change.reason},
              {"by", change.author}}
      .dump();
}

std::optional<Rollout> read_rollout(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  Rollout out;
  out.id = number_of(from, "id");
  out.target_version = number_of(from, "version");
  out.previous_version = number_of(from, "before");
  out.stage = number_of(from, "stage");
  out.watch_ms = static_cast<std::int64_t>(std::min<std::uint64_t>(number_of(from, "watch_ms"), 86'400'000));
  out.reason = text_of(from, "why");
  out.author = text_of(from, "by");
  const auto urgent = from.find("urgent");
  out.urgent = urgent != from.end() && urgent->is_boolean() && urgent->get<bool>();
  const auto refused = from.find("most_refused");
  out.max_rejected_share = refused != from.end() && refused->is_number() ? refused->get<double>() : 1.0;
  const auto stages = from.find("stages");
  if (stages != from.end() && stages->is_array()) {
    for (const json& zone : *stages) {
      if (!zone.is_string()) {
        return std::nullopt;
      }
      out.stages.push_back(zone.get<std::string>());
    }
  }
  const std::string state = text_of(from, "state");
  const auto found = std::find(std::begin(kStates), std::end(kStates), state);
  if (found == std::end(kStates) || out.id == 0 || out.target_version == out.previous_version ||
      out.stage > out.stages.size() || out.stages.size() > 999) {
    return std::nullopt;
  }
  out.state = static_cast<RolloutState>(found - std::begin(kStates));
  return out;
}

std::string write_report(const ParticipantReport& permit) {
  json out{{"incarnation", permit.incarnation}, {"zone", permit.zone},
           {"version", permit.version},         {"ready", permit.ready_stage},
           {"held", permit.suspended_stage},    {"no", permit.rejected_stage},
           {"why", permit.rejection_reason},    {"requests", permit.requests},
           {"refused", permit.failed_requests}};
  if (permit.sequence > 0) {
    out["number"] = permit.sequence;
  }
  if (permit.represented_routers > 0) {
    out["routers"] = permit.represented_routers;
  }
  if (!permit.waiting_for.empty()) {
    out["awaits"] = permit.waiting_for;
  }
  if (permit.acknowledged_round > 0) {
    out["acknowledged"] = permit.acknowledged_round;
  }
  return out.dump();
}

std::optional<ParticipantReport> read_report(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  ParticipantReport out;
  out.incarnation = text_of(from, "incarnation");
  out.zone = text_of(from, "zone");
  out.version = number_of(from, "version");
  out.ready_stage = number_of(from, "ready");
  out.suspended_stage = number_of(from, "held");
  out.rejected_stage = number_of(from, "no");
  out.rejection_reason = text_of(from, "why");
  out.requests = number_of(from, "requests");
  out.failed_requests = number_of(from, "refused");
  out.sequence = number_of(from, "number");
  out.represented_routers = number_of(from, "routers");
  out.waiting_for = text_of(from, "awaits");
  out.acknowledged_round = number_of(from, "acknowledged");
  return out;
}

// One that cannot be read is there all the same: it is awaited until its permission runs out.
std::map<std::string, ParticipantReport> read_reports(const std::string& prefix,
                                                      const std::vector<coordination::Entry>& entries) {
  const std::size_t stem = prefix.size() + std::string(kReportPrefix).size();
  std::map<std::string, ParticipantReport> out;
  for (const coordination::Entry& entry : entries) {
    out[entry.key.substr(stem)] = read_report(entry.value).value_or(ParticipantReport{});
  }
  return out;
}

std::string describe_reporter(const std::string& key, const ParticipantReport& permit) {
  std::string out = router_of(key);
  if (permit.represented_routers > 0) {
    out += " for " + std::to_string(permit.represented_routers) + " routers";
  }
  if (!permit.waiting_for.empty()) {
    out += ", among them " + permit.waiting_for + ",";
  }
  return out;
}

// ---- The driver ----

Micros RolloutCoordinator::since(Micros now, const Rollout& change) {
  if (step_ != stage_id(change) || state_ != change.state) {
    step_ = stage_id(change);
    state_ = change.state;
    since_ = now;
    base_.clear();
  }
  return since_;
}

std::optional<RolloutStep> RolloutCoordinator::step(Micros now, const RolloutSnapshot& seen) {
  due_.reset();
  if (!seen.rollout || !seen.rollout->is_open()) {
    return std::nullopt;
  }
  since(now, *seen.rollout);
  switch (seen.rollout->state) {
    case RolloutState::kPreparing:
      return prepare(now, seen);
    case RolloutState::kSuspending:
      return hold(now, seen);
    case RolloutState::kCommitted:
      return settle(now, seen);
    case RolloutState::kWatching:
      return watch(now, seen);
    case RolloutState::kDone:
    case RolloutState::kAborted:
      break;
  }
  return std::nullopt;
}

namespace {

RolloutStep abort_with(const Rollout& change, const std::string& why) {
  RolloutStep out;
  out.rollout = change;
  out.rollout.state = RolloutState::kAborted;
  out.rollout.reason = why;
  out.audit = "aborted: " + why;
  return out;
}

}  // namespace

std::optional<RolloutStep> RolloutCoordinator::prepare(Micros now, const RolloutSnapshot& seen) {
  const Rollout& change = *seen.rollout;
  std::string missing;
  for (const auto& [name, permit] : concerned(seen)) {
    if (permit.rejected_stage == stage_id(change)) {
      return abort_with(change, router_of(name) + " says no: " + permit.rejection_reason);
    }
    if (permit.ready_stage != stage_id(change)) {
      missing += (missing.empty() ? "" : ", ") + router_of(name);
    }
  }
  if (missing.empty()) {
    RolloutStep out;
    out.rollout = change;
    out.rollout.state = RolloutState::kSuspending;
    out.audit = "all are ready; routers hold";
    return out;
  }
  if (now - since_ >= rules_.prepare_timeout) {
    return abort_with(change, "not ready in time: " + missing);
  }
  due_ = since_ + rules_.prepare_timeout;
  return std::nullopt;
}

std::optional<RolloutStep> RolloutCoordinator::hold(Micros now, const RolloutSnapshot& seen) {
  const Rollout& change = *seen.rollout;
  std::string missing;
  for (const auto& [name, permit] : concerned(seen)) {
    // One that joined since, or found out late.
    if (permit.rejected_stage == stage_id(change)) {
      return abort_with(change, router_of(name) + " says no: " + permit.rejection_reason);
    }
    if (permit.suspended_stage != stage_id(change)) {
      missing += (missing.empty() ? "" : ", ") + router_of(name);
    }
  }
  if (missing.empty()) {
    RolloutStep out;
    out.rollout = change;
    out.rollout.state = RolloutState::kCommitted;
    out.commit = true;
    out.audit = last_stage(change) && change.stages.empty() ? "committed"
                : last_stage(change)                        ? "committed in all zones"
                                     : "committed in zone " + change.stages[change.stage];
    return out;
  }
  if (now - since_ >= rules_.suspend_timeout) {
    return abort_with(change, "do not hold, and are there: " + missing);
  }
  due_ = since_ + rules_.suspend_timeout;
  return std::nullopt;
}

// Until everyone who is there decides under it. Nobody can be made to hurry: whoever does not, holds.
std::optional<RolloutStep> RolloutCoordinator::settle(Micros, const RolloutSnapshot& seen) {
  const Rollout& change = *seen.rollout;
  for (const auto& [name, permit] : concerned(seen)) {
    if (permit.version != change.target_version || permit.suspended_stage != 0) {
      return std::nullopt;
    }
  }
  RolloutStep out;
  out.rollout = change;
  if (last_stage(change)) {
    out.rollout.state = RolloutState::kDone;
    out.audit = "done: all decide under it";
  } else {
    out.rollout.state = RolloutState::kWatching;
    out.audit = "zone " + change.stages[change.stage] + " decides under it and is watched";
  }
  return out;
}

std::optional<RolloutStep> RolloutCoordinator::watch(Micros now, const RolloutSnapshot& seen) {
  const Rollout& change = *seen.rollout;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  for (const auto& [name, permit] : concerned(seen)) {
    const std::string key = name + "/" + permit.incarnation;
    const auto [base, added] = base_.try_emplace(key, permit.requests, permit.failed_requests);
    requests += permit.requests - std::min(permit.requests, base->second.first);
    refused += permit.failed_requests - std::min(permit.failed_requests, base->second.second);
  }
  const double share = requests > 0 ? static_cast<double>(refused) / static_cast<double>(requests) : 0.0;
  if (requests >= kLeastWatched && share > change.max_rejected_share) {
    // Back: a new change, to what was in force, in the zones that have switched.
    RolloutStep out;
    out.rollout = change;
    out.rollout.id = change.id + 1;
    out.rollout.target_version = change.previous_version;
    out.rollout.previous_version = change.target_version;
    out.rollout.state = RolloutState::kPreparing;
    out.rollout.stages = {};
    out.rollout.stage = 0;
    out.rollout.watch_ms = 0;
    out.rollout.max_rejected_share = 1.0;
    out.rollout.reason = "turned back: " + std::to_string(refused) + " of " + std::to_string(requests) +
                         " requests refused or failed in zone " + change.stages[change.stage];
    out.audit = out.rollout.reason;
    return out;
  }
  const Micros end = since_ + std::chrono::milliseconds(change.watch_ms);
  if (now < end) {
    due_ = end;
    return std::nullopt;
  }
  RolloutStep out;
  out.rollout = change;
  ++out.rollout.stage;
  out.rollout.state = RolloutState::kPreparing;
  out.audit = "within its limits; the next stage is prepared";
  return out;
}

std::vector<std::string> describe_pending(const RolloutSnapshot& seen) {
  std::vector<std::string> out;
  if (!seen.rollout || !seen.rollout->is_open()) {
    return out;
  }
  const Rollout& change = *seen.rollout;
  for (const auto& [name, permit] : concerned(seen)) {
    if (change.state == RolloutState::kPreparing && permit.ready_stage != stage_id(change)) {
      out.push_back(describe_reporter(name, permit) + " is to say that it is ready");
    } else if (change.state == RolloutState::kSuspending && permit.suspended_stage != stage_id(change)) {
      out.push_back(describe_reporter(name, permit) + " is to hold, or its permission to run out");
    } else if (change.state == RolloutState::kCommitted &&
               (permit.version != change.target_version || permit.suspended_stage != 0)) {
      out.push_back(describe_reporter(name, permit) +
                    " is to switch, or its permission to run out; it holds");
    }
  }
  return out;
}

std::string check_can_begin(const RolloutSnapshot& seen, bool urgent, bool& superseded) {
  superseded = false;
  if (!seen.rollout || !seen.rollout->is_open()) {
    return {};
  }
  const Rollout& open = *seen.rollout;
  const bool untouched =
      open.stage == 0 && (open.state == RolloutState::kPreparing || open.state == RolloutState::kSuspending);
  if (urgent && untouched) {
    superseded = true;
    return {};
  }
  return "change " + std::to_string(open.id) + " to version " + std::to_string(open.target_version) + " is " +
         to_string(open.state) + (urgent ? " and has committed" : "; wait, abort it, or say --urgent");
}

// ---- Transactions ----

Transaction begin_transaction(const std::string& prefix, const RolloutSnapshot& seen, const Rollout& change,
                              const std::string& document, const std::string& audit) {
  Transaction out;
  const std::string at = prefix + kDocumentPrefix + std::to_string(change.target_version);
  out.when = {coordination::unchanged(prefix + kRolloutKey, seen.rollout_revision),
              coordination::unchanged(prefix + kCurrentKey, seen.current_revision)};
  if (!document.empty()) {
    out.when.push_back(coordination::absent(at));
    out.then.push_back(Put{at, document, 0});
  }
  out.then.push_back(Put{prefix + kRolloutKey, write_rollout(change), 0});
  out.then.push_back(Put{prefix + kAuditPrefix + std::to_string(change.id) + "/begun", audit, 0});
  return out;
}

Transaction execute_transaction(const std::string& prefix, const RolloutSnapshot& seen,
                                const RolloutStep& step) {
  Transaction out;
  const Rollout& change = step.rollout;
  out.when = {coordination::unchanged(prefix + kRolloutKey, seen.rollout_revision),
              coordination::unchanged(prefix + kCurrentKey, seen.current_revision)};
  out.then = {Put{prefix + kRolloutKey, write_rollout(change), 0},
              Put{prefix + kAuditPrefix + std::to_string(change.id) + "/" + std::to_string(change.stage) +
                      "-" + to_string(change.state),
                  step.audit, 0}};
  if (step.commit && last_stage(change)) {
    out.then.push_back(Put{prefix + kCurrentKey, std::to_string(change.target_version), 0});
    out.then.push_back(Delete{Range{prefix + kZonePrefix, true}});
  } else if (step.commit) {
    out.then.push_back(
        Put{prefix + kZonePrefix + change.stages[change.stage], std::to_string(change.target_version), 0});
  }
  return out;
}

Transaction snapshot_transaction(const std::string& prefix) {
  Transaction out;
  out.then = {Get{Range{prefix + kRolloutKey, false}}, Get{Range{prefix + kCurrentKey, false}},
              Get{Range{prefix + kZonePrefix, true}}, Get{Range{prefix + kReportPrefix, true}}};
  return out;
}

RolloutSnapshot read_snapshot(const std::string& prefix, const coordination::Outcome& outcome) {
  RolloutSnapshot out;
  const auto number = [](const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); };
  if (const auto& found = outcome.steps.at(0).found; !found.empty()) {
    out.rollout = read_rollout(found.front().value);
    out.rollout_revision = found.front().modified;
  }
  if (const auto& found = outcome.steps.at(1).found; !found.empty()) {
    out.current_version = number(found.front().value);
    out.current_revision = found.front().modified;
  }
  for (const coordination::Entry& entry : outcome.steps.at(2).found) {
    out.zone_versions[entry.key.substr(prefix.size() + std::string(kZonePrefix).size())] =
        number(entry.value);
  }
  out.reports = read_reports(prefix, outcome.steps.at(3).found);
  return out;
}

}  // namespace trailcourse::policy
