#include "policy/change.h"

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
std::map<std::string, Permit> concerned(const Seen& seen) {
  std::map<std::string, Permit> out;
  for (const auto& [name, permit] : seen.permits) {
    if (seen.change->concerns(permit.zone)) {
      out[name] = permit;
    }
  }
  return out;
}

// Of a permit's key.
std::string router_of(const std::string& key) { return key.substr(0, key.find('/')); }

bool last_stage(const Change& change) { return change.stage >= change.stages.size(); }

}  // namespace

const char* to_string(ChangeState state) { return kStates[static_cast<int>(state)]; }

// A zone that stands among the stages is of its own stage alone; all others are of the last.
bool Change::concerns(const std::string& zone) const {
  if (stage < stages.size()) {
    return stages[stage] == zone;
  }
  return std::find(stages.begin(), stages.end(), zone) == stages.end();
}

std::string permit_key(const std::string& router, coordination::LeaseId lease) {
  return kPermits + router + "/" + std::to_string(lease);
}

std::string write_change(const Change& change) {
  return json{{"id", change.id},
              {"version", change.version},
              {"before", change.before},
              {"state", to_string(change.state)},
              {"urgent", change.urgent},
              {"stages", change.stages},
              {"stage", change.stage},
              {"watch_ms", change.watch_ms},
              {"most_refused", change.most_refused},
              {"why", change.why},
              {"by", change.by}}
      .dump();
}

std::optional<Change> read_change(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  Change out;
  out.id = number_of(from, "id");
  out.version = number_of(from, "version");
  out.before = number_of(from, "before");
  out.stage = number_of(from, "stage");
  out.watch_ms = static_cast<std::int64_t>(std::min<std::uint64_t>(number_of(from, "watch_ms"), 86'400'000));
  out.why = text_of(from, "why");
  out.by = text_of(from, "by");
  const auto urgent = from.find("urgent");
  out.urgent = urgent != from.end() && urgent->is_boolean() && urgent->get<bool>();
  const auto refused = from.find("most_refused");
  out.most_refused = refused != from.end() && refused->is_number() ? refused->get<double>() : 1.0;
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
  if (found == std::end(kStates) || out.id == 0 || out.version == out.before ||
      out.stage > out.stages.size() || out.stages.size() > 999) {
    return std::nullopt;
  }
  out.state = static_cast<ChangeState>(found - std::begin(kStates));
  return out;
}

std::string write_permit(const Permit& permit) {
  json out{{"incarnation", permit.incarnation},
           {"zone", permit.zone},
           {"version", permit.version},
           {"ready", permit.ready},
           {"held", permit.held},
           {"no", permit.no},
           {"why", permit.why},
           {"requests", permit.requests},
           {"refused", permit.refused}};
  if (permit.number > 0) {
    out["number"] = permit.number;
  }
  if (permit.routers > 0) {
    out["routers"] = permit.routers;
  }
  if (!permit.awaits.empty()) {
    out["awaits"] = permit.awaits;
  }
  if (permit.acknowledged > 0) {
    out["acknowledged"] = permit.acknowledged;
  }
  return out.dump();
}

std::optional<Permit> read_permit(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  Permit out;
  out.incarnation = text_of(from, "incarnation");
  out.zone = text_of(from, "zone");
  out.version = number_of(from, "version");
  out.ready = number_of(from, "ready");
  out.held = number_of(from, "held");
  out.no = number_of(from, "no");
  out.why = text_of(from, "why");
  out.requests = number_of(from, "requests");
  out.refused = number_of(from, "refused");
  out.number = number_of(from, "number");
  out.routers = number_of(from, "routers");
  out.awaits = text_of(from, "awaits");
  out.acknowledged = number_of(from, "acknowledged");
  return out;
}

// One that cannot be read is there all the same: it is awaited until its permission runs out.
std::map<std::string, Permit> read_permits(const std::string& prefix,
                                           const std::vector<coordination::Entry>& entries) {
  const std::size_t stem = prefix.size() + std::string(kPermits).size();
  std::map<std::string, Permit> out;
  for (const coordination::Entry& entry : entries) {
    out[entry.key.substr(stem)] = read_permit(entry.value).value_or(Permit{});
  }
  return out;
}

std::string described_writer(const std::string& key, const Permit& permit) {
  std::string out = router_of(key);
  if (permit.routers > 0) {
    out += " for " + std::to_string(permit.routers) + " routers";
  }
  if (!permit.awaits.empty()) {
    out += ", among them " + permit.awaits + ",";
  }
  return out;
}

// ---- The driver ----

Micros Driver::since(Micros now, const Change& change) {
  if (step_ != step_of(change) || state_ != change.state) {
    step_ = step_of(change);
    state_ = change.state;
    since_ = now;
    base_.clear();
  }
  return since_;
}

std::optional<Step> Driver::next(Micros now, const Seen& seen) {
  due_.reset();
  if (!seen.change || !seen.change->open()) {
    return std::nullopt;
  }
  since(now, *seen.change);
  switch (seen.change->state) {
    case ChangeState::kPreparing:
      return prepare(now, seen);
    case ChangeState::kHolding:
      return hold(now, seen);
    case ChangeState::kCommitted:
      return settle(now, seen);
    case ChangeState::kWatched:
      return watch(now, seen);
    case ChangeState::kDone:
    case ChangeState::kAborted:
      break;
  }
  return std::nullopt;
}

namespace {

Step abort_with(const Change& change, const std::string& why) {
  Step out;
  out.change = change;
  out.change.state = ChangeState::kAborted;
  out.change.why = why;
  out.audit = "aborted: " + why;
  return out;
}

}  // namespace

std::optional<Step> Driver::prepare(Micros now, const Seen& seen) {
  const Change& change = *seen.change;
  std::string missing;
  for (const auto& [name, permit] : concerned(seen)) {
    if (permit.no == step_of(change)) {
      return abort_with(change, router_of(name) + " says no: " + permit.why);
    }
    if (permit.ready != step_of(change)) {
      missing += (missing.empty() ? "" : ", ") + router_of(name);
    }
  }
  if (missing.empty()) {
    Step out;
    out.change = change;
    out.change.state = ChangeState::kHolding;
    out.audit = "all are ready; routers hold";
    return out;
  }
  if (now - since_ >= rules_.prepare_most) {
    return abort_with(change, "not ready in time: " + missing);
  }
  due_ = since_ + rules_.prepare_most;
  return std::nullopt;
}

std::optional<Step> Driver::hold(Micros now, const Seen& seen) {
  const Change& change = *seen.change;
  std::string missing;
  for (const auto& [name, permit] : concerned(seen)) {
    // One that joined since, or found out late.
    if (permit.no == step_of(change)) {
      return abort_with(change, router_of(name) + " says no: " + permit.why);
    }
    if (permit.held != step_of(change)) {
      missing += (missing.empty() ? "" : ", ") + router_of(name);
    }
  }
  if (missing.empty()) {
    Step out;
    out.change = change;
    out.change.state = ChangeState::kCommitted;
    out.commit = true;
    out.audit = last_stage(change) && change.stages.empty() ? "committed"
                : last_stage(change)                        ? "committed in all zones"
                                     : "committed in zone " + change.stages[change.stage];
    return out;
  }
  if (now - since_ >= rules_.hold_most) {
    return abort_with(change, "do not hold, and are there: " + missing);
  }
  due_ = since_ + rules_.hold_most;
  return std::nullopt;
}

// Until everyone who is there decides under it. Nobody can be made to hurry: whoever does not, holds.
std::optional<Step> Driver::settle(Micros, const Seen& seen) {
  const Change& change = *seen.change;
  for (const auto& [name, permit] : concerned(seen)) {
    if (permit.version != change.version || permit.held != 0) {
      return std::nullopt;
    }
  }
  Step out;
  out.change = change;
  if (last_stage(change)) {
    out.change.state = ChangeState::kDone;
    out.audit = "done: all decide under it";
  } else {
    out.change.state = ChangeState::kWatched;
    out.audit = "zone " + change.stages[change.stage] + " decides under it and is watched";
  }
  return out;
}

std::optional<Step> Driver::watch(Micros now, const Seen& seen) {
  const Change& change = *seen.change;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  for (const auto& [name, permit] : concerned(seen)) {
    const std::string key = name + "/" + permit.incarnation;
    const auto [base, added] = base_.try_emplace(key, permit.requests, permit.refused);
    requests += permit.requests - std::min(permit.requests, base->second.first);
    refused += permit.refused - std::min(permit.refused, base->second.second);
  }
  const double share = requests > 0 ? static_cast<double>(refused) / static_cast<double>(requests) : 0.0;
  if (requests >= kLeastWatched && share > change.most_refused) {
    // Back: a new change, to what was in force, in the zones that have switched.
    Step out;
    out.change = change;
    out.change.id = change.id + 1;
    out.change.version = change.before;
    out.change.before = change.version;
    out.change.state = ChangeState::kPreparing;
    out.change.stages = {};
    out.change.stage = 0;
    out.change.watch_ms = 0;
    out.change.most_refused = 1.0;
    out.change.why = "turned back: " + std::to_string(refused) + " of " + std::to_string(requests) +
                     " requests refused or failed in zone " + change.stages[change.stage];
    out.audit = out.change.why;
    return out;
  }
  const Micros end = since_ + std::chrono::milliseconds(change.watch_ms);
  if (now < end) {
    due_ = end;
    return std::nullopt;
  }
  Step out;
  out.change = change;
  ++out.change.stage;
  out.change.state = ChangeState::kPreparing;
  out.audit = "within its limits; the next stage is prepared";
  return out;
}

std::vector<std::string> awaited(const Seen& seen) {
  std::vector<std::string> out;
  if (!seen.change || !seen.change->open()) {
    return out;
  }
  const Change& change = *seen.change;
  for (const auto& [name, permit] : concerned(seen)) {
    if (change.state == ChangeState::kPreparing && permit.ready != step_of(change)) {
      out.push_back(described_writer(name, permit) + " is to say that it is ready");
    } else if (change.state == ChangeState::kHolding && permit.held != step_of(change)) {
      out.push_back(described_writer(name, permit) + " is to hold, or its permission to run out");
    } else if (change.state == ChangeState::kCommitted &&
               (permit.version != change.version || permit.held != 0)) {
      out.push_back(described_writer(name, permit) + " is to switch, or its permission to run out; it holds");
    }
  }
  return out;
}

std::string may_begin(const Seen& seen, bool urgent, bool& superseded) {
  superseded = false;
  if (!seen.change || !seen.change->open()) {
    return {};
  }
  const Change& open = *seen.change;
  const bool untouched =
      open.stage == 0 && (open.state == ChangeState::kPreparing || open.state == ChangeState::kHolding);
  if (urgent && untouched) {
    superseded = true;
    return {};
  }
  return "change " + std::to_string(open.id) + " to version " + std::to_string(open.version) + " is " +
         to_string(open.state) + (urgent ? " and has committed" : "; wait, abort it, or say --urgent");
}

// ---- Transactions ----

Transaction begin(const std::string& prefix, const Seen& seen, const Change& change,
                  const std::string& document, const std::string& audit) {
  Transaction out;
  const std::string at = prefix + kDocuments + std::to_string(change.version);
  out.when = {coordination::unchanged(prefix + kChangeKey, seen.change_modified),
              coordination::unchanged(prefix + kCurrentKey, seen.current_modified)};
  if (!document.empty()) {
    out.when.push_back(coordination::absent(at));
    out.then.push_back(Put{at, document, 0});
  }
  out.then.push_back(Put{prefix + kChangeKey, write_change(change), 0});
  out.then.push_back(Put{prefix + kAudit + std::to_string(change.id) + "/begun", audit, 0});
  return out;
}

Transaction carry_out(const std::string& prefix, const Seen& seen, const Step& step) {
  Transaction out;
  const Change& change = step.change;
  out.when = {coordination::unchanged(prefix + kChangeKey, seen.change_modified),
              coordination::unchanged(prefix + kCurrentKey, seen.current_modified)};
  out.then = {Put{prefix + kChangeKey, write_change(change), 0},
              Put{prefix + kAudit + std::to_string(change.id) + "/" + std::to_string(change.stage) + "-" +
                      to_string(change.state),
                  step.audit, 0}};
  if (step.commit && last_stage(change)) {
    out.then.push_back(Put{prefix + kCurrentKey, std::to_string(change.version), 0});
    out.then.push_back(Delete{Range{prefix + kZones, true}});
  } else if (step.commit) {
    out.then.push_back(Put{prefix + kZones + change.stages[change.stage], std::to_string(change.version), 0});
  }
  return out;
}

Transaction look(const std::string& prefix) {
  Transaction out;
  out.then = {Get{Range{prefix + kChangeKey, false}}, Get{Range{prefix + kCurrentKey, false}},
              Get{Range{prefix + kZones, true}}, Get{Range{prefix + kPermits, true}}};
  return out;
}

Seen read_seen(const std::string& prefix, const coordination::TransactionResult& outcome) {
  Seen out;
  const auto number = [](const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); };
  if (const auto& found = outcome.results.at(0).found; !found.empty()) {
    out.change = read_change(found.front().value);
    out.change_modified = found.front().modified;
  }
  if (const auto& found = outcome.results.at(1).found; !found.empty()) {
    out.current = number(found.front().value);
    out.current_modified = found.front().modified;
  }
  for (const coordination::Entry& entry : outcome.results.at(2).found) {
    out.zones[entry.key.substr(prefix.size() + std::string(kZones).size())] = number(entry.value);
  }
  out.permits = read_permits(prefix, outcome.results.at(3).found);
  return out;
}

}  // namespace trailcourse::policy
