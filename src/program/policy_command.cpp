#include "program/policy_command.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

#include "ownership/work_records.h"
#include "policy/acknowledgement.h"
#include "policy/document.h"
#include "policy/rollout_snapshot.h"
#include "policy/rollout_transactions.h"
#include "program/store_client.h"
#include "protocol/numbers.h"
#include "tasks/policy_change_task.h"

namespace trailcourse::program {

using nlohmann::json;
using transport::Clock;

namespace {

constexpr std::chrono::milliseconds kLook{100};

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string text_of(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    throw policy::InvalidDocument(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

policy::RolloutSnapshot look(StoreClient& client) {
  return policy::read_snapshot(client.prefix(), client.commit(policy::snapshot_transaction(client.prefix())));
}

std::map<std::uint64_t, policy::PolicyDocument> documents(StoreClient& client) {
  std::map<std::uint64_t, policy::PolicyDocument> out;
  for (const coordination::Entry& entry : client.get(policy::kDocumentPrefix)) {
    try {
      policy::PolicyDocument document = policy::read_document(entry.value);
      const std::uint64_t version = document.version;
      out[version] = std::move(document);
    } catch (const policy::InvalidDocument&) {
      // Of a later program: its number is taken all the same.
      out[std::strtoull(entry.key.c_str() + std::string(policy::kDocumentPrefix).size(), nullptr, 10)] = {};
    }
  }
  return out;
}

policy::PolicyContent content_in_force(const std::map<std::uint64_t, policy::PolicyDocument>& all,
                                       std::uint64_t version) {
  const auto found = all.find(version);
  return found == all.end() ? policy::PolicyContent{} : found->second.content;
}

json status_json(const policy::RolloutSnapshot& seen) {
  json permits = json::array();
  for (const auto& [name, permit] : seen.reports) {
    permits.push_back({{"router", name.substr(0, name.find('/'))},
                       {"zone", permit.zone},
                       {"version", permit.version},
                       {"ready", permit.ready_stage},
                       {"held", permit.suspended_stage},
                       {"no", permit.rejection_reason},
                       {"routers", permit.represented_routers},
                       {"awaits", permit.waiting_for}});
  }
  json out{{"version", seen.current_version},
           {"zones", seen.zone_versions},
           {"permits", permits},
           {"awaited", policy::describe_pending(seen)}};
  out["change"] = seen.rollout ? json::parse(policy::write_rollout(*seen.rollout)) : json();
  return out;
}

// Of routers one by one, and of those that aggregators stand for.
std::string permission_line(const policy::RolloutSnapshot& seen) {
  std::size_t summaries = 0;
  std::uint64_t behind = 0;
  for (const auto& [name, permit] : seen.reports) {
    summaries += permit.represented_routers > 0 ? 1 : 0;
    behind += permit.represented_routers;
  }
  if (summaries == 0) {
    return std::to_string(seen.reports.size()) + " routers have permission";
  }
  return std::to_string(seen.reports.size()) + " permits stand, " + std::to_string(summaries) +
         " of them of aggregators for " + std::to_string(behind) + " routers when they were written";
}

void print_status(const policy::RolloutSnapshot& seen, std::ostream& out) {
  out << "in force: version " << seen.current_version;
  for (const auto& [zone, version] : seen.zone_versions) {
    out << ", in zone " << zone << " version " << version;
  }
  out << "\n" << permission_line(seen) << "\n";
  if (!seen.rollout) {
    out << "no change was made yet\n";
    return;
  }
  const policy::Rollout& change = *seen.rollout;
  out << "change " << change.id << " from version " << change.previous_version << " to "
      << change.target_version << ": " << to_string(change.state);
  if (!change.stages.empty()) {
    out << ", stage " << change.stage + 1 << " of " << change.stages.size() + 1;
  }
  out << (change.reason.empty() ? "" : " (" + change.reason + ")") << '\n';
  for (const std::string& line : policy::describe_pending(seen)) {
    out << "  " << line << '\n';
  }
}

int wait_for(StoreClient& client, const PolicyCommand& command, std::uint64_t id, std::ostream& out) {
  const Clock::time_point end = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                                   std::chrono::duration<double>(command.longest_s));
  std::string told;
  for (;;) {
    const policy::RolloutSnapshot seen = look(client);
    if (!seen.rollout || seen.rollout->id < id) {
      out << "no such change\n";
      return kChangeOpen;
    }
    const policy::Rollout& change = *seen.rollout;
    const std::string state = std::string(to_string(change.state)) + ", " +
                              std::to_string(policy::describe_pending(seen).size()) + " awaited";
    if (state != told && !command.json) {
      out << "change " << change.id << " to version " << change.target_version << ": " << state << '\n'
          << std::flush;
      told = state;
    }
    if (!change.is_open()) {
      if (command.json) {
        out << status_json(seen).dump(1) << '\n';
      } else if (!change.reason.empty()) {
        out << change.reason << '\n';
      }
      return change.state == policy::RolloutState::kDone && change.id == id ? 0 : kChangeAborted;
    }
    if (Clock::now() >= end) {
      print_status(seen, out);
      return kChangeAwaited;
    }
    client.pause(kLook);
  }
}

// The document that is proposed, without its version and parent; nothing where an earlier version is asked for that does
// not exist. Throws policy::InvalidDocument.
std::optional<policy::PolicyDocument> proposed_document(
    const PolicyCommand& command, const std::map<std::uint64_t, policy::PolicyDocument>& all) {
  policy::PolicyDocument document;
  if (!command.version.empty()) {
    const auto version = protocol::read_number<std::uint64_t>(command.version);
    const auto found = version ? all.find(*version) : all.end();
    if (found == all.end()) {
      return std::nullopt;
    }
    document = found->second;
    document.reason = "as version " + command.version;
  } else {
    document = policy::read_draft(text_of(command.file));
  }
  document.author = !command.author.empty() ? command.author : document.author;
  document.reason = !command.reason.empty() ? command.reason : document.reason;
  return document;
}

policy::Rollout proposed_rollout(const PolicyCommand& command, const policy::RolloutSnapshot& seen,
                                 const policy::PolicyDocument& document) {
  policy::Rollout out;
  out.id = seen.rollout ? seen.rollout->id + 1 : 1;
  out.target_version = document.version;
  out.previous_version = seen.current_version;
  out.urgent = command.urgent;
  out.stages = command.stages;
  out.watch_time = std::chrono::milliseconds(static_cast<std::int64_t>(command.watch_s * 1e3));
  out.max_rejected_share = command.most_refused;
  out.author = document.author;
  return out;
}

// Announces the work of driving rollouts, where it is not there from an earlier one.
void announce_policy_work(StoreClient& client) {
  ownership::Work work;
  work.name = tasks::kPolicyWork;
  work.kind = tasks::kPolicyWork;
  const std::string key = client.key(ownership::kWorkPrefix + work.name);
  coordination::Transaction announce;
  announce.when = {coordination::absent(key)};
  announce.then = {coordination::Put{key, ownership::write_work(work), 0}};
  client.commit(announce);
}

int propose(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = documents(client);
  std::optional<policy::PolicyDocument> document = proposed_document(command, all);
  if (!document) {
    errors << "trailcourse: policy: there is no version " << command.version << '\n';
    return kBadPolicy;
  }
  const policy::RolloutSnapshot seen = look(client);
  const auto start = policy::check_can_begin(seen, command.urgent);
  if (!start) {
    errors << "trailcourse: policy: " << policy::describe(start.error()) << '\n';
    return kChangeOpen;
  }
  const bool supersedes = *start == policy::RolloutStart::kSupersedes;
  document->parent = seen.current_version;
  document->version = (all.empty() ? 0 : all.rbegin()->first) + 1;
  document->version = std::max(document->version, seen.current_version + 1);
  const policy::Rollout rollout = proposed_rollout(command, seen, *document);
  const std::string audit = std::to_string(unix_ms()) + " " + document->author + ": " + document->reason +
                            (supersedes ? "; supersedes change " + std::to_string(seen.rollout->id) : "");
  const coordination::Transaction write = policy::begin_transaction(
      client.prefix(), seen, rollout, policy::write_document_text(*document), audit);
  if (!client.commit(write).succeeded) {
    errors << "trailcourse: policy: things changed meanwhile; nothing was done\n";
    return kChangeOpen;
  }
  announce_policy_work(client);
  if (!command.json) {
    out << "change " << rollout.id << " to version " << rollout.target_version << " is proposed\n";
    for (const std::string& line :
         policy::describe_difference(content_in_force(all, seen.current_version), document->content)) {
      out << "  " << line << '\n';
    }
  } else if (!command.wait) {
    out << json{{"change", rollout.id}, {"version", rollout.target_version}}.dump() << '\n';
  }
  return command.wait ? wait_for(client, command, rollout.id, out) : 0;
}

int abort(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const policy::RolloutSnapshot seen = look(client);
  const bool can = seen.rollout && (seen.rollout->state == policy::RolloutState::kPreparing ||
                                    seen.rollout->state == policy::RolloutState::kSuspending);
  if (!can) {
    errors << "trailcourse: policy: "
           << (!seen.rollout || !seen.rollout->is_open()
                   ? "no change is open"
                   : "the change has committed: go back with `propose --content-of` of what was before")
           << '\n';
    return kChangeOpen;
  }
  policy::RolloutStep step;
  step.rollout = *seen.rollout;
  step.rollout.state = policy::RolloutState::kAborted;
  step.rollout.reason = command.reason.empty() ? "by staff" : command.reason;
  step.audit = std::to_string(unix_ms()) + " aborted by staff: " + step.rollout.reason;
  if (!client.commit(policy::execute_transaction(client.prefix(), seen, step)).succeeded) {
    errors << "trailcourse: policy: things changed meanwhile; nothing was done\n";
    return kChangeOpen;
  }
  out << "change " << step.rollout.id << " is aborted; version " << seen.current_version << " stays\n";
  return 0;
}

int diff(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  const policy::PolicyDocument draft = policy::read_draft(text_of(command.file));
  const auto all = documents(client);
  const policy::RolloutSnapshot seen = look(client);
  const auto lines = policy::describe_difference(content_in_force(all, seen.current_version), draft.content);
  if (command.json) {
    out << json{{"version", seen.current_version}, {"lines", lines}}.dump(1) << '\n';
    return 0;
  }
  out << "against version " << seen.current_version << ":\n";
  for (const std::string& line : lines) {
    out << "  " << line << '\n';
  }
  if (lines.empty()) {
    out << "  nothing\n";
  }
  return 0;
}

int history(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  struct Line {
    std::uint64_t change;
    std::uint64_t revision;
    std::string step, text;
  };
  std::vector<Line> lines;
  for (const coordination::Entry& entry : client.get(policy::kAuditPrefix)) {
    const std::string rest = entry.key.substr(std::string(policy::kAuditPrefix).size());
    lines.push_back({std::strtoull(rest.c_str(), nullptr, 10), entry.modified,
                     rest.substr(rest.find('/') + 1), entry.value});
  }
  std::sort(lines.begin(), lines.end(),
            [](const Line& one, const Line& other) { return one.revision < other.revision; });
  if (command.json) {
    json rows = json::array();
    for (const Line& line : lines) {
      rows.push_back(
          {{"change", line.change}, {"step", line.step}, {"revision", line.revision}, {"text", line.text}});
    }
    out << rows.dump(1) << '\n';
    return 0;
  }
  for (const Line& line : lines) {
    out << "change " << line.change << "  " << line.step << "  " << line.text << '\n';
  }
  return 0;
}

int show(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = documents(client);
  const auto version = command.version.empty() ? std::optional<std::uint64_t>(look(client).current_version)
                                               : protocol::read_number<std::uint64_t>(command.version);
  const auto found = version ? all.find(*version) : all.end();
  if (found == all.end()) {
    errors << "trailcourse: policy: there is no version " << command.version << '\n';
    return kBadPolicy;
  }
  out << policy::write_document(found->second).dump(1) << '\n';
  return 0;
}

policy::AcknowledgementSnapshot look_at_acknowledgements(StoreClient& client) {
  return policy::read_acknowledgement_snapshot(
      client.prefix(), client.commit(policy::acknowledgement_snapshot_transaction(client.prefix())));
}

void print_acknowledgements(const policy::AcknowledgementSnapshot& seen, bool as_json, std::ostream& out) {
  const policy::Acknowledgement& record = seen.record;
  const std::vector<std::string> awaited = policy::describe_unacknowledged(seen);
  if (as_json) {
    json shown = json::parse(policy::write_acknowledgement(record));
    shown["awaited"] = awaited;
    out << shown.dump(1) << '\n';
    return;
  }
  if (record.round == 0) {
    out << "nobody has asked yet: is there work of kind acknowledge, and an owner?\n";
    return;
  }
  out << "board " << record.requested.source << ": every router has taken in events up to "
      << record.completed.sequence << "; round " << record.round << " asks for those up to "
      << record.requested.sequence << '\n';
  for (const std::string& line : awaited) {
    out << "  " << line << '\n';
  }
}

int forget_acknowledgements(StoreClient& client, std::ostream& out, std::ostream& errors) {
  const policy::AcknowledgementSnapshot seen = look_at_acknowledgements(client);
  const policy::Acknowledgement none = policy::reset_acknowledgement(seen.record);
  if (!client.commit(policy::write_acknowledgement_transaction(client.prefix(), seen, none)).succeeded) {
    errors << "trailcourse: policy: things changed meanwhile; nothing was done\n";
    return kChangeOpen;
  }
  out << "no event is asked for any more, until somebody drives rounds again\n";
  return 0;
}

int acknowledged(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  const Clock::time_point end = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                                   std::chrono::duration<double>(command.longest_s));
  for (;;) {
    const policy::AcknowledgementSnapshot seen = look_at_acknowledgements(client);
    const bool done = seen.record.completed.sequence >= command.event;
    if (done || !command.wait || Clock::now() >= end) {
      print_acknowledgements(seen, command.json, out);
      return done ? 0 : kChangeAwaited;
    }
    client.pause(kLook);
  }
}

int check(const PolicyCommand& command, std::ostream& out) {
  const policy::PolicyDocument draft = policy::read_draft(text_of(command.file));
  if (command.json) {
    out << policy::write_document(draft)["content"].dump(1) << '\n';
  } else {
    out << "can be proposed: " << draft.content.classes.size()
        << " classes; each router judges whether it can live by it\n";
  }
  return 0;
}

}  // namespace

int run_policy_command(const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  try {
    if (command.action == "check") {
      return check(command, out);
    }
    StoreClient client(command.store);
    if (command.action == "diff") {
      return diff(client, command, out);
    }
    if (command.action == "propose") {
      return propose(client, command, out, errors);
    }
    if (command.action == "abort") {
      return abort(client, command, out, errors);
    }
    if (command.action == "history") {
      return history(client, command, out);
    }
    if (command.action == "show") {
      return show(client, command, out, errors);
    }
    if (command.action == "acknowledged") {
      return command.forget ? forget_acknowledgements(client, out, errors)
                            : acknowledged(client, command, out);
    }
    const policy::RolloutSnapshot seen = look(client);
    if (command.action == "wait") {
      return wait_for(client, command, seen.rollout ? seen.rollout->id : 0, out);
    }
    if (command.json) {
      out << status_json(seen).dump(1) << '\n';
    } else {
      print_status(seen, out);
    }
    return 0;
  } catch (const policy::InvalidDocument& error) {
    errors << "trailcourse: policy: " << error.what() << '\n';
    return kBadPolicy;
  } catch (const std::runtime_error& error) {
    errors << "trailcourse: " << error.what() << '\n';
    return 1;
  }
}

}  // namespace trailcourse::program
