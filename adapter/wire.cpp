#include "wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <utility>

namespace trailcourse::wire {
namespace {

using nlohmann::json;

constexpr double kMaxSeconds = 1e9;  // keeps every time within 64 bits of microseconds

const json* find(const json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const json& need(const json& object, const char* key) {
  const json* value = find(object, key);
  if (value == nullptr) {
    throw WireError(std::string("missing field ") + key);
  }
  return *value;
}

Micros to_micros(const json& value, const char* key) {
  if (!value.is_number()) {
    throw WireError(std::string("not a time: ") + key);
  }
  const double seconds = value.get<double>();
  if (!std::isfinite(seconds) || std::abs(seconds) > kMaxSeconds) {
    throw WireError(std::string("time out of range: ") + key);
  }
  return Micros(std::llround(seconds * 1e6));
}

Micros seconds_at(const json& object, const char* key) {
  const json* value = find(object, key);
  return value == nullptr ? Micros(0) : to_micros(*value, key);
}

double number_at(const json& object, const char* key, double absent) {
  const json* value = find(object, key);
  if (value == nullptr) {
    return absent;
  }
  if (!value->is_number()) {
    throw WireError(std::string("not a number: ") + key);
  }
  return value->get<double>();
}

std::int64_t whole(const json& value, const char* key) {
  if (value.is_number_integer()) {
    return value.get<std::int64_t>();
  }
  if (value.is_number_float()) {
    const double number = value.get<double>();
    if (std::isfinite(number) && std::abs(number) < 9e15 && number == std::floor(number)) {
      return static_cast<std::int64_t>(number);
    }
  }
  throw WireError(std::string("not a whole number: ") + key);
}

std::int64_t whole_at(const json& object, const char* key, std::int64_t absent) {
  const json* value = find(object, key);
  return value == nullptr ? absent : whole(*value, key);
}

std::uint64_t id_at(const json& object, const char* key) {
  const json& value = need(object, key);
  if (value.is_number_unsigned()) {
    return value.get<std::uint64_t>();
  }
  const std::int64_t number = whole(value, key);
  if (number < 0) {
    throw WireError(std::string("negative id: ") + key);
  }
  return static_cast<std::uint64_t>(number);
}

int small_at(const json& object, const char* key, int absent) {
  const std::int64_t number = whole_at(object, key, absent);
  if (number < INT32_MIN || number > INT32_MAX) {
    throw WireError(std::string("number out of range: ") + key);
  }
  return static_cast<int>(number);
}

bool flag_at(const json& object, const char* key) {
  const json* value = find(object, key);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    throw WireError(std::string("not a mark: ") + key);
  }
  return value->get<bool>();
}

std::string text(const json& value, const char* key) {
  if (!value.is_string()) {
    throw WireError(std::string("not a text: ") + key);
  }
  return value.get<std::string>();
}

std::string text_at(const json& object, const char* key) { return text(need(object, key), key); }

std::string word_at(const json& object, const char* key, const char* absent) {
  const json* value = find(object, key);
  return value == nullptr ? absent : text(*value, key);
}

std::uint64_t hex_at(const json& object, const char* key) {
  const std::string digits = text_at(object, key);
  std::uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, value, 16);
  if (error != std::errc() || stop != end) {
    throw WireError(std::string("not an object: ") + key);
  }
  return value;
}

const json& section(const json& object, const char* key) {
  static const json kEmpty = json::object();
  const json* value = find(object, key);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_object()) {
    throw WireError(std::string("not a section: ") + key);
  }
  return *value;
}

const json& array_at(const json& object, const char* key) {
  static const json kEmpty = json::array();
  const json* value = find(object, key);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_array()) {
    throw WireError(std::string("not an array: ") + key);
  }
  return *value;
}

std::vector<std::string> texts_at(const json& object, const char* key) {
  std::vector<std::string> values;
  for (const json& value : array_at(object, key)) {
    values.push_back(text(value, key));
  }
  return values;
}

template <typename Value, std::size_t kSize>
Value look_up(const std::array<std::pair<const char*, Value>, kSize>& words, const std::string& word) {
  for (const auto& [name, value] : words) {
    if (word == name) {
      return value;
    }
  }
  throw WireError("unknown word: " + word);
}

constexpr std::array<std::pair<const char*, Status>, 9> kStatusWords{{{"OK", Status::kOk},
                                                                      {"INTERNAL", Status::kError},
                                                                      {"RESOURCE_EXHAUSTED", Status::kFull},
                                                                      {"DEADLINE_EXCEEDED", Status::kTimeout},
                                                                      {"UNAVAILABLE", Status::kConnectFailed},
                                                                      {"ABORTED", Status::kReset},
                                                                      {"CANCELLED", Status::kCancelled},
                                                                      {"TOO_LATE", Status::kMoot},
                                                                      {"NOT_FOUND", Status::kMiss}}};
constexpr std::array<std::pair<const char*, Effect>, 3> kEffectWords{
    {{"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}}};
constexpr std::array<std::pair<const char*, RepeatGroup>, 3> kGroupWords{
    {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}}};
constexpr std::array<std::pair<const char*, NoteLevel>, 3> kNoteWords{
    {{"none", NoteLevel::kNone}, {"hit", NoteLevel::kHit}, {"all", NoteLevel::kAll}}};
constexpr std::array<std::pair<const char*, SiblingSources>, 3> kSiblingWords{
    {{"none", SiblingSources::kNone},
     {"location", SiblingSources::kLocation},
     {"any", SiblingSources::kAny}}};
constexpr std::array<std::pair<const char*, bool>, 4> kSizedWeightWords{
    {{"none", false}, {"nominal", true}, {"rough", true}, {"live", false}}};
constexpr std::array<std::pair<const char*, NodeState>, 3> kStateWords{
    {{"ready", NodeState::kReady}, {"draining", NodeState::kDraining}, {"gone", NodeState::kGone}}};
constexpr std::array<std::pair<const char*, ListKind>, 4> kListWords{{{"incr", ListKind::kChanges},
                                                                      {"total", ListKind::kFull},
                                                                      {"warm_copy", ListKind::kRemembered},
                                                                      {"lost", ListKind::kLost}}};

Note read_note(const json& message) {
  const std::int64_t code = whole_at(message, "Remark", 0);
  const bool known = code >= 0 && code <= static_cast<std::int64_t>(Note::kOriginFailed);
  return known ? static_cast<Note>(code) : Note::kNone;
}

LoadReport report_of(const json& message, const Profile& profile) {
  const json* values = find(message, "Telemetry");
  return values == nullptr ? LoadReport{} : read_report(*values, profile.report_fields);
}

ClassSettings read_class(const json& entry, const json& extra, std::size_t index) {
  const auto by_class = [&](const char* key) -> const json* {
    const json& values = array_at(extra, key);
    return index < values.size() && !values[index].is_null() ? &values[index] : nullptr;
  };
  const auto marked = [&](const char* key) {
    const json* value = by_class(key);
    return value != nullptr && value->is_boolean() && value->get<bool>();
  };
  const auto span = [&](const char* key) {
    const json* value = by_class(key);
    return value == nullptr ? Micros(0) : to_micros(*value, key);
  };
  ClassSettings settings;
  settings.effect = look_up(kEffectWords, word_at(entry, "Effect", "unsafe"));
  settings.group = look_up(kGroupWords, word_at(entry, "Group", "all"));
  settings.memory_span = seconds_at(entry, "MemorySpanS");
  settings.objective = seconds_at(entry, "ObjectiveS");
  settings.objective_stretch = number_at(entry, "AimStretch", 0.0);
  settings.give_up = seconds_at(entry, "GiveUpS");
  settings.worth = number_at(entry, "Worth", 1.0);
  settings.late_share = number_at(entry, "LateShare", 0.0);
  settings.streaming = flag_at(entry, "Streaming");
  settings.lifetime = span("LifetimeByClassS");
  settings.grace = span("ClassGraceS");
  settings.segmented = marked("Segmented");
  settings.uncached = marked("Uncached");
  return settings;
}

void read_limits(const json& limits, Settings& settings) {
  settings.attempts_cap = small_at(limits, "AttemptsCap", 1);
  settings.may_cancel = flag_at(limits, "Cancel");
  settings.parallel_tries = flag_at(limits, "ParallelTries");
  settings.max_retry_after = flag_at(limits, "RetryAfter") ? seconds_at(limits, "MaxRetryAfterS") : Micros(0);
}

void read_rules(const json& rules, const json& extra, Settings& settings) {
  settings.answer_slack = seconds_at(rules, "AnswerSlackS");
  settings.drain_grace = seconds_at(rules, "DrainGraceS");
  settings.cold_from = number_at(rules, "ColdFrom", 1.0);
  settings.cold_span = seconds_at(rules, "ColdS");
  settings.overload_factor = number_at(rules, "OverloadFactor", 1.0);
  settings.overload_span = seconds_at(rules, "OverloadForS");
  settings.purge_grace = seconds_at(extra, "HeedWithinS");
  settings.purge_done = seconds_at(extra, "ClearedWithinS");
  settings.parent_cold_from = number_at(extra, "ParentFloor", 1.0);
  settings.parent_cold_span = seconds_at(extra, "ParentRampS");
  settings.parent_overload_factor = number_at(extra, "ParentBreaksAt", 1.0);
}

void read_extra(const json& extra, Settings& settings) {
  settings.direct = flag_at(extra, "Direct");
  settings.joins = flag_at(extra, "Collapses");
  settings.siblings = look_up(kSiblingWords, word_at(extra, "Siblings", "none"));
  settings.notes = look_up(kNoteWords, word_at(extra, "NoteLevel", "none"));
  settings.stream_kb_per_s = number_at(extra, "StreamKbPerS", 0.0);
}

// The values that stand at this instance's own zone in the lists kept by zone.
void read_own_zone(const std::vector<std::string>& zones, const json& extra, Settings& settings) {
  const json& counts = array_at(extra, "CountByZone");
  const json& links = array_at(extra, "ZoneLinkKbPerS");
  const auto place = static_cast<std::size_t>(
      std::distance(zones.begin(), std::find(zones.begin(), zones.end(), settings.zone)));
  const bool counted = place < zones.size() && place < counts.size() && counts[place].is_number_integer();
  settings.routers_in_zone = counted ? counts[place].get<int>() : settings.routers;
  const bool linked = place < zones.size() && place < links.size() && links[place].is_number();
  settings.zone_link_kb_per_s = linked ? links[place].get<double>() : 0.0;
}

AttemptEnded read_outcome(const json& message, const Profile& profile) {
  AttemptEnded ended;
  ended.id = id_at(message, "Ref");
  ended.attempt = small_at(message, "Try", 0);
  ended.status = look_up(kStatusWords, text_at(message, "Status"));
  ended.latency = seconds_at(message, "LatencyS");
  ended.finished = flag_at(message, "Finished");
  ended.note = read_note(message);
  ended.waited = seconds_at(message, "UpstreamWaitS");
  ended.load = report_of(message, profile);
  return ended;
}

RequestArrived read_request(const json& message, const Profile& profile) {
  const std::string name = text_at(message, "Kind");
  const auto found = profile.class_index.find(name);
  if (found == profile.class_index.end()) {
    throw WireError("unknown class: " + name);
  }
  RequestArrived request;
  request.id = id_at(message, "Ref");
  request.request_class = found->second;
  request.object = find(message, "Item") == nullptr ? 0 : hex_at(message, "Item");
  request.part = static_cast<std::uint32_t>(whole_at(message, "RangeNo", 0));
  request.purge_group = static_cast<std::uint64_t>(whole_at(message, "PurgeGroup", 0));
  request.size_kb = number_at(message, "BytesK", 0.0);
  request.due = to_micros(need(message, "DueS"), "DueS");
  request.is_retry = flag_at(message, "IsRetry");
  request.write = flag_at(message, "Write");
  return request;
}

Purged read_purge(const json& message) {
  Purged purged;
  purged.whole_group = find(message, "Item") == nullptr;
  purged.object = purged.whole_group ? 0 : hex_at(message, "Item");
  purged.group = static_cast<std::uint64_t>(whole_at(message, "SetNo", 0));
  purged.age = seconds_at(message, "AgeSpanS");
  return purged;
}

std::string seconds_text(Micros time) {
  std::array<char, 40> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.6f", static_cast<double>(time.count()) / 1e6);
  return buffer.data();
}

std::string quoted(const std::string& value) { return json(value).dump(); }

std::string head(const char* type, std::int64_t instance) {
  return std::string("{\"event_type\":\"") + type + "\",\"I\":" + std::to_string(instance);
}

struct ActionWriter {
  std::int64_t instance;

  std::string operator()(const Send& send) const {
    const int options = (send.join ? 1 : 0) | (send.held_only ? 2 : 0);
    std::string line = head("Obtain", instance) + ",\"Ref\":" + std::to_string(send.id);
    line += ",\"Cache\":" + quoted(send.cache) + ",\"TryForS\":" + seconds_text(send.limit);
    line += ",\"MissFrom\":" + quoted(send.source) + ",\"Keep\":" + std::to_string(send.keep);
    if (send.age.count() > 0) {
      line += ",\"AgeSpanS\":" + seconds_text(send.age);
    }
    if (options != 0) {
      line += ",\"Opts\":" + std::to_string(options);
    }
    return line + "}\n";
  }
  std::string operator()(const Cancel& cancel) const {
    return head("UndoSend", instance) + ",\"Ref\":" + std::to_string(cancel.id) +
           ",\"Try\":" + std::to_string(cancel.attempt) + "}\n";
  }
  std::string operator()(const Refuse& refuse) const {
    std::string line = head("NotNow", instance) + ",\"Ref\":" + std::to_string(refuse.id);
    if (refuse.retry_after.count() > 0) {
      line += ",\"WaitS\":" + seconds_text(refuse.retry_after);
    }
    return line + "}\n";
  }
  std::string operator()(const Fail& fail) const {
    return head("Fail", instance) + ",\"Ref\":" + std::to_string(fail.id) + "}\n";
  }
  std::string operator()(const SetTimer& timer) const {
    return head("WakeAt", instance) + ",\"Handle\":" + std::to_string(timer.token) +
           ",\"OffsetS\":" + seconds_text(timer.delay) + "}\n";
  }
  std::string operator()(const Subscribe&) const { return head("Observe", instance) + ",\"On\":true}\n"; }
};

}  // namespace

Profile read_profile(const json& source) {
  if (!source.is_object()) {
    throw WireError("settings are not an object");
  }
  Profile profile;
  Settings& settings = profile.settings;
  const json& extra = section(source, "Extra");
  settings.zone = word_at(source, "Az", "");
  settings.self_index = small_at(source, "SelfIndex", 0);
  settings.routers = small_at(source, "Balancers", 1);
  settings.must_ask_for_list = word_at(source, "Discovery", "push") == "ask";
  settings.weights_are_sizes = look_up(kSizedWeightWords, word_at(source, "Weights", "none"));
  const json& classes = array_at(source, "Classes");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    profile.class_index[text_at(classes[i], "Name")] = static_cast<int>(i);
    settings.classes.push_back(read_class(classes[i], extra, i));
  }
  read_limits(section(source, "Limits"), settings);
  read_rules(section(source, "Rules"), extra, settings);
  read_extra(extra, settings);
  read_own_zone(texts_at(source, "Zones"), extra, settings);
  profile.kinds = texts_at(source, "Kinds");
  profile.parent_kind = small_at(extra, "MidKind", -1);
  profile.origin_kind = small_at(extra, "OriginKind", -1);
  profile.report_fields = texts_at(section(source, "Report"), "Fields");
  return profile;
}

LoadReport read_report(const json& values, const std::vector<std::string>& fields) {
  LoadReport report;
  if (!values.is_array()) {
    throw WireError("not a load report");
  }
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i) {
    if (!values[i].is_number()) {
      continue;
    }
    const double value = values[i].get<double>();
    if (fields[i] == "load_share") {
      report.utilisation = value;
    } else if (fields[i] == "concurrent") {
      report.concurrent = value;
    } else if (fields[i] == "x0") {
      report.hit_share = value;
    } else if (fields[i] == "x1") {
      report.link_or_fetches = value;
    }
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
  instance.profile = read_profile(need(message, "ProfileData"));
  const std::uint64_t seed = id_at(message, "Nonce64");
  instance.handler = make_(instance.profile.settings, seed);
  instances_.insert_or_assign(whole(need(message, "I"), "I"), std::move(instance));
}

void Adapter::store_list(const json& message) {
  const json& entries = need(message, "NodesList");
  if (!entries.is_array()) {
    throw WireError("not an array: NodesList");
  }
  lists_[whole(need(message, "Table"), "Table")] = entries;
}

ListReceived Adapter::read_list(const json& message, const Profile& profile) const {
  ListReceived list;
  list.kind = look_up(kListWords, text_at(message, "Mode"));
  if (list.kind == ListKind::kLost) {
    return list;
  }
  const auto found = lists_.find(whole(need(message, "Table"), "Table"));
  if (found == lists_.end()) {
    throw WireError("unknown list number");
  }
  for (const json& source : found->second) {
    NodeEntry entry;
    entry.address = text_at(source, "Cache");
    entry.zone = word_at(source, "Zone", "");
    entry.cell = small_at(source, "Cohort", 0);
    entry.state = look_up(kStateWords, word_at(source, "Lifecycle", "ready"));
    entry.weight = number_at(source, "Weight", 1.0);
    entry.started = seconds_at(source, "ReadyAtS");
    const std::string kind = word_at(source, "Type", "");
    const auto is_kind = [&](int place) {
      return place >= 0 && static_cast<std::size_t>(place) < profile.kinds.size() &&
             profile.kinds[static_cast<std::size_t>(place)] == kind;
    };
    entry.role = is_kind(profile.parent_kind)   ? Role::kParent
                 : is_kind(profile.origin_kind) ? Role::kOrigin
                                                : Role::kCache;
    list.entries.push_back(std::move(entry));
  }
  return list;
}

Adapter::Instance* Adapter::find_instance(const json& message) {
  const auto found = instances_.find(whole(need(message, "I"), "I"));
  if (found == instances_.end()) {
    throw WireError("event for an instance that was not begun");
  }
  return found->second.faulted ? nullptr : &found->second;
}

void Adapter::run(std::int64_t number, Instance& instance, const Event& event) {
  actions_.clear();
  try {
    instance.handler(now_, event, actions_);
  } catch (const std::exception& error) {
    instance.faulted = true;
    reply_ += head("Fault", number) + ",\"Text\":" + quoted(error.what()) + "}\n";
    return;
  }
  for (const Action& action : actions_) {
    reply_ += write_action(number, action);
  }
}

void Adapter::take_event(const std::string& type, const json& message) {
  using Reader = Event (*)(const Adapter&, const json&, const Profile&);
  static const std::map<std::string, Reader> kReaders{
      {"Discovery",
       [](const Adapter& self, const json& m, const Profile& p) -> Event { return self.read_list(m, p); }},
      {"WorkItem",
       [](const Adapter&, const json& m, const Profile& p) -> Event { return read_request(m, p); }},
      {"Returned",
       [](const Adapter&, const json& m, const Profile& p) -> Event { return read_outcome(m, p); }},
      {"AckFirst",
       [](const Adapter&, const json& m, const Profile&) -> Event {
         return StreamStarted{id_at(m, "Ref"), small_at(m, "Try", 0)};
       }},
      {"Recalled", [](const Adapter&, const json& m, const Profile&) -> Event { return read_purge(m); }},
      {"Left",
       [](const Adapter&, const json& m, const Profile&) -> Event { return ClientLeft{id_at(m, "Ref")}; }},
      {"Bell", [](const Adapter&, const json& m, const Profile&) -> Event {
         return TimerFired{id_at(m, "Handle")};
       }}};
  const auto reader = kReaders.find(type);
  if (reader == kReaders.end()) {
    return;  // a kind of event this build does not know
  }
  Instance* instance = find_instance(message);
  if (instance != nullptr) {
    run(whole(need(message, "I"), "I"), *instance, reader->second(*this, message, instance->profile));
  }
}

void Adapter::finish_batch() {
  reply_ += "{\"event_type\":\"Ack\",\"serial\":" + std::to_string(serial_) + "}\n";
  out_ << reply_ << std::flush;
  reply_.clear();
  in_batch_ = false;
}

void Adapter::take_line(std::string_view line) {
  json message;
  try {
    message = json::parse(line);
  } catch (const json::exception& error) {
    throw WireError(std::string("not a message: ") + error.what());
  }
  if (!message.is_object()) {
    throw WireError("not a message object");
  }
  const std::string type = text_at(message, "event_type");
  if (type == "Frame") {
    now_ = to_micros(need(message, "ClockS"), "ClockS");
    serial_ = whole(need(message, "serial"), "serial");
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
    instances_.erase(whole(need(message, "I"), "I"));
  } else {
    take_event(type, message);
  }
}

}  // namespace trailcourse::wire
