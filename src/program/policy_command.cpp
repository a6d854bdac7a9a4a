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
#include "tasks/policy_rollout_task.h"

namespace trailcourse::program {

using nlohmann::json;
using transport::Clock;

namespace {

constexpr std::chrono::milliseconds kPollInterval{100};

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) {
    throw policy::InvalidDocument(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

policy::RolloutSnapshot load_snapshot(StoreClient& client) {
  return policy::read_snapshot(client.prefix(), client.commit(policy::snapshot_transaction(client.prefix())));
}

std::map<std::uint64_t, policy::PolicyDocument> load_documents(StoreClient& client) {
  std::map<std::uint64_t, policy::PolicyDocument> out;
  for (const coordination::Entry& entry : client.get(policy::kDocumentPrefix)) {
    try {
      policy::PolicyDocument document = policy::read_document(entry.value);
      const std::uint64_t version = document.version;
      out[version] = std::move(document);
    } catch (const policy::InvalidDocument&) {
      // A newer version of this program wrote the document. Its version number must not be used again.
      out[std::strtoull(entry.key.c_str() + std::string(policy::kDocumentPrefix).size(), nullptr, 10)] = {};
    }
  }
  return out;
}

policy::PolicyContent content_of(const std::map<std::uint64_t, policy::PolicyDocument>& all,
                                 std::uint64_t version) {
  const auto found = all.find(version);
  return found == all.end() ? policy::PolicyContent{} : found->second.content;
}

json status_json(const policy::RolloutSnapshot& snapshot) {
  json permits = json::array();
  for (const auto& [name, report] : snapshot.reports) {
    permits.push_back({{"router", name.substr(0, name.find('/'))},
                       {"zone", report.zone},
                       {"version", report.version},
                       {"ready", report.ready_stage},
                       {"held", report.suspended_stage},
                       {"no", report.rejection_reason},
                       {"routers", report.represented_routers},
                       {"awaits", report.waiting_for}});
  }
  json out{{"version", snapshot.current_version},
           {"zones", snapshot.zone_versions},
           {"permits", permits},
           {"awaited", policy::describe_pending(snapshot)}};
  out["change"] = snapshot.rollout ? json::parse(policy::write_rollout(*snapshot.rollout)) : json();
  return out;
}

// Describes how many routers have a lease, by themselves or through aggregators.
std::string describe_leases(const policy::RolloutSnapshot& snapshot) {
  std::size_t summaries = 0;
  std::uint64_t represented = 0;
  for (const auto& [name, report] : snapshot.reports) {
    summaries += report.represented_routers > 0 ? 1 : 0;
    represented += report.represented_routers;
  }
  if (summaries == 0) {
    return std::to_string(snapshot.reports.size()) + " routers have a lease";
  }
  return std::to_string(snapshot.reports.size()) + " leases are granted, " + std::to_string(summaries) +
         " of them to aggregators, which represented " + std::to_string(represented) +
         " routers at their last report";
}

void print_status(const policy::RolloutSnapshot& snapshot, std::ostream& out) {
  out << "in force: version " << snapshot.current_version;
  for (const auto& [zone, version] : snapshot.zone_versions) {
    out << ", in zone " << zone << " version " << version;
  }
  out << "\n" << describe_leases(snapshot) << "\n";
  if (!snapshot.rollout) {
    out << "no change has been proposed yet\n";
    return;
  }
  const policy::Rollout& change = *snapshot.rollout;
  out << "change " << change.id << " from version " << change.previous_version << " to "
      << change.target_version << ": " << to_string(change.state);
  if (!change.stages.empty()) {
    out << ", stage " << change.stage + 1 << " of " << change.stages.size() + 1;
  }
  out << (change.reason.empty() ? "" : " (" + change.reason + ")") << '\n';
  for (const std::string& line : policy::describe_pending(snapshot)) {
    out << "  " << line << '\n';
  }
}

// Waits until the change is no longer open, or the timeout is over.
int wait_for(StoreClient& client, const PolicyCommand& command, std::uint64_t id, std::ostream& out) {
  const Clock::time_point deadline = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                                        std::chrono::duration<double>(command.timeout_s));
  std::string printed;
  for (;;) {
    const policy::RolloutSnapshot snapshot = load_snapshot(client);
    if (!snapshot.rollout || snapshot.rollout->id < id) {
      out << "the change does not exist\n";
      return kChangeOpen;
    }
    const policy::Rollout& change = *snapshot.rollout;
    const std::string state = std::string(to_string(change.state)) + ", " +
                              std::to_string(policy::describe_pending(snapshot).size()) + " pending";
    if (state != printed && !command.json) {
      out << "change " << change.id << " to version " << change.target_version << ": " << state << '\n'
          << std::flush;
      printed = state;
    }
    if (!change.is_open()) {
      if (command.json) {
        out << status_json(snapshot).dump(1) << '\n';
      } else if (!change.reason.empty()) {
        out << change.reason << '\n';
      }
      return change.state == policy::RolloutState::kDone && change.id == id ? 0 : kChangeAborted;
    }
    if (Clock::now() >= deadline) {
      print_status(snapshot, out);
      return kWaitTimedOut;
    }
    client.pause(kPollInterval);
  }
}

// Returns the proposed document without its version and parent, or nullopt if the command asks for the
// content of a version that does not exist. Throws policy::InvalidDocument.
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
    document = policy::read_draft(read_file(command.file));
  }
  document.author = !command.author.empty() ? command.author : document.author;
  document.reason = !command.reason.empty() ? command.reason : document.reason;
  return document;
}

policy::Rollout proposed_rollout(const PolicyCommand& command, const policy::RolloutSnapshot& snapshot,
                                 const policy::PolicyDocument& document) {
  policy::Rollout out;
  out.id = snapshot.rollout ? snapshot.rollout->id + 1 : 1;
  out.target_version = document.version;
  out.previous_version = snapshot.current_version;
  out.urgent = command.urgent;
  out.stages = command.stages;
  out.watch_time = std::chrono::milliseconds(static_cast<std::int64_t>(command.watch_s * 1e3));
  out.max_rejected_share = command.max_rejected_share;
  out.author = document.author;
  return out;
}

// Creates the work definition of the policy rollouts, unless an earlier rollout has created it.
void create_policy_work(StoreClient& client) {
  ownership::Work work;
  work.name = tasks::kPolicyWork;
  work.kind = tasks::kPolicyWork;
  const std::string key = client.key(ownership::kWorkPrefix + work.name);
  coordination::Transaction create;
  create.when = {coordination::absent(key)};
  create.then = {coordination::Put{key, ownership::write_work(work), 0}};
  client.commit(create);
}

int propose(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = load_documents(client);
  std::optional<policy::PolicyDocument> document = proposed_document(command, all);
  if (!document) {
    errors << "trailcourse: policy: no such version: " << command.version << '\n';
    return kInvalidPolicy;
  }
  const policy::RolloutSnapshot snapshot = load_snapshot(client);
  const auto start = policy::check_can_begin(snapshot, command.urgent);
  if (!start) {
    errors << "trailcourse: policy: " << policy::describe(start.error()) << '\n';
    return kChangeOpen;
  }
  const bool supersedes = *start == policy::RolloutStart::kSupersedes;
  document->parent = snapshot.current_version;
  document->version = (all.empty() ? 0 : all.rbegin()->first) + 1;
  document->version = std::max(document->version, snapshot.current_version + 1);
  const policy::Rollout rollout = proposed_rollout(command, snapshot, *document);
  const std::string audit = std::to_string(unix_ms()) + " " + document->author + ": " + document->reason +
                            (supersedes ? "; supersedes change " + std::to_string(snapshot.rollout->id) : "");
  const coordination::Transaction write = policy::begin_transaction(
      client.prefix(), snapshot, rollout, policy::write_document_text(*document), audit);
  if (!client.commit(write).succeeded) {
    errors << "trailcourse: policy: rejected by a concurrent change; nothing was written\n";
    return kChangeOpen;
  }
  create_policy_work(client);
  if (!command.json) {
    out << "change " << rollout.id << " to version " << rollout.target_version << " is proposed\n";
    for (const std::string& line :
         policy::describe_difference(content_of(all, snapshot.current_version), document->content)) {
      out << "  " << line << '\n';
    }
  } else if (!command.wait) {
    out << json{{"change", rollout.id}, {"version", rollout.target_version}}.dump() << '\n';
  }
  return command.wait ? wait_for(client, command, rollout.id, out) : 0;
}

int abort(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const policy::RolloutSnapshot snapshot = load_snapshot(client);
  const bool can_abort = snapshot.rollout && (snapshot.rollout->state == policy::RolloutState::kPreparing ||
                                              snapshot.rollout->state == policy::RolloutState::kSuspending);
  if (!can_abort) {
    errors << "trailcourse: policy: "
           << (!snapshot.rollout || !snapshot.rollout->is_open()
                   ? "no change is open"
                   : "the change has committed: use `propose --content-of` with the previous version")
           << '\n';
    return kChangeOpen;
  }
  policy::RolloutStep step;
  step.rollout = *snapshot.rollout;
  step.rollout.state = policy::RolloutState::kAborted;
  step.rollout.reason = command.reason.empty() ? "by staff" : command.reason;
  step.audit = std::to_string(unix_ms()) + " aborted by staff: " + step.rollout.reason;
  if (!client.commit(policy::execute_transaction(client.prefix(), snapshot, step)).succeeded) {
    errors << "trailcourse: policy: rejected by a concurrent change; nothing was written\n";
    return kChangeOpen;
  }
  out << "change " << step.rollout.id << " is aborted; version " << snapshot.current_version
      << " stays in force\n";
  return 0;
}

int diff(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  const policy::PolicyDocument draft = policy::read_draft(read_file(command.file));
  const auto all = load_documents(client);
  const policy::RolloutSnapshot snapshot = load_snapshot(client);
  const auto lines = policy::describe_difference(content_of(all, snapshot.current_version), draft.content);
  if (command.json) {
    out << json{{"version", snapshot.current_version}, {"lines", lines}}.dump(1) << '\n';
    return 0;
  }
  out << "difference from version " << snapshot.current_version << ":\n";
  for (const std::string& line : lines) {
    out << "  " << line << '\n';
  }
  if (lines.empty()) {
    out << "  none\n";
  }
  return 0;
}

int history(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  struct AuditEntry {
    std::uint64_t change;
    std::uint64_t revision;
    std::string step, text;
  };
  std::vector<AuditEntry> entries;
  for (const coordination::Entry& stored : client.get(policy::kAuditPrefix)) {
    const std::string rest = stored.key.substr(std::string(policy::kAuditPrefix).size());
    entries.push_back({std::strtoull(rest.c_str(), nullptr, 10), stored.modified,
                       rest.substr(rest.find('/') + 1), stored.value});
  }
  std::sort(entries.begin(), entries.end(),
            [](const AuditEntry& one, const AuditEntry& other) { return one.revision < other.revision; });
  if (command.json) {
    json rows = json::array();
    for (const AuditEntry& entry : entries) {
      rows.push_back({{"change", entry.change},
                      {"step", entry.step},
                      {"revision", entry.revision},
                      {"text", entry.text}});
    }
    out << rows.dump(1) << '\n';
    return 0;
  }
  for (const AuditEntry& entry : entries) {
    out << "change " << entry.change << "  " << entry.step << "  " << entry.text << '\n';
  }
  return 0;
}

int show(StoreClient& client, const PolicyCommand& command, std::ostream& out, std::ostream& errors) {
  const auto all = load_documents(client);
  const auto version = command.version.empty()
                           ? std::optional<std::uint64_t>(load_snapshot(client).current_version)
                           : protocol::read_number<std::uint64_t>(command.version);
  const auto found = version ? all.find(*version) : all.end();
  if (found == all.end()) {
    errors << "trailcourse: policy: no such version: " << command.version << '\n';
    return kInvalidPolicy;
  }
  out << policy::write_document(found->second).dump(1) << '\n';
  return 0;
}

policy::AcknowledgementSnapshot load_acknowledgements(StoreClient& client) {
  return policy::read_acknowledgement_snapshot(
      client.prefix(), client.commit(policy::acknowledgement_snapshot_transaction(client.prefix())));
}

void print_acknowledgements(const policy::AcknowledgementSnapshot& snapshot, bool as_json,
                            std::ostream& out) {
  const policy::Acknowledgement& record = snapshot.record;
  const std::vector<std::string> awaited = policy::describe_unacknowledged(snapshot);
  if (as_json) {
    json output = json::parse(policy::write_acknowledgement(record));
    output["awaited"] = awaited;
    out << output.dump(1) << '\n';
    return;
  }
  if (record.round == 0) {
    out << "no acknowledgements have been requested yet: check that work of kind acknowledge exists and has "
           "an owner\n";
    return;
  }
  out << "discovery service " << record.requested.source << ": all routers have acknowledged events up to "
      << record.completed.sequence << "; round " << record.round << " requests those up to "
      << record.requested.sequence << '\n';
  for (const std::string& line : awaited) {
    out << "  " << line << '\n';
  }
}

int withdraw_acknowledgements(StoreClient& client, std::ostream& out, std::ostream& errors) {
  const policy::AcknowledgementSnapshot snapshot = load_acknowledgements(client);
  const policy::Acknowledgement reset = policy::reset_acknowledgement(snapshot.record);
  if (!client.commit(policy::write_acknowledgement_transaction(client.prefix(), snapshot, reset)).succeeded) {
    errors << "trailcourse: policy: rejected by a concurrent change; nothing was written\n";
    return kChangeOpen;
  }
  out << "acknowledgements are no longer requested, until an owner of work of kind acknowledge starts a "
         "round\n";
  return 0;
}

int acknowledged(StoreClient& client, const PolicyCommand& command, std::ostream& out) {
  const Clock::time_point deadline = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                                        std::chrono::duration<double>(command.timeout_s));
  for (;;) {
    const policy::AcknowledgementSnapshot snapshot = load_acknowledgements(client);
    const bool done = snapshot.record.completed.sequence >= command.event;
    if (done || !command.wait || Clock::now() >= deadline) {
      print_acknowledgements(snapshot, command.json, out);
      return done ? 0 : kWaitTimedOut;
    }
    client.pause(kPollInterval);
  }
}

int check(const PolicyCommand& command, std::ostream& out) {
  const policy::PolicyDocument draft = policy::read_draft(read_file(command.file));
  if (command.json) {
    out << policy::write_document(draft)["content"].dump(1) << '\n';
  } else {
    out << "valid: " << draft.content.classes.size()
        << " classes; each router checks whether it can apply the document when it is proposed\n";
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
      return command.forget ? withdraw_acknowledgements(client, out, errors)
                            : acknowledged(client, command, out);
    }
    const policy::RolloutSnapshot snapshot = load_snapshot(client);
    if (command.action == "wait") {
      return wait_for(client, command, snapshot.rollout ? snapshot.rollout->id : 0, out);
    }
    if (command.json) {
      out << status_json(snapshot).dump(1) << '\n';
    } else {
      print_status(snapshot, out);
    }
    return 0;
  } catch (const policy::InvalidDocument& error) {
    errors << "trailcourse: policy: " << error.what() << '\n';
    return kInvalidPolicy;
  } catch (const std::runtime_error& error) {
    errors << "trailcourse: " << error.what() << '\n';
    return 1;
  }
}

}  // namespace trailcourse::program
