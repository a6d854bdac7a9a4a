#include "policy/acknowledgement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trailcourse::policy {

using coordination::Get;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using nlohmann::json;

namespace {

json position_json(const DiscoveryPosition& position) {
  return {{"board", position.source}, {"event", position.sequence}};
}

std::optional<DiscoveryPosition> read_position(const json& record, const char* name) {
  const auto found = record.find(name);
  if (found == record.end() || !found->is_object()) {
    return std::nullopt;
  }
  const auto source = found->find("board");
  const auto sequence = found->find("event");
  const bool is_valid = source != found->end() && source->is_string() && sequence != found->end() &&
                        sequence->is_number_unsigned();
  if (!is_valid) {
    return std::nullopt;
  }
  return DiscoveryPosition{source->get<std::string>(), sequence->get<std::uint64_t>()};
}

}  // namespace

std::string write_acknowledgement(const Acknowledgement& record) {
  return json{{"round", record.round},
              {"asked", position_json(record.requested)},
              {"done", position_json(record.completed)}}
      .dump();
}

std::optional<Acknowledgement> read_acknowledgement(const std::string& text) {
  const json record = json::parse(text, nullptr, false);
  if (!record.is_object()) {
    return std::nullopt;
  }
  const auto round = record.find("round");
  const bool has_round =
      round != record.end() && round->is_number_unsigned() && round->get<std::uint64_t>() > 0;
  const auto requested = read_position(record, "asked");
  const auto completed = read_position(record, "done");
  if (!has_round || !requested || !completed) {
    return std::nullopt;
  }
  return Acknowledgement{round->get<std::uint64_t>(), *requested, *completed};
}

bool AcknowledgementSnapshot::is_acknowledged_by_all() const {
  return std::all_of(reports.begin(), reports.end(),
                     [this](const auto& entry) { return entry.second.acknowledged_round >= record.round; });
}

Transaction acknowledgement_snapshot_transaction(const std::string& prefix) {
  Transaction out;
  out.then = {Get{Range{prefix + kAcknowledgedKey, false}}, Get{Range{prefix + kReportPrefix, true}}};
  return out;
}

AcknowledgementSnapshot read_acknowledgement_snapshot(const std::string& prefix,
                                                      const coordination::TransactionResult& outcome) {
  AcknowledgementSnapshot out;
  if (const auto& found = outcome.results.at(0).found; !found.empty()) {
    out.record = read_acknowledgement(found.front().value).value_or(Acknowledgement{});
    out.modified = found.front().modified;
  }
  out.reports = read_reports(prefix, outcome.results.at(1).found);
  return out;
}

Transaction write_acknowledgement_transaction(const std::string& prefix,
                                              const AcknowledgementSnapshot& snapshot,
                                              const Acknowledgement& record) {
  const std::string key = prefix + kAcknowledgedKey;
  Transaction out;
  out.when = {coordination::unchanged(key, snapshot.modified)};
  out.then = {Put{key, write_acknowledgement(record), 0}};
  return out;
}

Acknowledgement reset_acknowledgement(const Acknowledgement& record) { return {record.round + 1, {}, {}}; }

std::vector<std::string> describe_unacknowledged(const AcknowledgementSnapshot& snapshot) {
  std::vector<std::string> out;
  for (const auto& [name, report] : snapshot.reports) {
    if (report.acknowledged_round < snapshot.record.round) {
      out.push_back(describe_reporter(name, report) + " has to apply event " +
                    std::to_string(snapshot.record.requested.sequence) + ", or its lease has to expire");
    }
  }
  return out;
}

}  // namespace trailcourse::policy
