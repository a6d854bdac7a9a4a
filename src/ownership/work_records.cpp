#include "ownership/work_records.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "coordination/record_fields.h"

namespace trailcourse::ownership {

using coordination::bool_field;
using coordination::Compare;
using coordination::Get;
using coordination::Put;
using coordination::Range;
using coordination::text_field;
using coordination::Transaction;
using coordination::TransactionResult;
using coordination::unsigned_field;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxShardDigits = 5;
constexpr std::uint64_t kMaxShards = 10'000;
constexpr std::size_t kMaxParamsBytes = 32U << 10U;

StoredProgress stored_progress_of(const std::vector<coordination::Entry>& found) {
  StoredProgress out;
  if (!found.empty()) {
    out.modified = found.front().modified;
    // A malformed record counts as empty. The next write replaces it, since the write only compares its
    // revision.
    out.progress = read_progress(found.front().value).value_or(Progress{});
  }
  return out;
}

}  // namespace

std::string to_string(const ShardId& id) { return id.work + "/" + std::to_string(id.shard); }

std::optional<ShardId> read_shard_key(const std::string& key, const std::string& prefix) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string rest = key.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || !coordination::is_name(rest.substr(0, slash))) {
    return std::nullopt;
  }
  const std::string number = rest.substr(slash + 1);
  const bool digits = !number.empty() && number.size() <= kMaxShardDigits &&
                      std::all_of(number.begin(), number.end(), [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::optional<ShardId>(ShardId{rest.substr(0, slash), std::stoull(number)}) : std::nullopt;
}

const char* to_string(WorkError error) {
  switch (error) {
    case WorkError::kName:
      return "name: letters, digits, '.', '-' and '_', up to 64";
    case WorkError::kKind:
      return "kind: letters, digits, '.', '-' and '_', up to 64";
    case WorkError::kZone:
      return "zone: letters, digits, '.', '-' and '_', up to 64";
    case WorkError::kShards:
      return "shards: 1 to 10,000";
    case WorkError::kParams:
      break;
  }
  return "params: up to 32 KB";
}

std::optional<WorkError> find_error(const Work& work) {
  if (!coordination::is_name(work.name)) {
    return WorkError::kName;
  }
  if (!coordination::is_name(work.kind)) {
    return WorkError::kKind;
  }
  if (!work.zone.empty() && !coordination::is_name(work.zone)) {
    return WorkError::kZone;
  }
  if (work.shards < 1 || work.shards > kMaxShards) {
    return WorkError::kShards;
  }
  if (work.params.size() > kMaxParamsBytes) {
    return WorkError::kParams;
  }
  return std::nullopt;
}

void check_work(const Work& work) {
  if (const std::optional<WorkError> error = find_error(work)) {
    throw std::invalid_argument(to_string(*error));
  }
}

std::string write_work(const Work& work) {
  return json{{"kind", work.kind},     {"zone", work.zone},       {"shards", work.shards},
              {"paused", work.paused}, {"resumed", work.resumed}, {"params", work.params}}
      .dump();
}

std::optional<Work> read_work(const std::string& key, const std::string& value) {
  const json from = json::parse(value, nullptr, false);
  if (!key.starts_with(kWorkPrefix) || !from.is_object()) {
    return std::nullopt;
  }
  Work out;
  out.name = key.substr(std::string(kWorkPrefix).size());
  out.kind = text_field(from, "kind");
  out.zone = text_field(from, "zone");
  out.shards = unsigned_field(from, "shards");
  out.paused = bool_field(from, "paused");
  out.resumed = unsigned_field(from, "resumed");
  out.params = text_field(from, "params");
  return find_error(out) ? std::nullopt : std::optional<Work>(std::move(out));
}

std::string write_owner(const Owner& owner) {
  return json{{"member", owner.member}, {"incarnation", owner.incarnation}}.dump();
}

std::optional<Owner> read_owner(const std::string& value, Term term) {
  const json from = json::parse(value, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  return Owner{text_field(from, "member"), text_field(from, "incarnation"), term};
}

std::string write_progress(const Progress& progress) {
  return json{{"term", progress.term},
              {"writes", progress.writes},
              {"starts", progress.starts},
              {"parked", progress.parked},
              {"resumed", progress.resumed},
              {"by", progress.by},
              {"checkpoint", progress.checkpoint},
              {"done", progress.done}}
      .dump();
}

std::optional<Progress> read_progress(const std::string& value) {
  const json from = json::parse(value, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  Progress out;
  out.term = unsigned_field(from, "term");
  out.writes = unsigned_field(from, "writes");
  out.starts = unsigned_field(from, "starts");
  out.parked = bool_field(from, "parked");
  out.resumed = unsigned_field(from, "resumed");
  out.by = text_field(from, "by");
  out.checkpoint = text_field(from, "checkpoint");
  out.done = bool_field(from, "done");
  return out;
}

Transaction acquire_transaction(const std::string& prefix, const ShardId& id, const Owner& owner,
                                coordination::LeaseId lease) {
  const std::string shard = to_string(id);
  const std::string owner_key = prefix + kOwnerPrefix + shard;
  const Range progress{prefix + kProgressPrefix + shard, false};
  const Range done{prefix + kDonePrefix + shard, false};
  const Range release_request{prefix + kReleasePrefix + shard, false};
  Transaction out;
  out.when = {coordination::absent(owner_key)};
  out.then = {Put{owner_key, write_owner(owner), lease}, Get{progress}, Get{done},
              coordination::Delete{release_request}};
  out.otherwise = {Get{Range{owner_key, false}}};
  return out;
}

AcquireResult read_acquire_result(const TransactionResult& outcome) {
  AcquireResult out;
  if (outcome.succeeded) {
    out.term = outcome.revision;
    out.stored = stored_progress_of(outcome.results.at(1).found);
    out.done = !outcome.results.at(2).found.empty();
    return out;
  }
  const auto& found = outcome.results.at(0).found;
  if (!found.empty()) {
    out.current_owner = read_owner(found.front().value, found.front().created).value_or(Owner{});
    out.current_owner.term = found.front().created;
  }
  return out;
}

Transaction write_progress_transaction(const std::string& prefix, const ShardId& id, Term term,
                                       coordination::Revision modified, const Progress& progress) {
  const std::string shard = to_string(id);
  const std::string owner_key = prefix + kOwnerPrefix + shard;
  const std::string progress_key = prefix + kProgressPrefix + shard;
  // Progress of deleted work is not written, so that the work begins anew if it is defined again.
  const Compare work_exists{
      prefix + kWorkPrefix + id.work, Compare::Target::kCreated, Compare::Relation::kNotEqual, 0, {}};
  Transaction out;
  out.when = {coordination::created_at(owner_key, term), coordination::unchanged(progress_key, modified),
              work_exists};
  out.then = {Put{progress_key, write_progress(progress), 0}};
  if (progress.done) {
    out.then.push_back(Put{prefix + kDonePrefix + shard, progress.by, 0});
  }
  out.otherwise = {Get{Range{owner_key, false}}, Get{Range{progress_key, false}}};
  return out;
}

ProgressWriteResult read_progress_write_result(const TransactionResult& outcome, Term term,
                                               const Progress& attempted) {
  ProgressWriteResult out;
  if (outcome.succeeded) {
    out.written = true;
    out.owned = true;
    out.stored = StoredProgress{attempted, outcome.revision};
    return out;
  }
  const auto& owner = outcome.results.at(0).found;
  out.owned = !owner.empty() && owner.front().created == term;
  out.stored = stored_progress_of(outcome.results.at(1).found);
  // If equal, an earlier attempt without a response has written the progress.
  out.written = out.owned && out.stored.progress == attempted;
  return out;
}

}  // namespace trailcourse::ownership
