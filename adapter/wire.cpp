#include "wire.h"

#include <array>
#include <cstdio>
#include <utility>

#include "protocol/json_fields.h"

namespace trailcourse::wire {
namespace {

using nlohmann::json;
using protocol::as_integer;
using protocol::boolean_at;
using protocol::find;
using protocol::hex_at;
using protocol::id_at;
using protocol::integer_or_default;
using protocol::number_or_default;
using protocol::parse_enum;
using protocol::require;
using protocol::seconds_at;
using protocol::small_integer_at;
using protocol::string_at;
using protocol::string_or_default;
using protocol::to_micros;

constexpr std::array<std::pair<const char*, Status>, 9> kStatusNames{{{"OK", Status::kOk},
                                                                      {"INTERNAL", Status::kError},
                                                                      {"RESOURCE_EXHAUSTED", Status::kFull},
                                                                      {"DEADLINE_EXCEEDED", Status::kTimeout},
                                                                      {"UNAVAILABLE", Status::kConnectFailed},
                                                                      {"ABORTED", Status::kReset},
                                                                      {"CANCELLED", Status::kCancelled},
                                                                      {"TOO_LATE", Status::kNotSent},
                                                                      {"NOT_FOUND", Status::kNotCached}}};
constexpr std::array<std::pair<const char*, NodeState>, 3> kNodeStateNames{
    {{"ready", NodeState::kReady}, {"draining", NodeState::kDraining}, {"gone", NodeState::kGone}}};
constexpr std::array<std::pair<const char*, ListKind>, 4> kListKindNames{{{"incr", ListKind::kChanges},
                                                                          {"total", ListKind::kFull},
                                                                          {"warm_copy", ListKind::kRestored},
                                                                          {"lost", ListKind::kLost}}};

Note read_note(const json& message) {
  const std::int64_t code = integer_or_default(message, "Remark", 0);
  const bool valid = code >= 0 && code <= static_cast<std::int64_t>(Note::kOriginFailed);
  return valid ? static_cast<Note>(code) : Note::kNone;
}

LoadReport read_load(const json& message, const DeploymentSettings& deployment) {
  const json* values = find(message, "Telemetry");
  return values == nullptr ? LoadReport{} : read_report(*values, deployment.report_fields);
}

AttemptEnded read_outcome(const json& message, const DeploymentSettings& deployment) {
  AttemptEnded ended;
  ended.id = id_at(message, "Ref");
  ended.attempt = small_integer_at(message, "Try", 0);
  ended.status = parse_enum(kStatusNames, string_at(message, "Status"));
  ended.latency = seconds_at(message, "LatencyS");
  ended.finished = boolean_at(message, "Finished");
  ended.note = read_note(message);
  ended.source_first_byte_time = seconds_at(message, "UpstreamWaitS");
  ended.load = read_load(message, deployment);
  return ended;
}

RequestArrived read_request(const json& message, const DeploymentSettings& deployment) {
  const std::string name = string_at(message, "Kind");
  const auto found = deployment.class_index.find(name);
  if (found == deployment.class_index.end()) {
    throw WireError("unknown request class: " + name);
  }
  RequestArrived request;
  request.id = id_at(message, "Ref");
  request.request_class = found->second;
  request.object = find(message, "Item") == nullptr ? 0 : hex_at(message, "Item");
  request.part = static_cast<std::uint32_t>(integer_or_default(message, "RangeNo", 0));
  request.purge_group = static_cast<std::uint64_t>(integer_or_default(message, "PurgeGroup", 0));
  request.size_kb = number_or_default(message, "BytesK", 0.0);
  request.deadline = to_micros(require(message, "DueS"), "DueS");
  request.is_retry = boolean_at(message, "IsRetry");
  request.write = boolean_at(message, "Write");
  return request;
}

Purged read_purge(const json& message) {
  Purged purged;
  purged.whole_group = find(message, "Item") == nullptr;
  purged.object = purged.whole_group ? 0 : hex_at(message, "Item");
  purged.group = static_cast<std::uint64_t>(integer_or_default(message, "SetNo", 0));
  purged.age = seconds_at(message, "AgeSpanS");
  return purged;
}

std::string seconds_text(Micros time) {
  std::array<char, 40> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.6f", static_cast<double>(time.count()) / 1e6);
  return buffer.data();
}

std::string quoted(const std::string& value) { return json(value).dump(); }

std::string line_prefix(const char* type, std::int64_t instance) {
  return std::string("{\"event_type\":\"") + type + "\",\"I\":" + std::to_string(instance);
}

struct ActionWriter {
  std::int64_t instance;

  std::string operator()(const SendAttempt& send) const {
    const int options = (send.join_fill ? 1 : 0) | (send.only_if_cached ? 2 : 0);
    std::string line = line_prefix("Obtain", instance) + ",\"Ref\":" + std::to_string(send.id);
    line += ",\"Cache\":" + quoted(send.cache) + ",\"TryForS\":" + seconds_text(send.timeout);
    line += ",\"MissFrom\":" + quoted(send.source) + ",\"Keep\":" + std::to_string(send.keep_rank);
    if (send.max_age.count() > 0) {
      line += ",\"AgeSpanS\":" + seconds_text(send.max_age);
    }
    if (options != 0) {
      line += ",\"Opts\":" + std::to_string(options);
    }
    return line + "}\n";
  }
  std::string operator()(const Cancel& cancel) const {
    return line_prefix("UndoSend", instance) + ",\"Ref\":" + std::to_string(cancel.id) +
           ",\"Try\":" + std::to_string(cancel.attempt) + "}\n";
  }
  std::string operator()(const Reject& reject) const {
    std::string line = line_prefix("NotNow", instance) + ",\"Ref\":" + std::to_string(reject.id);
    if (reject.retry_after.count() > 0) {
      line += ",\"WaitS\":" + seconds_text(reject.retry_after);
    }
    return line + "}\n";
  }
  std::string operator()(const Fail& fail) const {
    return line_prefix("Fail", instance) + ",\"Ref\":" + std::to_string(fail.id) + "}\n";
  }
  std::string operator()(const SetTimer& timer) const {
    return line_prefix("WakeAt", instance) + ",\"Handle\":" + std::to_string(timer.token) +
           ",\"OffsetS\":" + seconds_text(timer.delay) + "}\n";
  }
  std::string operator()(const Subscribe&) const {
    return line_prefix("Observe", instance) + ",\"On\":true}\n";
  }
};

}  // namespace

LoadReport read_report(const json& values, const std::vector<std::string>& fields) {
  LoadReport report;
  if (!values.is_array()) {
    throw WireError("load report is not an array");
  }
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i) {
    if (!values[i].is_number()) {
      continue;
    }
    const double value = values[i].get<double>();
    protocol::set_report_value(report, fields[i], value);
  }
  return report;
}

std::string write_action(std::int64_t instance, const Action& action) {
  return std::visit(ActionWriter{instance}, action);
}

Handler make_decider(const Settings& settings, std::uint64_t seed) {
  return [decider = std::make_shared<Decider>(settings, seed)](
             Micros now, const Event& event, std::vector<Action>& out) { decider->handle(now, event, out); };
}

void Adapter::begin_instance(const json& message) {
  Instance instance;
  instance.deployment = read_deployment_settings(require(message, "ProfileData"));
  const std::uint64_t seed = id_at(message, "Nonce64");
  instance.handler = make_handler_(instance.deployment.settings, seed);
  instances_.insert_or_assign(as_integer(require(message, "I"), "I"), std::move(instance));
}

void Adapter::store_list(const json& message) {
  const json& entries = require(message, "NodesList");
  if (!entries.is_array()) {
    throw WireError("not an array: NodesList");
  }
  lists_[as_integer(require(message, "Table"), "Table")] = entries;
}

EndpointListReceived Adapter::read_list(const json& message, const DeploymentSettings& deployment) const {
  EndpointListReceived list;
  list.kind = parse_enum(kListKindNames, string_at(message, "Mode"));
  if (list.kind == ListKind::kLost) {
    return list;
  }
  const std::int64_t table = as_integer(require(message, "Table"), "Table");
  const auto found = lists_.find(table);
  if (found == lists_.end()) {
    throw WireError("unknown endpoint list: " + std::to_string(table));
  }
  for (const json& fields : found->second) {
    Endpoint entry;
    entry.address = string_at(fields, "Cache");
    entry.zone = string_or_default(fields, "Zone", "");
    entry.cell = small_integer_at(fields, "Cohort", 0);
    entry.state = parse_enum(kNodeStateNames, string_or_default(fields, "Lifecycle", "ready"));
    entry.weight = number_or_default(fields, "Weight", 1.0);
    entry.started = seconds_at(fields, "ReadyAtS");
    const std::string kind = string_or_default(fields, "Type", "");
    entry.role = deployment.role_of(kind);
    list.entries.push_back(std::move(entry));
  }
  return list;
}

Adapter::Instance* Adapter::find_instance(const json& message) {
  const std::int64_t id = as_integer(require(message, "I"), "I");
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    throw WireError("event for an unknown instance: " + std::to_string(id));
  }
  return found->second.faulted ? nullptr : &found->second;
}

void Adapter::run(std::int64_t id, Instance& instance, const Event& event) {
  actions_.clear();
  try {
    instance.handler(now_, event, actions_);
  } catch (const std::exception& error) {
    instance.faulted = true;
    reply_ += line_prefix("Fault", id) + ",\"Text\":" + quoted(error.what()) + "}\n";
    return;
  }
  for (const Action& action : actions_) {
    reply_ += write_action(id, action);
  }
}

void Adapter::handle_event(const std::string& type, const json& message) {
  using Reader = Event (*)(const Adapter&, const json&, const DeploymentSettings&);
  static const std::map<std::string, Reader> kReaders{
      {"Discovery",
       [](const Adapter& self, const json& m, const DeploymentSettings& d) -> Event {
         return self.read_list(m, d);
       }},
      {"WorkItem",
       [](const Adapter&, const json& m, const DeploymentSettings& d) -> Event {
         return read_request(m, d);
       }},
      {"Returned",
       [](const Adapter&, const json& m, const DeploymentSettings& d) -> Event {
         return read_outcome(m, d);
       }},
      {"AckFirst",
       [](const Adapter&, const json& m, const DeploymentSettings&) -> Event {
         return StreamStarted{id_at(m, "Ref"), small_integer_at(m, "Try", 0)};
       }},
      {"Recalled",
       [](const Adapter&, const json& m, const DeploymentSettings&) -> Event { return read_purge(m); }},
      {"Left",
       [](const Adapter&, const json& m, const DeploymentSettings&) -> Event {
         return ClientLeft{id_at(m, "Ref")};
       }},
      {"Bell", [](const Adapter&, const json& m, const DeploymentSettings&) -> Event {
         return TimerFired{id_at(m, "Handle")};
       }}};
  const auto reader = kReaders.find(type);
  if (reader == kReaders.end()) {
    return;  // unknown event types are ignored
  }
  Instance* instance = find_instance(message);
  if (instance != nullptr) {
    run(as_integer(require(message, "I"), "I"), *instance,
        reader->second(*this, message, instance->deployment));
  }
}

void Adapter::finish_batch() {
  reply_ += "{\"event_type\":\"Ack\",\"serial\":" + std::to_string(serial_) + "}\n";
  out_ << reply_ << std::flush;
  reply_.clear();
  in_batch_ = false;
}

void Adapter::handle_line(std::string_view line) {
  json message;
  try {
    message = json::parse(line);
  } catch (const json::exception& error) {
    throw WireError(std::string("invalid JSON: ") + error.what());
  }
  if (!message.is_object()) {
    throw WireError("message is not a JSON object");
  }
  const std::string type = string_at(message, "event_type");
  if (type == "Frame") {
    now_ = to_micros(require(message, "ClockS"), "ClockS");
    serial_ = as_integer(require(message, "serial"), "serial");
    in_batch_ = true;
    return;
  }
  if (!in_batch_) {
    throw WireError("message outside a batch: " + type);
  }
  if (type == "EofBatch") {
    finish_batch();
  } else if (type == "Begin") {
    begin_instance(message);
  } else if (type == "Pool") {
    store_list(message);
  } else if (type == "Down") {
    instances_.erase(as_integer(require(message, "I"), "I"));
  } else {
    handle_event(type, message);
  }
}

}  // namespace trailcourse::wire
