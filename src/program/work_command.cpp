#include "program/work_command.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <stdexcept>

#include "coordination/coordination_store.h"
#include "membership/membership_view.h"
#include "ownership/work_records.h"
#include "program/store_client.h"
#include "protocol/numbers.h"
#include "tasks/fleet_report_task.h"
#include "tasks/prefetch_parameters.h"

namespace trailcourse::program {

using coordination::Entry;
using coordination::Transaction;
using nlohmann::json;
using transport::Clock;

namespace {

constexpr int kFailure = 1;

struct ShardState {
  ownership::ShardId id;
  ownership::Owner owner;
  ownership::Progress progress;
  bool done = false;
  std::string release_member;  // member that is requested to release the shard; empty: none
};

std::string state_of(const ownership::Work& work, const ShardState& row) {
  return row.done                     ? "done"
         : row.progress.parked        ? "parked"
         : work.paused                ? "paused"
         : row.owner.term == 0        ? "no owner"
         : row.release_member.empty() ? "owned"
                                      : "handed over";
}

std::map<std::string, std::pair<ownership::Work, std::vector<ShardState>>> load_work(StoreClient& client) {
  std::map<std::string, std::pair<ownership::Work, std::vector<ShardState>>> out;
  for (const Entry& entry : client.get(ownership::kWorkPrefix)) {
    if (const auto work = ownership::read_work(entry.key, entry.value)) {
      std::vector<ShardState> rows;
      rows.reserve(work->shards);
      for (std::uint64_t i = 0; i < work->shards; ++i) {
        rows.push_back(ShardState{ownership::ShardId{work->name, i}, {}, {}, false, {}});
      }
      out[work->name] = {*work, std::move(rows)};
    }
  }
  const auto apply = [&](const char* prefix, const auto& update) {
    for (const Entry& entry : client.get(prefix)) {
      const auto id = ownership::read_shard_key(entry.key, prefix);
      const auto found = id ? out.find(id->work) : out.end();
      if (found != out.end() && id->shard < found->second.second.size()) {
        update(found->second.second[id->shard], entry);
      }
    }
  };
  apply(ownership::kOwnerPrefix, [](ShardState& row, const Entry& entry) {
    row.owner =
        ownership::read_owner(entry.value, entry.created).value_or(ownership::Owner{"?", "?", entry.created});
  });
  apply(ownership::kProgressPrefix, [](ShardState& row, const Entry& entry) {
    row.progress = ownership::read_progress(entry.value).value_or(ownership::Progress{});
  });
  apply(ownership::kDonePrefix, [](ShardState& row, const Entry&) { row.done = true; });
  apply(ownership::kReleasePrefix,
        [](ShardState& row, const Entry& entry) { row.release_member = entry.value; });
  return out;
}

json to_json(const ownership::Work& work, const std::vector<ShardState>& rows) {
  json shards = json::array();
  for (const ShardState& row : rows) {
    shards.push_back({{"shard", row.id.shard},
                      {"state", state_of(work, row)},
                      {"owner", row.owner.member},
                      {"term", row.owner.term},
                      {"starts", row.progress.starts},
                      {"checkpoint", row.progress.checkpoint},
                      {"by", row.progress.by}});
  }
  return {{"name", work.name},
          {"kind", work.kind},
          {"zone", work.zone},
          {"paused", work.paused},
          {"shards", std::move(shards)}};
}

std::string truncate(const std::string& text, std::size_t max_size) {
  return text.size() <= max_size ? text : text.substr(0, max_size - 3) + "...";
}

template <typename... Arguments>
void print_row(std::ostream& out, const char* format, Arguments... arguments) {
  char line[512];
  std::snprintf(line, sizeof line, format, arguments...);
  out << line << '\n';
}

int list(StoreClient& client, const WorkCommand& command, std::ostream& out) {
  const auto all = load_work(client);
  if (command.json) {
    json rows = json::array();
    for (const auto& [name, entry] : all) {
      rows.push_back(to_json(entry.first, entry.second));
    }
    out << json{{"store", client.id()}, {"work", rows}}.dump(1) << '\n';
    return 0;
  }
  print_row(out, "%-28s %-8s %-12s %7s %6s %6s %6s %s", "WORK", "KIND", "ZONE", "SHARDS", "OWNED", "DONE",
            "PARKED", "STATE");
  for (const auto& [name, entry] : all) {
    const auto count = [&rows = entry.second](const auto& predicate) {
      return static_cast<int>(std::count_if(rows.begin(), rows.end(), predicate));
    };
    print_row(out, "%-28s %-8s %-12s %7zu %6d %6d %6d %s", name.c_str(), entry.first.kind.c_str(),
              entry.first.zone.empty() ? "-" : entry.first.zone.c_str(), entry.second.size(),
              count([](const ShardState& row) { return row.owner.term != 0; }),
              count([](const ShardState& row) { return row.done; }),
              count([](const ShardState& row) { return row.progress.parked; }),
              entry.first.paused ? "paused" : "on");
  }
  return 0;
}

int show(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = load_work(client);
  const auto found = all.find(command.name);
  if (found == all.end()) {
    errors << "trailcourse: work: no such work: " << command.name << '\n';
    return kNoSuchWork;
  }
  const auto& [work, rows] = found->second;
  if (command.json) {
    out << to_json(work, rows).dump(1) << '\n';
    return 0;
  }
  out << work.name << ": " << work.kind << (work.zone.empty() ? "" : ", zone " + work.zone)
      << (work.paused ? ", paused" : "") << '\n';
  print_row(out, "%6s %-12s %-24s %12s %7s %s", "SHARD", "STATE", "OWNER", "TERM", "STARTS", "CHECKPOINT");
  for (const ShardState& row : rows) {
    print_row(out, "%6llu %-12s %-24s %12llu %7llu %s", static_cast<unsigned long long>(row.id.shard),
              state_of(work, row).c_str(), row.owner.member.empty() ? "-" : row.owner.member.c_str(),
              static_cast<unsigned long long>(row.owner.term),
              static_cast<unsigned long long>(row.progress.starts),
              truncate(row.progress.checkpoint, 80).c_str());
  }
  return 0;
}

// Pauses or resumes the work, unless its definition changes concurrently.
int set_paused(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  const std::string key = ownership::kWorkPrefix + command.name;
  const std::vector<Entry> found = client.get(key, false);
  std::optional<ownership::Work> work =
      found.empty() ? std::nullopt : ownership::read_work(key, found.front().value);
  if (!work) {
    errors << "trailcourse: work: no such work: " << command.name << '\n';
    return kNoSuchWork;
  }
  if (command.action == "pause") {
    work->paused = true;
  } else {
    work->paused = false;
    ++work->resumed;  // parked shards start again
  }
  Transaction write;
  write.when = {coordination::unchanged(client.key(key), found.front().modified)};
  write.then = {coordination::Put{client.key(key), ownership::write_work(*work), 0}};
  if (!client.commit(write).succeeded) {
    errors << "trailcourse: work: " << command.name << " was changed concurrently; nothing was written\n";
    return kConflict;
  }
  out << command.name << (work->paused ? " is paused" : " is on") << '\n';
  return 0;
}

int remove(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  Transaction write;
  const std::string name = command.name;
  write.then = {
      coordination::Delete{coordination::Range{client.key(ownership::kWorkPrefix + name), false}},
      coordination::Delete{coordination::Range{client.key(ownership::kProgressPrefix + name + "/"), true}},
      coordination::Delete{coordination::Range{client.key("lists/" + name + "/"), true}},
      coordination::Delete{coordination::Range{client.key(ownership::kDonePrefix + name + "/"), true}},
      coordination::Delete{coordination::Range{client.key(ownership::kReleasePrefix + name + "/"), true}}};
  // The owners receive the deletion and revoke their leases, which deletes the owner keys.
  if (client.commit(write).results.at(0).deleted == 0) {
    errors << "trailcourse: work: no such work: " << name << '\n';
    return kNoSuchWork;
  }
  out << name << " is removed\n";
  return 0;
}

int hand_over(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = load_work(client);
  const auto found = all.find(command.name);
  if (found == all.end()) {
    errors << "trailcourse: work: no such work: " << command.name << '\n';
    return kNoSuchWork;
  }
  int requested = 0;
  for (const ShardState& row : found->second.second) {
    const bool selected = command.shard < 0 || row.id.shard == static_cast<std::uint64_t>(command.shard);
    if (!selected || row.owner.term == 0) {
      continue;
    }
    Transaction write;
    const std::string shard = to_string(row.id);
    write.when = {coordination::created_at(client.key(ownership::kOwnerPrefix + shard), row.owner.term)};
    write.then = {coordination::Put{client.key(ownership::kReleasePrefix + shard), row.owner.member, 0}};
    if (client.commit(write).succeeded) {
      out << row.owner.member << " is requested to release " << shard << '\n';
      ++requested;
    }
  }
  if (requested == 0) {
    errors << "trailcourse: work: no such shard has an owner, or the owner changed concurrently\n";
    return kConflict;
  }
  return 0;
}

// Returns the Unix time in ms of `--at`; 0 for an empty text. Throws std::invalid_argument.
std::int64_t parse_start_time(const std::string& text) {
  if (text.empty()) {
    return 0;
  }
  if (text.starts_with('@')) {
    const auto ms = protocol::read_number<std::int64_t>(text.substr(1));
    if (!ms || *ms < 0) {
      throw std::invalid_argument("--at: '" + text + "' is not @ and a Unix time in ms");
    }
    return *ms;
  }
  const auto seconds = protocol::read_number<double>(text);
  if (!seconds || *seconds < 0.0 || *seconds > 1e7) {
    throw std::invalid_argument("--at: '" + text + "' is not a number of seconds from now");
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return now.count() + static_cast<std::int64_t>(*seconds * 1e3);
}

int add(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  ownership::Work work;
  work.name = command.name;
  work.kind = command.kind;
  work.zone = command.zone;
  work.shards = static_cast<std::uint64_t>(std::max(0, command.shards));
  if (work.kind == "fill") {
    tasks::PrefetchParameters parameters;
    parameters.request_class = command.request_class;
    parameters.at_ms = parse_start_time(command.at);
    parameters.objects_per_s = command.objects_per_s;
    parameters.objects = command.objects;
    // Throws if the parameters are invalid.
    tasks::read_prefetch_parameters(tasks::write_prefetch_parameters(parameters));
    if (parameters.objects.empty()) {
      throw std::invalid_argument("--objects: the list is empty");
    }
    parameters.objects.clear();
    work.params = tasks::write_prefetch_parameters(parameters);
  }
  if (work.kind == "probe" && work.zone.empty()) {
    throw std::invalid_argument("--zone: work of kind probe needs a zone");
  }
  ownership::check_work(work);
  const std::string key = client.key(ownership::kWorkPrefix + work.name);
  // The lists are written first, so that an owner of the work finds them.
  std::vector<std::string> lists(work.kind == "fill" ? work.shards : 0);
  for (std::size_t i = 0; i < command.objects.size() && !lists.empty(); ++i) {
    lists[i % lists.size()] += command.objects[i] + "\n";
  }
  for (std::size_t i = 0; i < lists.size(); ++i) {
    Transaction list;
    list.when = {coordination::absent(key)};
    list.then = {coordination::Put{client.key(tasks::prefetch_list_key(work.name, i)), lists[i], 0}};
    client.commit(list);
  }
  Transaction write;
  write.when = {coordination::absent(key)};
  write.then = {coordination::Put{key, ownership::write_work(work), 0}};
  if (!client.commit(write).succeeded) {
    errors << "trailcourse: work: " << work.name << " exists already\n";
    return kConflict;
  }
  out << work.name << " is added: " << work.kind << " in " << work.shards << " shards\n";
  return 0;
}

int report(StoreClient& client, const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  const std::vector<Entry> found = client.get(tasks::kFleetReportKey, false);
  const json fleet_report = found.empty() ? json() : json::parse(found.front().value, nullptr, false);
  if (!fleet_report.is_object()) {
    errors << "trailcourse: work: no fleet report exists yet\n";
    return kNoSuchWork;
  }
  if (command.json) {
    out << fleet_report.dump(1) << '\n';
    return 0;
  }
  out << "report " << fleet_report.value("number", 0) << " of term " << fleet_report.value("term", 0) << ", "
      << fleet_report.value("routers", 0) << " routers\n";
  const json sums = fleet_report.value("sums", json::object());
  for (const auto& [name, value] : sums.items()) {
    print_row(out, "  %-20s %14llu", name.c_str(),
              static_cast<unsigned long long>(value.is_number_unsigned() ? value.get<std::uint64_t>() : 0));
  }
  return 0;
}

int members(StoreClient& client, const WorkCommand& command, std::ostream& out) {
  membership::MembershipView view{membership::MembershipOptions{}};
  const Micros now = std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
  for (const char* prefix : {membership::kMemberPrefix, membership::kSuspicionPrefix}) {
    for (const Entry& entry : client.get(prefix)) {
      view.apply(now, entry.key, entry.value, entry.created, entry.modified);
    }
  }
  const std::vector<membership::MemberEntry> all = view.members(now);
  if (command.json) {
    json rows = json::array();
    for (const membership::MemberEntry& entry : all) {
      rows.push_back({{"name", entry.member.name},
                      {"incarnation", entry.member.incarnation},
                      {"zone", entry.member.zone},
                      {"address", entry.member.address},
                      {"started_ms", entry.member.started_ms},
                      {"standing", membership::to_string(entry.status)},
                      {"doubters", entry.suspecting_peers},
                      {"since", entry.joined_revision}});
    }
    out << json{{"store", client.id()}, {"view", view.revision()}, {"members", rows}}.dump(1) << '\n';
    return 0;
  }
  print_row(out, "%-24s %-12s %-22s %-18s %10s %9s %s", "MEMBER", "ZONE", "ADDRESS", "START", "SINCE",
            "DOUBTERS", "STANDING");
  for (const membership::MemberEntry& entry : all) {
    print_row(out, "%-24s %-12s %-22s %-18s %10llu %9d %s", entry.member.name.c_str(),
              entry.member.zone.c_str(), entry.member.address.c_str(), entry.member.incarnation.c_str(),
              static_cast<unsigned long long>(entry.joined_revision), entry.suspecting_peers,
              membership::to_string(entry.status));
  }
  return 0;
}

}  // namespace

int run_work_command(const WorkCommand& command, std::ostream& out, std::ostream& errors) {
  try {
    StoreClient client(command.store);
    if (command.action == "list") {
      return list(client, command, out);
    }
    if (command.action == "show") {
      return show(client, command, out, errors);
    }
    if (command.action == "pause" || command.action == "resume") {
      return set_paused(client, command, out, errors);
    }
    if (command.action == "remove") {
      return remove(client, command, out, errors);
    }
    if (command.action == "hand-over") {
      return hand_over(client, command, out, errors);
    }
    if (command.action == "add") {
      return add(client, command, out, errors);
    }
    return command.action == "report" ? report(client, command, out, errors) : members(client, command, out);
  } catch (const std::runtime_error& error) {
    errors << "trailcourse: " << error.what() << '\n';
    return kFailure;
  }
}

}  // namespace trailcourse::program
